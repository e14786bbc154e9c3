//! What a scheduler does with messages and time.

use crate::cells::Cells;
use crate::claims;
use crate::machines;
use crate::metrics::SchedulerMetrics;
use crate::settings::SchedulerSettings;
use mastbay_claims::{ClaimKeeper, ClaimMessage, KeeperConfig};
use mastbay_configuration::FleetConfiguration;
use mastbay_grants::Grants;
use mastbay_machines::{MachineBoard, MachineList, MachineMessage};
use mastbay_membership::Role;
use mastbay_node::{Clock, Duty, Node, Wake};
use mastbay_peer::Message;
use mastbay_telemetry::{Inspect, NotReady};
use mastbay_types::{ProcessId, TenantName, Timestamp};
use serde_json::Value;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest sleep between two looks at the timers.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);

struct State {
    cells: Cells,
    keeper: ClaimKeeper,
    board: MachineBoard,
}

/// The scheduler's duty.
pub struct SchedulerDuty {
    node: Arc<Node>,
    settings: SchedulerSettings,
    metrics: SchedulerMetrics,
    state: Mutex<State>,
    wake: Wake,
}

impl SchedulerDuty {
    /// A scheduler without cells or claims.
    pub fn new(
        node: Arc<Node>,
        settings: SchedulerSettings,
        metrics: SchedulerMetrics,
    ) -> Arc<Self> {
        let state = State {
            cells: Cells::new(node.me().clone(), node.incarnation()),
            keeper: ClaimKeeper::new(KeeperConfig::default()),
            board: MachineBoard::default(),
        };
        let (state, wake) = (Mutex::new(state), Wake::default());
        Arc::new(Self { node, settings, metrics, state, wake })
    }

    /// The process as a member.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// The scheduler's settings.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// The scheduler's metrics.
    pub fn metrics(&self) -> &SchedulerMetrics {
        &self.metrics
    }

    /// Counts a failed call for claims.
    pub fn note_claim_outcome(&self, failed: bool) {
        if failed {
            self.metrics.claim_failures.inc();
        }
    }

    /// Changes the claim keeper and sends the answers that are ready.
    pub fn with_keeper(&self, change: impl FnOnce(&mut ClaimKeeper)) {
        let mut state = self.lock();
        change(&mut state.keeper);
        let answers = state.keeper.take_answers();
        drop(state);
        for (to, answer) in answers {
            self.node.send(&to, Message::Claim(ClaimMessage::Answer(answer)));
        }
    }

    /// Offers a machine list. Returns whether it was news.
    pub fn offer_machines(&self, list: MachineList) -> bool {
        let mut state = self.lock();
        let State { cells, board, .. } = &mut *state;
        let news = board.offer(list);
        if news {
            cells.mark_leaving(board);
        }
        news
    }

    /// Makes the loop look at the timers now.
    pub fn wake(&self) {
        self.wake.wake();
    }

    /// Runs the timers for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            let now = self.node.now();
            let next = self.pass_time(now);
            let sleep = next.since(self.node.now()).min(LONGEST_SLEEP);
            self.wake.sleep(sleep).await;
        }
    }

    fn pass_time(self: &Arc<Self>, now: Timestamp) -> Timestamp {
        let mut state = self.lock();
        let outgoing = state.cells.handle_timeout(now);
        state.cells.publish(&self.metrics);
        let operation = state.keeper.poll(now, Clock::unix_seconds());
        let next = state.cells.next_timeout(now).min(state.keeper.next_timeout(now));
        drop(state);
        self.send_grants(outgoing);
        self.with_keeper(|_| ());
        if let Some(operation) = operation {
            smol::spawn(claims::carry_out(self.clone(), operation)).detach();
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
            MachineMessage::List(list) => machines::take_list(self, list),
            MachineMessage::ListRequest => {
                let list = self.lock().board.newest().clone();
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
                let State { cells, board, .. } = &mut *state;
                let outgoing =
                    cells.handle_report(now, from, report, board, || self.node.live(Role::Gateway));
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
        let share = self.settings.claim_writes_per_second as f64 / schedulers.len().max(1) as f64;
        self.lock().keeper.set_spacing(Duration::from_secs_f64(1.0 / share));
        for peer in schedulers.iter().filter(|peer| *peer != self.node.me()) {
            self.node.send(peer, Message::Machines(MachineMessage::ListRequest));
        }
    }

    fn configuration_changed(&self, configuration: &Arc<FleetConfiguration>) {
        let mut state = self.lock();
        let State { cells, board, .. } = &mut *state;
        cells.configure(configuration, board);
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
