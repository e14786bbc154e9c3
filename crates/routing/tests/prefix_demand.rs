//! Numbers of engines by demand for a prefix.

mod support;

use mastbay_routing::{
    Admission, Dispatcher, DispatcherLimits, MAX_REPORTED_PREFIXES, PeerId, Policy, PrefixDemand,
    PrefixRate, ROUND_PERIOD, RankCount, RouterPhase, TicketId,
};
use mastbay_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use support::fleet::{Fleet, address};
use support::{at, configuration, demand, limits, list, prompt};

const ENGINES: usize = 20;
const SLOTS: u32 = 12;
/// Requests per second; with [`MEAN_SLOT_TIME`] they take two fifths of all slots.
const REQUEST_RATE: f64 = 96.0;
const MEAN_SLOT_TIME: Duration = Duration::from_secs(1);
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Fraction of the requests that have the hot prefix.
const HOT_FRACTION: f64 = 1.0 / 3.0;
const HOT_PREFIX: u64 = 0;
const OTHER_PREFIXES: u64 = 60;
const TENANTS: u64 = 30;
const STEP: Duration = Duration::from_millis(4);
/// Time before requests are counted, in which the rates become known.
const START: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(24);

fn router(index: usize, rank_count: RankCount) -> Dispatcher {
    let policy = Policy { rank_count, ..Policy::default() };
    let limits = DispatcherLimits { zone: format!("z{}", index % 5), policy, ..limits() };
    let id = PeerId { address: address(index), incarnation: 1_000 + index as u64 };
    let mut router = Dispatcher::new(limits, id, address(index));
    router.on_configuration(&configuration(None));
    router.on_back_ends(Timestamp::ZERO, &list(1, ENGINES, SLOTS));
    router
}

/// Requests of the hot prefix and of the others, and how many of them were refused.
#[derive(Debug, Default)]
struct Counts {
    hot: u32,
    hot_refused: u32,
    other: u32,
    other_refused: u32,
}

/// Replays a load before engines that serve each request in about [`MEAN_SLOT_TIME`].
struct Replay {
    fleet: Fleet,
    random: ChaCha8Rng,
    /// First events and ends, by time.
    scheduled: BTreeMap<(Timestamp, u64), (usize, TicketId, bool)>,
    /// Waiting requests; `true` for those of the hot prefix.
    waiting: BTreeMap<(usize, TicketId), bool>,
    sequence: u64,
    /// Time since the start of the replay.
    elapsed: Duration,
    next_round: Duration,
    is_counted: bool,
    counts: Counts,
}

impl Replay {
    fn new(routers: usize, rank_count: RankCount) -> Self {
        let mut fleet = Fleet::new(0);
        fleet.routers =
            (0..routers).map(|index| (address(index), router(index, rank_count))).collect();
        fleet.rounds(60);
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(1),
            scheduled: BTreeMap::new(),
            waiting: BTreeMap::new(),
            sequence: 0,
            elapsed: Duration::ZERO,
            next_round: Duration::ZERO,
            is_counted: false,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        self.run_until(self.fleet.now, END);
        self.counts
    }

    /// Continues the replay that began at `begin` until `end` after that.
    fn run_until(&mut self, begin: Timestamp, end: Duration) {
        while self.elapsed < end {
            if self.elapsed >= self.next_round {
                // A round advances the fleet's clock.
                self.fleet.now = begin + self.next_round;
                self.fleet.round();
                self.next_round += ROUND_PERIOD;
            }
            self.elapsed += STEP;
            self.fleet.now = begin + self.elapsed;
            self.is_counted = self.elapsed >= START;
            self.process_scheduled();
            if self.random.random::<f64>() < REQUEST_RATE * STEP.as_secs_f64() {
                self.send_request();
            }
            self.poll();
        }
    }

