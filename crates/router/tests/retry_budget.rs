//! The retry budget as back ends see it: in any window, the arrivals of requests beyond the first
//! of each, over all routers, are at most a fraction of the requests plus a burst.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::{BackEndList, BudgetLimits};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::suspendable::{Arrival, SuspendableBackEnd};
use support::{Bed, Request, announce_each_other, join_all, run, until};

/// Number of routers.
const ROUTERS: usize = 3;
/// Number of back ends, half of which are suspended.
const BACK_ENDS: usize = 8;
/// Requests that arrive at once.
const REQUESTS: usize = 150;
/// Time from the first requests to the second ones, longer than the window of the budget.
const SECOND_ARRIVAL: Duration = Duration::from_secs(12);
/// Time after the last answer in which further requests may be read.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A fleet of routers before back ends that record arrivals.
struct Fleet {
    beds: Vec<Bed>,
    back_ends: Vec<SuspendableBackEnd>,
    arrivals: Rc<RefCell<Vec<Arrival>>>,
}

impl Fleet {
    async fn start(runtime: Runtime) -> Self {
        let arrivals: Rc<RefCell<Vec<Arrival>>> = Rc::default();
        let mut back_ends = Vec::new();
        for number in 0..BACK_ENDS {
            let name = format!("b{number}");
            back_ends.push(SuspendableBackEnd::start(runtime, name, arrivals.clone()).await);
        }
        let listed = back_ends.iter().map(|one| support::listed(&one.name, one.address, "plain"));
        let list = BackEndList { revision: 2.into(), back_ends: listed.collect() };
        let mut beds: Vec<Bed> = Vec::new();
        for _ in 0..ROUTERS {
            let bed = Bed::start(runtime, &[]).await;
            bed.router.offer_back_ends(list.clone(), Origin::Source);
            beds.push(bed);
        }
        announce_each_other(&beds);
        until(async || beds.iter().all(|bed| bed.router.fleet_size() == ROUTERS)).await;
        Self { beds, back_ends, arrivals }
    }

    /// Sends requests to all routers at once. Returns how many were served.
    async fn call_at_once(&self) -> usize {
        let served = RefCell::new(0);
        let call = async |number: usize| {
            let answer = self.beds[number % ROUTERS].call(&Request::new("/safe/x")).await;
            *served.borrow_mut() += usize::from(answer.status == 200);
        };
        join_all((0..REQUESTS).map(call)).await;
        served.into_inner()
    }

    fn suspended_half(&self) -> impl Iterator<Item = &SuspendableBackEnd> {
        self.back_ends.iter().take(BACK_ENDS / 2)
    }

    fn other_half(&self) -> impl Iterator<Item = &SuspendableBackEnd> {
        self.back_ends.iter().skip(BACK_ENDS / 2)
    }

    /// Returns when requests arrived that had arrived before.
    fn repeats(&self) -> Vec<Instant> {
        let mut seen = BTreeSet::new();
        let arrivals = self.arrivals.borrow();
        let repeats = arrivals.iter().filter(|arrival| !seen.insert(arrival.id.clone()));
        repeats.map(|arrival| arrival.at).collect()
    }
}

/// Returns the largest number of repeats in a window that begins with one of them.
fn max_in_window(repeats: &[Instant], window: Duration) -> usize {
    let in_window = |start: Instant| {
        repeats.iter().filter(|at| **at >= start && at.duration_since(start) <= window).count()
    };
    repeats.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

/// Suspends half of the back ends for `span` while requests arrive, then lets the others break
/// connections while further requests arrive.
fn play(span: Duration) {
    run(async |runtime| {
        let fleet = Fleet::start(runtime).await;
        let began = Instant::now();
        fleet.suspended_half().for_each(|back_end| back_end.is_suspended.set(true));
        let resume = async {
            smol::Timer::at(began + span).await;
            fleet.suspended_half().for_each(|back_end| back_end.is_suspended.set(false));
        };
        let (first, ()) = smol::future::zip(fleet.call_at_once(), resume).await;
        smol::Timer::at(began + SECOND_ARRIVAL).await;
        fleet.other_half().for_each(|back_end| back_end.breaks_connections.set(true));
        let second = fleet.call_at_once().await;
        smol::Timer::after(SETTLE_TIME).await;
        let limits = BudgetLimits::default();
        let repeats = fleet.repeats();
        let most = max_in_window(&repeats, limits.window);
        let total = repeats.len();
        println!("served {first} and {second} of {REQUESTS}; {total} repeats, {most} in a window");
        let allowed = limits.ratio * REQUESTS as f64 + limits.burst;
        assert!(most as f64 <= allowed, "{most} repeats in a window, {allowed} allowed");
    });
}

/// Guards against a retry whose charge has expired when the suspended back end reads the request.
#[test]
fn retries_that_arrive_after_a_suspension_stay_within_the_budget() {
    play(Duration::from_secs(4));
}

/// Guards against the same where requests are read shortly before further ones fail.
#[test]
fn retries_that_arrive_after_a_long_suspension_stay_within_the_budget() {
    play(Duration::from_secs(7));
}

/// Guards against a budget so strict that nothing is sent again while it is unused.
#[test]
fn requests_are_served_while_no_back_end_is_suspended() {
    play(Duration::ZERO);
}
