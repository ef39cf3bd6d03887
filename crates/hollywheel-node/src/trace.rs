//! Recording of the inputs of a [`NodeMachine`](crate::NodeMachine) and the outcomes of its
//! requests, for replay.

use std::time::Duration;

use hollywheel_policy::{PolicySettings, RoutingPolicy};
use hollywheel_types::{
    AttemptNonce, DomainId, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, SortedMap,
};
use serde::{Deserialize, Serialize};

use crate::input::{CallTicket, NodeInput};
use crate::output::{NodeOutput, ReplyPart};
use crate::settings::NodeSettings;

/// Settings that a replay needs to reproduce the recorded behaviour.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Name of the routing policy.
    pub routing: String,
    /// Minimum time between two writes of claims, in microseconds.
    pub claim_linger_us: u64,
    /// Maximum number of claims in one write.
    pub claim_batch: usize,
    /// Time-out of one call to the table service, in microseconds.
    pub store_timeout_us: u64,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
}

impl TraceSettings {
    fn of(settings: &NodeSettings) -> Self {
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            host: settings.policy.host.clone(),
            domain: settings.policy.domain.clone(),
            incarnation: settings.incarnation,
            seed: settings.policy.seed,
            routing: settings.policy.routing.name().to_owned(),
            claim_linger_us: micros(settings.claim_linger),
            claim_batch: settings.claim_batch,
            store_timeout_us: micros(settings.store_timeout),
            max_requests: settings.max_requests,
        }
    }

    /// Returns the settings for a replay. An unknown routing policy is replaced by the default
    /// one.
    pub fn node_settings(&self) -> NodeSettings {
        let routing: Option<RoutingPolicy> = self.routing.parse().ok();
        NodeSettings {
            policy: PolicySettings {
                host: self.host.clone(),
                domain: self.domain.clone(),
                seed: self.seed,
                routing: routing.unwrap_or_default(),
                ..PolicySettings::default()
            },
            incarnation: self.incarnation,
            claim_linger: Duration::from_micros(self.claim_linger_us),
            claim_batch: self.claim_batch,
            store_timeout: Duration::from_micros(self.store_timeout_us),
            max_requests: self.max_requests,
            ..NodeSettings::default()
        }
    }
}

/// Final outcome of a request as its caller sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum TraceOutcome {
    /// The caller got a complete answer.
    Complete {
        /// Output of the last stage.
        output: String,
        /// Whether the answer is that of an earlier request with the same key.
        replayed: bool,
    },
    /// The caller got a refusal.
    Refused {
        /// What is known of the execution.
        verdict: ExecutionVerdict,
        /// Name of the refusal reason.
        reason: String,
    },
    /// No final reply: the caller disconnected or the trace ended first.
    None,
}

impl TraceOutcome {
    /// Returns the outcome that a final reply part stands for, or `None` for a token.
    pub fn of(part: &ReplyPart) -> Option<Self> {
        match part {
            ReplyPart::Token { .. } => None,
            ReplyPart::Complete {
                output, replayed, ..
            } => Some(Self::Complete {
                output: output.clone(),
                replayed: *replayed,
            }),
            ReplyPart::Refused(refusal) => Some(Self::Refused {
                verdict: refusal.verdict,
                reason: refusal.reason.name().to_owned(),
            }),
        }
    }
}

/// One line of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "line")]
pub enum TraceLine {
    /// Settings of the host; always the first line.
    Settings(TraceSettings),
    /// Input of the state machine.
    Input {
        /// Time of the input, in microseconds since the start of the process.
        at: MonoTime,
        /// The input itself.
        input: NodeInput,
    },
    /// Maps an attempt to its nonce in the trace, so that a replay can substitute its own nonce.
    Sent {
        /// Identifier of the request.
        request: RequestId,
        /// Zero-based number of the attempt within the request.
        number: u32,
        /// Nonce of the attempt in the trace.
        nonce: AttemptNonce,
    },
    /// Maps a call of the table service or a question to another host to its ticket in the trace.
    Called {
        /// Zero-based number of the call.
        number: u64,
        /// Ticket of the call in the trace.
        ticket: CallTicket,
    },
    /// Expected outcome of a request.
    Expect {
        /// Identifier of the request.
        request: RequestId,
        /// Outcome that the replay must reproduce.
        #[serde(flatten)]
        outcome: TraceOutcome,
    },
}

/// Recorder of a trace.
#[derive(Clone, Debug)]
pub struct TraceRecorder {
    lines: Vec<TraceLine>,
    attempt_counts: SortedMap<RequestId, u32>,
    outcomes: SortedMap<RequestId, TraceOutcome>,
    call_count: u64,
}

impl TraceRecorder {
    /// Creates a trace that begins with the settings.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            lines: vec![TraceLine::Settings(TraceSettings::of(settings))],
            attempt_counts: SortedMap::new(),
            outcomes: SortedMap::new(),
            call_count: 0,
        }
    }

    /// Records an input before the state machine handles it.
    pub fn input(&mut self, at: MonoTime, input: &NodeInput) {
        if let NodeInput::Request(request) = input {
            self.outcomes.insert(request.request, TraceOutcome::None);
        }
        let input = input.clone();
        self.lines.push(TraceLine::Input { at, input });
    }

    /// Records the outputs of the input that was recorded last.
    pub fn outputs(&mut self, outputs: &[NodeOutput]) {
        for output in outputs {
            match output {
                NodeOutput::Dispatch(call) => self.record_sent(call.request, call.nonce),
                NodeOutput::Store { ticket, .. } | NodeOutput::AskHost { ticket, .. } => {
                    self.record_call(*ticket);
                }
                NodeOutput::Reply { request, part } => {
                    if let Some(outcome) = TraceOutcome::of(part) {
                        self.outcomes.insert(*request, outcome);
                    }
                }
                _ => {}
            }
        }
    }

    fn record_sent(&mut self, request: RequestId, nonce: AttemptNonce) {
        let next = self.attempt_counts.get_or_insert_with(request, || 0);
        let number = *next;
        *next += 1;
        self.lines.push(TraceLine::Sent {
            request,
            number,
            nonce,
        });
    }

    fn record_call(&mut self, ticket: CallTicket) {
        let number = self.call_count;
        self.call_count += 1;
        self.lines.push(TraceLine::Called { number, ticket });
    }

    /// Appends the expected outcome of every request and returns the lines of the trace.
    pub fn finish(mut self) -> Vec<TraceLine> {
        let expected = self.outcomes.iter().map(|(request, outcome)| {
            let request = *request;
            let outcome = outcome.clone();
            TraceLine::Expect { request, outcome }
        });
        self.lines.extend(expected);
        self.lines
    }
}
