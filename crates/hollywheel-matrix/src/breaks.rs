//! Deliberate faults in the wrapper of the state machines, which show that the checks find them.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::ClaimAnswer;
use hollywheel_config::{PublishedSet, StageKind};
use hollywheel_node::{
    AttemptCall, AttemptEvent, CallTicket, CallerRequest, ForwardEnd, NodeInput, NodeOutput,
    ReplyPart,
};
use hollywheel_store::{RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest};
use hollywheel_types::{
    AttemptNonce, ConfigVersion, ExecutionVerdict, MonoTime, RequestClass, RequestId, TokenCount,
    TokenIndex,
};

use crate::cell::CellError;
use crate::fixture;

/// Row revision in a forged answer.
const FORGED_REVISION: u64 = 1;

/// Attempt and server of a forged call.
const FOREIGN_NONCE: u128 = 0xf0;
const FOREIGN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9021);

/// Delay of a refusal that is held back.
const HOLD: Duration = Duration::from_millis(1500);

/// Retry time in a forged refusal of the table service.
const REFUSED_RETRY: Duration = Duration::from_millis(50);

macro_rules! named_breaks {
    ($($(#[$doc:meta])* $variant:ident = $text:literal,)*) => {
        /// A deliberate fault.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum DeliberateBreak {
            $($(#[$doc])* $variant,)*
        }

        impl DeliberateBreak {
            /// All deliberate faults.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name on the command line and in reports.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

named_breaks! {
    /// Sends a non-idempotent call twice.
    SendTwice = "send-twice",
    /// Confirms claims without writing them.
    SkipClaim = "skip-claim",
    /// Takes over rows without a condition on their revision.
    BlindTakeover = "blind-takeover",
    /// Reports to other hosts that running requests were never sent.
    ForgeReleased = "forge-released",
    /// Treats a broken connection as one that was never opened.
    BrokenAsNotSent = "broken-as-not-sent",
    /// Treats a lost answer of the table service as a refusal.
    LostAsRefused = "lost-as-refused",
    /// Sends a call for a request that is forwarded to the issuer of its key.
    SendForeignKey = "send-foreign-key",
    /// Treats an answered call as one that was never sent.
    ForgetDispatch = "forget-dispatch",
    /// Treats a request that may have been forwarded as one that was not.
    LostForwardAsNotSent = "lost-forward-as-not-sent",
    /// Sets the verdict `not-run` in every refusal.
    ForgeNotRun = "forge-not-run",
    /// Swaps the replies of two requests.
    CrossReplies = "cross-replies",
    /// Accepts answers with the id of another attempt.
    TrustEcho = "trust-echo",
    /// Truncates complete answers.
    CutOutput = "cut-output",
    /// Drops a token.
    DropToken = "drop-token",
    /// Drops final parts.
    DropFinal = "drop-final",
    /// Sends final parts twice.
    DoubleFinal = "double-final",
    /// Delays refusals.
    HoldRefusal = "hold-refusal",
    /// Confirms results without writing them.
    DropResult = "drop-result",
    /// Drops all timers.
    DropTick = "drop-tick",
    /// Drops the notifications that a server is leaving.
    IgnoreLeaving = "ignore-leaving",
    /// Never reports that a shutdown is complete.
    DropDrained = "drop-drained",
    /// Completes shutdowns without waiting for requests.
    DrainAtOnce = "drain-at-once",
    /// Drops new configurations.
    DropConfig = "drop-config",
    /// Installs an old configuration after a new one.
    RevertConfig = "revert-config",
}

impl fmt::Display for DeliberateBreak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for DeliberateBreak {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let found = Self::ALL.iter().copied().find(|one| one.name() == text);
        found.ok_or_else(|| CellError {
            kind: "deliberate break",
            given: text.to_owned(),
            expected: Self::ALL.iter().map(|one| one.name()).collect(),
        })
    }
}

/// Effect of a deliberate fault on an output.
#[derive(Debug, Default)]
pub struct AlteredOutput {
    /// The outputs to execute now.
    pub outputs: Vec<NodeOutput>,
    /// The outputs to execute after a delay.
    pub later: Vec<(Duration, NodeOutput)>,
    /// The inputs to pass to the state machine.
    pub inputs: Vec<NodeInput>,
}

impl AlteredOutput {
    fn now(outputs: Vec<NodeOutput>) -> Self {
        Self {
            outputs,
            ..Self::default()
        }
    }
}

/// Modifies an input.
pub fn alter_input(broken: DeliberateBreak, mut input: NodeInput) -> Vec<NodeInput> {
    match (broken, &mut input) {
        (DeliberateBreak::TrustEcho, NodeInput::Attempt { nonce, event }) => {
            trust(*nonce, event);
        }
        (DeliberateBreak::BrokenAsNotSent, NodeInput::Attempt { event, .. })
            if *event == AttemptEvent::Broken =>
        {
            *event = AttemptEvent::NotSent;
        }
        (DeliberateBreak::ForgetDispatch, NodeInput::Attempt { event, .. })
            if matches!(event, AttemptEvent::Answer { .. }) =>
        {
            *event = AttemptEvent::NotSent;
        }
        (DeliberateBreak::LostForwardAsNotSent, NodeInput::Forwarded { end, .. })
            if *end == ForwardEnd::Lost =>
        {
            *end = ForwardEnd::NotSent;
        }
        (DeliberateBreak::LostAsRefused, NodeInput::Store { result, .. })
            if *result == Err(StoreFailure::Unknown) =>
        {
            let retry_after = REFUSED_RETRY;
            *result = Err(StoreFailure::Refused { retry_after });
        }
        (DeliberateBreak::DropTick, NodeInput::Tick)
        | (DeliberateBreak::IgnoreLeaving, NodeInput::ServerLeaving(_)) => return Vec::new(),
        (DeliberateBreak::DrainAtOnce, NodeInput::Drain(span)) => *span = Duration::ZERO,
        (DeliberateBreak::DropConfig, NodeInput::Config(set)) if set.version.0 > 1 => {
            return Vec::new();
        }
        (DeliberateBreak::RevertConfig, NodeInput::Config(set)) if set.version.0 > 1 => {
            let reverted = PublishedSet {
                version: ConfigVersion(set.version.0 + 1),
                ..PublishedSet::clone(&fixture::first_version())
            };
            return vec![input, NodeInput::Config(Arc::new(reverted))];
        }
        _ => {}
    }
    vec![input]
}

fn trust(own: AttemptNonce, event: &mut AttemptEvent) {
    match event {
        AttemptEvent::Answer { echo, .. } | AttemptEvent::StreamEnd { echo, .. }
            if echo.nonce != own =>
        {
            echo.nonce = own;
            echo.request = RequestId(1);
        }
        AttemptEvent::Token { nonce, .. } => *nonce = own,
        _ => {}
    }
}

/// Modifies an output.
pub fn alter_output(broken: DeliberateBreak, output: NodeOutput) -> AlteredOutput {
    match (broken, output) {
        (DeliberateBreak::SendTwice, NodeOutput::Dispatch(call)) => send_twice(call),
        (DeliberateBreak::SkipClaim, NodeOutput::Store { ticket, request })
            if writes(&request, &["open"]) =>
        {
            forge_write(ticket, &request)
        }
        (DeliberateBreak::DropResult, NodeOutput::Store { ticket, request })
            if writes(&request, &["settled", "released"]) =>
        {
            forge_write(ticket, &request)
        }
        (
            DeliberateBreak::BlindTakeover,
            NodeOutput::Store {
                ticket,
                mut request,
            },
        ) => {
            forget_revisions(&mut request);
            AlteredOutput::now(vec![NodeOutput::Store { ticket, request }])
        }
        (DeliberateBreak::ForgeReleased, NodeOutput::AnswerHost { ticket, .. }) => {
            let answer = ClaimAnswer::Released;
            AlteredOutput::now(vec![NodeOutput::AnswerHost { ticket, answer }])
        }
        (DeliberateBreak::SendForeignKey, output @ NodeOutput::Forward { .. }) => {
            send_foreign(output)
        }
        (DeliberateBreak::DropDrained, NodeOutput::Drained) => AlteredOutput::default(),
        (_, NodeOutput::Reply { request, part }) => alter_reply(broken, request, part),
        (_, output) => AlteredOutput::now(vec![output]),
    }
}

fn send_foreign(forward: NodeOutput) -> AlteredOutput {
    let mut outputs = Vec::new();
    if let NodeOutput::Forward { request, .. } = &forward {
        outputs.push(NodeOutput::Dispatch(Box::new(foreign_call(request))));
    }
    outputs.push(forward);
    AlteredOutput::now(outputs)
}

/// Returns the call that a host must not send for a key that another host issued.
fn foreign_call(request: &CallerRequest) -> AttemptCall {
    AttemptCall {
        nonce: AttemptNonce(FOREIGN_NONCE),
        request: request.request,
        workspace: request.workspace.clone(),
        class: RequestClass::Transaction,
        server: "service-1".parse().expect("a valid name"),
        address: FOREIGN_ADDRESS,
        stage: "pay".parse().expect("a valid name"),
        work: StageKind::Call,
        deadline: MonoTime(u64::MAX),
        input: request.input.clone(),
        previous: String::new(),
        idempotency_key: request.idempotency_key.clone(),
        model: None,
        max_tokens: TokenCount(0),
        start_index: TokenIndex(0),
        generated: String::new(),
    }
}

fn forget_revisions(request: &mut StoreRequest) {
    let StoreRequest::Txn { ops, .. } = request else {
        return;
    };
    for op in ops {
        if let StoreOp::Put { if_revision, .. } = op {
            *if_revision = None;
        }
    }
}

fn send_twice(call: Box<AttemptCall>) -> AlteredOutput {
    let mut again = call.clone();
    again.nonce.0 ^= 1;
    let mut outputs = vec![NodeOutput::Dispatch(call)];
    if again.idempotency_key.is_some() {
        outputs.push(NodeOutput::Dispatch(again));
    }
    AlteredOutput::now(outputs)
}

fn writes(request: &StoreRequest, states: &[&str]) -> bool {
    let StoreRequest::Txn { ops, .. } = request else {
        return false;
    };
    ops.iter().any(|op| match op {
        StoreOp::Insert { value, .. } | StoreOp::Put { value, .. } => value["state"]
            .as_str()
            .is_some_and(|state| states.contains(&state)),
        StoreOp::Delete { .. } => false,
    })
}

fn forge_write(ticket: CallTicket, request: &StoreRequest) -> AlteredOutput {
    let rows = match request {
        StoreRequest::Txn { ops, .. } => ops.len(),
        _ => 0,
    };
    let revision = FORGED_REVISION;
    let outcomes = vec![RowOutcome::Applied { revision }; rows];
    let result = Ok(StoreReply::Txn { outcomes });
    AlteredOutput {
        inputs: vec![NodeInput::Store { ticket, result }],
        ..AlteredOutput::default()
    }
}

fn alter_reply(broken: DeliberateBreak, request: RequestId, mut part: ReplyPart) -> AlteredOutput {
    let reply = |request, part| NodeOutput::Reply { request, part };
    let is_final = !matches!(part, ReplyPart::Token { .. });
    match (broken, &mut part) {
        (DeliberateBreak::ForgeNotRun, ReplyPart::Refused(refusal)) => {
            refusal.verdict = ExecutionVerdict::NotRun;
        }
        (DeliberateBreak::CrossReplies, _) if request.0 < 3 => {
            let other = RequestId(3 - request.0);
            return AlteredOutput::now(vec![reply(other, part)]);
        }
        (DeliberateBreak::CutOutput, ReplyPart::Complete { output, .. }) => {
            output.pop();
        }
        (DeliberateBreak::DropToken, ReplyPart::Token { index, .. }) if index.0 == 2 => {
            return AlteredOutput::default();
        }
        (DeliberateBreak::DropFinal, _) if is_final => return AlteredOutput::default(),
        (DeliberateBreak::DoubleFinal, _) if is_final => {
            let again = part.clone();
            return AlteredOutput::now(vec![reply(request, part), reply(request, again)]);
        }
        (DeliberateBreak::HoldRefusal, ReplyPart::Refused(_)) => {
            return AlteredOutput {
                later: vec![(HOLD, reply(request, part))],
                ..AlteredOutput::default()
            };
        }
        _ => {}
    }
    AlteredOutput::now(vec![reply(request, part)])
}
