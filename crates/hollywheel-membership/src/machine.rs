//! The membership machine of one host.

use hollywheel_types::MonoTime;

use crate::message::{MemberInput, MemberOutput, MemberRecord, MemberSettings};

/// Decides which hosts are taken for alive and spreads news between them.
#[derive(Debug)]
pub struct MemberMachine {
    settings: MemberSettings,
    records: Vec<MemberRecord>,
}

impl MemberMachine {
    /// Creates a machine that knows only its own host.
    pub const fn new(settings: MemberSettings) -> Self {
        Self {
            settings,
            records: Vec::new(),
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, _now: MonoTime, _input: MemberInput) -> Vec<MemberOutput> {
        Vec::new()
    }

    /// Returns the point at which [`MemberInput::Tick`] is due.
    pub const fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Returns every host that is known, in the order of the names.
    pub fn records(&self) -> Vec<MemberRecord> {
        self.records.clone()
    }
}
