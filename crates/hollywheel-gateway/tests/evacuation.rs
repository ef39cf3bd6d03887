//! Checks that nothing is sent to the servers of an evacuated failure domain.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hollywheel_wire::serving::{EvacuationEntry, EvacuationList, FollowReply, StorePlace};
use support::store::StoreStandin;
use support::{
    CallerResponse, HostAddresses, RawStep, ServerLog, config, free_address, request, send,
    serve_raw, servers, settings, start_gateway_with, store,
};
use tokio::time::sleep;

/// Time after which an evacuated failure domain gets nothing: the bound of 5 s less the 2 s that are
/// left for hosts that learn of it last.
const SHIFT_BOUND: Duration = Duration::from_secs(3);
/// Number of other hosts, as many as a host tries to follow.
const SOURCES: usize = 6;
/// Revision that none of the store's rows has reached.
const LATER_REVISION: u64 = 1000;
/// Requests of all kinds. A tenth is retried, which the retry budget allows.
const ALL_PATHS: [&str; 10] = [
    "/pay/ok",
    "/brief/ok",
    "/look/flaky",
    "/brief/ok",
    "/pay/ok",
    "/look/ok",
    "/brief/ok",
    "/pay/ok",
    "/brief/ok",
    "/look/ok",
];
/// Requests of all kinds that succeed at their first server: the only one of a pool cannot be followed
/// by another.
const UNFAILING_PATHS: [&str; 3] = ["/pay/ok", "/brief/ok", "/look/ok"];
/// Requests that need no other host.
const PLAIN_PATHS: [&str; 2] = ["/pay/ok", "/look/ok"];
/// The pools, by the first letter of their servers' names.
const POOLS: [(&str, &str); 3] = [("p", "plain"), ("m", "model"), ("s", "stage")];

/// A host, its store, and the servers of each pool: one in the failure domain a and two in b.
struct Deployment {
    store: Arc<StoreStandin>,
    log: Arc<ServerLog>,
    addresses: HostAddresses,
}

impl Deployment {
    /// Starts the servers and the store.
    async fn prepare() -> Self {
        let store = Arc::new(StoreStandin::default());
        let log = Arc::new(ServerLog::default());
        // With two servers in the domain b, failed requests can be retried during an evacuation of a.
        for (domain, suffix) in [("a", "a"), ("b", "b"), ("b", "b2")] {
            for (letter, pool) in POOLS {
                let server = format!("{letter}-{suffix}");
                let address = servers::serve(&server, Arc::clone(&log)).await;
                store.set_server_in(domain, &server, pool, address, "ready", 1);
            }
        }
        store.set_config(&config(1, "k1"));
        let addresses = HostAddresses {
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            store: store::serve(Arc::clone(&store)).await,
        };
        Self {
            store,
            log,
            addresses,
        }
    }

    /// Starts the host with a bound on evacuations; returns the address of its metrics.
    fn start_host(&self, name: &str) -> SocketAddr {
        let bound = "config-apply-ms = 2000";
        let text = settings("front-a-1", &self.addresses);
        assert!(text.contains(bound));
        let text = text.replace(bound, &format!("{bound}\nevacuation-ms = 5000"));
        let port = start_gateway_with(name, "front-a-1", &text);
        let mut address = self.addresses.readiness_address;
        address.set_port(port);
        address
    }

    /// Starts other hosts to which every duty is assigned, so that the host follows them.
    async fn start_sources(&self, reply: impl Fn() -> FollowReply + Clone + Send + Sync + 'static) {
        for number in 0..SOURCES {
            let silent = Arc::new(AtomicBool::new(false));
            let source = peer_host::serve_source_with(silent, reply.clone()).await;
            let name = format!("front-z-{number}");
            let entry = peer_host::encode_heavy_host(&name, source);
            self.store.set_host(&name, &entry);
        }
    }

