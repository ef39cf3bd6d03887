//! Checks that numbers from servers, callers and the operator do not end requests or the host.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use support::{Fixture, RawStep, config, request, send};
use tokio::time::sleep;

/// Numbers that a header may hold.
const NUMBERS: [&str; 9] = [
    "0",
    "-1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "1e308",
    "nan",
];

/// Requests ran and their callers' connections were closed without an answer, since a server stated
/// a very long idle time-out: adding it to the time panicked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn number_of_a_server_ends_requests_without_an_answer() {
    let fixture = Fixture::start("extreme-numbers").await;
    let script = |request: &support::RawRequest| {
        let number = request.header("x-number");
        let mut extra =
            format!("keep-alive: timeout={number}, max={number}\r\nretry-after: {number}\r\n");
        if request.path.ends_with("/load") {
            extra = "server-load: 4294967295,4294967295,4294967295\r\n".into();
        }
        if request.path.starts_with("/stage-") {
            let pieces = request.body.matches("\"stage\":").count();
            let item = format!(r#"{{"handle":"{}/r{}"}}"#, request.authority, request.index);
            let body = format!(r#"{{"items":[{}]}}"#, vec![item; pieces].join(","));
            let largest = "keep-alive: timeout=18446744073709551615\r\n";
            return vec![RawStep::Send(request.response("200 OK", largest, &body))];
        }
        let events = "id: 1\ndata: a\n\n";
        vec![RawStep::Send(request.response("200 OK", &extra, events))]
    };
    for pool in ["plain", "model", "stage"] {
        fixture.replace_pool(pool, script).await;
    }
    for path in ["/pay/ok", "/draft/ok"] {
        for number in NUMBERS {
            let mut request = request("POST", path, &format!("{path}{number}"), "k1");
            let headers = request.headers_mut();
            headers.insert("x-number", number.parse().unwrap());
            if number.parse::<u64>().is_ok_and(|number| number > 0) {
                headers.insert("deadline-ms", number.parse().unwrap());
            }
            let response = send(fixture.caller_address, request).await;
            let response = response.unwrap_or_else(|error| panic!("{path} {number}: {error}"));
            assert_eq!(response.status, 200, "{path} {number}: {response:?}");
        }
    }
    for path in ["/pay/load", "/draft/load"] {
        let first = fixture.call("POST", path, &format!("{path}1")).await;
        assert_eq!(first.status, 200, "{path}: {first:?}");
        let next = fixture.call("POST", path, &format!("{path}2")).await;
        assert_eq!(next.status, 503, "the server is full: {path}: {next:?}");
    }
}

/// A host closed connections without an answer under a configuration with very long times.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn longest_times_of_a_configuration_end_requests() {
    let fixture = Fixture::start("extreme-times").await;
    for (version, number) in [(2, "18446744073709551615"), (3, "1e22"), (4, "1e308")] {
        let fields = [
            "timeout-ms",
            "latency-target-ms",
            "gap-target-ms",
            "call-ms",
            "item-ms",
        ];
        let text = with_numbers(&config(version, "k1"), &fields, number);
        fixture.store.set_config(&text);
        sleep(Duration::from_millis(700)).await;
        for path in ["/pay/ok", "/look/ok", "/draft/ok", "/brief/ok"] {
            let attempt = format!("{path}{number}");
            let call = send(
                fixture.caller_address,
                request("POST", path, &attempt, "k1"),
            );
            let response = call.await;
            let response = response.unwrap_or_else(|error| panic!("{path} {number}: {error}"));
            assert!(response.status >= 200, "{path} {number}: {response:?}");
        }
    }
}

/// Replaces all numbers of some fields of a configuration.
fn with_numbers(text: &str, fields: &[&str], number: &str) -> String {
    let mut text = text.to_owned();
    for field in fields {
        let prefix = format!("\"{field}\":");
        let parts: Vec<&str> = text.split(prefix.as_str()).collect();
        let rest = parts[1..].iter().map(|part| {
            let digits = part.trim_start_matches(|digit: char| digit.is_ascii_digit());
            format!("{prefix}{number}{digits}")
        });
        text = format!("{}{}", parts[0], rest.collect::<String>());
    }
    text
}

/// Guards against counts and sizes of a configuration whose products or sums exceed their type.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_counts_of_a_configuration_end_requests() {
    let fixture = Fixture::start("extreme-counts").await;
    // Whether stages have room or a server; their requests are refused otherwise.
    let cases: [(&[&str], &str, bool); 6] = [
        (&["slots", "queue", "max-attempts"], "4294967295", true),
        (&["batch", "kv-cache-tokens"], "18446744073709551615", true),
        (&["bytes"], "18446744073709551615", false),
        (&["headroom-mb", "handle-s"], "1e308", true),
        (&["headroom-mb", "handle-s", "bytes", "item-ms"], "0", false),
        (&["slots", "batch", "kv-cache-tokens"], "0", false),
    ];
    let mut version = 1;
    for (fields, number, has_room) in cases {
        version += 1;
        let text = config(version, &format!("k{version}"));
        fixture
            .store
            .set_config(&with_numbers(&text, fields, number));
        sleep(Duration::from_millis(700)).await;
        for path in ["/pay/ok", "/look/ok", "/draft/ok", "/brief/ok"] {
            let attempt = format!("{path}{version}");
            let key = format!("k{version}");
            let call = request("POST", path, &attempt, &key);
            let response = send(fixture.caller_address, call).await;
            let response =
                response.unwrap_or_else(|error| panic!("{path} {fields:?} {number}: {error}"));
            let is_expected = response.status == 200 || !has_room && response.status == 503;
            assert!(is_expected, "{path} {fields:?} {number}: {response:?}");
        }
    }
}
