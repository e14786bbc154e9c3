//! Metrics common to all processes.

use mastbay_peer::ReceiveError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of the counter of refused posts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerRefusal {
    /// Code of the [`ReceiveError`].
    pub reason: &'static str,
}

/// Metrics of membership, configuration and peer messages.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    /// Configuration generation in force.
    pub generation: Gauge,
    /// Members alive, this process included.
    pub members_alive: Gauge,
    /// Peer posts received.
    pub posts_received: Counter,
    /// Bytes of peer posts received.
    pub bytes_received: Counter,
    /// Bytes of peer posts sent.
    pub bytes_sent: Counter,
    /// Peer posts sent.
    pub posts_sent: Counter,
    /// Messages to peers dropped because too many were queued or their post failed.
    pub messages_dropped: Counter,
    /// Peer posts refused.
    pub posts_refused: Family<PeerRefusal, Counter>,
    /// Calls to the platform that failed.
    pub platform_failures: Counter,
}

impl NodeMetrics {
    /// Creates the metrics and registers them under the prefix `mastbay`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registry = registry.sub_registry_with_prefix("mastbay");
        registry.register(
            "configuration_generation",
            "Configuration generation in force",
            metrics.generation.clone(),
        );
        registry.register("members_alive", "Members alive", metrics.members_alive.clone());
        registry.register(
            "peer_posts_received",
            "Peer posts received",
            metrics.posts_received.clone(),
        );
        registry.register(
            "peer_bytes_received",
            "Bytes of peer posts received",
            metrics.bytes_received.clone(),
        );
        registry.register("peer_posts_sent", "Peer posts sent", metrics.posts_sent.clone());
        registry.register(
            "peer_bytes_sent",
            "Bytes of peer posts sent",
            metrics.bytes_sent.clone(),
        );
        registry.register(
            "peer_messages_dropped",
            "Messages to peers that were dropped",
            metrics.messages_dropped.clone(),
        );
        registry.register(
            "peer_posts_refused",
            "Peer posts refused, by reason",
            metrics.posts_refused.clone(),
        );
        registry.register(
            "platform_failures",
            "Calls to the platform that failed",
            metrics.platform_failures.clone(),
        );
        metrics
    }

    /// Counts a refused post.
    pub fn count_refusal(&self, error: ReceiveError) {
        self.posts_refused.get_or_create(&PeerRefusal { reason: error.code() }).inc();
    }
}
