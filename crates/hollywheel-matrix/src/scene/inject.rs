//! Fault injection.

use std::time::Duration;

use hollywheel_node::{AnswerEcho, AttemptEvent, NodeInput};
use hollywheel_store::StoreFailure;
use hollywheel_types::{AttemptNonce, MonoTime, RequestId, ServerId};

use super::queue::{ProcessRef, SceneEvent};
use super::run::{FOLLOW_UP, FaultScene, OBSERVED};
use crate::cell::CellFault;

/// Duration that exceeds the deadline of every request.
pub(super) const PAST_DEADLINE: Duration = Duration::from_secs(4);

const PAUSE: Duration = Duration::from_secs(5);
const OUTAGE: Duration = Duration::from_millis(2500);
const RESTART: Duration = Duration::from_millis(300);

/// Time after which hosts are notified of a change of the other host or of a server.
const NEWS_LAG: Duration = Duration::from_secs(1);

/// Time after which a caller without an answer retries.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Faults that apply to the next call.
#[derive(Debug, Default)]
pub(super) struct ArmedFaults {
    pub(super) call: CallFaults,
    pub(super) lose_answer: u32,
    pub(super) late_effect: u32,
    pub(super) slow_store: u32,
    pub(super) store_down: MonoTime,
    pub(super) store_silent: MonoTime,
    pub(super) peers_cut: MonoTime,
}

/// Faults of one call to a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallFaults {
    pub(super) refused: bool,
    pub(super) cut_before: bool,
    pub(super) cut_after: bool,
    pub(super) slow: bool,
    pub(super) stray: bool,
    pub(super) duplicate: bool,
    pub(super) crossed: bool,
    pub(super) leaving: bool,
}

/// Effect of a fault on its step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepEffect {
    pub(super) skip: bool,
    pub(super) kill: bool,
    pub(super) hold: bool,
    pub(super) kill_after: bool,
    pub(super) pause_after: bool,
}

impl FaultScene {
    /// Applies a fault to an input; changes the inputs that reach the state machine accordingly.
    pub(super) fn inject_input(
        &mut self,
        fault: CellFault,
        to: ProcessRef,
        inputs: &mut Vec<NodeInput>,
        effect: &mut StepEffect,
    ) {
        let attempt = match inputs.first() {
            Some(NodeInput::Attempt { nonce, .. }) => Some(*nonce),
            _ => None,
        };
        let from_store = matches!(inputs.first(), Some(NodeInput::Store { .. }));
        match (fault, attempt) {
            (CellFault::CutBefore, Some(nonce)) => *inputs = vec![broken(nonce)],
            (CellFault::CutAfter, Some(nonce)) => inputs.push(broken(nonce)),
            (CellFault::Slow, Some(_)) => self.delay_inputs(to, inputs, false),
            (CellFault::LateAnswer, Some(_)) => self.delay_inputs(to, inputs, true),
            (CellFault::Slow | CellFault::LateAnswer, None) if from_store => {
                self.delay_inputs(to, inputs, true);
            }
            (CellFault::StoreAnswerLost, None) if from_store => {
                for input in inputs {
                    lose_result(input);
                }
            }
            // The I/O layer assigns an id to each received request, so a repeated one is a new request.
            (CellFault::Duplicate, _) if matches!(inputs.first(), Some(NodeInput::Request(_))) => {
                self.submit_again(to.host);
            }
            (CellFault::Duplicate, _) => {
                let again = inputs.clone();
                inputs.extend(again);
            }
            (CellFault::Crossed, Some(_)) => inputs.iter_mut().for_each(swap_input_attempt),
            _ => self.inject(fault, to, effect),
        }
    }

    /// Applies a fault that does not change the current message.
    pub(super) fn inject(&mut self, fault: CellFault, at: ProcessRef, effect: &mut StepEffect) {
        let call = &mut self.armed.call;
        match fault {
            CellFault::Nothing => {}
            CellFault::KillBefore => {
                effect.kill = true;
                effect.skip = true;
            }
            CellFault::KillAfter => effect.kill_after = true,
            CellFault::PauseBefore => effect.hold = true,
            CellFault::PauseAfter => effect.pause_after = true,
            CellFault::ConnectRefused => call.refused = true,
            CellFault::CutBefore => call.cut_before = true,
            CellFault::CutAfter => call.cut_after = true,
            CellFault::Slow => {
                call.slow = true;
                self.armed.slow_store = 1;
            }
            CellFault::LateAnswer => {
                call.slow = true;
                call.stray = true;
            }
            CellFault::Duplicate => call.duplicate = true,
            CellFault::Crossed => call.crossed = true,
            CellFault::StoreDown => self.armed.store_down = self.now + OUTAGE,
            CellFault::StoreSilent => self.armed.store_silent = self.now + OUTAGE,
            CellFault::StoreAnswerLost => self.armed.lose_answer += 1,
            CellFault::StoreLateEffect => self.armed.late_effect += 1,
            CellFault::ServerLeaving => self.leave_server(at),
            CellFault::CallerGone => self.caller_gone(at),
            CellFault::CallerRetry => self.submit_again(1 - at.host),
            CellFault::DuplicateRequest => self.submit_again(at.host),
            CellFault::PeerUnreachable => self.armed.peers_cut = self.now + OUTAGE,
        }
    }

