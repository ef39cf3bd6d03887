//! Results that a model engine reads: how long they are held for it.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Fixture, RawStep, servers};
use tokio::time::sleep;

/// An engine that works off other prompts has read the inputs long before its first event; they
/// give their room back meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn inputs_are_freed_while_the_engine_works() {
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
    let check = async {
        while engine.paths().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(fixture.log.lines_with_prefix("/stage-free").is_empty());
        sleep(Duration::from_millis(600)).await;
        fixture.log.lines_with_prefix("/stage-free").concat()
    };
    let (answer, freed) = tokio::join!(call, check);
    assert_eq!(answer.status, 200);
    assert_eq!(freed.matches("s1-").count(), 2, "both pieces: {freed}");
}

/// An engine that refuses a request late has had its inputs freed; they are made again for the
/// next engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn inputs_that_were_freed_are_made_again_for_another_engine() {
    let fixture = Fixture::start("inputs-again").await;
    let engine = fixture
        .replace_pool("model", |request| {
            let extra = "not-executed: 1\r\n";
            vec![
                RawStep::Pause(Duration::from_millis(400)),
                RawStep::Send(request.response("503 Service Unavailable", extra, "")),
            ]
        })
        .await;
    let address = servers::serve("m2", Arc::clone(&fixture.log)).await;
    fixture.store.set_server("m2", "model", address, "ready", 2);
    sleep(Duration::from_millis(700)).await;
    for number in 0..6 {
        let attempt = format!("b{number}");
        let answer = fixture.call("POST", "/brief/ok", &attempt).await;
        assert_eq!(answer.status, 200, "{attempt}: {answer:?}");
    }
    let refused = engine.paths().len();
    assert!(refused > 0, "one of six went to the engine that refuses");
    assert_eq!(
        fixture.log.lines_with_prefix("/stage-run").len(),
        6 + refused
    );
    let inputs = fixture.log.lines_with_prefix("inputs b");
    let read: Vec<&str> = inputs
        .iter()
        .filter_map(|line| line.split(' ').nth(2))
        .collect();
    let mut handles: Vec<&str> = read.iter().flat_map(|line| line.split(',')).collect();
    handles.sort_unstable();
    handles.dedup();
    assert_eq!(handles.len(), 12, "two pieces for each request: {inputs:?}");
}
