//! A simulation of sweeps over an in-memory table service, in virtual time.
#![allow(dead_code)]

use std::time::Duration;

use hollywheel_claims::{ClaimRow, ClaimState};
use hollywheel_retention::{
    RetentionInput, RetentionMachine, RetentionOutput, RetentionSettings, RetentionTicket,
};
use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, Incarnation, MonoTime, RequestId, SortedMap,
    WallTime,
};
use serde_json::Value;

/// The wall-clock time at the start, in milliseconds.
pub const START: u64 = 1_800_000_000_000;
pub const HOUR: u64 = 3_600_000;
const STEP: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub struct FakeTableService {
    /// The rows, grouped by table and the key up to its first slash, which keeps inserts cheap.
    groups: SortedMap<(TableName, String), SortedMap<String, (Value, u64)>>,
    revision: u64,
    len: usize,
}

fn group_of(table: TableName, key: &str) -> (TableName, String) {
    let end = key.find('/').map_or(key.len(), |at| at + 1);
    (table, key[..end].to_owned())
}

impl FakeTableService {
    pub fn row(&self, table: TableName, key: &str) -> Option<StoreRow> {
        let group = self.groups.get(&group_of(table, key))?;
        let (value, revision) = group.get(key)?;
        Some(StoreRow {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        })
    }

    pub fn keys(&self, table: TableName) -> Vec<String> {
        self.rows_from(table, "")
            .map(|(key, _)| key.clone())
            .collect()
    }

    pub const fn len(&self) -> usize {
        self.len
    }

    /// Iterates over the rows of a table in the order of their keys, starting with the group of a
    /// key.
    fn rows_from(
        &self,
        table: TableName,
        from: &str,
    ) -> impl Iterator<Item = (&String, &(Value, u64))> {
        let first = group_of(table, from);
        let groups = self.groups.iter();
        let groups = groups.skip_while(move |(group, _)| **group < first);
        let groups = groups.take_while(move |((t, _), _)| *t == table);
        groups.flat_map(|(_, rows)| rows.iter())
    }

    pub fn call(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { table, keys } => StoreReply::Rows {
                rows: keys.iter().filter_map(|k| self.row(*table, k)).collect(),
            },
            StoreRequest::Scan {
                table,
                prefix,
                after,
                limit,
            } => {
                let rows = self
                    .rows_from(*table, after.max(prefix))
                    .skip_while(|(key, _)| *key < prefix)
                    .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                    .filter(|(key, _)| after.is_empty() || *key > after)
                    .take(*limit as usize)
                    .map(|(key, (value, revision))| StoreRow {
                        key: key.clone(),
                        value: value.clone(),
                        revision: *revision,
                    })
                    .collect();
                StoreReply::Rows { rows }
            }
            StoreRequest::Txn { mode, ops } => StoreReply::Txn {
                outcomes: self.run(*mode, ops),
            },
        }
    }

    fn run(&mut self, mode: TxnMode, ops: &[StoreOp]) -> Vec<RowOutcome> {
        assert!(ops.len() <= 128, "{} operations", ops.len());
        let conflict = |store: &Self| ops.iter().any(|op| store.conflict(op).is_some());
        if mode == TxnMode::Atomic && conflict(self) {
            let outcome = |op| self.conflict(op).unwrap_or(RowOutcome::Skipped);
            return ops.iter().map(outcome).collect();
        }
        ops.iter().map(|op| self.apply(op)).collect()
    }

    fn conflict(&self, op: &StoreOp) -> Option<RowOutcome> {
        let (table, key, required) = match op {
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
        let current = self.row(*table, key);
        let revision = current.as_ref().map_or(0, |row| row.revision);
        required
            .is_some_and(|required| required != revision)
            .then_some(RowOutcome::Conflict { current })
    }

    pub fn apply(&mut self, op: &StoreOp) -> RowOutcome {
        if let Some(conflict) = self.conflict(op) {
            return conflict;
        }
        self.revision += 1;
        let revision = self.revision;
        match op {
            StoreOp::Insert { table, key, value }
            | StoreOp::Put {
                table, key, value, ..
            } => {
                let row = (value.clone(), revision);
                let group = group_of(*table, key);
                let group = self.groups.get_or_insert_with(group, SortedMap::new);
                if group.insert(key.clone(), row).is_none() {
                    self.len += 1;
                }
            }
            StoreOp::Delete { table, key, .. } => {
                let group = self.groups.get_mut(&group_of(*table, key));
                if group.and_then(|group| group.remove(key)).is_some() {
                    self.len -= 1;
                }
            }
        }
        RowOutcome::Applied { revision }
    }

    pub fn put(&mut self, table: TableName, key: &str, value: Value) {
        self.apply(&StoreOp::Put {
            table,
            key: key.to_owned(),
            value,
            if_revision: None,
        });
    }
}

/// Returns the stored value of a claim.
pub fn claim(state: ClaimState, verdict: ExecutionVerdict, claimed_at: u64) -> Value {
    ClaimRow {
        nonce: AttemptNonce(1),
        host: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        request: RequestId(1),
        digest: BodyDigest(1),
        claimed_at: WallTime(claimed_at),
        state,
        verdict,
        output: Some("paid".to_owned()),
    }
    .to_value()
}

/// The fault injected into a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    Refused,
    /// The call has no effect and gets no answer.
    Lost,
    /// The call takes effect but gets no answer.
    AnswerLost,
    /// The call takes effect and gets its answer after the time-out.
    Late,
}

