//! How far a back end had come with a request.

use derive_more::Display;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time from the first bytes of an answer's body after which a back end that goes on sending is taken
/// to bear the request. One that crashes back ends does so about 0.1 s after it begins to run.
const SUSTAINED_AFTER: Duration = Duration::from_millis(500);

/// How far a back end had come with a request when their connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunProgress {
    /// No head of an answer was received: the request waited at the back end or had just begun.
    #[display("waiting")]
    Waiting,
    /// The head was received, and no body for long.
    #[display("started")]
    Started,
    /// The back end went on sending for longer than a crash under the request takes.
    #[display("sustained")]
    Sustained,
}

/// When the body of an answer was received, whose head was received before.
#[derive(Debug, Clone, Copy, Default)]
pub struct BodyTimes {
    /// When the first bytes and the latest ones were received.
    received: Option<(Timestamp, Timestamp)>,
}

impl BodyTimes {
    /// Records that more of the body was received. Returns whether this shows that the back end
    /// sustains the run; true only once.
    pub fn on_received(&mut self, now: Timestamp) -> bool {
        let earlier = self.progress();
        let first = self.received.map_or(now, |(first, _)| first);
        self.received = Some((first, now));
        earlier != self.progress()
    }

    /// Returns how far the back end is known to have come.
    pub fn progress(&self) -> RunProgress {
        match self.received {
            Some((first, latest)) if latest.since(first) >= SUSTAINED_AFTER => {
                RunProgress::Sustained
            }
            _ => RunProgress::Started,
        }
    }
}
