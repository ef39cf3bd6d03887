//! Delivery of inputs to the state machines.

use hollywheel_node::{CallerRequest, NodeInput};
use hollywheel_types::{MonoTime, RequestId, WallTime};

use super::inject::StepEffect;
use super::log::SentRequest;
use super::queue::{ProcessRef, SceneEvent};
use super::run::{BACKGROUND, FaultScene};
use crate::breaks;
use crate::cell::CellScenario;
use crate::fixture;

/// The input of the observed requests.
pub(crate) const OBSERVED_INPUT: &str = "order";

const BACKGROUND_INPUT: &str = "other";

impl FaultScene {
    pub(super) fn deliver(&mut self, to: ProcessRef, input: NodeInput, stray: bool, seen: bool) {
        if !self.hosts[to.host].runs(to) || (!stray && self.is_cancelled(&input)) {
            return;
        }
        if self.hosts[to.host].paused {
            self.hosts[to.host].held_inputs.push(input);
            return;
        }
        let steps = match seen {
            true => Vec::new(),
            false => self.input_steps(&input),
        };
        let mut inputs = vec![input];
        let mut effect = StepEffect::default();
        for fault in self.due_faults(&steps) {
            self.inject_input(fault, to, &mut inputs, &mut effect);
        }
        if effect.kill {
            self.kill(to.host);
            return;
        }
        if effect.hold {
            self.pause(to.host);
            self.hosts[to.host].held_inputs.extend(inputs);
            return;
        }
        for input in inputs {
            self.pass_input(to.host, input);
        }
        if effect.kill_after {
            self.kill(to.host);
        } else if effect.pause_after {
            self.pause(to.host);
        }
    }

    /// Returns whether an input belongs to an attempt whose connection the host has closed.
    fn is_cancelled(&self, input: &NodeInput) -> bool {
        let NodeInput::Attempt { nonce, .. } = input else {
            return false;
        };
        !self.open_calls.iter().any(|(_, call)| call.nonce == *nonce)
    }

    /// Passes an input to the state machine of a host and executes its outputs.
    pub(super) fn pass_input(&mut self, host: usize, input: NodeInput) {
        if self.hosts[host].paused {
            self.hosts[host].held_inputs.push(input);
            return;
        }
        self.note_input(host, &input);
        let inputs = match self.settings.broken {
            Some(broken) => breaks::alter_input(broken, input),
            None => vec![input],
        };
        for input in inputs {
            self.pass_one(host, input);
        }
    }

    fn pass_one(&mut self, host: usize, input: NodeInput) {
        let now = self.now;
        let first = self.hosts[host].incarnation.0 == 1 && host == 0;
        if let Some(recorder) = self.recorder.as_mut().filter(|_| first) {
            recorder.input(now, &input);
        }
        let Some(machine) = &mut self.hosts[host].machine else {
            return;
        };
        let outputs = machine.handle(now, input);
        if let Some(recorder) = self.recorder.as_mut().filter(|_| first) {
            recorder.outputs(&outputs);
        }
        self.execute(host, outputs);
        self.arm_wake(host);
    }

    fn note_input(&mut self, host: usize, input: &NodeInput) {
        match input {
            NodeInput::Request(request) => self.note_request(host, request),
            NodeInput::Config(set) => {
                let version = &mut self.log.versions[host];
                *version = set.version.max(*version);
            }
            NodeInput::Drain(_) => self.log.drain_ordered.push((host, self.now)),
            NodeInput::Attempt { nonce, .. } => {
                let calls = self.open_calls.iter();
                let call = calls.rev().find(|(_, call)| call.nonce == *nonce);
                if let Some((_, call)) = call {
                    self.log.heard.push((call.request, self.now));
                }
            }
            _ => {}
        }
    }

