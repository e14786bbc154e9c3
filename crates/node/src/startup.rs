//! Starting a process: settings are checked whole before anything else happens.

use crate::settings::{NODE_SECTIONS, NodeSettings, read_node_settings};
use derive_more::{Display, Error};
use mastbay_settings::{Document, Faults, LoadError};
use mastbay_telemetry::LoggingError;
use mastbay_web::BindError;
use std::path::Path;
use std::process::ExitCode;

/// Why a process did not start or did not end well.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[display("{_0}")]
    Settings(LoadError),
    /// The settings have faults.
    #[display("{_0}")]
    Faults(Faults),
    /// Logging could not be started.
    #[display("{_0}")]
    Logging(LoggingError),
    /// An address could not be opened.
    #[display("{_0}")]
    Bind(BindError),
    /// Signals cannot be watched.
    #[display("signals cannot be watched: {_0}")]
    Signals(std::io::Error),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// A planned stop: all that ran has ended.
    Stopped,
    /// The time for a planned stop ran out with work still running.
    StopLimit,
}

/// Exit code for settings that are missing or wrong.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for everything else that keeps a process from starting.
const EXIT_START: u8 = 1;
/// Exit code for a stop that cut work.
const EXIT_STOP_LIMIT: u8 = 3;

/// Reads a settings file: the shared sections and, by `read_own`, those of the process itself.
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

/// Tells the user what kept a process from starting and gives its exit code.
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
