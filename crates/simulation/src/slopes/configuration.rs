//! Configuration against the number of entries.

use mastbay_configuration::{
    Backend, ClaimPolicy, FleetConfiguration, KeyDigest, Part, Root, Service, ServiceKind, Tenant,
};
use mastbay_spread::SpreadMessage;
use mastbay_types::{BackendName, ServiceName, TenantName, Weight};
use std::time::{Duration, Instant};

/// Prints the slope.
pub fn configuration_slope() {
    println!(
        "configuration: entries, parts, bytes of the root, of the change of one entry and of its part, \
         assemble ms, memory"
    );
    for entries in [45, 500, 2_500, 10_000] {
        let configuration = configuration(entries);
        let parts = configuration.to_parts();
        let root = Root::following(None, "a".repeat(32), parts.iter().map(Part::hash).collect());
        let root_bytes = encoded_size(&SpreadMessage::Root { root: Some(root.clone()) });
        let (change_bytes, part_bytes) = change_of_one_tenant(&configuration, &root);
        let by_hash = parts.iter().map(|part| (part.hash(), part.clone())).collect();
        let began = Instant::now();
        let whole = FleetConfiguration::assemble(&root, &by_hash);
        let took = began.elapsed();
        assert!(whole.is_ok_and(|whole| whole == configuration));
        let memory: usize = parts.iter().map(|part| part.bytes.len()).sum();
        println!(
            "{entries:>6} {:>5} {root_bytes:>8} {change_bytes:>8} {part_bytes:>8} {:>8.2} {:>9}",
            parts.len(),
            took.as_secs_f64() * 1e3,
            2 * memory,
        );
    }
}

fn encoded_size(message: &SpreadMessage) -> usize {
    rmp_serde::to_vec(message).map_or(0, |encoded| encoded.len())
}

/// Bytes of the messages that carry the change of one tenant: the root's change, and the part.
fn change_of_one_tenant(configuration: &FleetConfiguration, root: &Root) -> (usize, usize) {
    let mut changed = configuration.clone();
    if let Some(tenant) = changed.tenants.values_mut().next() {
        tenant.most_waiting += 1;
    }
    let parts = changed.to_parts();
    let new: Vec<Part> =
        parts.iter().filter(|part| !root.parts.contains(&part.hash())).cloned().collect();
    let hashes: Vec<_> = parts.iter().map(Part::hash).collect();
    let removed = root.parts.iter().filter(|hash| !hashes.contains(hash)).cloned().collect();
    let change = SpreadMessage::RootChange {
        base: root.generation,
        generation: root.generation.next(),
        apply_id: "a".repeat(32),
        added: new.iter().map(Part::hash).collect(),
        removed,
    };
    (encoded_size(&change), encoded_size(&SpreadMessage::Parts { parts: new }))
}

/// A configuration with a quarter tenants and the rest back ends.
fn configuration(entries: usize) -> FleetConfiguration {
    let mut whole = FleetConfiguration::default();
    for number in 0..12 {
        let service = Service {
            kind: ServiceKind::Model { model: format!("model-{number}") },
            repeatable: true,
            claims: ClaimPolicy::Required,
            deadline: Duration::from_secs(60),
            ahead: None,
        };
        whole.services.insert(ServiceName::from(&*format!("service-{number}")), service);
    }
    for number in 0..entries / 4 {
        let keys = vec![KeyDigest::of(&number.to_string())];
        let tenant = Tenant { weight: Weight::ONE, keys, most_waiting: 100 };
        whole.tenants.insert(TenantName::from(&*format!("tenant-{number}")), tenant);
    }
    for number in 0..entries - entries / 4 {
        let backend = Backend {
            service: ServiceName::from(&*format!("service-{}", number % 12)),
            address: std::net::SocketAddr::from((
                [10, 1, (number / 250) as u8, (number % 250) as u8],
                80,
            )),
            zone: "zone".to_owned(),
            slots: 50,
            checks_fences: false,
            leaving: false,
        };
        whole.backends.insert(BackendName::from(&*format!("engine-{number}")), backend);
    }
    whole
}
