//! A request crashes each engine that begins to run it, and comes again. The hosts refuse it after the
//! third crash. Then the hosts are stopped and started in turn; the seeds in their settings are down.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::crashing::{CrashingEngine, DEAD_BODY, DeadRun};
use crate::hosts::{Deployment, Host, SMALL_BOUNDS, SMALL_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::{Trial, Verdict};

const ENGINES: usize = 8;
const HOSTS: [&str; 3] = ["front-a-1", "front-a-2", "front-a-3"];
/// The pause after which the request comes again, at the next host.
const DEAD_INTERVAL: Duration = Duration::from_millis(900);
const CONTACT: Duration = Duration::from_secs(3);
/// Time from the start of one host to the stop of the next one.
const RESTART_GAP: Duration = Duration::from_secs(13);
/// Time for which the trial goes on without restarts.
const CALM_TIME: Duration = Duration::from_secs(45);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"pay","host":"h.example","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":1500,"latency-target-ms":300,"service":"plain","max-attempts":1}],"services":[{"name":"plain","max-connections":200}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

struct Callers {
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
    /// Whether the balancer sends callers to each host.
    open: [AtomicBool; HOSTS.len()],
    stopped: AtomicBool,
    last_attempt: AtomicU64,
    /// The host to which each attempt at the dead request was sent.
    dead: Mutex<HashMap<String, usize>>,
    /// Sound requests with each status; 0 stands for no answer.
    sound: Mutex<HashMap<u16, usize>>,
}

impl Callers {
    /// Sends one request on a connection of its own; returns the status.
    fn send(&self, host: usize, body: &str) -> u16 {
        let number = self.last_attempt.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        let path = if body == DEAD_BODY { "dead" } else { "sound" };
        if body == DEAD_BODY {
            self.dead.lock().unwrap().insert(attempt.clone(), host);
        }
        let request = format!(
            "POST /pay/{path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let opened = Connection::open(self.fronts[host], Duration::from_secs(2));
        let answered = opened.and_then(|mut connection| connection.call(request.as_bytes()));
        let status = answered.map_or(0, |response| response.status());
        self.record
            .line(&format!("caller of {}: {attempt} {path} answered {status}", HOSTS[host]));
        status
    }

    fn is_open(&self, host: usize) -> bool {
        self.open[host].load(Ordering::SeqCst)
    }
}

fn send_dead(callers: &Callers) {
    let mut host = 0;
    while !callers.stopped.load(Ordering::SeqCst) {
        host = (host + 1) % HOSTS.len();
        if !callers.is_open(host) {
            continue;
        }
        callers.send(host, DEAD_BODY);
        thread::sleep(DEAD_INTERVAL);
    }
}

fn send_sound(callers: &Callers, host: usize) {
    while !callers.stopped.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(60));
        if callers.is_open(host) {
            let body = format!("payment {}", callers.last_attempt.load(Ordering::SeqCst));
            let status = callers.send(host, &body);
            *callers.sound.lock().unwrap().entry(status).or_default() += 1;
        }
    }
}

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let runs: Arc<Mutex<Vec<DeadRun>>> = Arc::default();
    let engines: Vec<Arc<CrashingEngine>> = (0..ENGINES)
        .map(|number| CrashingEngine::start(record, &store, &runs, &format!("i-{number}c40")))
        .collect();
    let deployment = Deployment {
        root: &trial.root,
        folder: trial.folder.clone(),
        store: store_address,
        contracts: SMALL_CONTRACTS,
        bounds: SMALL_BOUNDS,
        control_port: free_port(host_ip(0)),
        seeds_down: std::env::var_os("LIVE_SEEDS").is_none(),
    };
    let mut hosts: Vec<Host> = (0..HOSTS.len())
        .map(|number| Host::create(&deployment, number as u8, HOSTS[number], "a"))
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
        open: [const { AtomicBool::new(true) }; HOSTS.len()],
        stopped: AtomicBool::new(false),
        last_attempt: AtomicU64::new(0),
        dead: Mutex::default(),
        sound: Mutex::default(),
    });
    let mut threads = Vec::new();
    for number in 0..HOSTS.len() {
        let sending = Arc::clone(&callers);
        threads.push(thread::spawn(move || send_sound(&sending, number)));
    }
    let sending = Arc::clone(&callers);
    threads.push(thread::spawn(move || send_dead(&sending)));

    // All hosts refuse the request by then.
    thread::sleep(Duration::from_secs(9));
    // When each host was last started.
    let mut started = [Duration::ZERO; HOSTS.len()];
    if trial.trouble {
        for number in 0..HOSTS.len() {
            record.say(&format!("{} gets SIGTERM", HOSTS[number]));
            hosts[number].signal("TERM");
            // The platform takes a host out of its rotation after two questions without a 200.
            thread::sleep(Duration::from_secs(2));
            callers.open[number].store(false, Ordering::SeqCst);
            hosts[number].wait();
            thread::sleep(Duration::from_millis(300));
            started[number] = record.now();
            hosts[number].start(&deployment);
            if !hosts[number].wait_ready() {
                record.say("a host does not start again");
                return Verdict::NotRun;
            }
            callers.open[number].store(true, Ordering::SeqCst);
            record.say(&format!("{} is ready again", HOSTS[number]));
            let gap_began = Instant::now();
            thread::sleep(RESTART_GAP.saturating_sub(gap_began.elapsed()));
        }
    } else {
        thread::sleep(CALM_TIME);
    }
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&format!("{} engines; sound requests by status: {:?}", engines.len(), callers.sound.lock().unwrap()));
    judge(record, &runs.lock().unwrap(), &callers.dead.lock().unwrap(), &started)
}

/// Counts the runs that machines in touch sent later than the contact time after the third crash.
fn judge(
    record: &Record,
    runs: &[DeadRun],
    dead: &HashMap<String, usize>,
    started: &[Duration; HOSTS.len()],
) -> Verdict {
    record.say(&format!("the request was sent {} times and ran {} times", dead.len(), runs.len()));
    let Some(third) = runs.get(2) else {
        record.say("fewer than three crashes");
        return Verdict::NotRun;
    };
    let from = third.at + CONTACT;
    let mut counted = 0;
    for run in runs {
        let Some(host) = dead.get(&run.attempt) else {
            continue;
        };
        // A host that was started again is in touch after the contact time.
        let is_in_touch = run.at < started[*host] || run.at >= started[*host] + CONTACT;
        let counts = run.at > from && is_in_touch;
        counted += usize::from(counts);
        record.say(&format!(
            "run at {:.2} s from {}{}",
            run.at.as_secs_f64(),
            HOSTS[*host],
            if counts { ", counted" } else { "" }
        ));
    }
    record.say(&format!("{counted} retries count; the bound is 3"));
    match counted > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
