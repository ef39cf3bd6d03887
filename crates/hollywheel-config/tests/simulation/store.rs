//! An in-memory table service with fault injection.

use hollywheel_types::SortedMap;
use std::time::Duration;

use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};

/// Executes transactions in memory and injects the faults that a test sets.
#[derive(Default)]
pub struct FakeStore {
    pub rows: SortedMap<(TableName, String), StoreRow>,
    /// Whether every call is rejected.
    pub down: bool,
    /// The time after which a call is answered.
    pub latency: Duration,
    /// The number of coming writes that take effect but whose replies are lost.
    pub lost_replies: u32,
    /// The number of coming writes that take effect only after a delay, and whose replies are lost.
    pub delayed_writes: u32,
    /// The number of read calls.
    pub reads: u64,
    /// The number of write calls.
    pub writes: u64,
    /// The revision of the last row that was written.
    pub revision: u64,
}

/// The outcome of a call.
pub enum CallOutcome {
    /// The caller gets this result.
    Reply(Result<StoreReply, StoreFailure>),
    /// The write took effect, but its reply is lost.
    ReplyLost,
    /// The write takes effect after a delay, and its reply is lost.
    Delayed,
}

impl FakeStore {
    /// Executes a call, or a fault in its place.
    pub fn call(&mut self, request: &StoreRequest) -> CallOutcome {
        if self.down {
            let retry_after = Duration::from_secs(1);
            return CallOutcome::Reply(Err(StoreFailure::Refused { retry_after }));
        }
        match request {
            StoreRequest::Txn { mode, ops } => self.write(*mode, ops),
            _ => {
                self.reads += 1;
                CallOutcome::Reply(Ok(self.read(request)))
            }
        }
    }

    fn write(&mut self, mode: TxnMode, ops: &[StoreOp]) -> CallOutcome {
        self.writes += 1;
        assert!(ops.len() <= 128, "{} operations", ops.len());
        if self.delayed_writes > 0 {
            self.delayed_writes -= 1;
            return CallOutcome::Delayed;
        }
        let reply = self.apply(mode, ops);
        if self.lost_replies > 0 {
            self.lost_replies -= 1;
            return CallOutcome::ReplyLost;
        }
        CallOutcome::Reply(Ok(reply))
    }

    fn read(&self, request: &StoreRequest) -> StoreReply {
        let rows = match request {
            StoreRequest::Read { table, keys } => keys
                .iter()
                .filter_map(|key| self.rows.get(&(*table, key.clone())).cloned())
                .collect(),
            StoreRequest::Scan {
                table,
                prefix,
                after,
                limit,
            } => self
                .rows
                .iter()
                .filter(|((row_table, key), _)| {
                    row_table == table && key.starts_with(prefix) && key > after
                })
                .take(usize::try_from(*limit).unwrap())
                .map(|(_, row)| row.clone())
                .collect(),
            StoreRequest::Txn { .. } => Vec::new(),
        };
        StoreReply::Rows { rows }
    }

    /// Returns the conflict that an operation meets, if any.
    fn conflict(&self, op: &StoreOp) -> Option<RowOutcome> {
        let (table, key, expected_revision) = match op {
            StoreOp::Insert { table, key, .. } => (table, key, Some(0)),
            StoreOp::Put {
                table,
                key,
                if_revision,
                ..
            }
            | StoreOp::Delete {
                table,
                key,
                if_revision,
            } => (table, key, *if_revision),
        };
        let current = self.rows.get(&(*table, key.clone())).cloned();
        let revision = current.as_ref().map_or(0, |row| row.revision);
        let is_conflict = expected_revision.is_some_and(|expected| expected != revision);
        is_conflict.then_some(RowOutcome::Conflict { current })
    }

    /// Applies every operation of a transaction, or none if one meets a conflict.
    pub fn apply(&mut self, mode: TxnMode, ops: &[StoreOp]) -> StoreReply {
        assert_eq!(mode, TxnMode::Atomic);
        let conflicts: Vec<_> = ops.iter().map(|op| self.conflict(op)).collect();
        if conflicts.iter().any(Option::is_some) {
            let conflict_or_skipped = |outcome: Option<_>| outcome.unwrap_or(RowOutcome::Skipped);
            let outcomes = conflicts.into_iter().map(conflict_or_skipped).collect();
            return StoreReply::Txn { outcomes };
        }
        let outcomes = ops.iter().map(|op| self.apply_op(op)).collect();
        StoreReply::Txn { outcomes }
    }

    fn apply_op(&mut self, op: &StoreOp) -> RowOutcome {
        self.revision += 1;
        let revision = self.revision;
        match op {
            StoreOp::Insert { table, key, value }
            | StoreOp::Put {
                table, key, value, ..
            } => {
                let row = StoreRow {
                    key: key.clone(),
                    value: value.clone(),
                    revision,
                };
                self.rows.insert((*table, key.clone()), row);
            }
            StoreOp::Delete { table, key, .. } => {
                self.rows.remove(&(*table, key.clone()));
            }
        }
        RowOutcome::Applied { revision }
    }
}
