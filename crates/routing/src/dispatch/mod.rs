//! Selects the back end for each request: placement, waiting and refusal.
//!
//! Each router decides on its own, from its own load at each back end and the load that its peers
//! last reported.

mod admission;
mod aggregation;
mod announced;
mod candidate;
mod cold_engines;
mod engines;
mod event_intervals;
mod fair_level;
mod fleet;
mod fleet_admission;
mod freed_slots;
mod messages;
mod overflow;
mod peers;
mod performance;
mod placement;
mod preferred_engines;
mod prefix_ranks;
mod ranked_speeds;
mod ranking_cost;
mod releases;
mod reuse;
mod rollout_request;
mod running;
mod sharing;
mod source;
mod suspects;
mod transfers;

use crate::announcements::Announcements;
use crate::back_end::{BackEnd, BackEndId, BackEndList};
use crate::back_end_update::UsableChanges;
use crate::budget::RetryBudget;
use crate::concurrency::UnloadedEventInterval;
use crate::configuration::{EngineLimits, RoutingConfiguration};
use crate::demand::{Demand, TicketId};
use crate::digest::PeerId;
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::evacuation::EvacuatedZones;
use crate::fingerprint::RequestFingerprint;
use crate::first_event::FirstEventEstimator;
use crate::gossip::GossipQueue;
use crate::health::Fault;
use crate::load::Load;
use crate::performance::StreamProgress;
use crate::policy::Policy;
use crate::prefix_demand::PrefixDemand;
use crate::prompt::Prompt;
use crate::quarantine::{ProbeSlot, Relaying};
use crate::revision::Revision;
use crate::rollout::RolloutRegistry;
use crate::shares::Usage;
use crate::source_watchers::SourceContact;
use crate::transfer::{PrefixHolders, TransferSources};
use crate::waiting::WaitingQueue;
use candidate::{ScoredBackEnd, SelectionCriteria};
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
use std::time::Duration;

pub use aggregation::Role;
pub use fleet::{EARLY_ROUND_PERIOD, HEAVIEST_TENANTS, NewPeer, ROUND_PERIOD};
pub use messages::{
    Admission, AdmissionResults, DispatcherLimits, ExcludedBackEnds, Placement, Refusal,
    RefusalDetails, RefusalReason,
};
pub use performance::SpeedChange;

