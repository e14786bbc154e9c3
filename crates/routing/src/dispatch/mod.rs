//! Which back end serves a request, and when: placement, waiting and refusal.
//!
//! A router decides alone, on what it has itself at each back end and on what its peers last told.

mod admission;
mod aggregation;
mod announced;
mod cold_engines;
mod engines;
mod event_intervals;
mod fair_level;
mod fleet;
mod messages;
mod peers;
mod placement;
mod preferred_engines;
mod releases;
mod sharing;
mod source;
mod suspects;

use crate::announcements::Announcements;
use crate::back_end::{BackEnd, BackEndId, BackEndList};
use crate::budget::RetryBudget;
use crate::concurrency::UnloadedEventInterval;
use crate::configuration::{EngineLimits, RoutingConfiguration};
use crate::digest::PeerId;
use crate::directory::UsableChanges;
use crate::engine::{Engine, Load};
use crate::evacuation::EvacuatedZones;
use crate::fingerprint::RequestFingerprint;
use crate::first_event::{FirstEventEstimator, PrefillWork};
use crate::gossip::GossipQueue;
use crate::health::Fault;
use crate::load_stats::EngineKey;
use crate::quarantine::{ProbeSlot, Relaying};
use crate::revision::Revision;
use crate::rollout::RolloutRegistry;
use crate::shares::Usage;
use crate::source_watchers::SourceContact;
use crate::waiting::WaitingQueue;
use cold_engines::HeldColdEngines;
use engines::Engines;
use fair_level::Shares;
use fleet::Fleet;
use mastbay_types::Timestamp;
use placement::{ScoredBackEnd, SelectionCriteria};
use preferred_engines::PreferredEngines;
use releases::RolloutRequest;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use aggregation::Role;
pub use fleet::{HEAVIEST_TENANTS, NewPeer, ROUND_PERIOD};
pub use messages::{
    Admission, AdmissionResults, Demand, DispatcherLimits, ExcludedBackEnds, Placement, Refusal,
    RefusalDetails, RefusalReason, TicketId,
};

/// A request that a back end works on.
#[derive(Debug)]
struct Running {
    back_end: BackEndId,
    load: Load,
    sent: Timestamp,
    predicted: Duration,
    work_ahead: PrefillWork,
    has_first_event: bool,
    /// When it should be answered, if its tenant is within its share and the engine could have done it alone.
    service_level_due: Option<Timestamp>,
    /// Events since the pace was observed last, and when that was.
    events: u32,
    observed: Timestamp,
    /// Its part in a roll-out, if its service has one.
    rollout_request: Option<RolloutRequest>,
}

/// Lag of the router up to which the times that it sees are taken for those of back ends.
const TOLERATED_LAG: Duration = Duration::from_millis(15);
/// Time for which requests under way are marked by a lag.
const LAG_RECOVERY: Duration = Duration::from_millis(600);

/// A router's decisions on where and when requests are served.
#[derive(Debug)]
pub struct Dispatcher {
    limits: DispatcherLimits,
    engines: Engines,
    announcements: Announcements,
    /// Back ends that said that they end soon, of which others are still to be told.
    draining_queue: GossipQueue<BackEndId>,
    /// How many listed back ends of each service said so.
    draining_counts: HashMap<String, u32>,
    engine_limits: HashMap<String, EngineLimits>,
    capacity: Option<u64>,
    /// Requests a second that a cold back end of a service bears, where that is bounded.
    cold_rates: HashMap<String, f64>,
    first_events: HashMap<String, FirstEventEstimator>,
    unloaded_intervals: HashMap<String, UnloadedEventInterval>,
    preferred: PreferredEngines,
    waiting: HashMap<String, WaitingQueue>,
    running: HashMap<TicketId, Running>,
    budgets: HashMap<String, RetryBudget>,
    usage: Usage,
    fleet: Fleet,
    shares: Option<(Timestamp, Rc<Shares>)>,
    lagging_until: Timestamp,
    next_ticket: u64,
    contact: SourceContact,
    configuration: u64,
    back_ends: Revision,
    evacuated: EvacuatedZones,
    held_cold: HeldColdEngines,
    rollouts: RolloutRegistry,
    rollouts_revision: Revision,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(limits: DispatcherLimits, me: PeerId, snapshots: SocketAddr) -> Self {
        let usage = Usage::new(limits.share_window);
        Self {
            limits,
            engines: Engines::default(),
            announcements: Announcements::default(),
            draining_queue: GossipQueue::default(),
            draining_counts: HashMap::new(),
            engine_limits: HashMap::new(),
            capacity: None,
            cold_rates: HashMap::new(),
            first_events: HashMap::new(),
            unloaded_intervals: HashMap::new(),
            preferred: PreferredEngines::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            budgets: HashMap::new(),
            usage,
            fleet: Fleet::new(me, snapshots),
            shares: None,
            lagging_until: Timestamp::ZERO,
            next_ticket: 1,
            contact: SourceContact::default(),
            configuration: 0,
            back_ends: Revision::default(),
            evacuated: EvacuatedZones::default(),
            held_cold: HeldColdEngines::default(),
            rollouts: RolloutRegistry::default(),
            rollouts_revision: Revision::default(),
        }
    }

