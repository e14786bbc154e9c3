//! `mastbayctl`: what operators use to check and apply configurations and to ask the fleet about its
//! state.

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
