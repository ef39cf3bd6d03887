//! A timeline of faults to inject into the processes of a fleet.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::FleetError;

/// An action that is applied to a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Resumes a paused process (SIGCONT).
    Continue,
    /// Kills the process (SIGKILL).
    Kill,
    /// Sends a fault-injection order to a stand-in.
    Order,
    /// Pauses the process until it is continued (SIGSTOP).
    Pause,
    /// Restarts a host, shutting down its process first if it still runs.
    Start,
    /// Shuts down the process gracefully (SIGTERM).
    Stop,
}

/// A fault at a point in time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// The time since the fleet was ready, in milliseconds.
    pub at_ms: u64,
    /// The name of the host or the stand-in.
    pub process: String,
    /// The action to apply.
    pub action: FaultAction,
    /// The fault-injection order as JSON, used only by [`FaultAction::Order`].
    #[serde(default)]
    pub order: String,
}

/// A list of faults; [`FaultTimeline::read`] sorts it by time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultTimeline {
    /// The faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
}

impl FaultTimeline {
    /// Reads a timeline from a TOML file and sorts its faults by time.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the file can't be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, FleetError> {
        let text = std::fs::read_to_string(path).map_err(|error| FleetError::file(path, &error))?;
        let mut timeline: Self = toml::from_str(&text).map_err(|error| FleetError::Input {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        timeline.faults.sort_by_key(|fault| fault.at_ms);
        Ok(timeline)
    }
}
