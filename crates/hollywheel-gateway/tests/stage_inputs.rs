//! Checks how long stage results are kept for the model engine that reads them.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Fixture, RawStep, config, request, send, servers};
use tokio::time::sleep;

/// An engine that still processes other prompts has read the inputs long before it sends its first
/// event, so their memory is released in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn inputs_are_freed_before_the_first_event() {
    let fixture = Fixture::start("inputs-freed").await;
    let engine = fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Pause(Duration::from_millis(1000)),
                RawStep::Send(request.response("200 OK", "", "id: 1\ndata: a\n\n")),
            ]
        })
        .await;
    let call = fixture.call("POST", "/brief/ok", "a1");
    let observe_frees = async {
        while engine.paths().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(fixture.log.lines_with_prefix("/stage-free").is_empty());
        sleep(Duration::from_millis(600)).await;
        fixture.log.lines_with_prefix("/stage-free").concat()
    };
    let (response, freed) = tokio::join!(call, observe_frees);
    assert_eq!(response.status, 200);
    assert_eq!(freed.matches("s1-").count(), 2, "both pieces: {freed}");
}

/// If an engine rejects a request after its inputs were freed, the stages run again for the next
/// engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn freed_inputs_are_recomputed_for_another_engine() {
    let fixture = Fixture::start("inputs-again").await;
    let engine = fixture
        .replace_pool("model", |request| {
            let extra = "not-executed: 1\r\n";
            vec![
                RawStep::Pause(Duration::from_millis(1000)),
                RawStep::Send(request.response("503 Service Unavailable", extra, "")),
            ]
        })
        .await;
    // The other engine joins while the rejecting one holds the first request, which therefore is
    // rejected in every run; further requests go to either.
    let join_engine = async {
        while engine.paths().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
        let address = servers::serve("m2", Arc::clone(&fixture.log)).await;
        fixture.store.set_server("m2", "model", address, "ready", 2);
    };
    let (first, ()) = tokio::join!(fixture.call("POST", "/brief/ok", "b0"), join_engine);
    assert_eq!(first.status, 200, "{first:?}");
    for number in 1..6 {
        let attempt = format!("b{number}");
        let response = fixture.call("POST", "/brief/ok", &attempt).await;
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
    }
    let rejection_count = engine.paths().len();
    assert!(
        rejection_count > 0,
        "none of six requests was sent to the rejecting engine"
    );
    assert_eq!(
        fixture.log.lines_with_prefix("/stage-run").len(),
        6 + rejection_count
    );
    let input_lines = fixture.log.lines_with_prefix("inputs b");
    let handle_lists: Vec<&str> = input_lines
        .iter()
        .filter_map(|line| line.split(' ').nth(2))
        .collect();
    let mut handles: Vec<&str> = handle_lists
        .iter()
        .flat_map(|list| list.split(','))
        .collect();
    handles.sort_unstable();
    handles.dedup();
    assert_eq!(
        handles.len(),
        12,
        "two pieces for each request: {input_lines:?}"
    );
}

/// Callers that omitted the last stage of a branch got answers that were made without the results
/// of the stage before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_runs_without_results_because_it_omits_the_last_stage() {
    let fixture = Fixture::start("inputs-omitted").await;
    let stages = r#""stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":10},{"service":"stage","after":[0],"bytes":10},{"service":"stage","after":[1,2],"bytes":10}]"#;
    let line = r#""stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":10}]"#;
    fixture
        .store
        .set_config(&config(2, "k1").replace(line, stages));
    sleep(Duration::from_millis(700)).await;
    for (pieces, input_count) in [
        ("2,1,3,1", 1),
        ("2,1,3,0", 4),
        ("2,0,3,0", 3),
        ("2,1,0,0", 1),
        ("2,0,0,0", 2),
        ("0,1,0,0", 1),
        ("0,0,0,0", 0),
    ] {
        let attempt = format!("omit-{pieces}");
        let mut request = request("POST", "/draft/ok", &attempt, "k1");
        request
            .headers_mut()
            .insert("pieces", pieces.parse().unwrap());
        let response = send(fixture.caller_address, request).await.unwrap();
        assert_eq!(response.status, 200, "{pieces}: {response:?}");
        let lines = fixture.log.lines_with_prefix(&format!("ran {attempt} "));
        let expected = format!(" inputs={input_count} ");
        assert!(
            lines.len() == 1 && lines[0].contains(&expected),
            "{pieces}: {lines:?}"
        );
    }
}

