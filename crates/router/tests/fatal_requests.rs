//! A request that ends each engine that runs it, sent again and again to any router of a fleet.
//! Routers must bound its runs together, quarantine it and go on serving the other requests.

mod support;

use mastbay_router::Runtime;
use mastbay_routing::{BackEnd, BackEndList};
use mastbay_testbed::{Behaviour, EndingBackEnds, FATAL, THRICE};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use support::{Answer, Bed, Request, STREAM_HEAD, ScriptedBackEnd, Step, join_all, run, until};

/// Runs allowed in the whole fleet: three until the request is quarantined, and three more.
const MAX_RUNS: u32 = 6;
/// Time between two arrivals of the request.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(60);
const BEHAVIOUR: Behaviour = Behaviour::new("mastbay-request-id", Duration::from_millis(400));

/// Entries of the back ends in a list of the source.
fn listed(back_ends: &EndingBackEnds) -> Vec<BackEnd> {
    let addresses = back_ends.addresses.iter().enumerate();
    addresses
        .map(|(number, address)| support::listed(&format!("b{number}"), *address, "plain"))
        .collect()
}

async fn start_routers(runtime: Runtime, count: usize, back_ends: &EndingBackEnds) -> Vec<Bed> {
    let list = BackEndList { revision: 2.into(), back_ends: listed(back_ends) };
    support::start_routers(runtime, count, &list).await
}

/// The fatal request with a new id, otherwise the same each time.
fn fatal_request(prefix: &str) -> Request {
    Request::new(&format!("/{prefix}/{FATAL}")).body("the same each time")
}

/// Sends the fatal request to the routers in round-robin order.
async fn call_in_turn(beds: &[Bed], prefix: &str, arrivals: usize) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..arrivals {
        answers.push(beds[number % beds.len()].call(&fatal_request(prefix)).await);
        smol::Timer::after(ARRIVAL_INTERVAL).await;
    }
    answers
}

#[test]
fn a_fatal_request_runs_at_most_six_times() {
    for prefix in ["resumable", "stream", "safe", "unsafe"] {
        run(async |runtime| {
            let back_ends = EndingBackEnds::start(8, BEHAVIOUR);
            let beds = start_routers(runtime, 1, &back_ends).await;
            let answers = call_in_turn(&beds, prefix, 20).await;
            let runs = back_ends.fatal_runs();
            assert!(runs <= MAX_RUNS, "{prefix}: {runs} runs");
            let last = answers.last().expect("at least one");
            assert_eq!(last.header("mastbay-outcome").as_deref(), Some("not-run"), "{last:?}");
            assert!(last.header("retry-after").is_some(), "{last:?}");
        });
    }
}

#[test]
fn routers_together_run_a_fatal_request_at_most_six_times() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(12, BEHAVIOUR);
        let beds = start_routers(runtime, 4, &back_ends).await;
        let answers = call_in_turn(&beds, "unsafe", 24).await;
        let runs = back_ends.fatal_runs();
        assert!(runs <= MAX_RUNS, "{runs} runs");
        let is_rejected = |answer: &Answer| answer.status == 503;
        assert!(answers[12..].iter().all(is_rejected), "{:?}", &answers[12..]);
    });
}

/// Sends other requests than the fatal one. Each is distinct, runs for 30 ms and may be sent twice.
async fn call_bystanders(bed: &Bed, callers: usize, calls: usize) -> Vec<Answer> {
    let answers: RefCell<Vec<Answer>> = RefCell::default();
    let all = (0..callers).map(|caller| {
        let answers = &answers;
        async move {
            for number in 0..calls {
                let request = Request::new(&format!("/safe/{caller}/{number}"));
                let answer = bed.call(&request).await;
                answers.borrow_mut().push(answer);
            }
        }
    });
    join_all(all).await;
    answers.into_inner()
}

/// Each end of a back end breaks the requests beside the fatal one and removes its slots for a
/// while, so without a quarantine bystanders fail.
#[test]
fn bystanders_of_a_fatal_request_are_served() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(8, BEHAVIOUR);
        let beds = start_routers(runtime, 1, &back_ends).await;
        let fatal = call_in_turn(&beds, "unsafe", 40);
        let (_, answers) = smol::future::zip(fatal, call_bystanders(&beds[0], 12, 60)).await;
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        println!("{served} of {} bystanders served", answers.len());
        assert!(served * 100 >= answers.len() * 98, "{served} of {}", answers.len());
        let rejected = answers.iter().filter(|answer| answer.status == 503).count();
        assert_eq!(rejected, 0, "taken for the fatal request");
    });
}

