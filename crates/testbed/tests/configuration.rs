//! An accepted configuration is in force everywhere, and no process returns to an older one.

use mastbay_configuration::KeyDigest;
use mastbay_testbed::{Bed, BedOptions, wait_until};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions { engines: 0, ..BedOptions::default() }).await;
        test(bed).await;
    });
}

/// Copies the configuration of the bed and adds a tenant.
fn with_tenant(bed: &Bed, tenant: &str) -> PathBuf {
    let folder = bed.folder().join(format!("with-{tenant}"));
    std::fs::create_dir_all(&folder).expect("folders can be made");
    for entry in std::fs::read_dir(bed.configuration()).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().expect("a name");
        std::fs::copy(&path, folder.join(name)).expect("copied");
    }
    let digest = KeyDigest::of(&format!("key-of-{tenant}"));
    let text = format!("[tenant {tenant}]\nkey-sha256 = {digest}\n");
    std::fs::write(folder.join("more.ini"), text).expect("written");
    folder
}

fn arguments(bed: &Bed, directory: &std::path::Path) -> Vec<String> {
    let directory = directory.display().to_string();
    let platform = bed.platform_address.to_string();
    ["--output", "json", "apply", &directory, "--platform", &platform].map(str::to_owned).to_vec()
}

/// Applies a configuration without blocking the executor of the test.
async fn apply(bed: &Bed, directory: &std::path::Path, extra: &[&str]) -> Output {
    let mut arguments = arguments(bed, directory);
    arguments.extend(extra.iter().map(|text| (*text).to_owned()));
    smol::unblock(move || {
        Command::new(mastbay_testbed::binary("mastbayctl"))
            .args(arguments)
            .output()
            .expect("mastbayctl can be started")
    })
    .await
}

