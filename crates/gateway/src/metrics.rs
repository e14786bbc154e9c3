//! Prometheus metrics of a gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of the counter of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service; empty if the request was rejected before admission.
    pub service: String,
    /// The tenant; empty if the request was rejected before admission.
    pub tenant: String,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: String,
    /// The stable code of the reason.
    pub code: &'static str,
}

/// Labels of the counter of service received.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
    /// Name of the tenant.
    pub tenant: String,
}

/// Counters, gauges and histograms of a gateway process.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Finished requests, including rejected ones.
    pub requests: Family<RequestLabels, Counter>,
    /// Service received, in the service's cost unit.
    pub service: Family<ServiceLabels, Counter>,
    /// Time that requests waited for a grant, in seconds.
    pub waits: Histogram,
    /// Requests waiting for a grant.
    pub waiting: Gauge,
    /// Requests with a granted slot.
    pub running: Gauge,
    /// Requests queued again after a failed attempt.
    pub retries: Counter,
    /// Streams resumed after a broken connection.
    pub resumed_streams: Counter,
    /// Connections of callers refused at the limit of open connections.
    pub refused_connections: Counter,
    /// Connections of callers closed for a malformed or oversized head.
    pub malformed_requests: Counter,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them under the prefix `mastbay_gateway`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            service: Family::default(),
            waits: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            waiting: Gauge::default(),
            running: Gauge::default(),
            retries: Counter::default(),
            resumed_streams: Counter::default(),
            refused_connections: Counter::default(),
            malformed_requests: Counter::default(),
        };
        let registry = registry.sub_registry_with_prefix("mastbay_gateway");
        registry.register("requests", "Requests that ended", metrics.requests.clone());
        registry.register("service", "Service received, in cost units", metrics.service.clone());
        registry.register(
            "wait_seconds",
            "Seconds that requests waited for a grant",
            metrics.waits.clone(),
        );
        registry.register("waiting", "Requests that wait", metrics.waiting.clone());
        registry.register("running", "Requests that run", metrics.running.clone());
        registry.register("retries", "Requests given to a back end again", metrics.retries.clone());
        registry.register(
            "resumed_streams",
            "Streams gone on with after a break",
            metrics.resumed_streams.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections refused since too many were open",
            metrics.refused_connections.clone(),
        );
        registry.register(
            "malformed_requests",
            "Connections ended for a malformed or oversized head",
            metrics.malformed_requests.clone(),
        );
        metrics
    }
}
