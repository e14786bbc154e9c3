//! Every caller gets the complete answer to its own request or a visible error.

use mastbay_testbed::{
    Answer, Bed, BedOptions, CallError, CallOutcome, Load, LoadOptions, Process, event_data,
    expected_answer, header, read_request, wait_until,
};
use smol::Task;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const PROMPT: &str = "Summarise the season at the Limay river for the wardens";

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions::default()).await;
        test(bed).await;
    });
}

#[test]
fn a_broken_stream_is_resumed_where_it_broke() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-after=7");
        let answer = caller.chat(PROMPT, 30, true).await.expect("a whole stream");
        assert_eq!(event_data(&answer.body), (expected_answer(PROMPT, 30), true));
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_visibly_broken() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-for-good=7");
        let result = caller.chat(PROMPT, 30, true).await;
        assert!(matches!(result, Err(CallError::Broken)), "{result:?}");
    });
}

#[test]
fn an_engine_killed_during_streams_truncates_none_silently() {
    run(async |mut bed| {
        let calls: Vec<_> = (0..8)
            .map(|number| {
                let caller = bed.caller(number % 3, "office");
                smol::spawn(async move { caller.chat(PROMPT, 400, true).await })
            })
            .collect();
        let admin = bed.machines[0].gateway_admin;
        wait_until(Duration::from_secs(5), "streams run", || async {
            bed.get(admin, "/status").await["demand"][0]["running"].as_u64() >= Some(2)
        })
        .await;
        bed.engines[0].kill();
        let mut complete = 0;
        for call in calls {
            match call.await {
                Ok(answer) if answer.outcome() == "answered" => {
                    assert_eq!(event_data(&answer.body), (expected_answer(PROMPT, 400), true));
                    complete += 1;
                }
                Ok(answer) => assert_eq!(answer.outcome(), "unknown"),
                Err(CallError::Broken) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert!(complete >= 4, "complete streams of the other engine: {complete}");
    });
}

#[test]
fn an_answer_to_another_request_is_not_relayed() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "crossed");
        let answer = caller.post("/permits/new", "trout").await.expect("an answer");
        assert_eq!((answer.outcome(), answer.code().as_str()), ("unknown", "answer_mismatch"));
    });
}

#[test]
fn a_truncated_answer_is_not_relayed() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-answer");
        let answer = caller.post("/permits/new", "trout").await.expect("an answer");
        assert_eq!((answer.outcome(), answer.code().as_str()), ("unknown", "backend_failed"));
        assert_eq!(bed.runs(0).of_request(answer.header("mastbay-request-id")), 1);
        // The broken connection must not be reused.
        for _ in 0..5 {
            let next = bed.caller(0, "office").post("/permits/new", "salmon").await;
            assert_eq!(next.expect("an answer").outcome(), "answered");
        }
    });
}

/// A back end in place of one that was killed, which ends each answer after some bytes of it.
struct CuttingBackEnd {
    /// Bytes of an answer that are sent.
    sent: Arc<AtomicUsize>,
    _serving: Task<()>,
}

impl CuttingBackEnd {
    async fn start(address: SocketAddr) -> Self {
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => smol::Timer::after(Duration::from_millis(10)).await,
            };
        };
        let sent = Arc::<AtomicUsize>::default();
        let cut = sent.clone();
        let serving = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(Self::answer(stream, cut.clone())).detach();
            }
        });
        Self { sent, _serving: serving }
    }

    /// The whole answer to a request; its body is as long as its head says.
    fn whole_answer(id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nmastbay-request-id: {id}\r\ncontent-type: text/plain\r\n\
             content-length: 6\r\n\r\nissued"
        )
    }

    async fn answer(mut stream: TcpStream, sent: Arc<AtomicUsize>) {
        let Some(head) = read_request(&mut stream).await else { return };
        let id = header(&head, "mastbay-request-id").unwrap_or_default();
        let answer = Self::whole_answer(&id);
        let sent = sent.load(Ordering::Relaxed).min(answer.len());
        // The gateway may have closed the connection.
        let _ = stream.write_all(&answer.as_bytes()[..sent]).await;
    }
}

