//! Replays callers that were refused in a burst and come back into it.

use std::time::Duration;

use hollywheel_serving::{CallerAttempt, RetryDetector};
use hollywheel_types::{MonoTime, PipelineId};

fn pipeline() -> PipelineId {
    "draft".parse().unwrap()
}

fn note(patience: &mut RetryDetector, at: u64, wait: u64) -> CallerAttempt {
    let now = MonoTime::from_millis(at);
    patience.note_wait(now, &pipeline(), Duration::from_millis(wait))
}

/// First attempts wait for 8.5 to 10 s; a refused caller returns after 2.5 s.
#[test]
fn a_caller_with_much_less_time_left_has_come_back() {
    let mut patience = RetryDetector::new();
    for request in 0..40 {
        let wait = 8500 + (request * 373) % 1500;
        assert_eq!(
            note(&mut patience, request * 500, wait),
            CallerAttempt::First
        );
    }
    patience.note_refused(MonoTime::from_millis(20_000), &pipeline());
    for request in 0..40 {
        let now = 22_500 + request * 20;
        assert_eq!(note(&mut patience, now, 7400), CallerAttempt::Retry);
        assert_eq!(note(&mut patience, now, 8600), CallerAttempt::First);
    }
}

/// A third of the callers has little patience, whether anyone was refused or not.
#[test]
fn a_short_wait_that_is_usual_tells_nothing() {
    let mut patience = RetryDetector::new();
    for request in 0..60 {
        let wait = if request % 3 == 0 { 4000 } else { 10_000 };
        let _ = note(&mut patience, request * 200, wait);
    }
    patience.note_refused(MonoTime::from_millis(12_000), &pipeline());
    let attempt = note(&mut patience, 12_500, 4000);
    assert_eq!(attempt, CallerAttempt::First);
}

#[test]
fn pipelines_that_were_removed_are_forgotten() {
    let mut patience = RetryDetector::new();
    let _ = note(&mut patience, 0, 10_000);
    patience.note_refused(MonoTime::from_millis(100), &pipeline());
    assert_eq!(note(&mut patience, 200, 5000), CallerAttempt::Retry);
    patience.retain(|name| *name != pipeline());
    assert_eq!(note(&mut patience, 300, 5000), CallerAttempt::First);
}

/// A configuration with shorter deadlines came into force a minute ago.
#[test]
fn waits_of_long_ago_are_forgotten() {
    let mut patience = RetryDetector::new();
    let _ = note(&mut patience, 0, 20_000);
    patience.note_refused(MonoTime::from_millis(100), &pipeline());
    assert_eq!(
        note(&mut patience, 1000, 10_000),
        CallerAttempt::Retry,
        "half of the longest wait"
    );
    let _ = note(&mut patience, 31_000, 10_000);
    let _ = note(&mut patience, 62_000, 10_000);
    assert_eq!(note(&mut patience, 62_500, 10_000), CallerAttempt::First);
}
