//! When the bytes that wait in a socket were received, as the kernel has recorded it.
//!
//! A process that is not run for a while reads late. Its own clock then tells only the time within
//! which the bytes may have come.

use mastbay_types::Timestamp;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Makes the kernel record when bytes are received by the connections that a listener accepts.
///
/// # Errors
/// If the system does not offer it.
pub fn record_receive_times(listener: &impl AsFd) -> std::io::Result<()> {
    Ok(setsockopt(listener, sockopt::ReceiveTimestampns, &true)?)
}

/// A socket whose bytes may have waited.
pub trait ReceiveTimes {
    /// Returns when the bytes were received that a read would return now: wall-clock time since the
    /// Unix epoch. `None` if there are none, or if it is not known.
    fn received_at(&self) -> Option<Duration>;
}

impl<S: AsRawFd> ReceiveTimes for S {
    fn received_at(&self) -> Option<Duration> {
        let mut byte = [0];
        let mut buffers = [IoSliceMut::new(&mut byte)];
        let mut control = nix::cmsg_space!(TimeSpec);
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let received =
            recvmsg::<()>(self.as_raw_fd(), &mut buffers, Some(&mut control), flags).ok()?;
        let at = received.cmsgs().ok()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(at) => Some(at),
            _ => None,
        })?;
        Some(Duration::new(at.tv_sec().try_into().ok()?, at.tv_nsec().try_into().ok()?))
    }
}

/// How long bytes that are read now may have waited in a socket, since the event loop was late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadDelay {
    /// The time taken if it is not known when the bytes were received.
    pub estimated: Duration,
    /// The longest possible time; zero if the event loop was not late.
    pub longest: Duration,
}

impl ReadDelay {
    /// Returns when bytes that are read now were received: as recorded, or `estimated` if that is
    /// not known. The wall clock may have been set since, so what is recorded is used within
    /// the longest possible time only.
    pub fn date(
        self,
        now: Timestamp,
        recorded: Option<Duration>,
        estimated: Timestamp,
    ) -> Timestamp {
        let Some(recorded) = recorded else { return estimated };
        let longest = self.longest.max(now.since(estimated));
        now.saturating_sub(recorded.min(longest))
    }
}
