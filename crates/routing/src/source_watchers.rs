//! Selects the routers that watch the source of configuration and back ends, and the timeout of
//! their long polls.
//!
//! To keep the load of the source independent of the size of the fleet, only a few routers watch it
//! and the others learn of updates from them. Each router derives the selection from the peers that
//! it knows, without coordination; one without peers watches the source itself.

use crate::digest::PeerId;
use mastbay_types::stable_hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of routers that watch the source. Tolerates the loss of one and missed notifications of
/// another.
const WATCHERS: usize = 3;
/// Maximum timeout of a long poll as a fraction of the propagation bound. A source may fail to
/// notify a waiting call of a change, which is then noticed only when the call ends.
const MAX_TIMEOUT_FRACTION: f64 = 0.5;
/// Minimum timeout as a fraction of the maximum. Random timeouts keep routers from polling in step,
/// so that one of them soon notices a change that the source did not notify of.
const MIN_TIMEOUT_FRACTION: f64 = 0.4;

/// Time after startup in which a router that is no seed leaves the source to others, in addition to
/// [`STARTUP_TIMEOUT_PER_ROUTER`]. Covers differences between the start times of machines.
const MIN_STARTUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Further time per router of the fleet, as all of them request a snapshot from the few that have
/// one.
const STARTUP_TIMEOUT_PER_ROUTER: Duration = Duration::from_millis(10);
/// Fraction of that time after which the selected watchers call the source; by then routers know
/// each other.
const WATCHER_TIMEOUT_FRACTION: f64 = 0.3;

/// Result of a router's own calls to the source.
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

/// A router that may watch the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the router.
    pub router: PeerId,
    /// Source contact that the router reported.
    pub contact: SourceContact,
}

/// Returns whether the router `me` is selected to watch the source, given the `others` that it
/// knows. Routers that have lost contact keep calling the source but do not count as watchers.
pub fn watches_source(me: Candidate, others: impl Iterator<Item = Candidate>) -> bool {
    let own_rank = rank(me.router);
    let before_me = others
        .filter(|other| other.contact != SourceContact::Lost)
        .filter(|other| rank(other.router) < own_rank)
        .take(WATCHERS);
    before_me.count() < WATCHERS
}

/// A router that has just started and has no configuration and back ends yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartingRouter {
    /// Time since startup.
    pub running: Duration,
    /// Number of known routers of the fleet.
    pub routers: usize,
    /// Whether it is a seed, which other routers contact first.
    pub is_seed: bool,
    /// Whether it is selected to watch the source, see [`watches_source`].
    pub watches_source: bool,
    /// Whether a known peer reaches the source. If this router still has no configuration, there is
    /// none yet.
    pub others_reach_source: bool,
}

impl StartingRouter {
    /// Returns whether the router should call the source itself. When a whole fleet starts, seeds
    /// and a few other routers do, and the rest get snapshots from them; a router that gets none in
    /// time calls the source anyway.
    pub fn queries_source(&self) -> bool {
        if self.is_seed {
            return true;
        }
        let timeout = MIN_STARTUP_TIMEOUT + STARTUP_TIMEOUT_PER_ROUTER * self.routers as u32;
        let has_timed_out = self.running >= timeout && !self.others_reach_source;
        let watcher_timeout = timeout.mul_f64(WATCHER_TIMEOUT_FRACTION).max(MIN_STARTUP_TIMEOUT);
        has_timed_out || (self.running >= watcher_timeout && self.watches_source)
    }
}

fn rank(router: PeerId) -> (u64, PeerId) {
    (stable_hash(&[router.address.to_string().as_bytes()]), router)
}

/// Returns the timeout of one long poll. `propagation` is the time within which a change must be in
/// force; `draw` is uniform in 0..1.
pub fn watch_timeout(propagation: Duration, draw: f64) -> Duration {
    let max = propagation.mul_f64(MAX_TIMEOUT_FRACTION);
    max.mul_f64(MIN_TIMEOUT_FRACTION + (1.0 - MIN_TIMEOUT_FRACTION) * draw)
}
