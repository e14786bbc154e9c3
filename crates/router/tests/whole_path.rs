//! Requests through a whole router, with well-behaved and faulty back ends.

mod support;

use mastbay_router::Origin;
use mastbay_routing::BackEndState;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io::Write as _;
use std::time::Duration;
use support::{
    Bed, Request, STREAM_END, STREAM_HEAD, ScriptedBackEnd, Step, answer, chunk, configuration,
    events, header, not_run, run, until,
};

fn stream(parts: &[&str], then: &[Step]) -> Vec<Step> {
    let mut steps = vec![Step::Write(STREAM_HEAD.to_owned() + &parts.concat())];
    steps.extend_from_slice(then);
    steps
}

#[test]
fn an_answer_is_relayed_unchanged() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("hello")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let answer = bed.call(&Request::new("/safe/x?y=1").body("question")).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.is_complete), (200, "hello", true));
        let head = back_end.heads.borrow()[0].clone();
        assert!(head.starts_with("POST /safe/x?y=1 HTTP/1.1"), "{head}");
        assert_eq!(header(&head, "mastbay-back-end").as_deref(), Some("b1"));
    });
}

#[test]
fn the_key_sets_the_tenant_header_and_a_forged_one_is_dropped() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let keyed = Request::new("/keyed/x").with("authorization", "Bearer key-a");
        bed.call(&keyed.with("mastbay-tenant", "someone-else")).await;
        let head = back_end.heads.borrow()[0].clone();
        assert_eq!(header(&head, "mastbay-tenant").as_deref(), Some("tenant-a"));
        assert_eq!(header(&head, "authorization"), None);
        let unknown = Request::new("/keyed/x").with("authorization", "Bearer key-b");
        assert_eq!(bed.call(&unknown).await.status, 401);
        assert_eq!(bed.call(&Request::new("/keyed/x")).await.status, 401);
        assert_eq!(back_end.arrivals(), 1);
    });
}

#[test]
fn requests_without_a_route_and_oversized_requests_are_rejected() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        assert_eq!(bed.call(&Request::new("/nowhere/x")).await.status, 404);
        let large = Request::new("/safe/x").body(&"x".repeat(10_001));
        assert_eq!(bed.call(&large).await.status, 413);
        assert_eq!(back_end.arrivals(), 0);
    });
}

#[test]
fn a_request_that_a_back_end_did_not_run_is_sent_to_another() {
    run(async |runtime| {
        let full = ScriptedBackEnd::start(runtime, "b1", vec![not_run()]).await;
        let other = ScriptedBackEnd::start(runtime, "b2", vec![answer("run")]).await;
        let bed = Bed::start(runtime, &[&full, &other]).await;
        for _ in 0..4 {
            let answer = bed.call(&Request::new("/unsafe/x")).await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "run"));
        }
    });
}

#[test]
fn a_request_that_was_not_run_gets_that_outcome_and_retry_after() {
    run(async |runtime| {
        let full = ScriptedBackEnd::start(runtime, "b1", vec![not_run()]).await;
        let bed = Bed::start(runtime, &[&full]).await;
        let answer = bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("mastbay-outcome").as_deref(), Some("not-run"));
        assert!(answer.header("retry-after").is_some());
    });
}

#[test]
fn an_unsafe_request_whose_answer_is_lost_is_never_sent_again() {
    run(async |runtime| {
        let broken = ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::Close]]).await;
        let other = ScriptedBackEnd::start(runtime, "b2", vec![vec![Step::Close]]).await;
        let bed = Bed::start(runtime, &[&broken, &other]).await;
        let answer = bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!(answer.status, 502);
        assert_eq!(broken.arrivals() + other.arrivals(), 1);
    });
}

#[test]
fn a_safe_request_whose_answer_is_lost_is_sent_to_another() {
    run(async |runtime| {
        let broken = ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::Close]]).await;
        let other = ScriptedBackEnd::start(runtime, "b2", vec![answer("run")]).await;
        let bed = Bed::start(runtime, &[&broken, &other]).await;
        for _ in 0..3 {
            assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 200);
        }
    });
}

