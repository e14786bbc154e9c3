//! `mastbay-scheduler`: grants the slots of back ends to tenants in fair order, stores claims and
//! watches the configuration. Any scheduler can take over any cell: the state of a cell is rebuilt
//! from the gateways' reports.

use mastbay_node::report_and_exit_code;
use std::path::PathBuf;
use std::process::ExitCode;

mod cells;
mod claims;
mod duty;
mod machines;
mod metrics;
mod settings;
mod start;

/// Hands out the slots of back ends in fair order, keeps claims and watches the configuration.
///
/// Exit codes: 0 stopped as planned, 1 could not start, 2 the settings are wrong, 3 the time for a
/// planned stop ran out.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file in INI form
    #[argh(positional)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    report_and_exit_code(smol::block_on(start::run(&arguments.settings, arguments.check)))
}
