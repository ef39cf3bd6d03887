//! Measures the traffic, CPU time and memory that membership costs each host, by number of hosts.
//!
//! `cargo run --release -p hollywheel-wire --example membership_cost`

#[path = "../../hollywheel-membership/tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::Fleet;
use hollywheel_membership::MemberInput;
use hollywheel_types::{ConfigVersion, Incarnation};
use hollywheel_wire::encode_member;

const HOST_COUNTS: [usize; 6] = [8, 24, 60, 120, 240, 390];
const WARM_UP: Duration = Duration::from_secs(300);
const MEASURE_DURATION: Duration = Duration::from_secs(300);
/// The interval that gives 3,100 configuration changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(28);
const PAGE_BYTES: usize = 4096;

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

struct Cost {
    messages: f64,
    bytes: f64,
    cpu: f64,
}

fn measure_cost(fleet: &mut Fleet, action: impl Fn(&mut Fleet, u64)) -> Cost {
    let hosts = fleet.machines.len() as f64;
    let (messages, bytes) = (fleet.messages, fleet.bytes);
    let start = Instant::now();
    let rounds = MEASURE_DURATION.as_secs() / CHANGE_INTERVAL.as_secs();
    for round in 0..rounds {
        action(fleet, round);
        fleet.run(CHANGE_INTERVAL);
    }
    let span = (CHANGE_INTERVAL * u32::try_from(rounds).unwrap()).as_secs_f64();
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
    for hosts in HOST_COUNTS {
        let before = resident_bytes();
        let mut fleet = Fleet::new(hosts, 1);
        fleet.message_size = |message| encode_member(message).len();
        fleet.run(WARM_UP);
        assert!(fleet.all_count_alive(hosts));
        let memory = resident_bytes().saturating_sub(before) / hosts / 1024;
        let idle = measure_cost(&mut fleet, |_, _| {});
        fleet.install_fetched = true;
        let changes = measure_cost(&mut fleet, |fleet, round| {
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
        let restarts = measure_cost(&mut fleet, |fleet, round| {
            let at = usize::try_from(round).unwrap() % fleet.machines.len();
            fleet.stop(at);
            fleet.start(at, round + 2);
            let host_list = fleet.host_list();
            fleet.input(at, MemberInput::HostList(host_list));
        });
        println!(
            "{hosts} | {:.2} {:.0} | {:.2} {:.0} | {:.2} {:.0} | {:.0} | {memory}",
            idle.messages,
            idle.bytes,
            changes.messages,
            changes.bytes,
            restarts.messages,
            restarts.bytes,
            idle.cpu.max(changes.cpu).max(restarts.cpu) * 1e6,
        );
    }
}
