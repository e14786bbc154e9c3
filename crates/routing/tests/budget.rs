//! The retry budget of the fleet, divided among any number of routers without coordination.

use mastbay_routing::{BudgetLimits, RetryBudget};
use mastbay_types::{Timestamp, stable_hash};
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 54.0 };

/// Returns a random number of a router in [0, 1), independent of those of the others.
fn draw(index: usize) -> f64 {
    stable_hash(&[&index.to_be_bytes()]) as f64 / (u64::MAX as f64 + 1.0)
}

/// Simulates routers that receive a request every 10 ms in turn and retry whenever they may.
/// Returns the largest number of retries in a window and the number of requests in that window.
fn max_retries(routers: usize, seconds: u64, skew: usize) -> (usize, usize) {
    let mut budgets: Vec<RetryBudget> =
        (0..routers).map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index))).collect();
    let mut retries: Vec<u64> = Vec::new();
    for step in 0..seconds * 100 {
        let now = Timestamp::from_millis(step * 10);
        let target = (step as usize / skew.max(1)) % routers;
        budgets[target].on_request(now);
        for budget in &mut budgets {
            while budget.take(now, Some(routers)) {
                budget.settle(now, 1);
                retries.push(step);
            }
        }
    }
    let in_window =
        |start: u64| retries.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
    let max_in_window = retries.iter().map(|start| in_window(*start)).max().unwrap_or(0);
    (max_in_window, 1_000)
}

#[test]
fn a_fleet_that_retries_whenever_it_may_stays_within_the_budget() {
    for routers in [1, 3, 7, 60, 985] {
        let (max_in_window, requests) = max_retries(routers, 40, 1);
        let allowed = LIMITS.ratio * requests as f64 + LIMITS.burst;
        assert!(
            max_in_window as f64 <= allowed,
            "{routers} routers: {max_in_window} retries, {allowed} allowed"
        );
        assert!(max_in_window > 0);
    }
}

/// Guards against a burst that is never used because the share of each router is below one.
#[test]
fn burst_shares_below_one_are_used_in_fleets_of_any_size() {
    for routers in [60, 985, 2_000] {
        let mut budgets: Vec<RetryBudget> = (0..routers)
            .map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index)))
            .collect();
        let now = Timestamp::from_millis(10);
        let used = budgets
            .iter_mut()
            .filter_map(|budget| budget.take(now, Some(routers)).then_some(()))
            .count();
        let (used, burst) = (used as f64, LIMITS.burst);
        assert!(used > 0.4 * burst && used <= burst, "{used} of {burst} with {routers} routers");
    }
}

#[test]
fn a_restarted_router_has_no_burst_at_first() {
    let mut budget = RetryBudget::new(LIMITS, Timestamp::from_millis(10_000), 0.5);
    assert!(!budget.take(Timestamp::from_millis(100), Some(1)));
    assert!(budget.take(Timestamp::from_millis(10_100), Some(1)));
}

/// Guards against a charge that expires while its request may still arrive.
#[test]
fn a_retry_that_may_still_arrive_stays_charged() {
    let seconds = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
    let mut budget = RetryBudget::new(LIMITS, Timestamp::ZERO, 0.5);
    while budget.take(seconds(0), Some(1)) {}
    assert_eq!(budget.remaining(seconds(100), Some(1)), 0);
    budget.settle(seconds(100), 5);
    assert_eq!(budget.remaining(seconds(110), Some(1)), 0);
    assert_eq!(budget.remaining(seconds(111), Some(1)), 5);
}

/// Guards against charging retries that were never sent.
#[test]
fn a_retry_that_is_returned_can_be_taken_again() {
    let now = Timestamp::from_millis(10);
    let mut budget = RetryBudget::new(LIMITS, Timestamp::ZERO, 0.5);
    let before = budget.remaining(now, Some(1));
    assert!(budget.take(now, Some(1)));
    budget.return_one();
    assert_eq!(budget.remaining(now, Some(1)), before);
}

quickcheck! {
    fn any_skew_stays_within_the_budget(routers: u8, skew: u16) -> TestResult {
        let routers = usize::from(routers % 12) + 1;
        let (max_in_window, requests) = max_retries(routers, 12, usize::from(skew % 400));
        TestResult::from_bool(max_in_window as f64 <= LIMITS.ratio * requests as f64 + LIMITS.burst)
    }
}

/// Interval of requests and retries in the simulation of bouts, in milliseconds.
const STEP_MILLIS: u64 = 100;

/// Time after a bout in which its requests fail, in milliseconds.
const FAILING_MILLIS: u64 = 2_000;

