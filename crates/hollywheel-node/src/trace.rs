//! Recorded traces of a machine's inputs and outcomes.

use std::time::Duration;

use hollywheel_policy::{PolicySettings, RoutingPolicy};
use hollywheel_types::{
    AttemptNonce, DomainId, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, SortedMap,
};
use serde::{Deserialize, Serialize};

use crate::input::{CallTicket, NodeInput};
use crate::output::{NodeOutput, ReplyPart};
use crate::settings::NodeSettings;

/// Holds the settings that a replay needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceSettings {
    /// The host.
    pub host: HostId,
    /// The failure domain.
    pub domain: DomainId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The seed of random choices.
    pub seed: u64,
    /// The name of the way to choose a backend server.
    pub routing: String,
    /// The shortest time between two writes of claims, in microseconds.
    pub claim_linger_us: u64,
    /// The most claims written together.
    pub claim_batch: usize,
    /// The time allowed for one call of the table service, in microseconds.
    pub store_timeout_us: u64,
    /// The largest number of requests in progress.
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

    /// Returns the settings of the machine. A way to choose a server that is not known becomes
    /// the default.
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

/// States how a request ends for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum TraceOutcome {
    /// With the complete answer.
    Complete {
        /// The answer.
        output: String,
        /// Whether it comes from an earlier request with the same key.
        replayed: bool,
    },
    /// With a refusal.
    Refused {
        /// Whether the request may have run.
        verdict: ExecutionVerdict,
        /// The name of the reason.
        reason: String,
    },
    /// Without a final part: the caller left or the trace ends before.
    None,
}

impl TraceOutcome {
    /// Returns the outcome that a final part is; none for a token.
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

/// Holds one line of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "line")]
pub enum TraceLine {
    /// The settings; the first line.
    Settings(TraceSettings),
    /// An input.
    Input {
        /// Microseconds since the start of the process.
        at: MonoTime,
        /// The input.
        input: NodeInput,
    },
    /// Names an attempt, so that a replay finds its own in its place.
    Sent {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from zero, among those of the request.
        number: u32,
        /// The nonce in the trace.
        nonce: AttemptNonce,
    },
    /// Names a call of the table service or a question to a host, in the same way.
    Called {
        /// The number of the call, from zero.
        number: u64,
        /// The ticket in the trace.
        ticket: CallTicket,
    },
    /// States the outcome of a request.
    Expect {
        /// The request.
        request: RequestId,
        /// The outcome.
        #[serde(flatten)]
        outcome: TraceOutcome,
    },
}

/// Records the inputs of a machine and the outcomes of its requests.
#[derive(Clone, Debug)]
pub struct TraceRecorder {
    lines: Vec<TraceLine>,
    attempts: SortedMap<RequestId, u32>,
    outcomes: SortedMap<RequestId, TraceOutcome>,
    calls: u64,
}

impl TraceRecorder {
    /// Begins a trace.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            lines: vec![TraceLine::Settings(TraceSettings::of(settings))],
            attempts: SortedMap::new(),
            outcomes: SortedMap::new(),
            calls: 0,
        }
    }

    /// Records an input that the machine is about to take.
    pub fn input(&mut self, at: MonoTime, input: &NodeInput) {
        if let NodeInput::Request(request) = input {
            self.outcomes.insert(request.request, TraceOutcome::None);
        }
        let input = input.clone();
        self.lines.push(TraceLine::Input { at, input });
    }

    /// Records what the machine decided by the input before.
    pub fn outputs(&mut self, outputs: &[NodeOutput]) {
        for output in outputs {
            match output {
                NodeOutput::Dispatch(call) => self.sent(call.request, call.nonce),
                NodeOutput::Store { ticket, .. } | NodeOutput::AskHost { ticket, .. } => {
                    self.called(*ticket);
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

    fn sent(&mut self, request: RequestId, nonce: AttemptNonce) {
        let next = self.attempts.get_or_insert_with(request, || 0);
        let number = *next;
        *next += 1;
        self.lines.push(TraceLine::Sent {
            request,
            number,
            nonce,
        });
    }

    fn called(&mut self, ticket: CallTicket) {
        let number = self.calls;
        self.calls += 1;
        self.lines.push(TraceLine::Called { number, ticket });
    }

    /// Ends the trace with the outcome of every request.
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
