//! Reading of calls to pipelines.

use std::time::Duration;

use hollywheel_types::{IdempotencyKey, PipelineId, TokenCount};
use http::HeaderMap;
use serde::Deserialize;

use super::auth::bearer_key;
use super::problem::CallFault;
use super::trace_parent::TraceParent;

/// Bounds the time that a caller may allow.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(3600);

/// Holds the body of `POST /v1/pipelines/NAME`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RunBody {
    /// The input of the first stage.
    pub input: String,
    /// The most tokens wanted.
    #[serde(default)]
    pub max_tokens: Option<TokenCount>,
    /// Whether tokens are delivered one by one.
    #[serde(default)]
    pub stream: bool,
}

/// Holds what the path and the headers of a call say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The caller's key.
    pub key: String,
    /// The key of a non-idempotent request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The time that the caller allows.
    pub timeout: Option<Duration>,
    /// The trace that the caller belongs to.
    pub trace: Option<TraceParent>,
}

/// Reads the pipeline's name and the headers.
///
/// # Errors
///
/// Returns the first fault, that of the key before all others.
pub fn parse_head(name: &str, headers: &HeaderMap) -> Result<CallHead, CallFault> {
    let key = parse_key(headers)?;
    let pipeline = name.parse().map_err(|_| CallFault::NoPath)?;
    Ok(CallHead {
        pipeline,
        key,
        idempotency_key: idempotency_key(headers)?,
        timeout: timeout(headers)?,
        trace: text_of(headers, "traceparent")
            .ok()
            .flatten()
            .and_then(|text| text.parse().ok()),
    })
}

/// Reads the caller's key.
///
/// # Errors
///
/// Returns [`CallFault::NoKey`] if there is none, or the fault of the header.
pub fn parse_key(headers: &HeaderMap) -> Result<String, CallFault> {
    let key = text_of(headers, "authorization")?
        .and_then(bearer_key)
        .ok_or(CallFault::NoKey)?;
    Ok(key.to_owned())
}

fn text_of<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallFault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bad = CallFault::BadHeader {
        name,
        expected: "one value of printable ASCII",
    };
    if values.next().is_some() {
        return Err(bad);
    }
    value.to_str().map(Some).map_err(|_| bad)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, CallFault> {
    let name = "idempotency-key";
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    // The draft of the header quotes the key; both forms are taken.
    let key = text.trim_matches('"').parse();
    key.map(Some).map_err(|_| CallFault::BadHeader {
        name,
        expected: "1 to 128 letters, digits, '-', '_', '.' or ':'",
    })
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, CallFault> {
    let name = "hollywheel-timeout-ms";
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    let span = text.parse().ok().map(Duration::from_millis);
    span.filter(|span| !span.is_zero() && *span <= LONGEST_TIMEOUT)
        .map(Some)
        .ok_or(CallFault::BadHeader {
            name,
            expected: "a whole number of milliseconds from 1 to 3600000",
        })
}

/// Reads the body of a call.
///
/// # Errors
///
/// Returns [`CallFault::BadBody`] with the field at fault.
pub fn parse_body(body: &[u8]) -> Result<RunBody, CallFault> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string();
        let message = error.into_inner().to_string();
        let message = match field.as_str() {
            "." | "?" => message,
            _ => format!("field `{field}`: {message}"),
        };
        CallFault::BadBody { message }
    })?;
    reader.end().map_err(|error| CallFault::BadBody {
        message: error.to_string(),
    })?;
    Ok(parsed)
}
