//! Checks that a configuration of more than a megabyte takes effect in time on hosts with slow links.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/slow_link.rs"]
mod slow_link;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollywheel_wire::serving::HostEntry;
use prost::Message;
use slow_link::{SlowLink, serve_slow};
use support::store::StoreStandin;
use support::{
    HostAddresses, ServerLog, config, free_address, request, send, servers, start_gateway_with,
    store,
};
use tokio::time::sleep;

/// Time within which a configuration takes effect on every host (`config-apply-ms` of the grown
/// deployments).
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Routes of the large configuration, as in the incident.
const ROUTES: usize = 4250;
/// Link of a small and of a large host, in Mbit/s.
const SMALL_LINK: f64 = 10.0;
const LARGE_LINK: f64 = 200.0;

/// A host with its own link, which the answers of the store and of other hosts pass.
struct SlowHost {
    name: String,
    link_mbps: f64,
    addresses: HostAddresses,
}

/// Returns the capacity by which readers are selected, as a host computes it from its settings.
fn weight(link_mbps: f64) -> u32 {
    (link_mbps / 10.0).min(10.0).powi(3) as u32
}

/// Returns a configuration with [`ROUTES`] further routes.
fn large_config(version: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|number| {
            format!(
                r#"{{"name":"r-{number:07x}","host":"h{:05x}.example","path-prefix":"/m{number}bei7/fi{}/","kind":"idempotent","timeout-ms":1200,"latency-target-ms":150,"priority":2,"service":"plain","max-attempts":2,"stages":[],"allow-anonymous":true,"session-affinity":false,"resume-streams":false}},"#,
                number * 7919 % 1_048_576,
                number * 104_729 % 1000,
            )
        })
        .collect();
    let last = r#"{"name":"last","host":"h","path-prefix":"/last/","kind":"idempotent","timeout-ms":1200,"latency-target-ms":150,"service":"plain","max-attempts":2,"allow-anonymous":true},"#;
    config(version, "k1").replacen(
        r#""routes":["#,
        &format!(r#""routes":[{}{last}"#, routes.concat()),
        1,
    )
}

/// Starts hosts with links of the given rates and waits until every one is ready.
async fn start_hosts(name: &str, links: &[f64]) -> (Arc<StoreStandin>, Vec<SlowHost>) {
    let store = Arc::new(StoreStandin::default());
    store.set_config(&config(1, "k1"));
    store.ignore_host_writes();
    let store_address = store::serve(Arc::clone(&store)).await;
    let mut hosts = Vec::new();
    for (number, link_mbps) in links.iter().copied().enumerate() {
        let peer_address = free_address();
        let unlimited = SlowLink::new(4000.0);
        let host = SlowHost {
            name: format!("front-a-{number}"),
            link_mbps,
            addresses: HostAddresses {
                caller_address: free_address(),
                readiness_address: free_address(),
                peer_address,
                store: serve_slow(store_address, unlimited, link_mbps).await,
            },
        };
        // Hosts reach each other through the proxies. The hosts that get answers of other hosts are
        // the small ones.
        let proxy = serve_slow(peer_address, SlowLink::new(link_mbps), SMALL_LINK).await;
        let entry = HostEntry {
            host: host.name.clone(),
            address: proxy.to_string(),
            domain: "a".to_owned(),
            incarnation: 1,
            weight: weight(link_mbps),
            ..HostEntry::default()
        };
        store.set_host(&host.name, &entry.encode_to_vec());
        hosts.push(host);
    }
    for host in &hosts {
        let text = support::settings(&host.name, &host.addresses)
            .replace("cpu-share = 0.25", "cpu-share = 0.5")
            .replace(
                "link-mbps = 1000.0",
                &format!("link-mbps = {:.1}", host.link_mbps),
            )
            .replace("drain-ms = 2000", "drain-ms = 3000")
            .replace("config-apply-ms = 2000", "config-apply-ms = 3000");
        start_gateway_with(name, &host.name, &text);
    }
    for host in &hosts {
        wait_for_status(host.addresses.readiness_address, "/ready", |status| {
            status == 200
        })
        .await;
    }
    (store, hosts)
}

