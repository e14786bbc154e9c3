//! The state that all parts of a router share, on one thread.

use crate::body_budget::BodyBudget;
use crate::broken_connections::BrokenConnections;
use crate::catalogue::Catalogue;
use crate::dialect::{BackEndDialect, CallerDialect};
use crate::events;
use crate::listener::{OpenConnections, StopSignal};
use crate::log_rate_limiter::{LogLineKind, LogRateLimiter};
use crate::metrics::RouterMetrics;
use crate::overflow::{OverflowOutcome, OverflowRecorder};
use crate::pool::Pool;
use crate::runtime::{COMMON_TURN, Runtime, TURN_PERIOD};
use crate::settings::RouterSettings;
use crate::snapshot_serving::HandingOut;
use crate::snapshots::EncodedSnapshots;
use crate::update_signal::{Origin, UpdateSignal};
use mastbay_routing::{
    BackEndUpdate, Dispatcher, DispatcherLimits, EvacuatedZones, OutageDetector, OverloadGuard,
    PeerId, Placement, Quarantine, Refusal, Revision, RolloutRecord, Rollouts, RouteTable,
    RouterPhase, RoutingConfiguration, SourceContact, StallDetector, StartingRouter, Tick,
    TicketId, UsableChanges, watch_timeout,
};
use mastbay_types::Timestamp;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// What callers and back ends speak.
pub struct Dialects {
    /// What callers speak.
    pub callers: Box<dyn CallerDialect>,
    /// What back ends speak.
    pub back_ends: Box<dyn BackEndDialect>,
}

/// Part of the delay that an event may have for which events are gathered.
const GATHERING_PART: f64 = 0.4;
/// The same for an answer that a peer makes, which gathers nothing itself as long as it takes connections.
const OFFLOAD_GATHERING_PART: f64 = 0.7;
/// Wait of the first call to a source.
const FIRST_WAIT: Duration = Duration::from_millis(1);
/// Time between two looks at whether this router follows the source.
const DUTY_PERIOD: Duration = Duration::from_millis(100);
/// Time after its start for which a router waits for its peers where its source was restored: routers of a large fleet tell
/// of themselves to each other once in about a second.
const PEERS_PATIENCE: Duration = Duration::from_millis(1_200);
/// The verdict on a request that waits.
pub(crate) type VerdictSender = Sender<Result<Placement, Refusal>>;

/// A router.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) dialects: Dialects,
    pub(crate) runtime: Runtime,
    pub(crate) catalogue: RefCell<Catalogue>,
    pub(crate) snapshots: RefCell<EncodedSnapshots>,
    pub(crate) handing_out: HandingOut,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) waiting: RefCell<HashMap<TicketId, VerdictSender>>,
    pub(crate) pool: Pool,
    pub(crate) metrics: RouterMetrics,
    lines: RefCell<LogRateLimiter>,
    pub(crate) bodies: BodyBudget,
    pub(crate) stopping: Cell<bool>,
    overload: RefCell<OverloadGuard>,
    overflow: RefCell<OverflowRecorder>,
    outage: RefCell<OutageDetector>,
    /// The first list of back ends came from a source that was restored from an older copy at some time.
    began_restored: Cell<bool>,
    pub(crate) broken: BrokenConnections,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// A peer has something newer but could not be asked for it.
    pub(crate) peers_fail: Cell<bool>,
    /// Given when something newer came in force here, so that peers are told at once.
    pub(crate) update_signal: UpdateSignal,
    pub(crate) stop: StopSignal,
    pub(crate) open: OpenConnections,
    standstill: Cell<StallDetector>,
    origin: Timestamp,
}

impl Router {
    /// A router that knows neither configuration nor back ends.
    pub fn new(
        settings: RouterSettings,
        dialects: Dialects,
        runtime: Runtime,
        metrics: RouterMetrics,
    ) -> Rc<Self> {
        let me = PeerId { address: settings.digests, incarnation: rand::random() };
        let burst_from = if settings.first_start {
            Timestamp::ZERO
        } else {
            Timestamp::ZERO + settings.budget.window
        };
        let limits = DispatcherLimits {
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            exposure: settings.exposure.unwrap_or_default(),
            share_window: settings.share_window,
            budget: settings.budget,
            burst_from,
            processor: settings.processor as f32,
            warmup: settings.warmup,
            most_waiting: settings.most_waiting,
            policy: settings.policy,
        };
        let dispatcher = Dispatcher::new(limits, me, settings.operations);
        let bodies = BodyBudget::new(settings.body_bytes());
        let catalogue = Catalogue::new(settings.enabled_orders());
        let quarantine = Quarantine::new(settings.quarantine);
        Rc::new(Self {
            bodies,
            settings,
            dialects,
            runtime,
            catalogue: RefCell::new(catalogue),
            snapshots: RefCell::default(),
            handing_out: HandingOut::default(),
            dispatcher: RefCell::new(dispatcher),
            waiting: RefCell::default(),
            pool: Pool::new(runtime),
            metrics,
            lines: RefCell::default(),
            stopping: Cell::new(false),
            overload: RefCell::default(),
            overflow: RefCell::default(),
            outage: RefCell::default(),
            began_restored: Cell::default(),
            broken: BrokenConnections::default(),
            quarantine: RefCell::new(quarantine),
            peers_fail: Cell::new(false),
            update_signal: UpdateSignal::default(),
            stop: StopSignal::default(),
            open: OpenConnections::default(),
            standstill: Cell::default(),
            origin: runtime.now(),
        })
    }

