//! How many peers a router hands its whole list to at a time.
//!
//! When a fleet starts, all ask the few that have the list. Handed to all at once, each gets it at the rate of a link divided by hundreds,
//! and nobody has it before the last one; with a few at a time, these can hand it out in turn.

use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Lists handed out at a time. Each then takes some 50 ms on a link of 1,000 Mbit/s at 1.4 MB, and 100 ms at twice the back ends. Of 985 routers
/// that start at once half have the list after 1.0 s; handed to any number at once, after 1.65 s (by the logs of 203 and 103 of them).
const MOST_HANDED_OUT: usize = 4;
/// Bytes up to which a snapshot is handed to anyone: changes are small, and all are to have them at once.
const SMALL: usize = 64 << 10;
/// Time that a list may take; who asks gives up then, so it no longer counts.
pub const LONGEST_HANDING: Duration = Duration::from_millis(900);

/// Goes with a list that is being handed out.
#[derive(Debug, Default)]
pub struct Handing {
    _token: Option<Rc<()>>,
}

/// The lists that are being handed out.
#[derive(Debug, Default)]
pub struct HandingOut {
    under_way: RefCell<Vec<(Timestamp, Weak<()>)>>,
}

impl HandingOut {
    /// Begins to hand out a snapshot of `length` bytes; nothing if as many as may be are under way.
    pub fn begin(&self, now: Timestamp, length: usize) -> Option<Handing> {
        if length <= SMALL {
            return Some(Handing::default());
        }
        let mut under_way = self.under_way.borrow_mut();
        under_way.retain(|(began, token)| {
            token.strong_count() > 0 && now.since(*began) < LONGEST_HANDING
        });
        if under_way.len() >= MOST_HANDED_OUT {
            return None;
        }
        let token = Rc::new(());
        under_way.push((now, Rc::downgrade(&token)));
        Some(Handing { _token: Some(token) })
    }
}