    fn note_request(&mut self, host: usize, request: &CallerRequest) {
        let again = self.log.sent.iter();
        if again.clone().any(|sent| sent.request == request.request) {
            return;
        }
        self.log.sent.push(SentRequest {
            request: request.request,
            at: self.now,
            host,
            incarnation: self.hosts[host].incarnation,
            scenario: match request.request.0 {
                BACKGROUND => CellScenario::Lookup,
                _ => self.scenario,
            },
            input: request.input.clone(),
            key: request.idempotency_key.clone(),
            version: self.log.versions[host],
        });
    }

    pub(super) fn submit(&mut self, host: usize, number: u128) {
        // A load balancer sends callers to the other host if this one has no process.
        let host = match self.hosts[host].machine.is_some() {
            true => host,
            false => 1 - host,
        };
        if self.hosts[host].machine.is_none() {
            return;
        }
        let to = self.hosts[host].process();
        let input = NodeInput::Request(self.caller_request(number));
        self.deliver(to, input, false, false);
    }

    fn caller_request(&self, number: u128) -> CallerRequest {
        let (scenario, input) = match number {
            BACKGROUND => (CellScenario::Lookup, BACKGROUND_INPUT),
            _ => (self.scenario, OBSERVED_INPUT),
        };
        CallerRequest {
            request: RequestId(number),
            workspace: fixture::workspace(),
            pipeline: scenario.name().parse().expect("a valid name"),
            input: input.to_owned(),
            idempotency_key: self.caller_key().filter(|_| scenario.has_key()),
            timeout: None,
            max_tokens: None,
            stream: true,
            received_at: WallTime(1_700_000_000_000),
        }
    }

    pub(super) fn notify_view(&mut self, host: usize) {
        let now = self.now;
        let seen = |slot: &super::host::HostSlot| {
            // The other host considers a host dead whose process was paused for a while.
            let stopped =
                self.log.pauses.iter().any(|(paused, from, until)| {
                    *paused == slot.host && *from < now && now < *until
                });
            let alive = slot.machine.is_some() && !stopped;
            alive.then_some(slot.incarnation)
        };
        let view = fixture::view([seen(&self.hosts[0]), seen(&self.hosts[1])]);
        let to = self.hosts[host].process();
        self.deliver(to, NodeInput::Hosts(view), false, true);
    }

    pub(super) fn resume(&mut self, process: ProcessRef) {
        let slot = &mut self.hosts[process.host];
        if !slot.runs(process) || !slot.paused {
            return;
        }
        slot.paused = false;
        let outputs = std::mem::take(&mut slot.held_outputs);
        let inputs = std::mem::take(&mut slot.held_inputs);
        self.execute(process.host, outputs);
        // A resumed process may handle its timers before or after the inputs that have arrived.
        let timers_first = self.settings.jitter_us > 0 && self.next_random().is_multiple_of(2);
        if timers_first {
            self.deliver(process, NodeInput::Tick, false, true);
        }
        for input in inputs {
            self.deliver(process, input, false, true);
        }
        self.deliver(process, NodeInput::Tick, false, true);
    }

    pub(super) fn wake(&mut self, process: ProcessRef) {
        let slot = &mut self.hosts[process.host];
        if !slot.runs(process) {
            return;
        }
        slot.wake = None;
        if slot.paused {
            return;
        }
        let due = slot
            .machine
            .as_ref()
            .and_then(|machine| machine.next_wake());
        match due {
            Some(due) if due <= self.now => self.pass_input(process.host, NodeInput::Tick),
            _ => self.arm_wake(process.host),
        }
    }

    fn arm_wake(&mut self, host: usize) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        let Some(machine) = &slot.machine else {
            return;
        };
        let Some(due) = machine.next_wake() else {
            return;
        };
        let at = due.max(MonoTime(now.0 + 1));
        if slot.wake.is_some_and(|queued| queued <= at && queued > now) {
            return;
        }
        slot.wake = Some(at);
        let process = slot.process();
        self.queue.push(at, SceneEvent::Wake(process));
    }
}
