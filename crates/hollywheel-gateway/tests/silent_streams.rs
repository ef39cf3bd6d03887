//! Checks streams and plain requests whose server is silent for a while and then goes on.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use support::{CallerResponse, Fixture, RawLog, RawRequest, RawStep, config, request, send};
use tokio::time::sleep;

/// What the next engine does when it is asked to go on with a stream.
const MODES: [&str; 4] = ["refuse", "close", "silence", "take"];
/// Events of a stream.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Encodes one chunk of a chunked body.
fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Returns the head of a chunked stream.
fn stream_head(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Returns what an engine sends: the first one pauses after its first event, the next one acts as the
/// last segment of the path says.
fn script(pause: Duration, request: &RawRequest) -> Vec<RawStep> {
    let head = RawStep::Send(stream_head(request));
    let last_event = vec![
        RawStep::Send(chunk("id: 2\ndata: b\n\n")),
        RawStep::Send(b"0\r\n\r\n".to_vec()),
    ];
    let mut steps = vec![head];
    if request.header("last-event-id").is_empty() {
        steps.push(RawStep::Send(chunk("id: 1\ndata: a\n\n")));
        steps.push(RawStep::Pause(pause));
        steps.extend(last_event);
        return steps;
    }
    let refusal = request.response("503 Service Unavailable", "not-executed: 1\r\n", "");
    match request.path.rsplit('/').next().unwrap_or("") {
        "refuse" => vec![RawStep::Send(refusal)],
        "close" => vec![RawStep::Close],
        "silence" => vec![RawStep::Pause(Duration::from_secs(20))],
        _ => {
            steps.extend(last_event);
            steps
        }
    }
}

/// Starts two engines that pause in the middle of each stream, on a route whose callers wait for
/// 3.2 s for the next event.
async fn start_engines(name: &str, pause: Duration) -> (Fixture, [Arc<RawLog>; 2]) {
    let fixture = Fixture::start(name).await;
    let own_script = move |request: &RawRequest| script(pause, request);
    let first = fixture.replace_pool("model", own_script).await;
    let (address, second) = support::serve_raw(own_script).await;
    fixture.store.set_server("m9", "model", address, "ready", 1);
    let patient = config(2, "k1").replace("\"timeout-ms\":4000", "\"timeout-ms\":9000");
    fixture.store.set_config(&patient);
    sleep(Duration::from_millis(700)).await;
    (fixture, [first, second])
}

/// Sends one stream for each mode at the same time.
async fn send_streams(fixture: &Fixture) -> Vec<CallerResponse> {
    let calls = MODES.map(|mode| {
        let mut request = request("POST", &format!("/brief/{mode}"), mode, "k1");
        let headers = request.headers_mut();
        headers.insert("deadline-ms", "9000".parse().unwrap());
        let address = fixture.caller_address;
        tokio::spawn(async move { send(address, request).await.unwrap() })
    });
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.unwrap());
    }
    responses
}

/// Returns how many requests reached the engines.
fn request_count(engines: &[Arc<RawLog>; 2]) -> usize {
    engines.iter().map(|engine| engine.paths().len()).sum()
}

/// Callers lost streams whose engine was silent for 1.7 s, or two engines ran the request at once.
/// They wait for longer, and an engine may pause in the middle of a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_stream_is_left_while_its_engine_is_silent() {
    let (fixture, engines) = start_engines("silent-sound", Duration::from_millis(1700)).await;
    let change = async {
        sleep(Duration::from_millis(400)).await;
        let changed = config(3, "k1").replace("\"timeout-ms\":4000", "\"timeout-ms\":9100");
        fixture.store.set_config(&changed);
    };
    let (responses, ()) = tokio::join!(send_streams(&fixture), change);
    for response in responses {
        assert_eq!(
            (response.status, response.body.as_deref()),
            (200, Ok(EVENTS))
        );
    }
    assert_eq!(request_count(&engines), 4, "one engine for each stream");
}

/// Callers lost streams whose engine was silent for very long, since the stream was given up before
/// the next engine had sent anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_stream_is_given_up_for_an_engine_that_fails() {
    let (fixture, engines) = start_engines("silent-long", Duration::from_millis(3600)).await;
    for response in send_streams(&fixture).await {
        assert_eq!(
            (response.status, response.body.as_deref()),
            (200, Ok(EVENTS))
        );
    }
    assert_eq!(
        request_count(&engines),
        8,
        "each next engine was asked once"
    );
}

/// Callers lost streams whose engine was silent: the stream was given up, and the stages whose results
/// the next engine needs were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_stream_ends_when_its_stages_are_refused() {
    let (fixture, engines) = start_engines("silent-stages", Duration::from_millis(3000)).await;
    let stage_calls = AtomicUsize::new(0);
    let refusal =
        "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
    let stage = fixture
        .replace_pool("stage", move |request| {
            if request.path == "/stage-free" {
                return vec![RawStep::Send(request.response("200 OK", "", ""))];
            }
            if stage_calls.fetch_add(1, Ordering::Relaxed) > 0 {
                return vec![RawStep::Send(refusal.into())];
            }
            vec![RawStep::Send(request.stage_response())]
        })
        .await;
    let mut request = request("POST", "/brief/take", "refused", "k1");
    let headers = request.headers_mut();
    headers.insert("deadline-ms", "9000".parse().unwrap());
    let response = send(fixture.caller_address, request).await.unwrap();
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok(EVENTS))
    );
    assert_eq!(request_count(&engines), 1, "the other engine had no inputs");
    let runs = stage.paths();
    let runs = runs.iter().filter(|path| *path == "/stage-run").count();
    assert!(runs > 1, "the stages were asked again: {runs}");
}

/// Callers of requests that may be repeated got 502 from a server that was only slow: the attempt was
/// given up although no other server could take the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_answer_is_given_up_without_another_server() {
    let fixture = Fixture::start("slow-answer").await;
    let plain = fixture
        .replace_pool("plain", |request| {
            vec![
                RawStep::Pause(Duration::from_millis(700)),
                RawStep::Send(request.response("200 OK", "", "slow")),
            ]
        })
        .await;
    let response = fixture.call("GET", "/look/ok", "slow").await;
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok("slow"))
    );
    assert_eq!(plain.paths().len(), 1);
}
