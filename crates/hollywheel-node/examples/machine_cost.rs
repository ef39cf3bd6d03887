//! Measures how the memory and the processing time of a [`NodeMachine`] grow with the size of the
//! configuration, the fleet and the number of token streams.
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
        return measure_config_memory(FleetSize {
            workspaces,
            servers,
            hosts: 390,
        });
    }
    println!("configuration: workspaces, servers, KiB to read it, KiB to install it, install ms");
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
        measure_in_subprocess(workspaces, servers);
    }
    println!(
        "requests: hosts, servers, pipeline, microseconds per request, store writes per request"
    );
    for (hosts, servers) in [(9, 20), (45, 100), (130, 400), (390, 1000)] {
        let size = FleetSize {
            workspaces: 100,
            servers,
            hosts,
        };
        for pipeline in ["answer", "record", "read"] {
            measure_requests(size, pipeline);
        }
    }
    println!("tokens: concurrent streams, microseconds per token");
    for streams in [1, 8, 64, 256] {
        measure_tokens(streams);
    }
}

#[derive(Clone, Copy)]
struct FleetSize {
    workspaces: u32,
    servers: u32,
    hosts: u32,
}

/// Measures in a subprocess, so that memory freed by an earlier measurement is not reused.
fn measure_in_subprocess(workspaces: u32, servers: u32) {
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

fn generate_config(size: FleetSize) -> PublishedSet {
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
            size.servers
        } else {
            size.servers.div_ceil(4)
        };
        for index in 0..count {
            let domain = index % 15;
            text += &format!(
                "{{ name = \"{pool}-{index}\", address = \"10.0.0.1:{}\", domain = \"d{domain}\" }},\n",
                index + 1000
            );
        }
        text += "]\n";
    }
    let hash = hash_key("key");
    for index in 0..size.workspaces {
        text += &format!(
            "[[workspace]]\nname = \"w{index}\"\nkey_hashes = [\"{hash}\"]\nrate = 1000000\nburst = 1000000\n"
        );
    }
    PublishedSet {
        version: ConfigVersion(1),
        publish_id: PublishId(1),
        set: read_toml("capacity", &text).unwrap(),
    }
}

fn host_view(hosts: u32) -> HostView {
    let hosts = (0..hosts).map(|index| HostInfo {
        host: format!("host-{index:03}").parse().unwrap(),
        incarnation: Incarnation(1),
        domain: format!("d{}", index % 15).parse().unwrap(),
    });
    HostView {
        hosts: hosts.collect(),
    }
}

fn loaded_machine(size: FleetSize, published: Arc<PublishedSet>) -> NodeMachine {
    let mut machine = NodeMachine::new(NodeSettings::default());
    machine.handle(MonoTime(0), NodeInput::Hosts(host_view(size.hosts)));
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

fn measure_config_memory(size: FleetSize) {
    let initial_kib = resident_kib();
    let published = Arc::new(generate_config(size));
    let read_kib = resident_kib();
    let begin = Instant::now();
    let machine = loaded_machine(size, published);
    let install_time = begin.elapsed();
    let installed_kib = resident_kib();
    println!(
        "{}, {}, {}, {}, {:.1}",
        size.workspaces,
        size.servers,
        read_kib.saturating_sub(initial_kib),
        installed_kib.saturating_sub(read_kib),
        install_time.as_secs_f64() * 1000.0
    );
    drop(machine);
}

/// Answers every output with a successful input and counts the writes to the table service.
#[derive(Default)]
struct OutputResponder {
    inputs: VecDeque<NodeInput>,
    writes: u64,
}

impl OutputResponder {
    fn answer_outputs(&mut self, outputs: Vec<NodeOutput>) {
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

fn measure_requests(size: FleetSize, pipeline: &str) {
    let mut machine = loaded_machine(size, Arc::new(generate_config(size)));
    let mut responder = OutputResponder::default();
    let mut now = MonoTime(1_000_000);
    let mut elapsed = Duration::ZERO;
    let mut replies = 0;
    for id in 0..REQUESTS {
        responder
            .inputs
            .push_back(NodeInput::Request(request(id, pipeline)));
        while let Some(input) = responder.inputs.pop_front() {
            now = now + Duration::from_micros(200);
            let begin = Instant::now();
            let outputs = machine.handle(now, input);
            elapsed += begin.elapsed();
            replies += outputs
                .iter()
                .filter(|output| matches!(output, NodeOutput::Reply { .. }))
                .count();
            responder.answer_outputs(outputs);
            let due = machine.next_wake().is_some_and(|wake| wake <= now);
            if due || (responder.inputs.is_empty() && machine.requests() > 0) {
                now = machine.next_wake().map_or(now, |wake| wake.max(now));
                responder.inputs.push_back(NodeInput::Tick);
            }
        }
    }
    assert!(
        replies as u64 >= REQUESTS,
        "expected a reply to each of {REQUESTS} requests, got {replies}"
    );
    println!(
        "{}, {}, {pipeline}, {:.1}, {:.2}",
        size.hosts,
        size.servers,
        elapsed.as_secs_f64() * 1e6 / REQUESTS as f64,
        responder.writes as f64 / REQUESTS as f64
    );
}

fn measure_tokens(streams: u64) {
    let size = FleetSize {
        workspaces: 100,
        servers: 100,
        hosts: 9,
    };
    let mut machine = loaded_machine(size, Arc::new(generate_config(size)));
    let mut now = MonoTime(1_000_000);
    let mut streams_left = VecDeque::new();
    let mut responder = OutputResponder::default();
    for id in 0..streams {
        let outputs = machine.handle(now, NodeInput::Request(request(id, "answer")));
        responder.answer_outputs(outputs);
        let input = responder.inputs.pop_front().unwrap();
        now = now + Duration::from_micros(200);
        responder.answer_outputs(machine.handle(now, input));
        streams_left.push_back(std::mem::take(&mut responder.inputs));
    }
    let mut elapsed = Duration::ZERO;
    let mut tokens = 0;
    while let Some(mut stream) = streams_left.pop_front() {
        let Some(input) = stream.pop_front() else {
            continue;
        };
        now = now + Duration::from_micros(20);
        let begin = Instant::now();
        machine.handle(now, input);
        elapsed += begin.elapsed();
        tokens += 1;
        streams_left.push_back(stream);
    }
    println!(
        "{streams}, {:.2}",
        elapsed.as_secs_f64() * 1e6 / f64::from(tokens)
    );
}
