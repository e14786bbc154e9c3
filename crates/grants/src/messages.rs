//! What gateways and schedulers tell each other about one cell.

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
    /// What those cost together.
    pub finished_cost: Cost,
    /// What a scheduler that does not know the tenant starts from; in full reports only.
    pub standing: Option<Standing>,
}

/// A tenant's standing as a gateway remembers it from its last grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Standing {
    /// The level after that grant. `None` if the tenant had nothing to do here since: its old level
    /// would be credit for idle time.
    pub level: Option<Level>,
    /// What was charged here since that grant.
    pub charged_since: Cost,
    /// The estimate of that grant.
    pub estimate: Cost,
}

/// One back end's state as one gateway sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The back end.
    pub backend: BackendName,
    /// Requests of this gateway that run there.
    pub running: u32,
    /// Whether the gateway just failed to connect to it.
    pub unreachable: bool,
}

/// A gateway's report to the scheduler of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The cell.
    pub cell: CellId,
    /// The gateway's life.
    pub gateway: Incarnation,
    /// The scheduler's life that `seen` counts grants of; zero if none was heard.
    pub scheduler: Incarnation,
    /// Highest grant sequence received from that scheduler.
    pub seen: u64,
    /// Whether everything is listed; otherwise only what changed.
    pub full: bool,
    /// Whether the gateway asks for an answer even if there is nothing to grant.
    pub wants_answer: bool,
    /// Set in the last report to a scheduler: whom the gateway reports to from now on.
    pub moved_to: Option<ProcessId>,
    /// Tenants, all or those that changed.
    pub tenants: Vec<TenantReport>,
    /// Back ends, all or those that changed.
    pub backends: Vec<BackendReport>,
}

/// Leave to send one request of `tenant` to `backend`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Position among the grants of this scheduler's life to this gateway for this cell, from 1.
    pub sequence: u64,
    /// Whose request may go.
    pub tenant: TenantName,
    /// Where to.
    pub backend: BackendName,
    /// What the scheduler charged in advance.
    pub estimate: Cost,
    /// The tenant's level after that charge.
    pub level: Level,
}

/// A scheduler's message to a gateway. Also answers a report when empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The cell.
    pub cell: CellId,
    /// The scheduler's life.
    pub scheduler: Incarnation,
    /// Whether the scheduler does not know this gateway and needs a full report.
    pub needs_full: bool,
    /// Set when the cell was handed over: the scheduler to report to.
    pub moved_to: Option<ProcessId>,
    /// The grants.
    pub grants: Vec<Grant>,
}
