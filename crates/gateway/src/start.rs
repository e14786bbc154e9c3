//! Startup and shutdown of the gateway.

use crate::duty::GatewayDuty;
use crate::metrics::GatewayMetrics;
use crate::run::serve;
use crate::settings::{self, GatewaySettings};
use mastbay_membership::Role;
use mastbay_node::{Duty, ExitReason, Node, NodeMetrics, StartError, load_settings, wait_for_stop};
use mastbay_telemetry::{Registry, serve_admin, start_export, start_logging};
use mastbay_web::{Server, ServerConfig, Stopper, within};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time at shutdown for pending claims to be settled.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks for pending claims.
const CLAIMS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the gateway until it is signalled to stop. With `check`, only validates the settings.
pub async fn run(path: &Path, check: bool) -> Result<ExitReason, StartError> {
    let (node_settings, own) = load_settings(path, &[settings::SECTION], settings::read)?;
    if check {
        return Ok(ExitReason::Stopped);
    }
    start_logging(&node_settings.log).map_err(StartError::Logging)?;
    if let Some(collector) = node_settings.otlp {
        start_export(collector, "mastbay-gateway");
    }
    let peers = bind(node_settings.peer_listen, ServerConfig::default()).await?;
    let admin = bind(node_settings.admin_address, ServerConfig::default()).await?;
    let callers = bind(own.address, caller_config(&own)).await?;
    let mut registry = Registry::default();
    let node_metrics = NodeMetrics::register(&mut registry);
    let metrics = GatewayMetrics::register(&mut registry);
    let node = Node::new(&node_settings, Role::Gateway, node_metrics);
    let duty = GatewayDuty::new(node.clone(), own, metrics);
    let stopper = callers.stopper();
    duty.set_caller_server(stopper.clone());
    tracing::info!(event = "started", process = %node.me(), role = "gateway", callers = %callers.address());

    let as_duty: Arc<dyn Duty> = duty.clone();
    smol::spawn(node.clone().run(as_duty.clone())).detach();
    smol::spawn(node.clone().read_root_at_start(as_duty.clone())).detach();
    smol::spawn(node.clone().serve_peers(peers, as_duty)).detach();
    smol::spawn(duty.clone().run()).detach();
    smol::spawn(serve_admin(admin, Arc::new(registry), duty.clone())).detach();
    let serving = serve_callers(callers, duty.clone());

    wait_for_stop().await.map_err(StartError::Signals)?;
    Ok(stop(&duty, &stopper, serving, node_settings.stop_limit).await)
}

async fn bind(address: SocketAddr, config: ServerConfig) -> Result<Server, StartError> {
    Server::bind(address, config).await.map_err(StartError::Bind)
}

fn caller_config(settings: &GatewaySettings) -> ServerConfig {
    ServerConfig {
        max_connections: settings.max_connections,
        head_limit: settings.head_limit,
        ..ServerConfig::default()
    }
}

fn serve_callers(server: Server, duty: Arc<GatewayDuty>) -> smol::Task<()> {
    smol::spawn(async move {
        server.run(move |request, _| serve(duty.clone(), request)).await;
    })
}

/// Shuts down: reports "not ready", waits `stop-grace` for the load balancer, closes the listener
/// and serves the remaining requests for at most `limit`.
async fn stop(
    duty: &Arc<GatewayDuty>,
    stopper: &Stopper,
    serving: smol::Task<()>,
    limit: Duration,
) -> ExitReason {
    duty.node().leave();
    smol::Timer::after(duty.settings().stop_grace).await;
    stopper.stop();
    let ended = within(limit, serving).await;
    if ended.is_err() {
        // Waiting requests are answered as not run; running ones are aborted visibly.
        duty.drop_waiters();
        smol::Timer::after(CLAIMS_POLL_INTERVAL).await;
    }
    settle_claims(duty).await;
    tracing::info!(event = "stopped", process = %duty.node().me(), whole = ended.is_ok());
    if ended.is_ok() { ExitReason::Stopped } else { ExitReason::StopLimit }
}

async fn settle_claims(duty: &Arc<GatewayDuty>) {
    let settled = async {
        while duty.has_pending_claims() {
            smol::Timer::after(CLAIMS_POLL_INTERVAL).await;
        }
    };
    // A claim that is not settled stays held, so its operation cannot run twice.
    let _ = within(CLAIMS_TIMEOUT, settled).await;
}
