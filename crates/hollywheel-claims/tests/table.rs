//! Claims of several hosts on one table, and the bounds of one host's claims.

use std::time::Duration;

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use hollywheel_claims::{
    ClaimDenial, ClaimKey, ClaimOutput, ClaimRequest, ClaimRow, ClaimSettings, ClaimState,
    ClaimTable, ClaimTicket, list_request, parse_claim_key, resolve_request,
};
use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TableName,
};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ByteSize, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId,
    SortedMap, WallTime,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[derive(Default)]
struct FakeStore {
    rows: SortedMap<String, StoreRow>,
    revision: u64,
}

impl FakeStore {
    fn call(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { keys, .. } => StoreReply::Rows {
                rows: keys
                    .iter()
                    .filter_map(|key| self.rows.get(key).cloned())
                    .collect(),
            },
            StoreRequest::Scan { .. } => StoreReply::Rows { rows: Vec::new() },
            StoreRequest::Txn { ops, .. } => StoreReply::Txn {
                outcomes: ops.iter().map(|op| self.write(op)).collect(),
            },
        }
    }

    fn write(&mut self, op: &StoreOp) -> RowOutcome {
        let (key, value, wanted) = match op {
            StoreOp::Insert { key, value, .. } => (key, value, Some(0)),
            StoreOp::Put {
                key,
                value,
                if_revision,
                ..
            } => (key, value, *if_revision),
            StoreOp::Delete { .. } => panic!("no row is deleted"),
        };
        let current = self.rows.get(key).cloned();
        let revision = current.as_ref().map_or(0, |row| row.revision);
        if wanted != Some(revision) {
            return RowOutcome::Conflict { current };
        }
        self.revision += 1;
        let revision = self.revision;
        let row = StoreRow {
            key: key.clone(),
            value: value.clone(),
            revision,
        };
        self.rows.insert(key.clone(), row);
        RowOutcome::Applied { revision }
    }
}

fn host_id(host: usize) -> HostId {
    format!("entry-{host}").parse().unwrap()
}

fn claim_key(number: u8) -> ClaimKey {
    ClaimKey {
        workspace: "clerks".parse().unwrap(),
        key: format!("k{number}").parse().unwrap(),
    }
}

fn order(request: u128, key: u8, now: MonoTime) -> ClaimRequest {
    ClaimRequest {
        request: RequestId(request),
        key: claim_key(key),
        digest: BodyDigest(1),
        nonce: AttemptNonce(request),
        claimed_at: WallTime(5),
        deadline: now + Duration::from_secs(3),
    }
}

/// One step of a random history. Numbers are taken modulo what there is.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    Claim {
        host: u8,
        key: u8,
    },
    Withdraw {
        pick: u8,
    },
    Finish {
        pick: u8,
        ran: bool,
    },
    /// Answers a call: normally, lost after its effect, refused, or with a late effect.
    Store {
        pick: u8,
        way: u8,
    },
    LateEffect {
        pick: u8,
    },
    Peer {
        pick: u8,
        reached: bool,
    },
    Pass {
        millis: u8,
    },
}

/// Runs claims of three hosts and watches who may run.
struct History {
    now: MonoTime,
    store: FakeStore,
    tables: Vec<ClaimTable>,
    calls: Vec<(usize, ClaimTicket, StoreRequest)>,
    late: Vec<StoreRequest>,
    questions: Vec<(usize, ClaimTicket, usize, hollywheel_claims::ClaimQuestion)>,
    waiting: Vec<(usize, RequestId)>,
    running: Vec<(usize, RequestId, u8)>,
    keys: SortedMap<RequestId, u8>,
    ran: SortedMap<u8, ()>,
    next: u128,
}

impl History {
    fn new() -> Self {
        let tables = (0..3).map(|host| {
            let mut table = ClaimTable::new(ClaimSettings {
                host: host_id(host),
                ..ClaimSettings::default()
            });
            table.set_peers((0..3).map(|peer| (host_id(peer), Incarnation(1))));
            table
        });
        Self {
            now: MonoTime(0),
            store: FakeStore::default(),
            tables: tables.collect(),
            calls: Vec::new(),
            late: Vec::new(),
            questions: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            keys: SortedMap::new(),
            ran: SortedMap::new(),
            next: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim { host, key } => self.claim(usize::from(host) % 3, key % 2),
            Step::Withdraw { pick } => {
                if let Some((host, request)) = take(&mut self.waiting, pick) {
                    let outputs = self.tables[host].withdraw(self.now, request);
                    self.carry_out(host, outputs);
                }
            }
            Step::Finish { pick, ran } => self.finish(pick, ran),
            Step::Store { pick, way } => self.answer(pick, way),
            Step::LateEffect { pick } => {
                if let Some(request) = take(&mut self.late, pick) {
                    self.store.call(&request);
                }
            }
            Step::Peer { pick, reached } => self.peer(pick, reached),
            Step::Pass { millis } => self.pass(u64::from(millis) * 4),
        }
    }

