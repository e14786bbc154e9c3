//! The routing configuration as a router holds it, whatever source it came from.

use crate::regions::AllowedRegions;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may be done with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answered by a stream of events.
    Streaming,
}

/// A service to which a route sends requests, and its part of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A rule that sends requests to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it serves, in lower case.
    pub host: String,
    /// The beginning of the paths that it serves.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is in time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Services that take its requests.
    pub targets: Vec<Target>,
    /// Most back ends to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be taken up at another back end.
    pub resumable: bool,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

impl Route {
    /// Whether a request may run more than once.
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
    /// Requests that run at once.
    pub batch: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Tokens in an event of a stream.
    pub tokens_per_event: u32,
}

/// A service: back ends of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one back end takes from the whole fleet.
    pub max_connections: u32,
    /// Requests a second that a cold back end bears; nothing if it bears as many as a warm one.
    pub cold_rate: Option<f64>,
    /// Limits of its engines, if it serves models.
    pub engine: Option<EngineLimits>,
}

/// A tenant and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank before that of the route, if it has one; 0 is the highest.
    pub priority: Option<u32>,
    /// Regions in which requests of its callers may be served.
    pub regions: AllowedRegions,
}

/// Bounds on what callers send and on the capacity shared by tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection rests.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines make, if known: a token read counts once, one made twice.
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

/// A whole configuration. Versions rise; a higher one replaces a lower one.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutingConfiguration {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its tenants; with none, no request needs a key.
    pub tenants: Vec<Tenant>,
    /// Its limits.
    pub limits: Limits,
}
