//! Checks a gateway whose backend servers report that their machines are busy with other work.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use support::{Fixture, RawStep, serve_raw};
use tokio::time::sleep;

/// Requests after which a pool's shares are compared.
const REQUESTS: usize = 20;

/// Returns how many of the requests two servers get that state the given reports.
async fn shares(name: &str, reports: [&'static str; 2]) -> ([usize; 2], Fixture) {
    let fixture = Fixture::start(name).await;
    for server in ["p1", "p2"] {
        fixture.store.remove_server(server);
    }
    let mut logs = Vec::new();
    for (number, report) in reports.into_iter().enumerate() {
        let (address, log) = serve_raw(move |request| {
            let header = format!("server-load: {report}\r\n");
            vec![RawStep::Send(request.response("200 OK", &header, "done"))]
        })
        .await;
        logs.push(log);
        let server = format!("q{number}");
        fixture
            .store
            .set_server(&server, "plain", address, "ready", 1);
    }
    sleep(Duration::from_millis(700)).await;
    for number in 0..REQUESTS {
        let response = fixture.call("POST", "/pay/ok", &format!("{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    let counts = [0, 1].map(|number: usize| logs[number].paths().len());
    (counts, fixture)
}

/// The first request at the slow server tells that it is slow; the others go to the fast one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_on_a_busy_machine_gets_as_many_requests_as_others() {
    let (counts, fixture) = shares("busy-machine", ["0,0,8,1000", "0,0,8,100"]).await;
    assert!(counts[0] <= 3, "{counts:?}");
    let reports = fixture.metric("hollywheel_server_slowdown_count").await;
    assert_eq!(reports, REQUESTS as f64);
}

/// A fifth value or an unreadable fourth one says nothing about the server's speed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn report_with_unknown_values_is_taken_for_a_slowdown() {
    let (counts, fixture) = shares("unknown-values", ["0,0,8,1000,7", "0,0,8,fast"]).await;
    assert!(counts[0] >= 4 && counts[1] >= 4, "{counts:?}");
    assert_eq!(
        fixture.metric("hollywheel_server_slowdown_count").await,
        0.0
    );
}