    fn claim(&mut self, host: usize, key: u8) {
        self.next += 1;
        let request = RequestId(self.next);
        self.keys.insert(request, key);
        self.waiting.push((host, request));
        let outputs = self.tables[host].claim(self.now, order(self.next, key, self.now));
        self.carry_out(host, outputs);
    }

    fn finish(&mut self, pick: u8, ran: bool) {
        let Some((host, request, key)) = take(&mut self.running, pick) else {
            return;
        };
        let verdict = match ran {
            true => ExecutionVerdict::Ran,
            false => ExecutionVerdict::NotRun,
        };
        if ran {
            self.ran.insert(key, ());
        }
        let output = ran.then(|| "done".to_owned());
        let outputs = self.tables[host].finish(self.now, request, verdict, output);
        self.carry_out(host, outputs);
    }

    fn answer(&mut self, pick: u8, way: u8) {
        let Some((host, ticket, request)) = take(&mut self.calls, pick) else {
            return;
        };
        let result = match way % 8 {
            5 => {
                self.store.call(&request);
                Err(StoreFailure::Unknown)
            }
            6 => {
                self.late.push(request);
                Err(StoreFailure::Unknown)
            }
            7 => Err(StoreFailure::Refused {
                retry_after: Duration::from_millis(20),
            }),
            _ => Ok(self.store.call(&request)),
        };
        let outputs = self.tables[host].store_answered(self.now, ticket, &result);
        self.carry_out(host, outputs);
    }

    fn peer(&mut self, pick: u8, reached: bool) {
        let Some((asker, ticket, target, question)) = take(&mut self.questions, pick) else {
            return;
        };
        let answer = reached.then(|| self.tables[target].host_asks(&question));
        let outputs = self.tables[asker].host_answered(self.now, ticket, answer);
        self.carry_out(asker, outputs);
    }

    fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        for host in 0..3 {
            while let Some(wake) = self.tables[host].next_wake().filter(|wake| *wake <= end) {
                let outputs = self.tables[host].tick(wake.max(self.now));
                self.carry_out(host, outputs);
            }
        }
        self.now = end;
    }

    fn carry_out(&mut self, host: usize, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Store { ticket, request } => self.calls.push((host, ticket, request)),
                ClaimOutput::AskHost {
                    ticket,
                    host: target,
                    question,
                    ..
                } => {
                    let target = (0..3).find(|at| host_id(*at) == target).unwrap();
                    self.questions.push((host, ticket, target, question));
                }
                ClaimOutput::Granted { request } => self.granted(host, request),
                ClaimOutput::Replayed { request, .. } => {
                    assert!(self.ran.contains_key(self.keys.get(&request).unwrap()));
                    self.end_waiting(request);
                }
                ClaimOutput::Denied { request, .. } => self.end_waiting(request),
            }
        }
    }

    fn granted(&mut self, host: usize, request: RequestId) {
        let key = *self.keys.get(&request).unwrap();
        assert!(!self.ran.contains_key(&key), "granted after it ran");
        let twice = self.running.iter().any(|(_, _, other)| *other == key);
        assert!(!twice, "granted twice at once");
        self.end_waiting(request);
        self.running.push((host, request, key));
    }

    fn end_waiting(&mut self, request: RequestId) {
        let before = self.waiting.len();
        self.waiting.retain(|(_, waiting)| *waiting != request);
        assert_eq!(self.waiting.len() + 1, before, "decided twice");
    }

    /// Lets everything end without further faults.
    fn settle(&mut self) {
        while !self.running.is_empty() {
            self.finish(0, true);
        }
        for _ in 0..400 {
            while !self.calls.is_empty() {
                self.answer(0, 0);
            }
            while !self.questions.is_empty() {
                self.peer(0, true);
            }
            while !self.running.is_empty() {
                self.finish(0, true);
            }
            self.pass(50);
        }
        assert!(self.waiting.is_empty(), "{:?} wait for ever", self.waiting);
        assert!(self.tables.iter().all(ClaimTable::is_settled));
    }
}

fn take<T>(list: &mut Vec<T>, pick: u8) -> Option<T> {
    match list.len() {
        0 => None,
        len => Some(list.remove(usize::from(pick) % len)),
    }
}

/// The seeds are fixed, so that every run gives the same verdict.
#[test]
fn key_is_granted_to_one_request_at_a_time_and_never_after_it_ran() {
    let generator = bolero::produce::<Vec<Step>>().with().len(1..120usize);
    for seed in 0..2000 {
        let mut bytes = vec![0; 1024];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let steps = generator.generate(&mut driver).expect("enough bytes");
        let mut history = History::new();
        steps.into_iter().for_each(|step| history.step(step));
        history.settle();
    }
}

