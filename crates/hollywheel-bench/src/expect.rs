//! Expected answers, computed from the calls.

use sha2::{Digest, Sha256};

use crate::objects::{ObjectView, StageView};

/// The expected complete answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpectedAnswer {
    /// The output of the last stage.
    pub output: String,
    /// The number of tokens of the last stage; zero if it does not generate tokens.
    pub tokens: u32,
}

/// Computes the expected answer of a pipeline; none if the pipeline is not defined.
pub fn expected_answer(
    view: &ObjectView,
    pipeline: &str,
    input: &str,
    max_tokens: Option<u32>,
) -> Option<ExpectedAnswer> {
    let mut answer = ExpectedAnswer {
        output: String::new(),
        tokens: 0,
    };
    for stage in view.stages_of(pipeline)? {
        answer = stage_answer(stage, input, &answer.output, max_tokens);
    }
    Some(answer)
}

fn stage_answer(
    stage: &StageView,
    input: &str,
    previous: &str,
    max_tokens: Option<u32>,
) -> ExpectedAnswer {
    if stage.kind != "generate" {
        let digest = digest(&[&stage.name, &stage.kind, input, previous]);
        return ExpectedAnswer {
            output: format!("{}:{}", stage.kind.to_uppercase(), &digest[..16]),
            tokens: 0,
        };
    }
    let tokens = max_tokens.map_or(stage.max_tokens, |wanted| wanted.min(stage.max_tokens));
    let text = |index: u32| {
        let index = index.to_string();
        let digest = digest(&[&stage.name, &stage.model, input, previous, &index]);
        format!("{} ", &digest[..8])
    };
    ExpectedAnswer {
        output: (0..tokens).map(text).collect(),
        tokens,
    }
}

/// Returns the SHA-256 digest of the parts, each followed by a zero byte, in hexadecimal.
pub(crate) fn digest(parts: &[&str]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let bytes = hasher.finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
