//! A cell's standing, for operators.

use mastbay_types::{Cost, TenantName};

/// One tenant's standing in a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStatus {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that wait over all gateways.
    pub waiting: u32,
    /// Requests that run, or are about to.
    pub in_flight: u32,
    /// Service over weight, in cost units.
    pub level: f64,
    /// Learned cost of a request.
    pub estimate: Cost,
}

/// A cell's standing.
#[derive(Debug, Clone, PartialEq)]
pub struct CellStatus {
    /// Slots of back ends that take work.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Gateways heard.
    pub gateways: usize,
    /// Tenants with work that waits, the one due next first.
    pub backlogged: Vec<TenantStatus>,
}