    fn delay_inputs(&mut self, to: ProcessRef, inputs: &mut Vec<NodeInput>, stray: bool) {
        for input in inputs.drain(..) {
            let at = self.now + PAST_DEADLINE;
            let seen = true;
            let event = SceneEvent::Input {
                to,
                input,
                stray,
                seen,
            };
            self.queue.push(at, event);
        }
    }

    fn leave_server(&mut self, at: ProcessRef) {
        let open = self
            .open_calls
            .iter()
            .rev()
            .find(|(from, call)| from.host == at.host && call.request.0 == OBSERVED);
        match open.map(|(_, call)| call.server.clone()) {
            Some(server) => self.mark_leaving(server),
            None => self.armed.call.leaving = true,
        }
    }

    /// Makes a server refuse new work; the hosts are notified later.
    pub(super) fn mark_leaving(&mut self, server: ServerId) {
        if self.leaving.contains(&server) {
            return;
        }
        let known = self.now + NEWS_LAG;
        self.log.leaving.push((server.clone(), known));
        self.leaving.push(server.clone());
        for host in 0..2 {
            self.push_leaving(known, host, server.clone());
        }
    }

    /// Sends the reports of leaving servers to a process that has just started.
    pub(super) fn notify_leaving(&mut self, host: usize) {
        let known = self.now + NEWS_LAG;
        for server in self.leaving.clone() {
            self.push_leaving(known, host, server);
        }
    }

    fn push_leaving(&mut self, at: MonoTime, host: usize, server: ServerId) {
        let event = SceneEvent::Input {
            to: self.hosts[host].process(),
            input: NodeInput::ServerLeaving(server),
            stray: false,
            seen: true,
        };
        self.queue.push(at, event);
    }

    fn caller_gone(&mut self, at: ProcessRef) {
        let request = RequestId(OBSERVED);
        self.lose_caller(request);
        let input = NodeInput::CallerGone(request);
        let at = self.forwarder_of(at, request).unwrap_or(at);
        self.push_input(self.now, at, input);
    }

    /// Records that a caller gets no further reply and retries at the other host.
    pub(super) fn lose_caller(&mut self, request: RequestId) {
        if self.log.lost.contains(&request) || self.is_answered(request) {
            return;
        }
        self.log.lost.push(request);
        if request.0 == OBSERVED {
            self.follow_up();
        }
    }

    /// Sends the observed request to the other host with the same key.
    pub(super) fn follow_up(&mut self) {
        if !self.followed_up {
            self.followed_up = true;
            self.push_submission(self.now + ASK_AGAIN, 1, FOLLOW_UP);
        }
    }

    fn submit_again(&mut self, host: usize) {
        self.next_number += 1;
        let number = self.next_number;
        self.push_submission(self.now + Duration::from_millis(1), host, number);
    }

    pub(super) fn kill(&mut self, host: usize) {
        if self.hosts[host].machine.is_none() {
            return;
        }
        self.hosts[host].stop();
        self.drop_forwards_to(host);
        self.log.killed.push((host, self.now));
        self.open_calls.retain(|(from, _)| from.host != host);
        self.lose_callers_of(host);
        self.queue
            .push(self.now + RESTART, SceneEvent::Restart(host));
        let news = self.now + NEWS_LAG;
        self.queue.push(news, SceneEvent::View { host: 1 - host });
    }

    fn lose_callers_of(&mut self, host: usize) {
        let unanswered: Vec<RequestId> = self
            .log
            .sent
            .iter()
            .filter(|sent| sent.host == host)
            .map(|sent| sent.request)
            .filter(|request| !self.is_answered(*request))
            .collect();
        for request in unanswered {
            self.lose_caller(request);
        }
    }

    pub(super) fn is_answered(&self, request: RequestId) -> bool {
        self.log
            .parts
            .iter()
            .any(|part| part.request == request && part.is_final())
    }

    pub(super) fn pause(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        if slot.machine.is_none() || slot.paused {
            return;
        }
        slot.paused = true;
        let until = self.now + PAUSE;
        let process = slot.process();
        self.log.pauses.push((host, self.now, until));
        self.queue.push(until, SceneEvent::Resume(process));
        let other = SceneEvent::View { host: 1 - host };
        self.queue.push(self.now + NEWS_LAG, other.clone());
        self.queue.push(until + NEWS_LAG, other);
    }
}

fn broken(nonce: AttemptNonce) -> NodeInput {
    let event = AttemptEvent::Broken;
    NodeInput::Attempt { nonce, event }
}

fn lose_result(input: &mut NodeInput) {
    if let NodeInput::Store { result, .. } = input {
        *result = Err(StoreFailure::Unknown);
    }
}

fn swap_input_attempt(input: &mut NodeInput) {
    if let NodeInput::Attempt { event, .. } = input {
        swap_attempt(event);
    }
}

/// Changes an answer into that of another attempt.
pub(super) fn swap_attempt(event: &mut AttemptEvent) {
    const OTHER: AttemptNonce = AttemptNonce(0xc0de);
    let other_echo = |echo: &mut AnswerEcho| {
        echo.nonce = OTHER;
        echo.request = RequestId(super::run::BACKGROUND);
    };
    match event {
        AttemptEvent::Answer { echo, output } => {
            other_echo(echo);
            *output = "the answer of another request".to_owned();
        }
        AttemptEvent::Token { nonce, text, .. } => {
            *nonce = OTHER;
            *text = "a token of another request ".to_owned();
        }
        AttemptEvent::StreamEnd { echo, .. } => other_echo(echo),
        AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {}
    }
}
