//! The command line.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Checks and applies configurations and asks the fleet about its state.
///
/// A configuration is a directory of INI files with sections [tenant NAME], [service NAME] and
/// [backend NAME]. It is applied as a whole.
///
/// Exit codes: 0 done, 1 failed and nothing was changed, 2 wrong usage or a faulty configuration,
/// 3 another operator applied first, 4 it could not be found out whether the change was accepted, 5 it
/// was accepted but is not in force in time everywhere asked.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// form of the output: text (default) or json
    #[argh(option, default = "OutputForm::Text")]
    pub output: OutputForm,
    #[argh(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputForm {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

impl FromStr for OutputForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(OutputForm::Text),
            "json" => Ok(OutputForm::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Validate(Validate),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    Explain(Explain),
}

/// Check a configuration directory; tells every fault with its file, section and key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "validate")]
pub struct Validate {
    /// the directory
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Show what applying a directory would change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the directory
    #[argh(positional)]
    pub directory: PathBuf,
    /// address of the platform's object API
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Apply a directory as a whole. Reports "accepted" only when the platform holds the change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the directory
    #[argh(positional)]
    pub directory: PathBuf,
    /// address of the platform's object API
    #[argh(option)]
    pub platform: SocketAddr,
    /// seconds to go on trying while the platform does not answer (default 30)
    #[argh(option, default = "30")]
    pub patience: u64,
    /// apply only if this generation is in force; another one is a conflict
    #[argh(option)]
    pub expect: Option<u64>,
    /// admin addresses; with any, waits until these processes have the change in force
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
}

/// Show the fleet: members, configuration in force, cells, backlog by tenant.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// admin address of a process; may be given several times
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
}

/// Explain what happened to a request (by its id) or why a tenant waits (by its name).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// a request id or a tenant's name
    #[argh(positional)]
    pub subject: String,
    /// admin address of a process; may be given several times
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
}
