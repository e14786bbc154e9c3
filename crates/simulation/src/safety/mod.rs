//! Single requests through every fault at every step, in seeded virtual time.
//!
//! Two gateways, two claim keepers, the platform, a back end and a caller that repeats its request, with
//! the same idempotency key, at the other gateway when it hears nothing. The decisions are those of
//! production ([`Exchange`](mastbay_attempts::Exchange), [`ClaimClient`](mastbay_claims::ClaimClient),
//! [`ClaimKeeper`](mastbay_claims::ClaimKeeper)); the record of the back end is the judge.

mod backend;
mod matrix;
mod model;
mod plan;
mod platform;

pub use matrix::{Cell, Found, PROMISES, Row, cells_that_find, is_found, markdown, run_matrix};
pub use model::{Told, Verdict, Violation, run_once};
pub use plan::{Mutation, Plan, PlannedFault, Promise, Step, Trouble};
