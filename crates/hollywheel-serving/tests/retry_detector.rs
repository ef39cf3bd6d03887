//! Tests of the detection of retries by callers that were refused in a burst.

use std::time::Duration;

use hollywheel_serving::{CallerAttempt, RetryDetector};
use hollywheel_types::{MonoTime, PipelineId};

fn pipeline() -> PipelineId {
    "draft".parse().unwrap()
}

/// Records a request that arrives at a time with a remaining wait, both in milliseconds.
fn note_wait(detector: &mut RetryDetector, at: u64, wait: u64) -> CallerAttempt {
    let now = MonoTime::from_millis(at);
    detector.note_wait(now, &pipeline(), Duration::from_millis(wait))
}

/// First attempts wait for 8.5 to 10 s. A refused caller retries after 2.5 s and waits for 7.4 s.
#[test]
fn a_request_with_much_less_remaining_time_is_a_retry() {
    let mut detector = RetryDetector::new();
    for request in 0..40 {
        let wait = 8500 + (request * 373) % 1500;
        assert_eq!(
            note_wait(&mut detector, request * 500, wait),
            CallerAttempt::First
        );
    }
    detector.note_refused(MonoTime::from_millis(20_000), &pipeline());
    for request in 0..40 {
        let now = 22_500 + request * 20;
        assert_eq!(note_wait(&mut detector, now, 7400), CallerAttempt::Retry);
        assert_eq!(note_wait(&mut detector, now, 8600), CallerAttempt::First);
    }
}

/// A third of the callers use a short time-out, whether any request was refused or not.
#[test]
fn a_common_short_wait_is_not_taken_for_a_retry() {
    let mut detector = RetryDetector::new();
    for request in 0..60 {
        let wait = if request % 3 == 0 { 4000 } else { 10_000 };
        let _ = note_wait(&mut detector, request * 200, wait);
    }
    detector.note_refused(MonoTime::from_millis(12_000), &pipeline());
    let attempt = note_wait(&mut detector, 12_500, 4000);
    assert_eq!(attempt, CallerAttempt::First);
}

/// The callers of a pipeline wait for 4 to 10 s and nobody was refused. Guards against first attempts
/// that are taken for retries, and so for late, in the first two seconds of a host.
#[test]
fn different_deadlines_in_the_first_seconds_are_not_taken_for_retries() {
    let mut detector = RetryDetector::new();
    let retries = (0..20u64).filter(|request| {
        let wait = 10_000 - (request * 3_700) % 6_000;
        note_wait(&mut detector, request * 110, wait) == CallerAttempt::Retry
    });
    assert_eq!(retries.count(), 0);
}

#[test]
fn removed_pipelines_are_forgotten() {
    let mut detector = RetryDetector::new();
    let _ = note_wait(&mut detector, 0, 10_000);
    detector.note_refused(MonoTime::from_millis(100), &pipeline());
    assert_eq!(note_wait(&mut detector, 200, 5000), CallerAttempt::Retry);
    detector.retain(|name| *name != pipeline());
    assert_eq!(note_wait(&mut detector, 300, 5000), CallerAttempt::First);
}

/// A configuration with shorter deadlines came into force a minute ago.
#[test]
fn old_waits_are_forgotten() {
    let mut detector = RetryDetector::new();
    let _ = note_wait(&mut detector, 0, 20_000);
    detector.note_refused(MonoTime::from_millis(100), &pipeline());
    assert_eq!(
        note_wait(&mut detector, 1000, 10_000),
        CallerAttempt::Retry,
        "the wait is half of the longest one"
    );
    let _ = note_wait(&mut detector, 31_000, 10_000);
    let _ = note_wait(&mut detector, 62_000, 10_000);
    assert_eq!(
        note_wait(&mut detector, 62_500, 10_000),
        CallerAttempt::First
    );
}
