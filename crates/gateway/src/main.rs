//! `mastbay-gateway`: queues callers' requests until a scheduler grants a back end, sends them
//! there and relays the answers. Only the gateway decides on retries and on the outcome reported to
//! a caller.

use mastbay_node::report_and_exit_code;
use std::path::PathBuf;
use std::process::ExitCode;

mod access;
mod admission;
mod answer;
mod attempt;
mod claims;
mod duty;
mod event_stream;
mod journal;
mod metrics;
mod relay;
mod reply;
mod request;
mod run;
mod settings;
mod start;
mod ticket;

#[cfg(test)]
mod tests;

/// Holds callers' requests until a scheduler grants them a back end, and brings the answers back.
///
/// Exit codes: 0 stopped as planned, 1 could not start, 2 the settings are wrong, 3 the time for a
/// planned stop ran out with requests still running.
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
