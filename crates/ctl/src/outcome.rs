//! Errors of commands and their exit codes.

use crate::apply::ApplyError;
use crate::arguments::OutputForm;
use derive_more::{Display, Error};
use mastbay_configuration::DirectoryError;
use mastbay_web::CallError;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::ExitCode;

/// An error of a command.
#[derive(Debug, Display, Error)]
pub enum CommandError {
    /// The directory does not hold a valid configuration.
    #[display("{_0}")]
    Directory(DirectoryError),
    /// Reading or applying failed.
    #[display("{_0}")]
    Apply(ApplyError),
    /// The query to a process failed.
    #[display("{address} cannot be asked: {source}")]
    Ask {
        /// Admin address of the process.
        address: SocketAddr,
        /// The cause.
        source: CallError,
    },
    /// The response of a process is invalid.
    #[display("the answer of {address} is not understood")]
    Answer {
        /// Admin address of the process.
        address: SocketAddr,
    },
    /// No admin address was given.
    #[display("give the admin address of at least one process with --admin")]
    NoAdmin,
    /// No queried process knows the subject.
    #[display("no process asked knows '{subject}'")]
    NotKnown {
        /// The request ID or tenant name.
        subject: String,
    },
    /// The change is accepted but not yet in force everywhere.
    #[display("accepted, but not in force in time at: {waiting}")]
    NotInForce {
        /// Admin addresses of the processes without it.
        waiting: String,
    },
}

const EXIT_FAILED: u8 = 1;
const EXIT_FAULTY: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;
const EXIT_NOT_IN_FORCE: u8 = 5;

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Directory(_) | CommandError::NoAdmin => EXIT_FAULTY,
            CommandError::Apply(ApplyError::Conflict { .. }) => EXIT_CONFLICT,
            CommandError::Apply(ApplyError::Unknown { .. }) => EXIT_UNKNOWN,
            CommandError::NotInForce { .. } => EXIT_NOT_IN_FORCE,
            _ => EXIT_FAILED,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            CommandError::Directory(_) => "faulty_configuration",
            CommandError::NoAdmin => "no_admin_address",
            CommandError::Apply(ApplyError::Conflict { .. }) => "conflict",
            CommandError::Apply(ApplyError::Unknown { .. }) => "unknown",
            CommandError::Apply(ApplyError::Stored { .. }) => "stored_configuration",
            CommandError::Apply(_) => "not_accepted",
            CommandError::Ask { .. } | CommandError::Answer { .. } => "process_not_asked",
            CommandError::NotKnown { .. } => "not_known",
            CommandError::NotInForce { .. } => "not_in_force",
        }
    }
}

/// Prints a result and returns the exit code.
pub fn report(form: OutputForm, result: Result<(Value, String), CommandError>) -> ExitCode {
    match (result, form) {
        (Ok((_, text)), OutputForm::Text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        (Ok((value, _)), OutputForm::Json) => {
            println!("{value}");
            ExitCode::SUCCESS
        }
        (Err(error), form) => {
            print_error(form, &error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn print_error(form: OutputForm, error: &CommandError) {
    let change = match error {
        CommandError::Apply(ApplyError::Conflict { change, .. }) => change.as_slice(),
        _ => &[],
    };
    match form {
        OutputForm::Json => {
            let message = error.to_string();
            let detail = json!({ "code": error.code(), "message": message, "change": change });
            println!("{}", json!({ "error": detail }));
        }
        OutputForm::Text => {
            eprintln!("{}", error.to_string().trim_end());
            for difference in change {
                eprintln!("  {difference}");
            }
        }
    }
}
