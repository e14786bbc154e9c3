//! Sizes of the messages between routers, as they are encoded.

use mastbay_routing::{
    BackEndId, EngineKey, EngineLevel, EngineLoad, Figures, HEAVIEST_TENANTS, Included,
    LevelCounts, LimitSum, Load, PeerId, PeerMessage, PrefillWork, RouterState, SourceContact,
    Standing, Sum, SumScope, TenantReport,
};
use std::net::SocketAddr;

/// Largest datagram that routers take, in bytes.
const LARGEST_DATAGRAM: usize = 60 << 10;

fn key(engine: usize) -> EngineKey {
    EngineKey::from(&BackEndId::from(format!("engine-{engine}").as_str()))
}

fn load(engine: usize) -> EngineLoad {
    let prefill = PrefillWork { tokens: 31_000, kilopairs: 210_000 };
    let load = Load { running: 12, above_share: 5, prefill, memory: 140_000, unplaced: 2 };
    EngineLoad { engine: key(engine), load }
}

fn level(engine: usize) -> EngineLevel {
    let mut limits = LimitSum::default();
    (0..200).for_each(|_| limits.add(LimitSum::of(Some(11.0))));
    let level = LevelCounts { requests: 420_000, missed: 70_000 };
    EngineLevel { engine: key(engine), limits, level }
}

fn tenant(index: usize) -> TenantReport {
    TenantReport { name: format!("tenant-{index}"), asked: 81_234.5, given: 71_234.5 }
}

/// What an aggregator tells its 63 members of busy engines; with all figures in one round of eight.
fn encoded_sum(engines: usize, tenants: usize, is_full: bool) -> usize {
    let address = SocketAddr::from(([10, 3, 0, 17], 7_500));
    let figures = Figures {
        loads: (0..engines).map(load).collect(),
        levels: is_full.then(|| (0..engines).map(level).collect()),
        tenants: is_full.then(|| (0..tenants).map(tenant).collect()),
        heaviest: if is_full {
            Vec::new()
        } else {
            (0..tenants.min(HEAVIEST_TENANTS)).map(tenant).collect()
        },
        paces: is_full.then(Vec::new),
        releases: Vec::new(),
    };
    let router = RouterState {
        id: PeerId { address, life: u64::MAX },
        sequence: 100_000,
        snapshots: address,
        zone: "junin-andes".to_owned(),
        standing: Standing::Serving,
        processor: 0.5,
        contact: SourceContact::Answered,
        configuration: 1_000,
        back_ends: 100_000.into(),
        evacuations: 100_000.into(),
        rollouts: 0.into(),
        routers: 295,
    };
    let included = (0..63).map(|life| Included { life: u64::MAX - life, sequence: 100_000 });
    let sum = Sum {
        router,
        scope: SumScope::Fleet,
        part: 0,
        parts: 1,
        figures,
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

/// docs/CAPACITY.md names this as what a larger deployment meets first.
#[test]
fn sums_over_a_thousand_engines_fit_a_datagram() {
    let full = encoded_sum(1_000, 400, true);
    assert!(full <= LARGEST_DATAGRAM, "{full} bytes");
}