    fn process_scheduled(&mut self) {
        while let Some(entry) = self.scheduled.first_entry() {
            let at = entry.key().0;
            if at > self.fleet.now {
                return;
            }
            let (index, ticket, is_end) = entry.remove();
            match is_end {
                true => drop(self.fleet.router(index).on_end(at, ticket, Ok(()))),
                false => self.fleet.router(index).on_first_event(at, ticket),
            }
        }
    }

    fn send_request(&mut self) {
        self.sequence += 1;
        let is_hot = self.random.random::<f64>() < HOT_FRACTION;
        let other = self.random.random_range(1..=OTHER_PREFIXES);
        let prefix = if is_hot { HOT_PREFIX } else { other };
        let tenant = format!("t{}", self.random.random_range(0..TENANTS));
        let index = self.random.random_range(0..self.fleet.routers.len());
        let (now, draw) = (self.fleet.now, self.random.random());
        let demand = demand(now, Some(prompt(prefix, self.sequence, 100)), &tenant);
        if self.is_counted {
            *(if is_hot { &mut self.counts.hot } else { &mut self.counts.other }) += 1;
        }
        let router = self.fleet.router(index);
        router.on_request(now, &demand);
        match router.admit(now, demand, draw) {
            Admission::Placed(placement) => self.start(index, placement.ticket),
            Admission::Waiting(ticket) => drop(self.waiting.insert((index, ticket), is_hot)),
            Admission::Refused(_) => self.count_refused(is_hot),
        }
    }

    fn start(&mut self, index: usize, ticket: TicketId) {
        let slot_time = MEAN_SLOT_TIME.mul_f64(self.random.random_range(0.6..1.4));
        for (after, is_end) in [(FIRST_EVENT, false), (slot_time, true)] {
            self.sequence += 1;
            let key = (self.fleet.now + after, self.sequence);
            self.scheduled.insert(key, (index, ticket, is_end));
        }
    }

    fn poll(&mut self) {
        let waiting: BTreeSet<usize> = self.waiting.keys().map(|(index, _)| *index).collect();
        for index in waiting {
            let now = self.fleet.now;
            for (ticket, result) in self.fleet.router(index).poll(now, 0.5) {
                let is_hot = self.waiting.remove(&(index, ticket)).expect("it waits");
                match result {
                    Ok(placement) => self.start(index, placement.ticket),
                    Err(_) => self.count_refused(is_hot),
                }
            }
        }
    }

    fn count_refused(&mut self, is_hot: bool) {
        if self.is_counted {
            let Counts { hot_refused, other_refused, .. } = &mut self.counts;
            *(if is_hot { hot_refused } else { other_refused }) += 1;
        }
    }
}

/// Guards against refusals of a prefix that a third of all requests have, while the engines that do
/// not rank first for it have empty slots. In a mesh and in a fleet with aggregators.
#[test]
fn a_hot_prefix_is_served_by_as_many_engines_as_it_needs() {
    for routers in [8, 60] {
        let fixed = Replay::new(routers, RankCount::Fixed).run();
        assert!(fixed.hot_refused * 10 > fixed.hot, "{routers} routers, fixed: {fixed:?}");
        let by_demand = Replay::new(routers, RankCount::Demand).run();
        let Counts { hot, hot_refused, other, other_refused } = by_demand;
        assert!(hot_refused * 50 < hot, "{routers} routers: {by_demand:?}");
        assert!(other_refused * 50 < other, "{routers} routers: {by_demand:?}");
    }
}

/// Rates of requests that hold a slot for a second, of one prefix.
fn demand_for(slots: f32) -> impl Iterator<Item = PrefixRate> {
    [PrefixRate { prefix: HOT_PREFIX, rate: slots, slots }].into_iter()
}

