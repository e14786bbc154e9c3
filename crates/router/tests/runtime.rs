//! Timers and aligned ticks of the runtime.

use mastbay_router::Runtime;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

#[test]
fn a_later_added_timer_with_an_earlier_deadline_fires_first() {
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
        // The long timer is registered, and the next wake-up set to its deadline, before the short
        // one is added.
        smol::future::yield_now().await;
        runtime.spawn(short).await;
        long.await;
    }));
    assert_eq!(*ended.borrow(), [40, 400]);
}

#[test]
fn periodic_tasks_wake_on_aligned_ticks() {
    let runtime = Runtime::leaked();
    for span in [1_u64, 20, 29, 80, 100, 500].map(Duration::from_millis) {
        let wait = runtime.until_aligned_tick(span);
        assert!(wait <= span + Duration::from_millis(20), "{wait:?} for {span:?}");
    }
    let (one, other) = (Duration::from_millis(80), Duration::from_millis(180));
    let distance =
        runtime.until_aligned_tick(other).saturating_sub(runtime.until_aligned_tick(one));
    // The clock advances between the two calls.
    let ticks = distance.as_secs_f64() / 0.02;
    assert!(ticks < 5.01, "{distance:?}");
}
