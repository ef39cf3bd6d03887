//! Publication and installation of versions on a host.

use std::sync::Arc;

use hollywheel_types::MonoTime;

use crate::change::PublishedSet;
use crate::install_message::{InstallInput, InstallOutput, InstallSettings};

/// Publishes versions and puts published versions in force on one host.
#[derive(Debug)]
pub struct InstallMachine {
    settings: InstallSettings,
    in_force: Option<Arc<PublishedSet>>,
}

impl InstallMachine {
    /// Creates a machine without a version.
    pub const fn new(settings: InstallSettings) -> Self {
        Self {
            settings,
            in_force: None,
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, _now: MonoTime, _input: InstallInput) -> Vec<InstallOutput> {
        Vec::new()
    }

    /// Returns the point at which [`InstallInput::Tick`] is due.
    pub const fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &InstallSettings {
        &self.settings
    }

    /// Returns the version in force; none means that the host is not ready.
    pub const fn in_force(&self) -> Option<&Arc<PublishedSet>> {
        self.in_force.as_ref()
    }
}