/// Connections that break while the back end keeps running are not evidence against a request.
#[test]
fn a_request_whose_answers_break_off_is_not_quarantined() {
    for broken in [vec![Step::Close], vec![Step::Write(STREAM_HEAD.to_owned()), Step::Close]] {
        run(async |runtime| {
            let first = ScriptedBackEnd::start(runtime, "b1", vec![broken.clone()]).await;
            let second = ScriptedBackEnd::start(runtime, "b2", vec![broken.clone()]).await;
            let bed = Bed::start(runtime, &[&first, &second]).await;
            let answers = call_in_turn(std::slice::from_ref(&bed), "unsafe", 12).await;
            assert!(answers.iter().all(|answer| answer.status == 502), "{answers:?}");
            assert_eq!(first.arrivals() + second.arrivals(), 12);
        });
    }
}

/// A new router must learn of a quarantine from its peers before it sends the request itself.
#[test]
fn a_router_that_starts_later_learns_of_the_quarantine() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(8, BEHAVIOUR);
        let earlier = start_routers(runtime, 2, &back_ends).await;
        call_in_turn(&earlier, "unsafe", 12).await;
        let runs = back_ends.fatal_runs();
        let later = start_routers(runtime, 1, &back_ends).await;
        later[0].announce_peer(earlier[0].settings.digests, earlier[0].settings.operations);
        earlier[0].announce_peer(later[0].settings.digests, later[0].settings.operations);
        // The quarantine arrives with the first round of messages of the peer.
        until(async || later[0].router.has_quarantined_any()).await;
        let answers = call_in_turn(&later, "unsafe", 3).await;
        assert!(answers.iter().all(|answer| answer.status == 503), "{answers:?}");
        assert_eq!(back_ends.fatal_runs(), runs);
    });
}

/// An innocent request that was under way whenever another one ended its back end is quarantined
/// too. A probe that a back end survives must release it.
#[test]
fn a_quarantined_request_that_back_ends_sustain_is_served_again() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(6, BEHAVIOUR);
        let beds = start_routers(runtime, 3, &back_ends).await;
        until(async || beds.iter().all(|bed| bed.router.fleet_size() == 3)).await;
        let innocent = || Request::new(&format!("/unsafe/{FATAL}-{THRICE}"));
        until(async || {
            smol::Timer::after(ARRIVAL_INTERVAL).await;
            beds[0].call(&innocent()).await.status == 503
        })
        .await;
        assert_eq!(back_ends.fatal_runs(), 3);
        for bed in &beds {
            until(async || bed.call(&innocent()).await.status == 200).await;
        }
    });
}

/// The probe that would release an innocent request costs one more run of a fatal one.
#[test]
fn a_quarantined_request_is_probed_once() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(12, BEHAVIOUR);
        let beds = start_routers(runtime, 4, &back_ends).await;
        call_in_turn(&beds, "unsafe", 150).await;
        let runs = back_ends.fatal_runs();
        println!("{runs} runs");
        assert!(runs <= MAX_RUNS, "{runs} runs");
    });
}

/// Guards against refusing a popular request for minutes because copies of it were in flight at all
/// back ends that a burst of another one ended.
#[test]
fn a_popular_request_beside_a_burst_of_fatal_ones_is_served_again() {
    run(async |runtime| {
        let back_ends = EndingBackEnds::start(8, BEHAVIOUR);
        let beds = start_routers(runtime, 3, &back_ends).await;
        until(async || beds.iter().all(|bed| bed.router.fleet_size() == 3)).await;
        let popular = || Request::new("/safe/popular");
        let was_refused = Cell::new(false);
        let callers = (0..30).map(|number: usize| {
            let (bed, was_refused) = (&beds[number % beds.len()], &was_refused);
            async move {
                until(async || {
                    let answer = bed.call(&popular()).await;
                    was_refused.set(was_refused.get() || answer.status == 503);
                    was_refused.get()
                })
                .await;
            }
        });
        let burst = (0..6).map(|number: usize| {
            let bed = &beds[number % beds.len()];
            async move {
                bed.call(&fatal_request("safe")).await;
            }
        });
        smol::future::zip(join_all(callers), join_all(burst)).await;
        for bed in &beds {
            until(async || bed.call(&popular()).await.status == 200).await;
        }
        let runs = back_ends.fatal_runs();
        println!("{runs} fatal runs");
    });
}
