//! Numbers of engines by demand for a prefix.

mod support;

use mastbay_routing::{
    Admission, Dispatcher, DispatcherLimits, PeerId, Policy, ROUND_PERIOD, RankCount, TicketId,
};
use mastbay_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::fleet::{Fleet, address};
use support::{configuration, demand, limits, list, prompt};

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
            is_counted: false,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        let begin = self.fleet.now;
        let (mut elapsed, mut next_round) = (Duration::ZERO, Duration::ZERO);
        while elapsed < END {
            if elapsed >= next_round {
                // A round advances the fleet's clock.
                self.fleet.now = begin + next_round;
                self.fleet.round();
                next_round += ROUND_PERIOD;
            }
            elapsed += STEP;
            self.fleet.now = begin + elapsed;
            self.is_counted = elapsed >= START;
            self.process_scheduled();
            if self.random.random::<f64>() < REQUEST_RATE * STEP.as_secs_f64() {
                self.send_request();
            }
            self.poll();
        }
        self.counts
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