#[test]
fn the_answer_to_another_request_is_not_relayed() {
    run(async |runtime| {
        let foreign =
            "HTTP/1.1 200 OK\r\nmastbay-request-id: other\r\ncontent-length: 5\r\n\r\nwrong";
        let crossed =
            ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::Write(foreign.to_owned())]])
                .await;
        let bed = Bed::start(runtime, &[&crossed]).await;
        let answer = bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!(answer.status, 502);
        assert!(!answer.body.contains("wrong"));
    });
}

#[test]
fn bytes_after_an_answer_close_the_connection_and_do_not_reach_the_next_answer() {
    run(async |runtime| {
        let extra = "HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\ncontent-length: 5\r\n\r\nextra";
        let mut first = answer("first");
        first.push(Step::Write(extra.to_owned()));
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![first, answer("second")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        assert_eq!(bed.call(&Request::new("/safe/x")).await.body, "first");
        assert_eq!(bed.call(&Request::new("/safe/x")).await.body, "second");
        assert_eq!(back_end.connections.get(), 2);
    });
}

#[test]
fn a_malformed_answer_is_not_relayed() {
    run(async |runtime| {
        let garbage = vec![vec![Step::Write("\u{1}\u{2} garbage\r\n\r\n".to_owned()), Step::Close]];
        let broken = ScriptedBackEnd::start(runtime, "b1", garbage).await;
        let bed = Bed::start(runtime, &[&broken]).await;
        let answer = bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!((answer.status, answer.is_complete), (502, true));
        assert!(!answer.body.contains("garbage"));
    });
}

#[test]
fn a_truncated_answer_is_not_relayed_as_complete() {
    run(async |runtime| {
        let part = "HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\ncontent-length: 50\r\n\r\nhalf";
        let steps = vec![vec![Step::Write(part.to_owned()), Step::Close]];
        let broken = ScriptedBackEnd::start(runtime, "b1", steps).await;
        let bed = Bed::start(runtime, &[&broken]).await;
        let answer = bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!(answer.status, 502);
    });
}

#[test]
fn a_stream_is_relayed_completely() {
    run(async |runtime| {
        let parts = [&events(1, 3), STREAM_END];
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![stream(&parts, &[])]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let answer = bed.call(&Request::new("/stream/x")).await;
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(answer.body.matches("data: x").count(), 3);
    });
}

#[test]
fn a_truncated_stream_ends_visibly_incomplete_and_has_complete_events_only() {
    run(async |runtime| {
        let parts = [&events(1, 2), &chunk("id: 3\nda")[..]];
        let steps = vec![stream(&parts, &[Step::Close])];
        let back_end = ScriptedBackEnd::start(runtime, "b1", steps).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let answer = bed.call(&Request::new("/stream/x")).await;
        assert!(!answer.is_complete);
        assert_eq!(answer.body.matches("data: x").count(), 2);
        assert!(!answer.body.contains("id: 3"));
        assert_eq!(back_end.arrivals(), 1);
    });
}

#[test]
fn a_resumable_stream_resumes_at_another_back_end() {
    run(async |runtime| {
        let broken = stream(&[&events(1, 2), &chunk("id: 3\nda")], &[Step::Close]);
        let rest = stream(&[&events(2, 5), STREAM_END], &[]);
        // The first back end breaks off; the second resumes the stream and repeats one event.
        let log = vec![broken, rest];
        let first = ScriptedBackEnd::start(runtime, "b1", log.clone()).await;
        let bed = Bed::start(runtime, &[&first]).await;
        let second = ScriptedBackEnd::start(runtime, "b2", vec![log[1].clone()]).await;
        let request = Request::new("/resumable/x");
        let caller = bed.open(&request).await;
        until(async || first.arrivals() == 1).await;
        bed.set_back_ends(2, &[&first, &second]);
        let mut caller = caller;
        let mut text = String::new();
        caller.read_to_string(&mut text).await.expect("read");
        for number in 1..=5 {
            assert_eq!(text.matches(&format!("id: {number}\n")).count(), 1, "{text}");
        }
        assert!(text.ends_with(STREAM_END));
        let head = second.heads.borrow()[0].clone();
        assert_eq!(header(&head, "mastbay-last-event").as_deref(), Some("2"));
    });
}

#[test]
fn a_caller_that_disconnects_frees_the_back_end() {
    run(async |runtime| {
        for (path, steps) in [
            ("/stream/x", stream(&[&events(1, 1)], &[Step::UntilClosed])),
            ("/unsafe/x", vec![Step::UntilClosed]),
        ] {
            let back_end = ScriptedBackEnd::start(runtime, "b1", vec![steps]).await;
            let bed = Bed::start(runtime, &[&back_end]).await;
            let caller = bed.open(&Request::new(path)).await;
            until(async || back_end.arrivals() == 1).await;
            drop(caller);
            until(async || back_end.closed_by_router.get() == 1).await;
        }
    });
}

/// A late router reads requests whose callers have already closed their connections.
#[test]
fn a_request_whose_caller_disconnects_before_it_is_read_is_not_sent() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        // Opens a connection to the back end for reuse, so that no request waits for one.
        assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 200);
        for _ in 0..20 {
            // Blocking calls: the router runs on this thread and reads nothing in the meantime.
            let mut caller = std::net::TcpStream::connect(bed.settings.callers).expect("connected");
            let request = Request::new("/safe/x").body("question");
            caller.write_all(request.text().as_bytes()).expect("sent");
        }
        let last = bed.call(&Request::new("/safe/last")).await;
        assert_eq!((last.status, back_end.arrivals()), (200, 2));
    });
}

