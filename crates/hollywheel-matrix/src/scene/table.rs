//! Simulated table service of the platform.

use hollywheel_store::{RowOutcome, StoreOp, StoreReply, StoreRequest, StoreRow};
use hollywheel_types::SortedMap;

/// The claim table.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: SortedMap<String, StoreRow>,
    revision: u64,
    txns: u64,
}

impl FakeTable {
    /// Returns the rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = &StoreRow> {
        self.rows.values()
    }

    /// Returns the number of transactions.
    pub const fn txns(&self) -> u64 {
        self.txns
    }

    /// Executes a call.
    pub fn call(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { keys, .. } => StoreReply::Rows {
                rows: keys
                    .iter()
                    .filter_map(|key| self.rows.get(key).cloned())
                    .collect(),
            },
            StoreRequest::Scan { after, limit, .. } => StoreReply::Rows {
                rows: self
                    .rows
                    .values()
                    .filter(|row| row.key > *after)
                    .take(usize::try_from(*limit).unwrap_or(usize::MAX))
                    .cloned()
                    .collect(),
            },
            StoreRequest::Txn { ops, .. } => {
                self.txns += 1;
                let outcomes = ops.iter().map(|op| self.write(op)).collect();
                StoreReply::Txn { outcomes }
            }
        }
    }

    fn write(&mut self, op: &StoreOp) -> RowOutcome {
        match op {
            StoreOp::Insert { key, value, .. } => self.put(key, value, Some(0)),
            StoreOp::Put {
                key,
                value,
                if_revision,
                ..
            } => self.put(key, value, *if_revision),
            StoreOp::Delete {
                key, if_revision, ..
            } => self.delete(key, *if_revision),
        }
    }

    fn put(&mut self, key: &str, value: &serde_json::Value, wanted: Option<u64>) -> RowOutcome {
        if let Some(conflict) = self.conflict(key, wanted) {
            return conflict;
        }
        self.revision += 1;
        let revision = self.revision;
        let row = StoreRow {
            key: key.to_owned(),
            value: value.clone(),
            revision,
        };
        self.rows.insert(key.to_owned(), row);
        RowOutcome::Applied { revision }
    }

    fn delete(&mut self, key: &str, wanted: Option<u64>) -> RowOutcome {
        if let Some(conflict) = self.conflict(key, wanted) {
            return conflict;
        }
        self.rows.remove(key);
        RowOutcome::Applied { revision: 0 }
    }

    fn conflict(&self, key: &str, wanted: Option<u64>) -> Option<RowOutcome> {
        let current = self.rows.get(key);
        let revision = current.map_or(0, |row| row.revision);
        let differs = wanted.is_some_and(|wanted| wanted != revision);
        differs.then(|| RowOutcome::Conflict {
            current: current.cloned(),
        })
    }
}
