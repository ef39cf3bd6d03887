//! Prints what membership costs a host, against the number of hosts.
//!
//! `cargo run --release -p hollywheel-wire --example membership_cost`

#[path = "../../hollywheel-membership/tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::Fleet;
use hollywheel_membership::MemberInput;
use hollywheel_types::{ConfigVersion, Incarnation};
use hollywheel_wire::encode_member;

const HOSTS: [usize; 6] = [8, 24, 60, 120, 240, 390];
const SETTLE: Duration = Duration::from_secs(300);
const MEASURE: Duration = Duration::from_secs(300);
/// 3,100 changes a day.
const CHANGE_EVERY: Duration = Duration::from_secs(28);
const PAGE: usize = 4096;

fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

struct Cost {
    messages: f64,
    bytes: f64,
    cpu: f64,
}

fn measure(fleet: &mut Fleet, act: impl Fn(&mut Fleet, u64)) -> Cost {
    let hosts = fleet.machines.len() as f64;
    let (messages, bytes) = (fleet.messages, fleet.bytes);
    let start = Instant::now();
    let rounds = MEASURE.as_secs() / CHANGE_EVERY.as_secs();
    for round in 0..rounds {
        act(fleet, round);
        fleet.run(CHANGE_EVERY);
    }
    let span = (CHANGE_EVERY * u32::try_from(rounds).unwrap()).as_secs_f64();
    Cost {
        messages: (fleet.messages - messages) as f64 / hosts / span,
        bytes: (fleet.bytes - bytes) as f64 / hosts / span,
        cpu: start.elapsed().as_secs_f64() / hosts / span,
    }
}

fn main() {
    println!("sent by one host; received is the same on average; without QUIC, UDP and IP");
    println!(
        "hosts | at rest msg/s B/s | 3,100 changes a day msg/s B/s | restart every 28 s msg/s B/s | CPU us/s | KiB a host"
    );
    for hosts in HOSTS {
        let before = resident();
        let mut fleet = Fleet::new(hosts, 1);
        fleet.message_size = |message| encode_member(message).len();
        fleet.run(SETTLE);
        assert!(fleet.all_count_alive(hosts));
        let memory = resident().saturating_sub(before) / hosts / 1024;
        let rest = measure(&mut fleet, |_, _| {});
        fleet.install_fetched = true;
        let changes = measure(&mut fleet, |fleet, round| {
            let version = ConfigVersion(round + 1);
            fleet.input(0, MemberInput::ConfigInForce(version));
            let server = format!("medeu-engine-{round}").parse().unwrap();
            let incarnation = Incarnation(1_733_270_000_000_000);
            fleet.input(
                1,
                MemberInput::ServerLeaving {
                    server,
                    incarnation,
                },
            );
        });
        let restarts = measure(&mut fleet, |fleet, round| {
            let at = usize::try_from(round).unwrap() % fleet.machines.len();
            fleet.stop(at);
            fleet.start(at, round + 2);
            let host_list = fleet.host_list();
            fleet.input(at, MemberInput::HostList(host_list));
        });
        println!(
            "{hosts} | {:.2} {:.0} | {:.2} {:.0} | {:.2} {:.0} | {:.0} | {memory}",
            rest.messages,
            rest.bytes,
            changes.messages,
            changes.bytes,
            restarts.messages,
            restarts.bytes,
            rest.cpu.max(changes.cpu).max(restarts.cpu) * 1e6,
        );
    }
}