/// A configuration was refused as a whole, so its routes and keys had no effect, when a name held a
/// space or a stage needed one with a higher number.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn valid_configuration_is_refused() {
    let fixture = Fixture::start("valid-config").await;
    let line = r#""stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":10}]"#;
    let stages = r#""stages":[{"service":"text stage","after":[1],"bytes":1000},{"service":"text stage","after":[],"bytes":10}]"#;
    let text = config(2, "k2")
        .replace(line, stages)
        .replace("\"name\":\"draft\"", "\"name\":\"draft: \u{e9}t\u{e9}\"")
        .replace("\"stage\"", "\"text stage\"")
        .replace("\"office\"", "\"head office: 1\"");
    let address = servers::serve("s2", Arc::clone(&fixture.log)).await;
    fixture
        .store
        .set_server("s2", "text stage", address, "ready", 2);
    fixture.store.set_config(&text);
    sleep(Duration::from_millis(700)).await;
    let mut request = request("POST", "/draft/ok", "names", "k2");
    request
        .headers_mut()
        .insert("pieces", "3,2".parse().unwrap());
    let response = send(fixture.caller_address, request).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let lines = fixture.log.lines_with_prefix("ran names ");
    let is_expected = lines.len() == 1
        && lines[0].contains(" inputs=3 ")
        && lines[0].contains(" tenant=head office: 1 ");
    assert!(is_expected, "{lines:?}");
}

/// Requests of pipelines that are not streaming ran without their stages.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stages_of_a_plain_pipeline_are_omitted() {
    let fixture = Fixture::start("plain-stages").await;
    let body = "one\n\ntwo without a line end";
    let plain = fixture
        .replace_pool("plain", move |request| {
            match request.path.rsplit('/').next() {
                Some("fault") => vec![RawStep::Send(request.response("500 Fault", "", body))],
                Some("cut") => {
                    let mut response = request.response("200 OK", "", body);
                    response.truncate(response.len() - 4);
                    vec![RawStep::Send(response), RawStep::Close]
                }
                _ => vec![RawStep::Send(request.response("200 OK", "", body))],
            }
        })
        .await;
    let stages = r#""service":"plain","stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":10}]"#;
    fixture
        .store
        .set_config(&config(2, "k1").replace("\"service\":\"plain\"", stages));
    sleep(Duration::from_millis(700)).await;
    for (method, path, status) in [
        ("POST", "/pay/ok", 200),
        ("GET", "/look/ok", 200),
        ("POST", "/pay/fault", 500),
        ("POST", "/pay/cut", 502),
    ] {
        let calls = fixture.log.lines_with_prefix("/stage-run").len();
        let requests = plain.requests().len();
        let attempt = path.replace('/', "-");
        let response = fixture.call(method, path, &attempt).await;
        let whole = response.body.as_deref();
        assert_eq!(response.status, status, "{path}: {response:?}");
        assert!(status == 502 || whole == Ok(body), "{path}: {response:?}");
        let runs = fixture.log.lines_with_prefix("/stage-run").len() - calls;
        let sent = plain.requests().split_off(requests);
        let inputs: Vec<String> = sent.iter().map(|sent| sent.header("inputs")).collect();
        assert_eq!((runs, inputs.len()), (2, 1), "{path}: {inputs:?}");
        assert!(!inputs[0].is_empty(), "{path}");
    }
}
