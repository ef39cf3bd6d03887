//! Tests of the backoff of tasks that end.

use std::time::Duration;

use hollywheel_serving::RestartBackoff;
use hollywheel_types::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A task that panicked at once after each restart was started ten times a second for good, while
/// its host counted as ready.
#[test]
fn task_that_ends_at_once_is_restarted_without_backoff() {
    let mut backoff = RestartBackoff::new();
    let mut now = at(60_000);
    let mut pauses = Vec::new();
    for end in 0..8 {
        backoff.note_start(now);
        assert_eq!(backoff.is_failing(now), end >= 3, "after {end} ends");
        let pause = backoff.note_end(now);
        pauses.push(pause.as_millis());
        now = now + pause;
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1600, 3200, 5000, 5000]);
}

#[test]
fn task_that_runs_on_is_sound_again() {
    let mut backoff = RestartBackoff::new();
    for start in 0..4 {
        backoff.note_start(at(start * 1000));
        let _ = backoff.note_end(at(start * 1000));
    }
    backoff.note_start(at(5000));
    assert!(backoff.is_failing(at(9999)));
    assert_eq!(backoff.stable_in(at(9999)), Duration::from_millis(1));
    assert!(!backoff.is_failing(at(10_000)));
    assert_eq!(backoff.note_end(at(10_000)), Duration::from_millis(100));
}
