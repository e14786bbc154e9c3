//! Probes of quarantined requests of which some ended the back ends and the others ran beside them.

mod support;

use mastbay_routing::ROUND_PERIOD;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use support::quarantined_fleet::QuarantinedFleet;

/// Time within which bystanders are to be released, far below the delay of a second probe.
const RELEASE_LIMIT: Duration = Duration::from_secs(25);
/// Further runs of a fatal request until the bystanders beside it are released.
const MAX_FATAL_PROBES: u32 = 1;

/// A fleet whose routers have quarantined requests.
struct Simulation {
    fleet: QuarantinedFleet,
    /// Number of the last back end that ended.
    ends: u64,
    /// Further runs of each fatal request.
    fatal_probes: BTreeMap<u64, u32>,
}

impl Simulation {
    fn new(routers: usize) -> Self {
        let fleet = QuarantinedFleet::new(routers, 0.1);
        Self { fleet, ends: 0, fatal_probes: BTreeMap::new() }
    }

    /// A back end ends under several requests, and most routers learn of it.
    fn end_under(&mut self, requests: &[u64]) {
        self.ends += 1;
        let router = self.ends as usize % self.fleet.quarantines.len();
        requests.iter().for_each(|request| self.fleet.terminate(router, self.ends, *request));
        self.fleet.round();
    }

    /// All requests keep arriving at all routers. Returns the time until each router serves the
    /// bystanders again, at most `RELEASE_LIMIT`.
    fn release(&mut self, fatal: &[u64], bystanders: &[u64]) -> Duration {
        let all = fatal.iter().chain(bystanders);
        all.for_each(|request| {
            self.fleet.rounds_until_all(*request);
        });
        let mut elapsed = Duration::ZERO;
        while elapsed < RELEASE_LIMIT && self.are_refused(bystanders) {
            fatal.iter().for_each(|request| self.probe_fatal(*request));
            bystanders.iter().for_each(|request| self.probe_bystander(*request));
            self.fleet.round();
            elapsed += ROUND_PERIOD;
        }
        elapsed
    }

    fn are_refused(&self, requests: &[u64]) -> bool {
        requests.iter().any(|request| self.fleet.quarantining(*request) > 0)
    }

    fn probe_fatal(&mut self, request: u64) {
        let probing: Vec<SocketAddr> = self.fleet.probes(request);
        for router in probing {
            self.ends += 1;
            *self.fatal_probes.entry(request).or_default() += 1;
            self.fleet.terminate_at(router, self.ends, request);
        }
    }

    fn probe_bystander(&mut self, request: u64) {
        for router in self.fleet.probes(request) {
            self.fleet.serve_at(router, request);
        }
    }

    fn check(&self, fatal: &[u64], elapsed: Duration, label: &str) {
        assert!(elapsed < RELEASE_LIMIT, "{label}: still refused after {elapsed:?}");
        for request in fatal {
            let probes = self.fatal_probes.get(request).copied().unwrap_or_default();
            assert!(probes <= MAX_FATAL_PROBES, "{label}: request {request} ran {probes} times");
            let routers = self.fleet.quarantines.len();
            assert_eq!(self.fleet.quarantining(*request), routers, "{label}: request {request}");
        }
    }
}

/// Guards against refusing a popular request for minutes because it was in flight wherever a fatal
/// one ended a back end. Which of the two is probed first depends on their fingerprints.
#[test]
fn a_bystander_at_all_ended_back_ends_is_released_within_seconds() {
    for routers in [1, 4, 7] {
        for bystander in 2..12 {
            let mut simulation = Simulation::new(routers);
            (0..5).for_each(|_| simulation.end_under(&[1, bystander]));
            let elapsed = simulation.release(&[1], &[bystander]);
            simulation.check(&[1], elapsed, &format!("{routers} routers, request {bystander}"));
        }
    }
}

/// Guards against releasing only one of several bystanders, and against probing the fatal request
/// again beside them.
#[test]
fn all_bystanders_of_a_fatal_request_are_released_within_seconds() {
    for routers in [1, 4] {
        for fatal in 1..=6 {
            let bystanders: Vec<u64> = (1..=6).filter(|request| *request != fatal).collect();
            let mut simulation = Simulation::new(routers);
            (0..5).for_each(|_| simulation.end_under(&[1, 2, 3, 4, 5, 6]));
            let elapsed = simulation.release(&[fatal], &bystanders);
            simulation.check(&[fatal], elapsed, &format!("{routers} routers, fatal {fatal}"));
        }
    }
}

/// Guards against taking a bystander of two fatal requests for the cause, since it was at more ended
/// back ends than either of them.
#[test]
fn a_bystander_of_two_fatal_requests_is_released_within_seconds() {
    for bystander in 3..13 {
        let mut simulation = Simulation::new(4);
        for fatal in [1, 2] {
            simulation.end_under(&[fatal, bystander]);
            simulation.end_under(&[fatal, bystander]);
            simulation.end_under(&[fatal]);
        }
        let elapsed = simulation.release(&[1, 2], &[bystander]);
        simulation.check(&[1, 2], elapsed, &format!("request {bystander}"));
    }
}
