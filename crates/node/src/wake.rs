//! What lets a loop over timers be woken before its time.

use mastbay_web::within;
use smol::channel::{Receiver, Sender};
use std::time::Duration;

/// A wake-up that is kept until it is used; several are as good as one.
#[derive(Debug)]
pub struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Wake {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Wake {
    /// Wakes the loop.
    pub fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.sender.try_send(());
    }

    /// Uses up a wake-up that the loop itself has caused.
    pub fn clear(&self) {
        let _ = self.receiver.try_recv();
    }

    /// Sleeps until woken, `limit` at most.
    pub async fn sleep(&self, limit: Duration) {
        // Woken early or not: either way there is something to look at.
        let _ = within(limit, self.receiver.recv()).await;
    }
}
