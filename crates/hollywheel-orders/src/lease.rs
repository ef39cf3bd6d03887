//! The lease on a pool: a row with a fencing number.

use std::time::Duration;

use hollywheel_store::{RowOutcome, StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{FencingNumber, HostId, Incarnation, MonoTime, PoolId};
use serde::{Deserialize, Serialize};

/// Holds the row of a lease. It holds no time: who waits for its end measures that alone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LeaseRow {
    /// The holder.
    pub host: HostId,
    /// The process of the holder.
    pub incarnation: Incarnation,
    /// The number of the holder.
    pub fencing: FencingNumber,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// Holds a lease that this process was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    /// The number.
    pub fencing: FencingNumber,
    /// When it ends: a span after the write that granted it was sent, not after it was answered.
    pub ends: MonoTime,
    revision: u64,
}

/// Remembers the row of another holder and since when it has not changed.
#[derive(Clone, Copy, Debug)]
struct SeenLease {
    revision: u64,
    since: MonoTime,
}

/// Follows the lease on one pool.
#[derive(Debug)]
pub(crate) struct PoolLease {
    pool: PoolId,
    span: Duration,
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    writing: Option<LeaseWrite>,
    /// The largest number that an engine has stated.
    highest: FencingNumber,
}

#[derive(Clone, Copy, Debug)]
struct LeaseWrite {
    sent: MonoTime,
    fencing: FencingNumber,
}

/// Says how the lease goes on after a read.
#[derive(Debug)]
pub(crate) enum LeaseStep {
    /// With a write.
    Write(StoreRequest),
    /// Another process holds it.
    Wait,
}

impl PoolLease {
    /// Creates a lease that is not held.
    pub const fn new(pool: PoolId, span: Duration) -> Self {
        Self {
            pool,
            span,
            held: None,
            seen: None,
            writing: None,
            highest: FencingNumber(0),
        }
    }

    /// Returns the lease if it lasts for a margin longer.
    pub fn valid(&self, now: MonoTime, margin: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now + margin < held.ends)
    }

    /// Says whether the row may still name this process.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    fn key(&self) -> String {
        format!("orders/{}", self.pool)
    }

    /// Returns the call that reads the row.
    pub fn read(&self) -> StoreRequest {
        StoreRequest::Read {
            table: TableName::Lease,
            keys: vec![self.key()],
        }
    }

    /// Takes the row and says whether it may be written.
    pub fn take_row(
        &mut self,
        now: MonoTime,
        own: (&HostId, Incarnation),
        rows: &[StoreRow],
    ) -> LeaseStep {
        let Some(row) = rows.first() else {
            return self.write(now, own, None);
        };
        let Ok(lease) = LeaseRow::deserialize(&row.value) else {
            // The numbers of engines still protect those that check; for others the row must be
            // repaired first.
            return LeaseStep::Wait;
        };
        let ours = lease.host == *own.0 && lease.incarnation == own.1;
        let same = self.seen.filter(|seen| seen.revision == row.revision);
        let seen = same.unwrap_or(SeenLease {
            revision: row.revision,
            since: now,
        });
        self.seen = Some(seen);
        let ended = now.since(seen.since) > self.span;
        if ours || lease.released || ended {
            return self.write(now, own, Some((row.revision, lease, ours)));
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
        // An engine that has seen a larger number would refuse a smaller one.
        let fencing = if fencing < self.highest {
            self.highest.next()
        } else {
            fencing
        };
        self.writing = Some(LeaseWrite { sent: now, fencing });
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
                value: serde_json::to_value(&row).expect("rows hold only writable fields"),
                if_revision: Some(revision),
            }],
        }
    }

    /// Takes what became of a write; without an answer the lease is as it was before.
    pub fn take_outcome(&mut self, outcome: Option<&RowOutcome>) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        match outcome {
            Some(RowOutcome::Applied { revision }) => {
                self.held = Some(HeldLease {
                    fencing: writing.fencing,
                    ends: writing.sent + self.span,
                    revision: *revision,
                });
            }
            Some(_) => self.held = None,
            None => {}
        }
    }

    /// Gives the lease up, so that another host need not wait for its end.
    pub fn release(&mut self, own: (&HostId, Incarnation)) -> Option<StoreRequest> {
        let held = self.held.take()?;
        Some(self.put(own, held.fencing, held.revision, true))
    }

    /// Drops the lease, since an engine has seen a later holder.
    pub fn lose(&mut self, highest: FencingNumber) {
        self.held = None;
        self.highest = self.highest.max(highest);
    }
}