/// Polls a path until its status is as wanted; returns the time that it took.
async fn wait_for_status(
    address: SocketAddr,
    path: &str,
    is_wanted: impl Fn(u16) -> bool,
) -> Duration {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(20) {
        let response = send(address, request("GET", path, "9c41d07be2a35f68", "k1")).await;
        if response.is_ok_and(|response| response.status != 0 && is_wanted(response.status)) {
            return started.elapsed();
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{path} at {address} has no wanted status after 20 s");
}

/// Publishes a large configuration; returns after which time it is in force on each host.
async fn publish(store: &StoreStandin, hosts: &[SlowHost]) -> Vec<Duration> {
    let text = large_config(2);
    assert!(text.len() > 1_000_000, "{} bytes", text.len());
    store.set_config(&text);
    let waits: Vec<_> = hosts
        .iter()
        .map(|host| host.addresses.caller_address)
        // A host that does not know the route yet answers 404.
        .map(|address| tokio::spawn(wait_for_status(address, "/last/x", |status| status != 404)))
        .collect();
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await.unwrap());
    }
    times
}

fn check_times(hosts: &[SlowHost], times: &[Duration]) {
    for (host, time) in hosts.iter().zip(times) {
        println!("{} ({} Mbit/s): {time:?}", host.name, host.link_mbps);
    }
    for (host, time) in hosts.iter().zip(times) {
        assert!(
            *time <= APPLY_BOUND,
            "{}: in force after {time:?}",
            host.name
        );
    }
}

/// The followers' links need longer for the document than a call between hosts may take.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_configuration_is_late_on_followers_with_slow_links() {
    let links = [
        LARGE_LINK, LARGE_LINK, LARGE_LINK, SMALL_LINK, SMALL_LINK, SMALL_LINK, SMALL_LINK,
        SMALL_LINK, SMALL_LINK,
    ];
    let (store, hosts) = start_hosts("large-followers", &links).await;
    sleep(Duration::from_millis(1500)).await;
    let times = publish(&store, &hosts).await;
    check_times(&hosts, &times);
}

/// The readers' links need longer for the document than a call of the store may take.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_configuration_is_late_on_readers_with_slow_links() {
    let (store, hosts) = start_hosts("large-readers", &[SMALL_LINK; 6]).await;
    sleep(Duration::from_millis(1500)).await;
    let times = publish(&store, &hosts).await;
    check_times(&hosts, &times);
}

/// The server leaves one second after the configuration was published.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_reach_a_leaving_server_while_a_large_configuration_arrives() {
    /// Time after which a leaving server gets no requests (`drain-ms` in the settings of the hosts).
    const DRAIN_BOUND: Duration = Duration::from_secs(3);
    let links = [
        LARGE_LINK, LARGE_LINK, LARGE_LINK, SMALL_LINK, SMALL_LINK, SMALL_LINK, SMALL_LINK,
        SMALL_LINK, SMALL_LINK,
    ];
    let (store, hosts) = start_hosts("large-leaving", &links).await;
    let log = Arc::new(ServerLog::default());
    let mut addresses = Vec::new();
    for server in ["p1", "p2"] {
        let address = servers::serve(server, Arc::clone(&log)).await;
        store.set_server(server, "plain", address, "ready", 1);
        addresses.push(address);
    }
    sleep(Duration::from_millis(1500)).await;
    store.set_config(&large_config(2));
    sleep(Duration::from_secs(1)).await;
    store.set_server("p1", "plain", addresses[0], "draining", 1);
    let left_at = Instant::now();
    let mut number = 0;
    while left_at.elapsed() < DRAIN_BOUND + Duration::from_secs(3) {
        for host in &hosts {
            number += 1;
            let attempt = format!("a{number:x}");
            let call = request("POST", "/look/ok", &attempt, "k1");
            tokio::spawn(send(host.addresses.caller_address, call));
        }
        sleep(Duration::from_millis(50)).await;
    }
    let late = log.arrivals_since("p1", left_at + DRAIN_BOUND);
    let last = log.arrivals_since("p1", left_at).last().copied();
    println!("last request {:?}", last.map(|at| at - left_at));
    assert_eq!(late.len(), 0, "requests after {DRAIN_BOUND:?}");
    assert!(!log.arrivals_since("p2", left_at + DRAIN_BOUND).is_empty());
}