    async fn is_ready(&self) -> bool {
        let request = request("GET", "/", "x", "");
        let response = send(self.addresses.readiness_address, request).await;
        response.is_ok_and(|response| response.status == 200)
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert!(started.elapsed() < Duration::from_secs(10), "not ready");
            sleep(Duration::from_millis(25)).await;
        }
    }

    async fn call(&self, path: &str, attempt: &str, prompt: u64) -> CallerResponse {
        let mut request = request("POST", path, attempt, "k1");
        let parts = format!("{prompt:x}:1500,ff{prompt:x}:50");
        let headers = request.headers_mut();
        headers.insert("prompt-prefix", parts.parse().unwrap());
        headers.insert("piece-key", format!("{prompt:x}").parse().unwrap());
        send(self.addresses.caller_address, request).await.unwrap()
    }

    /// Sends requests to the given paths, one after the other, for a duration; returns their
    /// responses.
    async fn call_for(&self, paths: &[&str], duration: Duration) -> Vec<CallerResponse> {
        let started = Instant::now();
        let mut responses = Vec::new();
        for (number, path) in (1..).zip(paths.iter().cycle()) {
            if started.elapsed() >= duration {
                break;
            }
            let attempt = format!("{}-{number}", started.elapsed().as_nanos());
            responses.push(self.call(path, &attempt, number).await);
            sleep(Duration::from_millis(5)).await;
        }
        responses
    }

    /// Returns how many requests, calls for pieces and releases the servers of a failure domain
    /// have received since a time, by pool.
    fn arrivals(&self, domain: &str, since: Instant) -> [usize; 3] {
        POOLS.map(|(letter, _)| {
            let names = [format!("{letter}-{domain}"), format!("{letter}-{domain}2")];
            let counts = names.map(|server| self.log.arrivals_since(&server, since).len());
            counts.iter().sum()
        })
    }
}

fn assert_all_answered(responses: &[CallerResponse]) {
    assert!(responses.len() > 20, "{} responses", responses.len());
    let failed = responses.iter().find(|response| response.status != 200);
    assert!(failed.is_none(), "{failed:?}");
}

/// Requests, retries, pieces or releases of results reached an evacuated failure domain, or did not
/// return to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuated_domain_gets_nothing_until_the_evacuation_ends() {
    let deployment = Deployment::prepare().await;
    let metrics = deployment.start_host("evacuated");
    deployment.wait_until_ready().await;
    let start = Instant::now();
    let before = deployment
        .call_for(&ALL_PATHS, Duration::from_secs(2))
        .await;
    assert_all_answered(&before);
    let used = deployment.arrivals("a", start);
    assert!(used.iter().all(|count| *count > 0), "{used:?}");

    deployment.store.evacuate("a");
    let evacuated_at = Instant::now();
    let during = deployment
        .call_for(&ALL_PATHS, Duration::from_secs(5))
        .await;
    assert_all_answered(&during);
    let late = deployment.arrivals("a", evacuated_at + SHIFT_BOUND);
    assert_eq!(late, [0; 3], "requests to the evacuated domain");

    // The last domain too: callers get an immediate answer.
    deployment.store.evacuate("b");
    sleep(Duration::from_millis(2500)).await;
    let asked_at = Instant::now();
    for path in ["/pay/ok", "/look/ok", "/brief/ok"] {
        let response = deployment.call(path, &format!("none{path}"), 1).await;
        assert_eq!(response.status, 503, "{path}: {response:?}");
        assert!(response.retry_after.is_some(), "{path}: {response:?}");
    }
    assert!(asked_at.elapsed() < Duration::from_secs(1), "no waiting");
    let text = send(metrics, request("GET", "/metrics", "x", "")).await;
    let text = text.unwrap().body.unwrap();
    for line in ["evacuated_domains 2", "evacuated_pools 3"] {
        assert!(text.contains(&format!("hollywheel_{line}\n")), "{line}");
    }

    deployment.store.end_evacuation("a");
    sleep(Duration::from_millis(2000)).await;
    let ended_at = Instant::now();
    let after = deployment
        .call_for(&UNFAILING_PATHS, Duration::from_secs(2))
        .await;
    assert_all_answered(&after);
    let back = deployment.arrivals("a", ended_at);
    assert!(back.iter().all(|count| *count > 0), "{back:?}");
    assert_eq!(deployment.arrivals("b", ended_at), [0; 3]);
}

