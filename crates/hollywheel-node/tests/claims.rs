//! Claims of requests with a non-idempotent stage.

mod support;

use std::time::Duration;

use hollywheel_claims::{ClaimAnswer, ClaimKey, ClaimQuestion, ClaimRow, ClaimState};
use hollywheel_node::{AttemptEvent, CallTicket, NodeEvent, NodeInput, NodeSettings};
use hollywheel_policy::AttemptOutcome;
use hollywheel_store::{StoreFailure, StoreRow};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, Incarnation, RequestId, WallTime,
};
use support::HostUnderTest;

fn digest() -> BodyDigest {
    BodyDigest::of("payment", b"three translators")
}

fn claim_key() -> ClaimKey {
    ClaimKey {
        workspace: "clerks".parse().unwrap(),
        key: "k1".parse().unwrap(),
    }
}

/// Stores a claim row of the host `entry-2`, whose live incarnation is 7.
fn put_claim_row_of_entry_2(host: &mut HostUnderTest, incarnation: u64, state: ClaimState) {
    let row = ClaimRow {
        nonce: AttemptNonce(5),
        host: "entry-2".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        request: RequestId(50),
        digest: digest(),
        claimed_at: WallTime(1),
        state,
        verdict: ExecutionVerdict::MayHaveRun,
        output: None,
    };
    let key = claim_key().to_string();
    let value = serde_json::to_value(&row).unwrap();
    let row = StoreRow {
        key: key.clone(),
        value,
        revision: 40,
    };
    host.store.rows.insert(key, row);
}

#[test]
fn nothing_is_sent_before_the_claim_is_written() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    host.request(1, "payment", Some("k1"));
    assert!(host.calls.is_empty());
    host.answer_store(None);
    host.answer(&host.last_call(), "paid");
    assert_eq!(host.outcome(1), "complete \"paid\" replayed=false");
    host.advance(200);
    host.answer_store(None);
    assert_eq!(host.store.row_field("state"), "settled");
    assert!(host.machine.claims().is_settled());
}

#[test]
fn repeated_key_replays_the_answer_without_another_call() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.request(2, "payment", Some("k1"));
    host.answer(&host.last_call(), "paid");
    host.request(3, "payment", Some("k1"));
    host.advance(200);
    host.request(4, "payment", Some("k1"));
    for id in [2, 3, 4] {
        assert_eq!(host.outcome(id), "complete \"paid\" replayed=true", "{id}");
    }
    assert_eq!(host.calls.len(), 1);
}

#[test]
fn same_key_with_another_body_is_refused() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.request(2, "checked-payment", Some("k1"));
    host.answer(&host.last_call(), "paid");
    host.advance(200);
    host.request(3, "checked-payment", Some("k1"));
    assert_eq!(host.outcome(2), "not-run key-reused retry_after=None");
    assert_eq!(host.outcome(3), "not-run key-reused retry_after=None");
}

#[test]
fn payment_is_not_retried_after_a_broken_connection() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.attempt_event(&host.last_call(), AttemptEvent::Broken);
    assert_eq!(
        host.outcome(1),
        "may-have-run backend-failed retry_after=None"
    );
    host.advance(200);
    assert_eq!(host.store.row_field("verdict"), "may-have-run");
    host.request(2, "payment", Some("k1"));
    assert_eq!(host.outcome(2), "may-have-run key-taken retry_after=None");
    assert_eq!(host.calls.len(), 1);
}

#[test]
fn payment_that_was_not_sent_is_retried_on_another_server() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    let first = host.last_call();
    host.attempt_event(&first, AttemptEvent::NotSent);
    let second = host.last_call();
    assert_ne!(first.server, second.server);
    host.answer(&second, "paid");
    assert_eq!(host.outcome(1), "complete \"paid\" replayed=false");
}

