//! A prompt part crashes each model server that begins to write an answer on it. Meanwhile other servers
//! go down and up by turns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::hosts::{Deployment, Host, GROWN_BOUNDS, GROWN_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::streaming::{DEAD_PART, DeadRuns, Framing, StreamingEngine};
use crate::{Trial, Verdict};

const HOSTS: usize = 3;
const ENGINES: usize = 40;
/// Servers that go down and up by turns: a tenth.
const FLAPPING: usize = 4;
const FLAP_PERIOD: Duration = Duration::from_millis(1400);
const FLAP_TIME: Duration = Duration::from_millis(6500);
/// How often the disruption comes, and the pause after each.
const FLAP_ENTRIES: u32 = 9;
const FLAP_PAUSE: Duration = Duration::from_secs(1);
const DEAD_INTERVAL: Duration = Duration::from_millis(5000);
const CALLERS_PER_HOST: usize = 40;
const CONTACT: Duration = Duration::from_secs(4);

pub const CONFIG: &str = r#"{"version":3,"routes":[{"name":"draft","host":"h.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":8000,"latency-target-ms":800,"gap-target-ms":250,"service":"model","max-attempts":1,"session-affinity":true}],"services":[{"name":"model","max-connections":500,"engine":{"slots":16,"kv-cache-tokens":900000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

pub struct Callers {
    pub record: Arc<Record>,
    pub fronts: Vec<SocketAddr>,
    pub stopped: AtomicBool,
    pub last_attempt: AtomicU64,
    /// Requests by kind and status; 0 stands for no complete answer.
    pub ends: Mutex<HashMap<(&'static str, u16), usize>>,
}

impl Callers {
    pub fn send(&self, host: usize, kind: &'static str, part: &str) {
        let number = self.last_attempt.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        let request = format!(
            "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nModel: m\r\nToken-Counts: 850,30\r\nPrompt-Prefix: aa01:500,{part}:300,f{number:x}:50\r\nContent-Length: 4\r\n\r\ndata"
        );
        let opened = Connection::open(self.fronts[host], Duration::from_secs(9));
        let answered = opened.and_then(|mut connection| connection.call(request.as_bytes()));
        let status = answered.map_or(0, |response| response.status());
        self.record.line(&format!(
            "caller of host {host}: {attempt} {kind} answered {status}"
        ));
        *self.ends.lock().unwrap().entry((kind, status)).or_default() += 1;
    }
}

/// Crashes servers by turns: each is down for half of the period.
fn flap(record: &Record, engines: &[Arc<StreamingEngine>]) {
    let end = Instant::now() + FLAP_TIME;
    let pause = FLAP_PERIOD / engines.len() as u32;
    let mut turn = 0;
    while Instant::now() < end {
        let engine = &engines[turn % engines.len()];
        record.line(&format!("engine {} goes down", engine.id));
        engine.crash(FLAP_PERIOD / 2);
        turn += 1;
        thread::sleep(pause);
    }
}

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let runs = DeadRuns::default();
    let engines: Vec<Arc<StreamingEngine>> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-{number}e9d");
            StreamingEngine::start(record, &store, &runs, &id, Framing::Chunks)
        })
        .collect();
    let deployment = Deployment {
        root: &trial.root,
        folder: trial.folder.clone(),
        store: store_address,
        contracts: GROWN_CONTRACTS,
        bounds: GROWN_BOUNDS,
        control_port: free_port(host_ip(0)),
        seeds_down: false,
    };
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| Host::create(&deployment, number as u8, &format!("front-a-{}", number + 1), "a"))
        .collect();
    for host in &mut hosts {
        host.start(&deployment);
    }
    if !hosts.iter().all(Host::wait_ready) {
        record.say("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let callers = Arc::new(Callers {
        record: Arc::clone(record),
        fronts: hosts.iter().map(|host| host.front).collect(),
        stopped: AtomicBool::new(false),
        last_attempt: AtomicU64::new(0),
        ends: Mutex::default(),
    });
    let mut threads = Vec::new();
    for number in 0..HOSTS * CALLERS_PER_HOST {
        let callers = Arc::clone(&callers);
        threads.push(thread::spawn(move || {
            while !callers.stopped.load(Ordering::SeqCst) {
                callers.send(number % HOSTS, "sound", &format!("bb{:02}", number % 7));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let sending = Arc::clone(&callers);
    let dead = thread::spawn(move || {
        for turn in 0.. {
            if sending.stopped.load(Ordering::SeqCst) {
                return;
            }
            sending.send(turn % HOSTS, "deadly", DEAD_PART);
            thread::sleep(DEAD_INTERVAL);
        }
    });
    for _ in 0..FLAP_ENTRIES {
        match trial.trouble {
            true => flap(record, &engines[..FLAPPING]),
            false => thread::sleep(FLAP_TIME),
        }
        thread::sleep(FLAP_PAUSE);
    }
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain([dead]) {
        let _ = thread.join();
    }
    let mut ends: Vec<_> = callers.ends.lock().unwrap().clone().into_iter().collect();
    ends.sort_unstable();
    record.say(&format!("requests by kind and status: {ends:?}"));
    for host in &hosts {
        let log = host.log_text();
        for line in log.lines().filter(|line| line.contains("\"cause\":")) {
            record.line(&format!("log of {}: {line}", host.name));
        }
    }
    judge(record, CONTACT, &runs.lock().unwrap())
}

/// Counts the requests with the part that reach servers later than the contact time after the fifth
/// crash; all hosts are in touch all the time.
pub fn judge(record: &Record, contact: Duration, runs: &[(Duration, String)]) -> Verdict {
    record.say(&format!("{} requests with the part reached servers", runs.len()));
    let Some((fifth, _)) = runs.get(4) else {
        return Verdict::Held;
    };
    let counted = runs.iter().filter(|(at, _)| *at > *fifth + contact).count();
    record.say(&format!("{counted} requests count; the bound is 3"));
    match counted > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
