//! The pieces of a request crash each stage server that begins to make them, at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::hosts::{Deployment, Host, SMALL_BOUNDS, SMALL_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::record::Record;
use crate::staging::{DEAD_KEY, StageEngine};
use crate::store::Store;
use crate::streaming::{DeadRuns, Framing, StreamingEngine};
use crate::{Trial, Verdict};

const HOSTS: usize = 3;
const STAGE_ENGINES: usize = 6;
const MODEL_ENGINES: usize = 6;
/// The pause after which the request comes again, at the next host.
const DEAD_INTERVAL: Duration = Duration::from_millis(2000);
const CALLERS_PER_HOST: usize = 4;
const TRIAL_TIME: Duration = Duration::from_secs(40);
const CONTACT: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"draft","host":"h.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":8000,"latency-target-ms":1400,"gap-target-ms":250,"service":"model","max-attempts":1,"session-affinity":true,"stages":[{"service":"stage","after":[],"bytes":8000}]}],"services":[{"name":"model","max-connections":500,"engine":{"slots":96,"kv-cache-tokens":900000}},{"name":"stage","max-connections":500,"pieces":{"slots":1,"queue":2,"batch":54,"call-ms":150,"item-ms":2.4,"headroom-mb":9.7,"handle-s":4,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

struct Callers {
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
    stopped: AtomicBool,
    last_attempt: AtomicU64,
    ends: Mutex<HashMap<(&'static str, u16), usize>>,
}

impl Callers {
    fn send(&self, host: usize, kind: &'static str, key: &str) {
        let number = self.last_attempt.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        // The dead request is the same each time, but for its attempt.
        let (path, last) = match kind {
            "deadly" => ("dead".to_owned(), 1),
            _ => (format!("s{number}"), number),
        };
        let request = format!(
            "POST /draft/{path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nModel: m\r\nToken-Counts: 850,30\r\nPrompt-Prefix: aa01:500,f{last:x}:50\r\nPieces: 3\r\nPiece-Key: {key}\r\nContent-Length: 4\r\n\r\ndata"
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

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let runs = DeadRuns::default();
    let unused = DeadRuns::default();
    // LATE_CRASH=1 shows the same with crashes after 60 ms.
    let crash_delay = match std::env::var_os("LATE_CRASH") {
        Some(_) => Duration::from_millis(60),
        None => Duration::from_millis(1),
    };
    for number in 0..STAGE_ENGINES {
        let id = format!("i-{number}57a9e");
        StageEngine::start(record, &store, &runs, &id, crash_delay);
    }
    for number in 0..MODEL_ENGINES {
        let id = format!("i-{number}e9d");
        StreamingEngine::start(record, &store, &unused, &id, Framing::Chunks);
    }
    let deployment = Deployment {
        root: &trial.root,
        folder: trial.folder.clone(),
        store: store_address,
        contracts: SMALL_CONTRACTS,
        bounds: SMALL_BOUNDS,
        control_port: free_port(host_ip(0)),
        seeds_down: false,
    };
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let name = format!("front-a-{}", number + 1);
            Host::create(&deployment, number as u8, &name, "a")
        })
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
                let key = format!("{:010x}", callers.last_attempt.load(Ordering::SeqCst) + 77);
                callers.send(number % HOSTS, "sound", &key);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    if trial.trouble {
        let sending = Arc::clone(&callers);
        threads.push(thread::spawn(move || {
            for turn in 0.. {
                if sending.stopped.load(Ordering::SeqCst) {
                    return;
                }
                sending.send(turn % HOSTS, "deadly", DEAD_KEY);
                thread::sleep(DEAD_INTERVAL);
            }
        }));
    }
    thread::sleep(TRIAL_TIME);
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let mut ends: Vec<_> = callers.ends.lock().unwrap().clone().into_iter().collect();
    ends.sort_unstable();
    record.say(&format!("requests by kind and status: {ends:?}"));
    judge(record, &runs.lock().unwrap())
}

/// Counts the attempts that reach servers later than the contact time after the third crash.
fn judge(record: &Record, runs: &[(Duration, String)]) -> Verdict {
    record.say(&format!("the request crashed servers {} times", runs.len()));
    let Some((third, _)) = runs.get(2) else {
        return Verdict::Held;
    };
    let late = runs.iter().filter(|(at, _)| *at > *third + CONTACT);
    let mut attempts: Vec<&String> = late.map(|(_, attempt)| attempt).collect();
    attempts.sort();
    attempts.dedup();
    record.say(&format!("{} retries count; the bound is 3", attempts.len()));
    match attempts.len() > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
