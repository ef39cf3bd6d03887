//! Process of a simulated host.

use hollywheel_node::{NodeInput, NodeMachine, NodeOutput};
use hollywheel_types::{Incarnation, MonoTime};

use super::queue::ProcessRef;

/// A host and its process, if one is running.
#[derive(Debug)]
pub(super) struct HostSlot {
    pub(super) host: usize,
    pub(super) incarnation: Incarnation,
    pub(super) machine: Option<NodeMachine>,
    pub(super) paused: bool,
    pub(super) held_outputs: Vec<NodeOutput>,
    pub(super) held_inputs: Vec<NodeInput>,
    /// The time of the queued wake event.
    pub(super) wake: Option<MonoTime>,
}

impl HostSlot {
    pub(super) const fn new(host: usize) -> Self {
        Self {
            host,
            incarnation: Incarnation(0),
            machine: None,
            paused: false,
            held_outputs: Vec::new(),
            held_inputs: Vec::new(),
            wake: None,
        }
    }

    pub(super) const fn process(&self) -> ProcessRef {
        ProcessRef {
            host: self.host,
            incarnation: self.incarnation,
        }
    }

    pub(super) fn runs(&self, process: ProcessRef) -> bool {
        self.machine.is_some() && self.incarnation == process.incarnation
    }

    pub(super) fn start(&mut self, machine: NodeMachine) {
        self.incarnation = machine.settings().incarnation;
        self.machine = Some(machine);
        self.stop_pause();
        self.wake = None;
    }

    pub(super) fn stop(&mut self) {
        self.machine = None;
        self.stop_pause();
        self.wake = None;
    }

    fn stop_pause(&mut self) {
        self.paused = false;
        self.held_inputs.clear();
        self.held_outputs.clear();
    }
}
