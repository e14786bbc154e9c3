//! The streams that are being relayed, so that those that the end of the process cuts are recorded.

use crate::call::Call;
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::record_end;
use crate::router::Router;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The reason that is logged for streams cut at the limit of a stop.
const STOP_LIMIT: &str = "stop_limit";

/// The streams that are being relayed.
#[derive(Default)]
pub struct OpenStreams {
    next: Cell<u64>,
    calls: RefCell<BTreeMap<u64, Rc<Call>>>,
}

impl OpenStreams {
    fn insert(&self, call: &Rc<Call>) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.calls.borrow_mut().insert(number, call.clone());
        number
    }
}

/// A stream that is being relayed, until it is dropped.
pub struct OpenStream {
    router: Rc<Router>,
    number: u64,
}

impl OpenStream {
    /// Registers a stream.
    pub fn new(router: &Rc<Router>, call: &Rc<Call>) -> Self {
        Self { router: router.clone(), number: router.open_streams.insert(call) }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.router.open_streams.calls.borrow_mut().remove(&self.number);
    }
}

/// Records the end of all streams that are still relayed when the process ends.
pub fn record_cut(router: &Router) {
    for call in router.open_streams.calls.take().into_values() {
        router.metrics.on_broken_stream(STOP_LIMIT);
        let events = call.trace.borrow().events;
        let outcome = Outcome::new(OutcomeKind::BrokenOff)
            .with_status(StatusCode::OK.as_u16())
            .with_reason(STOP_LIMIT)
            .with_events(events);
        record_end(router, &call, &outcome);
    }
}
