//! Conversion of questions about claims and their answers.

use hollywheel_claims::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
use hollywheel_types::{AttemptNonce, BodyDigest, ExecutionVerdict};

use crate::error::WireError;
use crate::fields::parse_name;
use crate::generated as wire;

pub(crate) fn encode_claim_question(question: &ClaimQuestion) -> wire::ClaimQuestion {
    wire::ClaimQuestion {
        workspace: question.key.workspace.to_string(),
        key: question.key.key.to_string(),
        nonce: question.nonce.0.to_be_bytes().to_vec(),
        digest: question.digest.0,
    }
}

pub(crate) fn decode_claim_question(
    question: &wire::ClaimQuestion,
) -> Result<ClaimQuestion, WireError> {
    let nonce: [u8; 16] =
        question
            .nonce
            .as_slice()
            .try_into()
            .map_err(|_| WireError::BadField {
                field: "nonce",
                expected: "16 bytes",
            })?;
    Ok(ClaimQuestion {
        key: ClaimKey {
            workspace: parse_name("workspace", &question.workspace)?,
            key: parse_name("key", &question.key)?,
        },
        nonce: AttemptNonce(u128::from_be_bytes(nonce)),
        digest: BodyDigest(question.digest),
    })
}

pub(crate) fn encode_claim_answer(answer: &ClaimAnswer) -> wire::ClaimAnswer {
    let mut message = wire::ClaimAnswer::default();
    let state = match answer {
        ClaimAnswer::Released => wire::ClaimState::Released,
        ClaimAnswer::Running => wire::ClaimState::Running,
        ClaimAnswer::Unknown => wire::ClaimState::Unknown,
        ClaimAnswer::Ended { verdict, answer } => {
            message.set_verdict(encode_verdict(*verdict));
            message.answer = answer.as_ref().map(|answer| wire::StoredAnswer {
                digest: answer.digest.0,
                output: answer.output.clone(),
            });
            wire::ClaimState::Ended
        }
    };
    message.set_state(state);
    message
}

pub(crate) fn decode_claim_answer(message: wire::ClaimAnswer) -> Result<ClaimAnswer, WireError> {
    Ok(match message.state() {
        wire::ClaimState::Released => ClaimAnswer::Released,
        wire::ClaimState::Running => ClaimAnswer::Running,
        wire::ClaimState::Unknown => ClaimAnswer::Unknown,
        wire::ClaimState::Ended => ClaimAnswer::Ended {
            verdict: decode_verdict(message.verdict())?,
            answer: message.answer.map(|answer| StoredAnswer {
                digest: BodyDigest(answer.digest),
                output: answer.output,
            }),
        },
        wire::ClaimState::Unspecified => {
            return Err(WireError::Missing { field: "state" });
        }
    })
}

pub(crate) const fn encode_verdict(verdict: ExecutionVerdict) -> wire::ExecutionVerdict {
    match verdict {
        ExecutionVerdict::NotRun => wire::ExecutionVerdict::NotRun,
        ExecutionVerdict::MayHaveRun => wire::ExecutionVerdict::MayHaveRun,
        ExecutionVerdict::Ran => wire::ExecutionVerdict::Ran,
    }
}

pub(crate) const fn decode_verdict(
    verdict: wire::ExecutionVerdict,
) -> Result<ExecutionVerdict, WireError> {
    match verdict {
        wire::ExecutionVerdict::NotRun => Ok(ExecutionVerdict::NotRun),
        wire::ExecutionVerdict::MayHaveRun => Ok(ExecutionVerdict::MayHaveRun),
        wire::ExecutionVerdict::Ran => Ok(ExecutionVerdict::Ran),
        wire::ExecutionVerdict::Unspecified => Err(WireError::Missing { field: "verdict" }),
    }
}