fn result(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

async fn generations(bed: &Bed) -> Vec<u64> {
    let mut generations = Vec::new();
    for address in bed.admin_addresses() {
        let status = bed.get(address, "/status").await;
        generations.extend(status["generation"].as_u64());
    }
    generations
}

async fn wait_for_generation(bed: &Bed, generation: u64) {
    let processes = bed.admin_addresses().len();
    wait_until(WAIT_TIMEOUT, &format!("generation {generation} everywhere"), || async {
        let found = generations(bed).await;
        found.len() == processes && found.iter().all(|in_force| *in_force >= generation)
    })
    .await;
}

#[test]
fn an_accepted_change_is_in_force_everywhere_within_two_seconds() {
    run(async |bed| {
        let began = Instant::now();
        let output = apply(&bed, &with_tenant(&bed, "ghats"), &[]).await;
        assert_eq!(result(&output)["generation"], 2, "{output:?}");
        wait_for_generation(&bed, 2).await;
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
        for machine in 0..3 {
            let answer = bed.caller(machine, "ghats").post("/permits/new", "x").await;
            assert_eq!(answer.expect("an answer").outcome(), "answered");
        }
    });
}

#[test]
fn of_concurrent_applies_one_is_accepted_and_the_others_report_a_conflict() {
    run(async |bed| {
        let directories: Vec<PathBuf> =
            ["ghats", "rangers", "ferries"].iter().map(|name| with_tenant(&bed, name)).collect();
        // All expect the same generation, so at most one can be accepted.
        let (first, second, third) = (
            apply(&bed, &directories[0], &["--expect", "1"]),
            apply(&bed, &directories[1], &["--expect", "1"]),
            apply(&bed, &directories[2], &["--expect", "1"]),
        );
        let ((first, second), third) =
            smol::future::zip(smol::future::zip(first, second), third).await;
        let outputs = [first, second, third];
        let accepted = outputs.iter().filter(|output| output.status.success()).count();
        let conflicts = outputs.iter().filter(|output| output.status.code() == Some(3)).count();
        assert_eq!((accepted, conflicts), (1, 2), "{outputs:?}");
        wait_for_generation(&bed, 2).await;
    });
}

#[test]
fn a_lost_answer_is_resolved_and_an_outage_is_not_reported_as_accepted() {
    run(async |bed| {
        // One or two new parts are written before the root, so the third lost answer is not before
        // that of the root.
        bed.set_faults(json!({ "lose_answers": 3 })).await;
        let output = apply(&bed, &with_tenant(&bed, "ghats"), &[]).await;
        assert_eq!(result(&output)["result"], "accepted", "{output:?}");
        wait_for_generation(&bed, 2).await;

        bed.set_faults(json!({ "down": true })).await;
        let output = apply(&bed, &with_tenant(&bed, "rangers"), &["--patience", "1"]).await;
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        assert_eq!(result(&output)["error"]["code"], "not_accepted");
        bed.set_faults(json!({})).await;
        assert!(generations(&bed).await.iter().all(|generation| *generation == 2));
    });
}

#[test]
fn a_change_missing_at_one_process_is_reported_as_accepted_but_not_in_force() {
    run(async |bed| {
        bed.gateways[2].freeze();
        let admin = bed.machines[2].gateway_admin.to_string();
        let output = apply(&bed, &with_tenant(&bed, "ghats"), &["--admin", &admin]).await;
        assert_eq!(output.status.code(), Some(5), "{output:?}");
        assert_eq!(result(&output)["error"]["code"], "not_in_force");
        bed.gateways[2].wake();
        wait_for_generation(&bed, 2).await;
    });
}

#[test]
fn no_process_returns_to_an_older_generation_after_restarts_an_outage_and_stale_reads() {
    run(async |mut bed| {
        apply(&bed, &with_tenant(&bed, "ghats"), &[]).await;
        wait_for_generation(&bed, 2).await;
        // Restarted processes read the version before the latest from the platform.
        bed.set_faults(json!({ "stale_reads": true })).await;
        bed.gateways[0].kill();
        bed.gateways[0] = bed.start_gateway(0).expect("started");
        bed.wait_ready().await;
        assert!(generations(&bed).await.iter().all(|generation| *generation == 2));
        // With the platform down, the configuration comes only from peers.
        bed.set_faults(json!({ "down": true })).await;
        bed.gateways[1].kill();
        bed.schedulers[1].kill();
        bed.gateways[1] = bed.start_gateway(1).expect("started");
        bed.schedulers[1] = bed.start_scheduler(1).expect("started");
        bed.wait_ready().await;
        assert_eq!(generations(&bed).await, [2; 6]);
        let answer = bed.caller(1, "ghats").post("/checks/1", "x").await.expect("an answer");
        assert_eq!(answer.outcome(), "answered");
    });
}

#[test]
fn a_process_without_platform_and_peers_rejects_requests_as_not_configured() {
    run(async |mut bed| {
        bed.set_faults(json!({ "down": true })).await;
        for index in 0..3 {
            bed.gateways[index].kill();
            bed.schedulers[index].kill();
        }
        bed.gateways[0] = bed.start_gateway(0).expect("started");
        let caller = bed.caller(0, "office");
        wait_until(WAIT_TIMEOUT, "the gateway answers", || async {
            caller.post("/permits/new", "x").await.is_ok()
        })
        .await;
        let answer = caller.post("/permits/new", "x").await.expect("an answer");
        assert_eq!((answer.outcome(), answer.code().as_str()), ("not-run", "not_configured"));
        assert!(!bed.is_ready(bed.machines[0].gateway_admin).await);
    });
}

#[test]
fn diff_validate_status_and_explain_report_the_state() {
    run(async |bed| {
        let directory = with_tenant(&bed, "ghats").display().to_string();
        let platform = bed.platform_address.to_string();
        let text = |output: Output| String::from_utf8_lossy(&output.stdout).into_owned();
        let diff = text(bed.ctl(&["diff", &directory, "--platform", &platform]));
        assert_eq!(diff, "added tenant ghats\n");
        let valid = text(bed.ctl(&["validate", &directory]));
        assert_eq!(valid, "valid: 3 tenants, 4 services, 3 back ends\n");

        let answer = bed.caller(0, "office").post("/permits/new", "x").await.expect("an answer");
        let request = answer.header("mastbay-request-id");
        let admin = bed.machines[0].gateway_admin.to_string();
        let explanation = text(bed.ctl(&["explain", request, "--admin", &admin]));
        for step in ["queued", "granted application-0", "sending", "answered"] {
            assert!(explanation.contains(step), "{step} not in:\n{explanation}");
        }
        let status = text(bed.ctl(&["status", "--admin", &admin]));
        assert!(status.contains("generation=1") && status.contains("demand permits/0"), "{status}");
        let unknown = bed.ctl(&["explain", "nobody", "--admin", &admin]);
        assert_eq!(unknown.status.code(), Some(1));

        std::fs::write(bed.configuration().join("bad.ini"), "[tenant x]\nwait = 1\n").expect("ok");
        let faulty = bed.ctl(&["validate", &bed.configuration().display().to_string()]);
        assert_eq!(faulty.status.code(), Some(2));
        let errors = String::from_utf8_lossy(&faulty.stderr).into_owned();
        assert!(errors.contains("bad.ini: [tenant x] wait: unknown key"), "{errors}");
    });
}
