//! Settings of a router, read from INI sections and validated together.

use crate::catalogue::EnabledOrders;
use mastbay_routing::{
    BudgetLimits, ConcurrencyPolicy, ExposureLimits, FairCapacity, FleetPolicies,
    PerformanceSource, Policy, QuarantineLimits, RankCount, RankingPolicy, RetryAfterPolicy,
    WaitingScope, WarmupLimits, ZoneRegions,
};
use mastbay_settings::{Bounded, Document, Expected, Faults, SectionReader, Span, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The sections that a router reads.
pub const SECTIONS: [&str; 8] =
    ["router", "peers", "retries", "quarantine", "warmup", "rollouts", "policy", "log"];

/// Settings of a router; each field names its section and key.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// `[router] name`: name of the router in logs.
    pub name: String,
    /// `[router] zone`: zone of the router.
    pub zone: String,
    /// `[router] regions`: the region of each zone, as comma-separated `ZONE:REGION`.
    pub regions: ZoneRegions,
    /// `[router] callers`: address for callers.
    pub callers: SocketAddr,
    /// `[router] readiness`: address for readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// `[router] operations`: address that serves metrics, and snapshots for peers.
    pub operations: SocketAddr,
    /// `[router] descriptors`: maximum number of open sockets and files of the process.
    pub descriptors: usize,
    /// `[router] memory`: memory limit of the process, in megabytes.
    pub memory_megabytes: usize,
    /// `[router] processor`: processor cores available to the router; may be a fraction.
    pub processor: f64,
    /// `[router] most-waiting`: maximum number of waiting requests.
    pub most_waiting: usize,
    /// `[router] stop-limit`: maximum duration of a planned stop.
    pub stop_limit: Duration,
    /// `[router] share-window`: time over which tenants' shares are maintained.
    pub share_window: Duration,
    /// `[router] propagation`: time within which a change at a source must be in force.
    pub propagation: Duration,
    /// `[router] event-delay`: maximum delay of an event of a stream.
    pub event_delay: Duration,
    /// Time from the start of this life of the router until it has a part in the burst of a retry
    /// budget, which an earlier life may have spent: a window of the budget.
    pub burst_delay: Duration,
    /// Keys in the file that are accepted and have no effect.
    pub ignored_keys: Vec<&'static str>,
    /// `[peers] listen`: address that receives digests from peers.
    pub digests: SocketAddr,
    /// `[peers] seeds`: operations addresses of the routers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// `[retries]`: the fleet's retry budget.
    pub budget: BudgetLimits,
    /// `[quarantine]`: when a request that terminates back ends is quarantined.
    pub quarantine: QuarantineLimits,
    /// `[router] evacuations`: whether an operator may evacuate zones.
    pub evacuations: bool,
    /// `[rollouts]`: traffic limits of a version that is not yet evaluated; `None` if roll-outs are
    /// disabled.
    pub exposure: Option<ExposureLimits>,
    /// `[warmup]`: how far the fleet may exceed the rate of a cold back end.
    pub warmup: WarmupLimits,
    /// `[policy]`: how requests are placed, admitted and shared.
    pub policy: Policy,
    /// `[log] filter`: filter directives for the log.
    pub log: String,
}

/// A number from 0 to 1,000,000.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Amount(f64);

impl Value for Amount {
    const EXPECTED: &'static str = "a number from 0 to 1000000";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(number) if (0.0..=1e6).contains(&number) => Ok(Amount(number)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A zone and its region, as `ZONE:REGION`.
#[derive(Debug, Clone, PartialEq)]
struct ZoneRegion(String, String);

impl Value for ZoneRegion {
    const EXPECTED: &'static str = "a zone and its region, such as north-a:north";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.split_once(':') {
            Some((zone, region)) if !zone.is_empty() && !region.is_empty() => {
                Ok(Self(zone.to_owned(), region.to_owned()))
            }
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

const DEFAULT_DESCRIPTORS: u64 = 4_096;
const DEFAULT_MEMORY: u64 = 256;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Descriptors reserved for files, listeners, sources and peers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Fraction of the other descriptors for callers' connections; the rest is for back ends.
const CALLERS_DESCRIPTOR_FRACTION: f64 = 0.75;
/// Fraction of the memory for callers' connections.
const CALLERS_MEMORY_FRACTION: f64 = 0.6;
/// Fraction of the memory for bodies of requests and answers.
const BODIES_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory for replies of sources and peers.
const REPLIES_MEMORY_FRACTION: f64 = 0.1;
/// Memory of an open connection with a request in progress, in bytes (docs/CAPACITY.md).
const CONNECTION_MEMORY: f64 = 60e3;
/// Above the maximum number of connections divided by this, answers close their connections.
const CROWDED_DIVISOR: usize = 3;

impl RouterSettings {
    /// Returns whether this router is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.operations)
    }

