//! The settings that only gateways have.

use mastbay_settings::{Bounded, Document, Faults, Span};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the section `[gateway]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// `address`: listen address for callers.
    pub address: SocketAddr,
    /// `body-limit`: maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// `answer-limit`: maximum size of the body of an answer that is not streamed, in bytes.
    pub answer_limit: usize,
    /// `head-limit`: maximum size of a request head, in bytes.
    pub head_limit: usize,
    /// `most-connections`: maximum number of open connections of callers.
    pub max_connections: usize,
    /// `connect-limit`: timeout for opening a connection to a back end.
    pub connect_timeout: Duration,
    /// `most-attempts`: maximum number of attempts for a request, including the first.
    pub max_attempts: u32,
    /// `stop-grace`: time between reporting "not ready" to the load balancer and closing
    /// the listen address.
    pub stop_grace: Duration,
    /// `journal`: number of recent requests kept for `mastbayctl explain`.
    pub journal_capacity: usize,
}

/// Name of the section in the settings file.
pub const SECTION: &str = "gateway";

const DEFAULT_BODY_LIMIT: u64 = 1 << 20;
const DEFAULT_ANSWER_LIMIT: u64 = 16 << 20;
const DEFAULT_HEAD_LIMIT: u64 = 32 << 10;
const DEFAULT_MAX_CONNECTIONS: u64 = 10_000;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_MAX_ATTEMPTS: u64 = 4;
const DEFAULT_STOP_GRACE: Duration = Duration::from_millis(500);
const DEFAULT_JOURNAL_CAPACITY: u64 = 4_096;

/// Parses the section and adds invalid settings to `faults`. Returns `None` without a valid
/// `address`.
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
        section.or("most-connections", Bounded(DEFAULT_MAX_CONNECTIONS));
    let connect: Span<1, 60_000> = section.or("connect-limit", Span(DEFAULT_CONNECT_TIMEOUT));
    let attempts: Bounded<1, 100> = section.or("most-tries", Bounded(DEFAULT_MAX_ATTEMPTS));
    let grace: Span<0, 600_000> = section.or("stop-grace", Span(DEFAULT_STOP_GRACE));
    let journal: Bounded<0, 1_000_000> = section.or("journal", Bounded(DEFAULT_JOURNAL_CAPACITY));
    section.finish();
    Some(GatewaySettings {
        address: address?,
        body_limit: body_limit.0 as usize,
        answer_limit: answer_limit.0 as usize,
        head_limit: head_limit.0 as usize,
        max_connections: connections.0 as usize,
        connect_timeout: connect.0,
        max_attempts: attempts.0 as u32,
        stop_grace: grace.0,
        journal_capacity: journal.0 as usize,
    })
}
