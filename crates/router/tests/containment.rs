//! Panics in the handling of one value.

mod support;

use hyper::{HeaderMap, http};
use mastbay_router::Runtime;
use mastbay_router::containment::supervise;
use mastbay_router::dialect::{CallerDialect, CallerHead, MalformedRequest, OwnAnswer};
use mastbay_router::native_dialect::NativeDialect;
use std::cell::Cell;
use support::{Bed, Request, ScriptedBackEnd, answer, run};

/// Header of requests whose handling panics.
const FAULT: &str = "x-fault";

/// Guards against a task that ends for good, unnoticed, at the first value that it cannot handle.
#[test]
fn a_task_that_panics_is_started_again() {
    let runtime = Runtime::leaked();
    let starts = Cell::new(0);
    let task = || async {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 2, "a value that cannot be handled");
    };
    smol::block_on(runtime.run(supervise(runtime, "test", task)));
    assert_eq!(starts.get(), 3);
}

/// The dialect of callers, with a fault.
struct FaultyDialect;

impl CallerDialect for FaultyDialect {
    fn read(&self, head: &http::request::Parts) -> Result<CallerHead, MalformedRequest> {
        assert!(!head.headers.contains_key(FAULT), "a request that cannot be handled");
        NativeDialect.read(head)
    }

    fn own_headers(&self, request_id: Option<&str>, answer: OwnAnswer) -> HeaderMap {
        NativeDialect.own_headers(request_id, answer)
    }
}

/// Guards against a request without a byte of an answer, after a panic in its handling.
#[test]
fn a_request_whose_handling_panics_is_answered() {
    run(async |runtime| {
        let back_end = ScriptedBackEnd::start(runtime, "a", vec![answer("whole"); 3]).await;
        let bed = Bed::start_with_callers(runtime, Box::new(FaultyDialect), &[&back_end]).await;
        let sound = Request::new("/safe/");
        for _ in 0..3 {
            let faulty = Request::new("/safe/").with(FAULT, "1");
            assert_eq!(bed.call(&faulty).await.status, 502);
            assert_eq!(bed.call(&sound).await.status, 200);
        }
    });
}
