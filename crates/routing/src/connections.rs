//! How many connections one router may have to one back end, which bounds those of the whole fleet.
//!
//! Callers come to routers in uneven numbers, so an even part of the bound is too little for the router
//! that has most of them. What is under way is already bounded over the fleet by the back end's slots;
//! only connections that rest have to be divided evenly.

/// Part of the bound that the fleet uses; the rest covers routers that this one does not know.
const USED_PART: f64 = 0.8;
/// A router that knows fewer others still takes no more than one of this many parts to rest.
const LEAST_ROUTERS: usize = 3;
/// Fewest connections of a router.
const FEWEST: u32 = 2;
/// Part of the used connections that one router may have open when it carries most of the work.
const BUSY_PART: f64 = 0.25;
/// Connections beyond a back end's slots, as part of them and as a number: a request's connection is
/// open a little longer than the request takes its slot.
const BEYOND_SLOTS: (f64, f64) = (0.25, 4.0);

/// Bounds on one router's connections to one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Open connections, those at work and those that rest.
    pub open: u32,
    /// Connections that rest.
    pub idle: u32,
}

impl ConnectionBounds {
    /// The bounds at a back end that takes `most` connections and works on `slots` requests at a time,
    /// in a fleet of `routers`.
    pub fn new(most: u32, slots: u32, routers: usize) -> Self {
        let used = f64::from(most) * USED_PART;
        let even = (used / routers.max(LEAST_ROUTERS) as f64) as u32;
        let idle = even.max(FEWEST);
        let for_slots = f64::from(slots) * (1.0 + BEYOND_SLOTS.0) + BEYOND_SLOTS.1;
        let busy = for_slots.min(used * BUSY_PART) as u32;
        Self { open: idle.max(busy), idle }
    }
}
