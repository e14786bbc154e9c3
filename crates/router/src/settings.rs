//! Settings of a router, in INI form, checked whole.

use crate::catalogue::EnabledOrders;
use mastbay_routing::{
    BudgetLimits, ConcurrencyPolicy, ExposureLimits, FairCapacity, Policy, QuarantineLimits,
    WarmupLimits, ZoneRegions,
};
use mastbay_settings::{Bounded, Document, Expected, Faults, Span, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The sections that a router reads.
pub const SECTIONS: [&str; 8] =
    ["router", "peers", "retries", "quarantine", "warmup", "rollouts", "policy", "log"];

/// Settings of a router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// `[router] name`: its name in logs.
    pub name: String,
    /// `[router] zone`: its zone.
    pub zone: String,
    /// `[router] regions`: the region of each zone, as `ZONE:REGION` with commas between.
    pub regions: ZoneRegions,
    /// `[router] callers`: where callers connect.
    pub callers: SocketAddr,
    /// `[router] readiness`: where the balancer asks whether it takes work.
    pub readiness: SocketAddr,
    /// `[router] operations`: where metrics are served and snapshots are handed to peers.
    pub operations: SocketAddr,
    /// `[router] descriptors`: sockets and files that the process may have open.
    pub descriptors: usize,
    /// `[router] memory`: memory that the process may take, in megabytes.
    pub memory_megabytes: usize,
    /// `[router] processor`: its part of a processor core.
    pub processor: f64,
    /// `[router] most-waiting`: requests that wait at a time.
    pub most_waiting: usize,
    /// `[router] stop-limit`: time for a planned stop.
    pub stop_limit: Duration,
    /// `[router] share-window`: time over which tenants' shares are kept.
    pub share_window: Duration,
    /// `[router] propagation`: time in which a change of a source must be in force.
    pub propagation: Duration,
    /// `[router] event-delay`: longest time by which an event of a stream may be delayed.
    pub event_delay: Duration,
    /// `[router] first-start`: whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// `[peers] listen`: where digests of peers arrive.
    pub digests: SocketAddr,
    /// `[peers] seeds`: operations addresses of some other routers.
    pub seeds: Vec<SocketAddr>,
    /// `[retries]`: the fleet's budget for second sends.
    pub budget: BudgetLimits,
    /// `[quarantine]`: when a request is sent to no further back end.
    pub quarantine: QuarantineLimits,
    /// `[router] evacuations`: whether an operator may evacuate zones.
    pub evacuations: bool,
    /// `[rollouts]`: what a version that is not judged yet may be sent; nothing if no versions are rolled out.
    pub exposure: Option<ExposureLimits>,
    /// `[warmup]`: how far above a cold back end's rate the fleet may go.
    pub warmup: WarmupLimits,
    /// `[policy]`: how requests are placed, admitted and shared.
    pub policy: Policy,
    /// `[log] filter`: what is logged.
    pub log: String,
}

/// A fraction or amount that is not negative.
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

/// A zone and its region.
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
/// Descriptors kept for files, listeners, sources and peers.
const OTHER_DESCRIPTORS: usize = 300;
/// Part of the other descriptors that callers' connections may take; the rest is for back ends.
const CALLERS_PART: f64 = 0.75;
/// Part of the memory that callers' connections may take.
const CALLERS_MEMORY: f64 = 0.6;
/// Part of the memory that bodies of requests may take.
const BODIES_MEMORY: f64 = 0.2;
/// Memory of an open connection with its request under way, in bytes, as measured (docs/CAPACITY.md).
const CONNECTION_MEMORY: f64 = 60e3;
/// Part of the connections from which on answers end their connection.
const CROWDED_PART: usize = 3;

impl RouterSettings {
    /// Whether it is one of the routers that others call first.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.operations)
    }

    /// What an operator may order.
    pub fn enabled_orders(&self) -> EnabledOrders {
        EnabledOrders { evacuations: self.evacuations, rollouts: self.exposure.is_some() }
    }

    /// Callers' connections that may be open at a time.
    pub fn max_connections(&self) -> usize {
        let by_descriptors =
            self.descriptors.saturating_sub(OTHER_DESCRIPTORS) as f64 * CALLERS_PART;
        let by_memory = self.memory_megabytes as f64 * 1e6 * CALLERS_MEMORY / CONNECTION_MEMORY;
        (by_descriptors.min(by_memory) as usize).max(1)
    }

    /// Bytes that the bodies of requests under way may take together.
    pub fn body_bytes(&self) -> u64 {
        (self.memory_megabytes as f64 * 1e6 * BODIES_MEMORY) as u64
    }

    /// Open connections from which on answers end their connection, so that idle ones give way.
    pub fn crowded_connections(&self) -> usize {
        self.max_connections() / CROWDED_PART
    }
}

const DEFAULT_PROCESSOR: f64 = 1.0;
const DEFAULT_WAITING: u64 = 400;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(8);
const DEFAULT_PROPAGATION: Duration = Duration::from_secs(2);
const DEFAULT_EVENT_DELAY: Duration = Duration::from_millis(120);
const DEFAULT_SHARE_WINDOW: Duration = Duration::from_secs(4);

/// Reads the sections of a router.
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
    let first_start = section.or("first-start", true);
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
        first_start,
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
    let share = section.or("share", Part(default.share));
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
        locality_wait_fraction: section.or("locality-wait", Part(default.locality_wait_fraction)).0,
        reserve_below_half: section.or("reserve-below-half", Part(default.reserve_below_half)).0,
        slowdown: section.or("slowdown", Times(default.slowdown)).0,
        strained_slowdown: section.or("strained-slowdown", Times(default.strained_slowdown)).0,
        accepted_misses: section.or("accepted-misses", Times(default.accepted_misses)).0,
        above_share_time_fraction: section
            .or("above-share-time", Part(default.above_share_time_fraction))
            .0,
        time_fraction: section.or("time-part", Part(default.time_fraction)).0,
        wait_fraction: section.or("hold-part", Part(default.wait_fraction)).0,
        fair_share: section.or("fair-share", default.fair_share),
        fair_capacity: section.or("fair-capacity", Capacity(default.fair_capacity)).0,
        latency_ratio: section.or("latency-ratio", default.latency_ratio),
    };
    section.finish();
    policy
}

/// A part of a whole.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Part(f64);

impl Value for Part {
    const EXPECTED: &'static str = "a number from 0 to 1";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(part) if (0.0..=1.0).contains(&part) => Ok(Part(part)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// How many times of something.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Times(f64);

impl Value for Times {
    const EXPECTED: &'static str = "a number from 0.001 to 100";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(times) if (0.001..=100.0).contains(&times) => Ok(Times(times)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The capacity that fair shares are parts of.
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

/// How many requests may be under way at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Concurrency(ConcurrencyPolicy);

impl Value for Concurrency {
    const EXPECTED: &'static str = "'adaptive', 'slots' or a number from 1 to 100000";

    fn read(text: &str) -> Result<Self, Expected> {
        match (text, text.parse::<u32>()) {
            ("adaptive", _) => Ok(Concurrency(ConcurrencyPolicy::Adaptive)),
            ("slots", _) => Ok(Concurrency(ConcurrencyPolicy::Slots)),
            (_, Ok(most @ 1..=100_000)) => Ok(Concurrency(ConcurrencyPolicy::Fixed(most))),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}
