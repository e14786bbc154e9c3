//! The process as a member of the fleet.

use crate::clock::Clock;
use crate::metrics::NodeMetrics;
use crate::settings::NodeSettings;
use crate::wake::Wake;
use crate::watch;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mastbay_configuration::{FleetConfiguration, Generation};
use mastbay_membership::{MemberState, Membership, MembershipConfig, Role, Transmit};
use mastbay_object_store::Platform;
use mastbay_peer::{Envelope, Message, Outbox, OutboxConfig, PeerSecret, ReceiveError, receive};
use mastbay_spread::{Action, Readiness, Spread, SpreadConfig, SpreadMessage};
use mastbay_telemetry::NotReady;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use mastbay_web::{Body, Server, empty, json, read_limited};
use rand::rngs::SysRng;
use rand::{RngExt, SeedableRng, TryRng};
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Largest peer post accepted, in bytes.
const POST_LIMIT: usize = 16 << 20;
/// Longest sleep between two looks at the timers.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// What a process does besides being a member.
pub trait Duty: Send + Sync + 'static {
    /// Takes a message that is not about membership or configuration.
    fn handle(&self, from: &ProcessId, message: Message);
    /// The live members changed.
    fn members_changed(&self);
    /// A configuration came into force.
    fn configuration_changed(&self, configuration: &Arc<FleetConfiguration>);
}

struct State {
    membership: Membership,
    spread: Spread,
    random: ChaCha12Rng,
    seen_revision: u64,
}

/// Membership, configuration and messages of one process.
pub struct Node {
    me: ProcessId,
    role: Role,
    incarnation: Incarnation,
    clock: Clock,
    secret: PeerSecret,
    seeds: Vec<ProcessId>,
    zone: String,
    outbox: Outbox,
    platform: Platform,
    metrics: NodeMetrics,
    state: Mutex<State>,
    stopping: AtomicBool,
    wake: Wake,
}

/// A generator seeded by the operating system.
fn seeded_generator() -> ChaCha12Rng {
    let mut seed = [0_u8; 32];
    // Without a source of randomness nothing here would be safe to do.
    SysRng.try_fill_bytes(&mut seed).expect("the operating system gives randomness");
    ChaCha12Rng::from_seed(seed)
}

impl Node {
    /// A member with the given settings. Nothing is sent before [`Node::run`].
    pub fn new(settings: &NodeSettings, role: Role, metrics: NodeMetrics) -> Arc<Self> {
        let clock = Clock::default();
        let me = ProcessId::from(&*settings.peer_address.to_string());
        let incarnation = Clock::incarnation();
        let secret = PeerSecret::new(&settings.peer_secret);
        let mut membership = Membership::new(
            me.clone(),
            role,
            Arc::from(&*settings.zone),
            incarnation,
            MembershipConfig::default(),
        );
        membership.set_seeds(settings.seeds.clone());
        let spread = Spread::new(SpreadConfig::default(), clock.now());
        let state =
            State { membership, spread, random: seeded_generator(), seen_revision: u64::MAX };
        Arc::new(Self {
            outbox: Outbox::new(me.clone(), secret.clone(), OutboxConfig::default()),
            platform: Platform::new(settings.platform_address, settings.platform_limit),
            seeds: settings.seeds.iter().filter(|seed| **seed != me).cloned().collect(),
            zone: settings.zone.clone(),
            me,
            role,
            incarnation,
            clock,
            secret,
            metrics,
            state: Mutex::new(state),
            stopping: AtomicBool::new(false),
            wake: Wake::default(),
        })
    }

    /// This process.
    pub fn me(&self) -> &ProcessId {
        &self.me
    }

    /// This life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The zone that the process stands in.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Monotonic time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The platform's client.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The node's metrics.
    pub fn metrics(&self) -> &NodeMetrics {
        &self.metrics
    }

    /// Sends a message to a peer; it may be lost.
    pub fn send(&self, to: &ProcessId, message: Message) {
        self.outbox.send(to, message);
    }

    /// A generator of its own for a task.
    pub fn random(&self) -> ChaCha12Rng {
        let mut state = self.lock();
        ChaCha12Rng::from_rng(&mut state.random)
    }

