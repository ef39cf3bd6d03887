//! Claims of several hosts on a shared store under faults, and the limits of one claim table.

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

/// In-memory table service.
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
        let (key, value, expected) = match op {
            StoreOp::Insert { key, value, .. } => (key, value, Some(0)),
            StoreOp::Put {
                key,
                value,
                if_revision,
                ..
            } => (key, value, *if_revision),
            StoreOp::Delete { .. } => panic!("unexpected delete: a host never deletes claim rows"),
        };
        let current = self.rows.get(key).cloned();
        let revision = current.as_ref().map_or(0, |row| row.revision);
        if expected != Some(revision) {
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

fn claim_request(request: u128, key: u8, now: MonoTime) -> ClaimRequest {
    ClaimRequest {
        request: RequestId(request),
        key: claim_key(key),
        digest: BodyDigest(1),
        nonce: AttemptNonce(request),
        claimed_at: WallTime(5),
        deadline: now + Duration::from_secs(3),
    }
}

/// Step of a random history. Each index is reduced modulo the number of candidates.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum HistoryStep {
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
    /// Answers a store call: normally, with the reply lost, with the write applied only later, or
    /// with a refusal.
    AnswerStore {
        pick: u8,
        fault: u8,
    },
    LateWrite {
        pick: u8,
    },
    AnswerQuestion {
        pick: u8,
        reached: bool,
    },
    Advance {
        millis: u8,
    },
}

/// Claim tables of three hosts on a shared store, with a check of every granted claim.
struct ClaimHistory {
    now: MonoTime,
    store: FakeStore,
    tables: Vec<ClaimTable>,
    /// Store calls that are not answered yet, with the host that made them.
    calls: Vec<(usize, ClaimTicket, StoreRequest)>,
    /// Writes whose callers got no reply and that are not applied yet.
    late_writes: Vec<StoreRequest>,
    questions: Vec<(usize, ClaimTicket, usize, hollywheel_claims::ClaimQuestion)>,
    waiting_requests: Vec<(usize, RequestId)>,
    running_requests: Vec<(usize, RequestId, u8)>,
    keys_by_request: SortedMap<RequestId, u8>,
    keys_that_ran: SortedMap<u8, ()>,
    last_request: u128,
}

