//! Loading of settings at startup, and exit codes. All settings are validated before the process
//! does anything else.

use crate::settings::{NODE_SECTIONS, NodeSettings, read_node_settings};
use derive_more::{Display, Error};
use mastbay_settings::{Document, Faults, LoadError};
use mastbay_telemetry::LoggingError;
use mastbay_web::BindError;
use std::path::Path;
use std::process::ExitCode;

/// An error that prevents a process from starting or running.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[display("{_0}")]
    Settings(LoadError),
    /// The settings file has missing or invalid values.
    #[display("{_0}")]
    Faults(Faults),
    /// Logging could not be started.
    #[display("{_0}")]
    Logging(LoggingError),
    /// A listening address could not be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// The signal handlers cannot be installed.
    #[display("signals cannot be watched: {_0}")]
    Signals(std::io::Error),
}

/// The outcome of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// All work was completed.
    Stopped,
    /// The time limit expired with work still in progress.
    StopLimit,
}

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for all other errors.
const EXIT_START: u8 = 1;
/// Exit code for a shutdown that aborted work in progress.
const EXIT_STOP_LIMIT: u8 = 3;

/// Reads a settings file: the common sections, and with `read_own` those specific to the process.
pub fn load_settings<T>(
    path: &Path,
    own_sections: &[&str],
    read_own: impl FnOnce(&Document, &mut Faults) -> Option<T>,
) -> Result<(NodeSettings, T), StartError> {
    let document = Document::load(path).map_err(StartError::Settings)?;
    let mut faults = Faults::default();
    let known: Vec<&str> = NODE_SECTIONS.iter().chain(own_sections).copied().collect();
    document.check_sections(&known, &mut faults);
    let node = read_node_settings(&document, &mut faults);
    let own = read_own(&document, &mut faults);
    faults.into_result(node.zip(own)).map_err(StartError::Faults)
}

/// Prints the error, if any, to standard error and returns the exit code of the process.
pub fn report_and_exit_code(result: Result<ExitReason, StartError>) -> ExitCode {
    match result {
        Ok(ExitReason::Stopped) => ExitCode::SUCCESS,
        Ok(ExitReason::StopLimit) => ExitCode::from(EXIT_STOP_LIMIT),
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            match error {
                StartError::Settings(_) | StartError::Faults(_) => ExitCode::from(EXIT_SETTINGS),
                _ => ExitCode::from(EXIT_START),
            }
        }
    }
}
