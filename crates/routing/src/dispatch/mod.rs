//! Selects the back end for each request: placement, waiting and refusal.
//!
//! Each router decides on its own, from its own load at each back end and the load that its peers
//! last reported.

mod admission;
mod aggregation;
mod announced;
mod back_end_changes;
mod candidate;
mod cold_engines;
mod engines;
mod event_intervals;
mod fair_level;
mod fleet;
mod fleet_admission;
mod freed_slots;
mod messages;
mod origins;
mod overflow;
mod peers;
mod performance;
mod placement;
mod preferred_engines;
mod prefix_ranks;
mod progress;
mod ranked_speeds;
mod ranking_cost;
mod registry;
mod releases;
mod reservation;
mod retries;
mod reuse;
mod rollout_request;
mod running;
mod sharing;
mod silence;
mod source;
mod suspects;
mod transfers;

use crate::announcements::Announcements;
use crate::back_end::{BackEnd, BackEndId};
use crate::budget::RetryBudget;
use crate::concurrency::UnloadedEventInterval;
use crate::configuration::{EngineLimits, RoutingConfiguration};
use crate::demand::{Demand, TicketId};
use crate::digest::PeerId;
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::evacuation::EvacuatedZones;
use crate::first_event::FirstEventEstimator;
use crate::gossip::GossipQueue;
use crate::load::Load;
use crate::policy::Policy;
use crate::prefix_demand::PrefixDemand;
use crate::quarantine::{ProbeSlot, Relaying};
use crate::revision::Revision;
use crate::rollout::RolloutRegistry;
use crate::shares::Usage;
use crate::silence::SilentBackEnds;
use crate::source_watchers::SourceContact;
use crate::stream_origin::{OriginHistory, WithheldVersions};
use crate::suspect::Suspect;
use crate::transfer::{PrefixHolders, TransferSources};
use crate::waiting::WaitingQueue;
use cold_engines::HeldColdEngines;
use engines::Engines;
use fair_level::Shares;
use fleet::Fleet;
use fleet_admission::FleetAdmission;
use freed_slots::FreedSlots;
use mastbay_types::Timestamp;
use overflow::FailedSamples;
use performance::FleetPerformance;
use preferred_engines::PreferredEngines;
use ranked_speeds::RankedSpeeds;
use running::Running;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

pub use aggregation::Role;
pub use fleet::{
    EARLY_ROUND_PERIOD, HEAVIEST_TENANTS, NewPeer, ROUND_PERIOD, Registrations, RegistryNotice,
};
pub use messages::{
    Admission, AdmissionResults, DispatcherLimits, ExcludedBackEnds, Placement, Refusal,
    RefusalDetails, RefusalReason,
};
pub use performance::SpeedChange;
pub use retries::{FleetCount, RetryStatus, RouterCounts};

/// Time constants of tenants' rates in a share window. A longer mean tells of the past after a jump:
/// a tenant that returns passes as one below its share, and those served meanwhile as above theirs.
const RATES_PER_SHARE_WINDOW: u32 = 4;

/// Decides where and when a router's requests are served.
#[derive(Debug)]
pub struct Dispatcher {
    /// Limits, with the policies in force.
    limits: DispatcherLimits,
    /// Policies as configured.
    configured: Policy,
    engines: Engines,
    announcements: Announcements,
    /// Draining back ends that are still to be announced to peers.
    draining_queue: GossipQueue<BackEndId>,
    /// Number of listed back ends of each service that announced that they are draining.
    draining_counts: HashMap<String, u32>,
    silent: SilentBackEnds,
    engine_limits: HashMap<String, EngineLimits>,
    capacity: Option<u64>,
    /// Requests per second that a cold back end sustains, by service; services without a bound are
    /// absent.
    cold_rates: HashMap<String, f64>,
    first_events: HashMap<String, FirstEventEstimator>,
    unloaded_intervals: HashMap<String, UnloadedEventInterval>,
    preferred: PreferredEngines,
    ranked_speeds: RankedSpeeds,
    failed_samples: FailedSamples,
    prefix_demand: PrefixDemand,
    /// Back ends to which this router has an idle connection.
    idle_connections: HashSet<BackEndId>,
    waiting: HashMap<String, WaitingQueue>,
    running: HashMap<TicketId, Running>,
    freed_slots: FreedSlots,
    budgets: HashMap<String, RetryBudget>,
    usage: Usage,
    fleet: Fleet,
    shares: Option<(Timestamp, Rc<Shares>)>,
    fleet_admission: FleetAdmission,
    lagging_until: Timestamp,
    next_ticket: u64,
    contact: SourceContact,
    configuration: u64,
    back_ends: Revision,
    evacuated: EvacuatedZones,
    held_cold: HeldColdEngines,
    prefix_holders: PrefixHolders,
    transfers: TransferSources,
    rollouts: RolloutRegistry,
    rollouts_revision: Revision,
    performance: FleetPerformance,
    origin_history: OriginHistory,
    withheld_versions: WithheldVersions,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, back ends or peers. `snapshots` is the address
    /// at which this router serves its snapshots.
    pub fn new(limits: DispatcherLimits, me: PeerId, snapshots: SocketAddr) -> Self {
        let usage = Usage::new(limits.share_window / RATES_PER_SHARE_WINDOW);
        let configured = limits.policy;
        let policy = configured.in_fleet(false);
        let limits = DispatcherLimits { policy, ..limits };
        let preferred = PreferredEngines::new(policy.ranking);
        let fleet = Fleet::new(me, snapshots, limits.budget.window);
        Self {
            limits,
            configured,
            engines: Engines::default(),
            announcements: Announcements::default(),
            draining_queue: GossipQueue::default(),
            draining_counts: HashMap::new(),
            silent: SilentBackEnds::default(),
            engine_limits: HashMap::new(),
            capacity: None,
            cold_rates: HashMap::new(),
            first_events: HashMap::new(),
            unloaded_intervals: HashMap::new(),
            preferred,
            ranked_speeds: RankedSpeeds::default(),
            failed_samples: FailedSamples::default(),
            prefix_demand: PrefixDemand::default(),
            idle_connections: HashSet::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            freed_slots: FreedSlots::default(),
            budgets: HashMap::new(),
            usage,
            fleet,
            shares: None,
            fleet_admission: FleetAdmission::default(),
            lagging_until: Timestamp::ZERO,
            next_ticket: 1,
            contact: SourceContact::default(),
            configuration: 0,
            back_ends: Revision::default(),
            evacuated: EvacuatedZones::default(),
            held_cold: HeldColdEngines::default(),
            prefix_holders: PrefixHolders::default(),
            transfers: TransferSources::default(),
            rollouts: RolloutRegistry::default(),
            rollouts_revision: Revision::default(),
            performance: FleetPerformance::default(),
            origin_history: OriginHistory::default(),
            withheld_versions: WithheldVersions::default(),
        }
    }

