//! Checks that hosts together stop sending a request that crashes the servers that begin to run it,
//! although it has no prompt part in common with other requests.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/crashing_servers.rs"]
mod crashing_servers;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crashing_servers::{CallEnd, CrashLog, CrashingServer, call_for, start_hosts, start_server};
use http::{HeaderValue, Request};
use http_body_util::Full;
use support::store::StoreStandin;
use support::{CallerBody, RawRequest, config, request};

/// Hosts, and servers of a pool, as many as take turns with crashing ones.
const HOSTS: usize = 3;
const SERVERS: usize = 6;
/// Number of crashes after which the request is known to all hosts within [`CONTACT_TIME`].
const KNOWN_CRASHES: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Times that the request may still reach servers later than that.
const ALLOWED: usize = 3;
/// Interval of sound requests and of the crashing one, and the time for which they are sent.
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
const CRASHING_INTERVAL: Duration = Duration::from_millis(300);
const PLAY_TIME: Duration = Duration::from_secs(9);

const PLAIN: CrashingServer = CrashingServer {
    pool: "plain",
    is_crashing: |request| request.body == "dead" || request.path.ends_with("/dead"),
    answer: |request| request.response("200 OK", "", "ran"),
};
const MODEL: CrashingServer = CrashingServer {
    pool: "model",
    is_crashing: |request| request.header("prompt-prefix").starts_with("dead:"),
    answer: |request| request.response("200 OK", "", "id: 1\ndata: a\n\n"),
};
const STAGE: CrashingServer = CrashingServer {
    pool: "stage",
    is_crashing: |request| request.body.contains(r#""key":"dead""#),
    answer: answer_pieces,
};

/// Answers a call for pieces with a handle for each of them.
fn answer_pieces(request: &RawRequest) -> Vec<u8> {
    let count = request.body.matches(r#""piece":"#).count();
    let made = (0..count).map(|number| {
        let address = &request.authority;
        format!(r#"{{"handle":"{address}/{}{number}"}}"#, request.index)
    });
    let made: Vec<String> = made.collect();
    let body = format!(r#"{{"items":[{}]}}"#, made.join(","));
    request.response("200 OK", "", &body)
}

/// Builds a request with a prompt part of its own, a key of its pieces and a body.
fn build(path: &str, number: usize, part: &str, key: &str, body: &str) -> Request<CallerBody> {
    let attempt = format!("{:x}", 0x9c41_0000 + number);
    let mut request = request("POST", path, &attempt, "k1");
    let parts = HeaderValue::from_str(&format!("{part}:50")).unwrap();
    request.headers_mut().insert("prompt-prefix", parts);
    let key = HeaderValue::from_str(key).unwrap();
    request.headers_mut().insert("piece-key", key);
    *request.body_mut() = Full::new(Bytes::from(body.to_owned()));
    request
}

/// Sends the crashing request again and again beside sound ones, and checks that it stops reaching
/// servers while sound requests are served.
async fn check_crashing(
    name: &str,
    servers: &[CrashingServer],
    sound: impl Fn(usize) -> Request<CallerBody> + Send + 'static,
    crashing: impl Fn(usize) -> Request<CallerBody>,
) {
    let crashes = CrashLog::default();
    let store = Arc::new(StoreStandin::default());
    let chat = r#"{"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":4000,"latency-target-ms":800,"gap-target-ms":250,"service":"model","max-attempts":2,"session-affinity":true,"resume-streams":true},"#;
    let routes = format!(r#""routes":[{chat}"#);
    store.set_config(&config(1, "k1").replacen(r#""routes":["#, &routes, 1));
    for server in servers {
        for number in 0..SERVERS {
            let server_name = format!("{}{number}", &server.pool[..1]);
            let (store, crashes) = (Arc::clone(&store), Arc::clone(&crashes));
            start_server(server_name, *server, store, crashes).await;
        }
    }
    let callers = start_hosts(name, HOSTS, &store).await;
    let sound = tokio::spawn(call_for(callers.clone(), PLAY_TIME, SOUND_INTERVAL, sound));
    let crashing = call_for(callers, PLAY_TIME, CRASHING_INTERVAL, crashing).await;
    let sound = sound.await.unwrap();
    let crashes = crashes.lock().unwrap();
    assert!(crashes.len() >= KNOWN_CRASHES, "{} crashes", crashes.len());
    let known_at = crashes[KNOWN_CRASHES - 1] + CONTACT_TIME;
    let late = crashes.iter().filter(|at| **at > known_at).count();
    println!("{name}: {} crashes, {late} of them late", crashes.len());
    assert!(
        late <= ALLOWED,
        "{late} crashes after the request was known"
    );
    let is_late = |end: &&CallEnd| end.sent_at > known_at;
    let refused = crashing.iter().filter(is_late);
    assert!(refused.clone().count() > 0);
    assert!(refused.clone().all(|end| end.status == 503), "{crashing:?}");
    let sound: Vec<&CallEnd> = sound.iter().filter(is_late).collect();
    let served = sound
        .iter()
        .filter(|end| end.status == 200 && end.is_complete);
    assert!(sound.len() >= 20);
    assert_eq!(served.count(), sound.len(), "{sound:?}");
}

/// The sound requests have the same path and caller and another body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn payment_crashes_one_server_after_the_other() {
    check_crashing(
        "crashing-payment",
        &[PLAIN],
        |number| build("/pay/x", number, "a", "7c1e", &format!("sound {number}")),
        |number| build("/pay/x", 100_000 + number, "a", "7c1e", "dead"),
    )
    .await;
}

/// Each attempt of the caller is sent to two servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookup_crashes_one_server_after_the_other() {
    check_crashing(
        "crashing-lookup",
        &[PLAIN],
        |number| build("/look/x", number, "a", "7c1e", &format!("sound {number}")),
        |number| build("/look/x", 100_000 + number, "a", "7c1e", "dead"),
    )
    .await;
}

/// The requests have no body and differ in their paths only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookup_without_body_crashes_one_server_after_the_other() {
    check_crashing(
        "crashing-bodiless",
        &[PLAIN],
        |number| build("/look/x", number, "a", "7c1e", ""),
        |number| build("/look/dead", 100_000 + number, "a", "7c1e", ""),
    )
    .await;
}

/// The only part of the prompt belongs to the request, so no other request shares it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompt_without_shared_parts_crashes_one_engine_after_the_other() {
    check_crashing(
        "crashing-prompt",
        &[MODEL],
        |number| build("/chat/x", number, &format!("b{number:x}"), "7c1e", "body"),
        |number| build("/chat/x", 100_000 + number, "dead", "7c1e", "body"),
    )
    .await;
}

/// The engines are sound, and each attempt has another prompt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pieces_of_one_key_crash_one_stage_server_after_the_other() {
    check_crashing(
        "crashing-pieces",
        &[STAGE, MODEL],
        |number| {
            let part = format!("b{number:x}");
            build("/brief/x", number, &part, &format!("7c{number:x}"), "body")
        },
        |number| {
            let part = format!("c{number:x}");
            build("/brief/x", 100_000 + number, &part, "dead", "body")
        },
    )
    .await;
}
