//! Tests that configurations reach all processes and that generations never decrease.

use crate::{Action, Readiness, Spread, SpreadConfig, SpreadMessage};
use mastbay_configuration::{FleetConfiguration, Generation, KeyDigest, Part, Root, Tenant};
use mastbay_types::{ProcessId, TenantName, Timestamp, Weight};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

fn configuration(tenants: usize) -> FleetConfiguration {
    let mut configuration = FleetConfiguration::default();
    for index in 0..tenants {
        let keys = vec![KeyDigest::of(&format!("key-{index}"))];
        let tenant = Tenant { weight: Weight::ONE, keys, most_waiting: 5 };
        configuration.tenants.insert(TenantName::from(&*format!("t{index}")), tenant);
    }
    configuration
}

fn root(generation: u64, parts: &[Part]) -> Root {
    Root {
        generation: Generation(generation),
        apply_id: generation.to_string(),
        previous: Vec::new(),
        parts: parts.iter().map(Part::hash).collect(),
    }
}

fn first(_: usize) -> usize {
    0
}

fn peer(index: usize) -> ProcessId {
    ProcessId::from(&*format!("peer-{index}"))
}

fn spread(peers: usize) -> Spread {
    let mut spread = Spread::new(SpreadConfig::default(), Timestamp::ZERO);
    spread.set_peers((0..peers).map(peer).collect());
    spread
}

/// Installs a configuration with this generation, as if read from the platform.
fn install(spread: &mut Spread, generation: u64) {
    let parts = configuration(generation as usize).to_parts();
    spread.handle_platform_root(Timestamp::ZERO, Some(root(generation, &parts)), &mut first);
    spread.handle_parts(Timestamp::ZERO, parts, &mut first);
    assert_eq!(spread.generation(), Generation(generation));
}

/// Delivers messages until none is left, except those for which `is_lost` returns true.
fn deliver_all(
    processes: &mut BTreeMap<ProcessId, Spread>,
    mut queue: Vec<(ProcessId, Action)>,
    is_lost: impl Fn(&ProcessId, &ProcessId) -> bool,
) {
    let mut state = 1_usize;
    let mut random = move |choices: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (state >> 33) % choices
    };
    while let Some((from, action)) = queue.pop() {
        let Action::Send { to, message } = action else {
            continue;
        };
        if is_lost(&from, &to) {
            continue;
        }
        let Some(receiver) = processes.get_mut(&to) else {
            continue;
        };
        let actions = receiver.handle(Timestamp::ZERO, &from, message, &mut random);
        queue.extend(actions.into_iter().map(|action| (to.clone(), action)));
    }
}

#[test]
fn a_new_generation_reaches_processes_by_announcements_and_envelopes() {
    let mut processes: BTreeMap<ProcessId, Spread> =
        (0..9).map(|index| (peer(index), spread(9))).collect();
    let parts = configuration(3).to_parts();
    let watcher = processes.get_mut(&peer(8)).expect("a known process");
    watcher.handle_platform_root(Timestamp::ZERO, Some(root(3, &parts)), &mut first);
    let actions = watcher.handle_parts(Timestamp::ZERO, parts, &mut first);
    let queue = actions.into_iter().map(|action| (peer(8), action)).collect();
    deliver_all(&mut processes, queue, |_, _| false);
    let reached = processes.values().filter(|spread| spread.generation() == Generation(3)).count();
    assert!(reached >= 5, "the fanout alone reaches {reached}");
    // A peer without an announcement learns of the generation from the next message.
    let last = processes.get_mut(&peer(7)).expect("a known process");
    let actions = last.handle_generation(Timestamp::ZERO, &peer(8), Generation(3));
    let queue = actions.into_iter().map(|action| (peer(7), action)).collect();
    deliver_all(&mut processes, queue, |_, _| false);
    assert_eq!(processes[&peer(7)].generation(), Generation(3));
}

#[test]
fn stale_reads_and_delayed_messages_are_ignored() {
    let mut process = spread(2);
    install(&mut process, 5);
    let old = configuration(2).to_parts();
    let actions = process.handle_platform_root(Timestamp::ZERO, Some(root(2, &old)), &mut first);
    assert!(actions.is_empty());
    let late = SpreadMessage::Root { root: Some(root(4, &old)) };
    assert!(process.handle(Timestamp::ZERO, &peer(0), late, &mut first).is_empty());
    process.handle_parts(Timestamp::ZERO, old, &mut first);
    assert_eq!(process.generation(), Generation(5));
}

#[test]
fn a_restarted_process_with_a_stale_read_is_not_ready_while_peers_report_a_newer_generation() {
    let mut process = spread(3);
    let old = configuration(2).to_parts();
    process.handle_platform_root(Timestamp::ZERO, Some(root(2, &old)), &mut first);
    process.handle_parts(Timestamp::ZERO, old, &mut first);
    assert_eq!(process.readiness(Timestamp::ZERO), Readiness::Asking);
    process.handle_generation(Timestamp::ZERO, &peer(0), Generation(3));
    process.handle_generation(Timestamp::ZERO, &peer(1), Generation(3));
    assert_eq!(process.readiness(Timestamp::from_millis(5_000)), Readiness::Asking);
    let new = configuration(3).to_parts();
    let answer = SpreadMessage::Root { root: Some(root(3, &new)) };
    process.handle(Timestamp::ZERO, &peer(0), answer, &mut first);
    process.handle(Timestamp::ZERO, &peer(0), SpreadMessage::Parts { parts: new }, &mut first);
    assert_eq!(process.readiness(Timestamp::ZERO), Readiness::Ready);
}

