//! Stand-ins for backend servers that crash on some requests and come back, and calls that are sent
//! at an interval to several hosts in turn.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use tokio::time::sleep;

use crate::support::store::StoreStandin;
use crate::support::{
    CallerBody, HostAddresses, RawRequest, RawStep, free_address, send, serve_raw,
    start_named_gateway, store,
};

/// Time until a crashed server is back.
const RESTART_TIME: Duration = Duration::from_millis(800);

/// Times at which requests that crash servers reached servers that were up.
pub type CrashLog = Arc<Mutex<Vec<Instant>>>;

/// Describes a server that crashes on some requests.
#[derive(Clone, Copy)]
pub struct CrashingServer {
    /// The pool of the server.
    pub pool: &'static str,
    /// Returns whether a request crashes the server.
    pub is_crashing: fn(&RawRequest) -> bool,
    /// Returns the answer to any other request.
    pub answer: fn(&RawRequest) -> Vec<u8>,
}

/// Starts a server that ends the connection of a crashing request, refuses requests for a while and
/// is back as a new incarnation.
pub async fn start_server(
    name: String,
    server: CrashingServer,
    store: Arc<StoreStandin>,
    crashes: CrashLog,
) {
    let own_address: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let address = Arc::clone(&own_address);
    let down_until = Mutex::new(Instant::now());
    let (own_name, entries) = (name.clone(), Arc::clone(&store));
    let script = move |request: &RawRequest| {
        let mut down_until = down_until.lock().unwrap();
        if Instant::now() < *down_until {
            let refusal = request.response("503 Service Unavailable", "not-executed: 1\r\n", "");
            return vec![RawStep::Send(refusal)];
        }
        if (server.is_crashing)(request) {
            *down_until = Instant::now() + RESTART_TIME;
            let mut crashes = crashes.lock().unwrap();
            crashes.push(Instant::now());
            let born = 1 + crashes.len() as u64;
            let address = address.lock().unwrap().unwrap();
            entries.set_server(&own_name, server.pool, address, "ready", born);
            return vec![RawStep::Pause(Duration::from_millis(30)), RawStep::Close];
        }
        vec![
            RawStep::Pause(Duration::from_millis(30)),
            RawStep::Send((server.answer)(request)),
        ]
    };
    let (address, _) = serve_raw(script).await;
    *own_address.lock().unwrap() = Some(address);
    store.set_server(&name, server.pool, address, "ready", 1);
}

/// Starts hosts on a store and waits until they know each other; returns the addresses on which they
/// accept callers.
pub async fn start_hosts(name: &str, count: usize, store: &Arc<StoreStandin>) -> Vec<SocketAddr> {
    let store_address = store::serve(Arc::clone(store)).await;
    let mut callers = Vec::new();
    for number in 0..count {
        let addresses = HostAddresses {
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            store: store_address,
        };
        start_named_gateway(name, &format!("front-a-{number}"), &addresses);
        callers.push(addresses.caller_address);
    }
    sleep(Duration::from_millis(2500)).await;
    callers
}

/// Describes how a call ended.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// When the call was sent.
    pub sent_at: Instant,
    /// The status of the answer; 0 without one.
    pub status: u16,
    /// Whether the body of the answer was complete.
    pub is_complete: bool,
}

/// Sends requests at an interval to the hosts in turn for a time; returns how they ended.
pub async fn call_for(
    callers: Vec<SocketAddr>,
    play_time: Duration,
    interval: Duration,
    build: impl Fn(usize) -> Request<CallerBody>,
) -> Vec<CallEnd> {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < play_time {
        let number = calls.len();
        let address = callers[number % callers.len()];
        let ended = tokio::spawn(send(address, build(number)));
        calls.push((Instant::now(), ended));
        sleep(interval).await;
    }
    let mut ends = Vec::new();
    for (sent_at, ended) in calls {
        let response = ended.await.unwrap();
        let (status, is_complete) = response.map_or((0, false), |response| {
            (response.status, response.body.is_ok())
        });
        ends.push(CallEnd {
            sent_at,
            status,
            is_complete,
        });
    }
    ends
}
