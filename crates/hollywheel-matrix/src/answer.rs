//! Expected answers, computed without the state machines.

use hollywheel_node::ReplyPart;

use crate::cell::CellScenario;
use crate::fixture;
use crate::scene::{SeenPart, SentRequest, token_text, unary_output};

/// Number of tokens of an answer under the first version.
const FIRST_TOKENS: u32 = 5;

/// Returns the tokens of the answer to a request; none if it is not a stream.
fn expected_tokens(sent: &SentRequest) -> Option<Vec<String>> {
    if sent.scenario != CellScenario::Question {
        return None;
    }
    let previous = unary_output("encode", &sent.input, "");
    let tokens = match sent.version == fixture::second_version().version {
        true => fixture::SECOND_TOKENS.0,
        false => FIRST_TOKENS,
    };
    let text = |index| token_text("draft", &sent.input, &previous, index);
    Some((0..tokens).map(text).collect())
}

fn expected_output(sent: &SentRequest) -> String {
    if let Some(tokens) = expected_tokens(sent) {
        return tokens.concat();
    }
    let stages = sent.scenario.stages().iter();
    stages.fold(String::new(), |previous, stage| {
        unary_output(stage, &sent.input, &previous)
    })
}

/// Compares the received parts with the expected answer.
pub(crate) fn answer_fault(sent: &SentRequest, parts: &[SeenPart]) -> Option<String> {
    let request = sent.request;
    let expected = expected_tokens(sent).unwrap_or_default();
    let mut tokens: usize = 0;
    for part in parts {
        match &part.part {
            ReplyPart::Token { index, text } => {
                let wanted = expected.get(tokens);
                if usize::try_from(index.0).ok() != Some(tokens) || wanted != Some(text) {
                    return Some(format!("request {request} got token {index} {text:?}"));
                }
                tokens += 1;
            }
            ReplyPart::Complete { output, .. } => {
                if *output != expected_output(sent) || tokens != expected.len() {
                    return Some(format!("request {request} got {output:?}"));
                }
            }
            ReplyPart::Refused(_) => {}
        }
    }
    None
}
