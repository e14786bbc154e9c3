//! Bounds on the connections of one router to one back end, which limit those of the whole fleet.
//!
//! Callers are spread unevenly over routers, so an even share of the limit is too small for the
//! busiest router. Active connections are already limited across the fleet by the back end's slots;
//! only idle connections have to be divided evenly.

/// Fraction of the limit that the fleet uses. The rest covers routers that this one does not know.
const USED_FRACTION: f64 = 0.8;
/// Minimum number of routers that the limit on idle connections is divided by.
const MIN_ROUTERS: usize = 3;
/// Minimum number of idle connections of a router.
const MIN_IDLE: u32 = 2;
/// Maximum fraction of the used connections that one router may have open.
const MAX_OPEN_FRACTION: f64 = 0.25;
/// Connections beyond a back end's slots, as a fraction of the slots and as a number: a request's
/// connection stays open a little longer than it takes a slot.
const BEYOND_SLOTS: (f64, f64) = (0.25, 4.0);

/// Bounds on the connections of one router to one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Maximum number of open connections, active and idle.
    pub open: u32,
    /// Maximum number of idle connections.
    pub idle: u32,
}

impl ConnectionBounds {
    /// Computes the bounds for a back end that accepts `max` connections and processes `slots`
    /// requests concurrently, in a fleet of `routers`.
    pub fn new(max: u32, slots: u32, routers: usize) -> Self {
        let used = f64::from(max) * USED_FRACTION;
        let even = (used / routers.max(MIN_ROUTERS) as f64) as u32;
        let idle = even.max(MIN_IDLE);
        let for_slots = f64::from(slots) * (1.0 + BEYOND_SLOTS.0) + BEYOND_SLOTS.1;
        let active = for_slots.min(used * MAX_OPEN_FRACTION) as u32;
        Self { open: idle.max(active), idle }
    }
}