    /// Applies the limits of the configuration that is now in force.
    pub fn on_configuration(&mut self, configuration: &RoutingConfiguration) {
        self.configuration = configuration.version;
        self.capacity = configuration.limits.tokens_per_second;
        self.fleet_admission.on_configuration(configuration);
        self.origin_history.on_configuration(configuration);
        self.update_withheld_versions();
        let services = configuration.services.iter();
        self.engine_limits = services
            .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
            .collect();
        let services = configuration.services.iter();
        self.cold_rates = services
            .filter_map(|service| service.cold_rate.map(|rate| (service.name.clone(), rate)))
            .collect();
    }

    /// Returns a listed back end.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEnd> {
        self.engines.get(id).map(|engine| &engine.back_end)
    }

    /// Returns whether an event or a response of the back end arrived after `since`.
    pub fn has_responded_since(&self, id: &BackEndId, since: Timestamp) -> bool {
        self.engines.get(id).is_some_and(|engine| engine.last_response > since)
    }

    /// Marks a back end's incarnation as ended and excludes it from selection for a while, to avoid
    /// connection attempts that would fail.
    pub fn on_back_end_ended(&mut self, now: Timestamp, key: EngineKey) {
        if let Some(engine) = self.engines.by_key(key) {
            engine.on_ended(now);
        }
    }

    /// Returns the number of back ends examined so far, for requests and for messages.
    pub fn engines_examined(&self) -> u64 {
        self.engines.examined()
    }

    /// Returns the load of each back end over all routers, from the stats received.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        self.engines.all().map(Engine::load)
    }

    /// Returns the largest fleet size, in routers, that this router or any of its peers knows of.
    pub fn fleet_size(&self) -> usize {
        self.fleet.size()
    }

    /// Returns how this router reports its load stats.
    pub fn role(&self) -> Role {
        self.fleet.role()
    }

    /// Returns the peers that ended and draining back ends are announced to in this round: all in a
    /// mesh, a few in a larger fleet. `draw` is a uniform random number.
    pub fn gossip_targets(&self, draw: u64) -> Vec<SocketAddr> {
        self.fleet.gossip_targets(draw)
    }

    /// Returns this router's position in the order in which routers probe a quarantined suspect.
    pub fn probe_slot(&self, suspect: Suspect) -> ProbeSlot {
        self.fleet.probe_slot(suspect)
    }

    /// Returns the peer selected by the random number `draw`, or `None` without peers.
    pub fn random_peer(&self, draw: u64) -> Option<SocketAddr> {
        self.fleet.random_peer(draw)
    }

    /// Returns whether this router relays reports of ended back ends that it receives from peers.
    pub fn relaying(&self) -> Relaying {
        if self.fleet.role() == Role::Mesh { Relaying::Nothing } else { Relaying::All }
    }

    /// Returns the number of known routers, including this one.
    pub fn routers(&self) -> usize {
        self.fleet.routers()
    }

    /// Records the arrival of a request, which adds to the service's retry budget and to the
    /// tenant's demand.
    pub fn on_request(&mut self, now: Timestamp, demand: &Demand) {
        self.retry_budget(&demand.service).on_request(now);
        self.count_prefix(now, demand);
        self.record_class_arrival(now, demand);
        if let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) {
            self.usage.on_asked(now, tenant, prompt.cost());
        }
    }
}