#[test]
fn a_request_that_times_out_is_answered_and_its_back_end_freed() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::UntilClosed]]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        assert_eq!(bed.call(&Request::new("/brief/x")).await.status, 504);
        until(async || back_end.closed_by_router.get() == 1).await;
        let head = back_end.heads.borrow()[0].clone();
        let left: u64 =
            header(&head, "mastbay-deadline-ms").expect("set").parse().expect("a number");
        assert!(left <= 150);
    });
}

#[test]
fn a_deadline_that_passes_before_the_request_is_sent_gives_not_run() {
    run(async |runtime| {
        let bed = Bed::start(runtime, &[]).await;
        let answer = bed.call(&Request::new("/unsafe/x").with("mastbay-deadline-ms", "30")).await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("mastbay-outcome").as_deref(), Some("not-run"));
    });
}

#[test]
fn a_draining_or_removed_back_end_gets_no_new_requests() {
    run(async |runtime| {
        let leaving = ScriptedBackEnd::start(runtime, "b1", vec![answer("1")]).await;
        let staying = ScriptedBackEnd::start(runtime, "b2", vec![answer("2")]).await;
        let added = ScriptedBackEnd::start(runtime, "b3", vec![answer("3")]).await;
        let bed = Bed::start(runtime, &[&leaving, &staying]).await;
        let mut listed = vec![leaving.listed("plain"), staying.listed("plain")];
        listed[0].state = BackEndState::Draining;
        let list = mastbay_routing::BackEndList { revision: 2.into(), back_ends: listed };
        bed.router.offer_back_ends(list, Origin::Source);
        for _ in 0..10 {
            assert_eq!(bed.call(&Request::new("/safe/x")).await.body, "2");
        }
        // The entry of the draining one, as ready, was written before it drained.
        bed.set_back_ends(3, &[&leaving, &added]);
        for _ in 0..10 {
            assert_eq!(bed.call(&Request::new("/safe/x")).await.body, "3");
        }
    });
}

#[test]
fn an_older_configuration_is_ignored() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let mut newer = configuration(5);
        newer.routes.retain(|route| route.path_prefix != "/safe/");
        bed.router.offer_configuration(newer, Origin::Source);
        assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 404);
        bed.router.offer_configuration(configuration(4), Origin::Source);
        assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 404);
        assert_eq!(bed.router.versions().0, 5);
    });
}

#[test]
fn the_configuration_limits_the_heads_of_requests() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let long = Request::new("/safe/x").with("x-long", &"x".repeat(30_000));
        assert_eq!(bed.call(&long).await.status, 431);
        let mut wider = configuration(2);
        wider.limits.head_bytes = 64 << 10;
        bed.router.offer_configuration(wider, Origin::Source);
        assert_eq!(bed.call(&long).await.status, 200);
    });
}

