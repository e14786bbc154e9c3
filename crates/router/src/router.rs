//! The state shared by all parts of a router, on one thread.

use crate::answer_end::OpenAnswers;
use crate::body_budget::BodyBudget;
use crate::broken_connections::BrokenConnections;
use crate::call::Call;
use crate::catalogue::{Catalogue, EnabledOrders};
use crate::dialect::{BackEndDialect, CallerDialect};
use crate::events::{self, StopDecision, StopStage};
use crate::listener::{OpenConnections, StopSignal};
use crate::log_rate_limiter::{LogLineKind, LogRateLimiter};
use crate::memory_watch::{HeapUsage, MemoryWatch};
use crate::metrics::RouterMetrics;
use crate::overflow::{OverflowOutcome, OverflowRecorder};
use crate::pool::Pool;
use crate::receive_time::ReadDelay;
use crate::retries::UnansweredSend;
use crate::runtime::{ALIGNED_TICK_INTERVAL, Runtime};
use crate::settings::RouterSettings;
use crate::shutdown::Shutdown;
use crate::snapshot_serving::TransferLimiter;
use crate::snapshots::EncodedSnapshots;
use crate::stream_origins::StreamOrigins;
use crate::update_signal::UpdateSignal;
use mastbay_routing::{
    BackEndId, Dispatcher, DispatcherLimits, FleetCount, OutageDetector, OverloadGuard, PeerId,
    Placement, Quarantine, Refusal, Revision, RolloutRecord, RouteTable, RouterPhase,
    SourceCondition, SourceContact, StallDetector, StartingRouter, TicketId, watch_timeout,
};
use mastbay_types::Timestamp;
use smol::channel::Sender;
use smol::net::UdpSocket;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The protocols of callers and back ends.
pub struct Dialects {
    /// The protocol of callers.
    pub callers: Box<dyn CallerDialect>,
    /// The protocol of back ends.
    pub back_ends: Box<dyn BackEndDialect>,
}

/// Fraction of the allowed delay of an event for which events are batched.
const BATCHING_FRACTION: f64 = 0.4;
/// The same for the answer of a peer, which does not batch itself while it accepts connections.
const OFFLOAD_BATCHING_FRACTION: f64 = 0.7;
/// How long the first call to a source waits for a change: it is answered at once.
const FIRST_WAIT: Duration = Duration::from_millis(1);
/// Interval between checks whether this router follows the source.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start for which a router waits for the archive of quarantined requests, and for its
/// peers if its source was restored from an older copy. Routers of a large fleet report to each
/// other about once a second.
const START_WAIT_LIMIT: Duration = Duration::from_millis(1_200);
/// Delivers the result of admission to a waiting request.
pub(crate) type AdmissionSender = Sender<Result<Placement, Refusal>>;

/// The state of a router.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) dialects: Dialects,
    pub(crate) runtime: Runtime,
    pub(crate) catalogue: RefCell<Catalogue>,
    pub(crate) snapshots: RefCell<EncodedSnapshots>,
    pub(crate) snapshot_transfers: TransferLimiter,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) waiting: RefCell<HashMap<TicketId, AdmissionSender>>,
    pub(crate) pool: Pool,
    pub(crate) metrics: RouterMetrics,
    log_limiter: RefCell<LogRateLimiter>,
    pub(crate) bodies: BodyBudget,
    /// Memory for replies of sources and peers.
    pub(crate) replies: BodyBudget,
    pub(crate) memory: MemoryWatch,
    pub(crate) shutdown: Cell<Shutdown>,
    pub(crate) open_answers: OpenAnswers,
    pub(crate) overload: RefCell<OverloadGuard>,
    pub(crate) overflow: RefCell<OverflowRecorder>,
    pub(crate) outage: RefCell<OutageDetector>,
    /// The last logged condition of the source.
    pub(crate) source_condition: Cell<SourceCondition>,
    /// The first list of back ends came from a source that was once restored from an older copy.
    pub(crate) started_from_restored: Cell<bool>,
    /// The fleet as this router counted it last.
    pub(crate) fleet_count: Cell<Option<FleetCount>>,
    /// The archive of quarantined requests is being read for the first time.
    reads_quarantines: Cell<bool>,
    pub(crate) broken: BrokenConnections,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) stream_origins: StreamOrigins,
    /// Sends left without an answer that may still arrive.
    pub(crate) unanswered_sends: RefCell<Vec<UnansweredSend>>,
    /// The socket for messages to peers, once the router runs.
    pub(crate) peer_socket: OnceCell<Rc<UdpSocket>>,
    /// A peer has newer versions, but fetching them failed.
    pub(crate) peer_fetch_failed: Cell<bool>,
    /// Notified when an update came into force here, so that it is sent to peers at once.
    pub(crate) update_signal: UpdateSignal,
    pub(crate) stop: StopSignal,
    /// Triggered shortly before the limit of a stop: whoever has no answer yet gets one.
    pub(crate) stop_limit: StopSignal,
    pub(crate) open: OpenConnections,
    pub(crate) stall_detector: RefCell<StallDetector>,
    started: Timestamp,
}

