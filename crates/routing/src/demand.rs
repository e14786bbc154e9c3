//! What a request requires of the back end that serves it.

use crate::back_end::BackEndId;
use crate::load::Load;
use crate::prompt::Prompt;
use crate::regions::AllowedRegions;
use crate::share_class::ShareClass;
use crate::suspect::Suspect;
use mastbay_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a request in a dispatcher from admission to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// What a request requires of the back end that serves it.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Name of the requested service.
    pub service: String,
    /// Hash of the route's name.
    pub route: u32,
    /// The prompt of a request to a model; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// When the router received the request.
    pub arrived: Timestamp,
    /// When its caller has no more use for a response.
    pub deadline: Timestamp,
    /// Latency objective: the time after arrival within which the response should start.
    pub objective: Duration,
    /// Longest time between two events of the stream that keeps it in time; `None` if the route has
    /// no such limit.
    pub pause_objective: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The tenant, if the request has one.
    pub tenant: Option<Arc<str>>,
    /// Regions in which the request may be served.
    pub regions: AllowedRegions,
    /// Software version that began the stream which the request resumes. Only back ends of this
    /// version may serve it. `None` if it begins a stream, or none at all.
    pub version: Option<Arc<str>>,
    /// Back ends that must not receive the request again.
    pub tried: Vec<BackEndId>,
    /// The request or the part of its prompt under which back ends have ended, if any have.
    pub suspect: Option<Suspect>,
}

impl Demand {
    /// Returns whether back ends have already worked on the request: it was sent to one before, or
    /// resumes a stream. Then it may wait and start later than a new one.
    pub fn is_retry(&self) -> bool {
        !self.tried.is_empty() || self.version.is_some()
    }

    pub(crate) fn load(&self, uncached: u64, class: ShareClass) -> Load {
        let memory = self.prompt.as_ref().map_or(0, Prompt::memory);
        let prefill = self.prompt.as_ref().map(|prompt| prompt.prefill(uncached));
        let above_share = u32::from(class == ShareClass::AboveShare);
        let prefill = prefill.unwrap_or_default();
        Load { running: 1, above_share, prefill, memory, unplaced: 0 }
    }
}
