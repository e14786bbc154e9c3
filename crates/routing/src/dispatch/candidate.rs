//! Candidates in the selection of a back end, and the conditions that a request sets for them.

use crate::back_end::BackEndId;
use crate::first_event::PrefillWork;
use crate::prompt::Prompt;
use crate::ranking::EngineChoice;
use crate::rollout::VersionFilter;
use crate::share_class::ShareClass;
use crate::transfer::PlannedTransfer;
use std::time::Duration;

/// A back end with its cost for a request.
#[derive(Debug, Clone)]
pub struct ScoredBackEnd {
    pub id: BackEndId,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Predicted time to the first event if no other prefill were pending.
    pub predicted_idle: Duration,
    /// Prompt tokens that are not in its prefix cache.
    pub uncached: u64,
    /// Prefill to be done before the request's first event, including the request's own.
    pub work_ahead: PrefillWork,
    /// How it was found.
    pub choice: EngineChoice,
    /// Transfer of the prompt's beginning from another engine. Its time is part of the prediction,
    /// of the uncached tokens and of the cost.
    pub transfer: Option<PlannedTransfer>,
    /// Selection cost; the lowest wins.
    pub cost: f64,
}

impl ScoredBackEnd {
    /// Returns whether the back end would prefill the prompt's shared prefix again.
    pub fn recomputes(&self, prompt: &Prompt) -> bool {
        self.uncached > prompt.own_tokens() && self.transfer.is_none()
    }
}

/// Request-dependent conditions for the selection of a back end.
#[derive(Debug, Clone)]
pub struct SelectionCriteria {
    pub class: ShareClass,
    /// Whether the request's waiting time is over, so that its first event may be late.
    pub is_final_attempt: bool,
    /// The versions that may serve the request.
    pub release: VersionFilter,
}
