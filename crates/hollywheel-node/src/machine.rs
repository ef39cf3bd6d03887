//! The decision machine.

use hollywheel_policy::PolicyEngine;
use hollywheel_types::MonoTime;

use crate::input::NodeInput;
use crate::output::NodeOutput;
use crate::settings::NodeSettings;

/// Decides everything that one host does for its callers.
#[derive(Debug)]
pub struct NodeMachine {
    settings: NodeSettings,
    policy: PolicyEngine,
}

impl NodeMachine {
    /// Creates a machine without configuration.
    pub fn new(settings: NodeSettings) -> Self {
        let policy = PolicyEngine::new(settings.policy.clone());
        Self { settings, policy }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the policy, for showing its state.
    pub const fn policy(&self) -> &PolicyEngine {
        &self.policy
    }

    /// Takes one input and returns its effects in the order in which they must be carried out.
    pub fn handle(&mut self, _now: MonoTime, _input: NodeInput) -> Vec<NodeOutput> {
        Vec::new()
    }

    /// Returns the next point at which a [`NodeInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }
}
