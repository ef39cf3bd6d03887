//! Requests without claims: stages, streams, retries, hedging, deadlines and drain.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_node::{AttemptEvent, NodeEvent, NodeInput, NodeSettings, ReplyPart};
use hollywheel_types::{AttemptNonce, ConfigVersion, RequestClass, RequestId, TokenCount};
use support::{HostUnderTest, echo, published};

#[test]
fn output_of_a_stage_is_passed_to_the_next() {
    let mut host = HostUnderTest::new();
    host.request(1, "question", None);
    let encode = host.last_call();
    host.answer(&encode, "vector");
    let draft = host.last_call();
    assert_eq!(
        (draft.previous.as_str(), draft.input.as_str()),
        ("vector", "three translators")
    );
    host.token(&draft, 0, "one ");
    host.token(&draft, 1, "two ");
    host.stream_end(&draft, 2);
    assert_eq!(host.outcome(1), "complete \"one two \" replayed=false");
    assert_eq!(host.machine.requests(), 0);
}

#[test]
fn duplicate_token_is_dropped_and_a_gap_resumes_on_another_server() {
    let mut host = HostUnderTest::new();
    host.request(1, "question", None);
    host.answer(&host.last_call(), "vector");
    let first = host.last_call();
    host.token(&first, 0, "one ");
    host.token(&first, 0, "one ");
    host.token(&first, 2, "three ");
    let second = host.last_call();
    assert_ne!(first.server, second.server);
    assert_eq!(
        (second.start_index.0, second.generated.as_str()),
        (1, "one ")
    );
    host.token(&second, 1, "two ");
    host.stream_end(&second, 2);
    assert_eq!(host.outcome(1), "complete \"one two \" replayed=false");
    let tokens = host
        .reply_parts
        .iter()
        .filter(|(_, part)| matches!(part, ReplyPart::Token { .. }));
    assert_eq!(tokens.count(), 2);
}

#[test]
fn stream_completes_only_with_the_expected_token_count() {
    let mut host = HostUnderTest::new();
    host.request(1, "question", None);
    host.answer(&host.last_call(), "vector");
    let first = host.last_call();
    host.token(&first, 0, "one ");
    host.stream_end(&first, 2);
    assert_eq!(host.outcome(1), "none");
    assert_ne!(host.last_call().nonce, first.nonce);
}

#[test]
fn mismatched_answer_is_never_delivered() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    let first = host.last_call();
    let mut foreign_echo = echo(&first);
    foreign_echo.nonce = AttemptNonce(99);
    let output = "another request's".to_owned();
    host.attempt_event(
        &first,
        AttemptEvent::Answer {
            echo: foreign_echo,
            output,
        },
    );
    assert_eq!((host.outcome(1).as_str(), host.mismatches()), ("none", 1));
    let second = host.last_call();
    host.answer(&first, "late");
    host.answer(&second, "own");
    assert_eq!(host.outcome(1), "complete \"own\" replayed=false");
    assert_eq!(host.mismatches(), 2);
}

#[test]
fn failures_of_every_server_are_refused_at_once_as_may_have_run() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    for _ in 0..4 {
        let call = host.last_call();
        host.attempt_event(&call, AttemptEvent::Broken);
        host.advance(25);
    }
    assert_eq!(
        host.outcome(1),
        "may-have-run backend-failed retry_after=None"
    );
    assert!(host.now.0 < 200_000);
}

#[test]
fn refusals_of_every_server_are_refused_as_not_run() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    for _ in 0..4 {
        let call = host.last_call();
        let retry_after = Duration::from_millis(300);
        host.attempt_event(&call, AttemptEvent::Refused { retry_after });
        host.advance(25);
    }
    assert_eq!(
        host.outcome(1),
        "not-run overloaded retry_after=Some(300ms)"
    );
}

#[test]
fn slow_attempt_is_replaced_while_another_can_meet_the_deadline() {
    let mut host = HostUnderTest::new();
    host.request(1, "review", None);
    let first = host.last_call();
    host.advance(2990);
    assert_eq!(host.calls.len(), 1);
    host.advance(20);
    let second = host.last_call();
    assert_eq!(
        (host.calls.len(), host.cancelled.as_slice()),
        (2, &[first.nonce][..])
    );
    assert_ne!(first.server, second.server);
    host.answer(&second, "reviewed");
    assert_eq!(host.outcome(1), "complete \"reviewed\" replayed=false");
}

