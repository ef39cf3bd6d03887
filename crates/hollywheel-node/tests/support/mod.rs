//! Host under test with a fake table service.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::{PublishedSet, read_toml};
use hollywheel_node::{
    AnswerEcho, AttemptCall, AttemptEvent, CallTicket, CallerRequest, GrantedKey, HostInfo,
    HostView, NodeEvent, NodeInput, NodeMachine, NodeOutput, NodeSettings, Refusal, ReplyPart,
};
use hollywheel_policy::PolicySettings;
use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TxnMode,
};
use hollywheel_types::{
    ConfigVersion, HostId, Incarnation, MonoTime, PublishId, RequestId, SortedMap, TokenCount,
    TokenIndex, WallTime,
};

pub const OBJECTS: &str = include_str!("objects.toml");

/// In-memory table service.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub rows: SortedMap<String, StoreRow>,
    pub txns: usize,
    revision: u64,
}

impl FakeStore {
    pub fn call(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { keys, .. } => StoreReply::Rows {
                rows: keys
                    .iter()
                    .filter_map(|key| self.rows.get(key).cloned())
                    .collect(),
            },
            StoreRequest::Scan { .. } => StoreReply::Rows {
                rows: self.rows.values().cloned().collect(),
            },
            StoreRequest::Txn { mode, ops } => {
                assert_eq!(*mode, TxnMode::Independent);
                self.txns += 1;
                let outcomes = ops.iter().map(|op| self.write(op)).collect();
                StoreReply::Txn { outcomes }
            }
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
        let current = self.rows.get(key);
        let revision = current.map_or(0, |row| row.revision);
        if expected.is_some_and(|expected| expected != revision) {
            return RowOutcome::Conflict {
                current: current.cloned(),
            };
        }
        self.revision += 1;
        let row = StoreRow {
            key: key.clone(),
            value: value.clone(),
            revision: self.revision,
        };
        self.rows.insert(key.clone(), row);
        RowOutcome::Applied {
            revision: self.revision,
        }
    }

    /// Returns a string field of the only row.
    pub fn row_field(&self, name: &str) -> String {
        let row = self.rows.values().next().expect("the table has a row");
        row.value[name].as_str().unwrap_or_default().to_owned()
    }
}

/// One [`NodeMachine`] driven in virtual time, with all of its outputs recorded.
pub struct HostUnderTest {
    pub machine: NodeMachine,
    pub now: MonoTime,
    pub store: FakeStore,
    /// Whether calls of the table service are answered at once; if not, they stay pending.
    pub auto_answer_store: bool,
    /// Calls of the table service that are not answered yet.
    pub store_calls: Vec<(CallTicket, StoreRequest)>,
    pub calls: Vec<AttemptCall>,
    pub cancelled: Vec<hollywheel_types::AttemptNonce>,
    pub reply_parts: Vec<(RequestId, ReplyPart)>,
    pub questions: Vec<(CallTicket, ClaimQuestion)>,
    pub answers: Vec<ClaimAnswer>,
    pub events: Vec<NodeEvent>,
    pub drained_count: usize,
    pub issued_keys: Vec<Result<GrantedKey, Refusal>>,
    pub forwards: Vec<(CallTicket, CallerRequest)>,
}

impl HostUnderTest {
    pub fn new() -> Self {
        Self::with(NodeSettings::default())
    }

    pub fn with(settings: NodeSettings) -> Self {
        let host: HostId = "entry-1".parse().unwrap();
        let settings = NodeSettings {
            policy: PolicySettings {
                host,
                ..settings.policy
            },
            ..settings
        };
        let mut host = Self {
            machine: NodeMachine::new(settings),
            now: MonoTime::from_millis(1),
            store: FakeStore::default(),
            auto_answer_store: true,
            store_calls: Vec::new(),
            calls: Vec::new(),
            cancelled: Vec::new(),
            reply_parts: Vec::new(),
            questions: Vec::new(),
            answers: Vec::new(),
            events: Vec::new(),
            drained_count: 0,
            issued_keys: Vec::new(),
            forwards: Vec::new(),
        };
        host.input(NodeInput::Config(published(1)));
        host.input(NodeInput::Hosts(two_hosts()));
        host
    }

    pub fn input(&mut self, input: NodeInput) {
        let outputs = self.machine.handle(self.now, input);
        for output in outputs {
            self.apply_output(output);
        }
    }