    /// Takes limits from the configuration that is in force now.
    pub fn on_configuration(&mut self, configuration: &RoutingConfiguration) {
        self.configuration = configuration.version;
        self.capacity = configuration.limits.tokens_per_second;
        let services = configuration.services.iter();
        self.engine_limits = services
            .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
            .collect();
        let services = configuration.services.iter();
        self.cold_rates = services
            .filter_map(|service| service.cold_rate.map(|rate| (service.name.clone(), rate)))
            .collect();
    }

    /// Takes what has changed among the back ends.
    pub fn on_back_end_changes(&mut self, now: Timestamp, changes: &UsableChanges) {
        self.back_ends = changes.revision;
        for id in &changes.removed {
            self.engines.remove(id);
            self.preferred.on_removed(id);
        }
        self.set_back_ends(now, &changes.updated);
    }

    /// Sets back ends as they may be used: an answer of theirs may have told more than their source knew.
    fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let usable = back_ends.iter().map(|listed| self.announcements.as_usable(listed.clone()));
        let usable: Vec<BackEnd> = usable.collect();
        self.set_engines(now, &usable);
        for back_end in &usable {
            self.preferred.on_set(&self.engines, back_end);
        }
        self.count_draining();
    }

    /// Takes a whole list of back ends.
    pub fn on_back_ends(&mut self, now: Timestamp, list: &BackEndList) {
        let listed: HashSet<&BackEndId> =
            list.back_ends.iter().map(|back_end| &back_end.id).collect();
        let removed = self.engines.ids().filter(|id| !listed.contains(id)).cloned().collect();
        let updated = list.back_ends.clone();
        self.on_back_end_changes(now, &UsableChanges { revision: list.revision, updated, removed });
    }

    /// Sets back ends. What other routers have at those that are new is found in one pass over what they told.
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

    /// Takes newer evacuations: the back ends of those zones get nothing new.
    pub fn on_evacuations(&mut self, evacuated: &EvacuatedZones) {
        self.evacuated = evacuated.clone();
        self.preferred.clear();
        self.engines.change_all(|engine| {
            engine.is_evacuated = evacuated.zones.contains(&engine.back_end.zone);
        });
    }

    /// A back end as it is listed.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEnd> {
        self.engines.get(id).map(|engine| &engine.back_end)
    }

    /// Whether an event or an answer of a back end came after a moment.
    pub fn has_responded_since(&self, id: &BackEndId, since: Timestamp) -> bool {
        self.engines.get(id).is_some_and(|engine| engine.last_response > since)
    }

    /// A life of a back end ended. All others are spared to find that out by a connection that is refused.
    pub fn on_back_end_ended(&mut self, now: Timestamp, key: EngineKey) {
        if let Some(engine) = self.engines.by_key(key) {
            engine.on_ended(now);
        }
    }

    /// How many back ends were looked at until now, for requests and for messages.
    pub fn engines_examined(&self) -> u64 {
        self.engines.examined()
    }

    /// What all routers have at each back end, as far as this one knows.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        self.engines.all().map(Engine::load)
    }

    /// Routers of the fleet, as many as any router knows.
    pub fn fleet_size(&self) -> usize {
        self.fleet.size()
    }

    /// How this router tells its stats.
    pub fn role(&self) -> Role {
        self.fleet.role()
    }

    /// Who is told of ends, and of back ends that drain, in a round: all peers of a small fleet, a few of a large one. `draw` is uniform.
    pub fn gossip_targets(&self, draw: u64) -> Vec<SocketAddr> {
        self.fleet.gossip_targets(draw)
    }

    /// This router's turn to probe a request that is quarantined.
    pub fn probe_slot(&self, request: RequestFingerprint) -> ProbeSlot {
        self.fleet.probe_slot(request)
    }

    /// One peer, drawn.
    pub fn random_peer(&self, draw: u64) -> Option<SocketAddr> {
        self.fleet.random_peer(draw)
    }

    /// Whether this router passes on what others report of ends.
    pub fn relaying(&self) -> Relaying {
        if self.fleet.role() == Role::Mesh { Relaying::Nothing } else { Relaying::All }
    }

    /// Number of routers believed to be there, this one included.
    pub fn routers(&self) -> usize {
        self.fleet.routers()
    }

    /// A request for a service came: it earns budget and counts as asked for.
    pub fn on_request(&mut self, now: Timestamp, demand: &Demand) {
        self.budget(&demand.service).on_request(now);
        if let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) {
            self.usage.on_asked(now, tenant, prompt.cost());
        }
    }

    /// Takes one second send from the budget of a service, if it has one.
    pub fn take_retry(&mut self, now: Timestamp, service: &str) -> bool {
        let routers = self.fleet.size();
        self.budget(service).take(now, routers)
    }

    /// Second sends left for a service.
    pub fn retries_left(&mut self, now: Timestamp, service: &str) -> u32 {
        let routers = self.fleet.size();
        self.budget(service).remaining(now, routers)
    }

    /// The router itself runs late by `lag`. Times seen for a while after much of it tell of the router
    /// and not of back ends, so nothing is learned from them.
    pub fn on_lag(&mut self, now: Timestamp, lag: Duration) {
        if lag > TOLERATED_LAG {
            self.lagging_until = now + LAG_RECOVERY;
        }
    }

    /// A request's first event, or its whole answer, has come.
    pub fn on_first_event(&mut self, now: Timestamp, ticket: TicketId) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        if std::mem::replace(&mut running.has_first_event, true) {
            return;
        }
        running.observed = now;
        let prefill = std::mem::take(&mut running.load.prefill);
        let taken = now.since(running.sent);
        if let Some(rollout_request) = &mut running.rollout_request {
            rollout_request.on_first_event(taken);
        }
        let (predicted, work_ahead) = (running.predicted, running.work_ahead);
        self.announcements.on_served(&running.back_end, running.sent);
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        engine.last_response = now;
        engine.own.prefill.remove(prefill);
        if now < self.lagging_until || engine.warmup.is_cold(now) {
            return;
        }
        if let Some(due) = running.service_level_due {
            engine.on_service(now, now <= due);
        }
        engine.latency_ratio =
            placement::next_latency_ratio(engine.latency_ratio, predicted, taken);
        let estimator = self.first_events.entry(engine.back_end.service.clone()).or_default();
        estimator.observe(work_ahead, taken);
        engine.limit.observe_first_event(now);
        let back_end = running.back_end.clone();
        self.adjust_limit(now, &back_end);
    }

    /// A request has ended, well or not, or its caller has gone: it takes no more room. Gives whether a
    /// back end has more room than before.
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
        match outcome {
            Ok(()) => self.announcements.on_served(&running.back_end, running.sent),
            Err(_) => self.announcements.on_not_served(&running.back_end, running.sent),
        }
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return false };
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

    /// Reserves room for a request at the best back end, if one has it. A request whose time to wait
    /// is over (`is_final_attempt`) is also placed where it is late.
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
        let rollout_request = self.record_release(demand, &scored);
        let stats_age = self.fleet.oldest_stats_age(now);
        let service_level_due = self.service_level_due(demand, class, scored.uncached);
        let ScoredBackEnd { id, predicted, uncached, work_ahead, .. } = scored;
        let load = demand.load(uncached, class);
        let limit = self.concurrency_limit(now, self.engines.get(&id)?).round() as u32;
        let engine = self.engines.get_mut_busy(&id)?;
        let running = engine.load().running;
        engine.own.add(load);
        engine.warmup.on_sent(now);
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
            load,
            sent: now,
            predicted,
            work_ahead,
            has_first_event: false,
            service_level_due,
            events: 0,
            observed: now,
            rollout_request,
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
            stats_age,
            excluded,
        })
    }
}
