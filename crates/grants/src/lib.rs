//! Grants: the scheduler of a cell tells gateways which tenant's request may go to which back end.
//!
//! Both sides are pure state machines. Everything a gateway reports is an absolute number (what
//! waits, what runs, what was charged), so a lost or repeated report does no harm, and a scheduler
//! that starts with empty state is whole again after one full report from each gateway. Between
//! reports a scheduler counts the grants that a gateway can't yet have seen, by sequence number.

mod ahead;
mod cell;
mod contact;
mod demand;
mod gateway_view;
mod ledger;
mod messages;
mod slots;
mod status;
mod tenants;

pub use cell::{Cell, CellConfig};
pub use contact::ContactConfig;
pub use demand::{Assignment, Demand, DemandConfig};
pub use messages::{BackendReport, Grant, Grants, Report, Standing, TenantReport};
pub use status::{CellStatus, TenantStatus};

#[cfg(test)]
mod tests;
