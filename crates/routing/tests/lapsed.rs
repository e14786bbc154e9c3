//! Back ends that are missing from a list right after an outage of the source.

mod support;

use mastbay_routing::{BackEndList, BackEndState, OutageDetector, SourceContact};
use support::directory_view::DirectoryView;
use support::{at, list};

/// What is used after one list and then another, right after an outage or not.
fn after(recovering: bool, first: BackEndList, second: &BackEndList) -> DirectoryView {
    let mut usable = DirectoryView::default();
    assert!(usable.apply(at(0), recovering, first));
    assert!(usable.apply(at(0), recovering, second.clone()));
    usable
}

#[test]
fn a_back_end_whose_entry_lapsed_in_an_outage_is_kept_until_it_is_back() {
    let mut usable = after(true, list(1, 4, 8), &list(2, 1, 8));
    assert_eq!(usable.back_ends.len(), 4);
    assert!(usable.apply(at(500), true, list(3, 4, 8)));
    assert_eq!(usable.back_ends.len(), 4);
    assert!(!usable.expire(at(5_000)));
}

#[test]
fn one_that_stays_missing_is_taken_as_gone() {
    let mut usable = after(true, list(1, 4, 8), &list(2, 1, 8));
    assert!(!usable.expire(at(1_900)));
    assert!(usable.expire(at(2_100)));
    assert_eq!(usable.back_ends.len(), 1);
}

#[test]
fn one_that_said_it_would_leave_is_not_kept() {
    let mut all = list(1, 2, 8);
    all.back_ends[1].state = BackEndState::Draining;
    assert_eq!(after(true, all, &list(2, 1, 8)).back_ends.len(), 1);
}

#[test]
fn without_an_outage_what_is_missing_is_gone() {
    assert_eq!(after(false, list(1, 4, 8), &list(2, 1, 8)).back_ends.len(), 1);
}

#[test]
fn lists_are_in_doubt_for_a_while_after_an_outage_and_not_after_a_lost_call() {
    let mut watch = OutageDetector::default();
    watch.on_lost(at(1_000));
    watch.on_answer(at(1_200));
    assert!(!watch.is_recovering(at(1_200)));
    watch.on_lost(at(2_000));
    watch.on_lost(at(4_000));
    watch.on_answer(at(5_000));
    assert!(watch.is_recovering(at(7_000)));
    assert!(!watch.is_recovering(at(8_000)));
}

/// Found as DRAIN broken seven times (shwt grown, trouble-1): routers that had been cut off took their own
/// loss of the store for its outage, and the others kept a back end that had left.
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
