//! Starts the parts of the process and starts a part again that has failed.

use std::pin::Pin;
use std::time::Duration;

use crate::host::Host;
use crate::log::log_line;

/// The pause before a part is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Holds a running part.
pub(crate) type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Describes one part of the process.
pub(crate) struct TaskEntry {
    pub(crate) name: &'static str,
    pub(crate) start: Box<dyn Fn() -> TaskFuture>,
}

/// Makes the entry of a part.
pub(crate) fn task_entry<F>(name: &'static str, start: impl Fn() -> F + 'static) -> TaskEntry
where
    F: Future<Output = ()> + 'static,
{
    TaskEntry {
        name,
        start: Box::new(move || Box::pin(start())),
    }
}

/// Runs every part; one that ends or panics is started again.
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
