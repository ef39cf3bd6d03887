//! The system under test in the soak, from start to graceful shutdown.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use super::check::violations;
use super::faults::{FIRST_LIMIT_SEED, SERVER_LIMIT, bring_faults};
use super::load::{CallBook, CallRecord, CallerEnd, call_once, run_caller};
use super::odd::{FIRST_ODD_SEED, STRANGER, check_odd, serve_odd, with_odd_pools};
use super::process::{GRACE, HostProcess, ProcessEnd};
use super::proxy::LinkProxy;
use super::support::store::{StoreStandin, serve};
use super::support::{ServerLog, config, servers};

const HOSTS: usize = 3;
const CALLERS: usize = 12;
const SERVERS: [(&str, &str); 7] = [
    ("p1", "plain"),
    ("p2", "plain"),
    ("p3", "plain"),
    ("m1", "model"),
    ("m2", "model"),
    ("s1", "stage"),
    ("s2", "stage"),
];
/// Time after which a configuration, or the leaving of a server, is in force (settings of the hosts).
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Tolerance for delays of the machine.
const SLACK: Duration = Duration::from_millis(500);
/// Time after the end of all faults by which hosts serve again.
const RECOVERY: Duration = Duration::from_secs(12);
/// The window in which the users count requests to a server with a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit was first named by which hosts keep to it (`contact-ms`).
const LIMIT_KNOWN: Duration = Duration::from_secs(3);
/// Interval between two requests while servers name limits.
const LIMIT_CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after a caller has disconnected by which its server stops the work.
const GONE_TIME: Duration = Duration::from_millis(1000);

/// Memory that a host may take more after unusual answers, in kilobytes.
const MAX_GROWTH_KB: u64 = 32 * 1024;
/// Length of the timers that measure pauses of the test.
const PAUSE_STEP: Duration = Duration::from_millis(20);
/// Maximum number of callers that disconnect one after another, until the request of one has reached
/// a server.
const GONE_CALLERS: usize = 5;

/// Stand-in for a backend server behind a proxy.
pub struct SoakServer {
    name: &'static str,
    pool: &'static str,
    born: u64,
    state: &'static str,
    /// The proxy in front of the server.
    pub link: LinkProxy,
}

/// The system that a seed is run with.
pub struct SoakSystem {
    /// The hosts.
    pub hosts: Vec<HostProcess>,
    /// The backend servers.
    pub servers: Vec<SoakServer>,
    /// The store of the platform.
    pub store: Arc<StoreStandin>,
    log: Arc<ServerLog>,
    version: u64,
    key: &'static str,
    /// Whether the configuration has the pools of servers with unusual behaviour.
    has_odd: bool,
    directory: PathBuf,
}

