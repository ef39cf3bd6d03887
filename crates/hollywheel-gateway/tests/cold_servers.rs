//! Checks that all hosts together spare a cold server, and what they send it when no other takes it.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::store::StoreStandin;
use support::{
    HostAddresses, RawStep, config, free_address, request, send, serve_raw, settings,
    start_gateway_with, store,
};
use tokio::time::sleep;

/// Requests that a cold server may get from all hosts in any second: 12 * 1.5 + 5.
const BOUND: usize = 23;
/// Time within which all hosts have read a change of an entry.
const NEWS_TIME: Duration = Duration::from_millis(900);

/// A server with the times at which it received requests.
struct CountingServer {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CountingServer {
    /// Starts a server that answers after a time.
    async fn start(pause: Duration) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&arrivals);
        let (address, _) = serve_raw(move |request| {
            log.lock().unwrap().push(Instant::now());
            let response = request.response("200 OK", "", "paid");
            vec![RawStep::Pause(pause), RawStep::Send(response)]
        })
        .await;
        Self { address, arrivals }
    }

    fn count_between(&self, start: Instant, end: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted = arrivals.iter().filter(|at| start <= **at && **at < end);
        counted.count()
    }

    /// Returns the largest number of requests in any second that begins between two times.
    fn most_in_second(&self, start: Instant, end: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap().clone();
        let begins = arrivals.iter().filter(|at| start <= **at && **at < end);
        let counts = begins.map(|at| self.count_between(*at, *at + Duration::from_secs(1)));
        counts.max().unwrap_or(0)
    }
}

/// Hosts that share a store, and the addresses on which they accept callers.
struct HostFleet {
    store: Arc<StoreStandin>,
    callers: Vec<SocketAddr>,
}

impl HostFleet {
    /// Starts hosts under a configuration in which servers of the plain pool tolerate `cold_rate`
    /// requests a second for 3 s after their start, with one server.
    async fn start(name: &str, hosts: usize, cold_rate: f64, first: &CountingServer) -> Self {
        let store = Arc::new(StoreStandin::default());
        let fields = format!(r#""name":"plain","cold-start-s":3.0,"cold-per-s":{cold_rate:?}"#);
        store.set_config(&config(1, "k1").replace(r#""name":"plain""#, &fields));
        store.set_server("p1", "plain", first.address, "ready", 1);
        let store_address = store::serve(Arc::clone(&store)).await;
        let mut callers = Vec::new();
        for number in 0..hosts {
            let addresses = HostAddresses {
                caller_address: free_address(),
                readiness_address: free_address(),
                peer_address: free_address(),
                store: store_address,
            };
            let host = format!("front-a-{number}");
            let bounds = "[bounds]\ncold-overshoot = 1.5\ncold-slack = 5\n";
            let text = settings(&host, &addresses).replace("[bounds]\n", bounds);
            start_gateway_with(name, &host, &text);
            callers.push(addresses.caller_address);
        }
        sleep(Duration::from_millis(2500)).await;
        Self { store, callers }
    }

    /// Writes an entry of a server which states that it is cold for a time.
    fn set_cold(&self, server: &str, address: SocketAddr, cold_ms: u64) {
        let entry = format!(
            r#"{{"service":"plain","address":"{address}","zone":"a","version":"v1","slots":4,"state":"ready","cold-remaining-ms":{cold_ms},"sequence":2,"born":1}}"#
        );
        self.store.set_odd_server(server, entry.as_bytes());
    }

    /// Sends requests to the hosts in turn for a time; returns the statuses.
    async fn call_for(&self, interval: Duration, time: Duration) -> Vec<u16> {
        let started = Instant::now();
        let mut calls = Vec::new();
        while started.elapsed() < time {
            let address = self.callers[calls.len() % self.callers.len()];
            let attempt = format!("{:x}", 0x7a11_0000 + calls.len());
            calls.push(tokio::spawn(async move {
                send(address, request("POST", "/pay/ok", &attempt, "k1")).await
            }));
            sleep(interval).await;
        }
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await.unwrap().unwrap().status);
        }
        statuses
    }
}

/// The other server is full on both hosts, each of which would send the new one all that is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_server_is_overrun_while_the_others_are_full() {
    let slow = CountingServer::start(Duration::from_millis(1200)).await;
    let fleet = HostFleet::start("cold-full", 2, 12.0, &slow).await;
    let cold = CountingServer::start(Duration::from_millis(50)).await;
    let started = Instant::now();
    fleet
        .store
        .set_server("p2", "plain", cold.address, "ready", 1);
    let statuses = fleet
        .call_for(Duration::from_millis(8), Duration::from_millis(2800))
        .await;
    // The hosts learn of the server after it was written, and count its cold time from then.
    let end = started + Duration::from_secs(2);
    let most = cold.most_in_second(started, end);
    assert!(most <= BOUND, "{most} requests in a second");
    let count = cold.count_between(started, started + Duration::from_secs(3));
    assert!(count >= 8, "{count} requests, although the others are full");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&503), "the load is too low");
}

/// A server is new, or says at any time that it is cold, while another one has capacity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_server_gets_requests_that_warm_ones_take() {
    let warm = CountingServer::start(Duration::from_millis(5)).await;
    let fleet = HostFleet::start("cold-spared", 6, 12.0, &warm).await;
    let cold = CountingServer::start(Duration::from_millis(5)).await;
    let interval = Duration::from_millis(10);
    let mut started = Instant::now();
    fleet
        .store
        .set_server("p2", "plain", cold.address, "ready", 1);
    fleet.call_for(interval, Duration::from_millis(2800)).await;
    let count = cold.count_between(started, Instant::now());
    assert_eq!(count, 0, "requests for a server that has just started");
    // It gets its whole share after the ramp.
    sleep(Duration::from_millis(4500)).await;
    started = Instant::now();
    fleet.call_for(interval, Duration::from_secs(1)).await;
    let count = cold.count_between(started, Instant::now());
    assert!(count >= 15, "{count} of 100 requests for a warm server");
    // It says that it is cold, and then that it is warm before that time is over.
    fleet.set_cold("p2", cold.address, 8000);
    sleep(NEWS_TIME).await;
    started = Instant::now();
    fleet.call_for(interval, Duration::from_millis(1500)).await;
    let count = cold.count_between(started, Instant::now());
    assert_eq!(count, 0, "requests for a server that says that it is cold");
    fleet.set_cold("p2", cold.address, 0);
    sleep(NEWS_TIME + Duration::from_secs(3)).await;
    started = Instant::now();
    fleet.call_for(interval, Duration::from_secs(1)).await;
    let count = cold.count_between(started, Instant::now());
    assert!(
        count >= 15,
        "{count} of 100 requests for a server that is warm again"
    );
}

/// The configuration states no rate for cold servers: a new server gets its share at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_is_spared_without_a_limit_for_cold_servers() {
    let warm = CountingServer::start(Duration::from_millis(5)).await;
    let fleet = HostFleet::start("cold-absent", 2, 0.0, &warm).await;
    let fresh = CountingServer::start(Duration::from_millis(5)).await;
    fleet.set_cold("p2", fresh.address, 8000);
    sleep(NEWS_TIME).await;
    let started = Instant::now();
    fleet
        .call_for(Duration::from_millis(10), Duration::from_secs(1))
        .await;
    let count = fresh.count_between(started, Instant::now());
    assert!(count >= 15, "{count} of 100 requests for a new server");
}
