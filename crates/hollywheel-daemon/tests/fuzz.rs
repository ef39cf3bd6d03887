//! Input of callers and settings that nobody would write.

use hollywheel_daemon::front::{TraceParent, parse_body, parse_head};
use hollywheel_daemon::settings::{RawSettings, check_settings, parse_operators};
use http::{HeaderMap, HeaderName, HeaderValue};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ITERATIONS: usize = 20_000;
const SEED: u64 = 11;

/// Holds texts that break readers, to be cut and joined.
const PARTS: [&[u8]; 16] = [
    b"{\"input\":\"x\"",
    b",\"stream\":true}",
    b",\"max_tokens\":4294967296}",
    b"\"\\ud800\"",
    b"\xff\xfe",
    b"Bearer ",
    b"key",
    b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    b"00-00000000000000000000000000000000-",
    b"-",
    b"99999999999999999999",
    b"viewer:",
    b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa,",
    b"[[[[[[[[[[[[[[[[",
    b"\0",
    b"127.0.0.1:70000",
];

fn draw_bytes(random: &mut StdRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..random.random_range(0..6) {
        let part = PARTS[random.random_range(0..PARTS.len())];
        let end = random.random_range(0..=part.len());
        bytes.extend_from_slice(if random.random() { part } else { &part[..end] });
    }
    if !bytes.is_empty() && random.random() {
        let at = random.random_range(0..bytes.len());
        bytes[at] = random.random();
    }
    bytes
}

#[test]
fn heads_and_bodies_of_calls_are_read_or_refused() {
    let mut random = StdRng::seed_from_u64(SEED);
    let names = [
        "authorization",
        "idempotency-key",
        "hollywheel-timeout-ms",
        "traceparent",
    ];
    let mut read = 0;
    for _ in 0..ITERATIONS {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_static("Bearer key"));
        for name in names {
            let value = HeaderValue::from_bytes(&draw_bytes(&mut random));
            if let (Ok(value), true) = (value, random.random()) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        if let Ok(head) = parse_head("pipeline", &headers) {
            read += 1;
            assert!(!head.key.is_empty() && head.key.len() <= 512);
            assert!(head.timeout.is_none_or(|span| !span.is_zero()));
        }
        let name = String::from_utf8_lossy(&draw_bytes(&mut random)).into_owned();
        let _ = parse_head(&name, &headers);
        let _ = parse_body(&draw_bytes(&mut random));
    }
    assert!(read > ITERATIONS / 20, "only {read} heads were read");
}

#[test]
fn trace_parents_are_written_as_they_were_read() {
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..ITERATIONS {
        let text = String::from_utf8_lossy(&draw_bytes(&mut random)).into_owned();
        if let Ok(parent) = text.parse::<TraceParent>() {
            assert_eq!(parent.to_string(), text);
        }
    }
}

#[test]
fn settings_are_taken_or_every_fault_names_a_flag() {
    let flags = [
        "host",
        "domain",
        "region",
        "platform",
        "listen",
        "admin-listen",
        "peer-listen",
        "seed-hosts",
        "routing",
        "drain-ms",
        "max-body",
        "max-requests",
        "workers",
        "log-level",
        "operators",
        "platform-token",
        "tls-cert",
        "tls-key",
        "tls-ca",
    ];
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..ITERATIONS / 10 {
        let mut raw = RawSettings::default();
        for flag in flags {
            let text = String::from_utf8_lossy(&draw_bytes(&mut random)).into_owned();
            raw.set(flag, text);
        }
        match check_settings(&raw) {
            Ok(settings) => assert!(settings.max_body.0 > 0),
            Err(error) => assert!(error.faults.iter().all(|fault| !fault.message.is_empty())),
        }
        let _ = parse_operators(&String::from_utf8_lossy(&draw_bytes(&mut random)));
    }
}
