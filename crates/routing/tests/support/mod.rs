//! Builders of dispatchers, back ends, requests and configurations for the tests of this crate.
#![allow(dead_code, missing_docs)]

pub mod directory_view;
pub mod engine_model;
pub mod fair_rule;
pub mod fleet;
pub mod quarantined_fleet;
pub mod sourced_fleet;
pub mod tenants_day;

use mastbay_routing::{
    AllowedRegions, BackEnd, BackEndId, BackEndList, BackEndState, BudgetLimits, Demand, Digest,
    Dispatcher, DispatcherLimits, EngineLimits, ExposureLimits, Limits, PeerId, Policy, Prompt,
    PromptPart, RouterPhase, RoutingConfiguration, Service, WarmupLimits, ZoneRegions,
};
use mastbay_types::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A service whose back ends are engines.
pub const MODEL: &str = "model";
/// A service whose back ends do not run a model.
pub const PLAIN: &str = "plain";

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

pub fn peer(host: u8) -> PeerId {
    PeerId { address: address(host), incarnation: u64::from(host) }
}

pub fn limits() -> DispatcherLimits {
    DispatcherLimits {
        zone: "a".to_owned(),
        regions: ZoneRegions::default(),
        share_window: Duration::from_secs(4),
        budget: BudgetLimits::default(),
        burst_from: Timestamp::ZERO,
        processor: 1.0,
        exposure: ExposureLimits::default(),
        warmup: WarmupLimits::default(),
        most_waiting: 50,
        policy: Policy::default(),
    }
}

pub fn back_end(name: &str, service: &str, slots: u32) -> BackEnd {
    BackEnd {
        id: BackEndId::from(name),
        service: service.to_owned(),
        address: address(200),
        zone: "a".to_owned(),
        version: "1".into(),
        slots,
        state: BackEndState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// A list of ready engines of [`MODEL`], named `e0`, `e1` and so on.
pub fn list(revision: u64, engines: usize, slots: u32) -> BackEndList {
    let back_ends = (0..engines).map(|index| back_end(&format!("e{index}"), MODEL, slots));
    BackEndList { revision: revision.into(), back_ends: back_ends.collect() }
}

pub fn configuration(capacity: Option<u64>) -> RoutingConfiguration {
    let engine =
        EngineLimits { batch: 8, memory_tokens: 1_000_000, tokens_per_event: 4, transfer: None };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        max_connections: 100,
        cold_rate: None,
        engine,
    };
    let (model, plain) = (service(MODEL, Some(engine)), service(PLAIN, None));
    RoutingConfiguration {
        version: 1,
        services: vec![model, plain],
        limits: Limits { tokens_per_second: capacity, ..Limits::default() },
        ..RoutingConfiguration::default()
    }
}

pub fn dispatcher(host: u8, engines: usize, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(limits(), peer(host), address(host));
    dispatcher.on_configuration(&configuration(None));
    dispatcher.on_back_ends(Timestamp::ZERO, &list(1, engines, slots));
    dispatcher
}

/// A prompt that shares its prefix with all prompts of the same `prefix`, followed by a part that
/// is unique to `request`.
pub fn prompt(prefix: u64, request: u64, request_tokens: u32) -> Prompt {
    let parts = vec![
        PromptPart { id: 1, tokens: 100 },
        PromptPart { id: 1_000 + prefix, tokens: 1_000 },
        PromptPart { id: 1_000_000 + request, tokens: request_tokens },
    ];
    Prompt {
        parts,
        input_tokens: 1_100 + request_tokens,
        max_output_tokens: 100,
        output_hint: None,
    }
}

pub fn demand(now: Timestamp, prompt: Option<Prompt>, tenant: &str) -> Demand {
    Demand {
        service: if prompt.is_some() { MODEL } else { PLAIN }.to_owned(),
        prompt,
        arrived: now,
        deadline: now + Duration::from_secs(10),
        objective: Duration::from_millis(400),
        pause_objective: None,
        priority: 1,
        tenant: Some(Arc::from(tenant)),
        regions: AllowedRegions::default(),
        route: 1,
        tried: Vec::new(),
        version: None,
        suspect: None,
    }
}

/// Delivers a digest of every dispatcher to all of them.
pub fn exchange_digests(now: Timestamp, fleet: &mut [Dispatcher]) {
    let digests: Vec<Digest> =
        fleet.iter_mut().map(|dispatcher| dispatcher.digest(now, RouterPhase::Serving)).collect();
    for dispatcher in fleet.iter_mut() {
        for digest in &digests {
            dispatcher.on_digest(now, digest.clone());
        }
    }
}
