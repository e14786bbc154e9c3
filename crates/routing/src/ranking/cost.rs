//! Costs of serving a request at an engine. The unit is the cost of a back end whose slots are all
//! taken.

use super::score::SPEED_BOUNDS;
use std::time::Duration;

/// Cost of a stream that certainly pauses too long. All of its service is lost, while a fully
/// occupied engine only delays it; and a prefix that is prefilled again to avoid the pause serves
/// later requests too.
const CERTAIN_PAUSE_COST: f64 = 4.0;
/// Delay of all slots of an engine that costs as much as a fully occupied back end: a pause that
/// readers of a stream notice.
const FULL_COST_DELAY: Duration = Duration::from_millis(300);
/// Maximum cost of the delay of other streams. Very long prompts delay streams at every engine, so
/// a larger cost would only outweigh all others.
const MAX_DELAY_COST: f64 = 2.0;
/// Cost of the last slot of an engine that is twice as fast as the mean one, for tenants above
/// their share. More than prefilling a shared prefix of 5,000 tokens again for 200 output tokens
/// (2.5).
const LAST_FAST_SLOT_COST: f64 = 3.0;
/// Speed above that of the mean engine from which the cost of fast engines no longer rises.
const MAX_EXCESS_SPEED: f64 = 1.0;

/// The delay that the prefill of a request imposes on the streams of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ImposedDelay {
    /// Time that the mean engine takes for the prefill, in milliseconds.
    pub prefill_ms: f64,
    /// Speed of the engine relative to the mean one.
    pub speed: f64,
    /// Number of streams that run there.
    pub streams: u32,
    /// Slots of the engine.
    pub slots: u32,
}

/// Returns the cost of the probability (0 to 1) that a stream pauses longer than its route allows.
pub fn pause_cost(probability: f64) -> f64 {
    probability.clamp(0.0, 1.0) * CERTAIN_PAUSE_COST
}

/// Returns by how much the cost of an engine's occupancy (0 to 1) differs from that of the mean
/// engine, whose cost is the occupancy itself. Slots of a faster engine are free again sooner.
pub fn occupancy_cost_difference(speed: f64, occupancy: f64) -> f64 {
    occupancy / speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1) - occupancy
}

/// Returns the cost of delaying the streams of an engine.
pub fn imposed_delay_cost(delay: ImposedDelay) -> f64 {
    let each = delay.prefill_ms.max(0.0) / delay.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    let occupied = f64::from(delay.streams) / f64::from(delay.slots.max(1));
    (each * occupied / (FULL_COST_DELAY.as_secs_f64() * 1e3)).min(MAX_DELAY_COST)
}

/// Returns the cost that a request of a tenant above its share has at an engine faster than the
/// mean one, where `occupancy` (0 to 1) is the fraction of its slots that are taken. It rises with
/// the occupancy: requests within their share need the last slots, not those of an empty engine.
pub fn fast_engine_cost(speed: f64, occupancy: f64) -> f64 {
    (speed - 1.0).clamp(0.0, MAX_EXCESS_SPEED) * occupancy.clamp(0.0, 1.0) * LAST_FAST_SLOT_COST
}