    /// Returns the kinds of operator orders that the settings enable.
    pub fn enabled_orders(&self) -> EnabledOrders {
        EnabledOrders { evacuations: self.evacuations, rollouts: self.exposure.is_some() }
    }

    /// Returns the maximum number of callers' connections, by descriptors and memory; at least one.
    pub fn max_connections(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64
            * CALLERS_DESCRIPTOR_FRACTION;
        let by_memory = self.memory_bytes() as f64 * CALLERS_MEMORY_FRACTION / CONNECTION_MEMORY;
        (by_descriptors.min(by_memory) as usize).max(1)
    }

    /// Returns the memory limit of the process, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_megabytes as u64 * BYTES_PER_MEGABYTE
    }

    /// Returns the memory for the bodies of all requests in progress and of their answers, in bytes.
    pub fn body_bytes(&self) -> u64 {
        (self.memory_bytes() as f64 * BODIES_MEMORY_FRACTION) as u64
    }

    /// Returns the memory for all replies of sources and peers that are being read, in bytes.
    pub fn reply_bytes(&self) -> u64 {
        (self.memory_bytes() as f64 * REPLIES_MEMORY_FRACTION) as u64
    }

    /// Returns the number of open connections above which answers close their connections, so that
    /// idle ones do not take the place of others.
    pub fn crowded_connections(&self) -> usize {
        self.max_connections() / CROWDED_DIVISOR
    }
}

const DEFAULT_PROCESSOR: f64 = 1.0;
const DEFAULT_WAITING: u64 = 400;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(8);
const DEFAULT_PROPAGATION: Duration = Duration::from_secs(2);
const DEFAULT_EVENT_DELAY: Duration = Duration::from_millis(120);
const DEFAULT_SHARE_WINDOW: Duration = Duration::from_secs(4);

/// Key that once told a router that the whole fleet starts for the first time. A router can't rely on
/// it: settings outlive the life that they were written for.
const FIRST_START: &str = "first-start";