/// A host that started during an evacuation knew the servers before the evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_starts_during_an_evacuation_sends_nothing_there() {
    let deployment = Deployment::prepare().await;
    deployment.store.evacuate("a");
    // Rows that the operator mistyped change nothing.
    for domain in ["", "no zone", "zone-that-is-not"] {
        deployment.store.evacuate(domain);
    }
    let start = Instant::now();
    deployment.start_host("evacuated-start");
    deployment.wait_until_ready().await;
    let responses = deployment
        .call_for(&ALL_PATHS, Duration::from_secs(2))
        .await;
    assert_all_answered(&responses);
    assert_eq!(deployment.arrivals("a", start), [0; 3]);
}

/// Returns the reply of a reader with all evacuations, of which there is one or none.
fn reply_with_evacuations(change: u64, domain: Option<&str>) -> FollowReply {
    let revision = LATER_REVISION + change;
    let entries = domain.map(|domain| EvacuationEntry {
        domain: domain.to_owned(),
        revision,
        ..EvacuationEntry::default()
    });
    FollowReply {
        evacuations: Some(EvacuationList {
            place: Some(StorePlace { era: 0, revision }),
            entries: entries.into_iter().collect(),
        }),
        evacuation_change: change,
        ..peer_host::reply_without_changes()
    }
}

/// A host that does not read the store was not told of an evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_learns_an_evacuation_from_a_reader() {
    let deployment = Deployment::prepare().await;
    deployment.start_host("evacuated-follower");
    deployment.wait_until_ready().await;
    let change = Arc::new(AtomicU64::new(1));
    let told = Arc::clone(&change);
    let reply = move || match told.load(Ordering::SeqCst) {
        1 => reply_with_evacuations(1, None),
        change => reply_with_evacuations(change, Some("a")),
    };
    deployment.start_sources(reply).await;
    sleep(Duration::from_secs(3)).await;
    deployment.store.take_calls();
    let start = Instant::now();
    let before = deployment
        .call_for(&PLAIN_PATHS, Duration::from_secs(2))
        .await;
    assert_all_answered(&before);
    let calls = deployment.store.take_calls();
    let reads = calls.iter().filter(|path| path.starts_with("/rows-feed"));
    assert_eq!(reads.count(), 0, "the host follows others: {calls:?}");
    let used = deployment.arrivals("a", start);
    assert!(used[0] > 0, "{used:?}");

    change.store(2, Ordering::SeqCst);
    let told_at = Instant::now();
    let during = deployment
        .call_for(&PLAIN_PATHS, Duration::from_secs(5))
        .await;
    assert_all_answered(&during);
    let late = deployment.arrivals("a", told_at + SHIFT_BOUND);
    assert_eq!(late, [0; 3], "requests to the evacuated domain");
}

/// A host that has a configuration from hosts of an earlier software version, and that cannot read the
/// operator's table, would send to evacuated domains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_without_a_complete_listing_is_not_ready_and_sends_nothing() {
    let deployment = Deployment::prepare().await;
    deployment.store.silence_table("op");
    let change = Arc::new(AtomicU64::new(0));
    let told = Arc::clone(&change);
    let reply = move || {
        let reply = match told.load(Ordering::SeqCst) {
            0 => peer_host::reply_without_changes(),
            change => reply_with_evacuations(change, Some("a")),
        };
        FollowReply {
            config_version: 1,
            config: config(1, "k1").into(),
            ..reply
        }
    };
    deployment.start_sources(reply).await;
    let start = Instant::now();
    deployment.start_host("evacuated-unknown");
    sleep(Duration::from_secs(3)).await;
    assert!(!deployment.is_ready().await);
    let response = deployment.call("/pay/ok", "early", 1).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.retry_after.is_some(), "{response:?}");
    for domain in ["a", "b"] {
        assert_eq!(deployment.arrivals(domain, start), [0; 3]);
    }

    change.store(1, Ordering::SeqCst);
    deployment.wait_until_ready().await;
    let response = deployment.call("/pay/ok", "later", 1).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(deployment.arrivals("a", start), [0; 3]);
}

