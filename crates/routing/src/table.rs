//! Lookup of the route of a request and the tenant of a key.

use crate::configuration::{Route, RoutingConfiguration, Service, Tenant};
use mastbay_types::short_hash;
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration with indexes for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: RoutingConfiguration,
    routes: Vec<Arc<Route>>,
    /// Hashes of the routes' names, in the order of `routes`.
    keys: Vec<u32>,
    /// Indexes of routes, those with longer path prefixes first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
}

/// The route found for a request.
#[derive(Debug, Clone)]
pub struct TableEntry {
    /// The route.
    pub route: Arc<Route>,
    /// Hash of the route's name.
    pub key: u32,
    /// Version of the configuration.
    pub version: u64,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let routes: Vec<Arc<Route>> = configuration.routes.iter().cloned().map(Arc::new).collect();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            by_key.extend(tenant.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = configuration.services.iter().enumerate();
        let by_service = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let keys = routes.iter().map(|route| short_hash(&[route.name.as_bytes()])).collect();
        Self { configuration, routes, keys, by_host, by_key, by_service }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the indexed configuration.
    pub fn configuration(&self) -> &RoutingConfiguration {
        &self.configuration
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<TableEntry> {
        let host = host_name(host).to_ascii_lowercase();
        let indexes = self.by_host.get(&host)?;
        let found =
            indexes.iter().find(|index| path.starts_with(&self.routes[**index].path_prefix))?;
        let (route, key) = (self.routes[*found].clone(), self.keys[*found]);
        Some(TableEntry { route, key, version: self.version() })
    }

    /// Returns the tenant that a key belongs to.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).map(|index| &self.configuration.tenants[*index])
    }

    /// Returns whether any tenant is configured, so that requests need keys.
    pub fn has_tenants(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_service.get(name).map(|index| &self.configuration.services[*index])
    }
}

/// Strips the port from a host.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl TableEntry {
    /// Returns whether the route sends requests to a service.
    pub fn has_target(&self, service: &str) -> bool {
        let mut targets = self.route.targets.iter();
        targets.any(|target| target.service == service && target.weight > 0)
    }

    /// Selects the service for a request by weight; `draw` is uniform in 0..1. Returns `None` if
    /// the weights add up to zero.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u64 = self.route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw * total as f64;
        for target in &self.route.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        None
    }
}
