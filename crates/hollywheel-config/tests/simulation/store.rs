//! A table service in memory, with faults.

use hollywheel_types::SortedMap;
use std::time::Duration;

use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};

#[derive(Default)]
pub struct FakeStore {
    pub rows: SortedMap<(TableName, String), StoreRow>,
    pub down: bool,
    pub latency: Duration,
    /// The next so many writes take effect, but their answers are lost.
    pub lost_replies: u32,
    /// The next so many writes take effect only after a time, and their answers are lost.
    pub delayed_writes: u32,
    pub reads: u64,
    pub writes: u64,
    pub revision: u64,
}

/// What a call comes to.
pub enum CallOutcome {
    Reply(Result<StoreReply, StoreFailure>),
    ReplyLost,
    /// The write takes effect later.
    Delayed,
}

impl FakeStore {
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
                .filter(|((of, key), _)| of == table && key.starts_with(prefix) && key > after)
                .take(usize::try_from(*limit).unwrap())
                .map(|(_, row)| row.clone())
                .collect(),
            StoreRequest::Txn { .. } => Vec::new(),
        };
        StoreReply::Rows { rows }
    }

    fn conflict(&self, op: &StoreOp) -> Option<RowOutcome> {
        let (table, key, wanted) = match op {
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
        let fails = wanted.is_some_and(|wanted| wanted != revision);
        fails.then_some(RowOutcome::Conflict { current })
    }

    pub fn apply(&mut self, mode: TxnMode, ops: &[StoreOp]) -> StoreReply {
        assert_eq!(mode, TxnMode::Atomic);
        let conflicts: Vec<_> = ops.iter().map(|op| self.conflict(op)).collect();
        if conflicts.iter().any(Option::is_some) {
            let skip = |outcome: Option<_>| outcome.unwrap_or(RowOutcome::Skipped);
            let outcomes = conflicts.into_iter().map(skip).collect();
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
