//! Supervisor of the long-running tasks of the process: restarts a task that ends or panics.

use std::pin::Pin;
use std::time::Duration;

use crate::host::Host;
use crate::log::log_line;

/// Pause before a task is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Future of a supervised task.
pub(crate) type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A supervised task: its name in the log and the function that starts it.
pub(crate) struct TaskEntry {
    pub(crate) name: &'static str,
    pub(crate) start: Box<dyn Fn() -> TaskFuture>,
}

/// Returns the entry of a task.
pub(crate) fn task_entry<F>(name: &'static str, start: impl Fn() -> F + 'static) -> TaskEntry
where
    F: Future<Output = ()> + 'static,
{
    TaskEntry {
        name,
        start: Box::new(move || Box::pin(start())),
    }
}

/// Spawns every task, and restarts one that ends or panics.
pub(crate) fn supervise(host: &Host, tasks: Vec<TaskEntry>) {
    for entry in tasks {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            loop {
                let ended = tokio::task::spawn_local((entry.start)()).await;
                let detail = ended
                    .err()
                    .map_or_else(|| "ended".to_owned(), |error| error.to_string());
                log_line!(host, error, TaskFailed, part = entry.name, detail);
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }
}