    fn apply_output(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Dispatch(call) => self.calls.push(*call),
            NodeOutput::Cancel { nonce } => self.cancelled.push(nonce),
            NodeOutput::Store { ticket, request } if self.auto_answer_store => {
                let result = Ok(self.store.call(&request));
                self.input(NodeInput::Store { ticket, result });
            }
            NodeOutput::Store { ticket, request } => self.store_calls.push((ticket, request)),
            NodeOutput::AskHost {
                ticket, question, ..
            } => self.questions.push((ticket, question)),
            NodeOutput::AnswerHost { answer, .. } => self.answers.push(answer),
            NodeOutput::KeyIssued { result, .. } => self.issued_keys.push(result),
            NodeOutput::Forward {
                ticket, request, ..
            } => self.forwards.push((ticket, *request)),
            NodeOutput::Reply { request, part } => self.reply_parts.push((request, part)),
            NodeOutput::Event(event) => self.events.push(event),
            NodeOutput::Drained => self.drained_count += 1,
        }
    }

    /// Advances the virtual time and handles the timers that become due.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(wake) = self.machine.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.input(NodeInput::Tick);
        }
        self.now = end;
    }

    pub fn request(&mut self, id: u128, pipeline: &str, key: Option<&str>) {
        self.input(NodeInput::Request(CallerRequest {
            request: RequestId(id),
            workspace: "clerks".parse().unwrap(),
            pipeline: pipeline.parse().unwrap(),
            input: "three translators".to_owned(),
            idempotency_key: key.map(|key| key.parse().unwrap()),
            timeout: None,
            max_tokens: None,
            stream: true,
            received_at: WallTime(1000),
        }));
    }

    /// Returns a newly issued key for the workspace of the requests.
    pub fn issue_key(&mut self) -> String {
        let ticket = CallTicket(0);
        let workspace = "clerks".parse().unwrap();
        self.input(NodeInput::IssueKey { ticket, workspace });
        let granted = self
            .issued_keys
            .last()
            .expect("the key request was answered");
        granted.as_ref().expect("a key was issued").key.to_string()
    }

    pub fn attempt_event(&mut self, call: &AttemptCall, event: AttemptEvent) {
        self.input(NodeInput::Attempt {
            nonce: call.nonce,
            event,
        });
    }

    pub fn answer(&mut self, call: &AttemptCall, output: &str) {
        self.attempt_event(
            call,
            AttemptEvent::Answer {
                echo: echo(call),
                output: output.to_owned(),
            },
        );
    }

    pub fn token(&mut self, call: &AttemptCall, index: u32, text: &str) {
        self.attempt_event(
            call,
            AttemptEvent::Token {
                nonce: call.nonce,
                index: TokenIndex(index),
                text: text.to_owned(),
            },
        );
    }

    pub fn stream_end(&mut self, call: &AttemptCall, tokens: u32) {
        self.attempt_event(
            call,
            AttemptEvent::StreamEnd {
                echo: echo(call),
                tokens: TokenCount(tokens),
            },
        );
    }

    pub fn answer_store(&mut self, failure: Option<StoreFailure>) {
        for (ticket, request) in std::mem::take(&mut self.store_calls) {
            let result = match &failure {
                None => Ok(self.store.call(&request)),
                Some(failure) => Err(failure.clone()),
            };
            self.input(NodeInput::Store { ticket, result });
        }
    }

    pub fn last_call(&self) -> AttemptCall {
        self.calls.last().expect("a call was dispatched").clone()
    }

    /// Formats the final reply part of a request in one line, `none` if there is none yet.
    pub fn outcome(&self, id: u128) -> String {
        let finals: Vec<String> = self
            .reply_parts
            .iter()
            .filter(|(request, _)| *request == RequestId(id))
            .filter_map(|(_, part)| format_final_part(part))
            .collect();
        assert!(
            finals.len() < 2,
            "request {id} got more than one final reply part: {finals:?}"
        );
        finals
            .into_iter()
            .next()
            .unwrap_or_else(|| "none".to_owned())
    }

    pub fn mismatches(&self) -> usize {
        let is_mismatch = |event: &&NodeEvent| matches!(event, NodeEvent::Mismatched { .. });
        self.events.iter().filter(is_mismatch).count()
    }
}

fn format_final_part(part: &ReplyPart) -> Option<String> {
    match part {
        ReplyPart::Token { .. } => None,
        ReplyPart::Complete {
            output, replayed, ..
        } => Some(format!("complete {output:?} replayed={replayed}")),
        ReplyPart::Refused(refusal) => Some(format!(
            "{} {} retry_after={:?}",
            refusal.verdict, refusal.reason, refusal.retry_after
        )),
    }
}

pub fn echo(call: &AttemptCall) -> AnswerEcho {
    AnswerEcho {
        request: call.request,
        stage: call.stage.clone(),
        nonce: call.nonce,
    }
}

pub fn published(version: u64) -> Arc<PublishedSet> {
    Arc::new(PublishedSet {
        version: ConfigVersion(version),
        publish_id: PublishId(1),
        set: read_toml("objects.toml", OBJECTS).expect("objects.toml is a valid configuration"),
    })
}

pub fn two_hosts() -> HostView {
    let info = |name: &str, incarnation| HostInfo {
        host: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: "medeu".parse().unwrap(),
    };
    HostView {
        hosts: vec![info("entry-1", 1), info("entry-2", 7)],
    }
}
