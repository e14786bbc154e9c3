//! How far a back end had come with a request.

use derive_more::Display;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time from the head of an answer after which a back end that goes on sending is taken to bear the
/// request. A request that crashes back ends does so about 0.1 s after the head.
const SUSTAINED_AFTER: Duration = Duration::from_millis(500);

/// How far a back end had come with a request when their connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunProgress {
    /// No head of an answer was received: the request waited at the back end or had just begun.
    #[display("waiting")]
    Waiting,
    /// The head was received a short time before.
    #[display("started")]
    Started,
    /// The back end went on sending for longer than a crash under the request takes.
    #[display("sustained")]
    Sustained,
}

/// The times at which parts of an answer were received.
#[derive(Debug, Clone, Copy)]
pub struct RunTimes {
    head: Timestamp,
    latest: Timestamp,
}

impl RunTimes {
    /// Creates the times of an answer whose head was received at `now`.
    pub fn starting(now: Timestamp) -> Self {
        Self { head: now, latest: now }
    }

    /// Records that more of the answer was received. Returns whether this shows that the back end
    /// sustains the run; true only once.
    pub fn on_received(&mut self, now: Timestamp) -> bool {
        let earlier = self.progress();
        self.latest = now;
        earlier != self.progress()
    }

    /// Returns how far the back end is known to have come.
    pub fn progress(&self) -> RunProgress {
        if self.latest.since(self.head) >= SUSTAINED_AFTER {
            RunProgress::Sustained
        } else {
            RunProgress::Started
        }
    }
}
