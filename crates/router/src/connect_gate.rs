//! Bounds the connects in progress to each address, so that a burst does not overflow the accept
//! queue of a back end.

use mastbay_types::Timestamp;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of connects in progress to one address: a quarter of the usual accept queue.
const MAX_CONNECTING: usize = 32;

/// The connects in progress, by address.
#[derive(Debug, Default)]
pub struct ConnectGate(RefCell<HashMap<SocketAddr, Line>>);

/// The connects to one address, in progress and waiting.
#[derive(Debug, Clone)]
struct Line {
    permits: Arc<Semaphore>,
    /// When a connect last timed out.
    timed_out_at: Rc<Cell<Option<Timestamp>>>,
}

impl Line {
    fn new() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_CONNECTING)), timed_out_at: Rc::default() }
    }

    fn is_in_use(&self) -> bool {
        Arc::strong_count(&self.permits) > 1
    }
}

/// Permission to connect to an address, until it is dropped.
#[derive(Debug)]
pub struct ConnectPermit {
    line: Line,
    _guard: SemaphoreGuardArc,
}

impl ConnectGate {
    /// Waits for permission to connect to `address`.
    pub async fn enter(&self, address: SocketAddr) -> ConnectPermit {
        let line = self.0.borrow_mut().entry(address).or_insert_with(Line::new).clone();
        let guard = line.permits.acquire_arc().await;
        ConnectPermit { line, _guard: guard }
    }

    /// Forgets the addresses to which nothing is connecting.
    pub fn sweep(&self) {
        self.0.borrow_mut().retain(|_, line| line.is_in_use());
    }
}

impl ConnectPermit {
    /// Returns whether a connect to the address timed out after `since`.
    pub fn has_timed_out_since(&self, since: Timestamp) -> bool {
        self.line.timed_out_at.get().is_some_and(|at| at > since)
    }

    /// Records that a connect to the address timed out.
    pub fn on_timeout(&self, now: Timestamp) {
        self.line.timed_out_at.set(Some(now));
    }
}
