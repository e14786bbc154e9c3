//! Metrics of a gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of requests that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, empty where none was found.
    pub service: String,
    /// The tenant, empty where none was recognised.
    pub tenant: String,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: String,
    /// The stable code of the reason.
    pub code: &'static str,
}

/// Labels of service received.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
    /// The tenant.
    pub tenant: String,
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Service received, in the service's cost unit.
    pub service: Family<ServiceLabels, Counter>,
    /// Seconds that requests waited for a grant.
    pub waits: Histogram,
    /// Requests that wait.
    pub waiting: Gauge,
    /// Requests that run.
    pub running: Gauge,
    /// Times that a request was given to another back end, or to the same one again.
    pub retries: Counter,
    /// Streams gone on with after a break.
    pub resumed_streams: Counter,
    /// Callers' connections refused since too many were open.
    pub refused_connections: Counter,
    /// Callers' connections ended for a malformed or oversized head.
    pub malformed_requests: Counter,
}

impl GatewayMetrics {
    /// Metrics registered under the prefix `mastbay_gateway`.
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
