//! Supervisor of the long-running tasks of the process: restarts a task that ends or panics.

use std::pin::{Pin, pin};

use fail::fail_point;

use hollywheel_serving::RestartBackoff;

use crate::containment::TaskKind;
use crate::host::Host;
use crate::log::log_line;

/// Future of a supervised task.
pub(crate) type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// What a host without a task cannot do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskNeed {
    /// It cannot serve callers, so it is not ready while the task keeps ending.
    Serving,
    /// It serves callers with what it knows.
    Upkeep,
}

/// A supervised task: its name in the log, what it is needed for and the function that starts it.
pub(crate) struct TaskEntry {
    pub(crate) name: &'static str,
    pub(crate) need: TaskNeed,
    pub(crate) start: Box<dyn Fn() -> TaskFuture>,
}

/// Returns the entry of a task.
pub(crate) fn task_entry<F>(
    name: &'static str,
    need: TaskNeed,
    start: impl Fn() -> F + 'static,
) -> TaskEntry
where
    F: Future<Output = ()> + 'static,
{
    TaskEntry {
        name,
        need,
        start: Box::new(move || Box::pin(start())),
    }
}

/// Spawns every task, and restarts one that ends or panics.
pub(crate) fn supervise(host: &Host, tasks: Vec<TaskEntry>) {
    for entry in tasks {
        tokio::task::spawn_local(supervise_task(host.clone(), entry));
    }
}

async fn supervise_task(host: Host, entry: TaskEntry) {
    let mut backoff = RestartBackoff::new();
    loop {
        backoff.note_start(host.now());
        let work = async {
            fail_point!(&format!("task.{}", entry.name));
            (entry.start)().await;
        };
        let work = host.panics.contain(TaskKind::Supervised, entry.name, work);
        let mut work = pin!(work);
        let ended = tokio::select! {
            ended = work.as_mut() => ended,
            () = tokio::time::sleep(backoff.stable_in(host.now())) => {
                host.set_failing(&entry, false);
                work.await
            }
        };
        let pause = backoff.note_end(host.now());
        let detail = match ended {
            Ok(()) => "ended",
            Err(_) => "panicked",
        };
        log_line!(host, error, TaskFailed, part = entry.name, detail);
        host.set_failing(&entry, backoff.is_failing(host.now()));
        tokio::time::sleep(pause).await;
    }
}
