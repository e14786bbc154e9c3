//! `mastbayctl`, the command-line tool to validate and apply configurations and to query the fleet.

use std::process::ExitCode;

mod apply;
mod arguments;
mod commands;
mod fleet;
mod outcome;
mod show;
mod store;

#[cfg(test)]
mod tests;

fn main() -> ExitCode {
    let arguments: arguments::Arguments = argh::from_env();
    smol::block_on(commands::run(arguments))
}
