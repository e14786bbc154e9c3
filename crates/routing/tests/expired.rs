//! Back ends whose entries expired during an outage of the source are kept for a grace period.

mod support;

use mastbay_routing::SourceAvailability::{Answering, Failing, Unknown};
use mastbay_routing::{BackEndList, BackEndState, OutageDetector, SourceContact};
use mastbay_types::Timestamp;
use support::directory_view::DirectoryView;
use support::{at, list};

/// End of the grace period after an outage.
const GRACE_ENDS: Timestamp = Timestamp::from_millis(2_000);

/// Applies one list and then another, right after an outage or not. Returns the usable back ends.
fn apply_lists(
    grace_ends: Option<Timestamp>,
    first: BackEndList,
    second: &BackEndList,
) -> DirectoryView {
    let mut view = DirectoryView::default();
    assert!(view.apply(at(0), grace_ends, first));
    assert!(view.apply(at(0), grace_ends, second.clone()));
    view
}

#[test]
fn a_back_end_whose_entry_expired_in_an_outage_is_kept_until_it_is_back() {
    let mut view = apply_lists(Some(GRACE_ENDS), list(1, 4, 8), &list(2, 1, 8));
    assert_eq!(view.back_ends.len(), 4);
    assert!(view.apply(at(500), Some(GRACE_ENDS), list(3, 4, 8)));
    assert_eq!(view.back_ends.len(), 4);
    assert!(!view.expire(at(5_000)));
}

#[test]
fn a_back_end_that_stays_missing_is_removed() {
    let mut view = apply_lists(Some(GRACE_ENDS), list(1, 4, 8), &list(2, 1, 8));
    assert!(!view.expire(at(1_900)));
    assert!(view.expire(at(2_100)));
    assert_eq!(view.back_ends.len(), 1);
}

/// Returns a directory that read a list after an outage in which three of four back ends are
/// missing.
fn reader_after_an_outage() -> DirectoryView {
    apply_lists(Some(GRACE_ENDS), list(1, 4, 8), &list(2, 1, 8))
}

#[test]
fn peers_give_up_a_missing_back_end_when_the_router_that_read_the_source_does() {
    let reader = reader_after_an_outage();
    let mut late = DirectoryView::default();
    assert!(late.apply(at(0), None, list(1, 4, 8)));
    assert!(late.sync_from(at(1_200), &reader));
    assert_eq!(late.back_ends.len(), 4);
    assert!(!late.expire(at(1_999)));
    assert!(late.expire(GRACE_ENDS));
    assert_eq!(late.back_ends.len(), 1);
    let mut later = DirectoryView::default();
    assert!(later.apply(at(0), None, list(1, 4, 8)));
    assert!(later.sync_from(at(2_100), &reader));
    assert_eq!(later.back_ends.len(), 1);
}

#[test]
fn a_router_that_starts_uses_missing_back_ends_as_long_as_its_peers() {
    let mut started = DirectoryView::default();
    assert!(started.sync_from(at(500), &reader_after_an_outage()));
    assert_eq!(started.ready().len(), 4);
    assert!(started.expire(GRACE_ENDS));
    assert_eq!(started.ready().len(), 1);
}

/// A kept back end may have announced before the outage that it is draining, to one router only.
#[test]
fn a_router_does_not_use_a_missing_back_end_that_it_knows_to_be_draining() {
    let mut router = DirectoryView::default();
    let mut drained = list(1, 4, 8);
    drained.back_ends[2].state = BackEndState::Draining;
    assert!(router.apply(at(0), None, drained));
    assert!(router.sync_from(at(100), &reader_after_an_outage()));
    assert_eq!(router.ready(), ["e0", "e1", "e3"]);
}

/// Guards against a back end that gets requests again, after its removal was in force, since a router
/// that was cut off at that time keeps it and tells so.
#[test]
fn a_router_does_not_use_a_back_end_that_left_although_a_peer_that_was_out_of_touch_keeps_it() {
    let mut cut_off = DirectoryView::default();
    assert!(cut_off.apply(at(0), None, list(1, 4, 8)));
    assert!(cut_off.apply(at(50), Some(GRACE_ENDS), list(3, 3, 8)));
    assert_eq!(cut_off.back_ends.len(), 4);
    let mut in_touch = DirectoryView::default();
    assert!(in_touch.apply(at(0), None, list(1, 4, 8)));
    assert!(in_touch.apply(at(10), None, list(2, 3, 8)));
    assert!(in_touch.sync_from(at(100), &cut_off));
    assert_eq!(in_touch.ready(), ["e0", "e1", "e2"]);
}

