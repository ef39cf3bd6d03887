//! Memory for bodies from outside, shared by all requests of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Fraction of the host's memory that bodies may take, so that buffers of connections, the
/// configuration and the runtime fit beside them.
const MEMORY_DIVISOR: u64 = 12;
/// Size in bytes that a body may always have. Usual bodies are smaller.
const FREE_SIZE: usize = 16 * 1024;

#[derive(Debug)]
struct BudgetState {
    /// Maximum of `used`, in bytes.
    limit: usize,
    /// Memory that bodies take, in bytes.
    used: AtomicUsize,
}

/// Memory that bodies may take together.
///
/// A body may grow as long as it is not larger than what is left (dynamic thresholds): a single one
/// gets up to half of the memory, and each of many gets an equal share, so that endless bodies
/// leave room for sound ones.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Arc<BudgetState>);

impl MemoryBudget {
    /// Creates the budget of a host with the given memory in megabytes.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let limit = memory_mb.saturating_mul(1024 * 1024) / MEMORY_DIVISOR;
        Self(Arc::new(BudgetState {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
        }))
    }

    /// Returns the memory that bodies take, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns the share of a body that takes no memory yet.
    pub(crate) fn share(&self) -> MemoryShare {
        MemoryShare {
            budget: Arc::clone(&self.0),
            size: 0,
        }
    }
}

/// Memory that one body takes; returned to the budget when dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    budget: Arc<BudgetState>,
    /// Counted memory in bytes.
    size: usize,
}

impl MemoryShare {
    /// Changes the size of the share; returns whether the budget allows it. A share may always
    /// shrink.
    #[must_use]
    pub(crate) fn resize(&mut self, size: usize) -> bool {
        let used = self.budget.used.load(Ordering::Relaxed);
        let left = self.budget.limit.saturating_sub(used);
        if size > self.size && size > FREE_SIZE && size > left {
            return false;
        }
        self.budget.used.fetch_sub(self.size, Ordering::Relaxed);
        self.budget.used.fetch_add(size, Ordering::Relaxed);
        self.size = size;
        true
    }

    /// Returns bytes that keep this share until they are dropped.
    pub(crate) fn hold(self, bytes: Vec<u8>) -> Bytes {
        if bytes.len() <= FREE_SIZE {
            return Bytes::from(bytes);
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}

/// A body and its share of the memory.
struct HeldBytes {
    bytes: Vec<u8>,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