/// Event-loop lag up to which measured times are attributed to the back ends.
const TOLERATED_LAG: Duration = Duration::from_millis(15);
/// Time after a larger lag during which measured times are ignored.
const LAG_RECOVERY: Duration = Duration::from_millis(600);

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
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, back ends or peers. `snapshots` is the address
    /// at which this router serves its snapshots.
    pub fn new(limits: DispatcherLimits, me: PeerId, snapshots: SocketAddr) -> Self {
        let usage = Usage::new(limits.share_window);
        let configured = limits.policy;
        let policy = configured.in_fleet(false);
        let limits = DispatcherLimits { policy, ..limits };
        let preferred = PreferredEngines::new(policy.ranking);
        Self {
            limits,
            configured,
            engines: Engines::default(),
            announcements: Announcements::default(),
            draining_queue: GossipQueue::default(),
            draining_counts: HashMap::new(),
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
            fleet: Fleet::new(me, snapshots),
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
        }
    }

    /// Applies the limits of the configuration that is now in force.
    pub fn on_configuration(&mut self, configuration: &RoutingConfiguration) {
        self.configuration = configuration.version;
        self.capacity = configuration.limits.tokens_per_second;
        self.fleet_admission.on_configuration(configuration);
        let services = configuration.services.iter();
        self.engine_limits = services
            .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
            .collect();
        let services = configuration.services.iter();
        self.cold_rates = services
            .filter_map(|service| service.cold_rate.map(|rate| (service.name.clone(), rate)))
            .collect();
    }

    /// Applies added, changed and removed back ends.
    pub fn on_back_end_changes(&mut self, now: Timestamp, changes: &UsableChanges) {
        self.back_ends = changes.revision;
        for id in &changes.removed {
            self.engines.remove(id);
            self.preferred.on_removed(id);
            self.idle_connections.remove(id);
        }
        self.set_back_ends(now, &changes.updated);
    }

    /// Adds or updates back ends. The state that a back end announced itself overrides the listed
    /// one.
    fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let usable = back_ends.iter().map(|listed| self.announcements.as_usable(listed.clone()));
        let usable: Vec<BackEnd> = usable.collect();
        self.set_engines(now, &usable);
        for back_end in &usable {
            self.preferred.on_set(&self.engines, back_end);
        }
        self.count_draining();
    }

    /// Replaces all back ends by those of `list`.
    pub fn on_back_ends(&mut self, now: Timestamp, list: &BackEndList) {
        let listed: HashSet<&BackEndId> =
            list.back_ends.iter().map(|back_end| &back_end.id).collect();
        let removed = self.engines.ids().filter(|id| !listed.contains(id)).cloned().collect();
        let updated = list.back_ends.clone();
        let revision = list.revision;
        let changes = UsableChanges { revision, updated, removed, ..UsableChanges::default() };
        self.on_back_end_changes(now, &changes);
    }

    /// Adds or updates back ends. The peers' load at new ones is added in a single pass over the
    /// reported stats.
    fn set_engines(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let mut new = HashSet::new();
        for back_end in back_ends {
            let is_evacuated = self.evacuated.zones.contains(&back_end.zone);
            let region = self.limits.regions.of(&back_end.zone);
            self.engines.set(now, back_end.clone(), |known| {
                let mut engine = known.unwrap_or_else(|| {
                    let engine = Engine::new(now, back_end.clone());
                    new.insert(engine.key);
                    engine
                });
                engine.is_evacuated = is_evacuated;
                engine.region = region;
                engine
            });
        }
        if !new.is_empty() {
            self.add_reported_stats(&new);
        }
    }

    /// Replaces the set of evacuated zones, whose back ends receive no new requests.
    pub fn on_evacuations(&mut self, evacuated: &EvacuatedZones) {
        self.evacuated = evacuated.clone();
        self.preferred.clear();
        self.engines.change_all(|engine| {
            engine.is_evacuated = evacuated.zones.contains(&engine.back_end.zone);
        });
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

    /// Returns this router's position in the order in which routers probe a quarantined request.
    pub fn probe_slot(&self, request: RequestFingerprint) -> ProbeSlot {
        self.fleet.probe_slot(request)
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
        self.budget(&demand.service).on_request(now);
        self.count_prefix(now, demand);
        self.record_class_arrival(now, demand);
        if let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) {
            self.usage.on_asked(now, tenant, prompt.cost());
        }
    }

    /// Takes one retry from the service's budget. Returns whether there was one left.
    pub fn take_retry(&mut self, now: Timestamp, service: &str) -> bool {
        let routers = self.fleet.size();
        self.budget(service).take(now, routers)
    }

    /// Returns the retries left in the service's budget.
    pub fn retries_left(&mut self, now: Timestamp, service: &str) -> u32 {
        let routers = self.fleet.size();
        self.budget(service).remaining(now, routers)
    }

    /// Records that the router's event loop runs late by `lag`. After a large lag, measured times
    /// reflect the router's delay and not that of the back ends, so they are ignored for a while.
    pub fn on_lag(&mut self, now: Timestamp, lag: Duration) {
        if lag > TOLERATED_LAG {
            self.lagging_until = now + LAG_RECOVERY;
        }
    }

    /// Records a request's first event, or its complete response if it has no events.
    pub fn on_first_event(&mut self, now: Timestamp, ticket: TicketId) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        if std::mem::replace(&mut running.has_first_event, true) {
            return;
        }
        running.observed = now;
        let is_measured = self.limits.policy.performance.is_fleet() && running.is_measured();
        let prefill = std::mem::take(&mut running.load.prefill);
        let taken = now.since(running.sent);
        if let Some(rollout_request) = &mut running.rollout_request {
            rollout_request.on_first_event(taken);
        }
        let (predicted, work_ahead) = running.applicable_prediction(taken);
        self.announcements.on_served(&running.back_end, running.sent);
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        engine.last_response = now;
        engine.own.prefill.remove(prefill);
        if now < self.lagging_until || engine.warmup.is_cold(now) {
            return;
        }
        if let Some(transfer) = running.transfer {
            let saved_time = transfer.has_saved_time(taken);
            self.transfers.on_result(now, transfer.source, saved_time);
        }
        if let Some(due) = running.service_level_due {
            engine.on_service(now, now <= due);
        }
        engine.latency_ratio =
            placement::next_latency_ratio(engine.latency_ratio, predicted, taken);
        let estimator = self.first_events.entry(engine.back_end.service.clone()).or_default();
        if is_measured {
            let alone = Duration::from_secs_f64(estimator.estimate(work_ahead) / 1e3);
            engine.performance.observe_first_event(now, alone, taken);
        }
        estimator.observe(work_ahead, taken);
        engine.limit.observe_first_event(now);
        let back_end = running.back_end.clone();
        self.adjust_limit(now, &back_end);
    }

    /// Records the end of a request, whether it succeeded, failed or was cancelled by its caller,
    /// and releases its capacity. Returns whether a back end may have more free capacity than
    /// before.
    pub fn on_end(
        &mut self,
        now: Timestamp,
        ticket: TicketId,
        outcome: Result<(), Option<Fault>>,
    ) -> bool {
        let Some(running) = self.running.remove(&ticket) else {
            self.waiting.values_mut().any(|queue| queue.remove(ticket).is_some());
            return false;
        };
        self.record_release_end(now, &running, outcome);
        self.observe_end(now, &running, outcome);
        if outcome.is_ok() {
            self.observe_slot_time(now, &running);
        }
        self.record_class_end(now, &running, outcome.is_ok());
        match outcome {
            Ok(()) => self.announcements.on_served(&running.back_end, running.sent),
            Err(_) => self.announcements.on_not_served(&running.back_end, running.sent),
        }
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return false };
        self.freed_slots.on_end(engine);
        engine.own.remove(running.load);
        match outcome {
            Ok(()) => {
                engine.last_response = now;
                engine.health.on_success(now);
            }
            Err(Some(fault)) => {
                engine.health.on_fault(now, fault);
                if matches!(fault, Fault::Unreachable | Fault::Replaced) {
                    engine.clear_prompt_parts();
                }
            }
            Err(None) => {}
        }
        true
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (limits, burst_from) = (self.limits.budget, self.limits.burst_from);
        let fleet = &self.fleet;
        let budgets = self.budgets.entry(service.to_owned());
        budgets.or_insert_with(|| RetryBudget::new(limits, burst_from, fleet.draw(service)))
    }

    /// Reserves capacity for a request at the best back end that has any. With `is_final_attempt`
    /// set, it may also be placed where its first event will be late.
    fn try_place(
        &mut self,
        now: Timestamp,
        ticket: TicketId,
        demand: &Demand,
        is_final_attempt: bool,
    ) -> Option<Placement> {
        let class = self.share_class(now, demand);
        let release = self.default_release(now, &demand.service);
        let criteria = SelectionCriteria { class, is_final_attempt, release };
        let scored = match self.best_of_canary(now, demand, &criteria) {
            Some(scored) => scored,
            None => self.best(now, demand, &criteria)?,
        };
        if !is_final_attempt && self.yields_to_peers(now, demand, &scored.id) {
            return None;
        }
        let rollout_request = self.record_release(demand, &scored);
        let expected_transfer = self.record_transfer(now, demand, &scored);
        let stats_age = self.fleet.oldest_stats_age(now);
        let service_level_due = self.service_level_due(demand, class, scored.uncached);
        let ScoredBackEnd { id, predicted, uncached, work_ahead, choice, transfer, .. } = scored;
        let speed = self.estimate(now, self.engines.get(&id)?).speed;
        let load = demand.load(uncached, class);
        let limit = self.concurrency_limit(now, self.engines.get(&id)?).round() as u32;
        let engine = self.engines.get_mut_busy(&id)?;
        let running = engine.load().running;
        engine.own.add(load);
        engine.warmup.on_sent(now);
        engine.observe_fleet_interval(now);
        self.announcements.on_sent(now, &id);
        if let Some(prompt) = &demand.prompt {
            engine.record_prompt(prompt, now);
        }
        let back_end = engine.back_end.clone();
        if let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) {
            self.usage.on_given(now, tenant, prompt.cost());
        }
        let entry = Running {
            back_end: id,
            prefix: demand.prompt.as_ref().and_then(Prompt::prefix_key),
            load,
            order_class: self.record_class_placement(demand, class),
            sent: now,
            predicted,
            work_ahead,
            has_first_event: false,
            service_level_due,
            events: 0,
            observed: now,
            progress: StreamProgress::new(demand.pause_objective),
            is_error: false,
            rollout_request,
            transfer: expected_transfer,
        };
        self.running.insert(ticket, entry);
        let excluded = self.excluded(now, &demand.service);
        Some(Placement {
            ticket,
            back_end,
            predicted,
            running,
            limit,
            uncached,
            choice,
            speed,
            prefix_source: transfer.map(|transfer| transfer.address),
            transferred: transfer.map_or(0, |transfer| transfer.tokens),
            stats_age,
            excluded,
        })
    }
}
