use crate::{MemberState, Membership, MembershipConfig, Role, Transmit};
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

/// A fleet in virtual time: a packet arrives one step after it was sent.
struct Fleet {
    now: Timestamp,
    random: ChaCha8Rng,
    members: BTreeMap<ProcessId, Membership>,
    flying: Vec<(ProcessId, Transmit)>,
    frozen: BTreeSet<ProcessId>,
    /// Pairs (from, to) between which packets are lost.
    cut: BTreeSet<(ProcessId, ProcessId)>,
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
            flying: Vec::new(),
            frozen: BTreeSet::new(),
            cut: BTreeSet::new(),
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
        for (from, transmit) in std::mem::take(&mut self.flying) {
            let lost = self.cut.contains(&(from.clone(), transmit.to.clone()));
            if lost || self.frozen.contains(&transmit.to) {
                continue;
            }
            let Some(receiver) = self.members.get_mut(&transmit.to) else {
                continue;
            };
            let answers = receiver.handle(self.now, &from, transmit.packet);
            self.flying.extend(answers.into_iter().map(|answer| (transmit.to.clone(), answer)));
        }
        for (from, member) in &mut self.members {
            if !self.frozen.contains(from) && self.now >= member.next_timeout() {
                let sent = member.handle_timeout(self.now, &mut self.random);
                self.flying.extend(sent.into_iter().map(|transmit| (from.clone(), transmit)));
            }
        }
    }

    fn seen_by(&self, index: usize) -> usize {
        self.members[&name(index)].live(Role::Scheduler).len()
    }

    fn everyone_sees(&self, count: usize) -> bool {
        let awake = self.members.iter().filter(|(process, _)| !self.frozen.contains(process));
        awake.into_iter().all(|(_, member)| member.live(Role::Scheduler).len() == count)
    }
}

#[test]
fn a_fleet_finds_itself_from_its_seeds() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    assert!(fleet.everyone_sees(9));
}

#[test]
fn a_killed_member_is_found_and_its_next_life_is_taken_up() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.members.remove(&name(4));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.everyone_sees(8));
    fleet.members.insert(name(4), member(4, 2));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.everyone_sees(9));
}

#[test]
fn a_frozen_member_is_passed_over_and_comes_back_when_it_wakes() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.frozen.insert(name(3));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.everyone_sees(8));
    fleet.frozen.clear();
    fleet.run(Duration::from_secs(4));
    assert!(fleet.everyone_sees(9), "the sleeper refutes, and suspects nobody for its own pause");
}

#[test]
fn a_cut_in_both_ways_heals() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(4));
    for left in 0..4 {
        for right in 4..8 {
            fleet.cut.insert((name(left), name(right)));
            fleet.cut.insert((name(right), name(left)));
        }
    }
    fleet.run(Duration::from_secs(6));
    assert!(fleet.everyone_sees(4));
    fleet.cut.clear();
    fleet.run(Duration::from_secs(6));
    assert!(fleet.everyone_sees(8));
}

#[test]
fn one_deaf_link_kills_nobody() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(4));
    fleet.cut.insert((name(2), name(5)));
    fleet.run(Duration::from_secs(6));
    assert!(fleet.everyone_sees(9));
}

#[test]
fn a_leaving_member_gets_no_work_at_once() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(4));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let news = fleet.members.get_mut(&name(2)).expect("there").leave(&mut random);
    fleet.flying.extend(news.into_iter().map(|transmit| (name(2), transmit)));
    fleet.run(STEP * 2);
    assert_eq!(fleet.seen_by(0), 4);
    let left = fleet.members[&name(0)].others().find(|other| other.process == name(2));
    assert_eq!(left.map(|member| member.state), Some(MemberState::Leaving));
}
