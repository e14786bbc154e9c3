//! Messages between gateways and schedulers about one cell.

use mastbay_fairness::Level;
use mastbay_types::{BackendName, CellId, Cost, Incarnation, ProcessId, TenantName};
use serde::{Deserialize, Serialize};

/// One tenant's state at one gateway. All counts are absolute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantReport {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that wait for a grant.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Everything charged to the tenant here since the gateway started.
    pub charged: Cost,
    /// Requests that ended here since the gateway started.
    pub finished: u64,
    /// Total cost of the ended requests.
    pub finished_cost: Cost,
    /// Initial state for a scheduler that does not know the tenant; in full reports only.
    pub standing: Option<Standing>,
}

/// The state of a tenant since its last grant at a gateway, from which a new scheduler starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Standing {
    /// The level after that grant. `None` if the tenant has been idle here since: its old level
    /// would give it credit for idle time.
    pub level: Option<Level>,
    /// Cost charged here since that grant.
    pub charged_since: Cost,
    /// The estimate of that grant.
    pub estimate: Cost,
}

/// One back end's state as one gateway sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The back end.
    pub backend: BackendName,
    /// Requests of this gateway that run on the back end.
    pub running: u32,
    /// Whether the gateway failed to connect to it since its last report.
    pub unreachable: bool,
}

/// A gateway's report to the scheduler of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The cell.
    pub cell: CellId,
    /// The gateway's incarnation.
    pub gateway: Incarnation,
    /// The scheduler's incarnation to which `seen` refers; zero before its first message.
    pub scheduler: Incarnation,
    /// Highest grant sequence received from that scheduler.
    pub seen: u64,
    /// Whether all tenants and back ends are listed, or only those that changed.
    pub full: bool,
    /// Whether the gateway requests an answer even without grants.
    pub wants_answer: bool,
    /// Set in the last report to a scheduler: the scheduler that the gateway reports to from now
    /// on.
    pub moved_to: Option<ProcessId>,
    /// Tenants, all or those that changed.
    pub tenants: Vec<TenantReport>,
    /// Back ends, all or those that changed.
    pub backends: Vec<BackendReport>,
}

/// Permission to send one request of `tenant` to `backend`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence number among the grants of this scheduler incarnation to this gateway for this
    /// cell, from 1.
    pub sequence: u64,
    /// The tenant whose request may be sent.
    pub tenant: TenantName,
    /// The back end to which it may be sent.
    pub backend: BackendName,
    /// Cost that the scheduler charged in advance.
    pub estimate: Cost,
    /// The tenant's level after that charge.
    pub level: Level,
}

/// A scheduler's message to a gateway. Also answers a report when empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The cell.
    pub cell: CellId,
    /// The scheduler's incarnation.
    pub scheduler: Incarnation,
    /// Whether the scheduler does not know this gateway and needs a full report.
    pub needs_full: bool,
    /// Set after the cell was handed over: the scheduler to report to.
    pub moved_to: Option<ProcessId>,
    /// The grants.
    pub grants: Vec<Grant>,
}