/// Guards against engines that prefill a prefix for a moment: demand near a threshold, or a report
/// that is missing while an aggregator is replaced, must not change the number of engines.
#[test]
fn the_number_of_engines_rises_at_once_and_falls_after_seconds() {
    let mut prefixes = PrefixDemand::default();
    let mut ranks = |millis, slots| {
        prefixes.set_sums(at(millis), demand_for(slots));
        prefixes.ranks(at(millis), HOT_PREFIX, 2, SLOTS)
    };
    assert_eq!(ranks(0, 11.0), 2);
    assert_eq!(ranks(300, 18.5), 4);
    for millis in (600..9_000).step_by(300) {
        let near_threshold = if millis % 600 == 0 { 17.5 } else { 18.5 };
        assert_eq!(ranks(millis, near_threshold), 4, "near a threshold, at {millis}");
    }
    assert_eq!(ranks(9_000, 0.0), 4);
    assert_eq!(ranks(10_400, 0.0), 4);
    assert_eq!(ranks(10_700, 18.5), 4);
    assert_eq!(ranks(11_000, 500.0), 6);
    assert_eq!(ranks(13_900, 5.0), 6);
    assert_eq!(ranks(14_200, 5.0), 2);
}

/// Guards against memory that grows with the number of prefixes, and against frequent prefixes that
/// are displaced by prefixes requested once.
#[test]
fn a_frequent_prefix_is_counted_among_many_rare_ones() {
    let mut prefixes = PrefixDemand::default();
    for request in 0..40_000 {
        let now = at(request);
        let is_frequent = request % 10 == 0;
        let prefix = if is_frequent { HOT_PREFIX } else { 1 + request };
        prefixes.on_request(now, prefix);
        prefixes.on_slot_released(now, prefix, MEAN_SLOT_TIME * if is_frequent { 2 } else { 1 });
    }
    let report = prefixes.report(at(40_000));
    assert!(report.len() <= MAX_REPORTED_PREFIXES, "{} prefixes", report.len());
    let PrefixRate { prefix, rate, slots } = report[0];
    assert_eq!(prefix, HOT_PREFIX);
    assert!((90.0..110.0).contains(&rate) && (180.0..220.0).contains(&slots), "{report:?}");
    let others: f32 = report[1..].iter().map(|other| other.rate).sum();
    assert!(others < 900.0, "{others} requests a second of the others");
}

/// With `ranks = fixed`, requests are neither counted nor reported.
#[test]
fn without_the_switch_nothing_is_reported() {
    for (rank_count, is_reported) in [(RankCount::Fixed, false), (RankCount::Demand, true)] {
        let mut router = router(1, rank_count);
        let demand = demand(at(1), Some(prompt(HOT_PREFIX, 1, 100)), "t");
        (0..100).for_each(|_| router.on_request(at(1), &demand));
        let stats = router.digest(at(2), RouterPhase::Serving).stats.expect("stats");
        let reported = stats.prefixes.map_or(0, |prefixes| prefixes.len());
        assert_eq!(reported == 1, is_reported, "{rank_count:?}");
    }
}

/// Guards against prefixes that lose their engines while the reports come through no aggregator.
#[test]
fn numbers_of_engines_stay_when_aggregators_end() {
    let mut replay = Replay::new(60, RankCount::Demand);
    let begin = replay.fleet.now;
    replay.run_until(begin, Duration::from_secs(8));
    let raised = |replay: &Replay| -> BTreeSet<SocketAddr> {
        let routers = replay.fleet.routers.iter();
        let raised = routers.filter(|(_, router)| router.raised_prefixes() == 1);
        raised.map(|(address, _)| *address).collect()
    };
    let aggregators = replay.fleet.aggregators();
    replay.fleet.silent.extend(aggregators.iter().copied());
    let mut before = raised(&replay);
    before.retain(|address| !aggregators.contains(address));
    assert!(before.len() > 40, "{} of 60 routers", before.len());
    for millis in (8_080..14_000).step_by(80) {
        replay.run_until(begin, Duration::from_millis(millis));
        assert!(raised(&replay).is_superset(&before), "after {millis} ms");
    }
}