/// A bout of requests.
#[derive(Debug, Clone, Copy)]
struct Bout {
    at_millis: u64,
    requests: usize,
    /// The router that gets all of them; `None` if they are spread evenly over all.
    router: Option<usize>,
    /// Whether its requests fail, so that routers retry whenever they may.
    fails: bool,
}

impl Bout {
    fn is_failing(&self, millis: u64) -> bool {
        self.fails && (self.at_millis..self.at_millis + FAILING_MILLIS).contains(&millis)
    }
}

/// Times of the requests and the retries of a fleet, in milliseconds and in order.
#[derive(Default)]
struct History {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl History {
    /// Simulates routers that retry whenever they may while a bout fails.
    fn of_bouts(routers: usize, bouts: &[Bout]) -> Self {
        let new = |index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index));
        let mut budgets: Vec<RetryBudget> = (0..routers).map(new).collect();
        let mut history = Self::default();
        let last = bouts.iter().map(|bout| bout.at_millis).max().unwrap_or_default();
        for millis in (0..=last + FAILING_MILLIS).step_by(STEP_MILLIS as usize) {
            let now = Timestamp::from_millis(millis);
            for bout in bouts.iter().filter(|bout| bout.at_millis == millis) {
                let target = |nth| bout.router.unwrap_or(nth) % routers;
                (0..bout.requests).for_each(|nth| budgets[target(nth)].on_request(now));
                history.requests.extend(std::iter::repeat_n(millis, bout.requests));
            }
            if bouts.iter().any(|bout| bout.is_failing(millis)) {
                for budget in &mut budgets {
                    while budget.take(now, Some(routers)) {
                        budget.settle(now, 1);
                        history.retries.push(millis);
                    }
                }
            }
        }
        history
    }

    /// Returns the retries beyond what is allowed in the window where most are, negative if fewer
    /// are used. The requests of a window are its own, those of the window before or of the one that
    /// begins half a window earlier, whichever are most.
    fn worst_excess(&self) -> f64 {
        let window = LIMITS.window.as_millis() as i64;
        let count = |times: &[u64], from: i64| {
            let is_within = |at: &&u64| (from..=from + window).contains(&(**at as i64));
            times.iter().filter(is_within).count()
        };
        let excess = |from: i64| {
            let requests = [0, window / 2, window].map(|back| count(&self.requests, from - back));
            let most = requests.into_iter().max().unwrap_or_default();
            count(&self.retries, from) as f64 - (LIMITS.ratio * most as f64 + LIMITS.burst)
        };
        let last = self.retries.last().copied().unwrap_or_default() as i64;
        (-window..=last).step_by(STEP_MILLIS as usize / 2).map(excess).fold(f64::MIN, f64::max)
    }
}

/// Guards against retries that two bouts allow together, although no window of the rule holds both.
#[test]
fn retries_after_two_bouts_stay_within_the_budget_of_each_window() {
    let bout = |at_millis, fails| Bout { at_millis, requests: 1_500, router: None, fails };
    for second in [5_500, 6_000, 8_000, 9_900] {
        let history = History::of_bouts(7, &[bout(0, false), bout(second, true)]);
        let excess = history.worst_excess();
        println!("second bout at {second} ms: {} retries, {excess:.1} over", history.retries.len());
        assert!(excess <= 0.0, "{excess:.1} retries too many with a bout at {second} ms");
    }
}

/// Returns drawn bouts. Each goes to all routers, or with `is_skewed` to one of them.
fn drawn_bouts(drawn: Vec<(u8, u16, bool, u8)>, is_skewed: bool) -> Vec<Bout> {
    let bouts = drawn.into_iter().take(6).map(|(at, requests, fails, router)| Bout {
        at_millis: u64::from(at) * STEP_MILLIS,
        requests: usize::from(requests % 2_000),
        router: is_skewed.then_some(usize::from(router)),
        fails,
    });
    bouts.collect()
}

quickcheck! {
    fn any_bouts_stay_within_the_budget_of_each_window(
        bouts: Vec<(u8, u16, bool, u8)>
    ) -> TestResult {
        let bouts = drawn_bouts(bouts, false);
        TestResult::from_bool(History::of_bouts(7, &bouts).worst_excess() <= 0.0)
    }

    fn bouts_at_single_routers_stay_within_the_budget_of_each_window(
        bouts: Vec<(u8, u16, bool, u8)>
    ) -> TestResult {
        let bouts = drawn_bouts(bouts, true);
        TestResult::from_bool(History::of_bouts(7, &bouts).worst_excess() <= 0.0)
    }
}
