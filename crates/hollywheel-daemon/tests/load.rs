//! Tests of the collection of load reports.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use support::{TestHost, objects, wait_for};

const SERVERS: u32 = 60;
const POLLS_A_SECOND: f64 = 3.0;

/// Answers every call with 404 and counts the polls.
fn start_counter() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let polls = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&polls);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 1024];
            let length = stream.read(&mut head).unwrap_or(0);
            if head[..length].starts_with(b"GET /v1/load") {
                counter.fetch_add(1, Ordering::SeqCst);
            }
            let answer = b"HTTP/1.1 404 x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            let _ = stream.write_all(answer);
        }
    });
    (address, polls)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn polls_of_many_servers_stay_within_the_rate() {
    let host = TestHost::start().await;
    let (address, polls) = start_counter();
    let [engine, encoder, service] =
        [&host.engine, &host.encoder, &host.service].map(|standin| standin.address());
    let mut text = objects(engine, encoder, service);
    for pool in 0..3 {
        let servers: Vec<String> = (0..SERVERS / 3)
            .map(|at| {
                format!("{{ name = \"s-{pool}-{at}\", address = \"{address}\", domain = \"d\" }}")
            })
            .collect();
        text += &format!(
            "[[pool]]\nname = \"many-{pool}\"\nkind = \"service\"\nslots = 1\nservers = [{}]\n",
            servers.join(",\n")
        );
    }
    let begin = Instant::now();
    assert_eq!(host.publish(1, &text).await.status, 200);
    wait_for("two seconds of polls", async || {
        begin.elapsed().as_secs() >= 2
    })
    .await;
    let count = f64::from(polls.load(Ordering::SeqCst));
    // The test polls in rounds of 200 ms, each with at least one poll.
    let rate = POLLS_A_SECOND.max(5.0);
    let allowed = rate * (begin.elapsed().as_secs_f64() + 1.0);
    assert!(count >= 1.0, "no poll at all");
    assert!(count <= allowed, "{count} polls, {allowed} allowed");
    assert!(host.stop().await);
}
