//! A process started here, and what may be done to it.

use derive_more::{Display, Error};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A program could not be started.
#[derive(Debug, Display, Error)]
#[display("{program} cannot be started: {source}; was the workspace built?")]
pub struct StartFailed {
    /// The program.
    pub program: String,
    /// The cause.
    pub source: std::io::Error,
}

/// The path of a program of this workspace, beside the one that runs.
pub fn binary(name: &str) -> PathBuf {
    let running = std::env::current_exe().unwrap_or_default();
    let mut folder = running.parent().unwrap_or(Path::new("")).to_path_buf();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace; what it prints goes to `log`.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, StartFailed> {
        let failed = |source| StartFailed { program: program.to_owned(), source };
        let output = File::options().create(true).append(true).open(log).map_err(failed)?;
        let errors = output.try_clone().map_err(failed)?;
        let child = Command::new(binary(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(failed)?;
        Ok(Self { child, log: log.to_path_buf() })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process printed so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends the process at once, as a crash would.
    pub fn kill(&mut self) {
        // Already ended is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Wakes it again.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// How the process ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