impl ClaimHistory {
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
            late_writes: Vec::new(),
            questions: Vec::new(),
            waiting_requests: Vec::new(),
            running_requests: Vec::new(),
            keys_by_request: SortedMap::new(),
            keys_that_ran: SortedMap::new(),
            last_request: 0,
        }
    }

    fn step(&mut self, step: HistoryStep) {
        match step {
            HistoryStep::Claim { host, key } => self.claim(usize::from(host) % 3, key % 2),
            HistoryStep::Withdraw { pick } => {
                if let Some((host, request)) = remove_picked(&mut self.waiting_requests, pick) {
                    let outputs = self.tables[host].withdraw(self.now, request);
                    self.carry_out(host, outputs);
                }
            }
            HistoryStep::Finish { pick, ran } => self.finish(pick, ran),
            HistoryStep::AnswerStore { pick, fault } => self.answer_store_call(pick, fault),
            HistoryStep::LateWrite { pick } => {
                if let Some(request) = remove_picked(&mut self.late_writes, pick) {
                    self.store.call(&request);
                }
            }
            HistoryStep::AnswerQuestion { pick, reached } => self.answer_question(pick, reached),
            HistoryStep::Advance { millis } => self.advance(u64::from(millis) * 4),
        }
    }

    fn claim(&mut self, host: usize, key: u8) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.keys_by_request.insert(request, key);
        self.waiting_requests.push((host, request));
        let outputs =
            self.tables[host].claim(self.now, claim_request(self.last_request, key, self.now));
        self.carry_out(host, outputs);
    }

    fn finish(&mut self, pick: u8, ran: bool) {
        let Some((host, request, key)) = remove_picked(&mut self.running_requests, pick) else {
            return;
        };
        let verdict = match ran {
            true => ExecutionVerdict::Ran,
            false => ExecutionVerdict::NotRun,
        };
        if ran {
            self.keys_that_ran.insert(key, ());
        }
        let output = ran.then(|| "done".to_owned());
        let outputs = self.tables[host].finish(self.now, request, verdict, output);
        self.carry_out(host, outputs);
    }

    fn answer_store_call(&mut self, pick: u8, fault: u8) {
        let Some((host, ticket, request)) = remove_picked(&mut self.calls, pick) else {
            return;
        };
        let result = match fault % 8 {
            5 => {
                self.store.call(&request);
                Err(StoreFailure::Unknown)
            }
            6 => {
                self.late_writes.push(request);
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

    fn answer_question(&mut self, pick: u8, reached: bool) {
        let Some((asker, ticket, target, question)) = remove_picked(&mut self.questions, pick)
        else {
            return;
        };
        let answer = reached.then(|| self.tables[target].host_asks(&question));
        let outputs = self.tables[asker].host_answered(self.now, ticket, answer);
        self.carry_out(asker, outputs);
    }

    fn advance(&mut self, millis: u64) {
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
                    let target = (0..3).find(|index| host_id(*index) == target).unwrap();
                    self.questions.push((host, ticket, target, question));
                }
                ClaimOutput::Granted { request } => self.check_granted(host, request),
                ClaimOutput::Replayed { request, .. } => {
                    assert!(
                        self.keys_that_ran
                            .contains_key(self.keys_by_request.get(&request).unwrap())
                    );
                    self.remove_waiting(request);
                }
                ClaimOutput::Denied { request, .. } => self.remove_waiting(request),
            }
        }
    }

    fn check_granted(&mut self, host: usize, request: RequestId) {
        let key = *self.keys_by_request.get(&request).unwrap();
        assert!(
            !self.keys_that_ran.contains_key(&key),
            "request {request:?} was granted key {key}, which already ran"
        );
        let already_running = self
            .running_requests
            .iter()
            .any(|(_, _, other)| *other == key);
        assert!(
            !already_running,
            "request {request:?} was granted key {key} while another request holds it"
        );
        self.remove_waiting(request);
        self.running_requests.push((host, request, key));
    }

    fn remove_waiting(&mut self, request: RequestId) {
        let before = self.waiting_requests.len();
        self.waiting_requests
            .retain(|(_, waiting)| *waiting != request);
        assert_eq!(
            self.waiting_requests.len() + 1,
            before,
            "request {request:?} was decided when it no longer waited"
        );
    }

    /// Completes all requests without further faults and checks that every claim is settled.
    fn run_to_completion(&mut self) {
        while !self.running_requests.is_empty() {
            self.finish(0, true);
        }
        for _ in 0..400 {
            while !self.calls.is_empty() {
                self.answer_store_call(0, 0);
            }
            while !self.questions.is_empty() {
                self.answer_question(0, true);
            }
            while !self.running_requests.is_empty() {
                self.finish(0, true);
            }
            self.advance(50);
        }
        assert!(
            self.waiting_requests.is_empty(),
            "requests still waiting for a claim: {:?}",
            self.waiting_requests
        );
        assert!(self.tables.iter().all(ClaimTable::is_settled));
    }
}

fn remove_picked<T>(list: &mut Vec<T>, pick: u8) -> Option<T> {
    match list.len() {
        0 => None,
        len => Some(list.remove(usize::from(pick) % len)),
    }
}

/// Guards against double execution after lost replies, late writes and unreachable hosts. The
/// seeds are fixed, so that every run gives the same result.
#[test]
fn random_histories_grant_a_key_once_at_a_time_and_never_after_it_ran() {
    let generator = bolero::produce::<Vec<HistoryStep>>()
        .with()
        .len(1..120usize);
    for seed in 0..2000 {
        let mut bytes = vec![0; 1024];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let steps = generator
            .generate(&mut driver)
            .expect("1024 bytes suffice for the steps");
        let mut history = ClaimHistory::new();
        steps.into_iter().for_each(|step| history.step(step));
        history.run_to_completion();
    }
}

