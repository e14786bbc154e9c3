//! The decisions of a router: which route a request takes, which back end serves it, when it is let in,
//! whether it may be sent again and what its caller may be told.
//!
//! Everything here is a pure state machine: time and random draws are arguments, nothing does I/O.

mod address_list;
mod announcements;
mod attempt;
mod back_end;
mod budget;
mod concurrency;
mod configuration;
mod connections;
mod digest;
mod directory;
mod dispatch;
mod engine;
mod evacuation;
mod fading;
mod figures;
mod fingerprint;
mod first_event;
mod gossip;
mod health;
mod lapsed;
mod lives;
mod overload;
mod policy;
mod prompt;
mod quarantine;
mod regions;
mod restored;
mod revision;
mod rollout;
mod service_level;
mod shares;
mod standstill;
mod table;
mod waiting;
mod warmup;
mod watching;

pub use attempt::{Attempt, AttemptState, Verdict};
pub use back_end::{BackEnd, BackEndId, BackEndList, BackEndState};
pub use budget::{BudgetLimits, RetryBudget};
pub use concurrency::{ConcurrencyLimit, EVENTS_OBSERVED, LimitSum, UnloadedPace};
pub use configuration::{
    EngineLimits, Limits, Route, RouteKind, RoutingConfiguration, Service, Target, Tenant,
};
pub use connections::ConnectionBounds;
pub use digest::{
    Digest, Included, Outgoing, PeerId, PeerMessage, RouterState, Standing, Sum, SumScope,
};
pub use directory::{BackEndDirectory, BackEndUpdate, UsableChanges};
pub use dispatch::{
    Admission, AdmissionResults, Demand, Dispatcher, DispatcherLimits, ExcludedBackEnds,
    HEAVIEST_TENANTS, NewPeer, Placement, ROUND_PERIOD, Refusal, RefusalDetails, RefusalReason,
    Role, TicketId,
};
pub use engine::Load;
pub use evacuation::EvacuatedZones;
pub use figures::{
    EngineKey, EngineLevel, EngineLoad, Figures, FiguresSum, ParseEngineKeyError, ServicePace,
    TenantReport,
};
pub use fingerprint::{ParseFingerprintError, RequestFingerprint, RequestIdentity};
pub use first_event::{FirstEventEstimator, PrefillWork};
pub use health::{Fault, Health};
pub use lapsed::OutageWatch;
pub use overload::{Others, OverloadGuard, Turn};
pub use policy::{ConcurrencyPolicy, FairCapacity, Policy};
pub use prompt::{Prompt, PromptPart};
pub use quarantine::{
    EndReport, ProbeTurn, Quarantine, QuarantineLimits, QuarantinedRequest, Relaying,
    RequestStanding,
};
pub use regions::{AllowedRegions, ZoneRegions};
pub use restored::Evacuations;
pub use revision::{ParseRevisionError, Revision};
pub use rollout::{
    ExposureLimits, ReleaseReport, ReleaseTallies, RolloutOrder, RolloutRecord, RolloutState,
    Rollouts, Tally,
};
pub use service_level::{ACCEPTED_MISSES, LevelCounts, ServiceLevel};
pub use shares::{Usage, water_level};
pub use standstill::StandstillWatch;
pub use table::{RouteTable, TableEntry};
pub use warmup::{Holders, Warmup, WarmupLimits};
pub use watching::{Candidate, Newcomer, SourceContact, follows_source, watch_wait};
