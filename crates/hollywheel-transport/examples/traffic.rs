//! Prints what the transport adds to a message, on the loopback address.
//!
//! `cargo run --release -p hollywheel-transport --example traffic`

#[path = "../tests/keys/mod.rs"]
mod keys;

use std::time::{Duration, Instant};

use hollywheel_membership::MemberMessage;
use hollywheel_transport::{HostRequest, HostTransport};
use hollywheel_wire::encode_member;
use keys::Authority;

const COUNTS: [u32; 5] = [1, 50, 100, 200, 400];
const INTERVAL: Duration = Duration::from_millis(40);
const PEERS: [usize; 5] = [1, 4, 8, 16, 32];
const PAGE: usize = 4096;

fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

fn nack() -> MemberMessage {
    MemberMessage::Nack {
        sequence: 1,
        from: "medeu-1".parse().unwrap(),
    }
}

/// Sends messages to and fro and prints the UDP payload that a host sent and received.
async fn messages(authority: &Authority, count: u32) {
    let (one, mut at_one) = HostTransport::bind(authority.settings("medeu-1")).unwrap();
    let (two, mut at_two) = HostTransport::bind(authority.settings("alatau-2")).unwrap();
    let echo = two.clone();
    tokio::spawn(async move {
        while let Some(HostRequest::Member { from, .. }) = at_two.recv().await {
            echo.send(from, &nack());
        }
    });
    for _ in 0..count {
        one.send(two.local_address(), &nack());
        at_one.recv().await;
        tokio::time::sleep(INTERVAL).await;
    }
    one.close().await;
    while one.traffic().sent == 0 {
        tokio::time::sleep(INTERVAL).await;
    }
    let traffic = one.traffic();
    println!("{count} | {} | {}", traffic.sent, traffic.received);
}

async fn memory(authority: &Authority, peers: usize) {
    let (one, mut at_one) = HostTransport::bind(authority.settings("medeu-1")).unwrap();
    let mut others = Vec::new();
    for at in 0..peers {
        others.push(HostTransport::bind(authority.settings(&format!("alatau-{at}"))).unwrap());
    }
    let before = resident();
    let start = Instant::now();
    for (other, _) in &others {
        other.send(one.local_address(), &nack());
    }
    for _ in 0..peers {
        at_one.recv().await;
    }
    let took = start.elapsed().as_secs_f64() * 1e3;
    let grown = resident().saturating_sub(before) / 1024;
    println!("{peers} | {grown} (both ends) | {took:.1}");
}

#[tokio::main]
async fn main() {
    println!("a message has {} bytes", encode_member(&nack()).len());
    println!("messages each way | UDP bytes sent | received");
    let authority = Authority::new();
    for count in COUNTS {
        messages(&authority, count).await;
    }
    println!("connections | KiB | ms until all are made");
    for peers in PEERS {
        memory(&authority, peers).await;
    }
}