/// Guards against taking a back end that is listed again for one that has left.
#[test]
fn a_back_end_that_came_back_is_kept_in_a_later_outage() {
    let mut reader = DirectoryView::default();
    assert!(reader.apply(at(0), None, list(3, 4, 8)));
    assert!(reader.apply(at(50), Some(GRACE_ENDS), list(4, 3, 8)));
    let mut router = DirectoryView::default();
    assert!(router.apply(at(0), None, list(1, 4, 8)));
    assert!(router.apply(at(10), None, list(2, 3, 8)));
    assert!(router.apply(at(20), None, list(3, 4, 8)));
    assert!(router.sync_from(at(100), &reader));
    assert_eq!(router.ready().len(), 4);
}

#[test]
fn updates_report_kept_back_ends_once() {
    let reader = reader_after_an_outage();
    let reported = |known: u64| {
        reader
            .directory
            .update_since(at(0), known.into())
            .kept
            .into_iter()
            .map(|kept| kept.back_end)
    };
    assert_eq!(reported(0).count(), 3);
    assert_eq!(reported(2).count(), 0);
}

#[test]
fn a_draining_back_end_is_not_kept() {
    let mut all = list(1, 2, 8);
    all.back_ends[1].state = BackEndState::Draining;
    assert_eq!(apply_lists(Some(GRACE_ENDS), all, &list(2, 1, 8)).back_ends.len(), 1);
}

#[test]
fn without_an_outage_missing_back_ends_are_removed_at_once() {
    assert_eq!(apply_lists(None, list(1, 4, 8), &list(2, 1, 8)).back_ends.len(), 1);
}

#[test]
fn the_recovery_period_follows_an_outage_but_not_a_single_lost_call() {
    let mut detector = OutageDetector::default();
    detector.observe(at(1_000), Failing);
    detector.observe(at(1_200), Answering);
    assert!(!detector.is_recovering(at(1_200)));
    (2_000..5_000).step_by(20).for_each(|now| detector.observe(at(now), Failing));
    detector.observe(at(5_000), Answering);
    assert!(detector.is_recovering(at(7_000)));
    assert!(!detector.is_recovering(at(8_000)));
}

/// Guards against taking the silence of a fleet for an outage: at its start, when the routers that
/// call the source have just terminated, or in a router that was stalled.
#[test]
fn without_failing_calls_there_is_no_outage() {
    let mut silent = OutageDetector::default();
    (0..5_000).step_by(20).for_each(|now| silent.observe(at(now), Unknown));
    silent.observe(at(5_000), Answering);
    assert!(!silent.is_recovering(at(5_000)));
    let mut stalled = OutageDetector::default();
    stalled.observe(at(1_000), Failing);
    stalled.observe(at(4_000), Failing);
    stalled.observe(at(4_020), Answering);
    assert!(!stalled.is_recovering(at(4_020)));
}

/// The routers that call the source may change during an outage.
#[test]
fn an_outage_is_detected_although_no_router_calls_the_source_for_a_moment() {
    let mut detector = OutageDetector::default();
    for now in (0..3_000).step_by(20) {
        let availability = if (1_000..1_600).contains(&now) { Unknown } else { Failing };
        detector.observe(at(now), availability);
    }
    detector.observe(at(3_000), Answering);
    assert!(detector.is_recovering(at(3_000)));
}

/// A router that is cut off must not take its own loss of contact for an outage of the source: back
/// ends that left would be kept.
#[test]
fn the_source_answers_as_long_as_any_router_has_contact() {
    let mut fleet = vec![support::dispatcher(1, 1, 4), support::dispatcher(2, 1, 4)];
    fleet[0].on_source_contact(SourceContact::Lost);
    fleet[1].on_source_contact(SourceContact::Answered);
    assert!(!fleet[0].is_source_answering(at(0)));
    support::exchange_digests(at(0), &mut fleet);
    assert!(fleet[0].is_source_answering(at(0)));
    fleet[1].on_source_contact(SourceContact::Lost);
    support::exchange_digests(at(80), &mut fleet);
    assert!(!fleet[0].is_source_answering(at(80)));
}
