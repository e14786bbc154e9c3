//! Suspension of the machine: the clock jumps ahead while nothing else moves.

mod support;

use mastbay_router::Origin;
use mastbay_routing::RoutingConfiguration;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::time::{Duration, Instant};
use support::{Bed, Request, ScriptedBackEnd, Step, answer, configuration, header, run, until};

/// Deadline that callers send.
const DEADLINE: Duration = Duration::from_secs(9);

fn request(path: &str) -> Request {
    Request::new(path).with("mastbay-deadline-ms", &DEADLINE.as_millis().to_string())
}

/// Remaining time that the router sent to a back end with its last request.
fn last_deadline(back_end: &ScriptedBackEnd) -> Duration {
    let head = back_end.heads.borrow().last().cloned().expect("a request");
    let deadline = header(&head, "mastbay-deadline-ms").expect("a time");
    Duration::from_millis(deadline.parse().expect("a number"))
}

#[test]
fn a_request_whose_deadline_passes_during_suspension_ends_at_once() {
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
fn a_back_end_gets_no_later_deadline_than_the_caller_has() {
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
        assert!(
            last_deadline(&back_end) <= Duration::from_secs(5),
            "{:?}",
            last_deadline(&back_end)
        );
    });
}

/// The router must count the suspension as waiting time of a request that was not read yet.
#[test]
fn a_request_unread_during_suspension_gets_no_later_deadline_than_its_caller_has() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("late")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&request("/unsafe/x")).await;
        // The router does not run between the write and the jump of the clock, so it finds the
        // bytes afterwards.
        let mut caller = std::net::TcpStream::connect(bed.settings.callers).expect("connected");
        let text = request("/unsafe/y").text();
        std::io::Write::write_all(&mut caller, text.as_bytes()).expect("sent");
        runtime.advance_clock(Duration::from_secs(4));
        until(async || back_end.arrivals() == 2).await;
        assert!(
            last_deadline(&back_end) <= Duration::from_secs(5),
            "{:?}",
            last_deadline(&back_end)
        );
    });
}

#[test]
fn connections_idle_too_long_during_suspension_are_not_reused() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("x")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&request("/unsafe/x")).await;
        bed.call(&request("/unsafe/x")).await;
        assert_eq!(back_end.connections.get(), 1);
        runtime.advance_clock(Duration::from_secs(60));
        // A request right after the suspension counts as waiting since its start and may be
        // rejected.
        until(async || bed.call(&request("/unsafe/x")).await.status == 200).await;
        assert_eq!(back_end.connections.get(), 2);
    });
}

/// The key is revoked while the router is suspended. After resuming, the router must obtain the new
/// configuration from its peer before it serves the first call.
#[test]
fn a_key_revoked_during_suspension_is_rejected() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("x")]).await;
        let (suspended, peer) =
            (Bed::start(runtime, &[&back_end]).await, Bed::start(runtime, &[&back_end]).await);
        suspended.announce_peer(peer.settings.digests, peer.settings.operations);
        peer.announce_peer(suspended.settings.digests, suspended.settings.operations);
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
