//! Checks what hosts make of engines that crash after they have begun to answer: requests that cause it
//! stop reaching engines, and requests that only ran beside it are served.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/crashing_servers.rs"]
mod crashing_servers;
#[path = "support/streaming_engine.rs"]
mod streaming_engine;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use crashing_servers::{CallEnd, call_for, start_hosts};
use http::Request;
use streaming_engine::{AnswerFraming, CrashPoint, CrashReport, EnginePlan, start_engine};
use support::store::StoreStandin;
use support::{CallerBody, config, request};

const HOSTS: usize = 3;
const ENGINES: usize = 6;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which a part, and a request as a whole, is known to all hosts within [`CONTACT_TIME`].
const KNOWN_PART_CRASHES: usize = 5;
const KNOWN_REQUEST_CRASHES: usize = 3;
/// Requests with a known cause that may still reach engines later than that.
const ALLOWED: usize = 3;
const SOUND_INTERVAL: Duration = Duration::from_millis(70);
const CRASHING_INTERVAL: Duration = Duration::from_millis(700);
/// Sound requests and those that crash engines are sent for this time.
const PLAY_TIME: Duration = Duration::from_secs(14);

/// The first part of all requests.
const FIRST_PART: &str = "aa";
/// The part, or first digits of the part, that crashes engines.
const CRASHING_PART: &str = "dead";

/// Short answers in chunks; requests with the part crash engines after the first event.
const PLAN: EnginePlan = EnginePlan {
    events: 8,
    interval: Duration::from_millis(40),
    framing: AnswerFraming::Chunks,
    is_crashing: |request| request.header("prompt-prefix").contains(CRASHING_PART),
    crash_point: CrashPoint::AfterEvents(1),
};

