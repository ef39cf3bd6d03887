//! Checks that all hosts together honour the limits on requests that servers name in responses.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::store::StoreStandin;
use support::{
    CallerResponse, HostAddresses, RawRequest, RawStep, config, free_address, request, send,
    serve_raw, start_named_gateway, store,
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
/// Duration of a call for pieces in milliseconds, as in the configuration.
const STAGE_CALL_MILLIS: u64 = 22;
/// Number of hosts, as in the smaller deployments.
const HOSTS: usize = 9;

/// A server that can name a limit, with the times at which it received requests.
struct LimitedServer {
    address: SocketAddr,
    limited: Arc<AtomicBool>,
    /// Time until a response other than to a call for pieces, in milliseconds.
    response_time: Arc<AtomicU64>,
    /// Duration of a call for pieces, in milliseconds.
    stage_time: Arc<AtomicU64>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

/// Returns the body of a response that fits the request: results of pieces, a confirmation, or an
/// event of a stream.
fn respond_to(request: &RawRequest, number: usize) -> String {
    match request.path.as_str() {
        "/stage-run" => {
            let pieces = request.body.matches("\"stage\":").count();
            let items: Vec<String> = (0..pieces)
                .map(|piece| format!(r#"{{"handle":"{}/{number}-{piece}"}}"#, request.authority))
                .collect();
            format!(r#"{{"items":[{}]}}"#, items.join(","))
        }
        "/stage-free" => "{}".to_owned(),
        path if path.starts_with("/pay") => "paid".to_owned(),
        _ => "id: 1\ndata: a\n\n".to_owned(),
    }
}

impl LimitedServer {
    /// Starts a server that names the limit while `limited` is set. It answers any request, stage
    /// calls included.
    async fn start() -> Self {
        let limited = Arc::new(AtomicBool::new(false));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let response_time = Arc::new(AtomicU64::new(0));
        let stage_time = Arc::new(AtomicU64::new(STAGE_CALL_MILLIS));
        let (response_millis, stage_millis) = (Arc::clone(&response_time), Arc::clone(&stage_time));
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
            let body = respond_to(request, number);
            let pause = match request.path.as_str() {
                "/stage-run" => stage_millis.load(Ordering::Relaxed),
                _ => response_millis.load(Ordering::Relaxed),
            };
            let pause = Duration::from_millis(pause);
            let response = request.response("200 OK", &header, &body);
            vec![RawStep::Pause(pause), RawStep::Send(response)]
        })
        .await;
        Self {
            address,
            limited,
            response_time,
            stage_time,
            arrivals,
        }
    }

    fn set_stage_time(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.stage_time.store(millis, Ordering::Relaxed);
    }

    fn set_response_time(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.response_time.store(millis, Ordering::Relaxed);
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
    check_arrivals(&limited, started + CONTACT_TIME, Instant::now());
}

/// Checks that a server got no more requests than the users' rule allows from `start` on, and at
/// least half of what it accepts until `end`.
fn check_arrivals(server: &LimitedServer, start: Instant, end: Instant) {
    let most = server.most_in_window(start);
    assert!(
        most as f64 <= ALLOWED,
        "{most} requests in {WINDOW:?}, allowed {ALLOWED}"
    );
    let count = server.count_since(start) as f64;
    let offered = LIMIT * end.duration_since(start).as_secs_f64();
    assert!(
        count >= 0.5 * offered,
        "{count} requests, {offered} accepted"
    );
}

/// Stage calls and releases of results count as well, from whichever host they come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_server_gets_more_calls_and_releases_than_its_limit() {
    let fleet = HostFleet::start("limit-stage", 3).await;
    let _engine = fleet.add_server("m1", "model").await;
    let limited = fleet.add_server("s1", "stage").await;
    let _free = fleet.add_server("s2", "stage").await;
    limited.set_limited(true);
    let start = Instant::now() + CONTACT_TIME;
    let time = CONTACT_TIME + WINDOW * 2;
    let responses = fleet
        .call_for("/draft/ok", Duration::from_millis(20), time)
        .await;
    for (response, _) in &responses {
        assert_eq!(response.status, 200, "{response:?}");
    }
    check_arrivals(&limited, start, Instant::now());
}

/// What the pool cannot serve within its limits is rejected at once and reaches no server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_held_back_while_all_servers_of_a_pool_are_at_their_limits() {
    for (pool, path) in [("plain", "/pay/ok"), ("model", "/draft/ok")] {
        let fleet = HostFleet::start("limit-pool", 3).await;
        let stage = fleet.add_server("s1", "stage").await;
        let limited = fleet.add_server("x1", pool).await;
        let other = fleet.add_server("x2", pool).await;
        limited.set_limited(true);
        other.set_limited(true);
        // Both servers name their limits before requests are counted.
        fleet
            .call_for(path, Duration::from_millis(100), Duration::from_secs(1))
            .await;
        let (start, before) = (Instant::now(), stage.count_since(Instant::now() - WINDOW));
        let time = CONTACT_TIME + WINDOW;
        let responses = fleet.call_for(path, Duration::from_millis(50), time).await;
        let (served, rejected): (Vec<_>, Vec<_>) = responses
            .iter()
            .partition(|(response, _)| response.status == 200);
        let arrived = limited.count_since(start) + other.count_since(start);
        assert_eq!(arrived, served.len(), "{path}: a rejected request has run");
        assert!(rejected.len() > served.len(), "{path}: the load is too low");
        for (response, took) in rejected {
            assert_eq!(response.status, 503, "{path}: {response:?}");
            let retry_after = response.retry_after.unwrap();
            assert!((0.1..=2.5).contains(&retry_after), "{path}: {retry_after}");
            assert!(*took < Duration::from_millis(400), "{path}: {took:?}");
        }
        for server in [&limited, &other] {
            check_arrivals(server, start, start + time);
        }
        if pool == "model" {
            // Two calls for pieces per request at most, and releases of results.
            let calls = stage.count_since(start - WINDOW) - before;
            assert!(
                calls <= 5 * served.len(),
                "stages ran for rejected requests"
            );
        }
    }
}

/// Every host sends to the server again as soon as one has seen a response without a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_keep_to_a_limit_that_has_ended() {
    let fleet = HostFleet::start("limit-ends", HOSTS).await;
    let limited = fleet.add_server("p1", "plain").await;
    let _free = fleet.add_server("p2", "plain").await;
    limited.set_limited(true);
    let interval = Duration::from_millis(40);
    fleet.call_for("/pay/ok", interval, CONTACT_TIME).await;
    limited.set_limited(false);
    // The next request within the limit, and the time in which the other hosts learn of its end.
    fleet
        .call_for("/pay/ok", interval, Duration::from_secs(2))
        .await;
    let start = Instant::now();
    fleet
        .call_for("/pay/ok", interval, Duration::from_secs(2))
        .await;
    let count = limited.count_since(start);
    assert!(count >= 12, "{count} of about 25 requests in 2 s");
}

/// A host that starts while a limit is in force has not seen a response that names it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_joins_exceeds_a_limit_named_before() {
    let mut fleet = HostFleet::start("limit-joins", 2).await;
    let limited = fleet.add_server("p1", "plain").await;
    let free = fleet.add_server("p2", "plain").await;
    limited.set_limited(true);
    fleet
        .call_for("/pay/ok", Duration::from_millis(40), CONTACT_TIME)
        .await;
    // The new host sends many requests before the first response.
    for server in [&limited, &free] {
        server.set_response_time(Duration::from_millis(300));
    }
    fleet.add_host().await;
    sleep(Duration::from_millis(1000)).await;
    let start = Instant::now();
    fleet.callers.drain(..2);
    fleet
        .call_for(
            "/pay/ok",
            Duration::from_millis(15),
            Duration::from_millis(150),
        )
        .await;
    let count = limited.count_since(start);
    assert!(
        count <= 3,
        "{count} requests in 0.2 s from a host that joined"
    );
}

