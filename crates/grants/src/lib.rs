//! Grants: the scheduler of a cell decides which tenant's request a gateway may send to which back
//! end.
//!
//! Both sides are pure state machines. Gateways report absolute numbers (waiting and running
//! requests, charges), so lost or repeated reports are harmless, and a scheduler without state is
//! complete after one full report from each gateway. Between reports a scheduler tracks the grants
//! that a gateway can't have received yet, by sequence number.

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
