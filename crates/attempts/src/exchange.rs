//! State machine of a request.

use crate::budget::RetryBudget;
use crate::outcome::{Failure, NotRunReason, Outcome, UnknownReason};
use mastbay_types::Timestamp;

/// Stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The caller is authenticated and the body is read.
    Accepted,
    /// The claim is being acquired.
    Claiming,
    /// Waiting for a grant.
    Queued,
    /// A back end is granted and the connection is being opened. No byte has been sent.
    Connecting,
    /// Bytes may have been sent, and the answer has not started.
    Sent,
    /// The answer is being sent to the caller.
    Answering,
    /// The outcome is final.
    Over,
}

/// Rules that apply to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Whether it may be sent again if it may have run.
    pub repeatable: bool,
    /// Whether it needs a claim: it has an idempotency key and is not repeatable.
    pub claim: bool,
    /// Whether it is refused if its claim cannot be stored.
    pub claim_required: bool,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Maximum number of attempts, for any reason.
    pub max_attempts: u32,
}

/// Next action of the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Acquire the claim and call [`Exchange::claim_kept`], [`Exchange::claim_unavailable`] or
    /// [`Exchange::claim_taken`].
    TakeClaim,
    /// Wait for a grant and call [`Exchange::granted`].
    Queue,
    /// Open a connection and call [`Exchange::may_send`] right before the first byte.
    Connect,
    /// Report the outcome to the caller.
    Finish(Outcome),
}

/// State of one request.
#[derive(Debug, Clone)]
pub struct Exchange {
    policy: RequestPolicy,
    stage: Stage,
    attempts: u32,
    /// Whether a byte of the request may have been sent to any back end.
    ever_sent: bool,
    /// Whether the claim may be held for this request.
    claimed: bool,
}

impl Exchange {
    /// Creates the state of an accepted request.
    pub fn new(policy: RequestPolicy) -> Self {
        Self { policy, stage: Stage::Accepted, attempts: 0, ever_sent: false, claimed: false }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Timestamp {
        self.policy.deadline
    }

    /// Returns whether the request may hold a claim, which must be released or completed with the
    /// outcome.
    pub fn claimed(&self) -> bool {
        self.claimed
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        if !self.policy.claim {
            return self.queue();
        }
        self.stage = Stage::Claiming;
        // The write of the claim may take effect even if it appears to fail.
        self.claimed = true;
        Step::TakeClaim
    }

    /// Handles an acquired claim.
    pub fn claim_kept(&mut self) -> Step {
        self.queue()
    }

    /// Handles a claim that could not be stored in time.
    pub fn claim_unavailable(&mut self) -> Step {
        if self.policy.claim_required {
            return self.finish(Outcome::NotRun(NotRunReason::ClaimsUnavailable));
        }
        self.queue()
    }

    /// Handles a claim that another request holds; `answered` is whether that one was answered.
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

    /// Handles a granted back end.
    pub fn granted(&mut self) -> Step {
        self.stage = Stage::Connecting;
        self.attempts += 1;
        Step::Connect
    }

    /// Returns whether the request may be sent; if so, it counts as sent. Must be called right
    /// before the first byte is written, as the process may have been suspended past the deadline.
    pub fn may_send(&mut self, now: Timestamp) -> bool {
        if self.stage != Stage::Connecting || now >= self.policy.deadline {
            return false;
        }
        self.stage = Stage::Sent;
        true
    }

    /// Reverts [`Exchange::may_send`] if it is certain that no byte was written in this attempt.
    pub fn nothing_written(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Connecting;
        }
    }

    /// Must be called right before the first byte of the answer is sent to the caller.
    pub fn answer_begun(&mut self) {
        self.stage = Stage::Answering;
    }

    /// Handles an answer that was completely sent to the caller.
    pub fn answered(&mut self) -> Step {
        self.finish(Outcome::Answered)
    }

    /// Handles a failed attempt. Returns whether to retry or how the request ends.
    pub fn failed(&mut self, now: Timestamp, failure: Failure, budget: &mut RetryBudget) -> Step {
        self.ever_sent |= self.stage >= Stage::Sent && self.stage != Stage::Over;
        if self.may_retry(now, failure, budget) {
            return self.queue();
        }
        let outcome = if self.ever_sent {
            Outcome::Unknown(unknown_reason(failure))
        } else {
            Outcome::NotRun(not_run_reason(failure))
        };
        self.finish(outcome)
    }

    fn may_retry(&mut self, now: Timestamp, failure: Failure, budget: &mut RetryBudget) -> bool {
        let is_transient =
            matches!(failure, Failure::Connect | Failure::Broken | Failure::Mismatch);
        let has_attempts_left =
            now < self.policy.deadline && self.attempts < self.policy.max_attempts;
        if !is_transient || !has_attempts_left {
            return false;
        }
        match self.stage {
            Stage::Connecting => true,
            Stage::Sent => self.policy.repeatable && budget.take_retry(),
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
