//! The routing configuration, independent of the source that it comes from.

use crate::regions::AllowedRegions;
use crate::transfer::TransferLimits;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the requests of a route may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run at most once.
    Unsafe,
    /// Requests are answered with a stream of events.
    Streaming,
}

/// A service that receives requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A rule that maps requests to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// How its requests may be executed.
    pub kind: RouteKind,
    /// Maximum time for which a request is held.
    pub timeout: Duration,
    /// Time within which the answer or the first event of a stream is in time.
    pub objective: Duration,
    /// Maximum time between two events of a stream that is in time.
    pub pause_objective: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that receive its requests.
    pub targets: Vec<Target>,
    /// Maximum number of back ends that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another back end.
    pub resumable: bool,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Limits of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Maximum number of requests that run concurrently.
    pub batch: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Number of tokens per streamed event.
    pub tokens_per_event: u32,
    /// Properties of prefix transfers; `None` if the engines have no transfers.
    #[serde(default)]
    pub transfer: Option<TransferLimits>,
}

/// A service: a set of equivalent back ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections from the whole fleet to one back end.
    pub max_connections: u32,
    /// Requests a second that a cold back end sustains; `None` if as many as a warm one.
    pub cold_rate: Option<f64>,
    /// Limits of its engines, if it serves models.
    pub engine: Option<EngineLimits>,
}

/// A tenant and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Keys that authenticate its callers.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

/// Limits on requests and connections of callers, and the capacity shared by tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection stays idle.
    pub idle_timeout: Duration,
    /// Capacity of all engines in tokens a second, if known. An input token counts once, an output
    /// token twice.
    pub tokens_per_second: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: None,
        }
    }
}

/// A complete configuration. One with a higher version replaces one with a lower version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutingConfiguration {
    /// Version number.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The tenants; without any, no request needs a key.
    pub tenants: Vec<Tenant>,
    /// Limits on callers and the shared capacity.
    pub limits: Limits,
}
