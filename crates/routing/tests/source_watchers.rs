//! Selection of the routers that watch the source, and the timeout of their calls.

mod support;

use mastbay_routing::{Candidate, SourceContact, StartingRouter, watch_timeout, watches_source};
use quickcheck::quickcheck;
use std::time::Duration;
use support::peer;

fn candidate(host: u8, contact: SourceContact) -> Candidate {
    Candidate { router: peer(host), contact }
}

/// Returns the routers that watch the source if each knows all others.
fn watchers(fleet: &[Candidate]) -> Vec<Candidate> {
    let is_watcher = |me: &&Candidate| {
        let others = fleet.iter().filter(|other| other.router != me.router);
        watches_source(**me, others.copied())
    };
    fleet.iter().filter(is_watcher).copied().collect()
}

quickcheck! {
    /// A change that the source does not notify of must be noticed well within the propagation
    /// bound.
    fn a_timed_out_call_leaves_time_to_relay_the_change(millis: u16, draw: u8) -> bool {
        let propagation = Duration::from_millis(u64::from(millis) + 500);
        let timeout = watch_timeout(propagation, f64::from(draw) / 256.0);
        timeout <= propagation.mul_f64(0.5) && timeout >= propagation.mul_f64(0.2)
    }

    /// Routers that lost contact with the source are replaced by others that have it.
    fn enough_routers_with_contact_watch_the_source(lost: Vec<bool>) -> bool {
        let fleet: Vec<Candidate> = lost
            .iter()
            .take(250)
            .enumerate()
            .map(|(host, lost)| {
                let contact = if *lost { SourceContact::Lost } else { SourceContact::Idle };
                candidate(host as u8, contact)
            })
            .collect();
        let with_contact = |set: &[Candidate]| {
            set.iter().filter(|one| one.contact != SourceContact::Lost).count()
        };
        with_contact(&watchers(&fleet)) == with_contact(&fleet).min(3)
    }
}

#[test]
fn the_number_of_watchers_does_not_grow_with_the_fleet() {
    let fleet = |size: u8| -> Vec<Candidate> {
        (0..size).map(|host| candidate(host, SourceContact::Answered)).collect()
    };
    assert_eq!(watchers(&fleet(7)).len(), 3);
    assert_eq!(watchers(&fleet(250)).len(), 3);
}

#[test]
fn a_router_without_peers_watches_the_source() {
    assert!(watches_source(candidate(1, SourceContact::Answered), std::iter::empty()));
}

#[test]
fn all_routers_watch_if_all_have_lost_the_source() {
    let fleet: Vec<Candidate> = (0..60).map(|host| candidate(host, SourceContact::Lost)).collect();
    assert_eq!(watchers(&fleet).len(), 60);
}

fn starting_router(millis: u64, routers: usize) -> StartingRouter {
    let running = Duration::from_millis(millis);
    let is_seed = false;
    StartingRouter { running, routers, is_seed, watches_source: false, others_reach_source: false }
}

/// If every router of a starting fleet called the source, it would be overloaded.
#[test]
fn starting_routers_of_a_large_fleet_leave_the_source_to_a_few() {
    assert!(!starting_router(0, 1).queries_source(), "it knows no peer yet");
    let first = StartingRouter { watches_source: true, ..starting_router(300, 1) };
    assert!(!first.queries_source(), "the seeds may start 300 ms later");
    assert!(!starting_router(2_500, 295).queries_source());
    assert!(StartingRouter { is_seed: true, ..starting_router(0, 1) }.queries_source());
    assert!(!StartingRouter { watches_source: true, ..starting_router(400, 295) }.queries_source());
    assert!(
        StartingRouter { watches_source: true, ..starting_router(1_100, 295) }.queries_source()
    );
}

#[test]
fn a_starting_router_without_snapshot_queries_the_source() {
    assert!(starting_router(420, 1).queries_source(), "it knows no peer");
    assert!(starting_router(500, 8).queries_source());
    assert!(starting_router(3_400, 295).queries_source());
}

/// Before the operator writes the first configuration, routers must not all call the source for it.
#[test]
fn only_watchers_query_for_the_first_configuration() {
    let waiting = StartingRouter { others_reach_source: true, ..starting_router(8_000, 295) };
    assert!(!waiting.queries_source());
    assert!(StartingRouter { watches_source: true, ..waiting }.queries_source());
}
