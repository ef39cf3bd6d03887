//! Engines preempt a stream for some seconds. The host continues it at another engine while one that does
//! not notice the close of its connection goes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::hosts::{Deployment, Host, SMALL_BOUNDS, SMALL_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::preempting::{EVENTS, PreemptingEngine, Run};
use crate::record::Record;
use crate::store::Store;
use crate::{Trial, Verdict};

const HOSTS: usize = 3;
const ENGINES: usize = 6;
const CALLERS_PER_HOST: usize = 4;
const TRIAL_TIME: Duration = Duration::from_secs(45);
/// Time after which the engine before may no longer work on a request that goes on elsewhere.
const BOUND: Duration = Duration::from_millis(400);

/// The route of bid-summary, without its stages.
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"brief","host":"h.example","path-prefix":"/brief/","kind":"streaming","timeout-ms":12000,"latency-target-ms":1400,"gap-target-ms":250,"service":"model","max-attempts":2,"session-affinity":true,"resume-streams":true}],"services":[{"name":"model","max-connections":500,"engine":{"slots":96,"kv-cache-tokens":900000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

fn send(record: &Record, address: SocketAddr, number: u64) {
    let attempt = format!("{number:016x}");
    let request = format!(
        "POST /brief/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer k1\r\nModel: m\r\nToken-Counts: 850,100\r\nPrompt-Prefix: aa{:02x}:500,f{number:x}:50\r\nContent-Length: 4\r\n\r\ndata",
        number % 8
    );
    let opened = Connection::open(address, Duration::from_secs(13));
    let answered = opened.and_then(|mut connection| connection.call(request.as_bytes()));
    let end = answered.map_or("no whole answer".to_owned(), |response| {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        format!("{} with {} of {EVENTS} events", response.status(), text.matches("id: ").count())
    });
    record.line(&format!("caller: {attempt} answered {end}"));
}

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let preempts = Arc::new(AtomicBool::new(trial.trouble));
    // Most engines drop a request when its connection closes; the first one does not.
    let engines: Vec<Arc<PreemptingEngine>> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-{number}e9d");
            PreemptingEngine::start(record, &store, &id, number > 0, &preempts)
        })
        .collect();
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
    let stopped = Arc::new(AtomicBool::new(false));
    let last_attempt = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for number in 0..HOSTS * CALLERS_PER_HOST {
        let (record, address) = (Arc::clone(record), hosts[number % HOSTS].front);
        let (stopped, last) = (Arc::clone(&stopped), Arc::clone(&last_attempt));
        threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                send(&record, address, last.fetch_add(1, Ordering::SeqCst) + 1);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(TRIAL_TIME);
    stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(3));
    judge(record, &engines)
}

/// Counts the requests that went on at another engine while the one before still made events later.
fn judge(record: &Record, engines: &[Arc<PreemptingEngine>]) -> Verdict {
    let runs = engines.iter().flat_map(|engine| engine.runs.lock().unwrap().clone());
    let mut runs: Vec<Run> = runs.filter(|run| !run.events.is_empty()).collect();
    runs.sort_by_key(|run| (run.attempt.clone(), run.events[0]));
    let (mut continued, mut broken) = (0, 0);
    for pair in runs.windows(2) {
        let [before, after] = pair else { continue };
        if before.attempt != after.attempt {
            continue;
        }
        continued += 1;
        let begun = after.events[0];
        let late = before.events.iter().filter(|at| **at > begun + BOUND).count();
        if late > 0 {
            broken += 1;
            record.say(&format!(
                "{}: goes on at {} at {:.2} s; {} makes {late} events later than {} ms after that, the last at {:.2} s",
                before.attempt,
                after.engine,
                begun.as_secs_f64(),
                before.engine,
                BOUND.as_millis(),
                before.events.last().unwrap_or(&begun).as_secs_f64()
            ));
        }
    }
    record.say(&format!("{} runs; {continued} went on at another engine, {broken} of them while the engine before worked on", runs.len()));
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