    /// Live processes of a role, this one included if it has that role.
    pub fn live(&self, role: Role) -> Vec<ProcessId> {
        self.lock().membership.live(role)
    }

    /// Live processes of this one's zone and role, itself included.
    pub(crate) fn live_in_zone(&self) -> Vec<ProcessId> {
        let state = self.lock();
        let membership = &state.membership;
        let mut live: Vec<ProcessId> = membership
            .others()
            .chain(std::iter::once(membership.me()))
            .filter(|member| member.role == self.role && *member.zone == *self.zone)
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| member.process.clone())
            .collect();
        live.sort();
        live
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<FleetConfiguration>> {
        self.lock().spread.configuration()
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.lock().spread.generation()
    }

    /// Whether the process may take work.
    pub fn ready(&self) -> Result<(), NotReady> {
        if self.stopping.load(Ordering::SeqCst) {
            return Err(NotReady::Stopping);
        }
        let now = self.now();
        match self.lock().spread.readiness(now) {
            Readiness::Ready => Ok(()),
            Readiness::Asking => Err(NotReady::Asking),
            Readiness::Unconfigured => Err(NotReady::Unconfigured),
        }
    }

    /// Tells the peers that this process stops.
    pub fn leave(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        let State { membership, random, .. } = &mut *state;
        let transmits = membership.leave(random);
        drop(state);
        self.transmit(transmits);
        tracing::info!(event = "leaving", process = %self.me);
    }

    /// Membership and configuration, for operators.
    pub fn status(&self) -> Value {
        let state = self.lock();
        let members: Vec<Value> = state
            .membership
            .others()
            .chain(std::iter::once(state.membership.me()))
            .map(|member| {
                json!({
                    "process": member.process,
                    "role": member.role.as_str(),
                    "zone": &*member.zone,
                    "state": format!("{:?}", member.state).to_lowercase(),
                })
            })
            .collect();
        json!({
            "process": self.me,
            "role": self.role.as_str(),
            "zone": self.zone,
            "generation": state.spread.generation(),
            "highest_heard": state.spread.highest_known(),
            "members": members,
        })
    }

    /// Runs membership and configuration for ever.
    pub async fn run(self: Arc<Self>, duty: Arc<dyn Duty>) {
        loop {
            let now = self.now();
            let (transmits, actions, next) = self.pass_time(now);
            self.transmit(transmits);
            self.act(&duty, actions);
            self.notice_members(&duty);
            self.publish_counts();
            // `act` wakes the loop for its callers' sake; that wake-up is used up here.
            self.wake.clear();
            let sleep = next.since(self.now()).min(LONGEST_SLEEP);
            self.wake.sleep(sleep).await;
        }
    }

    fn pass_time(&self, now: Timestamp) -> (Vec<Transmit>, Vec<Action>, Timestamp) {
        let mut state = self.lock();
        let State { membership, spread, random, .. } = &mut *state;
        let mut transmits = Vec::new();
        if now >= membership.next_timeout() {
            transmits = membership.handle_timeout(now, random);
        }
        let mut choose = |choices: usize| random.random_range(0..choices);
        let actions = spread.handle_timeout(now, &mut choose);
        let next = membership.next_timeout().min(spread.next_timeout());
        (transmits, actions, next)
    }

