//! An RAII guard for a request that the dispatcher admitted.

use crate::router::Router;
use mastbay_routing::{Admission, Demand, Fault, Placement, Refusal, TicketId};
use std::cell::Cell;
use std::rc::Rc;

/// A slot at a back end, or a place in the queue of waiting requests. Dropping the ticket releases
/// it and reports the outcome to the dispatcher.
pub struct Ticket {
    router: Rc<Router>,
    id: TicketId,
    outcome: Cell<Result<(), Option<Fault>>>,
}

impl Ticket {
    /// Requests a back end from the dispatcher, and waits if none has capacity. A future that is
    /// dropped while it waits leaves the queue.
    pub async fn obtain(
        router: &Rc<Router>,
        demand: Demand,
    ) -> Result<(Ticket, Placement), Refusal> {
        let now = router.now();
        let admission = router.dispatcher.borrow_mut().admit(now, demand, rand::random());
        match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Placed(placement) => Ok((Ticket::new(router, placement.ticket), placement)),
            Admission::Waiting(id) => {
                let ticket = Ticket::new(router, id);
                let (sender, result) = smol::channel::bounded(1);
                router.waiting.borrow_mut().insert(id, sender);
                // The sender stays in `waiting` until it has sent the result.
                let result = result.recv().await.map_err(|_| Refusal::stopping())?;
                result.map(|placement| (ticket, placement))
            }
        }
    }

    /// Requests a back end that has capacity now.
    pub fn obtain_at_once(router: &Rc<Router>, demand: &Demand) -> Option<(Ticket, Placement)> {
        let now = router.now();
        let placement = router.dispatcher.borrow_mut().admit_at_once(now, demand)?;
        Some((Ticket::new(router, placement.ticket), placement))
    }

    fn new(router: &Rc<Router>, id: TicketId) -> Self {
        Self { router: router.clone(), id, outcome: Cell::new(Err(None)) }
    }

    /// Reports that the first event or the complete answer was received.
    pub fn on_first_event(&self) {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().on_first_event(now, self.id);
    }

    /// Reports that the answer is an error, before its receipt is reported.
    pub fn on_error_answer(&self) {
        self.router.dispatcher.borrow_mut().on_error_answer(self.id);
    }

    /// Reports that `count` events of the request's stream were received.
    pub fn on_events(&self, count: u32) {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().on_events(now, self.id, count);
    }

    /// Marks the exchange as successful. One that is not marked counts neither as success nor as
    /// fault.
    pub fn succeed(&self) {
        self.outcome.set(Ok(()));
    }

    /// Marks the exchange with the back end as failed.
    pub fn fail(&self, fault: Fault) {
        self.outcome.set(Err(Some(fault)));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.router.now();
        self.router.waiting.borrow_mut().remove(&self.id);
        let has_capacity =
            self.router.dispatcher.borrow_mut().on_end(now, self.id, self.outcome.get());
        if has_capacity {
            self.router.poll_waiting();
        }
    }
}
