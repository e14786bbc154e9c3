//! The settings that only schedulers have.

use mastbay_settings::{Bounded, Document, Faults, Span};
use std::time::Duration;

/// Settings of the section `[scheduler]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// `claim-writes-per-second`: limit of the fleet's claim writes to the platform, divided evenly
    /// among the live schedulers.
    pub claim_writes_per_second: u32,
    /// `machine-list-interval`: time between two reads of the machine list.
    pub machine_list_interval: Duration,
}

/// Name of the section in the settings file.
pub const SECTION: &str = "scheduler";

const DEFAULT_CLAIM_WRITES: u64 = 60;
const DEFAULT_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Parses the section and adds invalid settings to `faults`.
pub fn read(document: &Document, faults: &mut Faults) -> Option<SchedulerSettings> {
    let mut section = document.section(SECTION, faults);
    let writes: Bounded<1, 10_000> =
        section.or("claim-writes-per-second", Bounded(DEFAULT_CLAIM_WRITES));
    let interval: Span<50, 60_000> =
        section.or("machine-list-interval", Span(DEFAULT_LIST_INTERVAL));
    section.finish();
    Some(SchedulerSettings {
        claim_writes_per_second: writes.0 as u32,
        machine_list_interval: interval.0,
    })
}
