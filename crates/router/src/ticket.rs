//! A request's claim on a back end, given back however the request ends.

use crate::router::Router;
use mastbay_routing::{Admission, Demand, Fault, Placement, Refusal, TicketId};
use std::cell::Cell;
use std::rc::Rc;

/// Room taken at a back end, or a place among those that wait. Dropped, it is given back.
pub struct Ticket {
    router: Rc<Router>,
    id: TicketId,
    outcome: Cell<Result<(), Option<Fault>>>,
}

impl Ticket {
    /// Asks for a back end and waits for it if there is none with room.
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
                let (sender, verdict) = smol::channel::bounded(1);
                router.waiting.borrow_mut().insert(id, sender);
                // The sender is kept until the verdict is sent.
                let verdict = verdict.recv().await.map_err(|_| Refusal::stopping())?;
                verdict.map(|placement| (ticket, placement))
            }
        }
    }

    fn new(router: &Rc<Router>, id: TicketId) -> Self {
        Self { router: router.clone(), id, outcome: Cell::new(Err(None)) }
    }

    /// The first event or the whole answer has come.
    pub fn on_first_event(&self) {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().on_first_event(now, self.id);
    }

    /// `count` events of the request's stream have come.
    pub fn on_events(&self, count: u32) {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().on_events(now, self.id, count);
    }

    /// The request ended well.
    pub fn succeed(&self) {
        self.outcome.set(Ok(()));
    }

    /// The exchange with the back end went wrong.
    pub fn fail(&self, fault: Fault) {
        self.outcome.set(Err(Some(fault)));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.router.now();
        self.router.waiting.borrow_mut().remove(&self.id);
        let has_room = self.router.dispatcher.borrow_mut().on_end(now, self.id, self.outcome.get());
        if has_room {
            self.router.poll_waiting();
        }
    }
}
