//! A host is stopped and started again; the removal of its row gets no response and is performed after
//! the new process has written its row. Later the engines name a limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engines::Engine;
use crate::hosts::{Deployment, Host, SMALL_BOUNDS, SMALL_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::record::Record;
use crate::store::{RemovalPlan, Store};
use crate::{Trial, Verdict};

/// Requests a second that an engine takes from all hosts together while it names its limit.
const LIMIT: f64 = 10.0;
const ENGINES: [&str; 4] = ["i-51c0a7e2", "i-8d2b64f9", "i-a6f31c08", "i-e4097b5d"];
const HOSTS: [&str; 3] = ["front-a-1", "front-a-2", "front-a-3"];
/// The host that is stopped and started again.
const RESTARTED: usize = 0;
/// How late the store performs the removal: within the one to six seconds of the bench.
const LATE: Duration = Duration::from_millis(5000);
const CALLERS_PER_HOST: usize = 10;
const CALLER_PAUSE: Duration = Duration::from_millis(150);
/// Time between the last disruption and the limit.
const CALM: Duration = Duration::from_secs(20);
const LIMITED_TIME: Duration = Duration::from_secs(20);
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"look","host":"h.example","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"latency-target-ms":300,"service":"plain","max-attempts":1}],"services":[{"name":"plain","max-connections":200}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

/// The host to which each attempt was sent, and when its answer with a limit was passed on.
type Attempts = Arc<Mutex<HashMap<String, (usize, Option<(Duration, bool)>)>>>;

struct Callers {
    record: Arc<Record>,
    attempts: Attempts,
    /// Whether the balancer sends callers to each host.
    open: [AtomicBool; HOSTS.len()],
    stopped: AtomicBool,
    last_attempt: AtomicU64,
    refused: AtomicU64,
    answered: AtomicU64,
}

fn call_host(callers: &Callers, host: usize, address: SocketAddr) {
    let mut kept: Option<Connection> = None;
    while !callers.stopped.load(Ordering::SeqCst) {
        thread::sleep(CALLER_PAUSE);
        if !callers.open[host].load(Ordering::SeqCst) {
            kept = None;
            continue;
        }
        let opened = kept
            .take()
            .map_or_else(|| Connection::open(address, Duration::from_secs(2)), Ok);
        let Ok(mut connection) = opened else {
            continue;
        };
        let number = callers.last_attempt.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        let request = format!(
            "GET /look/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n\r\n"
        );
        let mut attempts = callers.attempts.lock().unwrap();
        attempts.insert(attempt.clone(), (host, None));
        drop(attempts);
        let Ok(response) = connection.call(request.as_bytes()) else {
            callers
                .record
                .line(&format!("caller of {}: {attempt} no answer", HOSTS[host]));
            continue;
        };
        let is_success = response.status() == 200;
        let counter = if is_success { &callers.answered } else { &callers.refused };
        counter.fetch_add(1, Ordering::SeqCst);
        callers.record.line(&format!(
            "caller of {}: {attempt} answered {}",
            HOSTS[host],
            response.status()
        ));
        let mut attempts = callers.attempts.lock().unwrap();
        if let Some(known) = attempts.get_mut(&attempt) {
            known.1 = Some((callers.record.now(), is_success));
        }
        drop(attempts);
        if response.header("connection") != "close" {
            kept = Some(connection);
        }
    }
}

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let work = Duration::from_millis(20);
    let engines = ENGINES.map(|id| Engine::start(record, id, LIMIT, work));
    for engine in &engines {
        store.set_document("servers", &engine.id, &engine.entry("plain", "a"));
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
    let callers = Arc::new(Callers {
        record: Arc::clone(record),
        attempts: Attempts::default(),
        open: [const { AtomicBool::new(true) }; HOSTS.len()],
        stopped: AtomicBool::new(false),
        last_attempt: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        answered: AtomicU64::new(0),
    });
    thread::sleep(Duration::from_secs(2));
    let mut threads = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for _ in 0..CALLERS_PER_HOST {
            let (callers, address) = (Arc::clone(&callers), host.front);
            threads.push(thread::spawn(move || call_host(&callers, number, address)));
        }
    }
    thread::sleep(Duration::from_secs(3));

    // A planned restart. The platform takes the host out of its rotation after two seconds.
    store.plan_removal(match trial.trouble {
        true => RemovalPlan::Late(LATE),
        false => RemovalPlan::Prompt,
    });
    let stopped_at = Instant::now();
    record.say(&format!("{} gets SIGTERM", HOSTS[RESTARTED]));
    hosts[RESTARTED].signal("TERM");
    thread::sleep(Duration::from_secs(2));
    callers.open[RESTARTED].store(false, Ordering::SeqCst);
    hosts[RESTARTED].wait();
    record.say(&format!("{} has ended", HOSTS[RESTARTED]));
    thread::sleep(Duration::from_millis(300));
    hosts[RESTARTED].start(&deployment);
    let is_ready = hosts[RESTARTED].wait_ready();
    if !is_ready || stopped_at.elapsed() >= LATE {
        record.say("the host did not restart in time");
        return Verdict::NotRun;
    }
    record.say(&format!("{} is ready again", HOSTS[RESTARTED]));
    callers.open[RESTARTED].store(true, Ordering::SeqCst);
    thread::sleep(LATE.saturating_sub(stopped_at.elapsed()) + CALM);

    record.say(&format!("the engines name a limit of {LIMIT} requests a second"));
    let limited_at = record.now();
    for engine in &engines {
        engine.names_limit.store(true, Ordering::SeqCst);
    }
    thread::sleep(LIMITED_TIME);
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let answered = callers.answered.load(Ordering::SeqCst);
    let refused = callers.refused.load(Ordering::SeqCst);
    record.say(&format!("{answered} requests answered, {refused} refused"));
    for host in &hosts {
        let log = host.log_text();
        for line in log.lines().filter(|line| line.contains("Another host has left")) {
            record.line(&format!("log of {}: {line}", host.name));
        }
    }
    judge(record, &engines, &callers.attempts, limited_at)
}

