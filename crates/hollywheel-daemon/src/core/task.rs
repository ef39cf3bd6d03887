//! The loop around the decision machine.

use std::collections::VecDeque;

use hollywheel_claims::ClaimAnswer;
use hollywheel_node::{
    AttemptEvent, CallTicket, CallerRequest, ForwardEnd, NodeInput, NodeMachine, NodeOutput,
};
use hollywheel_types::SortedMap;
use tokio::sync::{mpsc, oneshot};

use super::effects::CoreEffects;
use super::handle::{CoreHandle, CoreMessage, KeyResult};
use super::observer::CoreObserver;
use super::replies::{DeliverOutcome, ReplyTable};
use super::status::CoreStatus;
use hollywheel_clock::{HostClock, sleep_until};

/// Bounds the messages that wait for the machine; requests beyond it are refused as not run.
const QUEUE: usize = 4096;
/// Bounds the messages taken between two looks at the clock.
const BATCH: usize = 64;
/// Bounds the questions of other hosts in progress; later ones get no answer.
const MAX_QUESTIONS: usize = 1024;

/// Creates the queue of the machine.
pub fn core_channel() -> (CoreHandle, mpsc::Receiver<CoreMessage>) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    (CoreHandle::new(sender), receiver)
}

/// Owns the decision machine and carries out what it decides.
#[derive(Debug)]
pub struct CoreTask {
    machine: NodeMachine,
    clock: HostClock,
    receiver: mpsc::Receiver<CoreMessage>,
    effects: CoreEffects,
    observer: CoreObserver,
    replies: ReplyTable,
    questions: SortedMap<CallTicket, oneshot::Sender<ClaimAnswer>>,
    keys: SortedMap<CallTicket, oneshot::Sender<KeyResult>>,
    next_question: u64,
    /// Inputs that follow from carrying out outputs.
    pending: VecDeque<NodeInput>,
}

impl CoreTask {
    /// Creates the task around a machine.
    pub fn new(
        machine: NodeMachine,
        clock: HostClock,
        receiver: mpsc::Receiver<CoreMessage>,
        effects: CoreEffects,
        observer: CoreObserver,
    ) -> Self {
        Self {
            machine,
            clock,
            receiver,
            effects,
            observer,
            replies: ReplyTable::default(),
            questions: SortedMap::new(),
            keys: SortedMap::new(),
            next_question: 0,
            pending: VecDeque::new(),
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let wake = self.machine.next_wake();
            tokio::select! {
                taken = self.receiver.recv_many(&mut batch, BATCH) => {
                    if taken == 0 {
                        return;
                    }
                    for message in batch.drain(..) {
                        self.take(message);
                    }
                }
                () = sleep_until(&self.clock, wake) => self.step(NodeInput::Tick),
            }
        }
    }

    fn take(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Input(input) => self.take_input(input),
            CoreMessage::Request { request, replies } => {
                self.replies.add(request.request, replies);
                self.step(NodeInput::Request(*request));
            }
            CoreMessage::HostAsks(asked) => {
                if self.questions.len() >= MAX_QUESTIONS {
                    return;
                }
                self.next_question += 1;
                let ticket = CallTicket(self.next_question);
                self.questions.insert(ticket, asked.reply);
                self.step(NodeInput::HostAsks {
                    ticket,
                    from: asked.from,
                    question: asked.question,
                });
            }
            CoreMessage::IssueKey { workspace, reply } => {
                self.next_question += 1;
                let ticket = CallTicket(self.next_question);
                self.keys.insert(ticket, reply);
                self.step(NodeInput::IssueKey { ticket, workspace });
            }
            CoreMessage::ReadStatus(reply) => {
                let _ = reply.send(CoreStatus::of(&self.machine, self.effects.attempts()));
            }
            CoreMessage::ReadSubset(reply) => {
                let _ = reply.send(self.machine.policy().subset());
            }
        }
    }

    fn take_input(&mut self, input: NodeInput) {
        match &input {
            NodeInput::CallerGone(request) => self.replies.remove(*request),
            NodeInput::Attempt { nonce, event } if is_last(event) => {
                self.effects.attempt_ended(*nonce);
            }
            _ => {}
        }
        self.step(input);
    }

    fn step(&mut self, input: NodeInput) {
        self.pending.push_back(input);
        while let Some(input) = self.pending.pop_front() {
            let now = self.clock.now();
            for output in self.machine.handle(now, input) {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Dispatch(call) => self.effects.dispatch(*call),
            NodeOutput::Cancel { nonce } => self.effects.cancel(nonce),
            NodeOutput::Store { ticket, request } => self.effects.call_store(ticket, request),
            NodeOutput::AskHost {
                ticket,
                host,
                incarnation,
                question,
            } => self.effects.ask_host(ticket, &host, incarnation, question),
            NodeOutput::AnswerHost { ticket, answer } => {
                if let Some(reply) = self.questions.remove(&ticket) {
                    let _ = reply.send(answer);
                }
            }
            NodeOutput::Forward {
                ticket,
                host,
                incarnation,
                request,
                deadline,
            } => {
                let now = self.clock.now();
                if now >= deadline {
                    let end = ForwardEnd::NotSent;
                    self.pending.push_back(NodeInput::Forwarded { ticket, end });
                    return;
                }
                let request = CallerRequest {
                    timeout: Some(deadline.since(now)),
                    ..*request
                };
                self.effects.forward(ticket, &host, incarnation, request);
            }
            NodeOutput::KeyIssued { ticket, result } => {
                if let Some(reply) = self.keys.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            NodeOutput::Reply { request, part } => {
                if self.replies.deliver(request, part) == DeliverOutcome::Cut {
                    self.pending.push_back(NodeInput::CallerGone(request));
                }
            }
            NodeOutput::Event(event) => self.observer.observe(self.clock.now(), &event),
            NodeOutput::Drained => self.effects.drained(),
        }
    }
}

const fn is_last(event: &AttemptEvent) -> bool {
    !matches!(event, AttemptEvent::Token { .. })
}
