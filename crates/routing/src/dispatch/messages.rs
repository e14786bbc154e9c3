//! What a dispatcher is asked and what it answers.

use super::fair_level::ShareClass;
use crate::back_end::{BackEnd, BackEndId};
use crate::budget::BudgetLimits;
use crate::engine::Load;
use crate::fingerprint::RequestFingerprint;
use crate::policy::Policy;
use crate::prompt::Prompt;
use crate::regions::{AllowedRegions, ZoneRegions};
use crate::rollout::ExposureLimits;
use crate::warmup::WarmupLimits;
use mastbay_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Settings of a [`Dispatcher`].
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherLimits {
    /// The router's zone.
    pub zone: String,
    /// The regions of the back ends' zones.
    pub regions: ZoneRegions,
    /// Time over which tenants' shares are kept.
    pub share_window: Duration,
    /// The fleet's budget of second sends for each service.
    pub budget: BudgetLimits,
    /// No burst of second sends before this moment.
    pub burst_from: Timestamp,
    /// The router's part of a processor core.
    pub processor: f32,
    /// What a version that is not judged yet may be sent.
    pub exposure: ExposureLimits,
    /// How far above a cold back end's rate the fleet may go.
    pub warmup: WarmupLimits,
    /// Most requests that wait.
    pub most_waiting: usize,
    /// Settings of the policies.
    pub policy: Policy,
}

/// Names a request in a dispatcher, from admission to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// A hash of its route's name.
    pub route: u32,
    /// Its prompt, if it is for a model.
    pub prompt: Option<Prompt>,
    /// When it came.
    pub arrived: Timestamp,
    /// When it is of no more use to its caller.
    pub deadline: Timestamp,
    /// Time within which it should be answered.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Its tenant.
    pub tenant: Option<Arc<str>>,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
    /// Back ends that it is not given again.
    pub tried: Vec<BackEndId>,
    /// Its fingerprint, if back ends ended under it.
    pub suspect: Option<RequestFingerprint>,
}

impl Demand {
    pub(super) fn load(&self, uncached: u64, class: ShareClass) -> Load {
        let memory = self.prompt.as_ref().map_or(0, Prompt::memory);
        let prefill = self.prompt.as_ref().map(|prompt| prompt.prefill(uncached));
        let above_share = u32::from(class == ShareClass::AboveShare);
        let prefill = prefill.unwrap_or_default();
        Load { running: 1, above_share, prefill, memory, unplaced: 0 }
    }
}

/// How many back ends of a service were in no choice for what they said of themselves in answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExcludedBackEnds {
    /// They end soon.
    pub draining: u32,
    /// They want no requests of this router for a while.
    pub backing_off: u32,
}

/// A back end chosen for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The request's ticket.
    pub ticket: TicketId,
    /// The back end.
    pub back_end: BackEnd,
    /// Time to the first event as predicted.
    pub predicted: Duration,
    /// Requests known to be there from all routers.
    pub running: u32,
    /// Its concurrency limit, in requests.
    pub limit: u32,
    /// Prompt tokens that it has to read for this request.
    pub uncached: u64,
    /// Age of the oldest stat that was used, zero if there are no peers.
    pub stats_age: Duration,
    /// Back ends of the service that were not chosen from.
    pub excluded: ExcludedBackEnds,
}

/// A request that is not served now.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
    /// What was known, if any back end came into question.
    pub details: Option<RefusalDetails>,
    /// Back ends of the service that were not chosen from.
    pub excluded: ExcludedBackEnds,
}

/// What decided against a request: its first back end as it was known, and its tenant's share.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusalDetails {
    /// The back end that comes first for the request.
    pub back_end: BackEndId,
    /// Requests known to be there.
    pub running: u32,
    /// Its concurrency limit, in requests.
    pub limit: u32,
    /// Prompt tokens known to wait there for their prefill.
    pub pending_prefill: u64,
    /// Time to the first event as predicted.
    pub predicted: Duration,
    /// Service that the tenant asks for over the fleet, in tokens a second.
    pub asked: f64,
    /// Service given to the tenant over the fleet, in tokens a second.
    pub given: f64,
    /// Time since the oldest of the rates that count was told to this router.
    pub rates_age: Duration,
    /// The fair level, in tokens a second; none if all can be served.
    pub fair_level: Option<f64>,
}

impl Refusal {
    /// The router stops before the request had its turn.
    pub fn stopping() -> Self {
        Self {
            reason: RefusalReason::Stopping,
            retry_after: Duration::ZERO,
            details: None,
            excluded: ExcludedBackEnds::default(),
        }
    }
}

/// Why a request is not served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.name())]
pub enum RefusalReason {
    /// No back end of the service is known to take work.
    NoBackEnd,
    /// None takes work in the regions where the request may be served.
    NoBackEndInRegion,
    /// All back ends that may serve it want no requests, for longer than it may wait.
    BackingOff,
    /// No back end has room now, and the tenant has more than the fair level.
    OverShare,
    /// No back end has room in time.
    NoRoom,
    /// The router stops.
    Stopping,
    /// Too many requests wait.
    QueueFull,
}

impl RefusalReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoBackEnd => "no_back_end",
            Self::NoBackEndInRegion => "no_back_end_in_region",
            Self::BackingOff => "backing_off",
            Self::OverShare => "over_share",
            Self::NoRoom => "no_room",
            Self::Stopping => "stopping",
            Self::QueueFull => "queue_full",
        }
    }
}

/// Decisions on requests that waited.
pub type AdmissionResults = Vec<(TicketId, Result<Placement, Refusal>)>;

/// The answer to a request for admission.
#[derive(Debug)]
pub enum Admission {
    /// It goes to a back end now.
    Placed(Placement),
    /// It waits; [`Dispatcher::poll`] tells what becomes of it.
    Waiting(TicketId),
    /// It is not served.
    Refused(Refusal),
}
