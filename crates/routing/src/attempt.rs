//! The execution state of one request over all its attempts: the only place that decides whether a
//! request may be sent again and whether its caller may be told that it did not run.

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AttemptState {
    /// No byte of it has been sent.
    #[default]
    Unsent,
    /// Sent to a back end that has not answered yet.
    Sent,
    /// Answered by a back end with a head that shows that it ran.
    Answered,
    /// Sent to a back end with an unknown outcome.
    Unknown,
}

/// What a caller may be told about a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It has not run and will not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// A request over all the back ends that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    idempotent: bool,
    max_sends: u32,
    sends: u32,
    /// Number of sends after which the request has run or may have run.
    possible_runs: u32,
    state: AttemptState,
}

impl Attempt {
    /// Creates an unsent request. `max_sends` is raised to at least 1.
    pub fn new(idempotent: bool, max_sends: u32) -> Self {
        let max_sends = max_sends.max(1);
        Self { idempotent, max_sends, sends: 0, possible_runs: 0, state: AttemptState::Unsent }
    }

    /// Returns the progress of the request.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns the number of sends, without those that a back end reported as not run.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the request is being sent to a back end.
    pub fn on_send(&mut self) {
        self.sends += 1;
        self.state = AttemptState::Sent;
    }

    /// Reverts a send of which nothing was written because the connection had closed before.
    pub fn on_nothing_written(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.revert_send();
    }

    /// Reverts a send after the back end reported that it did not run the request.
    pub fn on_not_run(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.revert_send();
    }

    /// Records a response head that shows that the request ran.
    pub fn on_answer(&mut self) {
        self.possible_runs += 1;
        self.state = AttemptState::Answered;
    }

    /// Records that the connection broke, timed out or carried an unexpected response.
    pub fn on_lost(&mut self) {
        self.possible_runs += 1;
        self.state = AttemptState::Unknown;
    }

    /// Returns whether the request may be sent to a further back end.
    pub fn may_send(&self) -> bool {
        let is_safe = match self.state {
            AttemptState::Unsent => self.possible_runs == 0 || self.idempotent,
            AttemptState::Sent => false,
            AttemptState::Answered | AttemptState::Unknown => self.idempotent,
        };
        is_safe && self.sends < self.max_sends
    }

    /// Returns whether the request might be sent to a further back end if the current attempt was
    /// lost.
    pub fn may_send_if_lost(&self) -> bool {
        let mut as_lost = self.clone();
        as_lost.on_lost();
        as_lost.may_send()
    }

    /// Returns what the caller may be told if the request is given up now.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self.state {
            AttemptState::Unsent if self.possible_runs == 0 => ExecutionStatus::NotRun,
            _ => ExecutionStatus::MayHaveRun,
        }
    }

    fn revert_send(&mut self) {
        self.state =
            if self.possible_runs == 0 { AttemptState::Unsent } else { AttemptState::Unknown };
    }
}