/// The host with the duty to grant permits accepts connections and never answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_with_a_limit_gets_no_work_while_a_host_is_silent() {
    let fleet = HostFleet::start("limit-silent", 2).await;
    let limited = fleet.add_server("p1", "plain").await;
    let _free = fleet.add_server("p2", "plain").await;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let entry = peer_host::encode_heavy_host("front-z-1", address);
    fleet.store.set_host("front-z-1", &entry);
    sleep(Duration::from_millis(1500)).await;
    limited.set_limited(true);
    let start = Instant::now() + CONTACT_TIME;
    let responses = fleet
        .call_for(
            "/pay/ok",
            Duration::from_millis(40),
            CONTACT_TIME + WINDOW * 2,
        )
        .await;
    for (response, took) in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert!(*took < Duration::from_millis(600), "{took:?}");
    }
    check_arrivals(&limited, start, Instant::now());
}

/// The engine asks for a pause while the stages of a request run that holds a permit for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reserved_engine_gets_a_request_in_its_pause() {
    let fleet = HostFleet::start("limit-pause", 1).await;
    let stage = fleet.add_server("s1", "stage").await;
    let (address, engine_log) = serve_raw(|request| {
        let body = "id: 1\ndata: a\n\n";
        let response = match request.header("attempt-id").as_str() {
            "b" => {
                let extra = "not-executed: 1\r\nretry-after: 3\r\nserver-limit: 20\r\n";
                request.response("503 Service Unavailable", extra, "")
            }
            _ => request.response("200 OK", "server-limit: 20\r\n", body),
        };
        vec![RawStep::Send(response)]
    })
    .await;
    fleet.store.set_server("m1", "model", address, "ready", 1);
    sleep(Duration::from_millis(900)).await;
    let host = fleet.callers[0];
    let first = send(host, request("POST", "/draft/ok", "f", "k1")).await;
    assert_eq!(first.unwrap().status, 200);
    sleep(Duration::from_millis(100)).await;
    stage.set_stage_time(Duration::from_millis(150));
    let waiting = tokio::spawn(send(host, request("POST", "/draft/ok", "a", "k1")));
    sleep(Duration::from_millis(120)).await;
    let mut without_stages = request("POST", "/draft/ok", "b", "k1");
    let pieces = "0,0".parse().unwrap();
    without_stages.headers_mut().insert("pieces", pieces);
    assert_eq!(send(host, without_stages).await.unwrap().status, 503);
    assert_eq!(waiting.await.unwrap().unwrap().status, 503);
    assert_eq!(engine_log.paths().len(), 2, "{:?}", engine_log.paths());
}
