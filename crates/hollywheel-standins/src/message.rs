//! Bodies of calls and answers.

use serde::{Deserialize, Serialize};

use crate::load::LoadReport;

/// Body of a call to a backend server.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct RunCall {
    pub(crate) request: String,
    pub(crate) attempt: String,
    pub(crate) stage: String,
    pub(crate) work: String,
    #[serde(default)]
    pub(crate) workspace: String,
    #[serde(default)]
    pub(crate) input: String,
    #[serde(default)]
    pub(crate) previous: String,
    #[serde(default)]
    pub(crate) idempotency_key: Option<String>,
}

/// Body of a call to a model engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct GenerateCall {
    #[serde(flatten)]
    pub(crate) run: RunCall,
    pub(crate) model: String,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) priority: u8,
    #[serde(default)]
    pub(crate) start_index: u32,
    #[serde(default)]
    pub(crate) generated: String,
}

/// Body of a cancellation.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CancelCall {
    pub(crate) attempt: String,
}

/// Answer to an order or a cancellation.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct StateReply {
    pub(crate) state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) highest: Option<u64>,
}

/// Complete answer to a call.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunAnswer {
    pub(crate) request: String,
    pub(crate) attempt: String,
    pub(crate) stage: String,
    pub(crate) output: String,
    pub(crate) load: LoadReport,
}

/// Refusal of a call before any processing.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunRefusal {
    pub(crate) request: String,
    pub(crate) attempt: String,
    pub(crate) stage: String,
    pub(crate) reason: &'static str,
    pub(crate) retry_after_ms: u64,
    pub(crate) load: LoadReport,
}

/// A token line of a stream.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TokenLine<'a> {
    pub(crate) attempt: &'a str,
    pub(crate) index: u32,
    pub(crate) text: &'a str,
}

/// Last line of a complete stream.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EndLine<'a> {
    pub(crate) attempt: &'a str,
    pub(crate) request: &'a str,
    pub(crate) stage: &'a str,
    pub(crate) end: bool,
    pub(crate) tokens: u32,
    pub(crate) load: LoadReport,
}

/// A host in the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name.
    pub name: String,
    /// The address for other hosts.
    pub address: String,
    /// The failure domain.
    pub domain: String,
    /// The region.
    pub region: String,
    /// `entry` or `backend`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
