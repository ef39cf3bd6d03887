//! JSON bodies of the calls to backend servers and of their responses.

use hollywheel_config::StageKind;
use hollywheel_node::{AnswerEcho, AttemptCall};
use hollywheel_policy::ServerReport;
use hollywheel_types::{
    AttemptNonce, IdempotencyKey, Incarnation, ModelId, MonoTime, RequestClass, RequestId,
    ServerId, StageId, TokenCount, TokenIndex, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// Maximum number of prompt prefixes used from one report.
const MAX_PREFIXES: usize = 4096;
/// Maximum number of models used from one report.
const MAX_MODELS: usize = 256;

/// JSON body of `POST /v1/run` and `POST /v1/generate`.
#[derive(Debug, Serialize)]
pub(super) struct RunBody<'a> {
    request: RequestId,
    attempt: AttemptNonce,
    stage: &'a StageId,
    work: StageKind,
    workspace: &'a WorkspaceId,
    class: RequestClass,
    deadline_ms: u64,
    input: &'a str,
    previous: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotency_key: Option<&'a IdempotencyKey>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    generation: Option<GenerateBody<'a>>,
}

/// Additional fields of the body of `POST /v1/generate`.
#[derive(Debug, Serialize)]
struct GenerateBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a ModelId>,
    max_tokens: TokenCount,
    priority: usize,
    start_index: TokenIndex,
    generated: &'a str,
}

impl<'a> RunBody<'a> {
    /// Builds the body of an attempt that is sent at the time `now`.
    pub(super) fn of(call: &'a AttemptCall, now: MonoTime) -> Self {
        let time_left = call.deadline.since(now).as_millis();
        let is_generate = call.work == StageKind::Generate;
        Self {
            request: call.request,
            attempt: call.nonce,
            stage: &call.stage,
            work: call.work,
            workspace: &call.workspace,
            class: call.class,
            deadline_ms: u64::try_from(time_left).unwrap_or(u64::MAX),
            input: &call.input,
            previous: &call.previous,
            idempotency_key: call.idempotency_key.as_ref(),
            generation: is_generate.then(|| GenerateBody {
                model: call.model.as_ref(),
                max_tokens: call.max_tokens,
                priority: call.class.index(),
                start_index: call.start_index,
                generated: &call.generated,
            }),
        }
    }
}

/// JSON body of the response of a stage that does not stream.
#[derive(Debug, Deserialize)]
pub(super) struct RunAnswer {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNonce,
    pub(super) stage: StageId,
    pub(super) output: String,
    #[serde(default)]
    pub(super) load: Option<LoadBody>,
}

/// JSON body of a refusal before any processing.
#[derive(Debug, Deserialize)]
pub(super) struct RefusalBody {
    pub(super) attempt: AttemptNonce,
    #[serde(default)]
    pub(super) retry_after_ms: u64,
    #[serde(default)]
    pub(super) load: Option<LoadBody>,
}

/// JSON line of a token stream: a token, or the end of the stream if `end` is set.
#[derive(Debug, Deserialize)]
pub(super) struct StreamLine {
    pub(super) attempt: AttemptNonce,
    #[serde(default)]
    pub(super) index: Option<TokenIndex>,
    #[serde(default)]
    pub(super) text: Option<String>,
    #[serde(default)]
    pub(super) end: bool,
    #[serde(default)]
    pub(super) request: Option<RequestId>,
    #[serde(default)]
    pub(super) stage: Option<StageId>,
    #[serde(default)]
    pub(super) tokens: TokenCount,
    #[serde(default)]
    pub(super) load: Option<LoadBody>,
}

impl StreamLine {
    /// Returns the identifiers echoed by an end line, or `None` if one is missing.
    pub(super) fn echo(&self) -> Option<AnswerEcho> {
        Some(AnswerEcho {
            request: self.request?,
            stage: self.stage.clone()?,
            nonce: self.attempt,
        })
    }
}

/// JSON body of `POST /v1/cancel`.
#[derive(Debug, Serialize)]
pub(super) struct CancelBody {
    pub(super) attempt: AttemptNonce,
}

/// JSON load report of a backend server.
#[derive(Debug, Deserialize)]
pub(super) struct LoadBody {
    server: ServerId,
    #[serde(default)]
    incarnation: Incarnation,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    models: Vec<ModelId>,
    #[serde(default)]
    prefixes: Vec<String>,
}

impl LoadBody {
    /// Converts to a report with a limited number of models and prefixes. Prefixes that are not
    /// hexadecimal numbers are dropped.
    pub(super) fn into_report(mut self) -> ServerReport {
        self.models.truncate(MAX_MODELS);
        let prefixes = self
            .prefixes
            .iter()
            .take(MAX_PREFIXES)
            .filter_map(|text| u64::from_str_radix(text, 16).ok())
            .collect();
        ServerReport {
            server: self.server,
            incarnation: self.incarnation,
            running: self.running,
            queued: self.queued,
            slots: self.slots,
            leaving: self.leaving,
            models: self.models,
            prefixes,
        }
    }
}
