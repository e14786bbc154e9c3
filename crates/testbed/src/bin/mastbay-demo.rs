//! `mastbay-demo`: starts a fleet of three machines with stand-ins on loopback, sends requests of
//! several tenants, checks the answers and prints a table of the service that each tenant got.

use argh::FromArgs;
use mastbay_testbed::{
    Bed, BedOptions, CallOutcome, Caller, Load, LoadOptions, TenantDeclaration, event_data,
    expected_answer,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Runs a fleet of three machines on loopback and shows what it does.
#[derive(FromArgs)]
struct Arguments {
    /// folder with the texts that are sent
    #[argh(positional)]
    texts: PathBuf,
}

/// Requested tokens of each chat request.
const TOKENS: usize = 24;
/// Duration of the load that saturates the engines.
const SATURATION_TIME: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match smol::block_on(demo(&arguments.texts)) {
        Ok(true) => {
            println!("\nAll answers were checked and whole.");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("\nNot all went well; see above.");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the texts cannot be read: {error}");
            ExitCode::FAILURE
        }
    }
}

fn tenant(name: &str, weight: u32) -> TenantDeclaration {
    TenantDeclaration { name: name.to_owned(), weight }
}

async fn demo(texts: &Path) -> std::io::Result<bool> {
    let read = |name: &str| std::fs::read_to_string(texts.join(name));
    let (questions, report, script) =
        (read("preguntas-licencia.txt")?, read("catch-report.txt")?, read("walk-script.txt")?);
    println!("Starting the stand-ins and a fleet of three machines ...");
    let bed = Bed::start(BedOptions {
        tenants: vec![
            tenant("office-esquel", 1),
            tenant("season-summaries", 1),
            tenant("tour-guides", 2),
        ],
        log: "warn".to_owned(),
        ..BedOptions::default()
    })
    .await;
    println!("The configuration is applied and in force.\n");
    let mut succeeded = true;
    for (number, question) in questions.lines().enumerate() {
        succeeded &= show_stream(&bed.caller(number % 3, "office-esquel"), question).await;
    }
    succeeded &= show_stream(&bed.caller(1, "season-summaries"), &report).await;
    succeeded &= show_stream(&bed.caller(2, "tour-guides"), &script).await;
    succeeded &= show_permits(&bed).await;
    succeeded &= saturate(&bed).await;
    Ok(succeeded)
}

/// Sends a chat request and prints the start of the answer. Returns whether the answer is correct.
async fn show_stream(caller: &Caller, prompt: &str) -> bool {
    let Ok(answer) = caller.chat(prompt, TOKENS, true).await else {
        println!("no answer to: {prompt}");
        return false;
    };
    let (text, is_complete) = event_data(&answer.body);
    let is_correct = is_complete && text == expected_answer(prompt, TOKENS);
    let shown: String = text.chars().take(60).collect();
    println!("{} {:<9} {shown} ...", answer.header("mastbay-request-id"), answer.outcome());
    is_correct
}

/// Issues permits, one of them requested twice with the same key at different gateways. Returns
/// whether each ran once.
async fn show_permits(bed: &Bed) -> bool {
    println!();
    let mut succeeded = true;
    for (gateway, key) in [(0, "permit-1"), (1, "permit-2"), (2, "permit-1")] {
        let caller = bed.caller(gateway, "office-esquel").with("idempotency-key", key);
        let Ok(answer) = caller.post("/permits/new", "fly, Limay, 7 days").await else {
            println!("no answer for {key}");
            return false;
        };
        let code = answer.code();
        let id = answer.header("mastbay-request-id");
        println!("{id} {:<9} {key} at gateway {gateway} {code}", answer.outcome());
        let repeated = gateway == 2;
        succeeded &= (answer.outcome() == "answered") != repeated;
    }
    let runs = bed.runs(0);
    succeeded && runs.of_key("permit-1") == 1 && runs.of_key("permit-2") == 1
}

/// Saturates the engines with load of two large tenants and a small one, and prints the service of
/// each.
async fn saturate(bed: &Bed) -> bool {
    let callers = [("office-esquel", 2), ("season-summaries", 24), ("tour-guides", 24)];
    println!("\nCrowding the engines for {} s ...", SATURATION_TIME.as_secs());
    let load = Load::start(&LoadOptions {
        gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
        callers: callers.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect(),
        tokens: Some(40),
        path: String::new(),
        pause: Duration::ZERO,
    });
    smol::Timer::after(SATURATION_TIME).await;
    let observed = load.stop().await;
    let mut rows: BTreeMap<&str, (usize, Duration)> = BTreeMap::new();
    for call in observed.iter().filter(|call| call.outcome == CallOutcome::Answered) {
        let row = rows.entry(&call.tenant).or_default();
        row.0 += 1;
        row.1 = row.1.max(call.took);
    }
    println!(
        "{:<20} {:>7} {:>8} {:>7} {:>12}",
        "tenant", "callers", "answers", "tokens", "longest, ms"
    );
    for (name, count) in callers {
        let (answers, longest) = rows.get(name).copied().unwrap_or_default();
        println!(
            "{name:<20} {count:>7} {answers:>8} {:>7} {:>12}",
            answers * 40,
            longest.as_millis()
        );
    }
    observed.iter().all(|call| call.outcome == CallOutcome::Answered) && rows.len() == callers.len()
}
