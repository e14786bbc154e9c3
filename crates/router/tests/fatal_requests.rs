//! A request ended each engine that began to run it, and came again by the same path, caller and body at any of seven routers.
//! No router remembered it from one arrival to the next or told the others, so each arrival was placed like a new one: after
//! three engines had ended under it, it was sent to engines eight times more, and 23 of them ended within 12 seconds. Each time
//! the 20 to 40 requests beside it at that engine broke too. Within one arrival it was taken up again at a further engine
//! 8 ms after the first had ended under it:
//!
//!     49.873 s  the engine ends; 49.876 s  event=try_failed fault=Broken reason=lost running=24 (and five more routers)
//!     50.399 s  event=stream_resumed reason=broke_off last_event=0 found=true
//!     50.507 s  event=request_ended outcome=broken_off reason=broke_off events=0 took_ms=841 prompt_tokens=5960 sends=4
//!
//! Seven such ends at five routers, all with events=0 and the same prompt, and no request that ended for want of retries, settled
//! that it was the first send of each arrival that counted most, and that bounding retries alone would have mended nothing.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::BackEndList;
use std::time::Duration;
use support::ending::{EndingBackEnds, FATAL};
use support::{Answer, Bed, Request, run};

/// Sends that are allowed over the whole fleet: three until it is known what the request does, and three more.
const MOST_RUNS: u32 = 6;
/// Time between two arrivals.
const PAUSE: Duration = Duration::from_millis(60);
/// Time for which a back end is down after it ended.
const DOWN_FOR: Duration = Duration::from_millis(400);

async fn start_routers(runtime: Runtime, count: usize, back_ends: &EndingBackEnds) -> Vec<Bed> {
    let mut beds: Vec<Bed> = Vec::new();
    for _ in 0..count {
        let bed = Bed::start(runtime, &[]).await;
        let list = BackEndList { revision: 2, back_ends: back_ends.listed() };
        bed.router.offer_back_ends(list, Origin::Source);
        beds.push(bed);
    }
    for bed in &beds {
        for other in beds.iter().filter(|other| other.settings.digests != bed.settings.digests) {
            bed.introduce(other.settings.digests, other.settings.operations);
        }
    }
    beds
}

/// The same request at its next coming: only its id is another.
fn fatal_request(prefix: &str) -> Request {
    Request::new(&format!("/{prefix}/{FATAL}")).body("the same each time")
}

/// Sends the request to the routers in turn.
async fn call_in_turn(beds: &[Bed], prefix: &str, arrivals: usize) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..arrivals {
        answers.push(beds[number % beds.len()].call(&fatal_request(prefix)).await);
        smol::Timer::after(PAUSE).await;
    }
    answers
}

#[test]
fn a_request_that_ends_back_ends_runs_six_times_at_most() {
    for prefix in ["resumable", "stream", "safe", "unsafe"] {
        run(async |runtime| {
            let back_ends = EndingBackEnds::start(runtime, 8, DOWN_FOR).await;
            let beds = start_routers(runtime, 1, &back_ends).await;
            let answers = call_in_turn(&beds, prefix, 20).await;
            let runs = back_ends.fatal_runs.get();
            assert!(runs <= MOST_RUNS, "{prefix}: {runs} runs");
            let last = answers.last().expect("one at least");
            assert_eq!(last.header("mastbay-outcome").as_deref(), Some("not-run"), "{last:?}");
            assert!(last.header("retry-after").is_some(), "{last:?}");
        });
    }
}

#[test]
fn routers_together_run_a_request_that_ends_back_ends_six_times_at_most() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(runtime, 12, DOWN_FOR).await;
        let beds = start_routers(runtime, 4, &back_ends).await;
        let answers = call_in_turn(&beds, "unsafe", 24).await;
        let runs = back_ends.fatal_runs.get();
        assert!(runs <= MOST_RUNS, "{runs} runs");
        let is_told = |answer: &Answer| answer.status == 503;
        assert!(answers[12..].iter().all(is_told), "{:?}", &answers[12..]);
    });
}
