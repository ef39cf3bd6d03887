//! A process of the fleet.

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

/// Holds a child process, which ends with this tool at the latest.
#[derive(Debug)]
pub(crate) struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program with its log in a file.
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

    /// Waits for the first line on standard output that begins with a word, and returns the rest.
    pub(crate) async fn first_line(&mut self, word: &str) -> Result<String, FleetError> {
        let not_ready = || FleetError::NotReady {
            name: word.to_owned(),
            log: self.log.clone(),
        };
        let Some(output) = self.child.stdout.take() else {
            return Err(not_ready());
        };
        let mut lines = BufReader::new(output).lines();
        let wait = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(rest) = line.strip_prefix(word) {
                    return Some(rest.trim().to_owned());
                }
            }
            None
        };
        let found = tokio::time::timeout(START_TIMEOUT, wait).await;
        let line = found.ok().flatten().ok_or_else(not_ready)?;
        // The pipe is read to its end, so that the process never waits for a reader.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(line)
    }

    /// Returns the process id, zero if the process has ended.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Returns the file that holds the log.
    pub(crate) fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal if the process runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let Some(pid) = self.child.id().and_then(|pid| i32::try_from(pid).ok()) else {
            return;
        };
        // A process that ends meanwhile is what the signal would have brought about.
        let _ = kill(Pid::from_raw(pid), signal);
    }

    /// Asks the process to end, kills it after a span, and says whether it ended by itself.
    pub(crate) async fn end(&mut self, span: Duration) -> bool {
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGTERM);
        if let Ok(Ok(status)) = tokio::time::timeout(span, self.child.wait()).await {
            return status.success();
        }
        self.kill().await;
        false
    }

    /// Kills the process and waits until it is gone.
    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}
