//! Checks that hosts together stop sending requests that crash the servers that answer them.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/crashing_servers.rs"]
mod crashing_servers;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crashing_servers::{CrashLog, CrashingServer, call_for, start_hosts, start_server};
use http::{HeaderValue, Request};
use support::store::StoreStandin;
use support::{CallerBody, config, request};

/// Hosts and model engines, as many as take turns with crashing ones.
const HOSTS: usize = 3;
const ENGINES: usize = 8;
/// Number of crashes after which the part is known to all hosts within [`CONTACT_TIME`].
const KNOWN_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may still reach engines later than that.
const ALLOWED: usize = 3;
/// Interval of sound requests and of those with the crashing part.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const CRASHING_INTERVAL: Duration = Duration::from_millis(160);
/// Time for which requests are sent.
const PLAY_TIME: Duration = Duration::from_secs(10);

const ENGINE: CrashingServer = CrashingServer {
    pool: "model",
    is_crashing: |request| request.header("prompt-prefix").contains("dead:"),
    answer: |request| request.response("200 OK", "", "id: 1\ndata: a\n\n"),
};

/// Starts the engines and the hosts; returns the addresses on which the hosts accept callers.
async fn start_fleet(name: &str, crashes: &CrashLog) -> Vec<SocketAddr> {
    let store = Arc::new(StoreStandin::default());
    let chat = r#"{"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":4000,"latency-target-ms":800,"gap-target-ms":250,"service":"model","max-attempts":2,"session-affinity":true,"resume-streams":true},"#;
    let routes = format!(r#""routes":[{chat}"#);
    store.set_config(&config(1, "k1").replacen(r#""routes":["#, &routes, 1));
    for number in 0..ENGINES {
        let engine = format!("m{number}");
        start_server(engine, ENGINE, Arc::clone(&store), Arc::clone(crashes)).await;
    }
    start_hosts(name, HOSTS, &store).await
}

/// Builds a request with the given prompt parts.
fn build(number: usize, parts: &str) -> Request<CallerBody> {
    let attempt = format!("{:x}", 0x9c41_0000 + number);
    let mut request = request("POST", "/chat/x", &attempt, "k1");
    let parts = HeaderValue::from_str(parts).unwrap();
    request.headers_mut().insert("prompt-prefix", parts);
    request
}

/// The requests differ in all other parts, and sound ones have each of these.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_one_part_crash_engines_one_after_the_other() {
    let crashes = CrashLog::default();
    let callers = start_fleet("crashing-part", &crashes).await;
    let build_sound = |number| {
        let parts = format!("aa:500,b{}:1500,c{number:x}:50", number % 4);
        build(number, &parts)
    };
    let build_crashing = |number| {
        let parts = format!("aa:500,b{}:1500,dead:300,d{number:x}:50", number % 4);
        build(100_000 + number, &parts)
    };
    let sound = call_for(callers.clone(), PLAY_TIME, SOUND_INTERVAL, build_sound);
    let sound = tokio::spawn(sound);
    let crashing = call_for(callers, PLAY_TIME, CRASHING_INTERVAL, build_crashing);
    let crashing = crashing.await;
    let sound = sound.await.unwrap();
    let crashes = crashes.lock().unwrap();
    // The users' rule counts from the last crash if there are fewer than five.
    let known = crashes.len().min(KNOWN_CRASHES).checked_sub(1);
    let known_at = crashes[known.expect("the part crashes engines")] + CONTACT_TIME;
    let late = crashes.iter().filter(|at| **at > known_at).count();
    println!("{} crashes, {late} of them late", crashes.len());
    assert!(
        late <= ALLOWED,
        "{late} requests with the part after it was known"
    );
    // Twice the time: the users' rule on sound requests.
    let known_at = known_at + CONTACT_TIME;
    let known: Vec<_> = sound.iter().filter(|end| end.sent_at > known_at).collect();
    let served = known
        .iter()
        .filter(|end| end.status == 200 && end.is_complete)
        .count();
    println!("{served} of {} sound requests served", known.len());
    assert!(known.len() >= 20 && served * 2 >= known.len());
    let refused = crashing
        .iter()
        .filter(|end| end.sent_at > known_at && end.status == 503);
    assert!(refused.count() >= 1, "refused as not run");
}