fn grant_claim(table: &mut ClaimTable, store: &mut FakeStore, request: u128, now: MonoTime) {
    let outputs = table.claim(
        now,
        claim_request(request, u8::try_from(request).unwrap(), now),
    );
    answer_store_calls(table, store, outputs, now);
}

fn answer_store_calls(
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

fn time_at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn oldest_unwritten_result_is_evicted_at_the_limit() {
    let mut store = FakeStore::default();
    let mut table = ClaimTable::new(ClaimSettings {
        max_unwritten: 2,
        ..ClaimSettings::default()
    });
    for request in 1..=4 {
        let now = time_at(u64::try_from(request).unwrap() * 30);
        grant_claim(&mut table, &mut store, request, now);
    }
    for request in 1..=4 {
        let outputs = table.finish(
            time_at(125),
            RequestId(request),
            ExecutionVerdict::Ran,
            None,
        );
        assert!(outputs.is_empty());
    }
    assert_eq!((table.open_claims(), table.evicted_results()), (2, 2));
}

#[test]
fn large_answer_is_settled_without_its_text() {
    let mut store = FakeStore::default();
    let mut table = ClaimTable::new(ClaimSettings {
        max_answer_size: ByteSize(4),
        ..ClaimSettings::default()
    });
    grant_claim(&mut table, &mut store, 1, time_at(0));
    let output = Some("12345".to_owned());
    table.finish(time_at(50), RequestId(1), ExecutionVerdict::Ran, output);
    let outputs = table.claim(time_at(60), claim_request(2, 1, time_at(60)));
    let denial = ClaimDenial::Taken(ExecutionVerdict::Ran);
    let request = RequestId(2);
    assert_eq!(outputs, vec![ClaimOutput::Denied { request, denial }]);
}

#[test]
fn store_calls_back_off_during_an_outage() {
    let mut table = ClaimTable::new(ClaimSettings::default());
    let mut store = FakeStore::default();
    grant_claim(&mut table, &mut store, 1, time_at(0));
    table.finish(time_at(10), RequestId(1), ExecutionVerdict::Ran, None);
    let mut calls = 0;
    while let Some(wake) = table.next_wake().filter(|wake| *wake < time_at(60_000)) {
        for output in table.tick(wake) {
            let ClaimOutput::Store { ticket, .. } = output else {
                panic!("expected a store call, got {output:?}");
            };
            calls += 1;
            let retry_after = Duration::from_millis(100);
            table.store_answered(wake, ticket, &Err(StoreFailure::Refused { retry_after }));
        }
    }
    assert!((30..40).contains(&calls), "{calls} calls");
    assert!(!table.is_settled());
}

fn stored_claim(state: ClaimState, verdict: ExecutionVerdict) -> StoreRow {
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
fn claim_row_is_stored_as_json() {
    let row = stored_claim(ClaimState::Open, ExecutionVerdict::MayHaveRun);
    insta::assert_json_snapshot!(row);
    assert_eq!(parse_claim_key(&row.key), Some(claim_key(1)));
}

#[test]
fn only_undecided_claims_can_be_resolved() {
    let open = stored_claim(ClaimState::Open, ExecutionVerdict::MayHaveRun);
    let release = resolve_request(&open, ExecutionVerdict::NotRun).unwrap();
    let StoreRequest::Txn { ops, .. } = release else {
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
    let undecided = stored_claim(ClaimState::Settled, ExecutionVerdict::MayHaveRun);
    assert!(resolve_request(&undecided, ExecutionVerdict::Ran).is_ok());
    let settled = stored_claim(ClaimState::Settled, ExecutionVerdict::Ran);
    let errors = [
        resolve_request(&settled, ExecutionVerdict::NotRun),
        resolve_request(&open, ExecutionVerdict::MayHaveRun),
    ];
    let errors: Vec<String> = errors.map(|error| error.unwrap_err().to_string()).to_vec();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn list_request_limits_the_number_of_rows() {
    let StoreRequest::Scan { table, limit, .. } = list_request("", 5000) else {
        panic!("expected a scan");
    };
    assert_eq!((table, limit), (TableName::Claim, 1000));
}
