//! The state of the gateway, its timers and its messages to schedulers.

mod inspect;
mod messages;

use crate::admission::Admission;
use crate::journal::{Journal, RequestEvent};
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

/// Maximum number of idle connections per back end.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time between two runs of the timers.
const MAX_SLEEP: Duration = Duration::from_millis(200);

struct State {
    admission: Option<Admission>,
    demands: BTreeMap<CellId, Demand>,
    waiters: HashMap<RequestId, Waiter>,
    claims: ClaimClient,
    claim_waiters: HashMap<RequestId, Sender<ClaimOutcome>>,
    budgets: HashMap<ServiceName, RetryBudget>,
    journal: Journal,
    /// Live schedulers; each cell orders them by rendezvous hashing.
    schedulers: Vec<ProcessId>,
}

/// A request waiting for its grant.
struct Waiter {
    cell: CellId,
    sender: Sender<Assignment>,
}

/// The state of a gateway, shared by all its requests.
pub struct GatewayDuty {
    node: Arc<Node>,
    settings: GatewaySettings,
    metrics: GatewayMetrics,
    connections: IdleConnections,
    caller_server: OnceLock<Stopper>,
    state: Mutex<State>,
    wake: Wake,
}

impl GatewayDuty {
    /// Creates a gateway without requests or configuration.
    pub fn new(node: Arc<Node>, settings: GatewaySettings, metrics: GatewayMetrics) -> Arc<Self> {
        let state = State {
            admission: None,
            demands: BTreeMap::new(),
            waiters: HashMap::new(),
            claims: ClaimClient::new(ClaimClientConfig::default()),
            claim_waiters: HashMap::new(),
            budgets: HashMap::new(),
            journal: Journal::new(settings.journal_capacity),
            schedulers: Vec::new(),
        };
        Arc::new(Self {
            node,
            settings,
            metrics,
            connections: IdleConnections::new(MAX_IDLE_CONNECTIONS),
            caller_server: OnceLock::new(),
            state: Mutex::new(state),
            wake: Wake::default(),
        })
    }

