//! Execution of the outputs of the state machines, as the I/O layer of a host does.

use std::collections::VecDeque;

use hollywheel_node::{
    AttemptCall, AttemptEvent, CallTicket, CallerRequest, NodeInput, NodeOutput, ReplyPart,
};
use hollywheel_store::StoreRequest;
use hollywheel_types::{HostId, Incarnation, RequestId};

use super::inject::{CallFaults, StepEffect};
use super::log::SeenPart;
use super::queue::{ProcessRef, SceneEvent};
use super::run::{BACKGROUND, FaultScene, OBSERVED};
use crate::breaks;
use crate::fixture;

/// One-way network latency from or to a host, in microseconds.
pub(super) const ONE_WAY_US: u64 = 1000;

impl FaultScene {
    pub(super) fn execute(&mut self, host: usize, outputs: Vec<NodeOutput>) {
        let process = self.hosts[host].process();
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            if !self.hosts[host].runs(process) {
                return;
            }
            if self.hosts[host].paused {
                outputs.push_front(output);
                self.hosts[host].held_outputs.extend(outputs);
                return;
            }
            let steps = self.output_steps(&output);
            let mut effect = StepEffect::default();
            for fault in self.due_faults(&steps) {
                self.inject(fault, process, &mut effect);
            }
            if effect.kill {
                self.kill(host);
                return;
            }
            if effect.hold {
                self.pause(host);
                outputs.push_front(output);
                continue;
            }
            self.execute_altered(process, output);
            if effect.kill_after {
                self.kill(host);
            } else if effect.pause_after {
                self.pause(host);
            }
        }
    }

    fn execute_altered(&mut self, from: ProcessRef, output: NodeOutput) {
        let Some(broken) = self.settings.broken else {
            self.execute_one(from, output);
            return;
        };
        let altered = breaks::alter_output(broken, output);
        for output in altered.outputs {
            self.execute_one(from, output);
        }
        for (delay, output) in altered.later {
            let at = self.now + delay;
            let request = match &output {
                NodeOutput::Reply { request, .. } => *request,
                _ => RequestId::default(),
            };
            self.note_part_at(at, request, output);
        }
        for input in altered.inputs {
            let at = self.after(ONE_WAY_US);
            self.push_input(at, from, input);
        }
    }

    fn note_part_at(
        &mut self,
        at: hollywheel_types::MonoTime,
        request: RequestId,
        output: NodeOutput,
    ) {
        if let NodeOutput::Reply { part, .. } = output {
            self.log.parts.push(SeenPart { at, request, part });
        }
    }

    fn execute_one(&mut self, from: ProcessRef, output: NodeOutput) {
        match output {
            NodeOutput::Dispatch(call) => self.send_call(from, *call),
            NodeOutput::Cancel { nonce } => self.open_calls.retain(|(_, call)| call.nonce != nonce),
            NodeOutput::Store { ticket, request } => self.send_store(from, ticket, request),
            NodeOutput::AskHost {
                ticket,
                host,
                incarnation,
                question,
            } => self.send_question(from, ticket, &host, incarnation, question),
            NodeOutput::AnswerHost { ticket, answer } => self.send_answer(ticket, answer),
            NodeOutput::Forward {
                ticket,
                host,
                incarnation,
                request,
                deadline,
            } => {
                let request = CallerRequest {
                    timeout: Some(deadline.since(self.now)),
                    ..*request
                };
                self.send_forward(from, ticket, &host, incarnation, request);
            }
            NodeOutput::KeyIssued { result, .. } => self.key_issued(result),
            NodeOutput::Reply { request, part } => {
                if !self.answer_forward(from, request, &part) {
                    self.reply(request, part);
                }
            }
            NodeOutput::Event(_) => {}
            NodeOutput::Drained => self.drained(from.host),
        }
    }

    fn send_call(&mut self, from: ProcessRef, call: AttemptCall) {
        let faults = match call.request.0 {
            BACKGROUND => CallFaults::default(),
            _ => std::mem::take(&mut self.armed.call),
        };
        // The I/O layer checks the deadline again before it sends.
        if faults.refused || self.now > call.deadline {
            let event = AttemptEvent::NotSent;
            let nonce = call.nonce;
            self.open_calls.push((from, call));
            let at = self.after(ONE_WAY_US);
            self.push_input(at, from, NodeInput::Attempt { nonce, event });
            return;
        }
        if faults.leaving {
            self.mark_leaving(call.server.clone());
        }
        self.open_calls.push((from, call.clone()));
        if faults.cut_before {
            let event = AttemptEvent::Broken;
            let nonce = call.nonce;
            let at = self.after(ONE_WAY_US);
            self.push_input(at, from, NodeInput::Attempt { nonce, event });
            return;
        }
        self.call_faults.push((call.nonce, faults));
        let at = self.after(ONE_WAY_US);
        let call = Box::new(call);
        self.queue.push(at, SceneEvent::Call { from, call });
    }

    fn send_store(&mut self, from: ProcessRef, ticket: CallTicket, request: StoreRequest) {
        let is_write = matches!(request, StoreRequest::Txn { .. });
        let lost = is_write && self.armed.lose_answer > 0;
        if lost {
            self.armed.lose_answer -= 1;
        }
        let at = self.after(ONE_WAY_US);
        self.queue.push(
            at,
            SceneEvent::Store {
                from,
                ticket,
                request,
                lost,
            },
        );
    }

    fn send_question(
        &mut self,
        from: ProcessRef,
        ticket: CallTicket,
        host: &HostId,
        incarnation: Incarnation,
        question: hollywheel_claims::ClaimQuestion,
    ) {
        let at = self.after(ONE_WAY_US);
        let target = (0..2).find(|host_at| fixture::host_name(*host_at) == *host);
        let target = target.map(|host| ProcessRef { host, incarnation });
        let reached = target.filter(|target| {
            self.hosts[target.host].runs(*target) && self.now >= self.armed.peers_cut
        });
        let Some(target) = reached else {
            let answer = None;
            self.push_input(at, from, NodeInput::HostAnswers { ticket, answer });
            return;
        };
        let number = self.questions.len() as u64;
        self.questions.push((from, ticket));
        let input = NodeInput::HostAsks {
            ticket: CallTicket(number),
            from: fixture::host_name(from.host),
            question,
        };
        self.push_input(at, target, input);
    }

    fn send_answer(&mut self, number: CallTicket, answer: hollywheel_claims::ClaimAnswer) {
        let at = self.after(ONE_WAY_US);
        let question = usize::try_from(number.0).ok();
        let Some((asker, ticket)) = question.and_then(|at| self.questions.get(at)).copied() else {
            return;
        };
        let cut = self.now < self.armed.peers_cut;
        let answer = Some(answer).filter(|_| !cut);
        self.push_input(at, asker, NodeInput::HostAnswers { ticket, answer });
    }

    fn reply(&mut self, request: RequestId, part: ReplyPart) {
        if self.log.lost.contains(&request) {
            return;
        }
        let at = self.now;
        let part = SeenPart { at, request, part };
        let ends = part.is_final() && request.0 == OBSERVED;
        self.log.parts.push(part);
        if ends {
            self.follow_up();
        }
    }

    fn drained(&mut self, host: usize) {
        self.log.drained.push((host, self.now));
        self.hosts[host].stop();
        self.drop_forwards_to(host);
        self.open_calls.retain(|(from, _)| from.host != host);
        let at = self.now + std::time::Duration::from_secs(1);
        self.queue.push(at, SceneEvent::View { host: 1 - host });
    }
}
