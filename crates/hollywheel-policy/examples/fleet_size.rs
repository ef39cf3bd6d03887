//! Prints how evenly the subsets of 390 hosts cover a pool of 1,000 servers, and the memory use of
//! an engine with 4,800 workspaces.
//!
//! `cargo run --release -p hollywheel-policy --example fleet_size`

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollywheel_config::{ObjectSet, PoolKind, PoolObject, ServerEntry, WorkspaceObject};
use hollywheel_policy::{
    AdmitRequest, PolicyEngine, PolicySettings, RequestEnd, ServerReport, SubsetMember,
    choose_subset,
};
use hollywheel_types::{
    DomainId, HostId, Incarnation, MonoTime, Percent, RequestClass, RequestId, RequestRate,
};

const HOSTS: usize = 390;
const SERVERS: usize = 1000;
const WORKSPACES: usize = 4800;
const SUBSET_SIZE: usize = 20;

/// Builds the identifier of the given kind and index.
fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, index: usize) -> T {
    format!("{kind}-{index:04}")
        .parse()
        .expect("generated identifier is valid")
}

fn domain(index: usize) -> DomainId {
    named("domain", index % 3)
}

/// Prints how many hosts use each server if every host knows the hosts in `known`.
fn print_evenness(label: &str, hosts: &[HostId], known: &[HostId], members: &[SubsetMember]) {
    let mut uses = vec![0usize; members.len()];
    let start = Instant::now();
    for host in hosts {
        for server in choose_subset(host, known, members, SUBSET_SIZE) {
            let index = members.iter().position(|member| member.server == server);
            uses[index.expect("server of the pool")] += 1;
        }
    }
    let millis = start.elapsed().as_secs_f64() * 1000.0 / hosts.len() as f64;
    let mean = uses.iter().sum::<usize>() as f64 / uses.len() as f64;
    let squared_deviations = uses
        .iter()
        .map(|uses| (*uses as f64 - mean).powi(2))
        .sum::<f64>();
    let deviation = (squared_deviations / uses.len() as f64).sqrt();
    let (least, most) = (uses.iter().min(), uses.iter().max());
    println!(
        "{label}: hosts per server least {least:?} most {most:?} mean {mean:.2} deviation \
         {deviation:.2}; {millis:.1} ms to choose"
    );
}

/// Returns the resident memory of this process, or zero if it cannot be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn object_set() -> ObjectSet {
    let server = |index| ServerEntry {
        name: named("server", index),
        address: ([127, 0, 0, 1], 4000).into(),
        domain: domain(index),
    };
    let workspace = |index| WorkspaceObject {
        name: named("workspace", index),
        key_hashes: Vec::new(),
        share: 1,
        rate: Some(RequestRate::per_second(10.0)),
        burst: Some(20),
    };
    ObjectSet {
        pools: vec![PoolObject {
            name: named("pool", 0),
            kind: PoolKind::Engine,
            slots: 8,
            fencing: false,
            max_ejected: Percent::new(34),
            retry_budget: Percent::new(10),
            hedge_budget: Percent::new(0),
            models: Vec::new(),
            servers: (0..SERVERS).map(server).collect(),
        }],
        workspaces: (0..WORKSPACES).map(workspace).collect(),
        ..ObjectSet::default()
    }
}

fn server_report(index: usize) -> ServerReport {
    ServerReport {
        server: named("server", index),
        incarnation: Incarnation(1),
        running: 4,
        queued: 0,
        slots: 8,
        leaving: false,
        models: (0..4).map(|model| named("model", model)).collect(),
        prefixes: (0..512).collect(),
    }
}

fn print_memory(hosts: &[HostId]) {
    let set = Arc::new(object_set());
    let before = resident_kib();
    let mut engine = PolicyEngine::new(PolicySettings {
        host: hosts[0].clone(),
        ..PolicySettings::default()
    });
    let now = MonoTime::from_millis(1000);
    engine.install(now, &set);
    engine.set_host_names(now, hosts);
    (0..SERVERS)
        .for_each(|index| engine.server_reported(now, &server_report(index), Duration::ZERO));
    for index in 0..WORKSPACES {
        let request = RequestId(index as u128);
        engine.admit(
            now,
            &AdmitRequest {
                request,
                workspace: named("workspace", index),
                pipeline: named("pipeline", 0),
                class: RequestClass::Lookup,
                deadline: now + Duration::from_secs(1),
            },
        );
        engine.request_ended(now, request, RequestEnd::Attained);
    }
    let kib = resident_kib().saturating_sub(before);
    println!("engine with {WORKSPACES} workspaces and {SERVERS} servers: {kib} KiB resident");
}

fn main() {
    let hosts: Vec<HostId> = (0..HOSTS).map(|index| named("host", index)).collect();
    let member = |index| SubsetMember {
        server: named("server", index),
        domain: domain(index),
    };
    let members: Vec<SubsetMember> = (0..SERVERS).map(member).collect();
    print_memory(&hosts);
    print_evenness("own order only", &hosts, &[], &members);
    print_evenness("names of hosts known", &hosts, &hosts, &members);
}
