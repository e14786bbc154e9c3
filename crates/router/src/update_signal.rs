//! The origin of updates, and the signal that wakes the task which sends them to peers.

use derive_more::Display;
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;

/// Where a configuration or a list of back ends came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Origin {
    /// The router's own source.
    #[display("source")]
    Source,
    /// Another router, by the address where it serves snapshots.
    #[display("peer")]
    Peer(SocketAddr),
    /// The end of the time for which this router kept earlier knowledge.
    #[display("expiry")]
    Expiry,
}

impl Origin {
    /// Returns the address of the other router; `None` for an update of the router's own.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Source | Self::Expiry => None,
            Self::Peer(address) => Some(address),
        }
    }
}

/// Wakes one task. Notifications that arrive before it waits count as one.
pub(crate) struct UpdateSignal(Sender<()>, Receiver<()>);

impl Default for UpdateSignal {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self(sender, receiver)
    }
}

impl UpdateSignal {
    /// Wakes the task.
    pub(crate) fn notify(&self) {
        // A full channel already holds a notification.
        let _ = self.0.try_send(());
    }

    /// Waits for a notification.
    pub(crate) async fn notified(&self) {
        // Cannot fail: the sender lives as long as the receiver.
        let _ = self.1.recv().await;
    }
}
