//! The state machine of one request.

use crate::budget::RetryBudget;
use crate::outcome::{Failure, NotRunReason, Outcome, UnknownReason};
use mastbay_types::Timestamp;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its caller was recognised and its body read.
    Accepted,
    /// Its claim is being taken.
    Claiming,
    /// It waits for a grant.
    Queued,
    /// It has a grant; the connection is being opened. No byte of it has left.
    Connecting,
    /// Bytes of it may have left, and the answer has not begun.
    Sent,
    /// The answer has begun to reach the caller.
    Answering,
    /// It has its outcome.
    Over,
}

/// What was declared for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Whether it may be sent again when it may have run.
    pub repeatable: bool,
    /// Whether it carries an idempotency key and may not be repeated, so that a claim is needed.
    pub claim: bool,
    /// Whether it is refused when its claim cannot be kept.
    pub claim_required: bool,
    /// When it must be over.
    pub deadline: Timestamp,
    /// Most times that it is given to a back end, over all reasons.
    pub most_tries: u32,
}

/// What the driver has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Take the claim and call [`Exchange::claim_kept`], [`Exchange::claim_unavailable`] or
    /// [`Exchange::claim_taken`].
    TakeClaim,
    /// Wait for a grant and call [`Exchange::granted`].
    Queue,
    /// Open a connection and call [`Exchange::may_send`] right before the first byte.
    Connect,
    /// Tell the caller.
    Finish(Outcome),
}

/// One request.
#[derive(Debug, Clone)]
pub struct Exchange {
    terms: Terms,
    stage: Stage,
    tries: u32,
    /// Whether a byte of the request has gone to any back end.
    ever_sent: bool,
    /// Whether the claim may be held for this request.
    claimed: bool,
}

impl Exchange {
    /// A request just accepted.
    pub fn new(terms: Terms) -> Self {
        Self { terms, stage: Stage::Accepted, tries: 0, ever_sent: false, claimed: false }
    }

    /// How far the request has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When the request must be over.
    pub fn deadline(&self) -> Timestamp {
        self.terms.deadline
    }

    /// Whether a claim may be held that the outcome has to settle.
    pub fn claimed(&self) -> bool {
        self.claimed
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        if !self.terms.claim {
            return self.queue();
        }
        self.stage = Stage::Claiming;
        // From here on a write may take effect, whatever is answered.
        self.claimed = true;
        Step::TakeClaim
    }

    /// The claim is kept for this request.
    pub fn claim_kept(&mut self) -> Step {
        self.queue()
    }

    /// The platform did not answer in time.
    pub fn claim_unavailable(&mut self) -> Step {
        if self.terms.claim_required {
            return self.finish(Outcome::NotRun(NotRunReason::ClaimsUnavailable));
        }
        self.queue()
    }

    /// Another request holds the claim; `answered` says whether it is known to have run.
    pub fn claim_taken(&mut self, answered: bool) -> Step {
        self.claimed = false;
        let reason =
            if answered { UnknownReason::AlreadyAnswered } else { UnknownReason::Duplicate };
        self.finish(Outcome::Unknown(reason))
    }

    fn queue(&mut self) -> Step {
        self.stage = Stage::Queued;
        Step::Queue
    }

    /// A back end was granted.
    pub fn granted(&mut self) -> Step {
        self.stage = Stage::Connecting;
        self.tries += 1;
        Step::Connect
    }

    /// To be asked right before the first byte is written. With `true`, the request counts as
    /// sent. A process that was paused finds here that the deadline has passed.
    pub fn may_send(&mut self, now: Timestamp) -> bool {
        if self.stage != Stage::Connecting || now >= self.terms.deadline {
            return false;
        }
        self.stage = Stage::Sent;
        true
    }

    /// The driver is certain that no byte was written in this try after all.
    pub fn nothing_written(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Connecting;
        }
    }

    /// The first part of the answer is about to go to the caller.
    pub fn answer_begun(&mut self) {
        self.stage = Stage::Answering;
    }

    /// The whole answer went to the caller.
    pub fn answered(&mut self) -> Step {
        self.finish(Outcome::Answered)
    }

    /// Something went wrong. Decides whether to try again.
    pub fn failed(&mut self, now: Timestamp, failure: Failure, budget: &mut RetryBudget) -> Step {
        self.ever_sent |= self.stage >= Stage::Sent && self.stage != Stage::Over;
        if self.may_try_again(now, failure, budget) {
            return self.queue();
        }
        let outcome = if self.ever_sent {
            Outcome::Unknown(unknown_reason(failure))
        } else {
            Outcome::NotRun(not_run_reason(failure))
        };
        self.finish(outcome)
    }

    fn may_try_again(
        &mut self,
        now: Timestamp,
        failure: Failure,
        budget: &mut RetryBudget,
    ) -> bool {
        let transient = matches!(failure, Failure::Connect | Failure::Broken | Failure::Mismatch);
        let time_left = now < self.terms.deadline && self.tries < self.terms.most_tries;
        if !transient || !time_left {
            return false;
        }
        match self.stage {
            Stage::Connecting => true,
            Stage::Sent => self.terms.repeatable && budget.take_retry(),
            _ => false,
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        self.stage = Stage::Over;
        Step::Finish(outcome)
    }
}

fn unknown_reason(failure: Failure) -> UnknownReason {
    match failure {
        Failure::Connect | Failure::Broken | Failure::Stopping => UnknownReason::BackendFailed,
        Failure::Mismatch => UnknownReason::AnswerMismatch,
        Failure::Deadline => UnknownReason::DeadlinePassed,
        Failure::CallerGone => UnknownReason::CallerGone,
    }
}

fn not_run_reason(failure: Failure) -> NotRunReason {
    match failure {
        Failure::Connect | Failure::Broken | Failure::Mismatch => NotRunReason::NoBackend,
        Failure::Deadline => NotRunReason::DeadlinePassed,
        Failure::CallerGone => NotRunReason::CallerGone,
        Failure::Stopping => NotRunReason::Stopping,
    }
}
