//! Notices of back ends that have fallen silent or answer again, from this router's requests and from
//! peers.

use crate::events;
use crate::router::Router;
use mastbay_routing::{BackEndId, SilenceFinding, SilenceReport};
use mastbay_types::Timestamp;
use std::net::SocketAddr;

/// Records that a request sent at `sent` to a back end was not answered in time. After a delay of this
/// router itself, the answer may be there unread, so that nothing is known of the back end.
pub fn on_unanswered(router: &Router, id: &BackEndId, sent: Timestamp) {
    let is_late = !router.lateness().is_zero();
    if !is_late && router.dispatcher.borrow_mut().on_unanswered(router.now(), id, sent) {
        events::back_end_silence(id, SilenceFinding::Silent, "own");
        router.update_signal.notify();
    }
}

/// Records that the head of an answer was received from a back end.
pub fn on_answer_head(router: &Router, id: &BackEndId) {
    if router.dispatcher.borrow_mut().on_answer_head(router.now(), id) {
        events::back_end_silence(id, SilenceFinding::Answered, "own");
        router.update_signal.notify();
        router.poll_waiting();
    }
}

/// Applies what another router found.
pub fn apply_reports(router: &Router, reports: &[SilenceReport], sender: SocketAddr) {
    for report in reports {
        let is_new = router.dispatcher.borrow_mut().on_silence_reported(router.now(), report);
        if is_new {
            events::back_end_silence(&report.back_end, report.finding, &sender.to_string());
        }
    }
    router.poll_waiting();
}
