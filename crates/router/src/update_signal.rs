//! News of the configuration and the back ends: where they come from, and who is told.

use derive_more::Display;
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;

/// Where a configuration or a list of back ends came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Origin {
    /// The router's own source.
    #[display("source")]
    Source,
    /// Another router, by the address where it hands out snapshots.
    #[display("peer")]
    Peer(SocketAddr),
}

impl Origin {
    /// The other router, if it came from one.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Source => None,
            Self::Peer(address) => Some(address),
        }
    }
}

/// Wakes one task; giving it again before that changes nothing.
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
        // A full channel already holds the news.
        let _ = self.0.try_send(());
    }

    /// Waits until it is given.
    pub(crate) async fn notified(&self) {
        // The sender lives as long as the receiver.
        let _ = self.1.recv().await;
    }
}
