//! The gateway's state and what it does with messages and time.

mod inspect;
mod messages;

use crate::admission::Admission;
use crate::journal::{Happening, Journal};
use crate::metrics::{GatewayMetrics, RequestLabels, ServiceLabels};
use crate::request::AcceptedRequest;
use crate::settings::GatewaySettings;
use mastbay_attempts::{NotRunReason, Outcome, RetryBudget};
use mastbay_claims::{
    ClaimAnswer, ClaimClient, ClaimClientConfig, ClaimMessage, ClaimOutcome, ClaimRequest, Intent,
};
use mastbay_configuration::Backend;
use mastbay_grants::{Assignment, Demand, DemandConfig};
use mastbay_node::{Node, Wake};
use mastbay_peer::Message;
use mastbay_telemetry::NotReady;
use mastbay_types::{
    BackendName, CellId, Cost, ProcessId, RequestId, ServiceName, TenantName, Timestamp,
    by_rendezvous,
};
use mastbay_web::{IdleConnections, Stopper};
use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Idle connections kept for each back end.
const MOST_IDLE: usize = 64;
/// Longest sleep between two looks at the timers.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);

struct State {
    admission: Option<Admission>,
    demands: BTreeMap<CellId, Demand>,
    waiters: HashMap<RequestId, Waiter>,
    claims: ClaimClient,
    claim_waiters: HashMap<RequestId, Sender<ClaimOutcome>>,
    budgets: HashMap<ServiceName, RetryBudget>,
    journal: Journal,
    /// Schedulers alive, before each cell's own order.
    schedulers: Vec<ProcessId>,
}

/// A request that waits for its grant.
struct Waiter {
    cell: CellId,
    sender: Sender<Assignment>,
}

/// The gateway's duty.
pub struct GatewayDuty {
    node: Arc<Node>,
    settings: GatewaySettings,
    metrics: GatewayMetrics,
    connections: IdleConnections,
    callers: OnceLock<Stopper>,
    state: Mutex<State>,
    wake: Wake,
}

impl GatewayDuty {
    /// A gateway without requests.
    pub fn new(node: Arc<Node>, settings: GatewaySettings, metrics: GatewayMetrics) -> Arc<Self> {
        let state = State {
            admission: None,
            demands: BTreeMap::new(),
            waiters: HashMap::new(),
            claims: ClaimClient::new(ClaimClientConfig::default()),
            claim_waiters: HashMap::new(),
            budgets: HashMap::new(),
            journal: Journal::new(settings.journal),
            schedulers: Vec::new(),
        };
        Arc::new(Self {
            node,
            settings,
            metrics,
            connections: IdleConnections::new(MOST_IDLE),
            callers: OnceLock::new(),
            state: Mutex::new(state),
            wake: Wake::default(),
        })
    }

