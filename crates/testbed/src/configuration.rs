//! Configuration and settings files of a test bed.

use crate::bed::{BedOptions, Machine};
use mastbay_configuration::KeyDigest;
use std::fmt::Write;
use std::net::SocketAddr;

/// Tenant of a test bed.
#[derive(Debug, Clone)]
pub struct TenantDeclaration {
    /// Name, from which [`key_of`] derives its key.
    pub name: String,
    /// Weight of its fair share.
    pub weight: u32,
}

impl TenantDeclaration {
    /// Creates a tenant of weight one.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), weight: 1 }
    }
}

/// Returns the key that callers of a tenant send.
pub fn key_of(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// Returns the tenants as INI text.
pub(crate) fn tenants(options: &BedOptions) -> String {
    let mut text = String::new();
    for tenant in &options.tenants {
        let digest = KeyDigest::of(&key_of(&tenant.name));
        push(&mut text, &format!("[tenant {}]", tenant.name));
        push(&mut text, &format!("weight = {}", tenant.weight));
        push(&mut text, &format!("key-sha256 = {digest}\n"));
    }
    text
}

/// Returns the services as INI text: a model service and three plain ones, one for each
/// application.
pub(crate) fn services() -> String {
    "[service answers]\nkind = model\nmodel = anglers-8b\nrepeatable = yes\ndeadline = 60s\n\n\
     [service permits]\nkind = plain\npath-prefix = /permits\nclaims = required\n\
     deadline = 20s\n\n\
     [service checks]\nkind = plain\npath-prefix = /checks\nclaims = required\n\
     repeatable = yes\ndeadline = 20s\n\n\
     [service confirmations]\nkind = plain\npath-prefix = /confirmations\n\
     claims = when-available\ndeadline = 20s\n"
        .to_owned()
}

/// Returns the back ends as INI text.
pub(crate) fn backends(
    options: &BedOptions,
    engines: &[SocketAddr],
    applications: &[SocketAddr],
) -> String {
    let mut text = String::new();
    for (index, address) in engines.iter().enumerate() {
        let zone = zone(index);
        backend(
            &mut text,
            &format!("engine-{index}"),
            "answers",
            *address,
            zone,
            options.engine_slots,
        );
    }
    for (index, address) in applications.iter().enumerate() {
        let service = ["permits", "checks", "confirmations"][index % 3];
        let name = format!("application-{index}");
        backend(&mut text, &name, service, *address, zone(index), options.application_slots);
    }
    text
}

fn backend(
    text: &mut String,
    name: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: usize,
) {
    push(text, &format!("[backend {name}]"));
    push(text, &format!("service = {service}"));
    push(text, &format!("address = {address}"));
    push(text, &format!("zone = {zone}"));
    push(text, &format!("slots = {slots}\n"));
}

/// Returns the zone of the machine or back end at `index`.
pub(crate) fn zone(index: usize) -> &'static str {
    ["bariloche", "esquel", "neuquen"][index % 3]
}

/// Returns the settings of a gateway as INI text.
pub(crate) fn gateway(machine: &Machine, seeds: &str, platform: SocketAddr, log: &str) -> String {
    let addresses = [machine.gateway_peer, machine.gateway_listen, machine.gateway_admin];
    let shared = shared(machine, seeds, platform, log, addresses);
    format!("{shared}\n[gateway]\naddress = {}\nstop-grace = 100ms\n", machine.callers)
}

/// Returns the settings of a scheduler as INI text.
pub(crate) fn scheduler(machine: &Machine, seeds: &str, platform: SocketAddr, log: &str) -> String {
    let addresses = [machine.scheduler_peer, machine.scheduler_listen, machine.scheduler_admin];
    shared(machine, seeds, platform, log, addresses)
}

fn shared(
    machine: &Machine,
    seeds: &str,
    platform: SocketAddr,
    log: &str,
    [peer, listen, admin]: [SocketAddr; 3],
) -> String {
    format!(
        "[process]\nzone = {}\nlog = {log}\nstop-limit = 30s\n\n\
         [peer]\naddress = {peer}\nlisten = {listen}\nsecret = loopback only\nseeds = {seeds}\n\n\
         [platform]\naddress = {platform}\n\n[admin]\naddress = {admin}\n",
        machine.zone,
    )
}

fn push(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}
