//! Event loop and message handling of a member of the fleet.

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
/// Longest sleep of the event loop.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Behaviour specific to gateways or schedulers.
pub trait Duty: Send + Sync + 'static {
    /// Handles a message that concerns neither membership nor configuration.
    fn handle(&self, from: &ProcessId, message: Message);
    /// Called after the membership table changed.
    fn members_changed(&self);
    /// Called after a configuration came into force.
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

/// Creates a random number generator seeded by the operating system.
fn seeded_generator() -> ChaCha12Rng {
    let mut seed = [0_u8; 32];
    // There is no safe fallback without a source of randomness.
    SysRng.try_fill_bytes(&mut seed).expect("the operating system gives randomness");
    ChaCha12Rng::from_seed(seed)
}

impl Node {
    /// Creates a member with the given settings. Nothing is sent before [`Node::run`].
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

    /// Returns the id of this process.
    pub fn me(&self) -> &ProcessId {
        &self.me
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the zone of this process.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the monotonic time since the node was created.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the metrics of the node.
    pub fn metrics(&self) -> &NodeMetrics {
        &self.metrics
    }

    /// Queues a message to a peer. Delivery is not guaranteed.
    pub fn send(&self, to: &ProcessId, message: Message) {
        self.outbox.send(to, message);
    }

    /// Creates an independent random number generator, seeded from the node's.
    pub fn random(&self) -> ChaCha12Rng {
        let mut state = self.lock();
        ChaCha12Rng::from_rng(&mut state.random)
    }

    /// Returns the live processes of a role, including this one if it has that role.
    pub fn live(&self, role: Role) -> Vec<ProcessId> {
        self.lock().membership.live(role)
    }

    /// Returns the live processes of this process's zone and role, sorted, including itself.
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

    /// Returns the configuration in force, or `None` before the first one is installed.
    pub fn configuration(&self) -> Option<Arc<FleetConfiguration>> {
        self.lock().spread.configuration()
    }

    /// Returns the generation of the configuration in force.
    pub fn generation(&self) -> Generation {
        self.lock().spread.generation()
    }

    /// Returns `Ok` if the process is ready for work, otherwise the reason why not.
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

    /// Announces to the peers that this process leaves, and marks it as not ready.
    pub fn leave(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        let State { membership, random, .. } = &mut *state;
        let transmits = membership.leave(random);
        drop(state);
        self.transmit(transmits);
        tracing::info!(event = "leaving", process = %self.me);
    }

    /// Returns the state of membership and configuration for the admin endpoint.
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

    /// Runs the event loop of membership and configuration. Never returns.
    pub async fn run(self: Arc<Self>, duty: Arc<dyn Duty>) {
        loop {
            let now = self.now();
            let (transmits, actions, next) = self.handle_timeouts(now);
            self.transmit(transmits);
            self.act(&duty, actions);
            self.publish_membership_changes(&duty);
            self.publish_counts();
            // Discards the wake-up that `act` caused in this iteration.
            self.wake.clear();
            let sleep = next.since(self.now()).min(MAX_SLEEP);
            self.wake.sleep(sleep).await;
        }
    }

    fn handle_timeouts(&self, now: Timestamp) -> (Vec<Transmit>, Vec<Action>, Timestamp) {
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

    fn publish_membership_changes(&self, duty: &Arc<dyn Duty>) {
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
                self.handle_envelope(envelope, duty);
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

    fn handle_envelope(self: &Arc<Self>, envelope: Envelope, duty: &Arc<dyn Duty>) {
        let Envelope { from, generation, messages, .. } = envelope;
        let now = self.now();
        let heard = self.lock().spread.handle_generation(now, &from, generation);
        self.act(duty, heard);
        for message in messages {
            match message {
                Message::Membership(packet) => {
                    let transmits = self.lock().membership.handle(now, &from, packet);
                    self.transmit(transmits);
                    self.publish_membership_changes(duty);
                }
                Message::Spread(message) => self.handle_spread(&from, message, duty),
                other => duty.handle(&from, other),
            }
        }
    }

    fn handle_spread(
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

    /// Executes the actions requested by the state machine of the configuration.
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
