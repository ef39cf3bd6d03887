//! Queues that outlive the task which reads them.

use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};

/// Holds the reading end of a queue. A restarted task goes on reading where the last one failed.
pub(crate) type SharedReceiver<T> = Arc<Mutex<mpsc::Receiver<T>>>;

/// Shares the reading end of a queue.
pub(crate) fn share_receiver<T>(receiver: mpsc::Receiver<T>) -> SharedReceiver<T> {
    Arc::new(Mutex::new(receiver))
}
