//! Admission under load, decided by figures of the whole fleet: the slots that tenants above their
//! fair share may use, the order of waiting requests, and the delay after which refused callers
//! return.

mod backlog;
mod retry_delay;
mod spare_capacity;

pub use backlog::{Backlog, BacklogReport, ClassBacklog, OrderClass};
pub use retry_delay::{DelayFigures, MAX_DELAY_FRACTION, RetryDelay};
pub use spare_capacity::{SPARE_SLOT_FRACTION, SpareCapacity};
