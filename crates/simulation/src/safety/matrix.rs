//! The matrix of troubles and steps.

use super::model::{Violation, run_once};
use super::plan::{Mutation, Plan, PlannedFault, Promise, Step, Trouble};
use derive_more::Display;
use std::fmt::Write;

/// One cell of the matrix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// The step at which the trouble begins.
    pub step: Step,
    /// Tries in which the step was reached.
    pub reached: u32,
    /// The first promise broken, if any was.
    pub violation: Option<Found>,
}

/// A broken promise and the seed that shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("seed {seed}: {violation}")]
pub struct Found {
    /// The seed.
    pub seed: u64,
    /// The promise.
    pub violation: Violation,
}

/// One row of the matrix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// What was declared for the request.
    pub promise: Promise,
    /// The trouble.
    pub trouble: Trouble,
    /// Its steps.
    pub cells: Vec<Cell>,
}

/// Tries every trouble at every step for a promise, alone (`second` is `None`) or together with a
/// second trouble.
pub fn run_matrix(
    promise: Promise,
    second: Option<PlannedFault>,
    mutation: Option<Mutation>,
    seeds: u64,
) -> Vec<Row> {
    let row = |trouble: Trouble| {
        let cell = |step: Step| {
            let first = PlannedFault { step, trouble };
            let faults: Vec<PlannedFault> = std::iter::once(first).chain(second).collect();
            try_cell(promise, step, &faults, mutation, seeds)
        };
        Row { promise, trouble, cells: Step::ALL.into_iter().map(cell).collect() }
    };
    Trouble::ALL.into_iter().map(row).collect()
}

/// The promises that are tried.
pub const PROMISES: [Promise; 4] =
    [Promise::ClaimRequired, Promise::ClaimWhenAvailable, Promise::NoKey, Promise::Repeatable];

/// A back end that stands still while the request runs, so that its caller asks again: without a
/// second request some mutations do no harm.
const FROZEN_BACKEND: PlannedFault =
    PlannedFault { step: Step::Running, trouble: Trouble::BackendFrozen };

/// Cells in which a mutation of the code is found, alone and with a back end that stands still.
pub fn cells_that_find(mutation: Mutation, seeds: u64) -> usize {
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

/// Whether any cell finds a mutation of the code.
pub fn is_found(mutation: Mutation, seeds: u64) -> bool {
    let mutation = Some(mutation);
    let mut plans = (0..seeds).flat_map(|seed| {
        PROMISES.into_iter().flat_map(move |promise| {
            Trouble::ALL.into_iter().flat_map(move |trouble| {
                Step::ALL.into_iter().flat_map(move |step| {
                    let first = PlannedFault { step, trouble };
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

fn try_cell(
    promise: Promise,
    step: Step,
    faults: &[PlannedFault],
    mutation: Option<Mutation>,
    seeds: u64,
) -> Cell {
    let mut cell = Cell { step, reached: 0, violation: None };
    for seed in 0..seeds {
        let plan = Plan { promise, faults: faults.to_vec(), mutation, seed };
        let verdict = run_once(&plan);
        cell.reached += u32::from(verdict.reached);
        if let Some(violation) = verdict.violations.first() {
            cell.violation.get_or_insert(Found { seed, violation: *violation });
        }
    }
    cell
}

/// The matrix as a table in Markdown: the number of tries in which the step was reached, `-` where it
/// never was, and **X** where a promise was broken.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from("| trouble |");
    for step in Step::ALL {
        // Writing to a string cannot fail.
        let _ = write!(text, " {step} |");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(Step::ALL.len()));
    for row in rows {
        let _ = write!(text, "\n| {} |", row.trouble);
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