struct Answer {
    at: MonoTime,
    host: usize,
    ticket: RetentionTicket,
    result: Result<StoreReply, StoreFailure>,
}

pub struct Simulation {
    pub store: FakeTableService,
    pub machines: Vec<RetentionMachine>,
    pub now: MonoTime,
    pub reads: u64,
    pub writes: u64,
    pub removed: u64,
    pub passes: u64,
    pub config_kept: u64,
    pub calls: Vec<StoreRequest>,
    answers: Vec<Answer>,
}

pub fn settings(host: &str) -> RetentionSettings {
    RetentionSettings {
        host: host.parse().unwrap(),
        start_delay: Duration::ZERO,
        ..RetentionSettings::default()
    }
}

impl Simulation {
    /// Starts a sweep on each host; each considers itself the only one alive.
    pub fn new(settings: &[RetentionSettings]) -> Self {
        let mut simulation = Self {
            store: FakeTableService::default(),
            machines: Vec::new(),
            now: MonoTime(0),
            reads: 0,
            writes: 0,
            removed: 0,
            passes: 0,
            config_kept: 0,
            calls: Vec::new(),
            answers: Vec::new(),
        };
        for settings in settings {
            let mut machine = RetentionMachine::new(settings.clone());
            let hosts = vec![settings.host.clone()];
            assert_eq!(
                machine.handle(simulation.now, RetentionInput::Hosts(hosts)),
                []
            );
            simulation.machines.push(machine);
        }
        simulation
    }

    pub fn wall(&self) -> WallTime {
        WallTime(START + self.now.0 / 1000)
    }

    /// Advances the time by one step.
    pub fn step(&mut self, fault: &mut impl FnMut(MonoTime, &StoreRequest) -> Fault) {
        self.now = self.now + STEP;
        for host in 0..self.machines.len() {
            let due = self.machines[host].next_wake();
            if due.is_some_and(|due| due <= self.now) {
                let tick = RetentionInput::Tick(self.wall());
                self.input(host, tick, fault);
            }
        }
        let due = |answer: &Answer| answer.at <= self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(due);
        self.answers = later;
        for Answer {
            host,
            ticket,
            result,
            ..
        } in due
        {
            self.input(host, RetentionInput::Store { ticket, result }, fault);
        }
    }

    pub fn run(
        &mut self,
        span: Duration,
        fault: &mut impl FnMut(MonoTime, &StoreRequest) -> Fault,
    ) {
        let until = self.now + span;
        while self.now < until {
            self.step(fault);
        }
    }

    fn input(
        &mut self,
        host: usize,
        input: RetentionInput,
        fault: &mut impl FnMut(MonoTime, &StoreRequest) -> Fault,
    ) {
        for output in self.machines[host].handle(self.now, input) {
            match output {
                RetentionOutput::Store { ticket, request } => {
                    let fault = fault(self.now, &request);
                    self.call(host, ticket, request, fault);
                }
                RetentionOutput::Removed {
                    claims,
                    config_rows,
                } => self.removed += claims + config_rows,
                RetentionOutput::PassEnded { .. } => self.passes += 1,
                RetentionOutput::ConfigKept(_) => self.config_kept += 1,
            }
        }
    }

    fn call(&mut self, host: usize, ticket: RetentionTicket, request: StoreRequest, fault: Fault) {
        match request {
            StoreRequest::Txn { .. } => self.writes += 1,
            _ => self.reads += 1,
        }
        let retry_after = Duration::from_secs(1);
        let (result, millis) = match fault {
            Fault::None => (Ok(self.store.call(&request)), 20),
            Fault::Refused => (Err(StoreFailure::Refused { retry_after }), 20),
            Fault::Lost => (Err(StoreFailure::Unknown), 20),
            Fault::AnswerLost => {
                self.store.call(&request);
                (Err(StoreFailure::Unknown), 20)
            }
            Fault::Late => (Ok(self.store.call(&request)), 7000),
        };
        self.calls.push(request);
        self.answers.push(Answer {
            at: self.now + Duration::from_millis(millis),
            host,
            ticket,
            result,
        });
    }
}

/// Fills the claim table with rows of every kind and returns the keys that must be kept.
pub fn fill_claims(store: &mut FakeTableService, count: u64) -> Vec<String> {
    use ClaimState::{Open, Released, Settled};
    use ExecutionVerdict::{MayHaveRun, NotRun, Ran};
    let old = START - 169 * HOUR;
    let recent = START - 160 * HOUR;
    let kinds = [
        ("old-ran", claim(Settled, Ran, old), false),
        ("old-released", claim(Released, NotRun, old), false),
        ("old-open", claim(Open, MayHaveRun, old), true),
        ("old-unsure", claim(Settled, MayHaveRun, old), true),
        ("old-not-run", claim(Settled, NotRun, old), true),
        ("young-ran", claim(Settled, Ran, recent), true),
        ("young-released", claim(Released, NotRun, recent), true),
        ("future-ran", claim(Settled, Ran, START + 999 * HOUR), true),
        ("strange", Value::from("no claim"), true),
    ];
    let mut expected_keys = Vec::new();
    for at in 0..count {
        for (name, value, is_kept) in &kinds {
            let key = format!("w-{:03}/{name}-{at}", at % 97);
            store.put(TableName::Claim, &key, value.clone());
            if *is_kept {
                expected_keys.push(key);
            }
        }
    }
    expected_keys.sort();
    expected_keys
}