fn grant(table: &mut ClaimTable, store: &mut FakeStore, request: u128, now: MonoTime) {
    let outputs = table.claim(now, order(request, u8::try_from(request).unwrap(), now));
    answer_all(table, store, outputs, now);
}

fn answer_all(
    table: &mut ClaimTable,
    store: &mut FakeStore,
    outputs: Vec<ClaimOutput>,
    now: MonoTime,
) {
    for output in outputs {
        if let ClaimOutput::Store { ticket, request } = output {
            let reply = Ok(store.call(&request));
            table.store_answered(now, ticket, &reply);
        }
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn oldest_result_is_forgotten_at_the_bound() {
    let mut store = FakeStore::default();
    let mut table = ClaimTable::new(ClaimSettings {
        max_unwritten: 2,
        ..ClaimSettings::default()
    });
    for request in 1..=4 {
        let now = at(u64::try_from(request).unwrap() * 30);
        grant(&mut table, &mut store, request, now);
    }
    for request in 1..=4 {
        let outputs = table.finish(at(125), RequestId(request), ExecutionVerdict::Ran, None);
        assert!(outputs.is_empty());
    }
    assert_eq!((table.open_claims(), table.forgotten()), (2, 2));
}

#[test]
fn large_answer_is_settled_without_its_text() {
    let mut store = FakeStore::default();
    let mut table = ClaimTable::new(ClaimSettings {
        max_answer: ByteSize(4),
        ..ClaimSettings::default()
    });
    grant(&mut table, &mut store, 1, at(0));
    let output = Some("12345".to_owned());
    table.finish(at(50), RequestId(1), ExecutionVerdict::Ran, output);
    let outputs = table.claim(at(60), order(2, 1, at(60)));
    let denial = ClaimDenial::Taken(ExecutionVerdict::Ran);
    let request = RequestId(2);
    assert_eq!(outputs, vec![ClaimOutput::Denied { request, denial }]);
}

#[test]
fn outage_of_a_minute_costs_few_calls() {
    let mut table = ClaimTable::new(ClaimSettings::default());
    let mut store = FakeStore::default();
    grant(&mut table, &mut store, 1, at(0));
    table.finish(at(10), RequestId(1), ExecutionVerdict::Ran, None);
    let mut calls = 0;
    while let Some(wake) = table.next_wake().filter(|wake| *wake < at(60_000)) {
        for output in table.tick(wake) {
            let ClaimOutput::Store { ticket, .. } = output else {
                panic!("expected a call, not {output:?}");
            };
            calls += 1;
            let retry_after = Duration::from_millis(100);
            table.store_answered(wake, ticket, &Err(StoreFailure::Refused { retry_after }));
        }
    }
    assert!((30..40).contains(&calls), "{calls} calls");
    assert!(!table.is_settled());
}

fn stored(state: ClaimState, verdict: ExecutionVerdict) -> StoreRow {
    let row = ClaimRow {
        nonce: AttemptNonce(0xab),
        host: host_id(1),
        incarnation: Incarnation(9),
        request: RequestId(3),
        digest: BodyDigest(0xfeed),
        claimed_at: WallTime(1_700_000_000_000),
        state,
        verdict,
        output: None,
    };
    StoreRow {
        key: "clerks/k1".to_owned(),
        value: row.to_value(),
        revision: 4,
    }
}

#[test]
fn row_is_readable_json() {
    let row = stored(ClaimState::Open, ExecutionVerdict::MayHaveRun);
    insta::assert_json_snapshot!(row);
    assert_eq!(parse_claim_key(&row.key), Some(claim_key(1)));
}

#[test]
fn operators_resolve_undecided_claims_alone() {
    let open = stored(ClaimState::Open, ExecutionVerdict::MayHaveRun);
    let freed = resolve_request(&open, ExecutionVerdict::NotRun).unwrap();
    let StoreRequest::Txn { ops, .. } = freed else {
        panic!("expected a transaction");
    };
    let StoreOp::Put {
        value, if_revision, ..
    } = &ops[0]
    else {
        panic!("expected a put");
    };
    assert_eq!(
        (value["state"].as_str(), *if_revision),
        (Some("released"), Some(4))
    );
    let undecided = stored(ClaimState::Settled, ExecutionVerdict::MayHaveRun);
    assert!(resolve_request(&undecided, ExecutionVerdict::Ran).is_ok());
    let settled = stored(ClaimState::Settled, ExecutionVerdict::Ran);
    let errors = [
        resolve_request(&settled, ExecutionVerdict::NotRun),
        resolve_request(&open, ExecutionVerdict::MayHaveRun),
    ];
    let errors: Vec<String> = errors.map(|error| error.unwrap_err().to_string()).to_vec();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn list_is_bounded() {
    let StoreRequest::Scan { table, limit, .. } = list_request("", 5000) else {
        panic!("expected a scan");
    };
    assert_eq!((table, limit), (TableName::Claim, 1000));
}
