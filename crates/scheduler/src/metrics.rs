//! Prometheus metrics of a scheduler.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of the metrics with one series per cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CellLabel {
    /// The cell, in its displayed form.
    pub cell: String,
}

/// Counters and gauges of a scheduler process.
#[derive(Debug, Default)]
pub struct SchedulerMetrics {
    /// Grants sent.
    pub grants: Counter,
    /// Reports received.
    pub reports: Counter,
    /// Slots of the back ends that accept requests.
    pub slots: Family<CellLabel, Gauge>,
    /// Slots in use.
    pub slots_in_use: Family<CellLabel, Gauge>,
    /// Tenants with waiting requests.
    pub backlogged_tenants: Family<CellLabel, Gauge>,
    /// Reads and writes of claim shards.
    pub claim_calls: Counter,
    /// Reads and writes of claim shards that failed or hit a version conflict.
    pub claim_failures: Counter,
}

impl SchedulerMetrics {
    /// Creates the metrics and registers them under the prefix `mastbay_scheduler`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registry = registry.sub_registry_with_prefix("mastbay_scheduler");
        registry.register("grants", "Grants sent", metrics.grants.clone());
        registry.register("reports", "Reports received", metrics.reports.clone());
        registry.register("slots", "Slots of back ends that take work", metrics.slots.clone());
        registry.register("slots_in_use", "Slots in use", metrics.slots_in_use.clone());
        registry.register(
            "backlogged_tenants",
            "Tenants with work that waits",
            metrics.backlogged_tenants.clone(),
        );
        registry.register(
            "claim_calls",
            "Reads and writes of claim shards",
            metrics.claim_calls.clone(),
        );
        registry.register(
            "claim_failures",
            "Calls for claims that failed or met a conflict",
            metrics.claim_failures.clone(),
        );
        metrics
    }
}
