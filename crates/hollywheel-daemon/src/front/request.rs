//! Parsing of pipeline calls.

use std::time::Duration;

use hollywheel_types::{IdempotencyKey, PipelineId, TokenCount};
use http::HeaderMap;
use serde::Deserialize;

use super::auth::bearer_key;
use super::problem::CallFault;
use super::trace_parent::TraceParent;

/// Maximum time-out that a caller may set.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(3600);

/// JSON body of `POST /v1/pipelines/NAME`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RunBody {
    /// Input of the first stage.
    pub input: String,
    /// Token limit set by the caller.
    #[serde(default)]
    pub max_tokens: Option<TokenCount>,
    /// Whether tokens are streamed one by one.
    #[serde(default)]
    pub stream: bool,
}

/// Parameters in the path and the headers of a pipeline call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Requested pipeline.
    pub pipeline: PipelineId,
    /// API key of the caller.
    pub key: String,
    /// Idempotency key; required if the pipeline has a non-idempotent stage.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time-out set by the caller.
    pub timeout: Option<Duration>,
    /// Trace context of the caller, if the header is present and valid.
    pub trace: Option<TraceParent>,
}

/// Parses the pipeline name and the headers of a call.
///
/// # Errors
///
/// Returns the first fault found; the API key is checked before everything else.
pub fn parse_head(name: &str, headers: &HeaderMap) -> Result<CallHead, CallFault> {
    let key = parse_key(headers)?;
    let pipeline = name.parse().map_err(|_| CallFault::NoPath)?;
    Ok(CallHead {
        pipeline,
        key,
        idempotency_key: idempotency_key(headers)?,
        timeout: timeout(headers)?,
        trace: header_text(headers, "traceparent")
            .ok()
            .flatten()
            .and_then(|text| text.parse().ok()),
    })
}

/// Parses the API key of the caller.
///
/// # Errors
///
/// Returns [`CallFault::NoKey`] if there is none, or [`CallFault::BadHeader`] if the header is not
/// valid.
pub fn parse_key(headers: &HeaderMap) -> Result<String, CallFault> {
    let key = header_text(headers, "authorization")?
        .and_then(bearer_key)
        .ok_or(CallFault::NoKey)?;
    Ok(key.to_owned())
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, CallFault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let invalid = CallFault::BadHeader {
        name,
        expected: "one value of printable ASCII",
    };
    if values.next().is_some() {
        return Err(invalid);
    }
    value.to_str().map(Some).map_err(|_| invalid)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, CallFault> {
    let name = "idempotency-key";
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    // The IETF draft of this header puts the key in quotes; both forms are accepted.
    let key = text.trim_matches('"').parse();
    key.map(Some).map_err(|_| CallFault::BadHeader {
        name,
        expected: "1 to 128 letters, digits, '-', '_', '.' or ':'",
    })
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, CallFault> {
    let name = "hollywheel-timeout-ms";
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let span = text.parse().ok().map(Duration::from_millis);
    span.filter(|span| !span.is_zero() && *span <= MAX_CALLER_TIMEOUT)
        .map(Some)
        .ok_or(CallFault::BadHeader {
            name,
            expected: "a whole number of milliseconds from 1 to 3600000",
        })
}

/// Parses the JSON body of a call.
///
/// # Errors
///
/// Returns [`CallFault::BadBody`] with the field that is not valid.
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