/// Counts the requests of each engine in spans of four seconds, of the hosts that had passed on an
/// answer with a limit half a second before.
fn judge(
    record: &Record,
    engines: &[Arc<Engine>],
    attempts: &Attempts,
    limited_at: Duration,
) -> Verdict {
    let attempts = attempts.lock().unwrap();
    let bound = LIMIT * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let mut verdict = Verdict::Held;
    for engine in engines {
        let arrivals = engine.arrivals.lock().unwrap();
        // When each host had first passed on an answer of this engine with its limit.
        let mut told = [Duration::MAX; HOSTS.len()];
        for arrival in arrivals.iter().filter(|arrival| arrival.limited) {
            if let Some((host, Some((at, true)))) = attempts.get(&arrival.attempt) {
                told[*host] = told[*host].min(*at);
            }
        }
        let first_named = arrivals.iter().find(|arrival| arrival.limited);
        let from = first_named.map_or(limited_at, |arrival| arrival.at) + CONTACT;
        let counted: Vec<(Duration, usize)> = arrivals
            .iter()
            .filter_map(|arrival| {
                let (host, _) = *attempts.get(&arrival.attempt)?;
                let is_told = told[host].checked_add(Duration::from_millis(500))? <= arrival.at;
                (is_told && arrival.at >= from).then_some((arrival.at, host))
            })
            .collect();
        let mut most = (0, Duration::ZERO, [0; HOSTS.len()]);
        for (index, (start, _)) in counted.iter().enumerate() {
            let mut by_host = [0; HOSTS.len()];
            for (_, host) in counted[index..].iter().take_while(|(at, _)| *at < *start + WINDOW) {
                by_host[*host] += 1;
            }
            let sum: usize = by_host.iter().sum();
            if sum > most.0 {
                most = (sum, *start, by_host);
            }
        }
        record.say(&format!(
            "engine {}: at most {} requests in 4 s (from {:.1} s, by host {:?}); the bound is {bound}",
            engine.id,
            most.0,
            most.1.as_secs_f64(),
            most.2
        ));
        if most.0 as f64 > bound {
            verdict = Verdict::Broken;
        }
    }
    verdict
}
