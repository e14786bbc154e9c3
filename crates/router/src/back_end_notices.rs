//! Applies the state that back ends report in answers: draining, or a backoff for further requests.

use crate::call::Call;
use crate::dialect::{BackEndNotice, RetryAfter};
use crate::events;
use crate::log_rate_limiter::LogLineKind;
use crate::router::Router;
use hyper::http;
use mastbay_routing::BackEndId;
use std::net::SocketAddr;

/// Applies the notice in the head of an answer from the back end `id`.
pub fn apply(router: &Router, call: &Call, id: &BackEndId, head: &http::response::Parts) {
    let notice = router.dialects.back_ends.notice(&call.head.request_id, head);
    if notice == BackEndNotice::default() {
        return;
    }
    let now = router.now();
    if notice.is_draining && router.dispatcher.borrow_mut().on_draining(now, id) {
        events::back_end_draining(id, Some(&call.head.request_id), "own");
        router.metrics.on_back_end_draining();
        router.update_signal.notify();
    }
    match notice.retry_after {
        RetryAfter::Absent => {}
        RetryAfter::After(backoff) => {
            router.metrics.on_backoff_requested();
            if router.dispatcher.borrow_mut().on_backoff(now, id, backoff) {
                events::back_end_backoff(id, backoff, head.status, &call.head.request_id);
            }
        }
        RetryAfter::Malformed(error) if router.may_write_line(LogLineKind::Failure) => {
            events::retry_after_malformed(id, &error, &call.head.request_id);
        }
        // The rate limiter suppressed and counted the line.
        RetryAfter::Malformed(_) => {}
    }
}

/// Marks back ends as draining that another router reported.
pub fn apply_reported(router: &Router, reported: &[BackEndId], sender: SocketAddr) {
    let now = router.now();
    for id in reported {
        if router.dispatcher.borrow_mut().on_draining_reported(now, id) {
            events::back_end_draining(id, None, &sender.to_string());
        }
    }
}
