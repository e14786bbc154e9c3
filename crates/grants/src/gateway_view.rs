//! What a scheduler knows of one gateway.

use crate::messages::TenantReport;
use mastbay_types::{BackendName, Cost, Incarnation, TenantName, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A grant that its gateway can't have seen yet.
#[derive(Debug)]
pub(crate) struct UnseenGrant {
    pub(crate) sequence: u64,
    pub(crate) tenant: TenantName,
    pub(crate) backend: BackendName,
    pub(crate) estimate: Cost,
    pub(crate) sent: Timestamp,
}

/// What one gateway reported, and what was granted to it since.
#[derive(Debug)]
pub(crate) struct GatewayView {
    pub(crate) incarnation: Incarnation,
    pub(crate) last_heard: Timestamp,
    /// Whether a grant timed out since the gateway was last heard: it gets none till it speaks.
    pub(crate) silent: bool,
    pub(crate) tenants: BTreeMap<TenantName, TenantReport>,
    pub(crate) running: BTreeMap<BackendName, u32>,
    next_sequence: u64,
    unseen: VecDeque<UnseenGrant>,
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
            unseen: VecDeque::new(),
        }
    }

    /// Notes a grant and gives its sequence number.
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
        self.unseen.push_back(UnseenGrant { sequence, tenant, backend, estimate, sent: now });
        sequence
    }

    /// Takes out the grants that the gateway has seen.
    pub(crate) fn take_seen(&mut self, seen: u64) -> Vec<UnseenGrant> {
        let count = self.unseen.partition_point(|grant| grant.sequence <= seen);
        self.unseen.drain(..count).collect()
    }

    /// Takes out the grants sent before `limit`.
    pub(crate) fn take_sent_before(&mut self, limit: Timestamp) -> Vec<UnseenGrant> {
        let count = self.unseen.partition_point(|grant| grant.sent < limit);
        self.unseen.drain(..count).collect()
    }

    /// Grants to `tenant` that the gateway can't have seen yet.
    pub(crate) fn unseen_of(&self, tenant: &TenantName) -> u32 {
        self.unseen.iter().filter(|grant| grant.tenant == *tenant).count() as u32
    }

    /// Requests of `tenant` that wait and that no grant under way covers.
    pub(crate) fn uncovered(&self, tenant: &TenantName) -> u32 {
        let waiting = self.tenants.get(tenant).map_or(0, |report| report.waiting);
        if self.silent { 0 } else { waiting.saturating_sub(self.unseen_of(tenant)) }
    }

    /// All tenants that the gateway reported on.
    pub(crate) fn tenant_names(&self) -> Vec<TenantName> {
        self.tenants.keys().cloned().collect()
    }
}