    /// Returns this process as a member of the fleet.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the settings of the section `[gateway]`.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.metrics
    }

    /// Returns the pool of idle connections to back ends.
    pub fn connections(&self) -> &IdleConnections {
        &self.connections
    }

    /// Sets the handle of the server for callers, whose counts are published as metrics.
    pub fn set_caller_server(&self, stopper: Stopper) {
        // Called once, at startup.
        let _ = self.caller_server.set(stopper);
    }

    /// Returns the configuration to check requests against; `None` while the process is not ready.
    /// A stopping process still accepts requests.
    pub fn admission(&self) -> Option<Admission> {
        match self.node.ready() {
            Ok(()) | Err(NotReady::Stopping) => self.lock().admission.clone(),
            Err(_) => None,
        }
    }

    /// Returns the current configuration of a back end.
    pub fn backend(&self, name: &BackendName) -> Option<Backend> {
        self.lock().admission.as_ref()?.configuration.backends.get(name).cloned()
    }

    /// Puts a request in its tenant's queue, unless that is full. The receiver gets the grant; it
    /// is closed if the service is removed from the configuration or the gateway stops.
    pub fn enqueue(&self, request: &AcceptedRequest) -> Result<Receiver<Assignment>, NotRunReason> {
        let mut state = self.lock();
        let max_waiting = state
            .admission
            .as_ref()
            .and_then(|admission| admission.configuration.tenants.get(&request.tenant))
            .map_or(0, |tenant| tenant.most_waiting as usize);
        let demand = self.demand(&mut state, &request.cell);
        if demand.waiting(&request.tenant) >= max_waiting {
            return Err(NotRunReason::QueueFull);
        }
        demand.enqueue(&request.tenant, request.identity.id);
        let budget = state.budgets.entry(request.cell.service.clone()).or_default();
        budget.record_request();
        let receiver = add_waiter(&mut state, &request.cell, request.identity.id);
        drop(state);
        self.flush();
        Ok(receiver)
    }

    /// Puts a granted request back at the head of its queue for another attempt.
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

    /// Removes a request from its queue, or releases its slot if it was already granted.
    pub fn cancel(&self, cell: &CellId, tenant: &TenantName, id: RequestId) {
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

    /// Adds service that a running request received since the last call.
    pub fn progress(&self, cell: &CellId, tenant: &TenantName, id: RequestId, more: Cost) {
        self.count_service(cell, tenant, more);
        if let Some(demand) = self.lock().demands.get_mut(cell) {
            demand.progress(id, more);
        }
    }

    /// Ends a running request and counts the part of its cost not yet counted as progress.
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

    /// Returns how many times a back end sent events or an answer to this gateway.
    pub fn responses(&self, cell: &CellId, backend: &BackendName) -> u64 {
        self.lock().demands.get(cell).map_or(0, |demand| demand.responses(backend))
    }

    /// Records that a connection to a back end failed, which had sent `responses` when it began.
    pub fn record_unreachable(&self, cell: &CellId, backend: &BackendName, responses: u64) {
        if let Some(demand) = self.lock().demands.get_mut(cell) {
            demand.note_unreachable(backend, responses);
        }
    }

    /// Runs `decide` on the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        decide(self.lock().budgets.entry(service.clone()).or_default())
    }

    /// Requests a claim. The receiver gets the answer.
    pub fn take_claim(&self, claim_request: ClaimRequest) -> Receiver<ClaimOutcome> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut state = self.lock();
        state.claim_waiters.insert(claim_request.request, sender);
        state.claims.submit(self.node.now(), claim_request);
        drop(state);
        self.flush();
        receiver
    }

    /// Stops waiting for a claim. A write in flight may still take effect.
    pub fn abandon_claim(&self, claim_request: &ClaimRequest) {
        let mut state = self.lock();
        state.claim_waiters.remove(&claim_request.request);
        state.claims.forget(claim_request);
    }

    /// Sends the settlement of a claim to its keeper.
    pub fn settle_claim(&self, claim_request: ClaimRequest) {
        let now = self.node.now();
        self.lock().claims.submit(now, claim_request);
        self.flush();
    }

    /// Whether requests for claims are still pending.
    pub fn has_pending_claims(&self) -> bool {
        self.lock().claims.next_timeout() != Timestamp::NEVER
    }

    /// Adds a request to the journal.
    pub fn begin_journal_entry(&self, request: &AcceptedRequest) {
        let now = self.node.now();
        let mut state = self.lock();
        state.journal.begin(request.identity.id, &request.tenant, &request.cell, now);
    }

    /// Records an event of a request in the journal.
    pub fn record_event(&self, id: RequestId, event: RequestEvent) {
        let now = self.node.now();
        self.lock().journal.record(id, now, event);
    }

    /// Counts a finished request. `service` and `tenant` are empty before admission.
    pub fn count_outcome(&self, service: &str, tenant: &str, outcome: Outcome) {
        let labels = RequestLabels {
            service: service.to_owned(),
            tenant: tenant.to_owned(),
            outcome: outcome.to_string(),
            code: outcome.code(),
        };
        self.metrics.requests.get_or_create_owned(&labels).inc();
    }

    /// Closes the grant channel of every waiting request; they end as not run.
    pub fn drop_waiters(&self) {
        self.lock().waiters.clear();
    }

    /// Sends the reports and claim requests that are due to schedulers.
    pub fn flush(&self) {
        let now = self.node.now();
        let mut outgoing = Vec::new();
        let mut state = self.lock();
        for demand in state.demands.values_mut() {
            while let Some((to, report)) = demand.poll_report(now) {
                outgoing.push((to, Message::Report(report)));
            }
        }
        let (claim_requests, timed_out) = state.claims.poll(now);
        for answer in timed_out {
            deliver_claim_answer(&mut state, answer);
        }
        drop(state);
        for (to, claim_request) in claim_requests {
            outgoing.push((to, Message::Claim(ClaimMessage::Request(claim_request))));
        }
        for (to, message) in outgoing {
            self.node.send(&to, message);
        }
        self.wake.wake();
    }

    /// Runs the timers until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.flush();
            // `flush` wakes this loop when others call it; its own wake-up is cleared.
            self.wake.clear();
            self.publish();
            let sleep = self.next_timeout().since(self.node.now()).min(MAX_SLEEP);
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
        if let Some(server) = self.caller_server.get() {
            let store = |counter: &prometheus_client::metrics::counter::Counter, value| {
                counter.inner().store(value, std::sync::atomic::Ordering::Relaxed);
            };
            store(&self.metrics.refused_connections, server.refused_connections());
            store(&self.metrics.malformed_requests, server.malformed_requests());
        }
    }

    fn demand<'a>(&self, state: &'a mut State, cell: &CellId) -> &'a mut Demand {
        let State { demands, schedulers, .. } = state;
        demands.entry(cell.clone()).or_insert_with(|| {
            let incarnation = self.node.incarnation();
            let mut demand = Demand::new(cell.clone(), DemandConfig::default(), incarnation);
            demand.set_schedulers(rendezvous_order(cell, schedulers));
            demand
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The final cost of a request.
#[derive(Debug, Clone, Copy)]
pub struct FinalCost {
    /// Total cost.
    pub total: Cost,
    /// Part of the total already counted as progress.
    pub counted: Cost,
    /// Whether the cost may be used to estimate that of similar requests.
    pub typical: bool,
}

fn add_waiter(state: &mut State, cell: &CellId, id: RequestId) -> Receiver<Assignment> {
    let (sender, receiver) = smol::channel::bounded(1);
    state.waiters.insert(id, Waiter { cell: cell.clone(), sender });
    receiver
}

fn deliver_claim_answer(state: &mut State, answer: ClaimAnswer) {
    if answer.request.intent != Intent::Take {
        return;
    }
    if let Some(waiter) = state.claim_waiters.remove(&answer.request.request) {
        // Fails only if the request no longer waits for the answer.
        let _ = waiter.try_send(answer.outcome);
    }
}

/// Returns the schedulers in the rendezvous order of a cell.
fn rendezvous_order(cell: &CellId, schedulers: &[ProcessId]) -> Vec<ProcessId> {
    by_rendezvous(&cell.rendezvous_key(), schedulers).into_iter().cloned().collect()
}
