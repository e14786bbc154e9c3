//! Settings common to gateways and schedulers.

use mastbay_settings::{Document, Faults, Name, Span};
use mastbay_types::ProcessId;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings common to all processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// `[process] zone`: the zone of the process.
    pub zone: String,
    /// `[process] log`: log filter, such as `info`.
    pub log: String,
    /// `[process] otlp`: collector to which spans are exported by OTLP over HTTP, if any.
    pub otlp: Option<SocketAddr>,
    /// `[process] stop-limit`: time limit of a graceful shutdown.
    pub stop_limit: Duration,
    /// `[peer] address`: address at which peers reach the process; also its id.
    pub peer_address: SocketAddr,
    /// `[peer] listen`: listening address for peers; defaults to `address`.
    pub peer_listen: SocketAddr,
    /// `[peer] secret`: secret shared by all processes of the fleet.
    pub peer_secret: String,
    /// `[peer] seeds`: peers contacted to join the fleet.
    pub seeds: Vec<ProcessId>,
    /// `[platform] address`: address of the platform's object API.
    pub platform_address: SocketAddr,
    /// `[platform] answer-limit`: timeout of requests to the platform.
    pub platform_limit: Duration,
    /// `[admin] address`: listening address for health, metrics and status.
    pub admin_address: SocketAddr,
}

/// Sections read by [`read_node_settings`].
pub const NODE_SECTIONS: [&str; 4] = ["process", "peer", "platform", "admin"];

const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(600);
const DEFAULT_PLATFORM_LIMIT: Duration = Duration::from_millis(1_000);

/// Reads the common sections of a settings file. Faults are added to `faults`; returns `None` if a
/// required value is missing or invalid.
pub fn read_node_settings(document: &Document, faults: &mut Faults) -> Option<NodeSettings> {
    let mut process = document.section("process", faults);
    let zone: Option<Name> = process.required("zone");
    let log: String = process.or("log", "info".to_owned());
    let otlp: Option<SocketAddr> = process.optional("otlp");
    let stop_limit: Span<100, 86_400_000> = process.or("stop-limit", Span(DEFAULT_STOP_LIMIT));
    process.finish();

    let mut peer = document.section("peer", faults);
    let peer_address: Option<SocketAddr> = peer.required("address");
    let peer_listen: Option<SocketAddr> = peer.optional("listen");
    let peer_secret: Option<String> = peer.required("secret");
    let seeds: Vec<SocketAddr> = peer.list("seeds");
    peer.finish();

    let mut platform = document.section("platform", faults);
    let platform_address: Option<SocketAddr> = platform.required("address");
    let platform_limit: Span<10, 60_000> =
        platform.or("answer-limit", Span(DEFAULT_PLATFORM_LIMIT));
    platform.finish();

    let mut admin = document.section("admin", faults);
    let admin_address: Option<SocketAddr> = admin.required("address");
    admin.finish();

    Some(NodeSettings {
        zone: zone?.0,
        log,
        otlp,
        stop_limit: stop_limit.0,
        peer_address: peer_address?,
        peer_listen: peer_listen.or(peer_address)?,
        peer_secret: peer_secret?,
        seeds: seeds.iter().map(|seed| ProcessId::from(&*seed.to_string())).collect(),
        platform_address: platform_address?,
        platform_limit: platform_limit.0,
        admin_address: admin_address?,
    })
}
