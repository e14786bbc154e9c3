//! Status of a cell, for operators.

use mastbay_types::{Cost, TenantName};

/// Status of one tenant in a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStatus {
    /// The tenant.
    pub tenant: TenantName,
    /// Waiting requests, over all gateways.
    pub waiting: u32,
    /// Running requests and unacknowledged grants.
    pub in_flight: u32,
    /// Service received divided by weight, in cost units.
    pub level: f64,
    /// Estimated cost of a request.
    pub estimate: Cost,
}

/// Status of a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct CellStatus {
    /// Slots of back ends that are not leaving.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Number of gateways that report to this scheduler.
    pub gateways: usize,
    /// Tenants with waiting requests, in the order in which they are served next.
    pub backlogged: Vec<TenantStatus>,
}