impl SoakSystem {
    async fn start(seed: u64) -> Self {
        let directory = format!("hollywheel-soak-{}-{seed}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory).unwrap();
        let store = Arc::new(StoreStandin::default());
        let log = Arc::new(ServerLog::default());
        let address = serve(Arc::clone(&store)).await;
        let mut system = Self {
            hosts: Vec::new(),
            servers: Vec::new(),
            store,
            log: Arc::clone(&log),
            version: 0,
            key: "",
            has_odd: seed >= FIRST_ODD_SEED,
            directory,
        };
        for (index, (name, pool)) in SERVERS.into_iter().enumerate() {
            let link = LinkProxy::start(servers::serve(name, Arc::clone(&log)).await);
            system.servers.push(SoakServer {
                name,
                pool,
                born: 0,
                state: "ready",
                link,
            });
            system.announce(index, "ready");
        }
        system.publish("k1");
        for number in 0..HOSTS {
            let name = format!("front-a-{number}");
            let host = HostProcess::start(&name, address, &system.directory);
            system.hosts.push(host);
        }
        system
    }

    /// Writes the entry of a server, with a new incarnation if it is ready.
    pub fn announce(&mut self, server: usize, state: &'static str) {
        let server = &mut self.servers[server];
        server.state = state;
        if state == "ready" {
            server.born += 1;
        }
        let (address, born) = (server.link.address, server.born);
        self.store
            .set_server(server.name, server.pool, address, state, born);
    }

    /// Sets or removes the limit on requests that a server names.
    pub fn set_limit(&self, server: usize, limit: Option<f64>) {
        self.log.set_limit(self.servers[server].name, limit);
    }

    /// Publishes the next version, with a single access key.
    pub fn publish(&mut self, key: &'static str) {
        self.version += 1;
        self.key = key;
        self.write_config();
    }

    fn write_config(&self) {
        let text = config(self.version, self.key);
        self.store.set_config(&match self.has_odd {
            true => with_odd_pools(&text),
            false => text,
        });
    }

    /// Writes the current entries again, as the operator and the servers do after the store was restored
    /// from an older copy.
    pub fn write_again(&self) {
        for server in &self.servers {
            let address = server.link.address;
            self.store
                .set_server(server.name, server.pool, address, server.state, server.born);
        }
        self.write_config();
    }

    /// Waits until all hosts answer a request of each kind.
    async fn wait_serving(&self, book: &CallBook, round: &str) -> Result<(), String> {
        let until = Instant::now() + RECOVERY;
        for (index, host) in self.hosts.iter().enumerate() {
            for path in ["/pay/ok", "/look/ok", "/draft/ok", "/brief/ok"] {
                let mut number = 0;
                loop {
                    number += 1;
                    let attempt = format!("{round}h{index}{}n{number}", path.replace('/', ""));
                    let end = self.call(book, index, path, &attempt, "k1").await;
                    if matches!(end, CallerEnd::Whole(200, ..)) {
                        break;
                    }
                    if Instant::now() > until {
                        return Err(format!("{} does not serve {path}: {end:?}", host.name));
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    async fn call(
        &self,
        book: &CallBook,
        host: usize,
        path: &'static str,
        attempt: &str,
        key: &str,
    ) -> CallerEnd {
        let end = call_once(self.hosts[host].callers, path, attempt, key).await;
        book.lock().unwrap().push(CallRecord {
            attempt: attempt.to_owned(),
            path,
            host,
            end: end.clone(),
        });
        end
    }

    fn start_callers(&self, name: &str, seed: u64, time: Duration, book: &CallBook) -> JoinSet<()> {
        let addresses: Vec<_> = self.hosts.iter().map(|host| host.callers).collect();
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            callers.spawn(run_caller(
                format!("{name}c{number}"),
                seed.wrapping_mul(1000) + number as u64,
                addresses.clone(),
                Instant::now() + time,
                Arc::clone(book),
            ));
        }
        callers
    }

    /// Checks that a new version is in force on all hosts in time and is not reverted.
    async fn check_config(&mut self, book: &CallBook) -> Vec<String> {
        self.publish("k2");
        sleep(IN_FORCE + SLACK).await;
        let mut found = Vec::new();
        for round in 0..3 {
            for index in 0..self.hosts.len() {
                let attempt = format!("config{round}h{index}");
                let end = self.call(book, index, "/look/ok", &attempt, "k2").await;
                if !matches!(end, CallerEnd::Whole(200, ..)) {
                    found.push(format!("a new key is not in force: {attempt} {end:?}"));
                }
                // This request is not recorded, so if it is executed it counts as one that nobody sent.
                let host = self.hosts[index].callers;
                let end = call_once(host, "/look/ok", "withdrawn", "k1").await;
                if !matches!(end, CallerEnd::Whole(401, ..)) {
                    found.push(format!("an old key is in force: {attempt} {end:?}"));
                }
            }
        }
        self.publish("k1");
        sleep(IN_FORCE + SLACK).await;
        found
    }

    /// Checks that servers of each pool get no more requests from all hosts than they accept, and that
    /// the other servers serve the callers.
    async fn check_limit(&mut self, book: &CallBook) -> Vec<String> {
        const LIMITED: [usize; 3] = [1, 3, 5];
        for server in LIMITED {
            self.set_limit(server, Some(SERVER_LIMIT));
        }
        let named = Instant::now();
        let mut calls = JoinSet::new();
        let mut number = 0;
        while named.elapsed() < LIMIT_KNOWN + LIMIT_WINDOW * 2 {
            let host = number % self.hosts.len();
            let path = ["/pay/ok", "/draft/ok"][number / self.hosts.len() % 2];
            let (address, attempt) = (self.hosts[host].callers, format!("limit{number}"));
            calls.spawn(async move {
                let end = call_once(address, path, &attempt, "k1").await;
                CallRecord {
                    attempt,
                    path,
                    host,
                    end,
                }
            });
            number += 1;
            sleep(LIMIT_CALL_INTERVAL).await;
        }
        let mut found = Vec::new();
        while let Some(call) = calls.join_next().await {
            let call = call.unwrap();
            if !matches!(call.end, CallerEnd::Whole(200, ..)) {
                found.push(format!("not served beside a server with a limit: {call}"));
            }
            book.lock().unwrap().push(call);
        }
        let allowed = 1.5 * SERVER_LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0;
        for server in LIMITED {
            let name = self.servers[server].name;
            let arrivals = self.log.arrivals_since(name, named + LIMIT_KNOWN);
            let from = |first: &Instant| {
                let in_window = arrivals
                    .iter()
                    .filter(|at| *at >= first && at.duration_since(*first) < LIMIT_WINDOW);
                in_window.count()
            };
            let most = arrivals.iter().map(from).max().unwrap_or(0);
            if most as f64 > allowed {
                found.push(format!("{name} got {most} requests, {allowed} are allowed"));
            }
            self.set_limit(server, None);
        }
        found
    }

    /// Checks that servers with unusual behaviour, and an incomplete entry of another system, affect
    /// only the requests that they answer.
    async fn check_odd(&self, seed: u64, book: &CallBook) -> Vec<String> {
        for (name, pool) in [
            ("o1", "odd"),
            ("o2", "odd"),
            ("q1", "paused"),
            ("q2", "paused"),
        ] {
            let address = serve_odd(name, Arc::clone(&self.log)).await;
            self.store.set_server(name, pool, address, "ready", 1);
        }
        let address = serve_odd(STRANGER, Arc::clone(&self.log)).await;
        let entry = format!(
            r#"{{"service":"plain","address":"{address}","zone":"a","slots":4,"state":"ready","born":1}}"#
        );
        self.store.set_odd_server(STRANGER, entry.as_bytes());
        sleep(IN_FORCE + SLACK).await;
        let hosts: Vec<_> = self.hosts.iter().map(|host| host.callers).collect();
        let sizes: Vec<u64> = self.hosts.iter().map(HostProcess::resident_kb).collect();
        let mut found = check_odd(&hosts, seed, book).await;
        for (host, before) in self.hosts.iter().zip(sizes) {
            let growth = host.resident_kb().saturating_sub(before);
            if growth > MAX_GROWTH_KB {
                found.push(format!("{} grew by {growth} kB", host.name));
            }
        }
        found
    }

    /// Checks that a leaving server gets no new requests.
    async fn check_leaving(&mut self, book: &CallBook) -> Vec<String> {
        self.announce(0, "draining");
        sleep(IN_FORCE + SLACK).await;
        let mut found = Vec::new();
        for number in 0..30 {
            let attempt = format!("leaving{number}");
            let host = number % self.hosts.len();
            let end = self.call(book, host, "/pay/ok", &attempt, "k1").await;
            if !matches!(end, CallerEnd::Whole(200, ..)) {
                found.push(format!("not served beside a leaving server: {end:?}"));
            }
        }
        let ran = self.log.lines_with_prefix("ran leaving").concat();
        if ran.contains("at=p1") {
            found.push("a leaving server got new work".to_owned());
        }
        found
    }

    /// Checks that servers stop work for callers that have disconnected. If a caller disconnects before
    /// its request has reached a server, nothing is checked and another caller follows.
    async fn check_gone(&self, book: &CallBook) -> Vec<String> {
        let mut found = Vec::new();
        for (index, path) in ["/pay/slow", "/draft/slow"].into_iter().enumerate() {
            let mut reached = false;
            for number in 0..GONE_CALLERS {
                let attempt = format!("gone{index}n{number}");
                let call = self.call(book, index, path, &attempt, "k1");
                let left = tokio::time::timeout(Duration::from_millis(700), call).await;
                book.lock().unwrap().push(CallRecord {
                    attempt: attempt.clone(),
                    path,
                    host: index,
                    end: CallerEnd::Left,
                });
                sleep(GONE_TIME).await;
                let ran = !self
                    .log
                    .lines_with_prefix(&format!("ran {attempt} "))
                    .is_empty();
                let cancelled = !self
                    .log
                    .lines_with_prefix(&format!("cancelled {attempt}"))
                    .is_empty();
                reached = left.is_err() && ran;
                if reached && !cancelled {
                    found.push(format!("work goes on for a caller that left: {path}"));
                }
                if reached {
                    break;
                }
            }
            if !reached {
                found.push(format!("no server was reached: {path}"));
            }
        }
        found
    }

    /// Stops all hosts while callers keep using their connections.
    async fn check_stop(&mut self, seed: u64, book: &CallBook) -> Vec<String> {
        let stop_book = CallBook::default();
        let mut callers = self.start_callers("stop", seed, GRACE, &stop_book);
        sleep(Duration::from_millis(500)).await;
        for host in &self.hosts {
            host.signal(Signal::SIGTERM);
        }
        let mut found = Vec::new();
        for host in &mut self.hosts {
            let end = host.wait_end(GRACE).await;
            if end != ProcessEnd::Exit(0) {
                found.push(format!("{} did not stop cleanly: {end:?}", host.name));
            }
        }
        while callers.join_next().await.is_some() {}
        let calls = std::mem::take(&mut *stop_book.lock().unwrap());
        for call in &calls {
            let ran = self
                .log
                .lines_with_prefix(&format!("ran {} ", call.attempt));
            let cut = matches!(call.end, CallerEnd::Closed | CallerEnd::Broken);
            if cut && call.path.ends_with("/ok") && !ran.is_empty() {
                found.push(format!("cut in a planned stop: {call}"));
            }
        }
        book.lock().unwrap().extend(calls);
        found
    }
}

/// Measures the delay of the test's own timers. A time limit that is missed by about as much is missed
/// because of the machine.
struct PauseWatch {
    longest: Arc<Mutex<Duration>>,
    task: JoinHandle<()>,
}

impl PauseWatch {
    fn start() -> Self {
        let longest = Arc::new(Mutex::new(Duration::ZERO));
        let seen = Arc::clone(&longest);
        let task = tokio::spawn(async move {
            loop {
                let started = Instant::now();
                sleep(PAUSE_STEP).await;
                let pause = started.elapsed().saturating_sub(PAUSE_STEP);
                let mut longest = seen.lock().unwrap();
                *longest = pause.max(*longest);
            }
        });
        Self { longest, task }
    }

    fn longest(&self) -> Duration {
        *self.longest.lock().unwrap()
    }
}

impl Drop for PauseWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs one seed; returns the violated guarantees.
pub async fn play_seed(seed: u64) -> Vec<String> {
    println!("seed {seed}");
    let pauses = PauseWatch::start();
    let mut system = SoakSystem::start(seed).await;
    let book = CallBook::default();
    let mut found = Vec::new();
    found.extend(system.wait_serving(&book, "start").await.err());
    let mut callers = system.start_callers("load", seed, Duration::from_secs(7), &book);
    found.extend(bring_faults(&mut system, seed).await);
    while callers.join_next().await.is_some() {}
    // Hosts that were told to stop may still be running.
    sleep(GRACE / 2).await;
    for host in &mut system.hosts {
        if host.end() != ProcessEnd::Running {
            host.run();
        }
    }
    found.extend(system.wait_serving(&book, "after").await.err());
    found.extend(system.check_config(&book).await);
    if seed >= FIRST_LIMIT_SEED {
        found.extend(system.check_limit(&book).await);
    }
    if seed >= FIRST_ODD_SEED {
        found.extend(system.check_odd(seed, &book).await);
    }
    found.extend(system.check_leaving(&book).await);
    found.extend(system.check_gone(&book).await);
    found.extend(system.check_stop(seed, &book).await);
    let calls = std::mem::take(&mut *book.lock().unwrap());
    let served = calls
        .iter()
        .filter(|call| matches!(call.end, CallerEnd::Whole(200, ..)));
    println!("  {} of {} calls served", served.count(), calls.len());
    found.extend(violations(&calls, &system.log));
    println!(
        "  the test itself paused for {:?} at most",
        pauses.longest()
    );
    if found.is_empty() {
        let _ = std::fs::remove_dir_all(&system.directory);
    } else {
        println!("  logs: {}", system.directory.display());
    }
    found
}
