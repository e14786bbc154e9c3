//! `mastbay-load`: measures latency, throughput and memory of a gateway on loopback, against direct
//! calls to the same stand-ins in the same run.

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use mastbay_testbed::{Bed, BedOptions, Caller, Process, chat_body, wait_until};
use mastbay_web::Connection;
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Requests per second of the latency measurement.
const RATE: u32 = 500;
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
/// Connections that the callers keep open.
const CONNECTIONS: usize = 32;
/// Concurrent streams of the memory measurement.
const STREAMS: usize = 1_000;
/// Clock ticks per second in /proc on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    smol::block_on(async {
        latency().await;
        throughput().await;
        memory().await;
    });
}

fn options() -> BedOptions {
    BedOptions {
        application_slots: 64,
        engine_slots: 64,
        engine_step_ms: 1,
        log: "error".to_owned(),
        ..BedOptions::default()
    }
}

async fn latency() {
    let bed = Bed::start(options()).await;
    println!("latency at {RATE} requests a second, microseconds: median, 99th percentile");
    for round in 0..2 {
        let direct = measure_latency(bed.application_addresses[0], "office").await;
        let through = measure_latency(bed.machines[0].callers, "office").await;
        show("direct", round, &direct);
        show("through a gateway", round, &through);
        let added = |share| {
            through.value_at_quantile(share) as i64 - direct.value_at_quantile(share) as i64
        };
        println!("{:<20} {round} {:>8} {:>8}", "added", added(0.5), added(0.99));
    }
}

fn show(name: &str, round: usize, histogram: &Histogram<u64>) {
    println!(
        "{name:<20} {round} {:>8} {:>8}   of {}",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.len(),
    );
}

/// Sends requests at a fixed rate on open connections and returns their latencies in microseconds.
async fn measure_latency(address: SocketAddr, tenant: &str) -> Histogram<u64> {
    let (idle_sender, idle) = smol::channel::unbounded();
    for _ in 0..CONNECTIONS {
        let opened = Connection::open(address, Duration::from_secs(5)).await;
        // The channel is unbounded.
        let _ = idle_sender.try_send(opened.expect("connected"));
    }
    let (times_sender, times) = smol::channel::unbounded();
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < MEASUREMENT_TIME {
        let due = Duration::from_secs(1) * sent / RATE;
        smol::Timer::at(began + due).await;
        sent += 1;
        let caller = Caller::new(address, tenant).with("stand-in-work-ms", "0");
        let (idle, idle_sender, times) = (idle.clone(), idle_sender.clone(), times_sender.clone());
        smol::spawn(one_call(caller, idle, idle_sender, times)).detach();
    }
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for _ in 0..sent {
        let micros = times.recv().await.expect("every call ends");
        // Does not fail, since the histogram resizes itself.
        let _ = histogram.record(micros);
    }
    histogram
}

async fn one_call(
    caller: Caller,
    idle: Receiver<Connection>,
    kept: Sender<Connection>,
    times: Sender<u64>,
) {
    let began = Instant::now();
    let connection = idle.recv().await.expect("a connection");
    let sent = caller.send_over(connection, Method::POST, "/permits/x", Bytes::from("x")).await;
    let (answer, connection) = sent.expect("an answer");
    assert!(answer.status.is_success(), "{answer:?}");
    let _ = times.try_send(began.elapsed().as_micros() as u64);
    let _ = kept.try_send(connection);
}

/// Returns the processor time that a process has used, in seconds.
fn cpu_seconds(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    // The name of the process, in parentheses, may contain spaces; the fields after it do not.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: Vec<f64> =
        fields.split_whitespace().filter_map(|field| field.parse().ok()).collect();
    // Fields 14 and 15 of the file, utime and stime; the filter dropped the state, which is a
    // letter.
    (ticks.get(10).unwrap_or(&0.0) + ticks.get(11).unwrap_or(&0.0)) / TICKS_PER_SECOND
}

fn resident_megabytes(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}

async fn throughput() {
    let bed = Bed::start(options()).await;
    println!(
        "\none gateway, {CONNECTIONS} callers: requests a second, and for each second of processor"
    );
    let gateway = &bed.gateways[0];
    for (name, tokens) in [("plain", None), ("streams of 50 tokens", Some(50))] {
        let before = cpu_seconds(gateway);
        let count = closed_loop(bed.machines[0].callers, tokens).await;
        let used = cpu_seconds(gateway) - before;
        println!(
            "{name:<22} {:>8.0} {:>8.0}",
            count as f64 / MEASUREMENT_TIME.as_secs_f64(),
            count as f64 / used.max(0.01)
        );
    }
}

/// Sends requests from callers that each wait for the answer; returns the number of answers.
async fn closed_loop(address: SocketAddr, tokens: Option<usize>) -> usize {
    let began = Instant::now();
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            smol::spawn(async move {
                let caller = Caller::new(address, "office").with("stand-in-work-ms", "0");
                let opened = Connection::open(address, Duration::from_secs(5)).await;
                let mut connection = opened.expect("connected");
                let mut count = 0;
                while began.elapsed() < MEASUREMENT_TIME {
                    let (path, body) = match tokens {
                        None => ("/permits/x", b"x".to_vec()),
                        Some(tokens) => ("/v1/chat/completions", chat_body("a b c", tokens, true)),
                    };
                    let sent =
                        caller.send_over(connection, Method::POST, path, Bytes::from(body)).await;
                    let (answer, kept) = sent.expect("an answer");
                    assert!(answer.status.is_success(), "{answer:?}");
                    connection = kept;
                    count += 1;
                }
                count
            })
        })
        .collect();
    let mut total = 0;
    for task in tasks {
        total += task.await;
    }
    total
}

async fn memory() {
    let bed =
        Bed::start(BedOptions { engine_slots: STREAMS, engine_step_ms: 100, ..options() }).await;
    let gateway = &bed.gateways[0];
    let idle = resident_megabytes(gateway);
    let callers: Vec<_> = (0..STREAMS)
        .map(|_| {
            let caller = bed.caller(0, "summaries");
            smol::spawn(async move { caller.chat("a b c", 10_000, true).await })
        })
        .collect();
    let admin = bed.machines[0].gateway_admin;
    wait_until(Duration::from_secs(30), "all streams run", || async {
        bed.get(admin, "/status").await["demand"][0]["running"] == STREAMS
    })
    .await;
    let loaded = resident_megabytes(gateway);
    println!(
        "\nresident memory of a gateway, MB: idle {idle:.1}, with {STREAMS} streams {loaded:.1}"
    );
    println!("of a scheduler: {:.1}", resident_megabytes(&bed.schedulers[0]));
    drop(callers);
}