/// Guards against an answer whose head or body stops midway and that reaches its caller as a whole one
/// with an empty or short body.
#[test]
fn an_answer_cut_at_any_place_is_not_relayed() {
    const ID_LENGTH: usize = 32;
    const STRIDE: usize = 9;
    run(async |mut bed| {
        let mut cutting = Vec::new();
        for (application, address) in bed.applications.iter_mut().zip(&bed.application_addresses) {
            application.kill();
            cutting.push(CuttingBackEnd::start(*address).await);
        }
        let whole = CuttingBackEnd::whole_answer(&"0".repeat(ID_LENGTH)).len();
        for sent in (1..whole).step_by(STRIDE).chain([whole - 1]) {
            cutting.iter().for_each(|back_end| back_end.sent.store(sent, Ordering::Relaxed));
            let answer = bed.caller(0, "office").post("/permits/new", "trout").await;
            let answer = answer.expect("an answer");
            assert!(!answer.status.is_success(), "{sent} of {whole} bytes: {answer:?}");
        }
        cutting.iter().for_each(|back_end| back_end.sent.store(whole, Ordering::Relaxed));
        wait_until(Duration::from_secs(20), "a whole answer is relayed", || async {
            let answer = bed.caller(0, "office").post("/permits/new", "trout").await;
            answer.is_ok_and(|answer| answer.status.is_success() && *answer.body == *b"issued")
        })
        .await;
    });
}

/// Starts long streams through the first gateway until they take all slots of the engines.
async fn take_all_slots(bed: &Bed) -> Vec<Task<Result<Answer, CallError>>> {
    let callers = (0..8).map(|_| {
        let caller = bed.caller(0, "summaries");
        smol::spawn(async move { caller.chat(PROMPT, 100_000, true).await })
    });
    let callers = callers.collect();
    wait_for_running(bed, 8, "all slots are taken").await;
    callers
}

/// Waits until as many requests run at the first gateway.
async fn wait_for_running(bed: &Bed, count: u64, what: &str) {
    let admin = bed.machines[0].gateway_admin;
    wait_until(Duration::from_secs(5), what, || async {
        bed.get(admin, "/status").await["demand"][0]["running"] == count
    })
    .await;
}

#[test]
fn a_caller_that_disconnects_frees_its_slot() {
    run(async |bed| {
        let callers = take_all_slots(&bed).await;
        // Dropping the tasks closes their connections.
        drop(callers);
        let answer = bed.caller(1, "office").chat(PROMPT, 5, true).await.expect("an answer");
        assert_eq!(event_data(&answer.body), (expected_answer(PROMPT, 5), true));
        wait_for_running(&bed, 0, "all slots are free").await;
    });
}

/// Guards against streams that keep their slots until their deadlines because their engine is silent
/// when their callers disconnect.
#[test]
fn a_caller_that_disconnects_from_a_silent_engine_frees_its_slot() {
    run(async |bed| {
        let callers = take_all_slots(&bed).await;
        bed.engines.iter().for_each(Process::freeze);
        // Dropping the tasks closes their connections.
        drop(callers);
        wait_for_running(&bed, 0, "all slots are free").await;
        bed.engines.iter().for_each(Process::wake);
    });
}

#[test]
fn many_callers_each_get_their_own_answer() {
    run(async |bed| {
        let load = Load::start(&LoadOptions {
            gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
            callers: vec![("office".to_owned(), 10), ("summaries".to_owned(), 30)],
            tokens: Some(12),
            path: String::new(),
            pause: Duration::ZERO,
        });
        wait_until(Duration::from_secs(30), "300 calls", || async { load.done() >= 300 }).await;
        let observed = load.stop().await;
        let other = observed.iter().find(|call| call.outcome != CallOutcome::Answered);
        assert!(other.is_none(), "{other:?}");
    });
}
