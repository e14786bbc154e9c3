//! Schedulers that are lost, frozen or stopped under load, back ends that die or leave, and planned
//! stops.

use mastbay_testbed::{
    Bed, BedOptions, CallOutcome, Load, LoadOptions, Machine, Observed, wait_until,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions::default()).await;
        test(bed).await;
    });
}

fn chat_load(bed: &Bed) -> Load {
    chat_load_at(&bed.machines)
}

/// Starts callers that use the gateways of `machines` in rotation.
fn chat_load_at(machines: &[Machine]) -> Load {
    Load::start(&LoadOptions {
        gateways: machines.iter().map(|machine| machine.callers).collect(),
        callers: vec![("office".to_owned(), 4), ("summaries".to_owned(), 12)],
        tokens: Some(20),
        path: String::new(),
        pause: Duration::from_millis(2),
    })
}

fn post_load(bed: &Bed) -> Load {
    Load::start(&LoadOptions {
        gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
        callers: vec![("office".to_owned(), 4), ("summaries".to_owned(), 8)],
        tokens: None,
        path: "/permits/check".to_owned(),
        pause: Duration::from_millis(2),
    })
}

async fn wait_for_calls(load: &Load, count: usize) {
    let goal = load.done() + count;
    wait_until(WAIT_TIMEOUT, "more calls", || async { load.done() >= goal }).await;
}

/// Counts the calls by outcome and code.
fn count_outcomes(observed: &[Observed]) -> BTreeMap<(CallOutcome, String), usize> {
    let mut counts = BTreeMap::new();
    for call in observed {
        *counts.entry((call.outcome, call.code.clone())).or_default() += 1;
    }
    counts
}

fn assert_all_answered(observed: &[Observed]) {
    let counts = count_outcomes(observed);
    assert!(counts.keys().all(|(outcome, _)| *outcome == CallOutcome::Answered), "{counts:?}");
}

/// Returns the scheduler to which the gateway of the first machine reports the first cell of a
/// service.
async fn scheduler_in_use(bed: &Bed, service: &str) -> usize {
    let status = bed.get(bed.machines[0].gateway_admin, "/status").await;
    let demand = status["demand"].as_array().cloned().unwrap_or_default();
    let cell = demand.iter().find(|cell| cell["cell"] == format!("{service}/0"));
    let name = cell.and_then(|cell| cell["scheduler"].as_str().map(str::to_owned));
    let name = name.expect("the cell is in use");
    let position =
        bed.machines.iter().position(|machine| machine.scheduler_peer.to_string() == name);
    position.expect("a scheduler of the bed")
}

#[test]
fn losing_the_scheduler_in_use_fails_no_request() {
    run(async |mut bed| {
        let load = chat_load(&bed);
        wait_for_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.schedulers[index].kill();
        wait_for_calls(&load, 100).await;
        bed.schedulers[index] = bed.start_scheduler(index).expect("started");
        wait_for_calls(&load, 100).await;
        let observed = load.stop().await;
        assert_all_answered(&observed);
        let longest = observed.iter().map(|call| call.took).max().expect("calls");
        assert!(longest < Duration::from_secs(3), "late failover: {longest:?}");
    });
}

#[test]
fn a_frozen_scheduler_is_bypassed_and_may_wake() {
    run(async |bed| {
        let load = chat_load(&bed);
        wait_for_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.schedulers[index].freeze();
        wait_for_calls(&load, 150).await;
        bed.schedulers[index].wake();
        wait_for_calls(&load, 150).await;
        assert_all_answered(&load.stop().await);
    });
}

#[test]
fn cut_off_schedulers_and_gateways_recover_without_failed_requests() {
    smol::block_on(async {
        let bed = Bed::start(BedOptions { relays: true, ..BedOptions::default() }).await;
        let load = chat_load(&bed);
        wait_for_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.scheduler_relays[index].cut();
        wait_for_calls(&load, 150).await;
        bed.scheduler_relays[index].heal();
        bed.wait_ready().await;
        // A gateway that receives nothing serves no new request. Callers that use all gateways in
        // rotation block on it until it recovers, so only callers of the others can make progress.
        let elsewhere = chat_load_at(&bed.machines[1..]);
        bed.gateway_relays[0].cut();
        wait_for_calls(&elsewhere, 100).await;
        wait_until(WAIT_TIMEOUT, "the others consider it dead", || async {
            let status = bed.get(bed.machines[1].scheduler_admin, "/status").await;
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|member| member["state"] == "alive").count() < 6
        })
        .await;
        bed.gateway_relays[0].heal();
        bed.wait_ready().await;
        wait_for_calls(&load, 50).await;
        assert_all_answered(&load.stop().await);
        assert_all_answered(&elsewhere.stop().await);
    });
}

