//! Encoded sizes of the messages between routers.

use mastbay_routing::{
    BackEndId, Digest, EngineKey, EngineLoad, EnginePerformanceReport, EngineServiceLevel,
    HEAVIEST_TENANTS, IncludedDigest, LimitSum, Load, LoadStats, MAX_REPORTED_PREFIXES, PeerId,
    PeerMessage, PerformanceCounts, PrefillWork, PrefixRate, RouterPhase, RouterState,
    ServiceLevelCounts, SourceContact, Sum, SumScope, TenantReport,
};
use quickcheck::quickcheck;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

/// Largest datagram that routers accept, in bytes.
const MAX_DATAGRAM: usize = 60 << 10;

fn key(engine: usize) -> EngineKey {
    EngineKey::from(&BackEndId::from(format!("engine-{engine}").as_str()))
}

fn load(engine: usize) -> EngineLoad {
    let prefill = PrefillWork { tokens: 31_000, kilopairs: 210_000 };
    let load = Load { running: 12, above_share: 5, prefill, memory: 140_000, unplaced: 2 };
    EngineLoad { engine: key(engine), load }
}

fn level(engine: usize) -> EngineServiceLevel {
    let mut limits = LimitSum::default();
    (0..200).for_each(|_| limits.add(LimitSum::of(Some(11.0))));
    let level = ServiceLevelCounts { requests: 420_000, missed: 70_000 };
    EngineServiceLevel { engine: key(engine), limits, level }
}

fn tenant(index: usize) -> TenantReport {
    TenantReport { name: format!("tenant-{index}"), asked: 81_234.5, given: 71_234.5 }
}

fn router_state(address: SocketAddr) -> RouterState {
    RouterState {
        id: PeerId { address, incarnation: u64::MAX },
        sequence: 100_000,
        snapshots: address,
        zone: "junin-andes".to_owned(),
        phase: RouterPhase::Serving,
        processor: 0.5,
        contact: SourceContact::Answered,
        configuration: 1_000,
        back_ends: 100_000.into(),
        evacuations: 100_000.into(),
        rollouts: 0.into(),
        routers: 295,
    }
}

fn prefix(index: usize) -> PrefixRate {
    PrefixRate { prefix: u64::MAX - index as u64, rate: 1_234.5, slots: 1_234.5 }
}

/// Encoded length of the sum that an aggregator sends to its 63 members when all engines are busy.
/// A full sum, with all load statistics, goes out in one round of eight.
fn encoded_sum(engines: usize, tenants: usize, is_full: bool) -> usize {
    let address = SocketAddr::from(([10, 3, 0, 17], 7_500));
    let stats = LoadStats {
        loads: (0..engines).map(load).collect(),
        service_levels: is_full.then(|| (0..engines).map(level).collect()),
        tenants: is_full.then(|| (0..tenants).map(tenant).collect()),
        heaviest: if is_full {
            Vec::new()
        } else {
            (0..tenants.min(HEAVIEST_TENANTS)).map(tenant).collect()
        },
        event_intervals: is_full.then(Vec::new),
        releases: Vec::new(),
        prefixes: is_full.then(|| (0..MAX_REPORTED_PREFIXES).map(prefix).collect()),
        ..LoadStats::default()
    };
    let router = router_state(address);
    let included = (0..63).map(|incarnation| IncludedDigest {
        incarnation: u64::MAX - incarnation,
        sequence: 100_000,
    });
    let sum = Sum {
        router,
        scope: SumScope::Fleet,
        part: 0,
        parts: 1,
        stats,
        source_answers: true,
        shedding: 0,
        included: included.collect(),
    };
    rmp_serde::to_vec(&PeerMessage::Sum(sum)).expect("encoded").len()
}

#[test]
fn sums_over_160_engines_are_a_few_kilobytes() {
    let (brief, full) = (encoded_sum(160, 60, false), encoded_sum(160, 60, true));
    assert!(brief <= 6_000, "{brief} bytes");
    assert!(full <= 12_000, "{full} bytes");
}

/// docs/CAPACITY.md names this as the first limit that a larger deployment reaches.
#[test]
fn sums_over_a_thousand_engines_fit_a_datagram() {
    let full = encoded_sum(1_000, 400, true);
    assert!(full <= MAX_DATAGRAM, "{full} bytes");
}

/// The performance of engines is sent in other rounds than service levels and all tenants, as both
/// do not fit a datagram.
#[test]
fn sums_with_the_performance_of_engines_fit_a_datagram() {
    let encoded = |engines: usize| {
        // Twelve streams of an event in 50 ms.
        let counts = PerformanceCounts {
            first_events: 6_000,
            predicted_ms: 18_000,
            observed_ms: 21_000,
            events: 240_000,
            interval_ms: 120_000,
            pauses: 700,
        };
        let report = |engine| EnginePerformanceReport { engine: key(engine), counts };
        rmp_serde::to_vec(&(0..engines).map(report).collect::<Vec<_>>()).expect("encoded").len()
    };
    assert!(encoded(112) <= 112 * 32, "{} bytes", encoded(112));
    let largest = encoded_sum(900, 400, false) + encoded(900);
    assert!(largest <= MAX_DATAGRAM, "{largest} bytes");
}

/// Hello to a new peer, with the addresses of other routers.
fn hello(peers: Vec<SocketAddr>) -> PeerMessage {
    let router = router_state(SocketAddr::from(([10, 3, 0, 17], 7_500)));
    PeerMessage::Digest(Digest { router, stats: None, is_member: false, peers })
}

fn length(message: &PeerMessage) -> usize {
    rmp_serde::to_vec(message).expect("encoded").len()
}

// Addresses of peers are the largest part of a hello, and a starting fleet exchanges many of them.
#[test]
fn an_address_of_a_fleet_takes_five_bytes() {
    let host = |index: u8| SocketAddr::from(([10, 3, index, 200 + index], 7_500));
    let peers: Vec<SocketAddr> = (0..30).map(host).collect();
    let addresses = length(&hello(peers)) - length(&hello(Vec::new()));
    assert!(addresses <= 30 * 5 + 8, "{addresses} bytes");
}

quickcheck! {
    fn all_addresses_are_decoded(hosts: Vec<(u32, u16)>, others: Vec<(u128, u16)>) -> bool {
        let hosts = hosts.iter().map(|(host, port)| SocketAddr::from((Ipv4Addr::from(*host), *port)));
        let others =
            others.iter().map(|(host, port)| SocketAddr::from((Ipv6Addr::from(*host), *port)));
        let peers: Vec<SocketAddr> = others.chain(hosts).collect();
        let bytes = rmp_serde::to_vec(&hello(peers.clone())).expect("encoded");
        let PeerMessage::Digest(read) = rmp_serde::from_slice(&bytes).expect("decoded") else {
            return false;
        };
        BTreeSet::from_iter(read.peers) == BTreeSet::from_iter(peers)
    }
}
