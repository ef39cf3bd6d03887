//! The link between one host and the store is cut, is back for a second and is cut again. In the second
//! cut the entries of engines are removed, which leave without reporting it. Other hosts go on sending.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::hosts::{Deployment, Host, SMALL_BOUNDS, SMALL_CONTRACTS, free_port, host_ip};
use crate::http::Connection;
use crate::leaving::LeavingEngine;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{Trial, Verdict};

const HOSTS: usize = 9;
const ENGINES: usize = 9;
const FIRST_CUT: Duration = Duration::from_secs(4);
/// Time between the two cuts, in each round.
const LINK_BACK_MS: [u64; 5] = [1000, 800, 1200, 900, 1400];
const SECOND_CUT: Duration = Duration::from_secs(4);
const DRAIN: Duration = Duration::from_millis(2000);
/// How much longer than that the engines serve.
const LINGER: Duration = Duration::from_millis(150);
const CALLERS_PER_HOST: usize = 4;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"pay","host":"h.example","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":3000,"latency-target-ms":300,"service":"plain","max-attempts":1}],"services":[{"name":"plain","max-connections":200}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["k1"]}]}"#;

struct Callers {
    record: Arc<Record>,
    stopped: AtomicBool,
    last_attempt: AtomicU64,
    /// The host to which each attempt was sent, and its status; 0 stands for no answer.
    attempts: Mutex<HashMap<String, (usize, u16)>>,
}

fn call_host(callers: &Callers, host: usize, address: SocketAddr) {
    let mut kept: Option<Connection> = None;
    while !callers.stopped.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(40));
        let time = Duration::from_secs(4);
        let opened = kept.take().map_or_else(|| Connection::open(address, time), Ok);
        let Ok(mut connection) = opened else {
            continue;
        };
        let number = callers.last_attempt.fetch_add(1, Ordering::SeqCst) + 1;
        let attempt = format!("{number:016x}");
        let request = format!(
            "POST /pay/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\ndata"
        );
        let mut attempts = callers.attempts.lock().unwrap();
        attempts.insert(attempt.clone(), (host, 0));
        drop(attempts);
        let response = connection.call(request.as_bytes());
        let status = response.as_ref().map_or(0, |response| response.status());
        callers
            .record
            .line(&format!("caller of host {host}: {attempt} answered {status}"));
        let mut attempts = callers.attempts.lock().unwrap();
        attempts.insert(attempt, (host, status));
        drop(attempts);
        if response.is_ok_and(|response| response.header("connection") != "close") {
            kept = Some(connection);
        }
    }
}

/// Returns the host that most others follow, from the source of a change in their logs.
fn find_source(hosts: &[Host], server: &str) -> Option<usize> {
    let mut followers = vec![0; hosts.len()];
    for host in hosts {
        let log = host.log_text();
        let mut lines = log.lines().filter(|line| line.contains(server));
        let Some(line) = lines.find(|line| line.contains("\"source\":")) else {
            continue;
        };
        let source = line.split("\"source\":\"").nth(1)?.split('"').next()?;
        if let Some(number) = hosts.iter().position(|other| other.name == source) {
            followers[number] += 1;
        }
    }
    let (number, count) = followers.iter().enumerate().max_by_key(|(_, count)| **count)?;
    (*count > 0).then_some(number)
}

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let engines: Vec<Arc<LeavingEngine>> = (0..ENGINES)
        .map(|number| LeavingEngine::start(record, &store, &format!("i-{number}a7e")))
        .collect();
    let proxies: Vec<Arc<Proxy>> = (0..HOSTS).map(|_| Proxy::start(store_address)).collect();
    let control_port = free_port(host_ip(0));
    let mut hosts = Vec::new();
    for (number, proxy) in proxies.iter().enumerate() {
        let deployment = Deployment {
            root: &trial.root,
            folder: trial.folder.clone(),
            store: proxy.address,
            contracts: SMALL_CONTRACTS,
            bounds: SMALL_BOUNDS,
            control_port,
            seeds_down: false,
        };
        let name = format!("front-a-{}", number + 1);
        let mut host = Host::create(&deployment, number as u8, &name, "a");
        host.start(&deployment);
        hosts.push(host);
    }
    if !hosts.iter().all(Host::wait_ready) {
        record.say("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    // One more engine, whose entry shows in the logs which host each one follows.
    let last = LeavingEngine::start(record, &store, "i-99shown");
    thread::sleep(Duration::from_secs(2));
    let Some(source) = find_source(&hosts, &last.id) else {
        record.say("no host follows another one");
        return Verdict::NotRun;
    };
    record.say(&format!("{} is followed by others", hosts[source].name));
    let callers = Arc::new(Callers {
        record: Arc::clone(record),
        stopped: AtomicBool::new(false),
        last_attempt: AtomicU64::new(0),
        attempts: Mutex::default(),
    });
    let mut threads = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for _ in 0..CALLERS_PER_HOST {
            let (callers, address) = (Arc::clone(&callers), host.front);
            threads.push(thread::spawn(move || call_host(&callers, number, address)));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut leaving = Vec::new();
    for (round, link_back) in LINK_BACK_MS.into_iter().enumerate() {
        let set_cut = |is_cut: bool| {
            if trial.trouble {
                proxies[source].cut(is_cut);
                let state = if is_cut { "cut" } else { "back" };
                record.say(&format!("the link of {} is {state}", hosts[source].name));
            }
        };
        set_cut(true);
        thread::sleep(FIRST_CUT);
        set_cut(false);
        thread::sleep(Duration::from_millis(link_back));
        set_cut(true);
        thread::sleep(Duration::from_millis(20));
        let engine = Arc::clone(&engines[round]);
        let removed_at = engine.leave(DRAIN + LINGER);
        record.say(&format!("the entry of {} is removed", engine.id));
        leaving.push((engine, removed_at));
        thread::sleep(SECOND_CUT);
        set_cut(false);
        thread::sleep(Duration::from_secs(4));
    }
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    judge(record, &leaving, &callers.attempts.lock().unwrap(), source)
}

/// Counts the requests that reach an engine later than the bound after the removal of its entry, sent by
/// hosts whose links were never cut.
fn judge(
    record: &Record,
    leaving: &[(Arc<LeavingEngine>, Duration)],
    attempts: &HashMap<String, (usize, u16)>,
    source: usize,
) -> Verdict {
    let mut late = 0;
    for (engine, removed_at) in leaving {
        let mut lost = 0;
        let mut last = Duration::ZERO;
        let mut count = 0;
        for (at, attempt) in engine.arrivals.lock().unwrap().iter() {
            let Some((host, status)) = attempts.get(attempt) else {
                continue;
            };
            if *host != source && *at > *removed_at + DRAIN {
                count += 1;
                last = *at - *removed_at;
                lost += usize::from(*status != 200);
            }
        }
        record.say(&format!(
            "engine {}: {count} requests later than {} ms after the removal, the last after {} ms; {lost} of them got no success",
            engine.id,
            DRAIN.as_millis(),
            last.as_millis()
        ));
        late += count;
    }
    match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