/// Returns the keys of the section `[router]` that are accepted and have no effect.
fn read_ignored_keys(section: &mut SectionReader<'_>) -> Vec<&'static str> {
    let first_start: Option<bool> = section.optional(FIRST_START);
    first_start.map(|_| FIRST_START).into_iter().collect()
}

/// Reads the settings of a router. Adds faults to `faults`, and returns `None` if a required value
/// is missing or malformed.
pub fn read_router_settings(document: &Document, faults: &mut Faults) -> Option<RouterSettings> {
    let mut section = document.section("router", faults);
    let name: Option<String> = section.required("name");
    let zone: Option<String> = section.required("zone");
    let regions: Vec<ZoneRegion> = section.list("regions");
    let callers: Option<SocketAddr> = section.required("callers");
    let readiness: Option<SocketAddr> = section.required("readiness");
    let operations: Option<SocketAddr> = section.required("operations");
    let descriptors: Bounded<400, 10_000_000> =
        section.or("descriptors", Bounded(DEFAULT_DESCRIPTORS));
    let memory: Bounded<16, 10_000_000> = section.or("memory", Bounded(DEFAULT_MEMORY));
    let processor = section.or("processor", Amount(DEFAULT_PROCESSOR));
    let waiting: Bounded<1, 1_000_000> = section.or("most-waiting", Bounded(DEFAULT_WAITING));
    let stop: Span<100, 600_000> = section.or("stop-limit", Span(DEFAULT_STOP_LIMIT));
    let window: Span<100, 600_000> = section.or("share-window", Span(DEFAULT_SHARE_WINDOW));
    let propagation: Span<100, 600_000> = section.or("propagation", Span(DEFAULT_PROPAGATION));
    let event_delay: Span<1, 600_000> = section.or("event-delay", Span(DEFAULT_EVENT_DELAY));
    let ignored_keys = read_ignored_keys(&mut section);
    let evacuations = section.or("evacuations", true);
    section.finish();

    let mut section = document.section("peers", faults);
    let digests: Option<SocketAddr> = section.required("listen");
    let seeds = section.list("seeds");
    section.finish();

    let budget = read_budget(document, faults);
    let quarantine = read_quarantine(document, faults);
    let warmup = read_warmup(document, faults);
    let exposure = read_exposure(document, faults);
    let policy = read_policy(document, faults);
    let mut section = document.section("log", faults);
    let log = section.or("filter", "info".to_owned());
    section.finish();

    Some(RouterSettings {
        name: name?,
        zone: zone?,
        regions: regions.into_iter().map(|ZoneRegion(zone, region)| (zone, region)).collect(),
        callers: callers?,
        readiness: readiness?,
        operations: operations?,
        descriptors: descriptors.0 as usize,
        memory_megabytes: memory.0 as usize,
        processor: processor.0,
        most_waiting: waiting.0 as usize,
        stop_limit: stop.0,
        share_window: window.0,
        propagation: propagation.0,
        event_delay: event_delay.0,
        burst_delay: budget.window,
        ignored_keys,
        digests: digests?,
        seeds,
        budget,
        quarantine,
        warmup,
        evacuations,
        exposure,
        policy,
        log,
    })
}

fn read_budget(document: &Document, faults: &mut Faults) -> BudgetLimits {
    let default = BudgetLimits::default();
    let mut section = document.section("retries", faults);
    let ratio = section.or("ratio", Amount(default.ratio));
    let window: Span<100, 600_000> = section.or("window", Span(default.window));
    let burst = section.or("burst", Amount(default.burst));
    section.finish();
    BudgetLimits { ratio: ratio.0, window: window.0, burst: burst.0 }
}

fn read_quarantine(document: &Document, faults: &mut Faults) -> QuarantineLimits {
    let default = QuarantineLimits::default();
    let mut section = document.section("quarantine", faults);
    let ends: Bounded<1, 1_000> = section.or("ends", Bounded(default.ends as u64));
    let period: Span<1_000, 604_800_000> = section.or("period", Span(default.period));
    section.finish();
    QuarantineLimits { ends: ends.0 as usize, period: period.0 }
}

fn read_exposure(document: &Document, faults: &mut Faults) -> Option<ExposureLimits> {
    let default = ExposureLimits::default();
    let mut section = document.section("rollouts", faults);
    let is_possible = section.or("possible", false);
    let share = section.or("share", Fraction(default.share));
    let burst = section.or("burst", Amount(default.burst));
    section.finish();
    is_possible.then_some(ExposureLimits { share: share.0, burst: burst.0 })
}

fn read_warmup(document: &Document, faults: &mut Faults) -> WarmupLimits {
    let default = WarmupLimits::default();
    let mut section = document.section("warmup", faults);
    let overshoot = section.or("overshoot", Amount(default.overshoot));
    let burst = section.or("burst", Amount(default.burst));
    section.finish();
    WarmupLimits { overshoot: overshoot.0, burst: burst.0 }
}

fn read_policy(document: &Document, faults: &mut Faults) -> Policy {
    let default = Policy::default();
    let mut section = document.section("policy", faults);
    let concurrency = section.or("concurrency", Concurrency(default.concurrency));
    let preferred: Bounded<1, 6> =
        section.or("preferred-engines", Bounded(default.preferred_engines as u64));
    let cheap: Bounded<1, 6> =
        section.or("preferred-engines-cheap", Bounded(default.preferred_engines_cheap as u64));
    let policy = Policy {
        concurrency: concurrency.0,
        preferred_engines: preferred.0 as usize,
        preferred_engines_cheap: cheap.0 as usize,
        late_slack: section.or("late-slack", Amount(default.late_slack)).0,
        locality_wait_fraction: section
            .or("locality-wait", Fraction(default.locality_wait_fraction))
            .0,
        reserve_below_half: section
            .or("reserve-below-half", Fraction(default.reserve_below_half))
            .0,
        slowdown: section.or("slowdown", Factor(default.slowdown)).0,
        strained_slowdown: section.or("strained-slowdown", Factor(default.strained_slowdown)).0,
        accepted_misses: section.or("accepted-misses", Factor(default.accepted_misses)).0,
        above_share_time_fraction: section
            .or("above-share-time", Fraction(default.above_share_time_fraction))
            .0,
        time_fraction: section.or("time-part", Fraction(default.time_fraction)).0,
        wait_fraction: section.or("hold-part", Fraction(default.wait_fraction)).0,
        fair_share: section.or("fair-share", default.fair_share),
        fair_capacity: section.or("fair-capacity", Capacity(default.fair_capacity)).0,
        latency_ratio: section.or("latency-ratio", default.latency_ratio),
        performance: section.or("engine-performance", Performance(default.performance)).0,
        ranking: section.or("ranking", Ranking(default.ranking)).0,
        rank_count: section.or("ranks", Ranks(default.rank_count)).0,
        prefix_transfer: section.or("prefix-transfer", default.prefix_transfer),
        fleet_policies: section.or("fleet-policies", Fleets(default.fleet_policies)).0,
        reuse_connections: section.or("reuse-connections", default.reuse_connections),
        waiting_scope: section.or("waiting-order", Waiting(default.waiting_scope)).0,
        retry_after: section.or("retry-after", RetryDelay(default.retry_after)).0,
    };
    section.finish();
    policy
}

/// A fraction from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Fraction(f64);

impl Value for Fraction {
    const EXPECTED: &'static str = "a number from 0 to 1";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(fraction) if (0.0..=1.0).contains(&fraction) => Ok(Fraction(fraction)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A factor from 0.001 to 100.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Factor(f64);

impl Value for Factor {
    const EXPECTED: &'static str = "a number from 0.001 to 100";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(factor) if (0.001..=100.0).contains(&factor) => Ok(Factor(factor)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The capacity that fair shares are fractions of.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Capacity(FairCapacity);

impl Value for Capacity {
    const EXPECTED: &'static str = "'declared' or 'served'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "declared" => Ok(Capacity(FairCapacity::Declared)),
            "served" => Ok(Capacity(FairCapacity::Served)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The policy for the number of requests in progress at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Concurrency(ConcurrencyPolicy);

impl Value for Concurrency {
    const EXPECTED: &'static str = "'adaptive', 'spare', 'slots' or a number from 1 to 100000";

    fn read(text: &str) -> Result<Self, Expected> {
        match (text, text.parse::<u32>()) {
            ("adaptive", _) => Ok(Concurrency(ConcurrencyPolicy::Adaptive)),
            ("spare", _) => Ok(Concurrency(ConcurrencyPolicy::Spare)),
            ("slots", _) => Ok(Concurrency(ConcurrencyPolicy::Slots)),
            (_, Ok(limit @ 1..=100_000)) => Ok(Concurrency(ConcurrencyPolicy::Fixed(limit))),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// Whose observations predict the performance of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Performance(PerformanceSource);

impl Value for Performance {
    const EXPECTED: &'static str = "'own' or 'fleet'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "own" => Ok(Performance(PerformanceSource::Own)),
            "fleet" => Ok(Performance(PerformanceSource::Fleet)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The ranking of engines for a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Ranking(RankingPolicy);

impl Value for Ranking {
    const EXPECTED: &'static str = "'plain' or 'weighted'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "plain" => Ok(Ranking(RankingPolicy::Plain)),
            "weighted" => Ok(Ranking(RankingPolicy::Weighted)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The number of engines for a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Ranks(RankCount);

impl Value for Ranks {
    const EXPECTED: &'static str = "'fixed' or 'demand'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "fixed" => Ok(Ranks(RankCount::Fixed)),
            "demand" => Ok(Ranks(RankCount::Demand)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The scope of the order of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Waiting(WaitingScope);

impl Value for Waiting {
    const EXPECTED: &'static str = "'router' or 'fleet'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "router" => Ok(Waiting(WaitingScope::Router)),
            "fleet" => Ok(Waiting(WaitingScope::Fleet)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// How retry delays are determined.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RetryDelay(RetryAfterPolicy);

impl Value for RetryDelay {
    const EXPECTED: &'static str = "'deadline' or 'backlog'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "deadline" => Ok(RetryDelay(RetryAfterPolicy::Deadline)),
            "backlog" => Ok(RetryDelay(RetryAfterPolicy::Backlog)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The fleets in which policies that rely on figures of all routers apply.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Fleets(FleetPolicies);

impl Value for Fleets {
    const EXPECTED: &'static str = "'always' or 'large-fleets'";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "always" => Ok(Fleets(FleetPolicies::Always)),
            "large-fleets" => Ok(Fleets(FleetPolicies::LargeFleets)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}
