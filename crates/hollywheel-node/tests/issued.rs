//! Requests under idempotency keys that a host issued.

mod support;

use std::time::Duration;

use hollywheel_node::{AttemptEvent, CallTicket, ForwardEnd, NodeInput, Refusal, RefusalReason};
use hollywheel_types::{ExecutionVerdict, TokenCount};
use support::HostUnderTest;

/// Returns a well-formed key that the given process could have issued.
fn issued_key_of(host: &str, incarnation: u64) -> String {
    format!("issue:{host}:{incarnation:x}:00000000{:032x}", 77)
}

#[test]
fn payment_under_an_issued_key_needs_no_row() {
    let mut host = HostUnderTest::new();
    host.auto_answer_store = false;
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    host.request(2, "payment", Some(&key));
    host.answer(&host.last_call(), "paid");
    host.request(3, "payment", Some(&key));
    assert_eq!(host.outcome(1), "complete \"paid\" replayed=false");
    for id in [2, 3] {
        assert_eq!(host.outcome(id), "complete \"paid\" replayed=true", "{id}");
    }
    host.advance(1000);
    assert_eq!((host.calls.len(), host.store_calls.len()), (1, 0));
}

#[test]
fn issued_key_with_another_body_is_refused() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    host.request(2, "checked-payment", Some(&key));
    assert_eq!(host.outcome(2), "not-run key-reused retry_after=None");
}

#[test]
fn expired_or_forged_key_never_runs() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.advance(600_000);
    host.request(1, "payment", Some(&key));
    host.request(2, "payment", Some(&issued_key_of("entry-1", 1)));
    for id in [1, 2] {
        assert_eq!(host.outcome(id), "not-run key-expired retry_after=None");
    }
    assert!(host.calls.is_empty());
}

#[test]
fn key_of_another_workspace_never_runs() {
    let mut host = HostUnderTest::new();
    let ticket = CallTicket(0);
    let workspace = "others".parse().unwrap();
    host.input(NodeInput::IssueKey { ticket, workspace });
    let key = host.issued_keys[0].as_ref().unwrap().key.to_string();
    host.request(1, "payment", Some(&key));
    assert_eq!(host.outcome(1), "not-run key-expired retry_after=None");
}

#[test]
fn key_of_a_dead_process_is_refused_as_may_have_run() {
    let mut host = HostUnderTest::new();
    let keys = [
        issued_key_of("entry-1", 2),
        issued_key_of("entry-2", 6),
        issued_key_of("entry-9", 1),
    ];
    for (id, key) in (1..).zip(&keys) {
        host.request(id, "payment", Some(key));
        assert_eq!(host.outcome(id), "may-have-run key-taken retry_after=None");
    }
    assert!(host.calls.is_empty() && host.forwards.is_empty());
}

#[test]
fn payment_under_an_issued_key_is_not_retried_after_a_broken_connection() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    host.attempt_event(&host.last_call(), AttemptEvent::Broken);
    host.request(2, "payment", Some(&key));
    assert_eq!(host.outcome(2), "may-have-run key-taken retry_after=None");
    assert_eq!(host.calls.len(), 1);
}

#[test]
fn evicted_outcome_is_refused_as_may_have_run() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    host.answer(&host.last_call(), "paid");
    host.advance(600_000);
    host.request(2, "payment", Some(&key));
    assert_eq!(host.outcome(2), "may-have-run key-taken retry_after=None");
}

#[test]
fn late_answer_settles_an_issued_key() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    let call = host.last_call();
    host.advance(3000);
    host.answer(&call, "paid");
    host.request(2, "payment", Some(&key));
    assert_eq!(host.outcome(2), "complete \"paid\" replayed=true");
}

#[test]
fn key_whose_request_sent_nothing_can_be_reused() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    while host.outcome(1) == "none" {
        host.attempt_event(&host.last_call(), AttemptEvent::NotSent);
        host.advance(30);
    }
    assert!(
        host.outcome(1).starts_with("not-run"),
        "{}",
        host.outcome(1)
    );
    let calls = host.calls.len();
    host.advance(2000);
    host.request(2, "payment", Some(&key));
    host.advance(2000);
    assert!(host.calls.len() > calls, "{}", host.outcome(2));
}

#[test]
fn draining_host_issues_no_key_and_starts_no_request() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.input(NodeInput::Drain(Duration::from_secs(2)));
    let ticket = CallTicket(0);
    let workspace = "clerks".parse().unwrap();
    host.input(NodeInput::IssueKey { ticket, workspace });
    let refusal = host.issued_keys[1].clone().unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Draining);
    host.request(1, "payment", Some(&key));
    assert!(host.outcome(1).starts_with("not-run draining"));
    assert!(host.calls.is_empty());
}

