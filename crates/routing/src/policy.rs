//! Settings of placement, admission and fair sharing. Each mechanism can be switched off to measure
//! its effect.

use crate::service_level::ACCEPTED_MISSES;

/// How the concurrency limit of an engine for tenants above their fair share is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConcurrencyPolicy {
    /// The number of slots.
    Slots,
    /// Adapted to the event intervals of streams, see [`crate::ConcurrencyLimit`].
    Adaptive,
    /// A fixed number, at most the number of slots.
    Fixed(u32),
    /// The slots that tenants within their share do not need.
    Spare,
}

/// Whose observations of an engine predict its performance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PerformanceSource {
    /// Those of this router.
    Own,
    /// Those of all routers.
    Fleet,
}

impl PerformanceSource {
    /// Returns whether performance is observed, reported and used over all routers.
    pub fn is_fleet(self) -> bool {
        self == Self::Fleet
    }
}

/// How the engines are ranked for a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankingPolicy {
    /// All engines get an equal share of the prefixes.
    Plain,
    /// Faster engines get more prefixes.
    Weighted,
}

/// How many engines serve a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankCount {
    /// A fixed number.
    Fixed,
    /// More for prefixes that are requested more often.
    Demand,
}

/// The waiting requests among which the order of placement holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingScope {
    /// Those of this router.
    Router,
    /// Those of all routers.
    Fleet,
}

/// How the retry delay of a refused request is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfterPolicy {
    /// From the time left to its deadline.
    Deadline,
    /// From the time until the requests ahead of it are served.
    Backlog,
}

/// The capacity that is shared fairly among tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FairCapacity {
    /// The capacity declared in the configuration.
    Declared,
    /// The granted rate where it exceeds the declared capacity.
    Served,
}

/// When the policies that rely on figures of the whole fleet apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPolicies {
    /// In every fleet.
    Always,
    /// In fleets with aggregators. In a smaller one each router meets each engine often enough to
    /// learn it alone, by the policies that need no figures of other routers.
    LargeFleets,
}

/// Settings of the routing policies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Concurrency limit per engine for requests of tenants above their fair share.
    pub concurrency: ConcurrencyPolicy,
    /// Number of engines, in the rendezvous order of a shared prefix, that may prefill it.
    pub preferred_engines: usize,
    /// The same for a prefix that is cheap to prefill again.
    pub preferred_engines_cheap: usize,
    /// Maximum time to the first event, as a multiple of that without other load, at which a
    /// request is placed that no engine can serve in time. 0 refuses such requests unless an engine
    /// is idle.
    pub late_slack: f64,
    /// Fraction of the objective for which a request waits for the engine that holds its prefix
    /// before another one prefills it.
    pub locality_wait_fraction: f64,
    /// Maximum fraction of an engine's slots reserved for tenants below half of their fair share
    /// whose requests could not be placed.
    pub reserve_below_half: f64,
    /// Accepted event interval as a multiple of that of an unloaded engine.
    pub slowdown: f64,
    /// The same while tenants within their fair share miss their objective too often. Misses at a
    /// lower slowdown have a cause other than load.
    pub strained_slowdown: f64,
    /// Fraction of the requests of tenants within their fair share that may miss their objective
    /// before tenants above it are limited further.
    pub accepted_misses: f64,
    /// Maximum predicted time to the first event of tenants above their fair share, as a fraction
    /// of the objective.
    pub above_share_time_fraction: f64,
    /// The same for all other requests.
    pub time_fraction: f64,
    /// Fraction of the objective for which a request may wait before it is refused.
    pub wait_fraction: f64,
    /// Whether tenants are limited to their fair share. If not, all requests are treated alike.
    pub fair_share: bool,
    /// The capacity that is shared.
    pub fair_capacity: FairCapacity,
    /// Whether predictions are scaled by each engine's ratio of observed to predicted time.
    pub latency_ratio: bool,
    /// Whose observations these and the event intervals are.
    pub performance: PerformanceSource,
    /// Ranking of engines for a shared prefix.
    pub ranking: RankingPolicy,
    /// Number of engines for a shared prefix.
    pub rank_count: RankCount,
    /// Whether an engine may fetch a cached prefix from another one.
    pub prefix_transfer: bool,
    /// When the policies that rely on figures of the whole fleet apply.
    pub fleet_policies: FleetPolicies,
    /// Whether engines to which this router has an idle connection are preferred at nearly equal cost.
    pub reuse_connections: bool,
    /// Scope of the waiting order.
    pub waiting_scope: WaitingScope,
    /// Retry delay of refused requests.
    pub retry_after: RetryAfterPolicy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            concurrency: ConcurrencyPolicy::Adaptive,
            preferred_engines: 2,
            preferred_engines_cheap: 5,
            late_slack: 1.1,
            locality_wait_fraction: 0.15,
            reserve_below_half: 0.4,
            slowdown: 3.0,
            strained_slowdown: 1.5,
            accepted_misses: ACCEPTED_MISSES,
            above_share_time_fraction: 0.6,
            time_fraction: 0.9,
            wait_fraction: 0.25,
            fair_share: true,
            fair_capacity: FairCapacity::Served,
            latency_ratio: true,
            performance: PerformanceSource::Own,
            ranking: RankingPolicy::Plain,
            rank_count: RankCount::Fixed,
            prefix_transfer: false,
            fleet_policies: FleetPolicies::Always,
            reuse_connections: false,
            waiting_scope: WaitingScope::Router,
            retry_after: RetryAfterPolicy::Deadline,
        }
    }
}

impl Policy {
    /// Returns the policies in force in a fleet with or without aggregators.
    pub fn in_fleet(self, has_aggregators: bool) -> Self {
        if has_aggregators || self.fleet_policies == FleetPolicies::Always {
            return self;
        }
        let concurrency = match self.concurrency {
            ConcurrencyPolicy::Spare => ConcurrencyPolicy::Adaptive,
            other => other,
        };
        Self {
            concurrency,
            performance: PerformanceSource::Own,
            ranking: RankingPolicy::Plain,
            rank_count: RankCount::Fixed,
            prefix_transfer: false,
            waiting_scope: WaitingScope::Router,
            retry_after: RetryAfterPolicy::Deadline,
            ..self
        }
    }
}
