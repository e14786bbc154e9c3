//! The fault matrix in seeded virtual time, alone and in pairs, and the proof that its checks can fail.

use mastbay_simulation::safety::{
    Mutation, PROMISES, PlannedFault, Promise, Row, Step, Trouble, is_found, run_matrix,
};

const SEEDS: u64 = 20;

fn violations(rows: &[Row]) -> Vec<String> {
    let cells = rows.iter().flat_map(|row| row.cells.iter().map(move |cell| (row, cell)));
    cells
        .filter_map(|(row, cell)| {
            let violation = cell.violation.as_ref()?;
            Some(format!("{}, {} at {}: {violation}", row.promise, row.trouble, cell.step))
        })
        .collect()
}

#[test]
fn every_trouble_at_every_step_alone() {
    for promise in PROMISES {
        let found = violations(&run_matrix(promise, None, None, SEEDS));
        assert!(found.is_empty(), "{found:#?}");
    }
}

#[test]
fn every_trouble_at_every_step_together_with_another() {
    for (step, trouble) in [
        (Step::Accepted, Trouble::PlatformSlow),
        (Step::Accepted, Trouble::AnswersLost),
        (Step::Claiming, Trouble::KeeperFrozen),
        (Step::ClaimWritten, Trouble::KeeperKilled),
        (Step::ClaimWritten, Trouble::GatewayFrozenShort),
        (Step::Queued, Trouble::GatewayKilled),
        (Step::Connecting, Trouble::GatewayFrozenLong),
        (Step::SentPart, Trouble::BackendKilled),
        (Step::Running, Trouble::AnswersCut),
        (Step::Running, Trouble::PlatformDown),
    ] {
        let second = Some(PlannedFault { step, trouble });
        for promise in PROMISES {
            let found = violations(&run_matrix(promise, second, None, 4));
            assert!(found.is_empty(), "with {trouble} at {step}: {found:#?}");
        }
    }
}

#[test]
fn every_step_is_reached() {
    let rows = run_matrix(Promise::ClaimRequired, None, None, 2);
    for row in &rows {
        for cell in &row.cells {
            assert!(cell.reached > 0, "{} at {} was never tried", row.trouble, cell.step);
        }
    }
}

#[test]
fn each_mutation_of_the_code_is_found() {
    for mutation in Mutation::ALL {
        assert!(is_found(mutation, SEEDS), "the checks do not see: {mutation}");
    }
}