#[test]
fn answer_under_an_issued_key_survives_a_graceful_shutdown() {
    let mut first = HostUnderTest::new();
    let key = first.issue_key();
    let second_key = first.issue_key();
    first.request(1, "payment", Some(&key));
    first.answer(&first.last_call(), "paid");
    first.request(2, "payment", Some(&second_key));
    first.input(NodeInput::Drain(Duration::from_secs(2)));
    assert_eq!(first.drained_count, 0);
    first.answer(&first.last_call(), "paid too");
    first.advance(200);
    assert_eq!((first.drained_count, first.store.rows.len()), (1, 2));
    let mut next = HostUnderTest::with(hollywheel_node::NodeSettings {
        incarnation: hollywheel_types::Incarnation(2),
        ..hollywheel_node::NodeSettings::default()
    });
    next.store = std::mem::take(&mut first.store);
    next.request(1, "payment", Some(&key));
    next.request(2, "payment", Some(&second_key));
    next.request(3, "checked-payment", Some(&key));
    assert_eq!(next.outcome(1), "complete \"paid\" replayed=true");
    assert_eq!(next.outcome(2), "complete \"paid too\" replayed=true");
    assert_eq!(next.outcome(3), "not-run key-reused retry_after=None");
    assert!(next.calls.is_empty());
}

#[test]
fn store_outage_does_not_delay_shutdown_for_issued_keys() {
    let mut host = HostUnderTest::new();
    let key = host.issue_key();
    host.request(1, "payment", Some(&key));
    host.answer(&host.last_call(), "paid");
    host.auto_answer_store = false;
    host.input(NodeInput::Drain(Duration::from_secs(20)));
    for _ in 0..30 {
        host.answer_store(Some(hollywheel_store::StoreFailure::Refused {
            retry_after: Duration::from_millis(100),
        }));
        host.advance(100);
    }
    assert_eq!(host.drained_count, 1);
}

/// Returns a host that has forwarded a request to the issuer of its key, and the ticket of the
/// forward.
fn host_with_forward() -> (HostUnderTest, CallTicket) {
    let mut host = HostUnderTest::new();
    host.request(1, "payment", Some(&issued_key_of("entry-2", 7)));
    let (ticket, request) = host.forwards.remove(0);
    assert_eq!(request.timeout, Some(Duration::from_secs(3)));
    assert!(host.calls.is_empty() && host.store.rows.is_empty());
    (host, ticket)
}

#[test]
fn answer_of_the_issuer_is_returned_to_the_caller() {
    let (mut host, ticket) = host_with_forward();
    let end = ForwardEnd::Complete {
        output: "paid".to_owned(),
        tokens: TokenCount(0),
        replayed: true,
    };
    host.input(NodeInput::Forwarded {
        ticket,
        end: end.clone(),
    });
    host.input(NodeInput::Forwarded { ticket, end });
    assert_eq!(host.outcome(1), "complete \"paid\" replayed=true");
}

#[test]
fn refusal_of_the_issuer_is_returned_to_the_caller() {
    let (mut host, ticket) = host_with_forward();
    let end = ForwardEnd::Refused(Refusal {
        verdict: ExecutionVerdict::NotRun,
        reason: RefusalReason::KeyExpired,
        retry_after: None,
    });
    host.input(NodeInput::Forwarded { ticket, end });
    assert_eq!(host.outcome(1), "not-run key-expired retry_after=None");
}

#[test]
fn forward_that_was_not_sent_is_not_run_and_a_lost_one_may_have_run() {
    let (mut host, ticket) = host_with_forward();
    let end = ForwardEnd::NotSent;
    host.input(NodeInput::Forwarded { ticket, end });
    assert_eq!(
        host.outcome(1),
        "not-run issuer-unreachable retry_after=Some(500ms)"
    );
    let (mut host, ticket) = host_with_forward();
    let end = ForwardEnd::Lost;
    host.input(NodeInput::Forwarded { ticket, end });
    assert_eq!(
        host.outcome(1),
        "may-have-run issuer-unreachable retry_after=Some(500ms)"
    );
}

#[test]
fn forward_without_an_answer_may_have_run_at_the_deadline() {
    let (mut host, ticket) = host_with_forward();
    host.advance(3000);
    assert_eq!(
        host.outcome(1),
        "may-have-run deadline-passed retry_after=None"
    );
    let end = ForwardEnd::NotSent;
    host.input(NodeInput::Forwarded { ticket, end });
    assert_eq!(host.machine.requests(), 0);
}
