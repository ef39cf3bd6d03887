//! Questions to other hosts and their answers.

use std::sync::Arc;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::{ChangeBatch, SetDigest};
use hollywheel_types::ConfigVersion;
use prost::Message;
use serde_json::{from_slice, to_vec};

use crate::claim;
use crate::error::WireError;
use crate::fields::{bounded, bounded_bytes, present};
use crate::forward::{self, ForwardAnswer, ForwardedRequest};
use crate::generated as wire;

/// The most bytes of a question.
pub const MAX_QUESTION_BYTES: usize = 4096;

/// The most bytes of a question that hands a request over: the largest body of a request, and
/// what else belongs to it.
pub const MAX_FORWARD_BYTES: usize = 1024 * 1024 + MAX_QUESTION_BYTES;

/// The first byte of a question that hands a request over: field 3 with a length.
const FORWARD_TAG: u8 = 0x1a;

/// The most changes of a batch.
const MAX_CHANGES: usize = 1024;

/// Holds a question to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostQuestion {
    /// Asks what became of a claim.
    Claim(ClaimQuestion),
    /// Asks for the changes that follow a version.
    Changes(ConfigVersion),
    /// Hands a request to the host that issued its key.
    Forward(ForwardedRequest),
}

/// Holds the answer to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAnswer {
    /// Tells what became of a claim.
    Claim(ClaimAnswer),
    /// Holds the changes.
    Changes(ChangeBatch),
    /// Tells what became of a request that was handed over.
    Forward(ForwardAnswer),
    /// Tells that there is no answer.
    None,
}

/// Writes a question.
pub fn encode_question(question: &HostQuestion) -> Vec<u8> {
    use wire::host_question::Question;
    let question = match question {
        HostQuestion::Claim(question) => Question::Claim(claim::write_question(question)),
        HostQuestion::Changes(have) => Question::Changes(wire::ChangeQuestion { have: have.0 }),
        HostQuestion::Forward(request) => Question::Forward(forward::write_forward(request)),
    };
    wire::HostQuestion {
        question: Some(question),
    }
    .encode_to_vec()
}

/// Reads a question.
///
/// # Errors
///
/// Returns an error that names the field at fault.
pub fn decode_question(bytes: &[u8]) -> Result<HostQuestion, WireError> {
    use wire::host_question::Question;
    let limit = match bytes.first() {
        Some(&FORWARD_TAG) => MAX_FORWARD_BYTES,
        _ => MAX_QUESTION_BYTES,
    };
    bounded_bytes("question", bytes, limit)?;
    let message = wire::HostQuestion::decode(bytes).map_err(|e| malformed("question", &e))?;
    Ok(match present("question", message.question)? {
        Question::Claim(question) => HostQuestion::Claim(claim::read_question(&question)?),
        Question::Changes(question) => HostQuestion::Changes(ConfigVersion(question.have)),
        Question::Forward(question) => HostQuestion::Forward(forward::read_forward(question)?),
    })
}

/// Writes an answer.
pub fn encode_answer(answer: &HostAnswer) -> Vec<u8> {
    use wire::host_answer::Answer;
    let answer = match answer {
        HostAnswer::Claim(answer) => Some(Answer::Claim(claim::write_answer(answer))),
        HostAnswer::Changes(batch) => Some(Answer::Changes(write_batch(batch))),
        HostAnswer::Forward(answer) => Some(Answer::Forward(forward::write_forward_answer(answer))),
        HostAnswer::None => None,
    };
    wire::HostAnswer { answer }.encode_to_vec()
}

/// Reads an answer of at most so many bytes.
///
/// # Errors
///
/// Returns an error that names the field at fault.
pub fn decode_answer(bytes: &[u8], limit: usize) -> Result<HostAnswer, WireError> {
    use wire::host_answer::Answer;
    bounded_bytes("answer", bytes, limit)?;
    let message = wire::HostAnswer::decode(bytes).map_err(|e| malformed("answer", &e))?;
    Ok(match message.answer {
        Some(Answer::Claim(answer)) => HostAnswer::Claim(claim::read_answer(answer)?),
        Some(Answer::Changes(batch)) => HostAnswer::Changes(read_batch(batch)?),
        Some(Answer::Forward(answer)) => HostAnswer::Forward(forward::read_forward_answer(answer)?),
        None => HostAnswer::None,
    })
}

fn write_batch(batch: &ChangeBatch) -> wire::ChangeBatch {
    let json = "objects hold only writable fields";
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

fn read_batch(batch: wire::ChangeBatch) -> Result<ChangeBatch, WireError> {
    bounded("changes", &batch.changes, MAX_CHANGES)?;
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
