//! When the requests of a connection began, found in the bytes that are read from it.

use mastbay_router::receive_time::ReadDelay;
use mastbay_router::request_arrivals::{AgeSource, FirstRead, RequestArrivals, encode_age};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use std::time::Duration;

const FIRST: &[u8] = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody";
const SECOND: &[u8] = b"POST /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Reads `bytes` at `millis` and returns those of requests.
fn read(arrivals: &mut RequestArrivals, millis: u64, bytes: &[u8]) -> Vec<u8> {
    let mut buffer = bytes.to_vec();
    let kept = arrivals.on_read(at(millis), &mut buffer);
    buffer.truncate(kept);
    buffer
}

fn arrivals(source: AgeSource) -> RequestArrivals {
    RequestArrivals::new(source)
}

/// Guards against dating a request whose head comes slowly by the end of its head.
#[test]
fn a_request_began_with_its_first_byte() {
    let mut arrivals = arrivals(AgeSource::Reading);
    let (start, rest) = FIRST.split_at(10);
    assert_eq!(read(&mut arrivals, 100, start), start);
    assert_eq!(read(&mut arrivals, 2_600, rest), rest);
    assert_eq!(arrivals.take_next(), Some(at(100)));
    assert_eq!(arrivals.take_next(), None);
}

/// Guards against dating the next request by the end of the answer before it.
#[test]
fn requests_that_one_read_returns_began_with_it() {
    let mut arrivals = arrivals(AgeSource::Reading);
    read(&mut arrivals, 100, &[FIRST, SECOND, &FIRST[..3]].concat());
    read(&mut arrivals, 900, &FIRST[3..]);
    assert_eq!(arrivals.take_next(), Some(at(100)));
    assert_eq!(arrivals.take_next(), Some(at(100)));
    assert_eq!(arrivals.take_next(), Some(at(100)));
    assert_eq!(arrivals.take_next(), None);
}

/// Guards against dating a request by bytes that belong to the one before it, or to none.
#[test]
fn a_body_and_empty_lines_begin_no_request() {
    let mut arrivals = arrivals(AgeSource::Reading);
    read(&mut arrivals, 100, &FIRST[..FIRST.len() - 2]);
    read(&mut arrivals, 200, &FIRST[FIRST.len() - 2..]);
    read(&mut arrivals, 300, b"\r\n");
    read(&mut arrivals, 9_000, SECOND);
    assert_eq!(arrivals.take_next(), Some(at(100)));
    assert_eq!(arrivals.take_next(), Some(at(9_000)));
}

/// Guards against forgetting how long a request lay at the router that forwards it.
#[test]
fn the_age_that_a_forwarding_router_tells_counts() {
    let mut arrivals = arrivals(AgeSource::ForwardingRouter);
    let age = encode_age(Duration::from_millis(1_500));
    let bytes = [&age[..], FIRST, &encode_age(Duration::ZERO), SECOND].concat();
    assert_eq!(read(&mut arrivals, 5_000, &bytes), [FIRST, SECOND].concat());
    assert_eq!(arrivals.take_next(), Some(at(3_500)));
    assert_eq!(arrivals.take_next(), Some(at(5_000)));
}

#[test]
fn a_first_read_is_dated_by_the_connection_unless_one_found_nothing() {
    let delay = Duration::from_millis(30);
    let mut at_once = FirstRead::new(at(1_000));
    assert_eq!(at_once.date(at(1_400), delay), at(1_000));
    assert_eq!(at_once.date(at(2_000), delay), at(1_970));
    let mut later = FirstRead::new(at(1_000));
    later.on_pending();
    assert_eq!(later.date(at(1_400), delay), at(1_370));
}

quickcheck! {
    fn the_pieces_in_which_bytes_are_read_make_no_difference(cuts: Vec<u8>) -> bool {
        let age = encode_age(Duration::from_millis(700));
        let bytes = [&age[..], FIRST, &age[..], SECOND, &age[..], FIRST].concat();
        let mut arrivals = arrivals(AgeSource::ForwardingRouter);
        let (mut kept, mut rest) = (Vec::new(), &bytes[..]);
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(cut).min(rest.len()));
            kept.extend(read(&mut arrivals, 1_000, piece));
            rest = after;
        }
        kept.extend(read(&mut arrivals, 1_000, rest));
        let begun: Vec<_> = std::iter::from_fn(|| arrivals.take_next()).collect();
        kept == [FIRST, SECOND, FIRST].concat() && begun == vec![at(300); 3]
    }
}

/// Guards against taking the earliest time at which bytes may have come for the time at which they did.
#[test]
fn bytes_are_dated_by_when_they_were_received_if_it_is_known() {
    let delay = ReadDelay {
        estimated: Duration::from_millis(1_500),
        longest: Duration::from_millis(1_520),
    };
    let recorded = Some(Duration::from_millis(70));
    assert_eq!(delay.date(at(5_000), recorded, at(3_500)), at(4_930));
    assert_eq!(delay.date(at(5_000), None, at(3_500)), at(3_500));
}

/// Guards against ages of any length after the clock of the day was set.
#[test]
fn bytes_are_dated_within_the_time_for_which_the_router_was_late() {
    let recorded = Some(Duration::from_secs(3_600));
    let late = ReadDelay { estimated: Duration::ZERO, longest: Duration::from_millis(50) };
    assert_eq!(late.date(at(5_000), recorded, at(5_000)), at(4_950));
    assert_eq!(ReadDelay::default().date(at(5_000), recorded, at(4_800)), at(4_800));
}
