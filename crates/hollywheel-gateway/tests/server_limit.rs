//! Checks that all hosts together honour the limits on requests that servers name in responses.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::store::StoreStandin;
use support::{
    CallerResponse, HostAddresses, RawStep, config, free_address, request, send, serve_raw,
    start_named_gateway, store,
};
use tokio::time::sleep;

/// Requests a second that a server accepts from all hosts together.
const LIMIT: f64 = 1.5;
/// The window in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the limit was first named from which requests count (`contact-ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests that the users' rule allows in one window: one and a half times the limit and 5 more.
const ALLOWED: f64 = 1.5 * LIMIT * 4.0 + 5.0;
/// Number of hosts, as in the smaller deployments.
const HOSTS: usize = 9;

/// A server that can name a limit, with the times at which it received requests.
struct LimitedServer {
    address: SocketAddr,
    limited: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedServer {
    /// Starts a server that names the limit while `limited` is set. It answers any request, stage
    /// calls included.
    async fn start() -> Self {
        let limited = Arc::new(AtomicBool::new(false));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (is_limited, log) = (Arc::clone(&limited), Arc::clone(&arrivals));
        let (address, _) = serve_raw(move |request| {
            let number = {
                let mut log = log.lock().unwrap();
                log.push(Instant::now());
                log.len()
            };
            let header = match is_limited.load(Ordering::Relaxed) {
                true => format!("server-limit: {LIMIT}\r\n"),
                false => String::new(),
            };
            let body = match request.path.as_str() {
                "/stage-run" => format!(
                    r#"{{"items":[{{"handle":"{}/{number}-0"}},{{"handle":"{}/{number}-1"}}]}}"#,
                    request.authority, request.authority
                ),
                "/stage-free" => "{}".to_owned(),
                path if path.starts_with("/pay") || path.starts_with("/look") => "paid".to_owned(),
                _ => "id: 1\ndata: a\n\n".to_owned(),
            };
            vec![RawStep::Send(request.response("200 OK", &header, &body))]
        })
        .await;
        Self {
            address,
            limited,
            arrivals,
        }
    }

    fn set_limited(&self, limited: bool) {
        self.limited.store(limited, Ordering::Relaxed);
    }

    fn count_since(&self, start: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at >= start).count()
    }

    /// Returns the largest number of requests in any window that begins after `start`.
    fn most_in_window(&self, start: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= start).collect();
        let count_from = |first: &Instant| {
            let in_window = counted.iter().filter(|at| *at >= first);
            in_window
                .filter(|at| at.duration_since(*first) < WINDOW)
                .count()
        };
        counted.iter().map(count_from).max().unwrap_or(0)
    }
}

/// Hosts that share a store, and the addresses on which they accept callers.
struct HostFleet {
    store: Arc<StoreStandin>,
    store_address: SocketAddr,
    name: &'static str,
    callers: Vec<SocketAddr>,
}

impl HostFleet {
    /// Starts hosts and waits until every one serves.
    async fn start(name: &'static str, hosts: usize) -> Self {
        let store = Arc::new(StoreStandin::default());
        store.set_config(&config(1, "k1"));
        let mut fleet = Self {
            store_address: store::serve(Arc::clone(&store)).await,
            store,
            name,
            callers: Vec::new(),
        };
        for _ in 0..hosts {
            fleet.add_host().await;
        }
        sleep(Duration::from_millis(1500)).await;
        fleet
    }

    /// Starts one more host and waits until it is ready.
    async fn add_host(&mut self) {
        let addresses = HostAddresses {
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            store: self.store_address,
        };
        let host = format!("front-a-{}", self.callers.len());
        start_named_gateway(self.name, &host, &addresses);
        self.callers.push(addresses.caller_address);
        for _ in 0..200 {
            let ready = request("GET", "/ready", "x", "");
            if send(addresses.readiness_address, ready)
                .await
                .is_ok_and(|response| response.status == 200)
            {
                return;
            }
            sleep(Duration::from_millis(25)).await;
        }
        panic!("{host} is not ready after 5 s");
    }

    /// Adds a server to a pool and waits until the hosts know it.
    async fn add_server(&self, server: &str, pool: &str) -> LimitedServer {
        let limited = LimitedServer::start().await;
        self.store
            .set_server(server, pool, limited.address, "ready", 1);
        sleep(Duration::from_millis(900)).await;
        limited
    }

    /// Sends requests to the hosts in turn at a fixed interval for a time; returns the responses
    /// with the time that each took.
    async fn call_for(
        &self,
        path: &'static str,
        interval: Duration,
        time: Duration,
    ) -> Vec<(CallerResponse, Duration)> {
        let started = Instant::now();
        let mut calls = Vec::new();
        let mut number = 0;
        while started.elapsed() < time {
            let address = self.callers[number % self.callers.len()];
            number += 1;
            let attempt = format!("{:x}", 0x9c41_0000 + number);
            calls.push(tokio::spawn(async move {
                let sent_at = Instant::now();
                let response = send(address, request("POST", path, &attempt, "k1")).await;
                (response.unwrap(), sent_at.elapsed())
            }));
            sleep(interval).await;
        }
        let mut responses = Vec::new();
        for call in calls {
            responses.push(call.await.unwrap());
        }
        responses
    }
}

/// Each host alone stays far below the limit; all of them together do not unless they share it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_gets_more_requests_from_all_hosts_than_its_limit() {
    let fleet = HostFleet::start("limit-shared", HOSTS).await;
    let limited = fleet.add_server("p1", "plain").await;
    let _free = fleet.add_server("p2", "plain").await;
    limited.set_limited(true);
    let started = Instant::now();
    let time = CONTACT_TIME + WINDOW * 2;
    let responses = fleet
        .call_for("/pay/ok", Duration::from_millis(40), time)
        .await;
    for (response, _) in &responses {
        assert_eq!(response.status, 200, "{response:?}");
    }
    let most = limited.most_in_window(started + CONTACT_TIME);
    assert!(
        most as f64 <= ALLOWED,
        "{most} requests in {WINDOW:?}, allowed {ALLOWED}"
    );
    let count = limited.count_since(started + CONTACT_TIME) as f64;
    let offered = LIMIT * (WINDOW * 2).as_secs_f64();
    assert!(
        count >= 0.5 * offered,
        "{count} requests within a limit of {offered}: the server gets too little work"
    );
}
