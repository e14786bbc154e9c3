//! Limits how many peers a router serves large snapshots to at a time.
//!
//! When a fleet starts, all routers ask the few that have the list of back ends. Serving a few at a
//! time lets these serve others soon; serving all at once would slow every transfer down.

use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Large snapshots served at a time.
const MAX_TRANSFERS: usize = 4;
/// Size in bytes up to which snapshots are served without limit: changes are small, and all peers
/// need them at once.
const SMALL_SNAPSHOT_SIZE: usize = 64 << 10;
/// Timeout of a transfer. The fetching peer gives up then, so older transfers do not count.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(900);

/// Permit for a transfer, which counts until it is dropped. Empty for a small snapshot.
#[derive(Debug, Default)]
pub struct TransferPermit {
    _token: Option<Rc<()>>,
}

/// Limits the transfers of large snapshots that are in progress.
#[derive(Debug, Default)]
pub struct TransferLimiter {
    transfers: RefCell<Vec<(Timestamp, Weak<()>)>>,
}

impl TransferLimiter {
    /// Returns a permit to serve a snapshot of `length` bytes, or `None` if the limit is reached.
    pub fn try_acquire(&self, now: Timestamp, length: usize) -> Option<TransferPermit> {
        if length <= SMALL_SNAPSHOT_SIZE {
            return Some(TransferPermit::default());
        }
        let mut transfers = self.transfers.borrow_mut();
        transfers.retain(|(began, token)| {
            token.strong_count() > 0 && now.since(*began) < TRANSFER_TIMEOUT
        });
        if transfers.len() >= MAX_TRANSFERS {
            return None;
        }
        let token = Rc::new(());
        transfers.push((now, Rc::downgrade(&token)));
        Some(TransferPermit { _token: Some(token) })
    }
}