#[test]
fn a_killed_engine_fails_no_repeatable_request() {
    run(async |mut bed| {
        let load = Load::start(&LoadOptions {
            gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
            callers: vec![("office".to_owned(), 6)],
            tokens: Some(5),
            path: String::new(),
            pause: Duration::from_millis(5),
        });
        wait_for_calls(&load, 40).await;
        bed.engines[0].kill();
        wait_for_calls(&load, 60).await;
        let observed = load.stop().await;
        let counts = count_outcomes(&observed);
        // A stream under way at the kill breaks visibly; every other call is answered.
        let broken = observed.iter().filter(|call| call.outcome == CallOutcome::Broken).count();
        let others = observed
            .iter()
            .filter(|call| !matches!(call.outcome, CallOutcome::Answered | CallOutcome::Broken));
        assert_eq!(others.count(), 0, "{counts:?}");
        assert!(broken <= 6, "{counts:?}");
    });
}

#[test]
fn a_leaving_back_end_gets_no_new_work_after_the_notice() {
    run(async |bed| {
        let load = chat_load(&bed);
        wait_for_calls(&load, 50).await;
        let leaving = bed.engine_addresses[0];
        bed.set_leaving(&[leaving]).await;
        let noticed = Instant::now();
        // The platform fails right after the first scheduler has read the notice.
        wait_until(WAIT_TIMEOUT, "the notice is read", || async {
            bed.schedulers.iter().any(|scheduler| scheduler.log().contains("event=machine_list"))
        })
        .await;
        bed.set_faults(json!({ "down": true })).await;
        let runs =
            async || bed.get(leaving, "/record").await.as_object().map_or(0, |runs| runs.len());
        let mut last_new = Instant::now();
        let mut count = runs().await;
        // Observes for longer than the limit, to detect requests that arrive after it.
        while noticed.elapsed() < Duration::from_secs(4) {
            let now = runs().await;
            if now > count {
                (count, last_new) = (now, Instant::now());
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let observed = load.stop().await;
        assert_all_answered(&observed);
        let until_last = last_new.duration_since(noticed);
        assert!(until_last < Duration::from_secs(3), "last new request after {until_last:?}");
    });
}

#[test]
fn planned_stops_of_every_process_interrupt_no_request() {
    run(async |mut bed| {
        let (chats, posts) = (chat_load(&bed), post_load(&bed));
        wait_for_calls(&chats, 50).await;
        for index in 0..bed.machines.len() {
            bed.gateways[index].terminate();
            bed.schedulers[index].terminate();
            for process in [&mut bed.gateways[index], &mut bed.schedulers[index]] {
                let began = Instant::now();
                let status = loop {
                    if let Some(status) = process.exit_status() {
                        break status;
                    }
                    assert!(began.elapsed() < WAIT_TIMEOUT, "no end: {}", process.log());
                    smol::Timer::after(Duration::from_millis(10)).await;
                };
                assert!(status.success(), "{status}: {}", process.log());
            }
            bed.gateways[index] = bed.start_gateway(index).expect("started");
            bed.schedulers[index] = bed.start_scheduler(index).expect("started");
            bed.wait_ready().await;
            wait_for_calls(&chats, 50).await;
        }
        let mut observed = chats.stop().await;
        observed.extend(posts.stop().await);
        let counts = count_outcomes(&observed);
        let failed = observed
            .iter()
            .filter(|call| !matches!(call.outcome, CallOutcome::Answered | CallOutcome::NotRun));
        assert_eq!(failed.count(), 0, "{counts:?}");
        let runs = bed.runs(0);
        assert!(runs.by_request.values().all(|count| *count == 1));
    });
}