impl Router {
    /// Creates a router without configuration and back ends.
    pub fn new(
        settings: RouterSettings,
        dialects: Dialects,
        runtime: Runtime,
        metrics: RouterMetrics,
    ) -> Rc<Self> {
        let own_id = PeerId { address: settings.digests, incarnation: rand::random() };
        let burst_from = Timestamp::ZERO + settings.burst_delay;
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
        let dispatcher = Dispatcher::new(limits, own_id, settings.operations);
        let bodies = BodyBudget::new(settings.body_bytes());
        let replies = BodyBudget::new(settings.reply_bytes());
        let memory = MemoryWatch::new(settings.memory_bytes());
        let catalogue = Catalogue::new(settings.enabled_orders());
        let quarantine = Quarantine::new(settings.quarantine);
        Rc::new(Self {
            bodies,
            replies,
            memory,
            settings,
            dialects,
            runtime,
            catalogue: RefCell::new(catalogue),
            snapshots: RefCell::default(),
            snapshot_transfers: TransferLimiter::default(),
            dispatcher: RefCell::new(dispatcher),
            waiting: RefCell::default(),
            pool: Pool::new(runtime, metrics.opened_connections()),
            metrics,
            log_limiter: RefCell::default(),
            shutdown: Cell::default(),
            open_answers: OpenAnswers::default(),
            overload: RefCell::default(),
            overflow: RefCell::default(),
            outage: RefCell::default(),
            source_condition: Cell::default(),
            started_from_restored: Cell::default(),
            fleet_count: Cell::default(),
            reads_quarantines: Cell::default(),
            broken: BrokenConnections::default(),
            quarantine: RefCell::new(quarantine),
            stream_origins: StreamOrigins::default(),
            unanswered_sends: RefCell::default(),
            peer_socket: OnceCell::new(),
            peer_fetch_failed: Cell::new(false),
            update_signal: UpdateSignal::default(),
            stop: StopSignal::default(),
            stop_limit: StopSignal::default(),
            open: OpenConnections::default(),
            stall_detector: RefCell::default(),
            started: runtime.now(),
        })
    }

    /// Lets the router learn how much memory the process has allocated.
    pub fn watch_heap(&self, usage: HeapUsage) {
        self.memory.set_usage(usage);
    }

    /// Returns the memory that all replies of sources and peers may hold together.
    pub fn reply_budget(&self) -> BodyBudget {
        self.replies.clone()
    }

