//! A router whose machine is suspended for a while: its clock goes ahead, and nothing else has moved.

mod support;

use mastbay_router::Origin;
use mastbay_routing::RoutingConfiguration;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::time::{Duration, Instant};
use support::{Bed, Request, ScriptedBackEnd, Step, answer, configuration, header, run, until};

/// Time that the callers give.
const DEADLINE: Duration = Duration::from_secs(9);

fn request(path: &str) -> Request {
    Request::new(path).with("mastbay-deadline-ms", &DEADLINE.as_millis().to_string())
}

/// The time that a back end was told for its last request.
fn time_told(back_end: &ScriptedBackEnd) -> Duration {
    let head = back_end.heads.borrow().last().cloned().expect("a request");
    let told = header(&head, "mastbay-deadline-ms").expect("a time");
    Duration::from_millis(told.parse().expect("a number"))
}

#[test]
fn a_request_whose_time_passed_meanwhile_ends_at_once() {
    run(async |runtime| {
        let silent = ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::UntilClosed]]).await;
        let bed = Bed::start(runtime, &[&silent]).await;
        let mut caller = bed.open(&request("/unsafe/x")).await;
        until(async || silent.arrivals() == 1).await;
        let resumed = Instant::now();
        runtime.advance_clock(DEADLINE * 2);
        let mut text = Vec::new();
        caller.read_to_end(&mut text).await.expect("answered");
        assert!(text.starts_with(b"HTTP/1.1 504"), "{}", String::from_utf8_lossy(&text));
        assert!(resumed.elapsed() < DEADLINE / 2, "{:?}", resumed.elapsed());
    });
}

#[test]
fn a_back_end_is_told_no_more_time_than_the_caller_has_left() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("late")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let text = request("/unsafe/x").body("question").text();
        let (head, body) = text.split_at(text.len() - "question".len());
        let mut caller = TcpStream::connect(bed.settings.callers).await.expect("connected");
        caller.write_all(head.as_bytes()).await.expect("sent");
        // The head has been read by the time that the next caller is served.
        bed.call(&request("/unsafe/y")).await;
        runtime.advance_clock(Duration::from_secs(4));
        caller.write_all(body.as_bytes()).await.expect("sent");
        until(async || back_end.arrivals() == 2).await;
        assert!(time_told(&back_end) <= Duration::from_secs(5), "{:?}", time_told(&back_end));
    });
}

/// What lay unread in the meantime is as old as the suspension was long.
#[test]
fn a_request_that_lay_unread_meanwhile_has_no_more_time_than_its_caller() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("late")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&request("/unsafe/x")).await;
        // Nothing runs between the two: the bytes are there when the router goes on.
        let mut caller = std::net::TcpStream::connect(bed.settings.callers).expect("connected");
        let text = request("/unsafe/y").text();
        std::io::Write::write_all(&mut caller, text.as_bytes()).expect("sent");
        runtime.advance_clock(Duration::from_secs(4));
        until(async || back_end.arrivals() == 2).await;
        assert!(time_told(&back_end) <= Duration::from_secs(5), "{:?}", time_told(&back_end));
    });
}

#[test]
fn connections_that_rested_too_long_meanwhile_are_not_used_again() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("x")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&request("/unsafe/x")).await;
        bed.call(&request("/unsafe/x")).await;
        assert_eq!(back_end.connections.get(), 1);
        runtime.advance_clock(Duration::from_secs(60));
        // What comes right after it is taken for as old as the suspension.
        until(async || bed.call(&request("/unsafe/x")).await.status == 200).await;
        assert_eq!(back_end.connections.get(), 2);
    });
}

/// A key is taken away and the router is suspended before it hears of it. The first call after it is served by what its peer tells.
#[test]
fn a_key_that_was_taken_away_meanwhile_is_refused() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("x")]).await;
        let (suspended, peer) =
            (Bed::start(runtime, &[&back_end]).await, Bed::start(runtime, &[&back_end]).await);
        suspended.introduce(peer.settings.digests, peer.settings.operations);
        peer.introduce(suspended.settings.digests, suspended.settings.operations);
        let keyed = || request("/keyed/x").with("authorization", "Bearer key-a");
        until(async || suspended.call(&keyed()).await.status == 200).await;
        until(async || suspended.router.fleet_size() == 2).await;
        let mut caller =
            std::net::TcpStream::connect(suspended.settings.callers).expect("connected");
        std::io::Write::write_all(&mut caller, keyed().text().as_bytes()).expect("sent");
        runtime.advance_clock(Duration::from_secs(4));
        let mut without_key: RoutingConfiguration = configuration(2);
        without_key.tenants[0].keys = vec!["another".to_owned()];
        peer.router.offer_configuration(without_key, Origin::Source);
        caller.set_nonblocking(true).expect("a socket");
        let mut caller = TcpStream::try_from(caller).expect("a socket");
        let mut text = Vec::new();
        caller.read_to_end(&mut text).await.expect("answered");
        assert!(text.starts_with(b"HTTP/1.1 401"), "{}", String::from_utf8_lossy(&text));
    });
}