#[test]
fn a_majority_of_peers_makes_a_process_ready_while_the_platform_is_down() {
    let mut process = spread(4);
    let parts = configuration(3).to_parts();
    process.handle_generation(Timestamp::ZERO, &peer(0), Generation(3));
    let answer = SpreadMessage::Root { root: Some(root(3, &parts)) };
    process.handle(Timestamp::ZERO, &peer(0), answer, &mut first);
    process.handle(Timestamp::ZERO, &peer(0), SpreadMessage::Parts { parts }, &mut first);
    assert_eq!(process.readiness(Timestamp::from_millis(9_000)), Readiness::Asking);
    process.handle_generation(Timestamp::ZERO, &peer(1), Generation(3));
    process.handle_generation(Timestamp::ZERO, &peer(2), Generation(2));
    assert_eq!(process.readiness(Timestamp::from_millis(9_000)), Readiness::Ready);
}

#[test]
fn a_holder_that_does_not_answer_is_replaced() {
    let mut process = spread(2);
    let actions = process.handle_generation(Timestamp::ZERO, &peer(0), Generation(2));
    assert_eq!(actions.len(), 1);
    process.handle_generation(Timestamp::ZERO, &peer(1), Generation(2));
    let deadline = process.next_timeout();
    let retried = process.handle_timeout(deadline, &mut first);
    let expected =
        Action::Send { to: peer(1), message: SpreadMessage::RootRequest { have: Generation(0) } };
    assert_eq!(retried, [expected]);
}

#[test]
fn a_peer_with_an_earlier_root_receives_only_the_difference() {
    let (mut holder, mut behind, mut empty) = (spread(2), spread(2), spread(2));
    for generation in [300, 301] {
        install(&mut holder, generation);
    }
    install(&mut behind, 300);
    let root_request = |process: &Spread| SpreadMessage::RootRequest { have: process.generation() };
    let mut answers = Vec::new();
    for process in [&behind, &empty] {
        let actions = holder.handle(Timestamp::ZERO, &peer(0), root_request(process), &mut first);
        let [Action::Send { message, .. }] = &actions[..] else { panic!("{actions:?}") };
        answers.push(message.clone());
    }
    let SpreadMessage::RootChange { added, removed, .. } = &answers[0] else {
        panic!("{:?}", answers[0])
    };
    assert_eq!((added.len(), removed.len()), (1, 1), "one new tenant changes one part");
    assert!(matches!(answers[1], SpreadMessage::Root { root: Some(_) }));
    for (process, answer) in [&mut behind, &mut empty].into_iter().zip(answers) {
        let mut queue = process.handle(Timestamp::ZERO, &peer(1), answer, &mut first);
        while let Some(action) = queue.pop() {
            let Action::Send { message: request @ SpreadMessage::PartsRequest { .. }, .. } = action
            else {
                continue;
            };
            for action in holder.handle(Timestamp::ZERO, &peer(0), request, &mut first) {
                let Action::Send { message, .. } = action else { continue };
                queue.extend(process.handle(Timestamp::ZERO, &peer(1), message, &mut first));
            }
        }
        assert_eq!(process.generation(), Generation(301));
        assert_eq!(process.configuration(), holder.configuration());
    }
    // A change to a base that is not in force is ignored.
    let stray = SpreadMessage::RootChange {
        base: Generation(7),
        generation: Generation(999),
        apply_id: String::new(),
        added: Vec::new(),
        removed: Vec::new(),
    };
    assert!(empty.handle(Timestamp::ZERO, &peer(1), stray, &mut first).is_empty());
}

#[test]
fn a_part_with_an_unknown_hash_is_dropped() {
    let mut process = spread(2);
    let parts = configuration(3).to_parts();
    process.handle_platform_root(Timestamp::ZERO, Some(root(3, &parts)), &mut first);
    let forged = vec![Part { bytes: b"{}".to_vec() }];
    process.handle_parts(Timestamp::ZERO, forged, &mut first);
    assert_eq!(process.generation(), Generation(0));
}

quickcheck! {
    /// The generation in force never decreases, in whatever order roots arrive.
    fn generation_never_decreases(order: Vec<u8>) -> bool {
        let mut process = spread(3);
        let mut highest = Generation(0);
        order.iter().all(|generation| {
            let parts = configuration(1 + usize::from(*generation % 5)).to_parts();
            let offered = root(u64::from(*generation), &parts);
            process.handle_platform_root(Timestamp::ZERO, Some(offered), &mut first);
            process.handle_parts(Timestamp::ZERO, parts, &mut first);
            let before = highest;
            highest = process.generation();
            highest >= before
        })
    }
}
