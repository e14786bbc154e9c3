//! Schedulers lost, frozen and stopped under load; back ends that die or leave; planned stops.

use mastbay_testbed::{Bed, BedOptions, Load, LoadOptions, Machine, Observed, Told, wait_until};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(30);

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions::default()).await;
        test(bed).await;
    });
}

fn chat_load(bed: &Bed) -> Load {
    chat_load_at(&bed.machines)
}

/// Callers that go from one gateway of `machines` to the next.
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

async fn more_calls(load: &Load, count: usize) {
    let goal = load.done() + count;
    wait_until(LIMIT, "more calls", || async { load.done() >= goal }).await;
}

/// How often each thing was told, with codes.
fn tally(observed: &[Observed]) -> BTreeMap<(Told, String), usize> {
    let mut tally = BTreeMap::new();
    for call in observed {
        *tally.entry((call.told, call.code.clone())).or_default() += 1;
    }
    tally
}

fn assert_all_answered(observed: &[Observed]) {
    let tally = tally(observed);
    assert!(tally.keys().all(|(told, _)| *told == Told::Answered), "{tally:?}");
}

/// The scheduler that the gateway of a machine reports a service's cell to.
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
fn losing_the_scheduler_in_use_loses_no_request() {
    run(async |mut bed| {
        let load = chat_load(&bed);
        more_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.schedulers[index].kill();
        more_calls(&load, 100).await;
        bed.schedulers[index] = bed.start_scheduler(index).expect("started");
        more_calls(&load, 100).await;
        let observed = load.stop().await;
        assert_all_answered(&observed);
        let longest = observed.iter().map(|call| call.took).max().expect("calls");
        assert!(longest < Duration::from_secs(3), "taken over late: {longest:?}");
    });
}

#[test]
fn a_frozen_scheduler_is_passed_over_and_may_wake() {
    run(async |bed| {
        let load = chat_load(&bed);
        more_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.schedulers[index].freeze();
        more_calls(&load, 150).await;
        bed.schedulers[index].wake();
        more_calls(&load, 150).await;
        assert_all_answered(&load.stop().await);
    });
}

#[test]
fn cuts_of_scheduler_and_gateway_heal_and_cost_no_request_its_answer() {
    smol::block_on(async {
        let bed = Bed::start(BedOptions { relays: true, ..BedOptions::default() }).await;
        let load = chat_load(&bed);
        more_calls(&load, 50).await;
        let index = scheduler_in_use(&bed, "answers").await;
        bed.scheduler_relays[index].cut();
        more_calls(&load, 150).await;
        bed.scheduler_relays[index].heal();
        bed.wait_ready().await;
        // A gateway that hears nobody serves no new request; its callers wait until it hears again, and so do all that
        // go from one gateway to the next: they end two calls elsewhere at most. Those of the others are served on.
        let elsewhere = chat_load_at(&bed.machines[1..]);
        bed.gateway_relays[0].cut();
        more_calls(&elsewhere, 100).await;
        wait_until(LIMIT, "the others hold it for dead", || async {
            let status = bed.get(bed.machines[1].scheduler_admin, "/status").await;
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|member| member["state"] == "alive").count() < 6
        })
        .await;
        bed.gateway_relays[0].heal();
        bed.wait_ready().await;
        more_calls(&load, 50).await;
        assert_all_answered(&load.stop().await);
        assert_all_answered(&elsewhere.stop().await);
    });
}

#[test]
fn a_killed_engine_costs_no_repeatable_request_its_answer() {
    run(async |mut bed| {
        let load = Load::start(&LoadOptions {
            gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
            callers: vec![("office".to_owned(), 6)],
            tokens: Some(5),
            path: String::new(),
            pause: Duration::from_millis(5),
        });
        more_calls(&load, 40).await;
        bed.engines[0].kill();
        more_calls(&load, 60).await;
        let observed = load.stop().await;
        let tally = tally(&observed);
        // A stream in mid-flight at the kill breaks visibly; every other call is answered.
        let broken = observed.iter().filter(|call| call.told == Told::Broken).count();
        let others =
            observed.iter().filter(|call| !matches!(call.told, Told::Answered | Told::Broken));
        assert_eq!(others.count(), 0, "{tally:?}");
        assert!(broken <= 6, "{tally:?}");
    });
}

#[test]
fn a_leaving_back_end_gets_no_new_work_after_the_notice() {
    run(async |bed| {
        let load = chat_load(&bed);
        more_calls(&load, 50).await;
        let leaving = bed.engine_addresses[0];
        bed.set_leaving(&[leaving]).await;
        let noticed = Instant::now();
        // The platform goes down right after some scheduler has read the notice.
        wait_until(LIMIT, "the notice is read", || async {
            bed.schedulers.iter().any(|scheduler| scheduler.log().contains("event=machine_list"))
        })
        .await;
        bed.set_faults(json!({ "down": true })).await;
        let runs =
            async || bed.get(leaving, "/record").await.as_object().map_or(0, |runs| runs.len());
        let mut last_new = Instant::now();
        let mut count = runs().await;
        // That nothing comes after the limit shows only by looking on past it.
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
fn planned_stops_of_every_process_cut_nothing() {
    run(async |mut bed| {
        let (chats, posts) = (chat_load(&bed), post_load(&bed));
        more_calls(&chats, 50).await;
        for index in 0..bed.machines.len() {
            bed.gateways[index].terminate();
            bed.schedulers[index].terminate();
            for process in [&mut bed.gateways[index], &mut bed.schedulers[index]] {
                let began = Instant::now();
                let status = loop {
                    if let Some(status) = process.ended() {
                        break status;
                    }
                    assert!(began.elapsed() < LIMIT, "no end: {}", process.log());
                    smol::Timer::after(Duration::from_millis(10)).await;
                };
                assert!(status.success(), "{status}: {}", process.log());
            }
            bed.gateways[index] = bed.start_gateway(index).expect("started");
            bed.schedulers[index] = bed.start_scheduler(index).expect("started");
            bed.wait_ready().await;
            more_calls(&chats, 50).await;
        }
        let mut observed = chats.stop().await;
        observed.extend(posts.stop().await);
        let tally = tally(&observed);
        let failed =
            observed.iter().filter(|call| !matches!(call.told, Told::Answered | Told::NotRun));
        assert_eq!(failed.count(), 0, "{tally:?}");
        let runs = bed.runs(0);
        assert!(runs.by_request.values().all(|count| *count == 1));
    });
}
