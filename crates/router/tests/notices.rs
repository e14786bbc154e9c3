//! Notices that back ends send about themselves in the heads of their answers.

use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, http};
use mastbay_router::dialect::{
    BackEndDialect, BackEndNotice, RetryAfter, RetryAfterError, read_retry_after,
};
use mastbay_router::native_dialect::NativeDialect;
use quickcheck::quickcheck;
use std::time::Duration;

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}

fn seconds(seconds: f64) -> RetryAfter {
    RetryAfter::After(Duration::from_secs_f64(seconds))
}

#[test]
fn retry_after_is_a_number_of_seconds() {
    let malformed = RetryAfter::Malformed;
    let cases = [
        (vec![], RetryAfter::Absent),
        (vec!["3"], seconds(3.0)),
        (vec![" 0.25 "], seconds(0.25)),
        (vec!["0"], seconds(0.0)),
        (vec!["1000000000"], seconds(3_600.0)),
        (vec!["1e300"], seconds(3_600.0)),
        (vec!["-1"], malformed(RetryAfterError::OutOfRange)),
        (vec!["NaN"], malformed(RetryAfterError::OutOfRange)),
        (vec!["inf"], malformed(RetryAfterError::OutOfRange)),
        (vec!["Wed, 21 Oct 2026 07:28:00 GMT"], malformed(RetryAfterError::NotANumber)),
        (vec![""], malformed(RetryAfterError::NotANumber)),
        (vec!["1", "4", "2"], seconds(4.0)),
        (vec!["soon", "2"], seconds(2.0)),
        (vec!["2", "soon"], seconds(2.0)),
    ];
    for (values, expected) in cases {
        assert_eq!(read_retry_after(&headers(&values)), expected, "{values:?}");
    }
}

quickcheck! {
    fn any_header_value_gives_a_bounded_time(text: String) -> bool {
        let Ok(value) = HeaderValue::from_str(&text) else { return true };
        let mut headers = HeaderMap::new();
        headers.insert(RETRY_AFTER, value);
        match read_retry_after(&headers) {
            RetryAfter::After(pause) => pause <= Duration::from_secs(3_600),
            RetryAfter::Malformed(_) => true,
            RetryAfter::Absent => false,
        }
    }
}

fn response(status: u16, headers: &[(&str, &str)]) -> http::response::Parts {
    let builder = Response::builder().status(status);
    let builder =
        headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(()).expect("a response").into_parts().0
}

#[test]
fn only_the_answer_of_the_back_end_to_this_request_carries_notices() {
    let own = ("mastbay-request-id", "r1");
    let draining = ("mastbay-draining", "1");
    let pause = ("retry-after", "3");
    let nothing = BackEndNotice::default();
    let drains = BackEndNotice { is_draining: true, ..nothing };
    let pauses = BackEndNotice { retry_after: seconds(3.0), ..nothing };
    let cases = [
        (response(200, &[own, draining]), drains),
        (response(500, &[own, draining]), drains),
        (response(503, &[own, draining, pause]), BackEndNotice { is_draining: true, ..pauses }),
        (response(503, &[own, ("mastbay-outcome", "not-run"), pause]), pauses),
        (response(429, &[own, pause]), pauses),
        (response(200, &[own, pause]), nothing),
        (response(200, &[own, ("mastbay-draining", "0")]), nothing),
        (response(200, &[draining, pause]), nothing),
        (response(503, &[("mastbay-request-id", "r2"), draining, pause]), nothing),
        (response(503, &[own, ("mastbay-outcome", "not-run-replaced"), draining, pause]), nothing),
    ];
    for (head, expected) in cases {
        assert_eq!(NativeDialect.notice("r1", &head), expected, "{head:?}");
    }
}
