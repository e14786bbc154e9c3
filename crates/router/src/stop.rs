//! A router's life: start, reload, planned stop.

use crate::callers::serve_callers;
use crate::events;
use crate::listener::{ListenerLimits, OpenConnections, StopSignal, close_unread, listen, serve};
use crate::operations::{operations, readiness};
use crate::peers;
use crate::quarantine;
use crate::router::Router;
use async_signal::{Signal, Signals};
use derive_more::{Display, Error};
use prometheus_client::registry::Registry;
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Why a router did not run.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// An address could not be opened.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals cannot be watched.
    #[display("signals cannot be watched: {source}")]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

/// Time in which balancers notice that the router is not ready any more; it still accepts.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time before the stop limit at which what still runs is cut.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// Connections to the readiness and operations addresses: all members of an aggregator may ask it for a snapshot
/// at the same time.
const OPERATIONS_CONNECTIONS: usize = 160;
/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Runs a router until it is asked to stop. `on_reload` is called when its settings have changed.
///
/// # Errors
/// If an address cannot be opened or signals cannot be watched.
pub async fn run(
    router: Rc<Router>,
    registry: Rc<Registry>,
    on_reload: impl Fn(),
) -> Result<(), RunError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|source| RunError::Signals { source })?;
    let settings = &router.settings;
    let callers = bind(settings.callers)?;
    let readiness_listener = bind(settings.readiness)?;
    let operations_listener = bind(settings.operations)?;
    let offloaded_listener = bind(settings.digests)?;
    let digests = UdpSocket::bind(settings.digests).await;
    let digests = digests
        .map_err(|source| RunError::Bind { address: settings.digests, source })
        .map(Rc::new)?;
    start_background(&router, &digests);
    serve_operations(&router, registry, readiness_listener, operations_listener);
    let serving = serve_callers(&router, callers, offloaded_listener);
    events::life("started", &settings.name);
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                events::life("reload", &settings.name);
                on_reload();
            }
            Ok(_) | Err(_) => break,
        }
    }
    stop(&router, serving).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|source| RunError::Bind { address, source })
}

fn start_background(router: &Rc<Router>, digests: &Rc<UdpSocket>) {
    let runtime = router.runtime;
    let control = runtime.control();
    runtime.spawn(router.clone().keep_polling()).detach();
    control.spawn(peers::send_rounds(router.clone(), digests.clone())).detach();
    control.spawn(peers::receive_messages(router.clone(), digests.clone())).detach();
    control.spawn(peers::fetch_newer(router.clone())).detach();
    let sweeping = router.clone();
    let sweep = async move {
        loop {
            sweeping.runtime.sleep(sweeping.runtime.until_aligned_tick(SWEEP_PERIOD)).await;
            sweeping.pool.sweep();
            quarantine::expire(&sweeping);
        }
    };
    runtime.spawn(sweep).detach();
}

fn serve_operations(
    router: &Rc<Router>,
    registry: Rc<Registry>,
    readiness_listener: TcpListener,
    operations_listener: TcpListener,
) {
    let limits = ListenerLimits {
        max_connections: OPERATIONS_CONNECTIONS,
        head_bytes: 8 << 10,
        idle_timeout: Duration::from_secs(30),
        overflow_fraction: 0.0,
        max_age: None,
        hello: None,
    };
    let never = StopSignal::default();
    let asked = router.clone();
    let handler = move |_| {
        let answer = readiness(&asked);
        async move { answer }
    };
    let runtime = router.runtime.control();
    runtime
        .spawn(serve(
            runtime,
            readiness_listener,
            move || limits,
            close_unread(),
            never.clone(),
            OpenConnections::default(),
            move |_| handler.clone(),
        ))
        .detach();
    let asked = router.clone();
    let handler = move |request| {
        let answer = operations(&asked, &registry, &request);
        async move { answer }
    };
    runtime
        .spawn(serve(
            runtime,
            operations_listener,
            move || limits,
            close_unread(),
            never,
            OpenConnections::default(),
            move |_| handler.clone(),
        ))
        .detach();
}

/// Not ready first, still accepting while balancers notice; then no new connections, and all that runs
/// goes to its end.
async fn stop(router: &Rc<Router>, serving: smol::Task<()>) {
    let name = &router.settings.name;
    events::life("stopping", name);
    router.stopping.set(true);
    let limit = router.settings.stop_limit.saturating_sub(STOP_MARGIN);
    let notice = NOTICE_TIME.min(limit / 2);
    router.runtime.sleep(notice).await;
    router.stop.trigger();
    let ended = router.runtime.within(limit - notice, serving).await;
    events::life(if ended.is_ok() { "stopped" } else { "stopped_at_limit" }, name);
}