    /// The process as a member.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// The gateway's settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// The gateway's metrics.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.metrics
    }

    /// Connections to back ends.
    pub fn connections(&self) -> &IdleConnections {
        &self.connections
    }

    /// Sets the handle of the server that callers connect to, for its counts.
    pub fn set_callers(&self, stopper: Stopper) {
        // Set once, at the start.
        let _ = self.callers.set(stopper);
    }

    /// What requests are checked against, once a configuration is in force and fresh enough.
    pub fn admission(&self) -> Option<Admission> {
        match self.node.ready() {
            Ok(()) | Err(NotReady::Stopping) => self.lock().admission.clone(),
            Err(_) => None,
        }
    }

    /// A back end's declaration in force.
    pub fn backend(&self, name: &BackendName) -> Option<Backend> {
        self.lock().admission.as_ref()?.configuration.backends.get(name).cloned()
    }

    /// Puts a request in its tenant's queue. The receiver gets its grant; it closes if the service
    /// is taken away.
    pub fn enqueue(&self, request: &AcceptedRequest) -> Result<Receiver<Assignment>, NotRunReason> {
        let mut state = self.lock();
        let most_waiting = state
            .admission
            .as_ref()
            .and_then(|admission| admission.configuration.tenants.get(&request.tenant))
            .map_or(0, |tenant| tenant.most_waiting as usize);
        let demand = self.demand(&mut state, &request.cell);
        if demand.waiting(&request.tenant) >= most_waiting {
            return Err(NotRunReason::QueueFull);
        }
        demand.enqueue(&request.tenant, request.name.id);
        let budget = state.budgets.entry(request.cell.service.clone()).or_default();
        budget.record_request();
        let receiver = add_waiter(&mut state, &request.cell, request.name.id);
        drop(state);
        self.flush();
        Ok(receiver)
    }

    /// Puts a request that was granted, and is to be tried again, back at the head of its queue.
    pub fn requeue(&self, cell: &CellId, id: RequestId) -> Receiver<Assignment> {
        self.metrics.retries.inc();
        let mut state = self.lock();
        if let Some(demand) = state.demands.get_mut(cell) {
            demand.requeue(id);
        }
        let receiver = add_waiter(&mut state, cell, id);
        drop(state);
        self.flush();
        receiver
    }

    /// Takes a request out of its queue, or ends it where it was granted meanwhile.
    pub fn give_up(&self, cell: &CellId, tenant: &TenantName, id: RequestId) {
        let mut state = self.lock();
        state.waiters.remove(&id);
        if let Some(demand) = state.demands.get_mut(cell)
            && !demand.cancel(tenant, id)
        {
            demand.finish(id, Cost::ZERO, false);
        }
        drop(state);
        self.flush();
    }

    /// Adds service that a running request has just received.
    pub fn progress(&self, cell: &CellId, tenant: &TenantName, id: RequestId, more: Cost) {
        self.count_service(cell, tenant, more);
        if let Some(demand) = self.lock().demands.get_mut(cell) {
            demand.progress(id, more);
        }
    }

    /// Ends a running request that cost `total`, of which `counted` was counted as progress.
    pub fn finish(&self, cell: &CellId, tenant: &TenantName, id: RequestId, cost: FinalCost) {
        self.count_service(cell, tenant, cost.total.minus(cost.counted));
        if let Some(demand) = self.lock().demands.get_mut(cell) {
            demand.finish(id, cost.total, cost.typical);
        }
        self.flush();
    }

    fn count_service(&self, cell: &CellId, tenant: &TenantName, more: Cost) {
        let (service, tenant) = (cell.service.to_string(), tenant.to_string());
        let counter = self.metrics.service.get_or_create_owned(&ServiceLabels { service, tenant });
        counter.inc_by(u64::try_from(more.0).unwrap_or(0));
    }

    /// Notes that a back end could not be reached.
    pub fn note_unreachable(&self, cell: &CellId, backend: &BackendName) {
        if let Some(demand) = self.lock().demands.get_mut(cell) {
            demand.note_unreachable(backend);
        }
    }

    /// Lets `decide` use the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        decide(self.lock().budgets.entry(service.clone()).or_default())
    }

    /// Asks for a claim. The receiver gets the verdict.
    pub fn take_claim(&self, wish: ClaimRequest) -> Receiver<ClaimOutcome> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut state = self.lock();
        state.claim_waiters.insert(wish.request, sender);
        state.claims.submit(self.node.now(), wish);
        drop(state);
        self.flush();
        receiver
    }

    /// Stops to wait for a claim. A write under way may yet take effect.
    pub fn forget_claim(&self, wish: &ClaimRequest) {
        let mut state = self.lock();
        state.claim_waiters.remove(&wish.request);
        state.claims.forget(wish);
    }

    /// Notes in the claim what became of its request.
    pub fn note_claim(&self, wish: ClaimRequest) {
        let now = self.node.now();
        self.lock().claims.submit(now, wish);
        self.flush();
    }

    /// Whether claims still have to be settled.
    pub fn has_claims_under_way(&self) -> bool {
        self.lock().claims.next_timeout() != Timestamp::NEVER
    }

    /// Begins the account of a request.
    pub fn begin_account(&self, request: &AcceptedRequest) {
        let now = self.node.now();
        let mut state = self.lock();
        state.journal.begin(request.name.id, &request.tenant, &request.cell, now);
    }

    /// Adds to the account of a request.
    pub fn note(&self, id: RequestId, happening: Happening) {
        let now = self.node.now();
        self.lock().journal.note(id, now, happening);
    }

    /// Counts a request that ended.
    pub fn count_outcome(&self, service: &str, tenant: &str, outcome: Outcome) {
        let labels = RequestLabels {
            service: service.to_owned(),
            tenant: tenant.to_owned(),
            outcome: outcome.to_string(),
            code: outcome.code(),
        };
        self.metrics.requests.get_or_create_owned(&labels).inc();
    }

    /// Tells every request that waits that it will not be run.
    pub fn drop_waiters(&self) {
        self.lock().waiters.clear();
    }

    /// Sends whatever is due to schedulers.
    pub fn flush(&self) {
        let now = self.node.now();
        let mut outgoing = Vec::new();
        let mut state = self.lock();
        for demand in state.demands.values_mut() {
            while let Some((to, report)) = demand.poll_report(now) {
                outgoing.push((to, Message::Report(report)));
            }
        }
        let (wishes, given_up) = state.claims.poll(now);
        for answer in given_up {
            settle_claim(&mut state, answer);
        }
        drop(state);
        for (to, wish) in wishes {
            outgoing.push((to, Message::Claim(ClaimMessage::Request(wish))));
        }
        for (to, message) in outgoing {
            self.node.send(&to, message);
        }
        self.wake.wake();
    }

    /// Runs the timers for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.flush();
            // `flush` wakes the loop for its callers' sake; that wake-up is used up here.
            self.wake.clear();
            self.publish();
            let sleep = self.next_timeout().since(self.node.now()).min(LONGEST_SLEEP);
            self.wake.sleep(sleep).await;
        }
    }

    fn next_timeout(&self) -> Timestamp {
        let state = self.lock();
        let demands = state.demands.values().map(Demand::next_timeout);
        demands.chain([state.claims.next_timeout()]).min().unwrap_or(Timestamp::NEVER)
    }

    fn publish(&self) {
        let state = self.lock();
        let total = |count: fn(&Demand) -> usize| -> i64 {
            let sum: usize = state.demands.values().map(count).sum();
            i64::try_from(sum).unwrap_or(i64::MAX)
        };
        self.metrics.waiting.set(total(Demand::waiting_in_total));
        self.metrics.running.set(total(Demand::running_in_total));
        if let Some(callers) = self.callers.get() {
            let store = |counter: &prometheus_client::metrics::counter::Counter, value| {
                counter.inner().store(value, std::sync::atomic::Ordering::Relaxed);
            };
            store(&self.metrics.refused_connections, callers.refused_connections());
            store(&self.metrics.malformed_requests, callers.malformed_requests());
        }
    }

    fn demand<'a>(&self, state: &'a mut State, cell: &CellId) -> &'a mut Demand {
        let State { demands, schedulers, .. } = state;
        demands.entry(cell.clone()).or_insert_with(|| {
            let incarnation = self.node.incarnation();
            let mut demand = Demand::new(cell.clone(), DemandConfig::default(), incarnation);
            demand.set_schedulers(in_order(cell, schedulers));
            demand
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a request cost in the end.
#[derive(Debug, Clone, Copy)]
pub struct FinalCost {
    /// In all.
    pub total: Cost,
    /// Of that, counted before as progress.
    pub counted: Cost,
    /// Whether it tells something of what such requests cost.
    pub typical: bool,
}

fn add_waiter(state: &mut State, cell: &CellId, id: RequestId) -> Receiver<Assignment> {
    let (sender, receiver) = smol::channel::bounded(1);
    state.waiters.insert(id, Waiter { cell: cell.clone(), sender });
    receiver
}

fn settle_claim(state: &mut State, answer: ClaimAnswer) {
    if answer.request.intent != Intent::Take {
        return;
    }
    if let Some(waiter) = state.claim_waiters.remove(&answer.request.request) {
        // A request that no longer waits has settled its claim itself.
        let _ = waiter.try_send(answer.outcome);
    }
}

/// Schedulers in a cell's own order.
fn in_order(cell: &CellId, schedulers: &[ProcessId]) -> Vec<ProcessId> {
    by_rendezvous(&cell.rendezvous_key(), schedulers).into_iter().cloned().collect()
}
