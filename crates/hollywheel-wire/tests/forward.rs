//! Tests of the conversion of forwarded requests and their answers.

use std::time::Duration;

use hollywheel_types::{ExecutionVerdict, RequestId, TokenCount, WallTime};
use hollywheel_wire::{
    ForwardAnswer, ForwardedRequest, HostAnswer, HostQuestion, MAX_QUESTION_BYTES, WireError,
    decode_answer, decode_question, encode_answer, encode_question,
};

const MAX_ANSWER_BYTES: usize = 1 << 21;

fn forwarded_request(bytes: usize) -> ForwardedRequest {
    ForwardedRequest {
        request: RequestId(7),
        workspace: "clerks".parse().unwrap(),
        pipeline: "payment".parse().unwrap(),
        input: "x".repeat(bytes),
        key: "issue:entry-1:1:00".parse().unwrap(),
        timeout: Duration::from_micros(2_999_999),
        max_tokens: Some(TokenCount(0)),
        received_at: WallTime(5),
    }
}

#[test]
fn forwarded_request_of_the_largest_size_survives_a_round_trip() {
    for bytes in [0, MAX_QUESTION_BYTES, 1024 * 1024] {
        let question = HostQuestion::Forward(forwarded_request(bytes));
        let read = decode_question(&encode_question(&question));
        assert_eq!(read, Ok(question));
    }
    let bytes = encode_question(&HostQuestion::Forward(forwarded_request(
        1024 * 1024 + 8192,
    )));
    assert!(matches!(
        decode_question(&bytes),
        Err(WireError::TooLong { .. })
    ));
}

#[test]
fn every_forward_answer_survives_a_round_trip() {
    let answers = [
        ForwardAnswer::Complete {
            output: "paid".to_owned(),
            tokens: TokenCount(3),
            replayed: true,
        },
        ForwardAnswer::Refused {
            verdict: ExecutionVerdict::MayHaveRun,
            reason: "backend-failed".to_owned(),
            retry_after: None,
        },
        ForwardAnswer::Refused {
            verdict: ExecutionVerdict::NotRun,
            reason: "overloaded".to_owned(),
            retry_after: Some(Duration::ZERO),
        },
    ];
    for answer in answers {
        let answer = HostAnswer::Forward(answer);
        let read = decode_answer(&encode_answer(&answer), MAX_ANSWER_BYTES);
        assert_eq!(read, Ok(answer));
    }
}
