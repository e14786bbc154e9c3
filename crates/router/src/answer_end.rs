//! Records the end of a request when the last byte of its answer was written, or can't be written.

use crate::call::Call;
use crate::local_body::AnswerObserver;
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::record_end;
use crate::router::Router;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// The reason that is logged for answers cut at the limit of a stop.
const STOP_LIMIT: &str = "stop_limit";

/// The answers that are not written to their ends, by their numbers.
#[derive(Default)]
pub struct OpenAnswers {
    next: Cell<u64>,
    answers: RefCell<BTreeMap<u64, Weak<AnswerEnd>>>,
}

/// How far an answer has come.
#[derive(Debug)]
enum Progress {
    /// More of it is to come from the back end.
    Relayed,
    /// All of it is known, and some may have to be written. Holds the outcome if it is.
    Decided(Outcome),
    /// The end of the request is recorded.
    Recorded,
}

/// The end of a request whose answer is being written.
pub struct AnswerEnd {
    router: Rc<Router>,
    call: Rc<Call>,
    number: u64,
    progress: RefCell<Progress>,
    /// Bytes written of the answer, with its head.
    written: Cell<u64>,
}

impl AnswerEnd {
    /// Begins an answer that is relayed as it comes.
    pub fn relayed(router: &Rc<Router>, call: &Rc<Call>) -> Rc<Self> {
        Self::new(router, call, Progress::Relayed)
    }

    /// Begins an answer of which all is known, with the outcome if it is written.
    pub fn decided(router: &Rc<Router>, call: &Rc<Call>, outcome: Outcome) -> Rc<Self> {
        Self::new(router, call, Progress::Decided(outcome))
    }

    fn new(router: &Rc<Router>, call: &Rc<Call>, progress: Progress) -> Rc<Self> {
        let open = &router.open_answers;
        let number = open.next.replace(open.next.get() + 1);
        let end = Rc::new(Self {
            router: router.clone(),
            call: call.clone(),
            number,
            progress: RefCell::new(progress),
            written: Cell::default(),
        });
        open.answers.borrow_mut().insert(number, Rc::downgrade(&end));
        end
    }

    /// Sets the outcome of a relayed answer that has come to its end and is still to be written.
    pub fn decide(&self, outcome: Outcome) {
        *self.progress.borrow_mut() = Progress::Decided(outcome);
    }

    /// Records the end of an answer that goes no further.
    pub fn record(&self, outcome: &Outcome) {
        *self.progress.borrow_mut() = Progress::Recorded;
        let outcome = outcome.clone().with_written(self.written.get());
        record_end(&self.router, &self.call, &outcome);
    }

    /// Takes the outcome of an answer that is still to be written; `None` if it is recorded or its
    /// end has not come.
    fn take_decided(&self) -> Option<Outcome> {
        let mut progress = self.progress.borrow_mut();
        if !matches!(*progress, Progress::Decided(_)) {
            return None;
        }
        match std::mem::replace(&mut *progress, Progress::Recorded) {
            Progress::Decided(outcome) => Some(outcome),
            Progress::Relayed | Progress::Recorded => None,
        }
    }

    /// Records that the process ends before the answer is written.
    fn on_process_end(&self) {
        if matches!(*self.progress.borrow(), Progress::Recorded) {
            return;
        }
        let outcome = match self.take_decided() {
            Some(outcome) => outcome.unwritten(),
            None => {
                self.router.metrics.on_broken_stream(STOP_LIMIT);
                Outcome::new(OutcomeKind::BrokenOff)
                    .with_status(StatusCode::OK.as_u16())
                    .with_events(self.call.trace.borrow().events)
            }
        };
        self.record(&outcome.with_reason(STOP_LIMIT));
    }
}

impl AnswerObserver for AnswerEnd {
    fn on_bytes(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    fn on_written(&self) {
        if let Some(outcome) = self.take_decided() {
            self.record(&outcome);
        }
    }
}

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        self.router.open_answers.answers.borrow_mut().remove(&self.number);
        if let Some(outcome) = self.take_decided() {
            self.record(&outcome.unwritten());
        }
    }
}

/// Records the ends of all answers that are not written when the process ends.
pub fn record_cut(router: &Router) {
    let answers = router.open_answers.answers.take();
    answers.into_values().filter_map(|end| end.upgrade()).for_each(|end| end.on_process_end());
}
