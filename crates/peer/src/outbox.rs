//! Sending of messages. One task per receiver posts all messages queued since its last request.

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

/// Timeouts and queue length of an [`Outbox`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboxConfig {
    /// Timeout of a request, also used for its connection attempt.
    pub post_timeout: Duration,
    /// Maximum number of queued messages per receiver. Further messages are dropped.
    pub max_queued: usize,
    /// Idle time after which the task of a receiver ends.
    pub idle_timeout: Duration,
}

impl Default for OutboxConfig {
    fn default() -> Self {
        Self {
            post_timeout: Duration::from_millis(400),
            max_queued: 4_096,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Counters since the start of the process, for metrics.
#[derive(Debug, Default)]
pub struct OutboxCounts {
    /// Requests answered with a success status.
    pub posts: AtomicU64,
    /// Total body size of these requests.
    pub bytes: AtomicU64,
    /// Messages dropped because the request failed, the queue was full or the address of the
    /// receiver was invalid.
    pub dropped: AtomicU64,
}

/// Queues messages to peers and sends them in the background.
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
    /// Creates the outbox of the process `me`.
    pub fn new(me: ProcessId, secret: PeerSecret, config: OutboxConfig) -> Self {
        let client =
            Client::new(ClientConfig { connect_limit: config.post_timeout, ..Default::default() });
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

    /// Sets the generation sent in every envelope. A lower value than the current one is ignored.
    pub fn set_generation(&self, generation: Generation) {
        self.shared.generation.fetch_max(generation.0, Ordering::SeqCst);
    }

    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> &OutboxCounts {
        &self.shared.counts
    }

    /// Queues a message. Delivery is not guaranteed.
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
                // The receiver's task ended after its idle timeout.
                Err(TrySendError::Closed(message)) => message,
            },
        };
        self.start_sender(&mut receivers, to, message);
    }

    fn start_sender(
        &self,
        receivers: &mut HashMap<ProcessId, Sender<Message>>,
        to: &ProcessId,
        first: Message,
    ) {
        let Ok(address) = to.as_str().parse::<SocketAddr>() else {
            self.shared.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (sender, queue) = smol::channel::bounded(self.shared.config.max_queued);
        // Cannot fail: the queue is empty.
        let _ = sender.try_send(first);
        receivers.insert(to.clone(), sender);
        let (shared, to) = (self.shared.clone(), to.clone());
        smol::spawn(async move { shared.run_sender(to, address, queue).await }).detach();
    }
}

impl Shared {
    async fn run_sender(&self, to: ProcessId, address: SocketAddr, queue: Receiver<Message>) {
        while let Ok(Ok(first)) = mastbay_web::within(self.config.idle_timeout, queue.recv()).await
        {
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
        let reply = self.client.call(address, request, self.config.post_timeout).await;
        let delivered = reply.is_ok_and(|reply| reply.status.is_success());
        if delivered {
            self.counts.posts.fetch_add(1, Ordering::Relaxed);
            self.counts.bytes.fetch_add(size, Ordering::Relaxed);
        }
        delivered
    }
}
