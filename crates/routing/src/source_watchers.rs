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

/// Time after its start in which a router that is no seed leaves the source to others, beside
/// [`PATIENCE_PER_ROUTER`]. A peer answers within milliseconds, but the machines of a deployment start up to 300 ms
/// apart, and its seeds may be among the last.
const LEAST_PATIENCE: Duration = Duration::from_millis(400);
/// Further time for each router of the fleet: they all ask the few that know, which hand out a snapshot in some
/// milliseconds each.
const PATIENCE_PER_ROUTER: Duration = Duration::from_millis(10);
/// Part of that time after which those that should follow the source ask it: by then routers know each other.
const FOLLOWERS_PATIENCE: f64 = 0.3;

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

/// A router that has just started and knows nothing yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartingRouter {
    /// Time since it started.
    pub running: Duration,
    /// Routers of the fleet, as far as it hears.
    pub routers: usize,
    /// Whether it is one of those that others call first.
    pub is_seed: bool,
    /// Whether it is one of those that follow the source, by what it hears.
    pub follows_source: bool,
    /// Whether it hears of a router that reaches the source. If it still knows nothing, there is nothing to know yet.
    pub others_reach_source: bool,
}

impl StartingRouter {
    /// Whether it asks the source itself. When a whole fleet starts, its seeds and a few others ask the source, and
    /// the rest ask them; a router that learns nothing from others in time asks all the same.
    pub fn queries_source(&self) -> bool {
        if self.is_seed {
            return true;
        }
        let patience = LEAST_PATIENCE + PATIENCE_PER_ROUTER * self.routers as u32;
        let is_left_alone = self.running >= patience && !self.others_reach_source;
        let followers_patience = patience.mul_f64(FOLLOWERS_PATIENCE).max(LEAST_PATIENCE);
        is_left_alone || (self.running >= followers_patience && self.follows_source)
    }
}

fn rank(router: PeerId) -> (u64, PeerId) {
    (stable_hash(&[router.address.to_string().as_bytes()]), router)
}

/// The wait of one call. `propagation` is the time in which a change must be in force, `draw` uniform in
/// 0..1.
pub fn watch_timeout(propagation: Duration, draw: f64) -> Duration {
    let longest = propagation.mul_f64(WAIT_PART);
    longest.mul_f64(LEAST_DRAWN + (1.0 - LEAST_DRAWN) * draw)
}
