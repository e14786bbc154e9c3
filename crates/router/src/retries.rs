//! The retries that a request takes from the budget of its service, from the decision until none of
//! its sends can arrive any more.
//!
//! What counts is when back ends read a request. A back end that stands still, or whose link is
//! cut, may read a request long after the router has left it for another one, so a retry stays
//! charged for that long.

use crate::call::Call;
use crate::events;
use crate::router::Router;
use mastbay_routing::BackEndId;
use mastbay_types::Timestamp;
use std::cell::Cell;
use std::rc::Rc;

/// The retries of one request.
pub struct RequestRetries {
    router: Rc<Router>,
    call: Rc<Call>,
    /// Whether a retry was taken and the request was not sent since.
    is_held: Cell<bool>,
    pending: Rc<PendingRetries>,
}

impl RequestRetries {
    /// Creates the state of a request that has not been sent.
    pub fn new(router: &Rc<Router>, call: &Rc<Call>) -> Rc<Self> {
        let (router, call) = (router.clone(), call.clone());
        Rc::new(Self { router, call, is_held: Cell::default(), pending: Rc::default() })
    }

    /// Returns whether a retry is held for the next send, or could be taken.
    pub fn is_available(&self) -> bool {
        self.is_held.get() || self.router.has_retries(&self.call.service)
    }

    /// Takes a retry for the next send, unless one is held already. Returns false if the budget is
    /// empty.
    pub fn hold(&self) -> bool {
        if !self.is_held.get() {
            self.is_held.set(self.router.take_retry(&self.call));
        }
        self.is_held.get()
    }

    /// Records that the request is being sent to a back end. Uses up the retry that is held.
    pub fn begin_send(self: &Rc<Self>, back_end: &BackEndId) -> PendingSend {
        let is_retry = self.is_held.take();
        self.pending.begin_send(is_retry);
        let (retries, back_end) = (self.clone(), back_end.clone());
        PendingSend { retries, back_end, is_retry, is_settled: false }
    }

    /// Returns whether the request arrives more than once if all its sends arrive.
    fn has_any(&self) -> bool {
        self.is_held.get() || self.pending.retries.get() > 0
    }
}

impl Drop for RequestRetries {
    fn drop(&mut self) {
        if self.is_held.get() {
            self.router.dispatcher.borrow_mut().return_retry(&self.call.service);
        }
    }
}

/// Sends of one request that may still arrive, and the retries that were used for them.
#[derive(Default)]
struct PendingRetries {
    sends: Cell<u32>,
    retries: Cell<u32>,
}

impl PendingRetries {
    fn begin_send(&self, is_retry: bool) {
        self.sends.set(self.sends.get() + 1);
        self.retries.set(self.retries.get() + u32::from(is_retry));
    }

    /// Records that a send has arrived or can't arrive any more. After the last one, the retries
    /// stay charged for one window of the budget of `service`.
    fn on_send_settled(&self, router: &Router, service: &str) {
        self.sends.set(self.sends.get() - 1);
        let settled = if self.sends.get() == 0 { self.retries.take() } else { 0 };
        // Nearly all requests are sent once and have no retry to settle.
        if settled > 0 {
            let now = router.now();
            router.dispatcher.borrow_mut().settle_retries(now, service, settled);
        }
    }
}

/// A send that may not have arrived yet. Dropped before the back end answered, it may arrive later.
pub struct PendingSend {
    retries: Rc<RequestRetries>,
    back_end: BackEndId,
    /// Whether it used up a retry.
    is_retry: bool,
    is_settled: bool,
}

impl PendingSend {
    /// Records that the back end has read the request, or has closed the connection.
    pub fn on_arrived(mut self) {
        self.settle();
    }

    /// Records that nothing was sent. A retry that was used is held again.
    pub fn on_unsent(mut self) {
        if self.is_retry {
            let pending = &self.retries.pending.retries;
            pending.set(pending.get() - 1);
            self.retries.is_held.set(true);
        }
        self.settle();
    }

    fn settle(&mut self) {
        self.is_settled = true;
        let RequestRetries { router, call, pending, .. } = &*self.retries;
        pending.on_send_settled(router, &call.service);
    }
}

impl Drop for PendingSend {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if !self.retries.has_any() {
            return self.settle();
        }
        let RequestRetries { router, call, pending, .. } = &*self.retries;
        let unanswered = UnansweredSend {
            service: call.service.clone(),
            back_end: self.back_end.clone(),
            left: router.now(),
            pending: pending.clone(),
        };
        router.unanswered_sends.borrow_mut().push(unanswered);
    }
}

/// A send that the router has left without an answer, of a request that was sent again.
pub(crate) struct UnansweredSend {
    /// The service whose budget its request uses.
    service: String,
    back_end: BackEndId,
    /// When the router left it.
    left: Timestamp,
    pending: Rc<PendingRetries>,
}

/// Settles the sends that can't arrive any more.
pub(crate) fn settle_unanswered(router: &Router) {
    let now = router.now();
    let settled: Vec<UnansweredSend> = {
        let dispatcher = router.dispatcher.borrow();
        let mut unanswered = router.unanswered_sends.borrow_mut();
        unanswered
            .extract_if(.., |send| !dispatcher.may_still_arrive(now, &send.back_end, send.left))
            .collect()
    };
    settled.iter().for_each(|send| send.pending.on_send_settled(router, &send.service));
    let unanswered = router.unanswered_sends.borrow().len();
    router.metrics.set_unanswered_sends(unanswered);
    if !settled.is_empty() {
        events::sends_settled(settled.len(), unanswered);
    }
}
