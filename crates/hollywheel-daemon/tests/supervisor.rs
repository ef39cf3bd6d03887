//! Tests of the supervisor's restarts.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollywheel_daemon::{ChildEntry, HostPhase, RestartPolicy, SupervisorTree};
use tokio::sync::watch;

/// Returns a child that panics in its first runs and then keeps running.
fn failing(restart_policy: RestartPolicy, failures: usize, runs: &Arc<AtomicUsize>) -> ChildEntry {
    let runs = Arc::clone(runs);
    ChildEntry {
        name: "child",
        restart_policy,
        start: Box::new(move || {
            let run = runs.fetch_add(1, Ordering::SeqCst);
            Box::pin(async move {
                assert!(run >= failures, "run {run} fails");
                std::future::pending::<()>().await;
            })
        }),
    }
}

#[tokio::test(start_paused = true)]
async fn a_child_is_restarted_within_its_bound() {
    let (_phase, watcher) = watch::channel(HostPhase::Serving);
    let runs = Arc::new(AtomicUsize::new(0));
    let child = failing(RestartPolicy::Restart, 3, &runs);
    let mut tree = SupervisorTree::start(vec![child], &watcher);
    let failure = tokio::time::timeout(Duration::from_secs(30), tree.failure()).await;
    assert!(failure.is_err());
    assert_eq!(runs.load(Ordering::SeqCst), 4);
}

#[tokio::test(start_paused = true)]
async fn a_child_that_keeps_failing_ends_the_process() {
    let (_phase, watcher) = watch::channel(HostPhase::Serving);
    let runs = Arc::new(AtomicUsize::new(0));
    let child = failing(RestartPolicy::Restart, usize::MAX, &runs);
    let mut tree = SupervisorTree::start(vec![child], &watcher);
    assert_eq!(tree.failure().await, "child");
    assert_eq!(runs.load(Ordering::SeqCst), 6);
}

#[tokio::test(start_paused = true)]
async fn a_child_that_cannot_be_restarted_ends_the_process_at_once() {
    let (phase, watcher) = watch::channel(HostPhase::Serving);
    let runs = Arc::new(AtomicUsize::new(0));
    let child = failing(RestartPolicy::EndProcess, 1, &runs);
    let mut tree = SupervisorTree::start(vec![child], &watcher);
    assert_eq!(tree.failure().await, "child");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    phase.send_replace(HostPhase::Closing);
    tree.close(Duration::from_secs(1)).await;
}
