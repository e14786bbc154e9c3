//! Which routers follow the source of configuration and back ends, and how long each waits there.
//!
//! Each call to the source costs, whatever the fleet's size. A few routers follow it, and the others
//! learn from their digests. Who they are follows from what each router hears of the others, without a
//! message of its own: a router that hears nobody follows the source itself.

use crate::digest::PeerId;
use mastbay_types::stable_hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Routers that follow the source. One may be lost and one deaf.
const WATCHERS: usize = 3;
/// Part of the propagation bound that one wait may take: a source may fail to tell a waiting call of a
/// change, which then shows only when the call ends.
const WAIT_PART: f64 = 0.5;
/// Least part of the longest wait that is drawn. Waits that differ keep routers from asking together, so
/// that one of them soon sees what a deaf source missed to tell, and the others learn it from that one.
const LEAST_DRAWN: f64 = 0.4;

/// What a router knows of the source by its own calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum SourceContact {
    /// It makes no calls.
    #[default]
    Idle,
    /// Its last call was answered.
    Answered,
    /// Its last call failed.
    Lost,
}

/// A router that may follow the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The router.
    pub router: PeerId,
    /// What it told of the source.
    pub contact: SourceContact,
}

/// Whether `me` follows the source, beside the `others` that it hears. A router that has lost the source
/// goes on asking, to find it again, but does not count among those that follow it.
pub fn follows_source(me: Candidate, others: impl Iterator<Item = Candidate>) -> bool {
    let mine = rank(me.router);
    let before_me = others
        .filter(|other| other.contact != SourceContact::Lost)
        .filter(|other| rank(other.router) < mine)
        .take(WATCHERS);
    before_me.count() < WATCHERS
}

fn rank(router: PeerId) -> (u64, PeerId) {
    (stable_hash(&[router.address.to_string().as_bytes()]), router)
}

/// The wait of one call. `propagation` is the time in which a change must be in force, `draw` uniform in
/// 0..1.
pub fn watch_wait(propagation: Duration, draw: f64) -> Duration {
    let longest = propagation.mul_f64(WAIT_PART);
    longest.mul_f64(LEAST_DRAWN + (1.0 - LEAST_DRAWN) * draw)
}