    fn notice_members(&self, duty: &Arc<dyn Duty>) {
        let mut state = self.lock();
        if state.seen_revision == state.membership.revision() {
            return;
        }
        state.seen_revision = state.membership.revision();
        let mut peers: Vec<ProcessId> = state
            .membership
            .others()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.process.clone())
            .chain(self.seeds.iter().cloned())
            .collect();
        peers.sort();
        peers.dedup();
        self.metrics.members_alive.set(alive_count(&state.membership));
        state.spread.set_peers(peers);
        drop(state);
        duty.members_changed();
    }

    fn publish_counts(&self) {
        let counts = self.outbox.counts();
        let set = |counter: &prometheus_client::metrics::counter::Counter, value: u64| {
            counter.inner().store(value, Ordering::Relaxed);
        };
        set(&self.metrics.posts_sent, counts.posts.load(Ordering::Relaxed));
        set(&self.metrics.bytes_sent, counts.bytes.load(Ordering::Relaxed));
        set(&self.metrics.messages_dropped, counts.dropped.load(Ordering::Relaxed));
    }

    /// Serves the peer address until the server is stopped.
    pub async fn serve_peers(self: Arc<Self>, server: Server, duty: Arc<dyn Duty>) {
        server
            .run(move |request, _| {
                let (node, duty) = (self.clone(), duty.clone());
                async move { node.answer_peer(request, &duty).await }
            })
            .await;
    }

    async fn answer_peer(
        self: Arc<Self>,
        request: Request<Incoming>,
        duty: &Arc<dyn Duty>,
    ) -> Response<Body> {
        let (head, body) = request.into_parts();
        let received = match read_limited(body, POST_LIMIT).await {
            Ok(body) => {
                self.metrics.bytes_received.inc_by(body.len() as u64);
                receive(&self.secret, &self.me, &head.headers, &body)
            }
            Err(_) => Err(ReceiveError::Malformed),
        };
        match received {
            Ok(envelope) => {
                self.metrics.posts_received.inc();
                self.take(envelope, duty);
                response(StatusCode::NO_CONTENT, empty())
            }
            Err(error) => {
                self.metrics.count_refusal(error);
                tracing::warn!(event = "peer_post_refused", reason = error.code());
                let problem = json!({ "code": error.code(), "message": error.to_string() });
                response(StatusCode::FORBIDDEN, json(&json!({ "error": problem })))
            }
        }
    }

    fn take(self: &Arc<Self>, envelope: Envelope, duty: &Arc<dyn Duty>) {
        let Envelope { from, generation, messages, .. } = envelope;
        let now = self.now();
        let heard = self.lock().spread.handle_generation(now, &from, generation);
        self.act(duty, heard);
        for message in messages {
            match message {
                Message::Membership(packet) => {
                    let transmits = self.lock().membership.handle(now, &from, packet);
                    self.transmit(transmits);
                    self.notice_members(duty);
                }
                Message::Spread(message) => self.take_spread(&from, message, duty),
                other => duty.handle(&from, other),
            }
        }
    }

    fn take_spread(
        self: &Arc<Self>,
        from: &ProcessId,
        message: SpreadMessage,
        duty: &Arc<dyn Duty>,
    ) {
        let now = self.now();
        let actions = self.with_spread(|spread, choose| spread.handle(now, from, message, choose));
        self.act(duty, actions);
    }

    pub(crate) fn with_spread<T>(
        &self,
        change: impl FnOnce(&mut Spread, &mut dyn FnMut(usize) -> usize) -> T,
    ) -> T {
        let mut state = self.lock();
        let State { spread, random, .. } = &mut *state;
        change(spread, &mut |choices| random.random_range(0..choices))
    }

    /// Carries out what the configuration's state machine asks for.
    pub(crate) fn act(self: &Arc<Self>, duty: &Arc<dyn Duty>, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, Message::Spread(message)),
                Action::ReadParts(parts) => {
                    let (node, duty) = (self.clone(), duty.clone());
                    smol::spawn(async move { watch::read_parts(node, duty, parts).await }).detach();
                }
                Action::Installed(generation) => self.install(duty, generation),
            }
        }
        self.wake.wake();
    }

    fn install(&self, duty: &Arc<dyn Duty>, generation: Generation) {
        self.outbox.set_generation(generation);
        self.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        tracing::info!(event = "configuration_in_force", generation = generation.0);
        if let Some(configuration) = self.configuration() {
            duty.configuration_changed(&configuration);
        }
    }

    fn transmit(&self, transmits: Vec<Transmit>) {
        for transmit in transmits {
            self.send(&transmit.to, Message::Membership(transmit.packet));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn alive_count(membership: &Membership) -> i64 {
    let live = membership.live(Role::Gateway).len() + membership.live(Role::Scheduler).len();
    i64::try_from(live).unwrap_or(i64::MAX)
}

fn response(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
