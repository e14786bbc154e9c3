//! Child processes and signals to them.

use derive_more::{Display, Error};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Error of starting a program.
#[derive(Debug, Display, Error)]
#[display("{program} cannot be started: {source}; was the workspace built?")]
pub struct StartError {
    /// Name of the program.
    pub program: String,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Returns the path of a program of this workspace, in the build folder of the running one.
pub fn binary(name: &str) -> PathBuf {
    let running = std::env::current_exe().unwrap_or_default();
    let mut folder = running.parent().unwrap_or(Path::new("")).to_path_buf();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace and appends its output to `log`.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, StartError> {
        let failed = |source| StartError { program: program.to_owned(), source };
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of the process up to now; empty if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process, as a crash would, and waits for its end.
    pub fn kill(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which requests a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGSTOP, which freezes the process until [`Process::wake`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT, which lets a frozen process continue.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // Fails if the process has ended already.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
