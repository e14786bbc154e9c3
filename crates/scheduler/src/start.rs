//! Startup and shutdown of the scheduler.

use crate::duty::SchedulerDuty;
use crate::machines::poll_machine_list;
use crate::metrics::SchedulerMetrics;
use crate::settings;
use mastbay_membership::Role;
use mastbay_node::{
    Duty, ExitReason, Node, NodeMetrics, NodeSettings, StartError, load_settings, wait_for_stop,
};
use mastbay_telemetry::{Registry, serve_admin, start_export, start_logging};
use mastbay_web::{Server, ServerConfig};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time between announcing the leave and exiting. Reports in flight are still answered while
/// gateways switch to the next scheduler.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

/// Runs the scheduler until it is signalled to stop. With `check`, only validates the settings.
pub async fn run(path: &Path, check: bool) -> Result<ExitReason, StartError> {
    let (node_settings, own) = load_settings(path, &[settings::SECTION], settings::read)?;
    if check {
        return Ok(ExitReason::Stopped);
    }
    start_logging(&node_settings.log).map_err(StartError::Logging)?;
    if let Some(collector) = node_settings.otlp {
        start_export(collector, "mastbay-scheduler");
    }
    let peers = bind(node_settings.peer_listen).await?;
    let admin = bind(node_settings.admin_address).await?;
    let mut registry = Registry::default();
    let node_metrics = NodeMetrics::register(&mut registry);
    let metrics = SchedulerMetrics::register(&mut registry);
    let node = Node::new(&node_settings, Role::Scheduler, node_metrics);
    let duty = SchedulerDuty::new(node.clone(), own, metrics);
    start(&node_settings, &node, &duty);
    smol::spawn(node.clone().serve_peers(peers, duty.clone())).detach();
    smol::spawn(serve_admin(admin, Arc::new(registry), duty)).detach();
    wait_for_stop().await.map_err(StartError::Signals)?;
    node.leave();
    smol::Timer::after(LEAVE_GRACE).await;
    tracing::info!(event = "stopped", process = %node.me());
    Ok(ExitReason::Stopped)
}

async fn bind(address: std::net::SocketAddr) -> Result<Server, StartError> {
    Server::bind(address, ServerConfig::default()).await.map_err(StartError::Bind)
}

fn start(settings: &NodeSettings, node: &Arc<Node>, duty: &Arc<SchedulerDuty>) {
    tracing::info!(event = "started", process = %node.me(), role = "scheduler", zone = settings.zone);
    let as_duty: Arc<dyn Duty> = duty.clone();
    smol::spawn(node.clone().run(as_duty.clone())).detach();
    smol::spawn(node.clone().read_root_at_start(as_duty.clone())).detach();
    smol::spawn(node.clone().watch_root(as_duty)).detach();
    smol::spawn(duty.clone().run()).detach();
    smol::spawn(poll_machine_list(duty.clone())).detach();
}
