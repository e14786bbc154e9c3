//! Settings of the policies that place, admit and share. Each mechanism can be switched off, so that an
//! ablation measures what it is worth.

use crate::service_level::ACCEPTED_MISSES;

/// How many requests of tenants above their fair share may be under way at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConcurrencyPolicy {
    /// As many as the engine has slots.
    Slots,
    /// What the routers find from the pace of its streams, see [`crate::ConcurrencyLimit`].
    Adaptive,
    /// At most this many, and never more than the engine has slots.
    Fixed(u32),
}

/// The capacity that tenants' fair shares are parts of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FairCapacity {
    /// What the configuration declares.
    Declared,
    /// What is served, where that is more than the configuration declares.
    Served,
}

/// Settings of the policies. The defaults are what measured best; docs/CASCADIA.md has the figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Requests of tenants above their fair share that may be under way at one engine.
    pub concurrency: ConcurrencyPolicy,
    /// Engines, in the rendezvous order of a shared prefix, that may prefill it.
    pub preferred_engines: usize,
    /// The same for a prefix that costs little to prefill again.
    pub preferred_engines_cheap: usize,
    /// A request that no engine could serve in time is placed where its first event comes within this many
    /// times what it takes alone: late, but whole. 0 refuses it unless an engine has nothing else to do.
    pub late_slack: f64,
    /// Part of the objective for which a request waits for the engine that holds its prefix before another
    /// one prefills it again.
    pub locality_wait_fraction: f64,
    /// Most of an engine's slots, as a part, that are left for tenants below half of their share whose
    /// requests could not be placed.
    pub reserve_below_half: f64,
    /// Time between events that the concurrency limit accepts, in times of that without load.
    pub slowdown: f64,
    /// The same while tenants within their fair share miss their objective too often. Below it an engine has
    /// capacity left, and the misses have another cause.
    pub strained_slowdown: f64,
    /// Share of the requests of tenants within their fair share that may miss their objective before tenants
    /// above it are given less.
    pub accepted_misses: f64,
    /// Part of the objective within which the first event of a tenant above the fair share is predicted.
    pub above_share_time_fraction: f64,
    /// Part of the objective within which every other first event is predicted.
    pub time_fraction: f64,
    /// Part of the objective for which a request may wait before it is refused.
    pub wait_fraction: f64,
    /// Whether tenants are held to the fair share. If not, all are treated alike.
    pub fair_share: bool,
    /// The capacity that fair shares are parts of.
    pub fair_capacity: FairCapacity,
    /// Whether predictions are scaled by what each engine took against what was predicted.
    pub latency_ratio: bool,
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
        }
    }
}
