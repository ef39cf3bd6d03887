//! Responses of stages that do not stream.

use hollywheel_node::{AnswerEcho, AttemptCall, AttemptEvent};
use http::Response;
use hyper::body::Incoming;

use super::answer::read_body;
use super::caller::BackendCaller;
use super::wire::RunAnswer;
use crate::core::CoreHandle;

/// Reads a complete response. The decision machine checks whether it belongs to the attempt.
pub(super) async fn read_answer(
    caller: &BackendCaller,
    call: &AttemptCall,
    core: &CoreHandle,
    response: Response<Incoming>,
) -> AttemptEvent {
    let Some(body) = read_body(response).await else {
        return AttemptEvent::Broken;
    };
    let mut answer: RunAnswer = match serde_json::from_slice(&body) {
        Ok(answer) => answer,
        Err(error) => {
            caller.log_invalid(call, &error.to_string());
            return AttemptEvent::Broken;
        }
    };
    caller.record_load(call, core, answer.load.take()).await;
    AttemptEvent::Answer {
        echo: AnswerEcho {
            request: answer.request,
            stage: answer.stage,
            nonce: answer.attempt,
        },
        output: answer.output,
    }
}
