//! Limits and common turns of a router's one thread.

use mastbay_router::Runtime;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

#[test]
fn a_limit_that_is_added_later_and_ends_earlier_ends_first() {
    let runtime = Runtime::leaked();
    let ended = Rc::new(RefCell::new(Vec::new()));
    let sleeper = |millis: u64| {
        let ended = ended.clone();
        async move {
            runtime.sleep(Duration::from_millis(millis)).await;
            ended.borrow_mut().push(millis);
        }
    };
    let (long, short) = (sleeper(400), sleeper(40));
    smol::block_on(runtime.run(async {
        let long = runtime.spawn(long);
        // The long one is in the list, and the next turn is planned for its end, before the short one is added.
        smol::future::yield_now().await;
        runtime.spawn(short).await;
        long.await;
    }));
    assert_eq!(*ended.borrow(), [40, 400]);
}

#[test]
fn work_that_repeats_ends_its_sleeps_on_common_turns() {
    let runtime = Runtime::leaked();
    for span in [1_u64, 20, 29, 80, 100, 500].map(Duration::from_millis) {
        let wait = runtime.until_aligned_tick(span);
        assert!(wait <= span + Duration::from_millis(20), "{wait:?} for {span:?}");
    }
    let (one, other) = (Duration::from_millis(80), Duration::from_millis(180));
    let apart = runtime.until_aligned_tick(other).saturating_sub(runtime.until_aligned_tick(one));
    // The clock goes on between the two questions.
    let turns = apart.as_secs_f64() / 0.02;
    assert!(turns < 5.01, "{apart:?}");
}
