//! What control costs as the fleet grows, measured with hollow processes that share this one, for
//! docs/CAPACITY.md.

mod configuration;
mod grants;
mod membership;
mod processor;

pub use configuration::configuration_slope;
pub use grants::{full_size, grants_by_machines, grants_by_rate, grants_by_tenants};
pub use membership::membership_slope;
pub use processor::cell_slope;

use mastbay_types::ProcessId;

/// Resident memory of this process in bytes, zero where it cannot be told.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn name(number: usize) -> ProcessId {
    ProcessId::from(&*format!("10.0.{}.{}:7400", number / 250, number % 250))
}
