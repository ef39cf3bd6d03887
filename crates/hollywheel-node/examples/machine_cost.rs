//! Prints how the memory and processor time of one host's decision machine grow.
//!
//! Run with `cargo run --release -p hollywheel-node --example machine_cost`.

use std::collections::VecDeque;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollywheel_config::{PublishedSet, hash_key, read_toml};
use hollywheel_node::{
    AnswerEcho, AttemptCall, AttemptEvent, CallerRequest, HostInfo, HostView, NodeInput,
    NodeMachine, NodeOutput, NodeSettings,
};
use hollywheel_policy::ServerReport;
use hollywheel_store::{RowOutcome, StoreReply, StoreRequest};
use hollywheel_types::{
    ConfigVersion, Incarnation, MonoTime, PublishId, RequestId, TokenCount, TokenIndex, WallTime,
};

const REQUESTS: u64 = 10_000;
const TOKENS: u32 = 32;
const PAGE_BYTES: u64 = 4096;

fn main() {
    let args: Vec<u32> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    if let [workspaces, servers] = args[..] {
        return measure_objects(Scale {
            workspaces,
            servers,
            hosts: 390,
        });
    }
    println!(
        "objects: workspaces, servers, KiB to read the set, KiB to put it in force, install ms"
    );
    for (workspaces, servers) in [
        (5, 20),
        (600, 20),
        (2400, 20),
        (4800, 20),
        (5, 100),
        (5, 400),
        (5, 1000),
        (4800, 1000),
    ] {
        run_alone(workspaces, servers);
    }
    println!("requests: hosts, servers, pipeline, microseconds each, table service writes each");
    for (hosts, servers) in [(9, 20), (45, 100), (130, 400), (390, 1000)] {
        let fleet = Scale {
            workspaces: 100,
            servers,
            hosts,
        };
        for pipeline in ["answer", "record", "read"] {
            measure_requests(fleet, pipeline);
        }
    }
    println!("tokens: microseconds each with so many streams at once");
    for streams in [1, 8, 64, 256] {
        measure_tokens(streams);
    }
}

#[derive(Clone, Copy)]
struct Scale {
    workspaces: u32,
    servers: u32,
    hosts: u32,
}

/// Measures in a process of its own, so that memory freed by another measurement is not used again.
fn run_alone(workspaces: u32, servers: u32) {
    let status = Command::new(std::env::current_exe().unwrap())
        .args([workspaces.to_string(), servers.to_string()])
        .status();
    assert!(status.unwrap().success());
}

fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES / 1024
}

fn objects(scale: Scale) -> PublishedSet {
    let mut text = String::from(
        r#"format = 1
[[target]]
name = "slow"
class = "interactive"
deadline_ms = 8000
[[target]]
name = "fast"
class = "transaction"
deadline_ms = 2000
[[stage]]
name = "encode"
kind = "encode"
pool = "encoders"
[[stage]]
name = "generate"
kind = "generate"
pool = "engines"
model = "m"
max_tokens = 32
[[stage]]
name = "write"
kind = "call"
pool = "services"
idempotent = false
[[stage]]
name = "look"
kind = "call"
pool = "services"
[[pipeline]]
name = "answer"
stages = ["encode", "generate"]
target = "slow"
[[pipeline]]
name = "record"
stages = ["write"]
target = "fast"
[[pipeline]]
name = "read"
stages = ["look"]
target = "fast"
"#,
    );
    for (pool, kind) in [
        ("engines", "engine"),
        ("encoders", "encoder"),
        ("services", "service"),
    ] {
        text += &format!("[[pool]]\nname = \"{pool}\"\nkind = \"{kind}\"\nslots = 64\n");
        if kind == "engine" {
            text += "models = [{ model = \"m\", replicas = 1 }]\n";
        }
        text += "servers = [\n";
        let count = if kind == "engine" {
            scale.servers
        } else {
            scale.servers.div_ceil(4)
        };
        for at in 0..count {
            let domain = at % 15;
            text += &format!(
                "{{ name = \"{pool}-{at}\", address = \"10.0.0.1:{}\", domain = \"d{domain}\" }},\n",
                at + 1000
            );
        }
        text += "]\n";
    }
    let hash = hash_key("key");
    for at in 0..scale.workspaces {
        text += &format!(
            "[[workspace]]\nname = \"w{at}\"\nkey_hashes = [\"{hash}\"]\nrate = 1000000\nburst = 1000000\n"
        );
    }
    PublishedSet {
        version: ConfigVersion(1),
        publish_id: PublishId(1),
        set: read_toml("capacity", &text).unwrap(),
    }
}

fn host_view(hosts: u32) -> HostView {
    let hosts = (0..hosts).map(|at| HostInfo {
        host: format!("host-{at:03}").parse().unwrap(),
        incarnation: Incarnation(1),
        domain: format!("d{}", at % 15).parse().unwrap(),
    });
    HostView {
        hosts: hosts.collect(),
    }
}

fn machine(scale: Scale, published: Arc<PublishedSet>) -> NodeMachine {
    let mut machine = NodeMachine::new(NodeSettings::default());
    machine.handle(MonoTime(0), NodeInput::Hosts(host_view(scale.hosts)));
    machine.handle(MonoTime(0), NodeInput::Config(published));
    for server in machine.policy().subset() {
        let report = ServerReport {
            server,
            incarnation: Incarnation(1),
            running: 0,
            queued: 0,
            slots: 64,
            leaving: false,
            models: vec!["m".parse().unwrap()],
            prefixes: Vec::new(),
        };
        let age = Duration::ZERO;
        machine.handle(MonoTime(0), NodeInput::Report { report, age });
    }
    machine
}

