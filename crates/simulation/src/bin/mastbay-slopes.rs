//! `mastbay-slopes`: measures what control costs as the fleet grows, for docs/CAPACITY.md.

use argh::FromArgs;
use mastbay_simulation::slopes::{
    cell_slope, configuration_slope, full_size, grants_by_machines, grants_by_rate,
    grants_by_tenants, membership_slope,
};

/// Measures bytes, messages, processor time and memory of control against the size of the fleet.
#[derive(FromArgs)]
struct Arguments {
    /// also run the largest size, which takes minutes and gigabytes
    #[argh(switch)]
    full: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    cell_slope();
    configuration_slope();
    membership_slope();
    grants_by_machines();
    grants_by_tenants();
    grants_by_rate();
    if arguments.full {
        full_size();
    }
}
