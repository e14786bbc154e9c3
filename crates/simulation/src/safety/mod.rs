//! Fault injection for single requests: every fault at every step, in seeded virtual time.
//!
//! Models two gateways, two claim keepers, the platform, a back end and a caller that retries its
//! request at the other gateway, with the same idempotency key, when no answer arrives. The
//! decisions are made by the production code ([`Exchange`](mastbay_attempts::Exchange),
//! [`ClaimClient`](mastbay_claims::ClaimClient), [`ClaimKeeper`](mastbay_claims::ClaimKeeper)) and
//! checked against the runs that the back end records.

mod backend;
mod matrix;
mod model;
mod plan;
mod platform;

pub use matrix::{
    Cell, FoundViolation, PROMISES, Row, detecting_cells, is_detected, markdown, run_matrix,
};
pub use model::{CallerResult, RunResult, Violation, run_once};
pub use plan::{FaultKind, Mutation, Plan, PlannedFault, Promise, Step};
