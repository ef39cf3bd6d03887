//! A child process with a log file.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::error::FleetError;

const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program whose standard error is appended to a log file.
    pub(crate) fn start(
        program: &Path,
        args: &[String],
        variables: &[(String, String)],
        log: &Path,
    ) -> Result<Self, FleetError> {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|error| FleetError::file(log, &error))?;
        let child = Command::new(program)
            .args(args)
            .envs(variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| FleetError::Start {
                program: program.to_owned(),
                message: error.to_string(),
            })?;
        Ok(Self {
            child,
            log: log.to_owned(),
        })
    }

    /// Waits for the first line on standard output with a prefix and returns the rest of the line.
    pub(crate) async fn wait_for_line(&mut self, prefix: &str) -> Result<String, FleetError> {
        let not_ready = || FleetError::NotReady {
            name: prefix.to_owned(),
            log: self.log.clone(),
        };
        let Some(output) = self.child.stdout.take() else {
            return Err(not_ready());
        };
        let mut lines = BufReader::new(output).lines();
        let wait = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(rest) = line.strip_prefix(prefix) {
                    return Some(rest.trim().to_owned());
                }
            }
            None
        };
        let rest = tokio::time::timeout(START_TIMEOUT, wait).await;
        let line = rest.ok().flatten().ok_or_else(not_ready)?;
        // Drains the pipe, because the process would block on a full one.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(line)
    }

    /// Returns the process id, or zero if the process has exited.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Returns the path of the log file.
    pub(crate) fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal if the process has not exited.
    pub(crate) fn signal(&self, signal: Signal) {
        let Some(pid) = self.child.id().and_then(|pid| i32::try_from(pid).ok()) else {
            return;
        };
        // Ignores the error of a process that exits before the signal is sent.
        let _ = kill(Pid::from_raw(pid), signal);
    }

    /// Sends SIGTERM, kills the process after a time-out, and returns whether it exited with success.
    pub(crate) async fn shut_down(&mut self, timeout: Duration) -> bool {
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGTERM);
        if let Ok(Ok(status)) = tokio::time::timeout(timeout, self.child.wait()).await {
            return status.success();
        }
        self.kill().await;
        false
    }

    /// Kills the process and waits until it has exited.
    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}