#[test]
fn hedge_that_wins_cancels_the_slow_attempt() {
    let mut host = HostUnderTest::new();
    for id in 1..=100 {
        host.request(id, "lookup", None);
        host.advance(10);
        host.answer(&host.last_call(), "vector");
        host.advance(90);
    }
    let before = host.calls.len();
    host.request(200, "lookup", None);
    let slow = host.last_call();
    host.advance(500);
    assert_eq!(host.calls.len(), before + 2);
    let hedge = host.last_call();
    assert_ne!(slow.server, hedge.server);
    host.answer(&hedge, "vector");
    assert_eq!(host.outcome(200), "complete \"vector\" replayed=false");
    assert_eq!(host.cancelled, vec![slow.nonce]);
}

#[test]
fn duplicate_request_is_handled_once() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    host.request(1, "lookup", None);
    assert_eq!(host.calls.len(), 1);
}

#[test]
fn requests_keep_the_configuration_in_force_at_receipt() {
    let mut host = HostUnderTest::new();
    host.request(1, "question", None);
    let mut next = (*published(2)).clone();
    next.set.stages.iter_mut().for_each(|stage| {
        stage.max_tokens = stage.max_tokens.map(|_| TokenCount(2));
    });
    host.input(NodeInput::Config(Arc::new(next)));
    host.input(NodeInput::Config(published(1)));
    assert_eq!(host.machine.config_version(), ConfigVersion(2));
    host.answer(&host.last_call(), "vector");
    assert_eq!(host.last_call().max_tokens, TokenCount(4));
}

#[test]
fn request_is_refused_at_its_deadline() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    host.advance(3999);
    assert_eq!(host.outcome(1), "none");
    host.advance(2);
    assert_eq!(
        host.outcome(1),
        "may-have-run deadline-passed retry_after=None"
    );
    assert_eq!(host.cancelled, vec![host.last_call().nonce]);
}

#[test]
fn disconnected_caller_cancels_the_attempt_and_gets_no_reply() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    host.input(NodeInput::CallerGone(RequestId(1)));
    assert_eq!(
        (host.outcome(1).as_str(), host.cancelled.len()),
        ("none", 1)
    );
    assert_eq!(
        (host.machine.requests(), host.machine.next_wake()),
        (0, None)
    );
}

#[test]
fn inadmissible_requests_are_refused_as_not_run() {
    let settings = NodeSettings {
        max_requests: 1,
        ..NodeSettings::default()
    };
    let mut host = HostUnderTest::with(settings);
    host.request(1, "nothing", None);
    host.request(2, "visits", None);
    host.request(3, "payment", None);
    host.request(4, "lookup", None);
    host.request(5, "lookup", None);
    let outcomes: Vec<String> = [1, 2, 3, 5].map(|id| host.outcome(id)).to_vec();
    insta::assert_snapshot!(outcomes.join("\n"), @r"
    not-run no-pipeline retry_after=None
    not-run no-pipeline retry_after=None
    not-run key-missing retry_after=None
    not-run overloaded retry_after=Some(1s)
    ");
}

#[test]
fn drain_waits_for_running_requests_and_completes_once() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    host.request(2, "lookup", None);
    assert_eq!(host.outcome(2), "not-run draining retry_after=Some(200ms)");
    assert_eq!(host.drained_count, 0);
    host.answer(&host.last_call(), "vector");
    assert_eq!(
        (host.outcome(1).as_str(), host.drained_count),
        ("complete \"vector\" replayed=false", 1)
    );
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    host.advance(5000);
    assert_eq!(host.drained_count, 1);
}

#[test]
fn drain_refuses_requests_that_outlast_its_time_limit() {
    let mut host = HostUnderTest::new();
    host.request(1, "lookup", None);
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    host.advance(2001);
    assert_eq!(
        host.outcome(1),
        "may-have-run draining retry_after=Some(200ms)"
    );
    assert_eq!(host.drained_count, 1);
}

#[test]
fn refused_request_is_reported_in_the_class_of_its_pipeline() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", None);
    host.request(2, "nowhere", None);
    let classes: Vec<RequestClass> = host
        .events
        .iter()
        .filter_map(|event| match event {
            NodeEvent::Ended(summary) => Some(summary.class),
            _ => None,
        })
        .collect();
    assert_eq!(classes, [RequestClass::Transaction, RequestClass::Batch]);
}