#[test]
fn a_router_that_misses_a_version_fetches_it_from_a_peer() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let first = Bed::start(runtime, &[&back_end]).await;
        let second = Bed::start(runtime, &[]).await;
        first.router.offer_configuration(configuration(9), Origin::Source);
        first.set_back_ends(7, &[&back_end]);
        // These routers have no seeds, so the test sends the first one a digest of the second.
        let state = mastbay_routing::RouterState {
            id: mastbay_routing::PeerId { address: second.settings.digests, incarnation: 1 },
            sequence: 1,
            snapshots: second.settings.operations,
            zone: "a".to_owned(),
            phase: mastbay_routing::RouterPhase::Serving,
            contact: mastbay_routing::SourceContact::Answered,
            processor: 1.0,
            configuration: 0,
            back_ends: 0.into(),
            evacuations: 0.into(),
            rollouts: 0.into(),
            routers: 1,
        };
        let message = mastbay_routing::PeerMessage::Digest(mastbay_routing::Digest {
            router: state,
            stats: None,
            is_member: false,
            peers: Vec::new(),
        });
        let socket = smol::net::UdpSocket::bind(("127.0.0.1", 0)).await.expect("bound");
        let datagram = rmp_serde::to_vec(&message).expect("encoded");
        socket.send_to(&datagram, first.settings.digests).await.expect("sent");
        until(async || second.router.versions() == (9, 7.into())).await;
    });
}

#[test]
fn malformed_heads_are_rejected() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("fine")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        for bytes in
            ["\0\0\0\r\n\r\n", "GET\r\n\r\n", "POST /safe/x HTTP/1.1\r\ncontent-length: x\r\n\r\n"]
        {
            let mut stream =
                smol::net::TcpStream::connect(bed.settings.callers).await.expect("open");
            stream.write_all(bytes.as_bytes()).await.expect("sent");
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            assert!(!answer.starts_with(b"HTTP/1.1 2"));
        }
        let mut without_id = Request::new("/safe/x");
        without_id.headers.clear();
        assert_eq!(bed.call(&without_id).await.status, 400);
        assert_eq!(bed.call(&Request::new("/safe/x")).await.body, "fine");
        assert_eq!(back_end.arrivals(), 1);
    });
}

#[test]
fn a_large_answer_without_a_content_length_is_delivered_completely() {
    run(async |runtime| {
        let body = "x".repeat(2 << 20);
        let steps = [STREAM_HEAD.to_owned() + &chunk(&body) + STREAM_END];
        let steps = steps.map(Step::Write).to_vec();
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![steps]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let answer = bed.call(&Request::new("/safe/x")).await;
        assert_eq!((answer.status, answer.body.len(), answer.is_complete), (200, body.len(), true));
    });
}

/// The keep-alive time-out in an answer that resumes a stream must apply to its connection.
/// Otherwise the router reuses a connection that the back end has closed.
#[test]
fn the_connection_of_a_resumed_stream_is_reused_only_within_its_keep_alive_timeout() {
    run(async |runtime| {
        let broken = vec![stream(&[&events(1, 2)], &[Step::Close])];
        let first = ScriptedBackEnd::start(runtime, "b1", broken).await;
        let head = STREAM_HEAD.replace("\r\n\r\n", "\r\nkeep-alive: timeout=1\r\n\r\n");
        let rest = Step::Write(head + &events(3, 4) + STREAM_END);
        let second = ScriptedBackEnd::start(runtime, "b2", vec![vec![rest], answer("x")]).await;
        let bed = Bed::start(runtime, &[&first]).await;
        let (answered, ()) = smol::future::zip(bed.call(&Request::new("/resumable/x")), async {
            until(async || first.arrivals() == 1).await;
            bed.set_back_ends(2, &[&second]);
        })
        .await;
        assert!(answered.is_complete, "{answered:?}");
        assert_eq!((second.arrivals(), second.connections.get()), (1, 1));
        smol::Timer::after(KEEP_ALIVE_EXPIRY).await;
        assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 200);
        assert_eq!(second.connections.get(), 2);
    });
}

/// Idle time after which a connection with a keep-alive time-out of one second is not reused.
const KEEP_ALIVE_EXPIRY: Duration = Duration::from_millis(1_000);

/// Guards against placements that the metrics miss.
#[test]
fn placements_are_counted_by_rank() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![answer("")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&Request::new("/safe/x")).await;
        let mut stream = TcpStream::connect(bed.settings.operations).await.expect("listens");
        let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.expect("sent");
        let mut metrics = String::new();
        stream.read_to_string(&mut metrics).await.expect("answered");
        assert!(metrics.contains("mastbay_router_placements_total{rank=\"none\"} 1"), "{metrics}");
    });
}
