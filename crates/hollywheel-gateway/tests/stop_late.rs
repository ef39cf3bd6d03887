//! Checks what callers get of requests that would end after the process, in its own test process
//! because SIGTERM starts the stop.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use http::HeaderValue;
use nix::sys::signal::{Signal, raise};
use support::{CallerResponse, Fixture, RawRequest, RawStep, config, request, send};
use tokio::time::sleep;

/// Time that servers need for a request; the process ends 7.6 s after the signal.
const SERVER_TIME: Duration = Duration::from_secs(7);

/// Returns a configuration with routes whose requests may take longer than the stop.
fn slow_config() -> String {
    let routes: Vec<String> = ["known", "pay", "look"]
        .iter()
        .map(|name| {
            let kind = if *name == "look" { "idempotent" } else { "non_idempotent" };
            format!(r#"{{"name":"slow-{name}","host":"h","path-prefix":"/slow-{name}/","kind":"{kind}","timeout-ms":12000,"latency-target-ms":300,"service":"plain","max-attempts":1}},"#)
        })
        .collect();
    let chat = r#"{"name":"slow-chat","host":"h","path-prefix":"/slow-chat/","kind":"streaming","timeout-ms":12000,"latency-target-ms":3000,"gap-target-ms":250,"service":"model","max-attempts":1},"#;
    let routes = format!(r#""routes":[{}{chat}"#, routes.concat());
    config(2, "k1").replacen(r#""routes":["#, &routes, 1)
}

fn answer_slowly(request: &RawRequest) -> Vec<RawStep> {
    let answer = request.response("200 OK", "", "id: 1\ndata: a\n\n");
    vec![RawStep::Pause(SERVER_TIME), RawStep::Send(answer)]
}

/// Sends a request whose caller waits longer than the stop takes.
async fn call(fixture: &Fixture, path: String, attempt: String) -> Option<CallerResponse> {
    let mut call = request("POST", &path, &attempt, "k1");
    let deadline = HeaderValue::from_static("12000");
    call.headers_mut().insert("deadline-ms", deadline);
    send(fixture.caller_address, call).await.ok()
}

/// Requests that were passed on were cut with no answer when the process ended, among them payments.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_taken_late_in_a_stop_are_cut_without_an_answer() {
    let fixture = Fixture::start("stop-late").await;
    fixture.store.set_config(&slow_config());
    let plain = fixture.replace_pool("plain", answer_slowly).await;
    let model = fixture.replace_pool("model", answer_slowly).await;
    let fixture = std::sync::Arc::new(fixture);
    // Two learn the time of one route, and the others are open when the stop begins.
    let spawn = |path: String, attempt: String| {
        let fixture = std::sync::Arc::clone(&fixture);
        tokio::spawn(async move { (path.clone(), call(&fixture, path, attempt).await) })
    };
    for number in 0..2 {
        let ended = call(
            &fixture,
            format!("/slow-known/learn-{number}"),
            format!("f{number}"),
        );
        let ended = ended.await.unwrap();
        assert_eq!(ended.status, 200, "{ended:?}");
    }
    let mut calls = Vec::new();
    for route in ["pay", "look", "chat"] {
        let path = format!("/slow-{route}/before");
        calls.push(spawn(path, format!("b{}", calls.len())));
    }
    sleep(Duration::from_secs(1)).await;
    raise(Signal::SIGTERM).unwrap();
    sleep(Duration::from_millis(250)).await;
    for number in 0..4 {
        sleep(Duration::from_millis(550)).await;
        for route in ["known", "pay", "look", "chat"] {
            let path = format!("/slow-{route}/late-{number}");
            calls.push(spawn(path, format!("a{}", calls.len())));
        }
    }
    let mut ends = Vec::new();
    for call in calls {
        ends.push(call.await.unwrap());
    }
    let (plain, model) = (plain.paths(), model.paths());
    for (path, response) in &ends {
        let response = response.as_ref().unwrap_or_else(|| panic!("{path}: cut"));
        println!("{path}: {response:?}");
        assert!(response.body.is_ok(), "{path}: {response:?}");
        let sent = plain.contains(path) || model.contains(path);
        let statuses: &[u16] = if sent { &[200, 502, 504] } else { &[503] };
        assert!(statuses.contains(&response.status), "{path}: {response:?}");
        let is_known = path.starts_with("/slow-known/");
        assert!(!(is_known && sent), "{path}: cannot end before the process");
    }
}
