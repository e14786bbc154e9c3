//! Back ends that are slow to answer, to continue a stream or to accept a connection: a router
//! leaves them only for another back end that has capacity, unless nothing shows that they are
//! alive.

mod support;

use mastbay_router::Runtime;
use smol::Task;
use std::time::Duration;
use support::{
    Answer, Bed, Request, STREAM_END, STREAM_HEAD, ScriptedBackEnd, Step, answer, call_at, events,
    run, until,
};

/// A pause beyond the time after which a router looks for another back end.
const LONG_PAUSE: Duration = Duration::from_millis(1_600);

fn slow_answer(body: &str) -> Vec<Step> {
    let mut steps = vec![Step::Pause(LONG_PAUSE)];
    steps.extend(answer(body));
    steps
}

/// A stream that pauses after its second event.
fn slow_stream() -> Vec<Step> {
    vec![
        Step::Write(STREAM_HEAD.to_owned() + &events(1, 2)),
        Step::Pause(LONG_PAUSE),
        Step::Write(events(3, 4) + STREAM_END),
    ]
}

/// Sends a request whose answer is read by a task.
fn spawn_call(runtime: Runtime, bed: &Bed, path: &str) -> Task<Answer> {
    let (callers, request) = (bed.settings.callers, Request::new(path));
    runtime.spawn(async move { call_at(callers, &request).await })
}

/// Guards against breaking off a request at the only back end that can run it, because its answer
/// takes long to begin.
#[test]
fn a_slow_answer_is_awaited_if_no_other_back_end_can_run_the_request() {
    run(async |runtime| {
        let slow = ScriptedBackEnd::start(runtime, "b1", vec![slow_answer("done")]).await;
        let bed = Bed::start(runtime, &[&slow]).await;
        let answer = bed.call(&Request::new("/safe/x")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
        assert_eq!(slow.arrivals(), 1);
    });
}

/// Guards against waiting for a silent back end while another one has capacity.
#[test]
fn a_silent_back_end_is_left_for_one_that_has_capacity() {
    run(async |runtime| {
        let silent = ScriptedBackEnd::start(runtime, "b1", vec![vec![Step::UntilClosed]]).await;
        let bed = Bed::start(runtime, &[&silent]).await;
        let call = spawn_call(runtime, &bed, "/safe/x");
        until(async || silent.arrivals() == 1).await;
        smol::Timer::after(LONG_PAUSE).await;
        assert_eq!(silent.closed_by_router.get(), 0, "left without an alternative");
        let free = ScriptedBackEnd::start(runtime, "b2", vec![answer("done")]).await;
        bed.set_back_ends(2, &[&silent, &free]);
        let answer = call.await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
        until(async || silent.closed_by_router.get() == 1).await;
        assert_eq!((silent.arrivals(), free.arrivals()), (1, 1));
    });
}

/// Guards against breaking off requests for which the retry budget has no retry left.
#[test]
fn silent_requests_beyond_the_retry_budget_are_awaited() {
    run(async |runtime| {
        let slow = ScriptedBackEnd::start(runtime, "b1", vec![slow_answer("slow")]).await;
        let bed = Bed::start(runtime, &[&slow]).await;
        // As many as one back end takes. The budget allows fewer retries.
        let calls: Vec<_> = (0..10).map(|_| spawn_call(runtime, &bed, "/safe/x")).collect();
        until(async || slow.arrivals() == 10).await;
        let free = ScriptedBackEnd::start(runtime, "b2", vec![answer("free")]).await;
        bed.set_back_ends(2, &[&slow, &free]);
        let mut moved = 0;
        for call in calls {
            let answer = call.await;
            assert_eq!(answer.status, 200, "{answer:?}");
            moved += usize::from(answer.body == "free");
        }
        assert!((1..10).contains(&moved), "{moved} left the slow back end");
        assert_eq!(free.arrivals(), moved);
    });
}

/// Guards against using up the retry budget by retries that were never sent.
#[test]
fn a_retry_that_could_not_be_sent_is_not_used_up() {
    run(async |runtime| {
        let slow = ScriptedBackEnd::start(runtime, "b1", vec![slow_answer("slow")]).await;
        let bed = Bed::start(runtime, &[&slow]).await;
        let calls: Vec<_> = (0..10).map(|_| spawn_call(runtime, &bed, "/safe/x")).collect();
        until(async || slow.arrivals() == 10).await;
        let refusing = ScriptedBackEnd::start_refusing("b2").await;
        let free = ScriptedBackEnd::start(runtime, "b3", vec![answer("free")]).await;
        bed.set_back_ends(2, &[&slow, &refusing, &free]);
        for call in calls {
            let answer = call.await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}

/// Guards against breaking off a stream that pauses at the only back end that can continue it.
#[test]
fn a_paused_stream_is_awaited_if_no_other_back_end_can_resume_it() {
    run(async |runtime| {
        let slow = ScriptedBackEnd::start(runtime, "b1", vec![slow_stream()]).await;
        let bed = Bed::start(runtime, &[&slow]).await;
        let answer = bed.call(&Request::new("/resumable/x")).await;
        assert!(answer.is_complete && answer.body.contains("id: 4"), "{answer:?}");
        assert_eq!(slow.arrivals(), 1);
    });
}

/// Guards against staying with a stream that pauses while another back end can resume it.
#[test]
fn a_paused_stream_is_resumed_at_a_back_end_that_has_capacity() {
    run(async |runtime| {
        let head = Step::Write(STREAM_HEAD.to_owned() + &events(1, 2));
        let silent = ScriptedBackEnd::start(runtime, "b1", vec![vec![head, Step::UntilClosed]]);
        let silent = silent.await;
        let rest = Step::Write(STREAM_HEAD.to_owned() + &events(3, 4) + STREAM_END);
        let free = ScriptedBackEnd::start(runtime, "b2", vec![vec![rest]]).await;
        let bed = Bed::start(runtime, &[&silent]).await;
        let call = spawn_call(runtime, &bed, "/resumable/x");
        until(async || silent.arrivals() == 1).await;
        bed.set_back_ends(2, &[&silent, &free]);
        let answer = call.await;
        assert!(answer.is_complete && answer.body.contains("id: 4"), "{answer:?}");
        assert_eq!((silent.closed_by_router.get(), free.arrivals()), (1, 1));
    });
}