    /// Time since the router started, suspensions included.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.runtime.now().since(self.origin)
    }

    /// When a request that is read now came at the earliest. Without this a request that had lain unread for as long as the machine was
    /// suspended was given its whole time anew.
    pub(crate) fn earliest_arrival(&self) -> Timestamp {
        self.standstill.get().earliest_arrival(self.now())
    }

    /// Waits after a standstill until a peer or a source has told what changed meanwhile, and that is in force, for some tenths of a
    /// second at most: keys may have been taken away.
    pub(crate) async fn wait_until_up_to_date(&self) {
        while self.awaits_news() {
            self.runtime.sleep(COMMON_TURN).await;
        }
    }

    fn awaits_news(&self) -> bool {
        let now = self.now();
        let standstill = self.standstill.get();
        if !standstill.may_be_outdated(now, self.settings.propagation) {
            return false;
        }
        let is_behind = self.dispatcher.borrow().is_behind(now);
        is_behind || !standstill.has_contact_since_stall(now)
    }

    /// A peer or a source was heard.
    pub(crate) fn note_heard(&self) {
        let mut standstill = self.standstill.get();
        standstill.on_contact(self.now());
        self.standstill.set(standstill);
    }

    /// Takes a configuration from a source; an older one changes nothing.
    pub fn offer_configuration(&self, offered: RoutingConfiguration, origin: Origin) {
        let taken = self.catalogue.borrow_mut().offer_configuration(offered);
        if let Some(table) = taken {
            self.dispatcher.borrow_mut().on_configuration(table.configuration());
            events::configuration_in_force(&table, origin);
            self.tell_peers(origin);
        }
    }

    /// Takes back ends from a source, all of them or what changed; older ones change nothing.
    pub fn offer_back_ends(&self, offered: impl Into<BackEndUpdate>, origin: Origin) {
        let offered: BackEndUpdate = offered.into();
        let now = self.now();
        let recovering = self.outage.borrow().is_recovering(now);
        let is_first = self.catalogue.borrow().back_ends().revision().is_none();
        if is_first && origin == Origin::Source {
            self.began_restored.set(offered.revision.era > 0);
        }
        let taken = self.catalogue.borrow_mut().offer_back_ends(now, recovering, offered);
        if let Some(changes) = taken {
            self.use_back_ends(&changes, origin);
            self.tell_peers(origin);
        }
    }

    /// Takes the evacuated zones from a source; older ones change nothing.
    pub fn offer_evacuations(&self, offered: EvacuatedZones, origin: Origin) {
        let taken = self.catalogue.borrow_mut().offer_evacuations(self.now(), &offered);
        if let Some(spared) = taken {
            self.spare_zones(&spared, origin);
            self.tell_peers(origin);
        }
    }

    fn spare_zones(&self, spared: &EvacuatedZones, origin: Origin) {
        self.dispatcher.borrow_mut().on_evacuations(spared);
        events::evacuations_known(spared, origin);
        self.poll_waiting();
    }

    /// Takes orders for roll-outs from a source; older ones change nothing.
    pub fn offer_rollouts(&self, offered: Rollouts, origin: Origin) {
        if !self.catalogue.borrow_mut().offer_rollouts(&offered) {
            return;
        }
        self.dispatcher.borrow_mut().on_rollouts(self.now(), &offered);
        events::rollouts_known(&offered, origin);
        self.tell_peers(origin);
        self.poll_waiting();
    }

    /// Judges roll-outs by what the fleet has counted. Gives the states that are to be recorded at the source.
    pub fn evaluate_rollouts(&self) -> Vec<RolloutRecord> {
        self.dispatcher.borrow_mut().evaluate_rollouts(self.now())
    }

    fn watch_standstill(&self, now: Timestamp) {
        let mut standstill = self.standstill.get();
        if let Some(lasted) = standstill.on_tick(now) {
            events::stood_still(lasted);
        }
        self.standstill.set(standstill);
    }

    fn watch_outage(&self, now: Timestamp) {
        if self.dispatcher.borrow().is_source_answering(now) {
            self.outage.borrow_mut().on_answer(now);
        } else {
            self.outage.borrow_mut().on_lost(now);
        }
    }

    fn use_back_ends(&self, changes: &UsableChanges, origin: Origin) {
        self.dispatcher.borrow_mut().on_back_end_changes(self.now(), changes);
        self.pool.remove(&changes.removed);
        events::back_ends_known(self.catalogue.borrow().back_ends(), changes, origin);
        self.poll_waiting();
    }

    /// What the source told is news to peers; what a peer told is about to reach them from that one.
    fn tell_peers(&self, origin: Origin) {
        if origin == Origin::Source {
            self.update_signal.notify();
        }
    }

    /// How long the next call to a source may wait for a change.
    ///
    /// The first call of one that begins to follow it is answered at once: it may have missed changes, and
    /// the others see that there is contact.
    pub fn source_wait(&self) -> Duration {
        if self.dispatcher.borrow().source_contact() != SourceContact::Answered {
            return FIRST_WAIT;
        }
        watch_timeout(self.settings.propagation, rand::random())
    }

    /// Waits until this router is one of those that follow the source.
    pub async fn until_following_source(&self) {
        while !self.watches_source() {
            self.dispatcher.borrow_mut().on_source_contact(SourceContact::Idle);
            self.runtime.sleep(self.runtime.until_aligned_tick(DUTY_PERIOD)).await;
        }
    }

    /// Whether it is one of the routers that follow the source now.
    pub fn is_following_source(&self) -> bool {
        self.watches_source()
    }

    /// Whether it follows the source: as one of the fleet's few, or because a peer has something newer and
    /// does not hand it out, or because it knows nothing yet and waits for its peers no longer.
    fn watches_source(&self) -> bool {
        let now = self.now();
        let dispatcher = self.dispatcher.borrow();
        let is_complete = self.catalogue.borrow().is_complete();
        if self.peers_fail.get() || is_complete {
            return self.peers_fail.get() || dispatcher.watches_source(now);
        }
        let newcomer = StartingRouter {
            running: now.since(Timestamp::ZERO),
            routers: dispatcher.fleet_size(),
            is_seed: self.settings.seeds.is_empty() || self.settings.is_seed(),
            watches_source: dispatcher.watches_source(now),
            others_reach_source: dispatcher.others_reach_source(now),
        };
        newcomer.queries_source()
    }

    /// A call to a source was answered, or failed.
    pub fn on_source_contact(&self, contact: SourceContact) {
        if contact == SourceContact::Answered {
            self.note_heard();
        }
        self.dispatcher.borrow_mut().on_source_contact(contact);
    }

    /// Routers of the fleet, as many as any router knows.
    pub fn fleet_size(&self) -> usize {
        self.dispatcher.borrow().fleet_size()
    }

    /// Whether any request is sent to no back end, since several ended under it.
    pub fn has_quarantined_any(&self) -> bool {
        !self.quarantine.borrow().quarantined(self.now()).is_empty()
    }

    /// Whether it takes work.
    pub fn is_ready(&self) -> bool {
        self.phase() == RouterPhase::Serving
            && self.catalogue.borrow().is_complete()
            && !self.awaits_peers()
    }

    /// Whether it has just started and knows the configuration only from a source that was restored once, which may hold an older one
    /// than its peers: they are heard first.
    fn awaits_peers(&self) -> bool {
        // Asked for each request; seldom so, and then only for a moment.
        if !self.began_restored.get() {
            return false;
        }
        let now = self.now();
        if now.since(Timestamp::ZERO) >= PEERS_PATIENCE {
            return false;
        }
        let dispatcher = self.dispatcher.borrow();
        dispatcher.routers() == 1 || dispatcher.is_behind(now)
    }

    /// Whether it takes new callers.
    pub fn phase(&self) -> RouterPhase {
        if self.stopping.get() {
            RouterPhase::Leaving
        } else if self.overload.borrow().is_shedding() {
            RouterPhase::Shedding
        } else {
            RouterPhase::Serving
        }
    }

    /// The part of new connections that are turned away unread. A planned stop turns none away.
    pub(crate) fn rejected_fraction(&self) -> f64 {
        if self.stopping.get() { 0.0 } else { self.overload.borrow().rejected_fraction() }
    }

    /// The part of new connections that are handed to peers, if any takes them. A planned stop hands on none.
    pub(crate) fn overflow_fraction(&self) -> f64 {
        if self.stopping.get() { 0.0 } else { self.overload.borrow().offloaded_fraction() }
    }

    /// A new connection was not simply served.
    pub(crate) fn note_overflow(&self, outcome: OverflowOutcome) {
        self.metrics.on_overflow(outcome);
        self.overflow.borrow_mut().record(outcome);
    }

    /// Tells of the connections that were not simply served lately, a line a second at most.
    fn tell_overflow(&self, now: Timestamp) {
        let mut account = self.overflow.borrow_mut();
        let full = self.open.take_refused();
        self.metrics.on_full(full);
        self.metrics.on_unread(self.open.take_write_timeouts());
        account.record_full(full);
        if let Some(counts) = account.take_due(now) {
            events::connections_overflowed(counts, self.overload.borrow().lateness());
        }
    }

    /// Whether it takes connections of a peer that has more to do than it carries.
    pub(crate) fn accepts_offloaded(&self) -> bool {
        self.is_ready()
            && !self.overload.borrow().is_under_pressure()
            && self.open.count() <= self.settings.crowded_connections()
    }

    /// Time for which events that follow a stream's first may be gathered, if the router is pressed.
    pub(crate) fn batching_interval(&self) -> Option<Duration> {
        let is_under_pressure = self.overload.borrow().is_under_pressure();
        is_under_pressure.then(|| self.settings.event_delay.mul_f64(GATHERING_PART))
    }

    /// Time for which bytes of an answer that a peer makes are gathered.
    pub(crate) fn offload_interval(&self) -> Duration {
        self.settings.event_delay.mul_f64(OFFLOAD_GATHERING_PART)
    }

    /// Whether answers end their connection: callers are to go elsewhere, or many connections are open.
    pub(crate) fn ends_connections(&self) -> bool {
        self.phase() != RouterPhase::Serving
            || self.overflow_fraction() > 0.0
            || self.open.count() > self.settings.crowded_connections()
    }

    /// The version of the configuration in force and the revision of the back ends, the least if unknown.
    pub fn versions(&self) -> (u64, Revision) {
        let versions = self.catalogue.borrow().versions();
        (versions.configuration, versions.back_ends)
    }

    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        let table = self.catalogue.borrow().table();
        table.filter(|_| !self.awaits_peers())
    }

    /// Whether the budget of a service holds a further send.
    pub(crate) fn has_retries(&self, service: &str) -> bool {
        self.dispatcher.borrow_mut().retries_left(self.now(), service) > 0
    }

    /// Takes a further send from the budget of a service, if it holds one.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        self.dispatcher.borrow_mut().take_retry(self.now(), service)
    }

    /// Whether a log line about a request may be written now. Tells how many were left out, once they can be counted.
    pub(crate) fn may_write_line(&self, kind: LogLineKind) -> bool {
        let (is_written, left_out) = self.lines.borrow_mut().allow(self.now(), kind);
        if let Some(left_out) = left_out {
            events::lines_left_out(left_out);
        }
        is_written
    }

    /// Tells waiting requests what became of them.
    pub(crate) fn poll_waiting(&self) {
        if !self.dispatcher.borrow().has_waiting() {
            return;
        }
        let verdicts = self.dispatcher.borrow_mut().poll(self.now(), rand::random());
        for (ticket, verdict) in verdicts {
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                // A caller that has gone takes its ticket back itself.
                let _ = sender.try_send(verdict);
            }
        }
    }

    /// Polls waiting requests for as long as the router runs.
    pub(crate) async fn keep_polling(self: Rc<Self>) {
        loop {
            let period = self.turn_period();
            let due = self.now() + period;
            self.runtime.sleep(period).await;
            let now = self.now();
            self.take_turn(now, period, now.since(due));
            self.poll_waiting();
        }
    }

    /// Time until the next turn: soon while requests wait or the router is hard pressed.
    fn turn_period(&self) -> Duration {
        let is_under_pressure =
            self.overload.borrow().is_under_pressure() || self.phase() == RouterPhase::Shedding;
        if is_under_pressure || self.dispatcher.borrow().has_waiting() {
            TURN_PERIOD
        } else {
            self.runtime.until_aligned_tick(COMMON_TURN)
        }
    }

    fn take_turn(&self, now: Timestamp, period: Duration, lag: Duration) {
        self.watch_standstill(now);
        self.watch_outage(now);
        let expired = self.catalogue.borrow_mut().expire_back_ends(now);
        if let Some(changes) = expired {
            self.use_back_ends(&changes, Origin::Source);
        }
        let expired = self.catalogue.borrow_mut().expire_evacuations(now);
        if let Some(spared) = expired {
            self.spare_zones(&spared, Origin::Source);
        }
        self.dispatcher.borrow_mut().on_lag(now, lag);
        self.metrics.set_backing_off(self.dispatcher.borrow().backing_off(now));
        let most = self.settings.max_connections() as f64;
        let turn = Tick {
            period,
            lag,
            connections: self.open.count() as f64 / most,
            peers: self.dispatcher.borrow().peer_capacity(),
        };
        let changed = self.overload.borrow_mut().on_tick(now, turn);
        if let Some(shedding) = changed {
            events::overload(shedding, self.overload.borrow().lateness(), turn);
        }
        self.tell_overflow(now);
    }
}
