//! Invalid input at each listener is rejected with a typed answer, counted, and harms no other
//! request.

use hyper::Method;
use mastbay_testbed::{Bed, BedOptions, Caller, chat_body};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::net::SocketAddr;

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions { machines: 1, ..BedOptions::default() }).await;
        test(bed).await;
    });
}

async fn assert_still_serves(bed: &Bed) {
    let answer = bed.caller(0, "office").post("/permits/new", "x").await.expect("an answer");
    assert_eq!(answer.outcome(), "answered");
}

/// Sends raw bytes and returns the status line of the answer, empty if the connection closes first.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    // The server may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

async fn metric(bed: &Bed, admin: SocketAddr, line: &str) -> u64 {
    let _ = bed;
    let answer = Caller::new(admin, "").get("/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let found = text.lines().find_map(|metric| metric.strip_prefix(line)?.trim().parse().ok());
    found.unwrap_or(0)
}

#[test]
fn invalid_requests_are_rejected_as_not_run_with_a_stable_code() {
    run(async |bed| {
        let office = || bed.caller(0, "office");
        let chat = "/v1/chat/completions";
        let unknown_model = br#"{"model":"nothing","messages":[]}"#;
        let cases = [
            (office().with_key("wrong").post("/permits/new", "x").await, 401, "unauthorized"),
            (office().with_key("").post("/permits/new", "x").await, 401, "unauthorized"),
            (office().post("/nowhere", "x").await, 404, "unknown_service"),
            (office().post("/permitsome", "x").await, 404, "unknown_service"),
            (office().post(chat, "{ not json").await, 400, "bad_request"),
            (office().post(chat, &unknown_model[..]).await, 404, "unknown_service"),
            (office().post("/permits/new", vec![b'x'; 2 << 20]).await, 413, "body_too_large"),
            (
                office().with("mastbay-deadline-ms", "soon").post("/permits/new", "x").await,
                400,
                "bad_request",
            ),
            (
                office().with("idempotency-key", &"k".repeat(300)).post("/permits/new", "x").await,
                400,
                "bad_request",
            ),
        ];
        for (answer, status, code) in cases {
            let answer = answer.expect("an answer");
            let received = (answer.status.as_u16(), answer.outcome().to_owned(), answer.code());
            assert_eq!(received, (status, "not-run".to_owned(), code.to_owned()));
            assert!(!answer.header("retry-after").is_empty());
            assert_eq!(answer.header("mastbay-request-id").len(), 32);
        }
        let admin = bed.machines[0].gateway_admin;
        let line = "mastbay_gateway_requests_total{service=\"\",tenant=\"\",outcome=\"not-run\",\
                    code=\"unauthorized\"}";
        assert_eq!(metric(&bed, admin, line).await, 2);
        assert_still_serves(&bed).await;
        assert_eq!(bed.runs(0).total(), 1, "no rejected request ran");
    });
}

#[test]
fn malformed_and_oversized_heads_are_rejected_and_counted() {
    run(async |bed| {
        let callers = bed.machines[0].callers;
        let line = send_raw(callers, b"this is not http\r\n\r\n").await;
        assert!(line.is_empty() || line.contains("400"), "{line}");
        let huge = format!("GET /permits HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(1 << 20));
        let line = send_raw(callers, huge.as_bytes()).await;
        assert!(line.is_empty() || line.contains("431"), "{line}");
        assert_still_serves(&bed).await;
        let admin = bed.machines[0].gateway_admin;
        mastbay_testbed::wait_until(std::time::Duration::from_secs(5), "both counted", || async {
            metric(&bed, admin, "mastbay_gateway_malformed_requests_total").await == 2
        })
        .await;
    });
}

#[test]
fn a_peer_without_the_shared_secret_or_with_another_protocol_is_rejected() {
    run(async |bed| {
        let machine = &bed.machines[0];
        for (peer, admin) in [
            (machine.gateway_peer, machine.gateway_admin),
            (machine.scheduler_peer, machine.scheduler_admin),
        ] {
            let stranger = Caller::new(peer, "").with("mastbay-protocol", "1");
            let forged = stranger.with("mastbay-signature", &"00".repeat(32));
            let answer = forged.post("/messages", "x").await.expect("an answer");
            assert_eq!((answer.status.as_u16(), answer.code().as_str()), (403, "bad_signature"));
            let old = Caller::new(peer, "").with("mastbay-protocol", "0");
            let answer = old.post("/messages", "x").await.expect("an answer");
            assert_eq!((answer.status.as_u16(), answer.code().as_str()), (403, "wrong_protocol"));
            let line = "mastbay_peer_posts_refused_total{reason=\"bad_signature\"}";
            assert_eq!(metric(&bed, admin, line).await, 1);
        }
        assert_still_serves(&bed).await;
    });
}

#[test]
fn a_tenant_is_identified_by_its_key_and_not_by_a_header_of_its_caller() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("mastbay-tenant", "summaries");
        let answer = caller.post("/permits/new", "x").await.expect("an answer");
        assert_eq!(answer.json()["tenant"], "office");
    });
}

#[test]
fn tenants_do_not_share_idempotency_keys() {
    run(async |bed| {
        for tenant in ["office", "summaries"] {
            let caller = bed.caller(0, tenant).with("idempotency-key", "one");
            let answer = caller.post("/permits/new", "x").await.expect("an answer");
            assert_eq!(answer.outcome(), "answered", "{tenant}");
        }
    });
}

#[test]
fn a_flood_of_idle_connections_leaves_others_served() {
    run(async |bed| {
        let mut idle = Vec::new();
        for _ in 0..300 {
            idle.push(TcpStream::connect(bed.machines[0].callers).await.expect("connected"));
        }
        assert_still_serves(&bed).await;
        let body = chat_body("a b c", 3, true);
        let answer = bed.caller(0, "office").send(Method::POST, "/v1/chat/completions", body).await;
        assert_eq!(answer.expect("an answer").outcome(), "answered");
    });
}
