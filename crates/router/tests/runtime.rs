//! Timers and aligned ticks of the runtime.

use mastbay_router::Runtime;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::io::Write;
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

/// Guards against blaming a peer for a time-out when this process was the one that was late: what
/// arrived meanwhile counts.
#[test]
fn what_arrived_before_a_late_timer_fires_is_not_timed_out() {
    let runtime = Runtime::leaked();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted");
        std::thread::sleep(Duration::from_millis(50));
        stream.write_all(b"x").expect("sent");
    });
    let read = smol::block_on(runtime.run(async {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let mut byte = [0];
        let has_begun = Rc::new(Cell::new(false));
        let begun = has_begun.clone();
        let read = runtime.spawn(async move {
            begun.set(true);
            let read = stream.read_exact(&mut byte);
            runtime.within(Duration::from_millis(200), read).await
        });
        while !has_begun.get() {
            smol::future::yield_now().await;
        }
        // Blocks the event loop beyond the time-out.
        std::thread::sleep(Duration::from_millis(400));
        read.await
    }));
    peer.join().expect("ended");
    assert!(matches!(read, Ok(Ok(()))), "{read:?}");
}
