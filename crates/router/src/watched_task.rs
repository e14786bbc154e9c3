//! Finds tasks that keep the router's only thread for long: meanwhile no other request, timer, signal
//! or question for readiness is served.

use crate::events;
use crate::runtime::Runtime;
use derive_more::Display;
use mastbay_web::ReadMeter;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time from which a turn of a task is logged.
const LONG_TURN: Duration = Duration::from_millis(100);

/// The kind of connection that a task serves. The displayed names are values in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectionKind {
    /// A connection of a caller, of a load balancer or of an operator.
    #[display("caller")]
    Caller,
    /// A connection to a back end.
    #[display("back_end")]
    BackEnd,
    /// A connection to a source or to a peer.
    #[display("source")]
    Source,
}

/// The remote side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remote {
    /// The kind of the connection.
    pub kind: ConnectionKind,
    /// The address of the other side.
    pub address: SocketAddr,
}

/// Counts of troubles with connections, since they were last taken.
#[derive(Debug, Default)]
pub struct ConnectionTroubles {
    long_turns: Cell<u32>,
    excessive: Cell<u32>,
}

impl ConnectionTroubles {
    /// Returns the number of turns that took long.
    pub fn take_long_turns(&self) -> u32 {
        self.long_turns.take()
    }

    /// Returns the number of connections closed because their other sides sent too many bytes that
    /// completed nothing.
    pub fn take_excessive(&self) -> u32 {
        self.excessive.take()
    }

    fn record_long_turn(&self) {
        self.long_turns.set(self.long_turns.get().saturating_add(1));
    }

    fn record_excessive(&self) {
        self.excessive.set(self.excessive.get().saturating_add(1));
    }
}

/// Spawns the driver of a connection that this router opened. Its error also fails the exchange.
pub fn spawn_driver<F>(
    runtime: Runtime,
    remote: Remote,
    meter: ReadMeter,
    driver: F,
) -> smol::Task<()>
where
    F: Future<Output = hyper::Result<()>> + 'static,
{
    let driver = async move {
        let ended = driver.await;
        report_excess(runtime, remote, &meter);
        ended.unwrap_or_default()
    };
    runtime.spawn(watched(runtime, remote, driver))
}

/// Logs and counts the end of a connection if its other side sent too many bytes that completed
/// nothing.
pub fn report_excess(runtime: Runtime, remote: Remote, meter: &ReadMeter) {
    if let Some(excess) = meter.excess() {
        runtime.troubles().record_excessive();
        events::excess_bytes(remote, excess);
    }
}

/// Runs the task of a connection. Logs and counts each of its turns that takes long.
pub fn watched<F: Future>(
    runtime: Runtime,
    remote: Remote,
    task: F,
) -> impl Future<Output = F::Output> {
    // Boxed, since each future that it is moved into would hold it twice.
    let mut task = Box::pin(task);
    poll_fn(move |context| {
        let began = Instant::now();
        let polled = task.as_mut().poll(context);
        let lasted = began.elapsed();
        if lasted >= LONG_TURN {
            runtime.troubles().record_long_turn();
            events::long_turn(remote, lasted);
        }
        polled
    })
}
