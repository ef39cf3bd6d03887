//! Replay of recorded traces, compared with the recorded outcomes.

use std::fmt;

use hollywheel_node::{
    AnswerEcho, AttemptEvent, CallTicket, NodeInput, NodeMachine, NodeOutput, TraceLine,
    TraceOutcome,
};
use hollywheel_types::{AttemptNonce, MonoTime, RequestId, SortedMap};

/// Reason why a trace cannot be replayed, or difference between replay and trace.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplayError {
    /// A line is invalid.
    BadLine {
        /// The number of the line, starting at one.
        line: usize,
        /// The error of the parser.
        message: String,
    },
    /// The trace does not begin with its settings.
    NoSettings,
    /// A request has another outcome than the recorded one.
    Differs {
        /// The number of the line with the recorded outcome, starting at one.
        line: usize,
        /// The request.
        request: RequestId,
        /// The recorded outcome.
        expected: Box<TraceOutcome>,
        /// The outcome of the replay.
        actual: Box<TraceOutcome>,
    },
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadLine { line, message } => write!(f, "line {line}: {message}"),
            Self::NoSettings => f.write_str("line 1: expected the settings of the host"),
            Self::Differs {
                line,
                request,
                expected,
                actual,
            } => write!(
                f,
                "line {line}: request {request}: expected {expected:?}, but the replay gives {actual:?}"
            ),
        }
    }
}

impl std::error::Error for ReplayError {}

/// Summary of a replay without differences.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplaySummary {
    /// The number of inputs.
    pub inputs: usize,
    /// The number of compared outcomes.
    pub outcomes: usize,
}

/// Parses the lines of a trace.
///
/// # Errors
///
/// Returns the first invalid line.
pub fn read_trace(text: &str) -> Result<Vec<TraceLine>, ReplayError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(at, line)| {
            serde_json::from_str(line).map_err(|error| ReplayError::BadLine {
                line: at + 1,
                message: error.to_string(),
            })
        })
        .collect()
}

/// Formats the lines of a trace.
pub fn write_trace(lines: &[TraceLine]) -> String {
    let mut text = String::new();
    for line in lines {
        text.push_str(&serde_json::to_string(line).unwrap_or_default());
        text.push('\n');
    }
    text
}

/// Replays a trace on a new state machine.
///
/// # Errors
///
/// Returns the first request with another outcome than the recorded one, or an error if the trace
/// does not begin with its settings.
pub fn replay_trace(lines: &[TraceLine]) -> Result<ReplaySummary, ReplayError> {
    let Some(TraceLine::Settings(settings)) = lines.first() else {
        return Err(ReplayError::NoSettings);
    };
    let mut player = TracePlayer::new(NodeMachine::new(settings.node_settings()));
    let mut summary = ReplaySummary::default();
    for (at, line) in lines.iter().enumerate() {
        match line {
            TraceLine::Settings(_) => {}
            TraceLine::Input { at, input } => {
                summary.inputs += 1;
                player.input(*at, input.clone());
            }
            TraceLine::Sent {
                request,
                number,
                nonce,
            } => player.name_attempt(*request, *number, *nonce),
            TraceLine::Called { number, ticket } => player.name_call(*number, *ticket),
            TraceLine::Expect { request, outcome } => {
                summary.outcomes += 1;
                player.expect(at + 1, *request, outcome)?;
            }
        }
    }
    Ok(summary)
}

/// Passes the inputs of a trace to a state machine, with the recorded nonces and tickets replaced by
/// its own.
struct TracePlayer {
    machine: NodeMachine,
    attempts: SortedMap<RequestId, Vec<AttemptNonce>>,
    calls: Vec<CallTicket>,
    nonces: SortedMap<AttemptNonce, AttemptNonce>,
    tickets: SortedMap<CallTicket, CallTicket>,
    outcomes: SortedMap<RequestId, TraceOutcome>,
}

impl TracePlayer {
    const fn new(machine: NodeMachine) -> Self {
        Self {
            machine,
            attempts: SortedMap::new(),
            calls: Vec::new(),
            nonces: SortedMap::new(),
            tickets: SortedMap::new(),
            outcomes: SortedMap::new(),
        }
    }

    fn name_attempt(&mut self, request: RequestId, number: u32, nonce: AttemptNonce) {
        let at = usize::try_from(number).unwrap_or(usize::MAX);
        let own = self.attempts.get(&request).and_then(|own| own.get(at));
        if let Some(own) = own.copied() {
            self.nonces.insert(nonce, own);
        }
    }

    fn name_call(&mut self, number: u64, ticket: CallTicket) {
        let at = usize::try_from(number).unwrap_or(usize::MAX);
        if let Some(own) = self.calls.get(at).copied() {
            self.tickets.insert(ticket, own);
        }
    }

    fn input(&mut self, now: MonoTime, mut input: NodeInput) {
        match &mut input {
            NodeInput::Attempt { nonce, event } => {
                self.rename(nonce);
                self.rename_event(event);
            }
            NodeInput::Store { ticket, .. } | NodeInput::HostAnswers { ticket, .. } => {
                if let Some(own) = self.tickets.get(ticket) {
                    *ticket = *own;
                }
            }
            _ => {}
        }
        for output in self.machine.handle(now, input) {
            self.note(output);
        }
    }

    fn rename(&self, nonce: &mut AttemptNonce) {
        if let Some(own) = self.nonces.get(nonce) {
            *nonce = *own;
        }
    }

    fn rename_event(&self, event: &mut AttemptEvent) {
        match event {
            AttemptEvent::Answer { echo, .. } | AttemptEvent::StreamEnd { echo, .. } => {
                let AnswerEcho { nonce, .. } = echo;
                self.rename(nonce);
            }
            AttemptEvent::Token { nonce, .. } => self.rename(nonce),
            AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {}
        }
    }

    fn note(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Dispatch(call) => self
                .attempts
                .get_or_insert_with(call.request, Vec::new)
                .push(call.nonce),
            NodeOutput::Store { ticket, .. } | NodeOutput::AskHost { ticket, .. } => {
                self.calls.push(ticket);
            }
            NodeOutput::Reply { request, part } => {
                if let Some(outcome) = TraceOutcome::of(&part) {
                    self.outcomes.insert(request, outcome);
                }
            }
            _ => {}
        }
    }

    fn expect(
        &self,
        line: usize,
        request: RequestId,
        expected: &TraceOutcome,
    ) -> Result<(), ReplayError> {
        let actual = self.outcomes.get(&request);
        let actual = actual.cloned().unwrap_or(TraceOutcome::None);
        if actual == *expected {
            return Ok(());
        }
        Err(ReplayError::Differs {
            line,
            request,
            expected: Box::new(expected.clone()),
            actual: Box::new(actual),
        })
    }
}
