//! Measures the traffic, memory and connection set-up time of the transport on the loopback address.
//!
//! `cargo run --release -p hollywheel-transport --example transport_cost`

#[path = "../tests/keys/mod.rs"]
mod keys;

use std::time::{Duration, Instant};

use hollywheel_membership::MemberMessage;
use hollywheel_transport::{HostRequest, HostTransport};
use hollywheel_wire::encode_member;
use keys::Authority;

const MESSAGE_COUNTS: [u32; 5] = [1, 50, 100, 200, 400];
const SEND_INTERVAL: Duration = Duration::from_millis(40);
const CONNECTION_COUNTS: [usize; 5] = [1, 4, 8, 16, 32];
const PAGE_BYTES: usize = 4096;

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn nack() -> MemberMessage {
    MemberMessage::Nack {
        sequence: 1,
        from: "medeu-1".parse().unwrap(),
    }
}

/// Exchanges messages between two hosts and prints the UDP payload that one sent and received.
async fn measure_traffic(authority: &Authority, count: u32) {
    let (one, mut one_requests) = HostTransport::bind(authority.settings("medeu-1")).unwrap();
    let (two, mut two_requests) = HostTransport::bind(authority.settings("alatau-2")).unwrap();
    let echo = two.clone();
    tokio::spawn(async move {
        while let Some(HostRequest::Member { from, .. }) = two_requests.recv().await {
            echo.send(from, &nack());
        }
    });
    for _ in 0..count {
        one.send(two.local_address(), &nack());
        one_requests.recv().await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    one.close().await;
    while one.traffic().sent == 0 {
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let traffic = one.traffic();
    println!("{count} | {} | {}", traffic.sent, traffic.received);
}

async fn measure_memory(authority: &Authority, peers: usize) {
    let (one, mut one_requests) = HostTransport::bind(authority.settings("medeu-1")).unwrap();
    let mut others = Vec::new();
    for at in 0..peers {
        others.push(HostTransport::bind(authority.settings(&format!("alatau-{at}"))).unwrap());
    }
    let before = resident_bytes();
    let start = Instant::now();
    for (other, _) in &others {
        other.send(one.local_address(), &nack());
    }
    for _ in 0..peers {
        one_requests.recv().await;
    }
    let took = start.elapsed().as_secs_f64() * 1e3;
    let grown = resident_bytes().saturating_sub(before) / 1024;
    println!("{peers} | {grown} (both ends) | {took:.1}");
}

#[tokio::main]
async fn main() {
    println!("a message has {} bytes", encode_member(&nack()).len());
    println!("messages each way | UDP bytes sent | received");
    let authority = Authority::new();
    for count in MESSAGE_COUNTS {
        measure_traffic(&authority, count).await;
    }
    println!("connections | KiB | ms until all are made");
    for peers in CONNECTION_COUNTS {
        measure_memory(&authority, peers).await;
    }
}
