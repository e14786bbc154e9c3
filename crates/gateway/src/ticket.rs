//! The place of a request in its queue and, once granted, its slot at a back end. Dropping the
//! ticket releases both.

use crate::duty::{FinalCost, GatewayDuty};
use crate::request::AcceptedRequest;
use mastbay_attempts::NotRunReason;
use mastbay_grants::Assignment;
use mastbay_types::{CellId, Cost, RequestId, TenantName};
use smol::channel::{Receiver, RecvError};
use std::sync::Arc;

/// Owns the place of one request in a queue or its slot at a back end.
pub struct Ticket {
    duty: Arc<GatewayDuty>,
    cell: CellId,
    tenant: TenantName,
    id: RequestId,
    grant: Receiver<Assignment>,
    counted: Cost,
    finished: bool,
}

impl Ticket {
    /// Queues a request. Fails if the queue of its tenant is full.
    pub fn queue(duty: &Arc<GatewayDuty>, request: &AcceptedRequest) -> Result<Self, NotRunReason> {
        let grant = duty.enqueue(request)?;
        Ok(Self {
            duty: duty.clone(),
            cell: request.cell.clone(),
            tenant: request.tenant.clone(),
            id: request.identity.id,
            grant,
            counted: Cost::ZERO,
            finished: false,
        })
    }

    /// Waits for the grant. Fails if the service was removed from the configuration or this gateway
    /// is stopping.
    pub async fn receive_grant(&self) -> Result<Assignment, RecvError> {
        self.grant.recv().await
    }

    /// Releases the slot and puts the request back at the head of its queue.
    pub fn requeue(&mut self) {
        self.counted = Cost::ZERO;
        self.grant = self.duty.requeue(&self.cell, self.id);
    }

    /// Adds service received since the last call.
    pub fn progress(&mut self, more: Cost) {
        self.counted += more;
        self.duty.progress(&self.cell, &self.tenant, self.id, more);
    }

    /// Releases the slot. `total` is the full cost of the request, and `typical` whether it counts
    /// for the cost estimate of the tenant.
    pub fn finish(&mut self, total: Cost, typical: bool) {
        let cost = FinalCost { total, counted: self.counted, typical };
        self.duty.finish(&self.cell, &self.tenant, self.id, cost);
        self.finished = true;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.finished {
            self.duty.cancel(&self.cell, &self.tenant, self.id);
        }
    }
}
