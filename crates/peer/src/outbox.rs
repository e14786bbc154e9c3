//! Sending: one task for each receiver, which posts all that has gathered since its last post.

use crate::envelope::{Envelope, Message, PROTOCOL_VERSION};
use crate::secret::{PROTOCOL_HEADER, PeerSecret, SIGNATURE_HEADER};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use mastbay_configuration::Generation;
use mastbay_types::ProcessId;
use mastbay_web::{Client, ClientConfig};
use smol::channel::{Receiver, Sender, TrySendError};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Settings of an [`Outbox`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboxConfig {
    /// Time that a post may take.
    pub post_limit: Duration,
    /// Messages that may gather for one receiver; more are dropped.
    pub most_gathered: usize,
    /// Idle time after which a receiver's task ends.
    pub idle_limit: Duration,
}

impl Default for OutboxConfig {
    fn default() -> Self {
        Self {
            post_limit: Duration::from_millis(400),
            most_gathered: 4_096,
            idle_limit: Duration::from_secs(60),
        }
    }
}

/// Counts since the start, for metrics.
#[derive(Debug, Default)]
pub struct OutboxCounts {
    /// Posts that were answered.
    pub posts: AtomicU64,
    /// Bytes of their bodies.
    pub bytes: AtomicU64,
    /// Messages dropped, since their post failed or too many had gathered.
    pub dropped: AtomicU64,
}

/// Sends messages to peers.
#[derive(Debug)]
pub struct Outbox {
    shared: Arc<Shared>,
    receivers: Mutex<HashMap<ProcessId, Sender<Message>>>,
}

#[derive(Debug)]
struct Shared {
    me: ProcessId,
    secret: PeerSecret,
    config: OutboxConfig,
    client: Client,
    generation: AtomicU64,
    counts: OutboxCounts,
}

impl Outbox {
    /// An outbox of the process `me`.
    pub fn new(me: ProcessId, secret: PeerSecret, config: OutboxConfig) -> Self {
        let client =
            Client::new(ClientConfig { connect_limit: config.post_limit, ..Default::default() });
        let shared = Shared {
            me,
            secret,
            config,
            client,
            generation: AtomicU64::new(0),
            counts: OutboxCounts::default(),
        };
        Self { shared: Arc::new(shared), receivers: Mutex::default() }
    }

    /// Sets the generation that every envelope tells.
    pub fn set_generation(&self, generation: Generation) {
        self.shared.generation.fetch_max(generation.0, Ordering::SeqCst);
    }

    /// Counts since the start.
    pub fn counts(&self) -> &OutboxCounts {
        &self.shared.counts
    }

    /// Queues a message; it may be lost.
    pub fn send(&self, to: &ProcessId, message: Message) {
        let mut receivers = self.receivers.lock().unwrap_or_else(PoisonError::into_inner);
        let message = match receivers.get(to) {
            None => message,
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    self.shared.counts.dropped.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                // The receiver's task has ended for idleness.
                Err(TrySendError::Closed(message)) => message,
            },
        };
        self.open(&mut receivers, to, message);
    }

    fn open(
        &self,
        receivers: &mut HashMap<ProcessId, Sender<Message>>,
        to: &ProcessId,
        first: Message,
    ) {
        let Ok(address) = to.as_str().parse::<SocketAddr>() else {
            self.shared.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (sender, queue) = smol::channel::bounded(self.shared.config.most_gathered);
        // The queue is new and empty.
        let _ = sender.try_send(first);
        receivers.insert(to.clone(), sender);
        let (shared, to) = (self.shared.clone(), to.clone());
        smol::spawn(async move { shared.carry(to, address, queue).await }).detach();
    }
}

impl Shared {
    async fn carry(&self, to: ProcessId, address: SocketAddr, queue: Receiver<Message>) {
        while let Ok(Ok(first)) = mastbay_web::within(self.config.idle_limit, queue.recv()).await {
            let mut messages = vec![first];
            while let Ok(message) = queue.try_recv() {
                messages.push(message);
            }
            self.post(&to, address, messages).await;
        }
    }

    async fn post(&self, to: &ProcessId, address: SocketAddr, messages: Vec<Message>) {
        let count = messages.len() as u64;
        let generation = Generation(self.generation.load(Ordering::SeqCst));
        let (from, to) = (self.me.clone(), to.clone());
        let envelope = Envelope { from, to, generation, messages };
        let delivered = match rmp_serde::to_vec(&envelope) {
            Ok(body) => self.deliver(address, Bytes::from(body)).await,
            Err(_) => false,
        };
        if !delivered {
            self.counts.dropped.fetch_add(count, Ordering::Relaxed);
            tracing::debug!(event = "peer_post_failed", to = %envelope.to, messages = count);
        }
    }

    async fn deliver(&self, address: SocketAddr, body: Bytes) -> bool {
        let size = body.len() as u64;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/messages")
            .header(PROTOCOL_HEADER, PROTOCOL_VERSION)
            .header(SIGNATURE_HEADER, self.secret.sign(&body))
            .body(Full::new(body));
        let Ok(request) = request else { return false };
        let reply = self.client.call(address, request, self.config.post_limit).await;
        let delivered = reply.is_ok_and(|reply| reply.status.is_success());
        if delivered {
            self.counts.posts.fetch_add(1, Ordering::Relaxed);
            self.counts.bytes.fetch_add(size, Ordering::Relaxed);
        }
        delivered
    }
}