    /// Returns the time since the router started, suspensions included.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.runtime.now().since(self.started)
    }

    /// Returns how long bytes that are read now may have waited in a socket: a request that lay unread
    /// while the machine was suspended must not get its full timeout again.
    pub(crate) fn read_delay(&self) -> ReadDelay {
        let now = self.now();
        let stall_detector = self.stall_detector.borrow();
        ReadDelay {
            estimated: now.since(stall_detector.earliest_arrival(now)),
            longest: stall_detector.longest_wait(now),
        }
    }

    /// Returns how late a timer may fire, by the recent delays of the event loop.
    pub(crate) fn lateness(&self) -> Duration {
        self.stall_detector.borrow().lateness(self.now())
    }

    /// Returns the earliest time at which a signal that is read now may have arrived.
    pub(crate) fn earliest_signal(&self) -> Timestamp {
        self.stall_detector.borrow().earliest_signal(self.now())
    }

    /// Waits after a stall until updates from a peer or a source are in force, for some tenths of a
    /// second at most: keys may have been revoked meanwhile.
    pub(crate) async fn wait_until_up_to_date(&self) {
        while self.is_waiting_for_updates() {
            self.runtime.sleep(ALIGNED_TICK_INTERVAL).await;
        }
    }

    fn is_waiting_for_updates(&self) -> bool {
        let now = self.now();
        let stall_detector = self.stall_detector.borrow();
        if !stall_detector.may_be_outdated(now, self.settings.propagation) {
            return false;
        }
        let is_behind = self.dispatcher.borrow().is_behind(now);
        is_behind || !stall_detector.has_contact_since_stall(now)
    }

    /// Records that a peer sent a message or a source answered.
    pub(crate) fn record_contact(&self) {
        self.stall_detector.borrow_mut().on_contact(self.now());
    }

    /// Evaluates roll-outs by the counts of the fleet. Returns the states to record at the source.
    pub fn evaluate_rollouts(&self) -> Vec<RolloutRecord> {
        self.dispatcher.borrow_mut().evaluate_rollouts(self.now())
    }

    /// Tells the dispatcher whether there is an idle connection to a back end.
    pub(crate) fn update_idle_connection(&self, id: &BackEndId) {
        let has_idle = self.pool.has_idle(id);
        self.dispatcher.borrow_mut().set_idle_connection(id, has_idle);
    }

    /// Returns how long the next call to a source may wait for a change.
    ///
    /// The first call after the router begins to follow the source is answered at once: the router
    /// may have missed changes, and its peers learn that the source is reachable.
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
            self.runtime.sleep(self.runtime.until_aligned_tick(FOLLOW_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether this router is one of those that follow the source.
    pub fn is_following_source(&self) -> bool {
        self.watches_source()
    }

    /// Returns whether this router follows the source: as one of the fleet's few, because newer
    /// versions could not be fetched from a peer, or because its state is incomplete and it no
    /// longer waits for its peers.
    fn watches_source(&self) -> bool {
        let now = self.now();
        let dispatcher = self.dispatcher.borrow();
        let is_complete = self.catalogue.borrow().is_complete();
        if self.peer_fetch_failed.get() || is_complete {
            return self.peer_fetch_failed.get() || dispatcher.watches_source(now);
        }
        let starting = StartingRouter {
            running: now.since(Timestamp::ZERO),
            routers: dispatcher.fleet_size(),
            is_seed: self.settings.seeds.is_empty() || self.settings.is_seed(),
            watches_source: dispatcher.watches_source(now),
            others_reach_source: dispatcher.others_reach_source(now),
        };
        starting.queries_source()
    }

    /// Records that the source has never had a configuration, so that no stream has begun yet.
    pub fn on_unconfigured_source(&self) {
        self.dispatcher.borrow_mut().on_unconfigured_source(self.now());
    }

    /// Records the result of a call to a source.
    pub fn on_source_contact(&self, contact: SourceContact) {
        if contact == SourceContact::Answered {
            self.record_contact();
        }
        self.dispatcher.borrow_mut().on_source_contact(contact);
    }

    /// Returns the kinds of operators' orders that this router follows.
    pub fn enabled_orders(&self) -> EnabledOrders {
        self.settings.enabled_orders()
    }

    /// Returns the number of routers in the fleet, the highest that any router knows of.
    pub fn fleet_size(&self) -> usize {
        self.dispatcher.borrow().fleet_size()
    }

    /// Returns whether any request is quarantined.
    pub fn has_quarantined_any(&self) -> bool {
        !self.quarantine.borrow().quarantined(self.now()).is_empty()
    }

    /// Returns whether the router takes requests.
    pub fn is_ready(&self) -> bool {
        self.phase() == RouterPhase::Serving
            && self.catalogue.borrow().is_complete()
            && !self.is_waiting_to_start()
    }

    /// Records whether the router is reading the archive of quarantined requests for the first time.
    /// A router that has learned its routes from peers takes requests already, and goes on.
    pub(crate) fn set_reading_quarantines(&self, is_reading: bool) {
        let is_starting = !self.catalogue.borrow().is_complete();
        self.reads_quarantines.set(is_reading && is_starting);
    }

    /// Returns whether the router has just started and must not use its routes yet: it is reading
    /// what is quarantined, or waits for its peers.
    fn is_waiting_to_start(&self) -> bool {
        // Called for each request; true only rarely and briefly.
        if !self.reads_quarantines.get() && !self.started_from_restored.get() {
            return false;
        }
        let has_waited = self.now().since(Timestamp::ZERO) >= START_WAIT_LIMIT;
        !has_waited && (self.reads_quarantines.get() || self.is_waiting_for_peers())
    }

    /// Returns whether the router started from a source that was once restored from an older copy,
    /// and must wait for messages from its peers, which may have newer versions.
    fn is_waiting_for_peers(&self) -> bool {
        let dispatcher = self.dispatcher.borrow();
        self.started_from_restored.get()
            && (dispatcher.routers() == 1 || dispatcher.is_behind(self.now()))
    }

    /// Returns whether the router serves new callers, sheds them, or is stopping.
    pub fn phase(&self) -> RouterPhase {
        if self.is_stopping() {
            RouterPhase::Leaving
        } else if self.overload.borrow().is_shedding() {
            RouterPhase::Shedding
        } else {
            RouterPhase::Serving
        }
    }

    fn is_stopping(&self) -> bool {
        self.shutdown.get().schedule().is_some()
    }

    /// Returns whether a request that has not run may be sent to a back end, with regard to a stop.
    pub(crate) fn accepts(&self, call: &Call) -> bool {
        self.shutdown.get().accepts(self.now(), call.deadline)
    }

    /// Logs that a request is accepted or rejected while the router stops.
    pub(crate) fn log_during_stop(&self, call: &Call, decision: StopDecision, stage: StopStage) {
        let Some(schedule) = self.shutdown.get().schedule() else { return };
        let kind = match decision {
            StopDecision::Accepted => LogLineKind::Success,
            StopDecision::Rejected => LogLineKind::Failure,
        };
        if self.may_write_line(kind) {
            events::request_during_stop(call, &schedule, decision, stage, self.now());
        }
    }

    /// Returns the fraction of new connections to close unread; zero during a planned stop.
    pub(crate) fn rejected_fraction(&self) -> f64 {
        if self.is_stopping() { 0.0 } else { self.overload.borrow().rejected_fraction() }
    }

    /// Returns the fraction of new connections to offer to peers; zero during a planned stop.
    pub(crate) fn overflow_fraction(&self) -> f64 {
        if self.is_stopping() { 0.0 } else { self.overload.borrow().offloaded_fraction() }
    }

    /// Counts a new connection that was not served normally.
    pub(crate) fn record_overflow(&self, outcome: OverflowOutcome) {
        self.metrics.on_overflow(outcome);
        self.overflow.borrow_mut().record(outcome);
    }

    /// Returns whether the router accepts connections from overloaded peers.
    pub(crate) fn accepts_offloaded(&self) -> bool {
        self.is_ready()
            && !self.overload.borrow().is_under_pressure()
            && self.open.count() <= self.settings.crowded_connections()
    }

    /// Returns the time for which events after the first of a stream are batched; `None` unless the
    /// router is under pressure.
    pub(crate) fn batching_interval(&self) -> Option<Duration> {
        let is_under_pressure = self.overload.borrow().is_under_pressure();
        is_under_pressure.then(|| self.settings.event_delay.mul_f64(BATCHING_FRACTION))
    }

    /// Returns the time for which bytes of a peer's answer are batched.
    pub(crate) fn offload_interval(&self) -> Duration {
        self.settings.event_delay.mul_f64(OFFLOAD_BATCHING_FRACTION)
    }

    /// Returns whether answers close their connections: callers should connect to another router,
    /// or many connections are open.
    pub(crate) fn ends_connections(&self) -> bool {
        self.phase() != RouterPhase::Serving
            || self.overflow_fraction() > 0.0
            || self.open.count() > self.settings.crowded_connections()
    }

    /// Returns the version of the configuration and the revision of the back ends, zero if unknown.
    pub fn versions(&self) -> (u64, Revision) {
        let versions = self.catalogue.borrow().versions();
        (versions.configuration, versions.back_ends)
    }

    /// Returns the route table in force; `None` while the router waits to start.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        let table = self.catalogue.borrow().table();
        table.filter(|_| !self.is_waiting_to_start())
    }

    /// Returns whether the retry budget of a service allows another attempt.
    pub(crate) fn has_retries(&self, service: &str) -> bool {
        self.dispatcher.borrow_mut().retries_left(self.now(), service) > 0
    }

    /// Takes a retry from the budget of the request's service. Returns false if it is empty.
    pub(crate) fn take_retry(&self, call: &Call) -> bool {
        let is_taken = self.dispatcher.borrow_mut().take_retry(self.now(), &call.service);
        let status = self.dispatcher.borrow_mut().retry_status(self.now(), &call.service);
        self.metrics.on_retry(&call.service, is_taken);
        if self.may_write_line(LogLineKind::Failure) {
            events::retry(call, is_taken, status);
        }
        is_taken
    }

    /// Returns whether a log line about a request may be written now. Logs how many were suppressed
    /// once a period has ended.
    pub(crate) fn may_write_line(&self, kind: LogLineKind) -> bool {
        let (is_written, suppressed) = self.log_limiter.borrow_mut().allow(self.now(), kind);
        if let Some(suppressed) = suppressed {
            events::lines_left_out(suppressed);
        }
        is_written
    }
}
