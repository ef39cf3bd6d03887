//! The lease on a pool, stored as a row with a fencing number.

use std::time::Duration;

use hollywheel_store::{RowOutcome, StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{FencingNumber, HostId, Incarnation, MonoTime, PoolId};
use serde::{Deserialize, Serialize};

/// The row of a lease. It holds no expiry time: a host that waits for the lease to expire measures
/// on its own clock how long the row has not changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LeaseRow {
    /// The holder.
    pub host: HostId,
    /// The incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// The fencing number of the holder.
    pub fencing: FencingNumber,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// A lease that was granted to this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    /// The fencing number.
    pub fencing: FencingNumber,
    /// When the lease expires, counted from when the write that granted it was sent rather than
    /// answered, so that it never ends later here than for the hosts that wait for it.
    pub ends: MonoTime,
    revision: u64,
}

/// The revision of the lease row as last read, and since when it has not changed.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    revision: u64,
    since: MonoTime,
}

/// Tracks the lease on one pool.
#[derive(Debug)]
pub(crate) struct PoolLease {
    pool: PoolId,
    duration: Duration,
    held: Option<HeldLease>,
    observed: Option<ObservedLease>,
    pending_write: Option<PendingWrite>,
    /// The largest fencing number reported by an engine.
    highest: FencingNumber,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    sent: MonoTime,
    fencing: FencingNumber,
}

/// The next step after the lease row was read.
#[derive(Debug)]
pub(crate) enum LeaseStep {
    /// The row must be written to take or renew the lease.
    Write(StoreRequest),
    /// Another process holds the lease.
    Wait,
}

impl PoolLease {
    /// Creates a lease that is not held.
    pub const fn new(pool: PoolId, duration: Duration) -> Self {
        Self {
            pool,
            duration,
            held: None,
            observed: None,
            pending_write: None,
            highest: FencingNumber(0),
        }
    }

    /// Returns the lease if it lasts for longer than `margin` from now.
    pub fn valid_for(&self, now: MonoTime, margin: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now + margin < held.ends)
    }

    /// Returns whether the row may still name this process as the holder.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    fn key(&self) -> String {
        format!("orders/{}", self.pool)
    }

    /// Returns the request that reads the row.
    pub fn read(&self) -> StoreRequest {
        StoreRequest::Read {
            table: TableName::Lease,
            keys: vec![self.key()],
        }
    }

    /// Evaluates the row that was read and decides whether this process may take or renew the lease.
    pub fn evaluate_row(
        &mut self,
        now: MonoTime,
        own: (&HostId, Incarnation),
        rows: &[StoreRow],
    ) -> LeaseStep {
        let Some(row) = rows.first() else {
            return self.write(now, own, None);
        };
        let Ok(lease) = LeaseRow::deserialize(&row.value) else {
            // The row cannot be decoded. Engines that check fencing numbers stay protected by them;
            // for the others the row must be repaired first.
            return LeaseStep::Wait;
        };
        let held_by_self = lease.host == *own.0 && lease.incarnation == own.1;
        let same = self
            .observed
            .filter(|observed| observed.revision == row.revision);
        let observed = same.unwrap_or(ObservedLease {
            revision: row.revision,
            since: now,
        });
        self.observed = Some(observed);
        let ended = now.since(observed.since) > self.duration;
        if held_by_self || lease.released || ended {
            return self.write(now, own, Some((row.revision, lease, held_by_self)));
        }
        self.held = None;
        LeaseStep::Wait
    }

    fn write(
        &mut self,
        now: MonoTime,
        own: (&HostId, Incarnation),
        current: Option<(u64, LeaseRow, bool)>,
    ) -> LeaseStep {
        let (revision, fencing) = match current {
            None => (0, FencingNumber(1)),
            Some((revision, lease, true)) if !lease.released => (revision, lease.fencing),
            Some((revision, lease, _)) => (revision, lease.fencing.next()),
        };
        // An engine that has seen a larger number would reject a smaller one.
        let fencing = if fencing < self.highest {
            self.highest.next()
        } else {
            fencing
        };
        self.pending_write = Some(PendingWrite { sent: now, fencing });
        LeaseStep::Write(self.put(own, fencing, revision, false))
    }

    fn put(
        &self,
        own: (&HostId, Incarnation),
        fencing: FencingNumber,
        revision: u64,
        released: bool,
    ) -> StoreRequest {
        let row = LeaseRow {
            host: own.0.clone(),
            incarnation: own.1,
            fencing,
            released,
        };
        StoreRequest::Txn {
            mode: TxnMode::Atomic,
            ops: vec![StoreOp::Put {
                table: TableName::Lease,
                key: self.key(),
                value: serde_json::to_value(&row).expect("lease rows always serialize"),
                if_revision: Some(revision),
            }],
        }
    }

    /// Handles the outcome of a write; without an answer the lease stays as it was.
    pub fn handle_write_outcome(&mut self, outcome: Option<&RowOutcome>) {
        let Some(pending_write) = self.pending_write.take() else {
            return;
        };
        match outcome {
            Some(RowOutcome::Applied { revision }) => {
                self.held = Some(HeldLease {
                    fencing: pending_write.fencing,
                    ends: pending_write.sent + self.duration,
                    revision: *revision,
                });
            }
            Some(_) => self.held = None,
            None => {}
        }
    }

    /// Releases the lease, so that another host need not wait for it to expire.
    pub fn release(&mut self, own: (&HostId, Incarnation)) -> Option<StoreRequest> {
        let held = self.held.take()?;
        Some(self.put(own, held.fencing, held.revision, true))
    }

    /// Drops the lease after an engine reported the larger fencing number of a later holder.
    pub fn mark_lost(&mut self, highest: FencingNumber) {
        self.held = None;
        self.highest = self.highest.max(highest);
    }
}
