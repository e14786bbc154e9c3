//! Tests of the fault matrix with single faults and pairs, and of its checks by mutations.

use mastbay_simulation::safety::{
    FaultKind, Mutation, PROMISES, PlannedFault, Promise, Row, Step, is_detected, run_matrix,
};

const SEEDS: u64 = 20;

fn violations(rows: &[Row]) -> Vec<String> {
    let cells = rows.iter().flat_map(|row| row.cells.iter().map(move |cell| (row, cell)));
    cells
        .filter_map(|(row, cell)| {
            let violation = cell.violation.as_ref()?;
            Some(format!("{}, {} at {}: {violation}", row.promise, row.fault_kind, cell.step))
        })
        .collect()
}

#[test]
fn every_fault_at_every_step_alone() {
    for promise in PROMISES {
        let found = violations(&run_matrix(promise, None, None, SEEDS));
        assert!(found.is_empty(), "{found:#?}");
    }
}

#[test]
fn every_fault_at_every_step_with_a_second_fault() {
    for (step, fault_kind) in [
        (Step::Accepted, FaultKind::PlatformSlow),
        (Step::Accepted, FaultKind::AnswersLost),
        (Step::Claiming, FaultKind::KeeperFrozen),
        (Step::ClaimWritten, FaultKind::KeeperKilled),
        (Step::ClaimWritten, FaultKind::GatewayFrozenShort),
        (Step::Queued, FaultKind::GatewayKilled),
        (Step::Connecting, FaultKind::GatewayFrozenLong),
        (Step::SentPart, FaultKind::BackendKilled),
        (Step::Running, FaultKind::AnswersCut),
        (Step::Running, FaultKind::PlatformDown),
    ] {
        let second = Some(PlannedFault { step, fault_kind });
        for promise in PROMISES {
            let found = violations(&run_matrix(promise, second, None, 4));
            assert!(found.is_empty(), "with {fault_kind} at {step}: {found:#?}");
        }
    }
}

#[test]
fn every_step_is_reached() {
    let rows = run_matrix(Promise::ClaimRequired, None, None, 2);
    for row in &rows {
        for cell in &row.cells {
            assert!(cell.reached > 0, "{} at {} was never tried", row.fault_kind, cell.step);
        }
    }
}

#[test]
fn each_mutation_of_the_code_is_found() {
    for mutation in Mutation::ALL {
        assert!(is_detected(mutation, SEEDS), "the checks do not see: {mutation}");
    }
}
