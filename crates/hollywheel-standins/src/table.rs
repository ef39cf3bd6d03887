//! Tables of the platform.

use hollywheel_store::{RowOutcome, StoreOp, StoreRow, TableName, TxnMode};
use hollywheel_types::SortedMap;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of operations in a transaction.
pub(crate) const TXN_OPS: usize = 128;

/// Maximum number of keys in a read.
pub(crate) const READ_KEYS: usize = 128;

/// Maximum number of rows in a scan.
pub(crate) const SCAN_ROWS: u32 = 1000;

/// Maximum number of rows in all tables; transactions above it are refused as not run.
pub(crate) const MAX_ROWS: usize = 1_000_000;

#[derive(Clone, Debug, Serialize)]
struct RowState {
    value: Value,
    revision: u64,
}

/// Previous state of a row, to undo a failed atomic transaction.
struct UndoEntry {
    table: TableName,
    key: String,
    before: Option<RowState>,
}

/// All tables. Revisions increase across all rows, also if a deleted row is inserted again.
#[derive(Debug, Default, Serialize)]
pub(crate) struct TableSpace {
    tables: SortedMap<TableName, SortedMap<String, RowState>>,
    revision: u64,
}

impl TableSpace {
    pub(crate) fn rows(&self) -> usize {
        self.tables.values().map(SortedMap::len).sum()
    }

    pub(crate) fn read(&self, table: TableName, keys: &[String]) -> Vec<StoreRow> {
        let mut keys: Vec<&String> = keys.iter().collect();
        keys.sort();
        keys.dedup();
        keys.into_iter()
            .filter_map(|key| self.row(table, key))
            .collect()
    }

    pub(crate) fn scan(
        &self,
        table: TableName,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Vec<StoreRow> {
        let limit = limit.min(SCAN_ROWS) as usize;
        let rows = self
            .tables
            .get(&table)
            .into_iter()
            .flat_map(SortedMap::iter);
        rows.filter(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .take(limit)
            .map(|(key, state)| store_row(key, state))
            .collect()
    }

    /// Executes a transaction.
    pub(crate) fn run(&mut self, mode: TxnMode, ops: &[StoreOp]) -> Vec<RowOutcome> {
        let mut undo = Vec::new();
        let mut outcomes: Vec<RowOutcome> = ops
            .iter()
            .map(|operation| self.apply(operation, &mut undo))
            .collect();
        let conflict = |outcome: &RowOutcome| matches!(outcome, RowOutcome::Conflict { .. });
        if mode == TxnMode::Atomic && outcomes.iter().any(conflict) {
            self.undo(undo);
            for outcome in outcomes.iter_mut().filter(|outcome| !conflict(outcome)) {
                *outcome = RowOutcome::Skipped;
            }
        }
        outcomes
    }

    fn undo(&mut self, entries: Vec<UndoEntry>) {
        for entry in entries.into_iter().rev() {
            let rows = self.tables.get_or_insert_with(entry.table, SortedMap::new);
            match entry.before {
                Some(state) => rows.insert(entry.key, state),
                None => rows.remove(&entry.key),
            };
        }
    }

    fn apply(&mut self, operation: &StoreOp, undo: &mut Vec<UndoEntry>) -> RowOutcome {
        let (table, key, value, required) = match operation {
            StoreOp::Insert { table, key, value } => (*table, key, Some(value), Some(0)),
            StoreOp::Put {
                table,
                key,
                value,
                if_revision,
            } => (*table, key, Some(value), *if_revision),
            StoreOp::Delete {
                table,
                key,
                if_revision,
            } => (*table, key, None, *if_revision),
        };
        let current = self.row(table, key);
        let revision = current.as_ref().map_or(0, |row| row.revision);
        if required.is_some_and(|required| required != revision) {
            return RowOutcome::Conflict { current };
        }
        self.set(table, key, value, undo)
    }

    fn set(
        &mut self,
        table: TableName,
        key: &str,
        value: Option<&Value>,
        undo: &mut Vec<UndoEntry>,
    ) -> RowOutcome {
        self.revision += 1;
        let revision = self.revision;
        let rows = self.tables.get_or_insert_with(table, SortedMap::new);
        let before = match value.cloned() {
            Some(value) => rows.insert(key.to_owned(), RowState { value, revision }),
            None => rows.remove(key),
        };
        undo.push(UndoEntry {
            table,
            key: key.to_owned(),
            before,
        });
        RowOutcome::Applied { revision }
    }

    fn row(&self, table: TableName, key: &str) -> Option<StoreRow> {
        let state = self.tables.get(&table)?.get(key)?;
        Some(store_row(key, state))
    }
}

fn store_row(key: &str, state: &RowState) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: state.value.clone(),
        revision: state.revision,
    }
}
