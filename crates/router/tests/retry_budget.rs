//! The retry budget as back ends see it: in any window, the arrivals of requests beyond the first
//! of each, over all routers, are at most a fraction of the requests plus a burst.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::{BackEnd, BackEndList, BudgetLimits};
use smol::net::TcpListener;
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::suspendable::{Arrival, SuspendableBackEnd};
use support::{
    Bed, Request, ScriptedBackEnd, answer, call_at, join_all, run, start_routers, until,
};

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

/// Size of the receive buffer of a back end, in bytes.
const RECEIVE_BUFFER: usize = 2_048;
/// Length of a body that exceeds it, in bytes.
const BODY_LENGTH: usize = 9_900;

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
        let beds = start_routers(runtime, ROUTERS, &list).await;
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

/// A listener whose connections buffer a few kilobytes that are not read, less than a request.
fn listen_with_small_buffers() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_nonblocking(true).expect("set");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("set");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("listens");
    let listener: std::net::TcpListener = socket.into();
    TcpListener::from(smol::Async::new_nonblocking(listener).expect("registered"))
}

/// Guards against the kernel delivering the rest of a request that the router has left.
#[test]
fn what_is_unsent_of_a_request_that_was_left_is_not_delivered_later() {
    run(async |runtime| {
        let arrivals: Rc<RefCell<Vec<Arrival>>> = Rc::default();
        let listener = listen_with_small_buffers();
        let suspended =
            SuspendableBackEnd::start_at(runtime, "b0".to_owned(), listener, arrivals.clone());
        suspended.is_suspended.set(true);
        let free = ScriptedBackEnd::start(runtime, "b1", vec![answer("done")]).await;
        let bed = Bed::start(runtime, &[]).await;
        let list = |revision: u64, back_ends: Vec<BackEnd>| {
            let list = BackEndList { revision: revision.into(), back_ends };
            bed.router.offer_back_ends(list, Origin::Source);
        };
        let listed = support::listed(&suspended.name, suspended.address, "plain");
        list(2, vec![listed.clone()]);
        let request = Request::new("/safe/x").body(&"x".repeat(BODY_LENGTH));
        let callers = bed.settings.callers;
        let call = runtime.spawn(async move { call_at(callers, &request).await });
        until(async || suspended.connections.get() == 1).await;
        list(3, vec![listed, free.listed("plain")]);
        let answer = call.await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
        suspended.is_suspended.set(false);
        smol::Timer::after(SETTLE_TIME).await;
        let arrivals = arrivals.borrow();
        assert!(arrivals.is_empty(), "read later: {arrivals:?}");
    });
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

/// Guards against retries that stay charged although their back ends have gone on long ago.
#[test]
fn retries_are_available_again_after_suspended_back_ends_have_answered_others() {
    run(async |runtime| {
        let fleet = Fleet::start(runtime).await;
        fleet.suspended_half().for_each(|back_end| back_end.is_suspended.set(true));
        let resume = async {
            smol::Timer::after(Duration::from_secs(2)).await;
            fleet.suspended_half().for_each(|back_end| back_end.is_suspended.set(false));
        };
        smol::future::zip(fleet.call_at_once(), resume).await;
        let before = fleet.repeats().len();
        smol::Timer::after(SETTLE_TIME).await;
        fleet.call_at_once().await;
        smol::Timer::after(BudgetLimits::default().window + SETTLE_TIME).await;
        fleet.other_half().for_each(|back_end| back_end.breaks_connections.set(true));
        fleet.call_at_once().await;
        smol::Timer::after(SETTLE_TIME).await;
        let after = fleet.repeats().len() - before;
        println!("{before} repeats at first, {after} later");
        assert!(after >= before / 2, "{before} repeats at first, {after} later");
    });
}

/// Guards against a budget so strict that nothing is sent again while it is unused.
#[test]
fn requests_are_served_while_no_back_end_is_suspended() {
    play(Duration::ZERO);
}

/// Time between two bouts of requests, less than a window of the budget and more than half of one.
const BOUT_INTERVAL: Duration = Duration::from_secs(6);
/// Interval at which windows begin for the check of each.
const WINDOW_STEP: Duration = Duration::from_millis(50);

/// Returns by how many the repeats exceed what is allowed in the worst window: a fraction of the
/// requests of the window itself, of the one before or of the one that begins half a window earlier,
/// plus a burst.
fn worst_excess(requests: &[Instant], repeats: &[Instant], limits: BudgetLimits) -> f64 {
    let (Some(first), Some(last)) = (requests.iter().min(), repeats.iter().max()) else {
        return 0.0;
    };
    // Moments before the first request count as negative.
    let seconds = |at: &Instant| at.duration_since(*first).as_secs_f64();
    let window = limits.window.as_secs_f64();
    let count = |times: &[Instant], from: f64| {
        times.iter().filter(|at| (from..=from + window).contains(&seconds(at))).count()
    };
    let excess = |from: f64| {
        let of_requests = [0.0, window / 2.0, window].map(|back| count(requests, from - back));
        let most = of_requests.into_iter().max().unwrap_or_default();
        count(repeats, from) as f64 - (limits.ratio * most as f64 + limits.burst)
    };
    let steps = ((seconds(last) + window) / WINDOW_STEP.as_secs_f64()) as usize;
    let starts = (0..=steps).map(|step| step as f64 * WINDOW_STEP.as_secs_f64() - window);
    starts.map(excess).fold(f64::MIN, f64::max)
}

/// Guards against retries that two bouts allow together, although no window holds both.
#[test]
fn retries_in_the_second_of_two_bouts_stay_within_the_budget_of_each_window() {
    run(async |runtime| {
        let fleet = Fleet::start(runtime).await;
        let first = Instant::now();
        fleet.call_at_once().await;
        smol::Timer::at(first + BOUT_INTERVAL).await;
        let second = Instant::now();
        fleet.back_ends.iter().for_each(|back_end| back_end.breaks_connections.set(true));
        fleet.call_at_once().await;
        smol::Timer::after(SETTLE_TIME).await;
        let requests = [vec![first; REQUESTS], vec![second; REQUESTS]].concat();
        let repeats = fleet.repeats();
        let excess = worst_excess(&requests, &repeats, BudgetLimits::default());
        println!("{} repeats, {excess:.1} over the budget of a window", repeats.len());
        assert!(!repeats.is_empty(), "nothing was sent again");
        assert!(excess <= 0.0, "{excess:.1} of {} repeats too many", repeats.len());
    });
}
