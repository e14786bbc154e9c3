//! Handles messages, timers and configuration changes of the scheduler.

use crate::cells::Cells;
use crate::claims;
use crate::machines;
use crate::metrics::SchedulerMetrics;
use crate::settings::SchedulerSettings;
use mastbay_claims::{ClaimKeeper, ClaimMessage, KeeperConfig};
use mastbay_configuration::FleetConfiguration;
use mastbay_grants::Grants;
use mastbay_machines::{MachineList, MachineListCache, MachineMessage};
use mastbay_membership::Role;
use mastbay_node::{Clock, Duty, Node, Wake};
use mastbay_peer::Message;
use mastbay_telemetry::{Inspect, NotReady};
use mastbay_types::{ProcessId, TenantName, Timestamp};
use serde_json::Value;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum time between two runs of the timers.
const MAX_SLEEP: Duration = Duration::from_millis(200);

struct State {
    cells: Cells,
    keeper: ClaimKeeper,
    machine_list: MachineListCache,
}

/// The state of a scheduler and its handlers of messages and timers.
pub struct SchedulerDuty {
    node: Arc<Node>,
    settings: SchedulerSettings,
    metrics: SchedulerMetrics,
    state: Mutex<State>,
    wake: Wake,
}

impl SchedulerDuty {
    /// Creates a scheduler without cells or claims.
    pub fn new(
        node: Arc<Node>,
        settings: SchedulerSettings,
        metrics: SchedulerMetrics,
    ) -> Arc<Self> {
        let state = State {
            cells: Cells::new(node.me().clone(), node.incarnation()),
            keeper: ClaimKeeper::new(KeeperConfig::default()),
            machine_list: MachineListCache::default(),
        };
        let (state, wake) = (Mutex::new(state), Wake::default());
        Arc::new(Self { node, settings, metrics, state, wake })
    }

    /// Returns this process as a member of the fleet.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the settings of the section `[scheduler]`.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &SchedulerMetrics {
        &self.metrics
    }

    /// Counts a read or write of a claim shard if it failed.
    pub fn record_claim_outcome(&self, failed: bool) {
        if failed {
            self.metrics.claim_failures.inc();
        }
    }

    /// Runs `change` on the claim keeper, then sends the answers that are ready.
    pub fn with_keeper(&self, change: impl FnOnce(&mut ClaimKeeper)) {
        let mut state = self.lock();
        change(&mut state.keeper);
        let answers = state.keeper.take_answers();
        drop(state);
        for (to, answer) in answers {
            self.node.send(&to, Message::Claim(ClaimMessage::Answer(answer)));
        }
    }

    /// Applies a machine list if it is newer than the current one. Returns whether it was.
    pub fn offer_machines(&self, list: MachineList) -> bool {
        let mut state = self.lock();
        let State { cells, machine_list, .. } = &mut *state;
        let is_newer = machine_list.update(list);
        if is_newer {
            cells.mark_leaving(machine_list);
        }
        is_newer
    }

    /// Wakes the timer loop.
    pub fn wake(&self) {
        self.wake.wake();
    }

    /// Runs the timers until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            let now = self.node.now();
            let next = self.run_timers(now);
            let sleep = next.since(self.node.now()).min(MAX_SLEEP);
            self.wake.sleep(sleep).await;
        }
    }

    fn run_timers(self: &Arc<Self>, now: Timestamp) -> Timestamp {
        let mut state = self.lock();
        let outgoing = state.cells.handle_timeout(now);
        state.cells.publish(&self.metrics);
        let operation = state.keeper.poll(now, Clock::unix_seconds());
        let next = state.cells.next_timeout(now).min(state.keeper.next_timeout(now));
        drop(state);
        self.send_grants(outgoing);
        self.with_keeper(|_| ());
        if let Some(operation) = operation {
            smol::spawn(claims::execute(self.clone(), operation)).detach();
        }
        next
    }

    fn send_grants(&self, outgoing: Vec<(ProcessId, Grants)>) {
        for (to, grants) in outgoing {
            self.metrics.grants.inc_by(grants.grants.len() as u64);
            self.node.send(&to, Message::Grants(grants));
        }
    }

    fn handle_machines(&self, from: &ProcessId, message: MachineMessage) {
        match message {
            MachineMessage::List(list) => machines::handle_list(self, list),
            MachineMessage::ListRequest => {
                let list = self.lock().machine_list.newest().clone();
                self.node.send(from, Message::Machines(MachineMessage::List(list)));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Duty for SchedulerDuty {
    fn handle(&self, from: &ProcessId, message: Message) {
        match message {
            Message::Report(report) => {
                self.metrics.reports.inc();
                let now = self.node.now();
                let mut state = self.lock();
                let State { cells, machine_list, .. } = &mut *state;
                let outgoing = cells.handle_report(now, from, report, machine_list, || {
                    self.node.live(Role::Gateway)
                });
                drop(state);
                self.send_grants(outgoing);
            }
            Message::Claim(ClaimMessage::Request(wish)) => {
                let now = self.node.now();
                self.with_keeper(|keeper| keeper.handle_request(now, from, wish));
                self.wake();
            }
            Message::Machines(message) => self.handle_machines(from, message),
            // Meant for gateways, or handled by the node itself.
            Message::Grants(_)
            | Message::Claim(ClaimMessage::Answer(_))
            | Message::Membership(_)
            | Message::Spread(_) => {}
        }
    }

    fn members_changed(&self) {
        let schedulers = self.node.live(Role::Scheduler);
        let writes_per_second =
            self.settings.claim_writes_per_second as f64 / schedulers.len().max(1) as f64;
        self.lock().keeper.set_spacing(Duration::from_secs_f64(1.0 / writes_per_second));
        for peer in schedulers.iter().filter(|peer| *peer != self.node.me()) {
            self.node.send(peer, Message::Machines(MachineMessage::ListRequest));
        }
    }

    fn configuration_changed(&self, configuration: &Arc<FleetConfiguration>) {
        let mut state = self.lock();
        let State { cells, machine_list, .. } = &mut *state;
        cells.configure(configuration, machine_list);
    }
}

impl Inspect for SchedulerDuty {
    fn ready(&self) -> Result<(), NotReady> {
        self.node.ready()
    }

    fn status(&self) -> Value {
        let mut status = self.node.status();
        status["cells"] = self.lock().cells.status();
        status
    }

    fn explain(&self, subject: &str) -> Option<Value> {
        self.lock().cells.explain(&TenantName::from(subject))
    }
}
