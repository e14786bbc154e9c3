//! Events of the registry of the fleet's routers.

use mastbay_routing::Registrations;

/// Logs that this router has read the registry.
pub fn registry_read(registry: &Registrations) {
    tracing::info!(
        event = "registry_read",
        revision = %registry.revision,
        routers = registry.routers.len(),
    );
}

/// Logs that this router has changed the registry, which was at the logged revision before.
pub fn registry_written(registry: &Registrations) {
    tracing::info!(
        event = "registry_written",
        revision = %registry.revision,
        routers = registry.routers.len(),
    );
}
