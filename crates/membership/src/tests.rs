//! Tests of failure detection, refutation and partitions over a simulated network.

use crate::{MemberState, Membership, MembershipConfig, Role, Transmit};
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

/// A fleet in virtual time. Packets are delivered one step after they are sent.
struct Fleet {
    now: Timestamp,
    random: ChaCha8Rng,
    members: BTreeMap<ProcessId, Membership>,
    in_flight: Vec<(ProcessId, Transmit)>,
    frozen: BTreeSet<ProcessId>,
    /// Links (from, to) that drop packets.
    dropped_links: BTreeSet<(ProcessId, ProcessId)>,
}

fn name(index: usize) -> ProcessId {
    ProcessId::from(&*format!("p{index}"))
}

fn member(index: usize, incarnation: u64) -> Membership {
    let mut membership = Membership::new(
        name(index),
        Role::Scheduler,
        Arc::from("zone"),
        Incarnation(incarnation),
        MembershipConfig::default(),
    );
    membership.set_seeds(vec![name(0), name(1)]);
    membership
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            now: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(7),
            members: (0..size).map(|index| (name(index), member(index, 1))).collect(),
            in_flight: Vec::new(),
            frozen: BTreeSet::new(),
            dropped_links: BTreeSet::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, transmit) in std::mem::take(&mut self.in_flight) {
            let lost = self.dropped_links.contains(&(from.clone(), transmit.to.clone()));
            if lost || self.frozen.contains(&transmit.to) {
                continue;
            }
            let Some(receiver) = self.members.get_mut(&transmit.to) else {
                continue;
            };
            let answers = receiver.handle(self.now, &from, transmit.packet);
            self.in_flight.extend(answers.into_iter().map(|answer| (transmit.to.clone(), answer)));
        }
        for (from, member) in &mut self.members {
            if !self.frozen.contains(from) && self.now >= member.next_timeout() {
                let sent = member.handle_timeout(self.now, &mut self.random);
                self.in_flight.extend(sent.into_iter().map(|transmit| (from.clone(), transmit)));
            }
        }
    }

    fn seen_by(&self, index: usize) -> usize {
        self.members[&name(index)].live(Role::Scheduler).len()
    }

    fn all_see(&self, count: usize) -> bool {
        let running = self.members.iter().filter(|(process, _)| !self.frozen.contains(process));
        running.into_iter().all(|(_, member)| member.live(Role::Scheduler).len() == count)
    }
}

#[test]
fn members_discover_each_other_through_seeds() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    assert!(fleet.all_see(9));
}

#[test]
fn a_killed_member_is_detected_and_its_next_incarnation_accepted() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.members.remove(&name(4));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.all_see(8));
    fleet.members.insert(name(4), member(4, 2));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.all_see(9));
}

#[test]
fn a_frozen_member_is_removed_and_returns_when_it_resumes() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.frozen.insert(name(3));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.all_see(8));
    fleet.frozen.clear();
    fleet.run(Duration::from_secs(4));
    assert!(
        fleet.all_see(9),
        "the resumed member refutes and suspects no other member because of its own pause"
    );
}

#[test]
fn a_symmetric_partition_heals() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(4));
    for left in 0..4 {
        for right in 4..8 {
            fleet.dropped_links.insert((name(left), name(right)));
            fleet.dropped_links.insert((name(right), name(left)));
        }
    }
    fleet.run(Duration::from_secs(6));
    assert!(fleet.all_see(4));
    fleet.dropped_links.clear();
    fleet.run(Duration::from_secs(6));
    assert!(fleet.all_see(8));
}

#[test]
fn a_one_way_link_failure_kills_no_member() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.dropped_links.insert((name(2), name(5)));
    fleet.run(Duration::from_secs(6));
    assert!(fleet.all_see(9));
}

#[test]
fn a_leaving_member_is_removed_from_live_immediately() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(4));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let announcements = fleet.members.get_mut(&name(2)).expect("a known member").leave(&mut random);
    fleet.in_flight.extend(announcements.into_iter().map(|transmit| (name(2), transmit)));
    fleet.run(STEP * 2);
    assert_eq!(fleet.seen_by(0), 4);
    let left = fleet.members[&name(0)].others().find(|other| other.process == name(2));
    assert_eq!(left.map(|member| member.state), Some(MemberState::Leaving));
}
