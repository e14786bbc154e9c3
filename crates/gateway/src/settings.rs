//! Settings of a gateway beyond the shared ones.

use mastbay_settings::{Bounded, Document, Faults, Span};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the section `[gateway]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// `address`: where callers connect.
    pub address: SocketAddr,
    /// `body-limit`: largest body of a request, in bytes.
    pub body_limit: usize,
    /// `answer-limit`: largest body of an answer that is not a stream, in bytes.
    pub answer_limit: usize,
    /// `head-limit`: largest head of a request, in bytes.
    pub head_limit: usize,
    /// `most-connections`: callers' connections open at a time.
    pub most_connections: usize,
    /// `connect-limit`: time to open a connection to a back end.
    pub connect_limit: Duration,
    /// `most-tries`: times that a request is given to a back end.
    pub most_tries: u32,
    /// `stop-grace`: time between telling the balancer "not ready" and closing the address.
    pub stop_grace: Duration,
    /// `journal`: requests remembered for `mastbayctl explain`.
    pub journal: usize,
}

/// The section's name.
pub const SECTION: &str = "gateway";

const DEFAULT_BODY_LIMIT: u64 = 1 << 20;
const DEFAULT_ANSWER_LIMIT: u64 = 16 << 20;
const DEFAULT_HEAD_LIMIT: u64 = 32 << 10;
const DEFAULT_CONNECTIONS: u64 = 10_000;
const DEFAULT_CONNECT_LIMIT: Duration = Duration::from_millis(500);
const DEFAULT_TRIES: u64 = 4;
const DEFAULT_STOP_GRACE: Duration = Duration::from_millis(500);
const DEFAULT_JOURNAL: u64 = 4_096;

/// Reads the section.
pub fn read(document: &Document, faults: &mut Faults) -> Option<GatewaySettings> {
    let mut section = document.section(SECTION, faults);
    let address: Option<SocketAddr> = section.required("address");
    let body_limit: Bounded<1, 1_073_741_824> =
        section.or("body-limit", Bounded(DEFAULT_BODY_LIMIT));
    let answer_limit: Bounded<1, 1_073_741_824> =
        section.or("answer-limit", Bounded(DEFAULT_ANSWER_LIMIT));
    let head_limit: Bounded<8_192, 1_048_576> =
        section.or("head-limit", Bounded(DEFAULT_HEAD_LIMIT));
    let connections: Bounded<1, 1_000_000> =
        section.or("most-connections", Bounded(DEFAULT_CONNECTIONS));
    let connect: Span<1, 60_000> = section.or("connect-limit", Span(DEFAULT_CONNECT_LIMIT));
    let tries: Bounded<1, 100> = section.or("most-tries", Bounded(DEFAULT_TRIES));
    let grace: Span<0, 600_000> = section.or("stop-grace", Span(DEFAULT_STOP_GRACE));
    let journal: Bounded<0, 1_000_000> = section.or("journal", Bounded(DEFAULT_JOURNAL));
    section.finish();
    Some(GatewaySettings {
        address: address?,
        body_limit: body_limit.0 as usize,
        answer_limit: answer_limit.0 as usize,
        head_limit: head_limit.0 as usize,
        most_connections: connections.0 as usize,
        connect_limit: connect.0,
        most_tries: tries.0 as u32,
        stop_grace: grace.0,
        journal: journal.0 as usize,
    })
}
