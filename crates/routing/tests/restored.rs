//! A source that comes back from an older copy: what it makes usable again is not believed at once.

mod support;

use mastbay_routing::{
    BackEnd, BackEndList, BackEndState, BackEndUpdate, EvacuatedZones, Evacuations, Revision,
    RouterPhase, SourceContact,
};
use quickcheck::quickcheck;
use support::directory_view::DirectoryView;
use support::{MODEL, at, back_end, dispatcher};

/// When the source is back.
const RESTORED: u64 = 10_000;

fn of(revision: Revision, back_ends: &[(&str, BackEndState)]) -> BackEndList {
    let back_ends = back_ends.iter();
    let entry = |(name, state): &(&str, BackEndState)| BackEnd {
        state: *state,
        ..back_end(name, MODEL, 8)
    };
    BackEndList { revision, back_ends: back_ends.map(entry).collect() }
}

quickcheck! {
    fn whatever_a_later_era_tells_is_newer(eras: (u8, u8), numbers: (u64, u64)) -> bool {
        let (left, right) = (
            Revision::new(eras.0.into(), numbers.0),
            Revision::new(eras.1.into(), numbers.1),
        );
        match eras.0.cmp(&eras.1) {
            std::cmp::Ordering::Equal => left.cmp(&right) == numbers.0.cmp(&numbers.1),
            other => left.cmp(&right) == other,
        }
    }

    fn a_revision_is_read_as_it_is_written(era: u64, number: u64) -> bool {
        let revision = Revision::new(era, number);
        revision.to_string().parse() == Ok(revision)
    }
}

/// One that had gone, one that drained, and one that stayed: only the last is used until the doubt is over.
#[test]
fn back_ends_that_left_before_the_restore_get_nothing_for_a_while() {
    use BackEndState::{Draining, Ready};
    let mut usable = DirectoryView::default();
    let all = [("gone", Ready), ("leaving", Ready), ("staying", Ready)];
    usable.apply(at(0), false, of(Revision::new(0, 50), &all));
    let left = [("leaving", Draining), ("staying", Ready)];
    usable.apply(at(8_000), false, of(Revision::new(0, 60), &left));
    usable.apply(at(RESTORED), false, of(Revision::new(1, 50), &all));
    assert_eq!(usable.ready(), ["staying"]);
    assert!(!usable.expire(at(RESTORED + 5_900)));
    assert!(usable.expire(at(RESTORED + 6_000)));
    assert_eq!(usable.ready().len(), 3);
}

/// One that is younger than the copy is kept until it has written itself again.
#[test]
fn back_ends_that_the_copy_lacks_are_kept_for_a_moment() {
    use BackEndState::Ready;
    let mut usable = DirectoryView::default();
    usable.apply(at(0), false, of(Revision::new(0, 50), &[("old", Ready), ("young", Ready)]));
    usable.apply(at(RESTORED), false, of(Revision::new(1, 20), &[("old", Ready)]));
    assert_eq!(usable.ready().len(), 2);
    let base = Some(Revision::new(1, 20));
    let listed = of(Revision::default(), &[("young", Ready)]).back_ends;
    let update =
        BackEndUpdate { base, revision: Revision::new(1, 21), listed, removed: Vec::new() };
    usable.apply(at(RESTORED + 1_200), false, update);
    usable.expire(at(RESTORED + 20_000));
    assert_eq!(usable.ready().len(), 2);
}

/// Two restores in a row: the second keeps what the first had kept.
#[test]
fn evacuations_that_a_restored_source_lost_hold_until_they_are_written_again() {
    let zones = |revision, names: &[&str]| {
        let zones = names.iter().map(|name| (*name).to_owned()).collect();
        EvacuatedZones { revision, zones }
    };
    let mut evacuations = Evacuations::default();
    assert!(evacuations.offer(at(0), &zones(Revision::new(0, 70), &["a"])));
    assert!(!evacuations.offer(at(1), &zones(Revision::new(0, 60), &[])));
    for (era, millis) in [(1, RESTORED), (2, RESTORED + 4_000)] {
        assert!(evacuations.offer(at(millis), &zones(Revision::new(era, 20), &[])));
        let in_force = evacuations.in_force().expect("known");
        assert_eq!(in_force.zones.into_iter().collect::<Vec<_>>(), ["a"]);
    }
    assert!(!evacuations.expire(at(RESTORED + 9_900)));
    assert!(evacuations.expire(at(RESTORED + 10_000)));
    assert!(evacuations.in_force().expect("known").zones.is_empty());
}

/// A router that missed the restore learns of it from the first message of one that did not.
#[test]
fn a_peer_of_a_later_era_has_something_newer() {
    let mut outdated = dispatcher(1, 4, 8);
    let mut restored = dispatcher(2, 4, 8);
    outdated.on_back_ends(at(0), &of(Revision::new(0, 900), &[]));
    restored.on_back_ends(at(0), &of(Revision::new(1, 5), &[]));
    restored.on_source_contact(SourceContact::Answered);
    let (told_by_restored, told_by_outdated) = (
        restored.digest(at(1), RouterPhase::Serving),
        outdated.digest(at(1), RouterPhase::Serving),
    );
    outdated.on_digest(at(2), told_by_restored);
    restored.on_digest(at(2), told_by_outdated);
    assert!(outdated.newer_snapshot_address(at(3), 0.5).is_some());
    assert!(restored.newer_snapshot_address(at(3), 0.5).is_none());
}
