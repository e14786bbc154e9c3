//! A request's place: in its queue, then at a back end. Whatever happens to the request, dropping
//! its ticket gives the place back.

use crate::duty::{FinalCost, GatewayDuty};
use crate::request::AcceptedRequest;
use mastbay_attempts::NotRunReason;
use mastbay_grants::Assignment;
use mastbay_types::{CellId, Cost, RequestId, TenantName};
use smol::channel::{Receiver, RecvError};
use std::sync::Arc;

/// A place in a queue or at a back end.
pub struct Ticket {
    duty: Arc<GatewayDuty>,
    cell: CellId,
    tenant: TenantName,
    id: RequestId,
    grant: Receiver<Assignment>,
    counted: Cost,
    over: bool,
}

impl Ticket {
    /// Queues a request.
    pub fn queue(duty: &Arc<GatewayDuty>, request: &AcceptedRequest) -> Result<Self, NotRunReason> {
        let grant = duty.enqueue(request)?;
        Ok(Self {
            duty: duty.clone(),
            cell: request.cell.clone(),
            tenant: request.tenant.clone(),
            id: request.name.id,
            grant,
            counted: Cost::ZERO,
            over: false,
        })
    }

    /// Waits for the grant. Fails if the request will not get one: its service was taken away, or
    /// this gateway stops.
    pub async fn granted(&self) -> Result<Assignment, RecvError> {
        self.grant.recv().await
    }

    /// Gives the place at the back end back and queues the request again, at the head.
    pub fn requeue(&mut self) {
        self.counted = Cost::ZERO;
        self.grant = self.duty.requeue(&self.cell, self.id);
    }

    /// Adds service just received.
    pub fn progress(&mut self, more: Cost) {
        self.counted += more;
        self.duty.progress(&self.cell, &self.tenant, self.id, more);
    }

    /// Ends the request's time at the back end.
    pub fn finish(&mut self, total: Cost, typical: bool) {
        let cost = FinalCost { total, counted: self.counted, typical };
        self.duty.finish(&self.cell, &self.tenant, self.id, cost);
        self.over = true;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            self.duty.give_up(&self.cell, &self.tenant, self.id);
        }
    }
}
