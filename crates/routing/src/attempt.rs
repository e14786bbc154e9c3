//! The life of one request in a router: the only place that decides whether it may be sent again and
//! whether its caller may be told that it did not run.

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AttemptState {
    /// No byte of it has left.
    #[default]
    Unsent,
    /// It was handed to a back end, which has not answered.
    Sent,
    /// A back end answered it with a head that stands for a run.
    Answered,
    /// It was handed to a back end and its outcome is not known.
    Unknown,
}

/// What a caller may be told once a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// One request, over all the back ends that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    idempotent: bool,
    max_sends: u32,
    sends: u32,
    /// Sends after which it has run or may have run.
    runs: u32,
    state: AttemptState,
}

impl Attempt {
    /// A request that no byte of has left.
    pub fn new(idempotent: bool, max_sends: u32) -> Self {
        let max_sends = max_sends.max(1);
        Self { idempotent, max_sends, sends: 0, runs: 0, state: AttemptState::Unsent }
    }

    /// How far it has come.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Times it was handed to a back end that did not say that it had not run it.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// It is being handed to a back end.
    pub fn on_send(&mut self) {
        self.sends += 1;
        self.state = AttemptState::Sent;
    }

    /// Nothing of it was written after all: the connection had closed before.
    pub fn on_nothing_written(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.settle_unsent();
    }

    /// The back end's own word: it did not run the request.
    pub fn on_not_run(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.settle_unsent();
    }

    /// A head that stands for a run has come.
    pub fn on_answer(&mut self) {
        self.runs += 1;
        self.state = AttemptState::Answered;
    }

    /// The connection broke, timed out or carried something else.
    pub fn on_lost(&mut self) {
        self.runs += 1;
        self.state = AttemptState::Unknown;
    }

    /// Whether it may be handed to a further back end, as far as its own life tells.
    pub fn may_send(&self) -> bool {
        let settled = match self.state {
            AttemptState::Unsent => self.runs == 0 || self.idempotent,
            AttemptState::Sent => false,
            AttemptState::Answered | AttemptState::Unknown => self.idempotent,
        };
        settled && self.sends < self.max_sends
    }

    /// What its caller may be told when it is given up now.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self.state {
            AttemptState::Unsent if self.runs == 0 => ExecutionStatus::NotRun,
            _ => ExecutionStatus::MayHaveRun,
        }
    }

    fn settle_unsent(&mut self) {
        self.state = if self.runs == 0 { AttemptState::Unsent } else { AttemptState::Unknown };
    }
}
