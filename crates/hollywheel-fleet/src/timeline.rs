//! Faults of processes on a timeline.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::FleetError;

/// Names what is done to a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Lets a paused process go on.
    Continue,
    /// Kills the process.
    Kill,
    /// Gives a stand-in an order for faults.
    Order,
    /// Stops the process from running until it is continued.
    Pause,
    /// Starts a host in place of one that ended.
    Start,
    /// Asks the process to shut down gracefully.
    Stop,
}

/// Describes a fault.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// The time since the fleet was ready, in milliseconds.
    pub at_ms: u64,
    /// The host or the stand-in.
    pub process: String,
    /// What is done.
    pub action: FaultAction,
    /// The order for faults as JSON, for the action that gives one.
    #[serde(default)]
    pub order: String,
}

/// Lists faults in the order of their times.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultTimeline {
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
}

impl FaultTimeline {
    /// Reads a timeline from TOML.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] naming the file, the line and the field at fault.
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
