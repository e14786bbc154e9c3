//! Runs the matrix of faults and steps.

use super::model::{Violation, run_once};
use super::plan::{FaultKind, Mutation, Plan, PlannedFault, Promise, Step};
use derive_more::Display;
use std::fmt::Write;

/// One cell of the matrix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Step at which the fault is injected.
    pub step: Step,
    /// Number of runs that reached the step.
    pub reached: u32,
    /// First violation found, if any.
    pub violation: Option<FoundViolation>,
}

/// A violation and the seed that reproduces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("seed {seed}: {violation}")]
pub struct FoundViolation {
    /// Seed of the run.
    pub seed: u64,
    /// The violated invariant.
    pub violation: Violation,
}

/// One row of the matrix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Declared retry and claim behaviour of the request.
    pub promise: Promise,
    /// Fault that is injected.
    pub fault_kind: FaultKind,
    /// One cell for each step, in order.
    pub cells: Vec<Cell>,
}

/// Runs every fault at every step for a promise, alone (`second` is `None`) or together with a
/// second fault. Each cell runs with the seeds from 0 to `seeds` - 1.
pub fn run_matrix(
    promise: Promise,
    second: Option<PlannedFault>,
    mutation: Option<Mutation>,
    seeds: u64,
) -> Vec<Row> {
    let row = |fault_kind: FaultKind| {
        let cell = |step: Step| {
            let first = PlannedFault { step, fault_kind };
            let faults: Vec<PlannedFault> = std::iter::once(first).chain(second).collect();
            run_cell(promise, step, &faults, mutation, seeds)
        };
        Row { promise, fault_kind, cells: Step::ALL.into_iter().map(cell).collect() }
    };
    FaultKind::ALL.into_iter().map(row).collect()
}

/// Promises that the matrix covers.
pub const PROMISES: [Promise; 4] =
    [Promise::ClaimRequired, Promise::ClaimWhenAvailable, Promise::NoKey, Promise::Repeatable];

/// Freezes the back end while the request runs, which makes the caller retry: some mutations
/// violate an invariant only when there is a second request.
const FROZEN_BACKEND: PlannedFault =
    PlannedFault { step: Step::Running, fault_kind: FaultKind::BackendFrozen };

/// Counts the cells that detect a mutation of the code, alone and with a frozen back end.
pub fn detecting_cells(mutation: Mutation, seeds: u64) -> usize {
    let of_promise = |promise| {
        let alone = run_matrix(promise, None, Some(mutation), seeds);
        alone.into_iter().chain(run_matrix(promise, Some(FROZEN_BACKEND), Some(mutation), seeds))
    };
    PROMISES
        .into_iter()
        .flat_map(of_promise)
        .flat_map(|row| row.cells)
        .filter(|cell| cell.violation.is_some())
        .count()
}

/// Returns whether any cell detects a mutation of the code.
pub fn is_detected(mutation: Mutation, seeds: u64) -> bool {
    let mutation = Some(mutation);
    let mut plans = (0..seeds).flat_map(|seed| {
        PROMISES.into_iter().flat_map(move |promise| {
            FaultKind::ALL.into_iter().flat_map(move |fault_kind| {
                Step::ALL.into_iter().flat_map(move |step| {
                    let first = PlannedFault { step, fault_kind };
                    [vec![first], vec![first, FROZEN_BACKEND]].map(|faults| Plan {
                        promise,
                        faults,
                        mutation,
                        seed,
                    })
                })
            })
        })
    });
    plans.any(|plan| !run_once(&plan).violations.is_empty())
}

fn run_cell(
    promise: Promise,
    step: Step,
    faults: &[PlannedFault],
    mutation: Option<Mutation>,
    seeds: u64,
) -> Cell {
    let mut cell = Cell { step, reached: 0, violation: None };
    for seed in 0..seeds {
        let plan = Plan { promise, faults: faults.to_vec(), mutation, seed };
        let result = run_once(&plan);
        cell.reached += u32::from(result.reached);
        if let Some(violation) = result.violations.first() {
            cell.violation.get_or_insert(FoundViolation { seed, violation: *violation });
        }
    }
    cell
}

/// Formats the matrix as a Markdown table: the number of runs that reached the step, `-` if none
/// did, and **X** where a violation was found.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from("| trouble |");
    for step in Step::ALL {
        // Writing to a string cannot fail.
        let _ = write!(text, " {step} |");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(Step::ALL.len()));
    for row in rows {
        let _ = write!(text, "\n| {} |", row.fault_kind);
        for cell in &row.cells {
            let shown = match (&cell.violation, cell.reached) {
                (Some(_), _) => "**X**".to_owned(),
                (None, 0) => "-".to_owned(),
                (None, reached) => reached.to_string(),
            };
            let _ = write!(text, " {shown} |");
        }
    }
    text.push('\n');
    text
}
