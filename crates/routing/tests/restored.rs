//! A source restored from an older backup must not make departed back ends usable at once.

mod support;

use mastbay_routing::{
    BackEnd, BackEndList, BackEndState, BackEndUpdate, EvacuatedZones, Evacuations, Revision,
    RouterPhase, SourceContact,
};
use quickcheck::quickcheck;
use support::directory_view::DirectoryView;
use support::{MODEL, at, back_end, dispatcher};

/// Time of the restore, in milliseconds.
const RESTORED: u64 = 10_000;

fn back_end_list(revision: Revision, back_ends: &[(&str, BackEndState)]) -> BackEndList {
    let back_ends = back_ends.iter();
    let entry = |(name, state): &(&str, BackEndState)| BackEnd {
        state: *state,
        ..back_end(name, MODEL, 8)
    };
    BackEndList { revision, back_ends: back_ends.map(entry).collect() }
}

quickcheck! {
    fn revisions_of_a_later_era_are_newer(eras: (u8, u8), numbers: (u64, u64)) -> bool {
        let (left, right) = (
            Revision::new(eras.0.into(), numbers.0),
            Revision::new(eras.1.into(), numbers.1),
        );
        match eras.0.cmp(&eras.1) {
            std::cmp::Ordering::Equal => left.cmp(&right) == numbers.0.cmp(&numbers.1),
            other => left.cmp(&right) == other,
        }
    }

    fn a_revision_round_trips_through_its_text(era: u64, number: u64) -> bool {
        let revision = Revision::new(era, number);
        revision.to_string().parse() == Ok(revision)
    }
}

/// Back ends that were removed before the restore are excluded until the uncertainty window ends,
/// those that were draining for good.
#[test]
fn back_ends_that_left_before_the_restore_are_excluded_for_a_while() {
    use BackEndState::{Draining, Ready};
    let mut view = DirectoryView::default();
    let all = [("gone", Ready), ("leaving", Ready), ("staying", Ready)];
    view.apply(at(0), None, back_end_list(Revision::new(0, 50), &all));
    let left = [("leaving", Draining), ("staying", Ready)];
    view.apply(at(8_000), None, back_end_list(Revision::new(0, 60), &left));
    view.apply(at(RESTORED), None, back_end_list(Revision::new(1, 50), &all));
    assert_eq!(view.ready(), ["staying"]);
    assert!(!view.expire(at(RESTORED + 5_900)));
    assert!(view.expire(at(RESTORED + 6_000)));
    assert_eq!(view.ready(), ["gone", "staying"]);
}

/// A back end that registered after the backup is kept until it registers again.
#[test]
fn back_ends_that_the_backup_lacks_are_kept_until_they_register_again() {
    use BackEndState::Ready;
    let mut view = DirectoryView::default();
    view.apply(
        at(0),
        None,
        back_end_list(Revision::new(0, 50), &[("old", Ready), ("young", Ready)]),
    );
    view.apply(at(RESTORED), None, back_end_list(Revision::new(1, 20), &[("old", Ready)]));
    assert_eq!(view.ready().len(), 2);
    let base = Some(Revision::new(1, 20));
    let listed = back_end_list(Revision::default(), &[("young", Ready)]).back_ends;
    let update =
        BackEndUpdate { base, revision: Revision::new(1, 21), listed, ..BackEndUpdate::default() };
    view.apply(at(RESTORED + 1_200), None, update);
    view.expire(at(RESTORED + 20_000));
    assert_eq!(view.ready().len(), 2);
}

/// A second restore in a row keeps the evacuations that the first one kept.
#[test]
fn evacuations_that_a_restored_source_lost_stay_in_force_for_a_while() {
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

/// A router that missed the restore learns of it from the first digest of one that did not.
#[test]
fn a_peer_of_a_later_era_has_a_newer_snapshot() {
    let mut outdated = dispatcher(1, 4, 8);
    let mut restored = dispatcher(2, 4, 8);
    outdated.on_back_ends(at(0), &back_end_list(Revision::new(0, 900), &[]));
    restored.on_back_ends(at(0), &back_end_list(Revision::new(1, 5), &[]));
    restored.on_source_contact(SourceContact::Answered);
    let (digest_of_restored, digest_of_outdated) = (
        restored.digest(at(1), RouterPhase::Serving),
        outdated.digest(at(1), RouterPhase::Serving),
    );
    outdated.on_digest(at(2), digest_of_restored);
    restored.on_digest(at(2), digest_of_outdated);
    assert!(outdated.newer_snapshot_address(at(3), 0.5).is_some());
    assert!(restored.newer_snapshot_address(at(3), 0.5).is_none());
}