/// Starts engines and hosts, and sends sound requests beside ones that crash engines; returns how the
/// sound ones ended.
async fn play(
    name: &str,
    attempts: usize,
    plan: EnginePlan,
    crashing: impl Fn(usize) -> Request<CallerBody>,
) -> (Arc<CrashReport>, Vec<CallEnd>) {
    let store = Arc::new(StoreStandin::default());
    let chat = format!(
        r#"{{"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":6000,"latency-target-ms":1600,"gap-target-ms":400,"service":"model","max-attempts":{attempts},"session-affinity":true,"resume-streams":{}}},"#,
        attempts > 1
    );
    let routes = format!(r#""routes":[{chat}"#);
    let config = config(1, "k1").replace(r#""slots":8"#, r#""slots":64"#);
    store.set_config(&config.replacen(r#""routes":["#, &routes, 1));
    let report = Arc::new(CrashReport::default());
    for number in 0..ENGINES {
        start_engine(number, plan, Arc::clone(&store), Arc::clone(&report)).await;
    }
    let callers = start_hosts(name, HOSTS, &store).await;
    let build_sound = |number: usize| {
        let parts = format!("{FIRST_PART}:500,b{}:1500,c{number:x}:50", number % 11);
        build(number, &parts)
    };
    let sound = call_for(callers.clone(), PLAY_TIME, SOUND_INTERVAL, build_sound);
    let sound = tokio::spawn(sound);
    call_for(callers, PLAY_TIME, CRASHING_INTERVAL, crashing).await;
    (report, sound.await.unwrap())
}

/// Builds a request with the given prompt parts.
fn build(number: usize, parts: &str) -> Request<CallerBody> {
    let attempt = format!("{:x}", 0x9c41_0000 + number);
    let mut request = request("POST", "/chat/x", &attempt, "k1");
    let headers = request.headers_mut();
    headers.insert("prompt-prefix", parts.parse().unwrap());
    headers.insert("deadline-ms", "6000".parse().unwrap());
    request
}

/// Builds a request that has only the first part and the crashing one in common with others.
fn build_crashing(number: usize) -> Request<CallerBody> {
    let parts = format!("{FIRST_PART}:500,{CRASHING_PART}:300,d{number:x}:50");
    build(100_000 + number, &parts)
}

/// Checks that engines get at most [`ALLOWED`] requests with a cause once it is known after so many
/// crashes, and that from then on most sound requests begin at the first attempt.
fn check_known(name: &str, known_crashes: usize, report: &CrashReport, sound: &[CallEnd]) {
    let crashes = report.crashes.lock().unwrap();
    let arrivals = report.arrivals.lock().unwrap();
    let known = crashes.len().min(known_crashes).checked_sub(1);
    let known_at = crashes[known.expect("engines crash")] + CONTACT_TIME;
    let late = arrivals.iter().filter(|at| **at > known_at).count();
    let sound = sound
        .iter()
        .filter(|end| end.sent_at > known_at + CONTACT_TIME);
    let sound: Vec<&CallEnd> = sound.collect();
    let begun = sound.iter().filter(|end| end.status == 200).count();
    println!(
        "{name}: {} crashes, {} arrivals, {late} of them late; {begun} of {} sound requests begun",
        crashes.len(),
        arrivals.len(),
        sound.len()
    );
    assert!(
        late <= ALLOWED,
        "{late} requests after their cause was known"
    );
    assert!(sound.len() >= 20 && begun * 2 >= sound.len());
}

/// Engines go on crashing, one for each request with the part.
async fn check_part(name: &str, attempts: usize, plan: EnginePlan) {
    let (report, sound) = play(name, attempts, plan, build_crashing).await;
    check_known(name, KNOWN_PART_CRASHES, &report, &sound);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_before_their_answer_is_not_refused() {
    let crash_point = CrashPoint::BeforeAnswer;
    check_part(
        "crash-before",
        1,
        EnginePlan {
            crash_point,
            ..PLAN
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_after_their_first_event_is_not_refused() {
    check_part("crash-first", 1, PLAN).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_after_their_third_event_is_not_refused() {
    let crash_point = CrashPoint::AfterEvents(3);
    check_part(
        "crash-third",
        1,
        EnginePlan {
            crash_point,
            ..PLAN
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_after_their_last_event_is_not_refused() {
    let crash_point = CrashPoint::AfterEvents(PLAN.events);
    check_part(
        "crash-last",
        1,
        EnginePlan {
            crash_point,
            ..PLAN
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_long_after_their_first_event_is_not_refused() {
    let crash_point = CrashPoint::AfterTime(Duration::from_millis(400));
    let plan = EnginePlan {
        events: 20,
        crash_point,
        ..PLAN
    };
    check_part("crash-later", 1, plan).await;
}

/// The crash comes later than that of any part which engines have answered before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_seconds_after_their_first_event_is_not_refused() {
    let crash_point = CrashPoint::AfterTime(Duration::from_millis(1500));
    let plan = EnginePlan {
        events: 6,
        interval: Duration::from_millis(300),
        crash_point,
        ..PLAN
    };
    check_part("crash-seconds", 1, plan).await;
}

/// Each request crashes the engines that go on with its stream, too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_is_not_refused_when_streams_are_resumed() {
    check_part("crash-resumed", 3, PLAN).await;
}

/// The end of the connection is both the end of an answer and what a crash looks like.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_engines_is_not_refused_when_answers_end_with_their_connections() {
    let plan = EnginePlan {
        framing: AnswerFraming::Connection,
        ..PLAN
    };
    check_part("crash-unframed", 1, plan).await;
}

/// The request has its part in common with sound ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_engines_after_their_first_event_is_not_refused() {
    let build_again = |number: usize| {
        let parts = format!("{FIRST_PART}:500,b1:1500,{CRASHING_PART}:50");
        build(100_000 + number, &parts)
    };
    let (report, sound) = play("crash-request", 1, PLAN, build_again).await;
    check_known("crash-request", KNOWN_REQUEST_CRASHES, &report, &sound);
}

/// Each crash ends all long answers of its engine, and the requests that crash engines have only the
/// first part in common.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_parts_are_refused_when_engines_crash_by_chance() {
    let plan = EnginePlan {
        interval: Duration::from_millis(300),
        ..PLAN
    };
    let build_other = |number: usize| {
        let parts = format!("{FIRST_PART}:500,{CRASHING_PART}{number:x}:300,d{number:x}:50");
        build(100_000 + number, &parts)
    };
    let (report, sound) = play("crash-by-chance", 1, plan, build_other).await;
    let begun = sound.iter().filter(|end| end.status == 200).count();
    let refused = sound.iter().filter(|end| end.status == 503).count();
    println!(
        "crash-by-chance: {} crashes cut {} answers; {begun} of {} sound requests begun, {refused} refused",
        report.crashes.lock().unwrap().len(),
        report.cut_answers.lock().unwrap(),
        sound.len()
    );
    assert!(begun * 2 >= sound.len());
}
