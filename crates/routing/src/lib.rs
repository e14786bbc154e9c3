//! Routing decisions: route lookup, admission, placement on back ends, retries, and what callers
//! may be told about failed requests.
//!
//! Everything here is a pure state machine: time and random draws are arguments, nothing does I/O.

mod address_list;
mod admission;
mod announcements;
mod attempt;
mod back_end;
mod back_end_update;
mod budget;
mod concurrency;
mod configuration;
mod connections;
mod decaying_counter;
mod demand;
mod digest;
mod directory;
mod dispatch;
mod draining;
mod engine;
mod engine_key;
mod evacuation;
mod expired;
mod fingerprint;
mod first_event;
mod gossip;
mod health;
mod incarnations;
mod interval_counts;
mod load;
mod load_stats;
mod overload;
mod performance;
mod policy;
mod prefix_demand;
mod prompt;
mod quarantine;
mod ranking;
mod regions;
mod restored;
mod revision;
mod rollout;
mod service_level;
mod share_class;
mod shares;
mod silence;
mod source_outage;
mod source_watchers;
mod stall;
mod stream_origin;
mod suspect;
mod table;
mod transfer;
mod waiting;
mod warmup;
mod windowed_max;

pub use admission::{
    BacklogReport, ClassBacklog, DelayFigures, MAX_DELAY_FRACTION, OrderClass, RetryDelay,
    SpareCapacity,
};
pub use attempt::{Attempt, AttemptState, ExecutionStatus};
pub use back_end::{BackEnd, BackEndId, BackEndList, BackEndState};
pub use back_end_update::{BackEndUpdate, UsableChanges};
pub use budget::{BudgetLimits, RetryBudget};
pub use concurrency::{ConcurrencyLimit, EVENTS_PER_OBSERVATION, LimitSum, UnloadedEventInterval};
pub use configuration::{
    EngineLimits, Limits, Route, RouteKind, RoutingConfiguration, Service, Target, Tenant,
};
pub use connections::ConnectionBounds;
pub use demand::{Demand, TicketId};
pub use digest::{
    Digest, IncludedDigest, Outgoing, PeerId, PeerMessage, RouterPhase, RouterState, Sum, SumScope,
};
pub use directory::BackEndDirectory;
pub use dispatch::{
    Admission, AdmissionResults, Dispatcher, DispatcherLimits, EARLY_ROUND_PERIOD,
    ExcludedBackEnds, FleetCount, HEAVIEST_TENANTS, NewPeer, Placement, ROUND_PERIOD, Refusal,
    RefusalDetails, RefusalReason, Registrations, RegistryNotice, RetryStatus, Role, RouterCounts,
    SpeedChange,
};
pub use engine_key::{EngineKey, ParseEngineKeyError};
pub use evacuation::EvacuatedZones;
pub use expired::KeptBackEnd;
pub use fingerprint::{ParseFingerprintError, RequestFingerprint, RequestIdentity};
pub use first_event::{FirstEventEstimator, PrefillWork};
pub use health::{Fault, Health};
pub use load::Load;
pub use load_stats::{
    EngineLoad, EngineServiceLevel, LoadStats, LoadStatsSum, ServiceEventInterval, TenantReport,
};
pub use overload::{Lateness, OverloadGuard, PeerCapacity, Tick, TickLag};
pub use performance::{
    EnginePerformance, EnginePerformanceReport, PerformanceCounts, PerformanceEstimate,
    ServiceMeans, SpeedStep, StreamProgress,
};
pub use policy::{
    ConcurrencyPolicy, FairCapacity, FleetPolicies, PerformanceSource, Policy, RankCount,
    RankingPolicy, RetryAfterPolicy, WaitingScope,
};
pub use prefix_demand::{MAX_REPORTED_PREFIXES, PrefixDemand, PrefixRate, RankChange};
pub use prompt::{Prompt, PromptPart};
pub use quarantine::{
    ProbeSlot, Quarantine, QuarantineLimits, QuarantineStatus, QuarantinedSuspect, Relaying,
    TerminationReport,
};
pub use ranking::{
    EngineChoice, ImposedDelay, RankScore, fast_engine_cost, imposed_delay_cost, pause_cost,
    rank_weight,
};
pub use regions::{AllowedRegions, ZoneRegions};
pub use restored::Evacuations;
pub use revision::{ParseRevisionError, Revision};
pub use rollout::{
    AnswerCounts, ExposureLimits, ReleaseCounts, ReleaseReport, RolloutOrder, RolloutRecord,
    RolloutState, Rollouts,
};
pub use service_level::{ACCEPTED_MISSES, ServiceLevel, ServiceLevelCounts};
pub use share_class::{ShareClass, TenantShare};
pub use shares::{Usage, water_level};
pub use silence::{SilenceFinding, SilenceReport};
pub use source_outage::{OutageDetector, SourceAvailability, SourceCondition};
pub use source_watchers::{
    Candidate, SourceContact, StartingRouter, watch_timeout, watches_source,
};
pub use stall::StallDetector;
pub use stream_origin::{
    ASKED_OWNERS, KnownOrigin, ListView, LookupState, MAX_ARCHIVED, MAX_RECORDS, MAX_STREAM_AGE,
    Member, OWNERS, OriginAnswer, OriginHistory, OriginLookup, OriginMessage, OriginQuery,
    OriginRecords, OriginReply, OriginReport, OriginSource, StreamKey, StreamOrigin, StreamRecord,
    owners,
};
pub use suspect::Suspect;
pub use table::{RouteTable, TableEntry};
pub use transfer::TransferLimits;
pub use warmup::{Holders, Warmup, WarmupLimits};