/// A starting host took the listing of a host that the store refuses for complete, although its own
/// would have followed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_of_a_host_with_an_old_view_does_not_count_at_once() {
    let deployment = Deployment::prepare().await;
    deployment.store.silence_table("op");
    let reply = || FollowReply {
        age_us: Some(60_000_000),
        config_version: 1,
        config: config(1, "k1").into(),
        ..reply_with_evacuations(1, None)
    };
    deployment.start_sources(reply).await;
    let start = Instant::now();
    deployment.start_host("evacuated-old-view");
    while start.elapsed() < Duration::from_millis(1900) {
        let ready = deployment.is_ready().await;
        assert!(!ready || start.elapsed() >= Duration::from_secs(2));
        sleep(Duration::from_millis(25)).await;
    }
    // Nobody has a fresher view, and the host serves as the others do.
    deployment.wait_until_ready().await;
    let response = deployment.call("/pay/ok", "old", 1).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Deployments without a bound must serve as before, whatever the operator's table holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rows_of_evacuations_have_no_effect_without_a_bound() {
    let deployment = Deployment::prepare().await;
    deployment.store.evacuate("a");
    deployment.store.evacuate("b");
    let text = settings("front-a-1", &deployment.addresses);
    start_gateway_with("evacuated-unbound", "front-a-1", &text);
    deployment.wait_until_ready().await;
    let start = Instant::now();
    let responses = deployment
        .call_for(&ALL_PATHS, Duration::from_secs(2))
        .await;
    assert_all_answered(&responses);
    for domain in ["a", "b"] {
        let used = deployment.arrivals(domain, start);
        assert!(used.iter().all(|count| *count > 0), "{domain}: {used:?}");
    }
}

/// Results that a request held when their domain was evacuated were released there afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn results_at_evacuated_servers_are_not_released() {
    let deployment = Deployment::prepare().await;
    /// Duration of a call for pieces, in which the host learns of the evacuation.
    const CALL_TIME: Duration = Duration::from_millis(300);
    let slow_calls = config(1, "k1").replace(r#""call-ms":20"#, r#""call-ms":300"#);
    deployment.store.set_config(&slow_calls);
    // The only stage server is in the domain a.
    let calls = AtomicU64::new(0);
    let (address, stage_log) = serve_raw(move |request| {
        if request.path == "/stage-free" {
            return vec![RawStep::Send(request.response("200 OK", "", "{}"))];
        }
        let call = calls.fetch_add(1, Ordering::SeqCst);
        let pieces = request.body.matches("\"stage\":").count();
        let handles = (0..pieces)
            .map(|piece| format!(r#"{{"handle":"{}/r{call}-{piece}"}}"#, request.authority));
        let items = handles.collect::<Vec<String>>().join(",");
        let response = request.response("200 OK", "", &format!(r#"{{"items":[{items}]}}"#));
        vec![RawStep::Pause(CALL_TIME), RawStep::Send(response)]
    })
    .await;
    for server in ["s-a", "s-b", "s-b2"] {
        deployment.store.remove_server(server);
    }
    deployment
        .store
        .set_server("s-raw", "stage", address, "ready", 1);
    deployment.start_host("evacuated-results");
    deployment.wait_until_ready().await;
    sleep(Duration::from_millis(700)).await;

    let count = |path: &str| stage_log.paths().iter().filter(|one| *one == path).count();
    let response = deployment.call("/draft/ok", "freed", 1).await;
    assert_eq!(response.status, 200, "{response:?}");
    sleep(Duration::from_millis(500)).await;
    assert!(count("/stage-free") > 0, "results are released otherwise");

    let (freed, runs) = (count("/stage-free"), count("/stage-run"));
    let evacuate = async {
        while count("/stage-run") < runs + 2 {
            sleep(Duration::from_millis(5)).await;
        }
        deployment.store.evacuate("a");
    };
    let call = deployment.call("/draft/ok", "held", 2);
    let (response, ()) = tokio::join!(call, evacuate);
    assert_eq!(response.status, 200, "calls in progress end: {response:?}");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(count("/stage-free"), freed, "releases after the evacuation");
}
