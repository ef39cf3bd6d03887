//! Event loop of the decision machine.

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
use super::replies::{DeliveryOutcome, ReplyTable};
use super::status::CoreStatus;
use hollywheel_clock::{HostClock, sleep_until};

/// Capacity of the message queue; further requests are refused with the verdict `not-run`.
const MESSAGE_QUEUE_LENGTH: usize = 4096;
/// Maximum number of messages handled in a row before the timer of the decision machine is polled.
const MESSAGE_BATCH_SIZE: usize = 64;
/// Maximum number of pending questions from other hosts; further ones get no answer.
const MAX_PENDING_QUESTIONS: usize = 1024;

/// Creates the message queue of the decision machine.
pub fn core_channel() -> (CoreHandle, mpsc::Receiver<CoreMessage>) {
    let (sender, receiver) = mpsc::channel(MESSAGE_QUEUE_LENGTH);
    (CoreHandle::new(sender), receiver)
}

/// Owns the decision machine, feeds it with messages and executes its outputs.
#[derive(Debug)]
pub struct CoreTask {
    machine: NodeMachine,
    clock: HostClock,
    receiver: mpsc::Receiver<CoreMessage>,
    effects: CoreEffects,
    observer: CoreObserver,
    replies: ReplyTable,
    pending_questions: SortedMap<CallTicket, oneshot::Sender<ClaimAnswer>>,
    key_requests: SortedMap<CallTicket, oneshot::Sender<KeyResult>>,
    last_ticket: u64,
    /// Inputs that are not handled yet; executing an output can add one.
    input_queue: VecDeque<NodeInput>,
}

impl CoreTask {
    /// Creates the task for a decision machine.
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
            pending_questions: SortedMap::new(),
            key_requests: SortedMap::new(),
            last_ticket: 0,
            input_queue: VecDeque::new(),
        }
    }

    /// Runs the event loop until every handle is dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(MESSAGE_BATCH_SIZE);
        loop {
            let wake_time = self.machine.next_wake();
            tokio::select! {
                taken = self.receiver.recv_many(&mut batch, MESSAGE_BATCH_SIZE) => {
                    if taken == 0 {
                        return;
                    }
                    for message in batch.drain(..) {
                        self.handle_message(message);
                    }
                }
                () = sleep_until(&self.clock, wake_time) => self.step(NodeInput::Tick),
            }
        }
    }

    fn handle_message(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Input(input) => self.handle_input(input),
            CoreMessage::Request { request, replies } => {
                self.replies.add(request.request, replies);
                self.step(NodeInput::Request(*request));
            }
            CoreMessage::ClaimQuestion(claim_question) => {
                if self.pending_questions.len() >= MAX_PENDING_QUESTIONS {
                    return;
                }
                self.last_ticket += 1;
                let ticket = CallTicket(self.last_ticket);
                self.pending_questions.insert(ticket, claim_question.reply);
                self.step(NodeInput::HostAsks {
                    ticket,
                    from: claim_question.from,
                    question: claim_question.question,
                });
            }
            CoreMessage::IssueKey { workspace, reply } => {
                self.last_ticket += 1;
                let ticket = CallTicket(self.last_ticket);
                self.key_requests.insert(ticket, reply);
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

    fn handle_input(&mut self, input: NodeInput) {
        match &input {
            NodeInput::CallerGone(request) => self.replies.remove(*request),
            NodeInput::Attempt { nonce, event } if ends_attempt(event) => {
                self.effects.attempt_ended(*nonce);
            }
            _ => {}
        }
        self.step(input);
    }

    fn step(&mut self, input: NodeInput) {
        self.input_queue.push_back(input);
        while let Some(input) = self.input_queue.pop_front() {
            let now = self.clock.now();
            for output in self.machine.handle(now, input) {
                self.execute(output);
            }
        }
    }

    fn execute(&mut self, output: NodeOutput) {
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
                if let Some(reply) = self.pending_questions.remove(&ticket) {
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
                    self.input_queue
                        .push_back(NodeInput::Forwarded { ticket, end });
                    return;
                }
                let request = CallerRequest {
                    timeout: Some(deadline.since(now)),
                    ..*request
                };
                self.effects.forward(ticket, &host, incarnation, request);
            }
            NodeOutput::KeyIssued { ticket, result } => {
                if let Some(reply) = self.key_requests.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            NodeOutput::Reply { request, part } => {
                if self.replies.deliver(request, part) == DeliveryOutcome::Disconnected {
                    self.input_queue.push_back(NodeInput::CallerGone(request));
                }
            }
            NodeOutput::Event(event) => self.observer.observe(self.clock.now(), &event),
            NodeOutput::Drained => self.effects.drained(),
        }
    }
}

const fn ends_attempt(event: &AttemptEvent) -> bool {
    !matches!(event, AttemptEvent::Token { .. })
}
