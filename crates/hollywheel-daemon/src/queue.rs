//! Queues that survive a restart of the task that reads them.

use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};

/// Receiving end of a queue that a task locks while it runs, so that a restarted task continues
/// with the messages its predecessor left.
pub(crate) type SharedReceiver<T> = Arc<Mutex<mpsc::Receiver<T>>>;

/// Wraps the receiving end of a queue.
pub(crate) fn share_receiver<T>(receiver: mpsc::Receiver<T>) -> SharedReceiver<T> {
    Arc::new(Mutex::new(receiver))
}
