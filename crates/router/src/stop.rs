//! Start, reload and planned stop of a router.

use crate::answer_end;
use crate::callers::serve_callers;
use crate::events;
use crate::listener::{
    ListenerContext, ListenerLimits, OpenConnections, StopSignal, close_unread, listen, serve,
};
use crate::operations::{operations, readiness};
use crate::peers;
use crate::quarantine;
use crate::receive_time::ReadDelay;
use crate::retries;
use crate::router::Router;
use crate::shutdown::{LAST_ANSWERS_MIN_TIME, Shutdown, StopSchedule};
use crate::stream_origins;
use async_signal::{Signal, Signals};
use derive_more::{Display, Error};
use mastbay_types::Timestamp;
use mastbay_web::TimedOut;
use prometheus_client::registry::Registry;
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Error that keeps a router from running.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[display("cannot install signal handlers: {source}")]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Maximum number of connections to each of the readiness and operations addresses: all members of
/// an aggregator may fetch a snapshot at the same time.
const MAX_OPERATIONS_CONNECTIONS: usize = 160;
/// Interval between checks whether the last answers of a stop begin.
const LAST_ANSWERS_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between sweeps of idle connections and expired quarantine entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a router until SIGTERM or SIGINT, and calls `on_reload` at each SIGHUP.
///
/// # Errors
/// If an address cannot be bound or the signal handlers cannot be installed.
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
    events::process("started", &settings.name);
    settings.ignored_keys.iter().for_each(|key| events::setting_ignored(key));
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                events::process("reload", &settings.name);
                on_reload();
            }
            Ok(_) | Err(_) => break,
        }
    }
    let signalled = router.earliest_signal();
    stop(&router, signalled, serving).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|source| RunError::Bind { address, source })
}

fn start_background(router: &Rc<Router>, digests: &Rc<UdpSocket>) {
    router.peer_socket.get_or_init(|| digests.clone());
    let runtime = router.runtime;
    let control = runtime.control();
    runtime.spawn(router.clone().run_ticks()).detach();
    control.spawn(peers::send_rounds(router.clone(), digests.clone())).detach();
    control.spawn(peers::receive_messages(router.clone(), digests.clone())).detach();
    control.spawn(peers::fetch_newer(router.clone())).detach();
    let sweeping = router.clone();
    let sweep = async move {
        loop {
            sweeping.runtime.sleep(sweeping.runtime.until_aligned_tick(SWEEP_INTERVAL)).await;
            sweeping.pool.sweep().iter().for_each(|id| sweeping.update_idle_connection(id));
            quarantine::expire(&sweeping);
            stream_origins::expire(&sweeping);
            retries::settle_unanswered(&sweeping);
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
        max_connections: MAX_OPERATIONS_CONNECTIONS,
        head_bytes: 8 << 10,
        idle_timeout: Duration::from_secs(30),
        overflow_fraction: 0.0,
        max_age: None,
        hello: None,
    };
    let context = || ListenerContext {
        overflow: close_unread(),
        stop: StopSignal::default(),
        open: OpenConnections::default(),
        read_delays: Rc::new(ReadDelay::default),
    };
    let answering = router.clone();
    let handler = move |_, _| {
        let answer = readiness(&answering);
        async move { answer }
    };
    let runtime = router.runtime.control();
    runtime
        .spawn(serve(
            runtime,
            readiness_listener,
            move || limits,
            context(),
            move |_| handler.clone(),
        ))
        .detach();
    let answering = router.clone();
    let handler = move |request, _| {
        let answer = operations(&answering, &registry, &request);
        async move { answer }
    };
    runtime
        .spawn(serve(
            runtime,
            operations_listener,
            move || limits,
            context(),
            move |_| handler.clone(),
        ))
        .detach();
}

/// Stops the router: it is not ready but still accepts connections until load balancers notice,
/// then accepts none and lets requests in progress complete until the stop limit. All moments count
/// from `signalled`, the earliest time at which the signal may have arrived.
async fn stop(router: &Rc<Router>, signalled: Timestamp, mut serving: smol::Task<()>) {
    let name = &router.settings.name;
    events::process("stopping", name);
    let schedule = StopSchedule::new(signalled, router.settings.stop_limit);
    router.shutdown.set(Shutdown::Stopping(schedule));
    let until = |at: Timestamp| at.since(router.now());
    // Timers may fire a few milliseconds early.
    while router.now() < schedule.notice_end {
        router.runtime.sleep(until(schedule.notice_end)).await;
    }
    router.stop.trigger();
    let mut ended = Err(TimedOut);
    while ended.is_err() && !schedule.begins_last_answers(router.now(), router.lateness()) {
        let check = until(schedule.last_answers).min(LAST_ANSWERS_CHECK_INTERVAL);
        ended = router.runtime.within(check, &mut serving).await;
    }
    if ended.is_err() {
        router.stop_limit.trigger();
        let left = until(schedule.limit).max(LAST_ANSWERS_MIN_TIME);
        ended = router.runtime.within(left, &mut serving).await;
    }
    answer_end::record_cut(router);
    events::process(if ended.is_ok() { "stopped" } else { "stopped_at_limit" }, name);
}
