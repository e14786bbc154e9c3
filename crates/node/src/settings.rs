//! Settings that gateways and schedulers share.

use mastbay_settings::{Document, Faults, Name, Span};
use mastbay_types::ProcessId;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of every process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// `[process] zone`: the zone that the process stands in.
    pub zone: String,
    /// `[process] log`: log filter, such as `info`.
    pub log: String,
    /// `[process] otlp`: collector that spans are sent to by OTLP over HTTP, if any.
    pub otlp: Option<SocketAddr>,
    /// `[process] stop-limit`: time that a planned stop may take.
    pub stop_limit: Duration,
    /// `[peer] address`: where peers reach the process; also its name.
    pub peer_address: SocketAddr,
    /// `[peer] listen`: where the process listens for peers, if that is another address.
    pub peer_listen: SocketAddr,
    /// `[peer] secret`: shared by all processes of the fleet.
    pub peer_secret: String,
    /// `[peer] seeds`: peers asked for members at the start.
    pub seeds: Vec<ProcessId>,
    /// `[platform] address`: the platform's object API.
    pub platform_address: SocketAddr,
    /// `[platform] answer-limit`: time that the platform has for each answer.
    pub platform_limit: Duration,
    /// `[admin] address`: health, metrics and status.
    pub admin_address: SocketAddr,
}

/// Sections read by [`read_node_settings`].
pub const NODE_SECTIONS: [&str; 4] = ["process", "peer", "platform", "admin"];

const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(600);
const DEFAULT_PLATFORM_LIMIT: Duration = Duration::from_millis(1_000);

/// Reads the shared sections of a settings file. `None` if something required is missing or wrong;
/// `faults` says what.
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