#[test]
fn lost_reply_to_a_claim_write_is_resolved_by_its_nonce() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    host.request(1, "payment", Some("k1"));
    let (ticket, request) = host.store_calls.remove(0);
    host.store.call(&request);
    let result = Err(StoreFailure::Unknown);
    host.input(NodeInput::Store { ticket, result });
    host.advance(25);
    assert!(host.calls.is_empty());
    host.answer_store(None);
    assert_eq!((host.calls.len(), host.store.rows.len()), (1, 1));
}

#[test]
fn late_write_of_an_abandoned_claim_is_released() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    host.request(1, "payment", Some("k1"));
    let (_, late_write) = host.store_calls.remove(0);
    host.advance(3000);
    assert!(
        host.outcome(1).starts_with("not-run store-unavailable"),
        "{}",
        host.outcome(1)
    );
    host.store_calls.clear();
    host.store.call(&late_write);
    let nonce: AttemptNonce = host.store.row_field("nonce").parse().unwrap();
    host.input(NodeInput::HostAsks {
        ticket: CallTicket(9),
        from: "entry-2".parse().unwrap(),
        question: ClaimQuestion {
            key: claim_key(),
            nonce,
            digest: digest(),
        },
    });
    assert_eq!(host.answers, vec![ClaimAnswer::Released]);
    host.auto_answer_store = true;
    host.advance(5000);
    assert_eq!(
        (host.store.row_field("state").as_str(), host.calls.len()),
        ("released", 0)
    );
    host.request(2, "payment", Some("k1"));
    host.advance(30);
    assert_eq!(host.calls.len(), 1);
}

#[test]
fn store_outage_is_refused_at_once_with_retry_after() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    host.request(1, "payment", Some("k1"));
    let refused = StoreFailure::Refused {
        retry_after: Duration::from_secs(2),
    };
    host.answer_store(Some(refused));
    assert_eq!(
        host.outcome(1),
        "not-run store-unavailable retry_after=Some(2s)"
    );
    host.advance(2000);
    host.request(2, "payment", Some("k1"));
    host.answer_store(Some(StoreFailure::Unknown));
    host.request(3, "payment", Some("k3"));
    assert!(
        host.outcome(3).starts_with("not-run store-unavailable"),
        "{}",
        host.outcome(3)
    );
}

#[test]
fn claim_of_a_dead_host_is_refused_as_may_have_run() {
    let mut host = HostUnderTest::new();
    put_claim_row_of_entry_2(&mut host, 6, ClaimState::Open);
    host.request(1, "payment", Some("k1"));
    assert_eq!(host.outcome(1), "may-have-run key-taken retry_after=None");
}

#[test]
fn live_claim_holder_is_asked_until_it_releases_the_claim() {
    let mut host = HostUnderTest::new();
    put_claim_row_of_entry_2(&mut host, 7, ClaimState::Open);
    host.request(1, "payment", Some("k1"));
    let (ticket, _) = host.questions[0];
    let answer = Some(ClaimAnswer::Running);
    host.input(NodeInput::HostAnswers { ticket, answer });
    host.advance(60);
    let (ticket, _) = host.questions[1];
    let answer = Some(ClaimAnswer::Released);
    host.input(NodeInput::HostAnswers { ticket, answer });
    host.advance(30);
    host.answer(&host.last_call(), "paid");
    assert_eq!(host.outcome(1), "complete \"paid\" replayed=false");
}

#[test]
fn claim_unknown_to_its_holder_is_reread() {
    let mut host = HostUnderTest::new();
    put_claim_row_of_entry_2(&mut host, 7, ClaimState::Open);
    host.request(1, "payment", Some("k1"));
    let (ticket, _) = host.questions[0];
    let answer = Some(ClaimAnswer::Unknown);
    host.input(NodeInput::HostAnswers { ticket, answer });
    assert_eq!(host.outcome(1), "may-have-run key-taken retry_after=None");
    assert!(host.calls.is_empty());
}

#[test]
fn released_claim_is_taken_over() {
    let mut host = HostUnderTest::new();
    put_claim_row_of_entry_2(&mut host, 6, ClaimState::Released);
    host.request(1, "payment", Some("k1"));
    host.advance(30);
    assert_eq!(host.calls.len(), 1);
    assert_eq!(host.store.row_field("host"), "entry-1");
}

