//! Who follows the source, and how long a call there waits.

mod support;

use mastbay_routing::{Candidate, SourceContact, StartingRouter, watch_timeout, watches_source};
use quickcheck::quickcheck;
use std::time::Duration;
use support::peer;

fn candidate(host: u8, contact: SourceContact) -> Candidate {
    Candidate { router: peer(host), contact }
}

/// The hosts that follow the source when each router hears all others.
fn followers(fleet: &[Candidate]) -> Vec<Candidate> {
    let is_follower = |me: &&Candidate| {
        let others = fleet.iter().filter(|other| other.router != me.router);
        watches_source(**me, others.copied())
    };
    fleet.iter().filter(is_follower).copied().collect()
}

quickcheck! {
    /// A change that a waiting call was not told of is seen well within the bound.
    fn a_wait_leaves_time_to_pass_the_change_on(millis: u16, draw: u8) -> bool {
        let propagation = Duration::from_millis(u64::from(millis) + 500);
        let wait = watch_timeout(propagation, f64::from(draw) / 256.0);
        wait <= propagation.mul_f64(0.5) && wait >= propagation.mul_f64(0.2)
    }

    /// Whoever has lost the source, as many others as can follow it.
    fn those_that_can_follow_the_source_do(lost: Vec<bool>) -> bool {
        let fleet: Vec<Candidate> = lost
            .iter()
            .take(250)
            .enumerate()
            .map(|(host, lost)| {
                let contact = if *lost { SourceContact::Lost } else { SourceContact::Idle };
                candidate(host as u8, contact)
            })
            .collect();
        let usable = |set: &[Candidate]| {
            set.iter().filter(|one| one.contact != SourceContact::Lost).count()
        };
        usable(&followers(&fleet)) == usable(&fleet).min(3)
    }
}

#[test]
fn calls_do_not_grow_with_the_fleet() {
    let fleet = |size: u8| -> Vec<Candidate> {
        (0..size).map(|host| candidate(host, SourceContact::Answered)).collect()
    };
    assert_eq!(followers(&fleet(7)).len(), 3);
    assert_eq!(followers(&fleet(250)).len(), 3);
}

#[test]
fn a_router_that_hears_nobody_follows_the_source() {
    assert!(watches_source(candidate(1, SourceContact::Answered), std::iter::empty()));
}

#[test]
fn when_all_have_lost_the_source_all_look_for_it() {
    let fleet: Vec<Candidate> = (0..60).map(|host| candidate(host, SourceContact::Lost)).collect();
    assert_eq!(followers(&fleet).len(), 60);
}

fn newcomer(millis: u64, routers: usize) -> StartingRouter {
    let running = Duration::from_millis(millis);
    let is_seed = false;
    StartingRouter { running, routers, is_seed, watches_source: false, others_reach_source: false }
}

/// On a deployment of 295 machines each start of the fleet cost 1,500 calls: all read the whole list.
#[test]
fn newcomers_of_a_large_fleet_leave_the_source_to_a_few() {
    assert!(!newcomer(0, 1).queries_source(), "it has heard nobody yet");
    let first = StartingRouter { watches_source: true, ..newcomer(300, 1) };
    assert!(!first.queries_source(), "the seeds may start 300 ms later");
    assert!(!newcomer(2_500, 295).queries_source());
    assert!(StartingRouter { is_seed: true, ..newcomer(0, 1) }.queries_source());
    assert!(!StartingRouter { watches_source: true, ..newcomer(400, 295) }.queries_source());
    assert!(StartingRouter { watches_source: true, ..newcomer(1_100, 295) }.queries_source());
}

#[test]
fn a_newcomer_that_learns_nothing_from_others_asks_the_source() {
    assert!(newcomer(420, 1).queries_source(), "it hears nobody");
    assert!(newcomer(500, 8).queries_source());
    assert!(newcomer(3_400, 295).queries_source());
}

/// The operator's first configuration came seconds after the start, and meanwhile all routers asked for it.
#[test]
fn nobody_asks_for_what_is_not_there_yet() {
    let waiting = StartingRouter { others_reach_source: true, ..newcomer(8_000, 295) };
    assert!(!waiting.queries_source());
    assert!(StartingRouter { watches_source: true, ..waiting }.queries_source());
}