fn measure_objects(scale: Scale) {
    let empty = resident_kib();
    let published = Arc::new(objects(scale));
    let read = resident_kib();
    let begin = Instant::now();
    let machine = machine(scale, published);
    let install = begin.elapsed();
    let after = resident_kib();
    println!(
        "{}, {}, {}, {}, {:.1}",
        scale.workspaces,
        scale.servers,
        read.saturating_sub(empty),
        after.saturating_sub(read),
        install.as_secs_f64() * 1000.0
    );
    drop(machine);
}

/// Answers every effect at once and counts the writes of the table service.
#[derive(Default)]
struct Answerer {
    inputs: VecDeque<NodeInput>,
    writes: u64,
}

impl Answerer {
    fn take(&mut self, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::Dispatch(call) => self.answer_call(&call),
                NodeOutput::Store { ticket, request } => {
                    let StoreRequest::Txn { ops, .. } = request else {
                        continue;
                    };
                    self.writes += 1;
                    let outcomes = ops
                        .iter()
                        .map(|_| RowOutcome::Applied { revision: 1 })
                        .collect();
                    let result = Ok(StoreReply::Txn { outcomes });
                    self.inputs.push_back(NodeInput::Store { ticket, result });
                }
                _ => {}
            }
        }
    }

    fn answer_call(&mut self, call: &AttemptCall) {
        let nonce = call.nonce;
        let echo = AnswerEcho {
            request: call.request,
            stage: call.stage.clone(),
            nonce,
        };
        let mut push = |event| self.inputs.push_back(NodeInput::Attempt { nonce, event });
        if call.model.is_none() {
            let output = "encode:0123456789abcdef".to_owned();
            push(AttemptEvent::Answer { echo, output });
            return;
        }
        for index in 0..call.max_tokens.0 {
            push(AttemptEvent::Token {
                nonce,
                index: TokenIndex(index),
                text: "01234567 ".to_owned(),
            });
        }
        push(AttemptEvent::StreamEnd {
            echo,
            tokens: call.max_tokens,
        });
    }
}

fn request(id: u64, pipeline: &str) -> CallerRequest {
    CallerRequest {
        request: RequestId(u128::from(id) + 1),
        workspace: format!("w{}", id % 100).parse().unwrap(),
        pipeline: pipeline.parse().unwrap(),
        input: "x".repeat(400),
        idempotency_key: Some(format!("k{id}").parse().unwrap()),
        timeout: None,
        max_tokens: Some(TokenCount(TOKENS)),
        stream: true,
        received_at: WallTime(0),
    }
}

fn measure_requests(scale: Scale, pipeline: &str) {
    let mut machine = machine(scale, Arc::new(objects(scale)));
    let mut answerer = Answerer::default();
    let mut now = MonoTime(1_000_000);
    let mut spent = Duration::ZERO;
    let mut ended = 0;
    for id in 0..REQUESTS {
        answerer
            .inputs
            .push_back(NodeInput::Request(request(id, pipeline)));
        while let Some(input) = answerer.inputs.pop_front() {
            now = now + Duration::from_micros(200);
            let begin = Instant::now();
            let outputs = machine.handle(now, input);
            spent += begin.elapsed();
            ended += outputs
                .iter()
                .filter(|output| matches!(output, NodeOutput::Reply { .. }))
                .count();
            answerer.take(outputs);
            let due = machine.next_wake().is_some_and(|wake| wake <= now);
            if due || (answerer.inputs.is_empty() && machine.requests() > 0) {
                now = machine.next_wake().map_or(now, |wake| wake.max(now));
                answerer.inputs.push_back(NodeInput::Tick);
            }
        }
    }
    assert!(ended as u64 >= REQUESTS, "only {ended} replies");
    println!(
        "{}, {}, {pipeline}, {:.1}, {:.2}",
        scale.hosts,
        scale.servers,
        spent.as_secs_f64() * 1e6 / REQUESTS as f64,
        answerer.writes as f64 / REQUESTS as f64
    );
}

fn measure_tokens(streams: u64) {
    let scale = Scale {
        workspaces: 100,
        servers: 100,
        hosts: 9,
    };
    let mut machine = machine(scale, Arc::new(objects(scale)));
    let mut now = MonoTime(1_000_000);
    let mut waiting = VecDeque::new();
    let mut answerer = Answerer::default();
    for id in 0..streams {
        let outputs = machine.handle(now, NodeInput::Request(request(id, "answer")));
        answerer.take(outputs);
        let input = answerer.inputs.pop_front().unwrap();
        now = now + Duration::from_micros(200);
        answerer.take(machine.handle(now, input));
        waiting.push_back(std::mem::take(&mut answerer.inputs));
    }
    let mut spent = Duration::ZERO;
    let mut tokens = 0;
    while let Some(mut stream) = waiting.pop_front() {
        let Some(input) = stream.pop_front() else {
            continue;
        };
        now = now + Duration::from_micros(20);
        let begin = Instant::now();
        machine.handle(now, input);
        spent += begin.elapsed();
        tokens += 1;
        waiting.push_back(stream);
    }
    println!(
        "{streams}, {:.2}",
        spent.as_secs_f64() * 1e6 / f64::from(tokens)
    );
}
