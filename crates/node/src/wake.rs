//! Early wake-up of an event loop that sleeps until its next timer.

use mastbay_web::within;
use smol::channel::{Receiver, Sender};
use std::time::Duration;

/// A notification that is stored until it is consumed; several are merged into one.
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

    /// Discards a stored wake-up.
    pub fn clear(&self) {
        let _ = self.receiver.try_recv();
    }

    /// Sleeps until woken, for at most `limit`. Returns at once if a wake-up is stored.
    pub async fn sleep(&self, limit: Duration) {
        // The loop checks its timers whether it was woken or the time expired.
        let _ = within(limit, self.receiver.recv()).await;
    }
}