#[test]
fn failure_before_the_payment_releases_the_claim() {
    let mut host = HostUnderTest::new();
    host.request(1, "checked-payment", Some("k1"));
    for _ in 0..4 {
        let call = host.last_call();
        host.attempt_event(&call, AttemptEvent::Broken);
        host.advance(25);
    }
    assert_eq!(
        host.outcome(1),
        "may-have-run backend-failed retry_after=None"
    );
    host.advance(200);
    assert_eq!(host.store.row_field("state"), "released");
}

#[test]
fn claim_written_after_the_deadline_sends_nothing() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    host.request(1, "payment", Some("k1"));
    host.now = host.now + Duration::from_secs(10);
    host.answer_store(None);
    assert!(host.calls.is_empty());
    assert_eq!(host.outcome(1), "not-run deadline-passed retry_after=None");
}

#[test]
fn payment_continues_after_its_caller_disconnects() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.input(NodeInput::CallerGone(RequestId(1)));
    assert!(host.cancelled.is_empty());
    host.answer(&host.last_call(), "paid");
    host.request(2, "payment", Some("k1"));
    assert_eq!(host.outcome(1), "none");
    assert_eq!(host.outcome(2), "complete \"paid\" replayed=true");
}

#[test]
fn drain_completes_after_claims_are_settled() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    host.answer(&host.last_call(), "paid");
    host.advance(50);
    assert_eq!(
        (host.store.row_field("state").as_str(), host.drained_count),
        ("settled", 1)
    );
}

#[test]
fn late_answer_settles_the_claim_and_is_replayed() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    let call = host.last_call();
    host.advance(3000);
    assert_eq!(
        host.outcome(1),
        "may-have-run deadline-passed retry_after=None"
    );
    assert!(host.cancelled.is_empty());
    host.request(2, "payment", Some("k1"));
    assert_eq!(host.outcome(2), "none");
    host.answer(&call, "paid");
    host.advance(200);
    assert_eq!(host.store.row_field("verdict"), "ran");
    host.request(3, "payment", Some("k1"));
    for id in [2, 3] {
        assert_eq!(host.outcome(id), "complete \"paid\" replayed=true", "{id}");
    }
    let late = host.events.iter().filter(|event| {
        matches!(event, NodeEvent::AttemptEnded { outcome, .. } if *outcome == AttemptOutcome::TimedOut)
    });
    assert_eq!((host.calls.len(), late.count()), (1, 1));
}

#[test]
fn late_attempt_is_cancelled_after_the_grace_period() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.advance(3000);
    host.advance(10_200);
    assert_eq!(host.cancelled.len(), 1);
    assert_eq!(host.store.row_field("verdict"), "may-have-run");
    assert!(host.machine.claims().is_settled());
}

#[test]
fn drain_cancels_late_attempts() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    host.advance(3000);
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    host.advance(10);
    assert_eq!((host.cancelled.len(), host.drained_count), (1, 1));
    assert_eq!(host.store.row_field("verdict"), "may-have-run");
}

#[test]
fn mismatched_late_answer_settles_the_claim_as_may_have_run() {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some("k1"));
    let call = host.last_call();
    host.advance(3000);
    let mut foreign_echo = support::echo(&call);
    foreign_echo.nonce = AttemptNonce(99);
    let output = "another's".to_owned();
    host.attempt_event(
        &call,
        AttemptEvent::Answer {
            echo: foreign_echo,
            output,
        },
    );
    host.advance(200);
    assert_eq!(host.store.row_field("verdict"), "may-have-run");
    assert_eq!(host.mismatches(), 1);
}

#[test]
fn late_attempts_beyond_the_limit_are_cancelled_at_the_deadline() {
    let mut host = HostUnderTest::with(NodeSettings {
        max_late_attempts: 1,
        ..NodeSettings::default()
    });
    host.request(1, "payment", Some("k1"));
    host.request(2, "payment", Some("k2"));
    host.advance(3000);
    assert_eq!(host.cancelled.len(), 1);
}
