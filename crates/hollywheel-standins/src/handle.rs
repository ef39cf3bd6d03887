//! Handle of a running stand-in.

use std::fmt;
use std::fs::File;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::fault::FaultOrder;
use crate::ledger::LedgerEntry;

/// Access to a stand-in from the same process.
pub(crate) trait HandleControl: Send + Sync + 'static {
    /// Returns the ledger.
    fn ledger(&self) -> Vec<LedgerEntry>;

    /// Also writes later entries of the ledger to a file.
    fn copy_ledger(&self, file: File);

    /// Replaces the faults in force.
    fn set_faults(&self, order: FaultOrder);
}

/// Owns a running stand-in, which is stopped when the handle is dropped.
pub struct StandinHandle {
    address: SocketAddr,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
    control: Arc<dyn HandleControl>,
}

impl StandinHandle {
    pub(crate) fn new(
        address: SocketAddr,
        stop: CancellationToken,
        task: JoinHandle<()>,
        control: Arc<dyn HandleControl>,
    ) -> Self {
        Self {
            address,
            stop,
            task: Some(task),
            control,
        }
    }

    /// Returns the address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.control.ledger()
    }

    /// Also writes later entries of the ledger to a file, so that they survive the process.
    pub fn copy_ledger(&self, file: File) {
        self.control.copy_ledger(file);
    }

    /// Replaces the faults; the default order clears them.
    pub fn set_faults(&self, order: FaultOrder) {
        self.control.set_faults(order);
    }

    /// Closes the listener and all connections, as if the process was killed.
    pub async fn stop(mut self) {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            let _ = task.await;
        }
    }
}

impl Drop for StandinHandle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl fmt::Debug for StandinHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StandinHandle")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
