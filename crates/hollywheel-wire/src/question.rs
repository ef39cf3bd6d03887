//! Conversion of questions to other hosts and their answers.

use std::sync::Arc;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::{ChangeBatch, SetDigest};
use hollywheel_types::ConfigVersion;
use prost::Message;
use serde_json::{from_slice, to_vec};

use crate::claim;
use crate::error::WireError;
use crate::fields::{check_entries, check_size, required};
use crate::forward::{self, ForwardAnswer, ForwardedRequest};
use crate::generated as wire;

/// Maximum size of a question in bytes, except for one that forwards a request.
pub const MAX_QUESTION_BYTES: usize = 4096;

/// Maximum size of a question that forwards a request in bytes: a request body of 1 MiB plus the
/// other fields.
pub const MAX_FORWARD_BYTES: usize = 1024 * 1024 + MAX_QUESTION_BYTES;

/// The first byte of a question that forwards a request: the Protobuf tag of field 3,
/// length-delimited.
const FORWARD_TAG: u8 = 0x1a;

/// Maximum number of changes per batch.
const MAX_CHANGES: usize = 1024;

/// A question to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostQuestion {
    /// Asks for the state of a claim.
    Claim(ClaimQuestion),
    /// Asks for the configuration changes that follow a version.
    Changes(ConfigVersion),
    /// Forwards a request to the host that issued its idempotency key.
    Forward(ForwardedRequest),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAnswer {
    /// The state of a claim.
    Claim(ClaimAnswer),
    /// The configuration changes.
    Changes(ChangeBatch),
    /// The outcome of a forwarded request.
    Forward(ForwardAnswer),
    /// The host could not answer the question.
    None,
}

/// Encodes a question.
pub fn encode_question(question: &HostQuestion) -> Vec<u8> {
    use wire::host_question::Question;
    let question = match question {
        HostQuestion::Claim(question) => Question::Claim(claim::encode_claim_question(question)),
        HostQuestion::Changes(have) => Question::Changes(wire::ChangeQuestion { have: have.0 }),
        HostQuestion::Forward(request) => {
            Question::Forward(forward::encode_forward_question(request))
        }
    };
    wire::HostQuestion {
        question: Some(question),
    }
    .encode_to_vec()
}

/// Decodes a question.
///
/// # Errors
///
/// Returns an error if the message is too large or malformed; it names the faulty field.
pub fn decode_question(bytes: &[u8]) -> Result<HostQuestion, WireError> {
    use wire::host_question::Question;
    let limit = match bytes.first() {
        Some(&FORWARD_TAG) => MAX_FORWARD_BYTES,
        _ => MAX_QUESTION_BYTES,
    };
    check_size("question", bytes, limit)?;
    let message = wire::HostQuestion::decode(bytes).map_err(|e| malformed("question", &e))?;
    Ok(match required("question", message.question)? {
        Question::Claim(question) => HostQuestion::Claim(claim::decode_claim_question(&question)?),
        Question::Changes(question) => HostQuestion::Changes(ConfigVersion(question.have)),
        Question::Forward(question) => {
            HostQuestion::Forward(forward::decode_forward_question(question)?)
        }
    })
}

/// Encodes an answer.
pub fn encode_answer(answer: &HostAnswer) -> Vec<u8> {
    use wire::host_answer::Answer;
    let answer = match answer {
        HostAnswer::Claim(answer) => Some(Answer::Claim(claim::encode_claim_answer(answer))),
        HostAnswer::Changes(batch) => Some(Answer::Changes(encode_batch(batch))),
        HostAnswer::Forward(answer) => {
            Some(Answer::Forward(forward::encode_forward_answer(answer)))
        }
        HostAnswer::None => None,
    };
    wire::HostAnswer { answer }.encode_to_vec()
}

/// Decodes an answer of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the message is too large or malformed; it names the faulty field.
pub fn decode_answer(bytes: &[u8], limit: usize) -> Result<HostAnswer, WireError> {
    use wire::host_answer::Answer;
    check_size("answer", bytes, limit)?;
    let message = wire::HostAnswer::decode(bytes).map_err(|e| malformed("answer", &e))?;
    Ok(match message.answer {
        Some(Answer::Claim(answer)) => HostAnswer::Claim(claim::decode_claim_answer(answer)?),
        Some(Answer::Changes(batch)) => HostAnswer::Changes(decode_batch(batch)?),
        Some(Answer::Forward(answer)) => {
            HostAnswer::Forward(forward::decode_forward_answer(answer)?)
        }
        None => HostAnswer::None,
    })
}

fn encode_batch(batch: &ChangeBatch) -> wire::ChangeBatch {
    let json = "configuration objects always serialize";
    wire::ChangeBatch {
        snapshot: batch
            .snapshot
            .as_ref()
            .map(|set| to_vec(set).expect(json))
            .unwrap_or_default(),
        changes: batch
            .changes
            .iter()
            .map(|change| to_vec(change).expect(json))
            .collect(),
        digest: batch.digest.to_string(),
    }
}

fn decode_batch(batch: wire::ChangeBatch) -> Result<ChangeBatch, WireError> {
    check_entries("changes", &batch.changes, MAX_CHANGES)?;
    let snapshot = if batch.snapshot.is_empty() {
        None
    } else {
        let set = from_slice(&batch.snapshot).map_err(|e| malformed("snapshot", &e))?;
        Some(Arc::new(set))
    };
    let changes: Result<_, _> = batch
        .changes
        .iter()
        .map(|change| from_slice(change).map_err(|e| malformed("change", &e)))
        .collect();
    Ok(ChangeBatch {
        snapshot,
        changes: changes?,
        digest: SetDigest(batch.digest),
    })
}

fn malformed(message: &'static str, error: &impl ToString) -> WireError {
    WireError::Malformed {
        message,
        detail: error.to_string(),
    }
}
