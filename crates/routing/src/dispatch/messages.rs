//! Input and output types of the [`Dispatcher`](super::Dispatcher).

use crate::back_end::{BackEnd, BackEndId};
use crate::budget::BudgetLimits;
use crate::demand::TicketId;
use crate::policy::Policy;
use crate::ranking::EngineChoice;
use crate::regions::ZoneRegions;
use crate::rollout::ExposureLimits;
use crate::share_class::{ShareClass, TenantShare};
use crate::warmup::WarmupLimits;
use mastbay_types::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherLimits {
    /// The router's zone.
    pub zone: String,
    /// The regions of the back ends' zones.
    pub regions: ZoneRegions,
    /// Window in which each tenant is to get its share. Rates are averaged over a part of it.
    pub share_window: Duration,
    /// The fleet's retry budget for each service.
    pub budget: BudgetLimits,
    /// No burst of retries before this time.
    pub burst_from: Timestamp,
    /// CPU share of the router, in cores.
    pub processor: f32,
    /// Bounds on the traffic of a version whose roll-out is not evaluated yet.
    pub exposure: ExposureLimits,
    /// How far the fleet may exceed the rate of a cold back end.
    pub warmup: WarmupLimits,
    /// Maximum number of waiting requests of a service.
    pub most_waiting: usize,
    /// Placement, admission and fair-share policies.
    pub policy: Policy,
}

/// Numbers of a service's back ends that were excluded from selection because of their own
/// announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExcludedBackEnds {
    /// Back ends that announced that they are draining.
    pub draining: u32,
    /// Back ends that asked this router to back off.
    pub backing_off: u32,
}

/// The back end selected for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The request's ticket.
    pub ticket: TicketId,
    /// The selected back end.
    pub back_end: BackEnd,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Requests in progress there before this one, over all routers.
    pub running: u32,
    /// Its concurrency limit, in requests.
    pub limit: u32,
    /// Prompt tokens that are not in its prefix cache.
    pub uncached: u64,
    /// How it was found.
    pub choice: EngineChoice,
    /// Its speed relative to the mean back end of the service.
    pub speed: f64,
    /// Address of an engine that is assumed to hold the prompt's beginning, from which the back end
    /// can fetch it.
    pub prefix_source: Option<SocketAddr>,
    /// Prompt tokens that are expected to be fetched from there.
    pub transferred: u64,
    /// The tenant's share; `None` without a prompt or a tenant, or if shares are not limited.
    pub share: Option<TenantShare>,
    /// Age of the oldest peer stats that were used; zero without peers.
    pub stats_age: Duration,
    /// Back ends of the service that were excluded from selection.
    pub excluded: ExcludedBackEnds,
}

/// A request that is not served.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// State on which the refusal is based; `None` if no back end was a candidate.
    pub details: Option<RefusalDetails>,
    /// Back ends of the service that were excluded from selection.
    pub excluded: ExcludedBackEnds,
}

/// The preferred back end's state and the tenant's share at the time of a refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusalDetails {
    /// The preferred back end for the request.
    pub back_end: BackEndId,
    /// Requests in progress there, over all routers.
    pub running: u32,
    /// Its concurrency limit, in requests.
    pub limit: u32,
    /// Prompt tokens that wait there for prefill.
    pub pending_prefill: u64,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// The tenant's class.
    pub class: ShareClass,
    /// Service that the tenant requests from the fleet, in tokens per second.
    pub asked: f64,
    /// Service that the fleet gives the tenant, in tokens per second.
    pub given: f64,
    /// Age of the oldest tenant rates that were used.
    pub rates_age: Duration,
    /// The fair level, in tokens per second; `None` if all demand can be met.
    pub fair_level: Option<f64>,
    /// Waiting requests and returning callers ahead of it, over all routers.
    pub backlog_ahead: u32,
    /// Slots that free up in a second for it and those ahead of it, over all routers.
    pub drain_rate: f64,
}

impl Refusal {
    /// Returns a refusal for a request that is still waiting when the router stops.
    pub fn stopping() -> Self {
        Self {
            reason: RefusalReason::Stopping,
            retry_after: Duration::ZERO,
            details: None,
            excluded: ExcludedBackEnds::default(),
        }
    }
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.name())]
pub enum RefusalReason {
    /// The service has no back end that accepts requests.
    NoBackEnd,
    /// No back end of the version that began the request's stream accepts requests.
    NoBackEndOfVersion,
    /// No back end accepts requests in the regions where the request may be served.
    NoBackEndInRegion,
    /// All candidates asked this router to back off for longer than the request may wait.
    BackingOff,
    /// Connecting to all candidates failed, and none will be tried again before the request may wait
    /// no longer.
    Unreachable,
    /// No back end has free capacity, and the tenant is above the fair level.
    OverShare,
    /// No back end had free capacity in time.
    NoRoom,
    /// The router is stopping.
    Stopping,
    /// The service's waiting queue is full.
    QueueFull,
    /// The requests ahead of it will not be placed within the time for which it may wait.
    Backlog,
    /// Even without other load, its first event would arrive after the deadline.
    PastDeadline,
}

impl RefusalReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoBackEnd => "no_back_end",
            Self::NoBackEndOfVersion => "no_back_end_of_version",
            Self::NoBackEndInRegion => "no_back_end_in_region",
            Self::BackingOff => "backing_off",
            Self::Unreachable => "unreachable",
            Self::OverShare => "over_share",
            Self::NoRoom => "no_room",
            Self::Stopping => "stopping",
            Self::QueueFull => "queue_full",
            Self::Backlog => "backlog",
            Self::PastDeadline => "past_deadline",
        }
    }
}

/// Placements and refusals of requests that were waiting.
pub type AdmissionResults = Vec<(TicketId, Result<Placement, Refusal>)>;

/// Result of [`Dispatcher::admit`](super::Dispatcher::admit).
#[derive(Debug)]
pub enum Admission {
    /// The request can be sent to a back end now.
    Placed(Placement),
    /// The request waits; [`Dispatcher::poll`](super::Dispatcher::poll) returns its result.
    Waiting(TicketId),
    /// The request is not served.
    Refused(Refusal),
}
