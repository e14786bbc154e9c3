//! The scheduler's view of one gateway.

use crate::messages::TenantReport;
use mastbay_types::{BackendName, Cost, Incarnation, TenantName, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A grant that its gateway has not acknowledged yet.
#[derive(Debug)]
pub(crate) struct UnacknowledgedGrant {
    pub(crate) sequence: u64,
    pub(crate) tenant: TenantName,
    pub(crate) backend: BackendName,
    pub(crate) estimate: Cost,
    pub(crate) sent: Timestamp,
}

/// The state that one gateway reported and the grants sent to it that are not acknowledged yet.
#[derive(Debug)]
pub(crate) struct GatewayView {
    pub(crate) incarnation: Incarnation,
    pub(crate) last_heard: Timestamp,
    /// Whether a grant timed out since the gateway's last report. A silent gateway gets no grants.
    pub(crate) silent: bool,
    pub(crate) tenants: BTreeMap<TenantName, TenantReport>,
    pub(crate) running: BTreeMap<BackendName, u32>,
    next_sequence: u64,
    unacknowledged: VecDeque<UnacknowledgedGrant>,
}

impl GatewayView {
    pub(crate) fn new(incarnation: Incarnation, now: Timestamp) -> Self {
        Self {
            incarnation,
            last_heard: now,
            silent: false,
            tenants: BTreeMap::new(),
            running: BTreeMap::new(),
            next_sequence: 1,
            unacknowledged: VecDeque::new(),
        }
    }

    /// Records a grant and returns its sequence number.
    pub(crate) fn note_grant(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        backend: &BackendName,
        estimate: Cost,
    ) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let (tenant, backend) = (tenant.clone(), backend.clone());
        self.unacknowledged.push_back(UnacknowledgedGrant {
            sequence,
            tenant,
            backend,
            estimate,
            sent: now,
        });
        sequence
    }

    /// Removes and returns the grants up to the sequence number that the gateway acknowledged.
    pub(crate) fn take_acknowledged(&mut self, seen: u64) -> Vec<UnacknowledgedGrant> {
        let count = self.unacknowledged.partition_point(|grant| grant.sequence <= seen);
        self.unacknowledged.drain(..count).collect()
    }

    /// Removes and returns the unacknowledged grants sent before `limit`.
    pub(crate) fn take_sent_before(&mut self, limit: Timestamp) -> Vec<UnacknowledgedGrant> {
        let count = self.unacknowledged.partition_point(|grant| grant.sent < limit);
        self.unacknowledged.drain(..count).collect()
    }

    /// Returns the number of unacknowledged grants to `tenant`.
    pub(crate) fn unacknowledged_of(&self, tenant: &TenantName) -> u32 {
        self.unacknowledged.iter().filter(|grant| grant.tenant == *tenant).count() as u32
    }

    /// Returns the number of waiting requests of `tenant` without an unacknowledged grant; zero for
    /// a silent gateway.
    pub(crate) fn uncovered(&self, tenant: &TenantName) -> u32 {
        let waiting = self.tenants.get(tenant).map_or(0, |report| report.waiting);
        if self.silent { 0 } else { waiting.saturating_sub(self.unacknowledged_of(tenant)) }
    }

    /// Returns all tenants in the gateway's reports.
    pub(crate) fn tenant_names(&self) -> Vec<TenantName> {
        self.tenants.keys().cloned().collect()
    }
}
