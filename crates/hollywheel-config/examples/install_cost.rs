//! Prints what installing a version costs a host, against the number of objects, and what the
//! fleet reads, against the number of hosts.
//!
//! `cargo run --release -p hollywheel-config --example install_cost`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::{Duration, Instant};

use hollywheel_config::{
    ChangeBatch, ConfigChange, InstallInput, InstallMachine, InstallOutput, InstallSettings,
    InstallTicket, PublishedSet, SetDiff, SetDigest,
};
use hollywheel_types::{ConfigVersion, MonoTime, PublishId, WallTime};
use simulation::{World, set_with};

const WORKSPACES: [usize; 5] = [100, 600, 1200, 2400, 4800];
const HOSTS: [usize; 5] = [9, 24, 60, 130, 390];
const ROUNDS: u64 = 20;
const PAGE: usize = 4096;

fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Hands a batch to a machine as the answer of a peer and returns the time that it took.
fn install(machine: &mut InstallMachine, batch: ChangeBatch, version: u64) -> Duration {
    let from = "127.0.0.1:1".parse().unwrap();
    let version = ConfigVersion(version);
    let outputs = machine.handle(MonoTime(0), InstallInput::PeerHas { from, version });
    let ticket = outputs.iter().find_map(|output| match output {
        InstallOutput::FetchPeer { ticket, .. } => Some(*ticket),
        _ => None,
    });
    let result = Some(batch);
    let ticket = ticket.unwrap_or(InstallTicket(0));
    let start = Instant::now();
    let outputs = machine.handle(MonoTime(0), InstallInput::PeerChanges { ticket, result });
    let took = start.elapsed();
    let installed = outputs
        .iter()
        .any(|o| matches!(o, InstallOutput::Install(_)));
    assert!(installed, "{outputs:?}");
    took
}

fn objects() {
    println!("workspaces | whole set B | install it ms | one change B | install it ms | KiB");
    for workspaces in WORKSPACES {
        let before = resident();
        let mut machine = InstallMachine::new(InstallSettings::default());
        let set = set_with(1, workspaces);
        let whole = PublishedSet {
            version: ConfigVersion(1),
            publish_id: PublishId(1),
            set: set.clone(),
        };
        let bytes = serde_json::to_vec(&whole).unwrap().len();
        let batch = ChangeBatch {
            digest: SetDigest::of(&set),
            snapshot: Some(whole.into()),
            changes: Vec::new(),
        };
        let first = install(&mut machine, batch, 1);
        let memory = resident().saturating_sub(before) / 1024;
        let (mut took, mut change_bytes) = (Duration::ZERO, 0);
        let mut old = set;
        for round in 1..=ROUNDS {
            let mut new = old.clone();
            new.workspaces[0].share = u32::try_from(round).unwrap() + 1;
            let change = ConfigChange {
                base: ConfigVersion(round),
                version: ConfigVersion(round + 1),
                publish_id: PublishId(u128::from(round)),
                operator: "operator".to_owned(),
                published_at: WallTime(1_733_270_000_000),
                diff: SetDiff::between(&old, &new),
            };
            change_bytes = serde_json::to_vec(&change).unwrap().len();
            let batch = ChangeBatch {
                snapshot: None,
                changes: vec![change],
                digest: SetDigest::of(&new),
            };
            took += install(&mut machine, batch, round + 1);
            old = new;
        }
        println!(
            "{workspaces} | {bytes} | {:.2} | {change_bytes} | {:.2} | {memory}",
            first.as_secs_f64() * 1e3,
            took.as_secs_f64() * 1e3 / ROUNDS as f64,
        );
    }
}

fn reads() {
    println!("hosts | reads/s at rest | reads/s with a change every 28 s | whole sets sent");
    for hosts in HOSTS {
        let mut world = World::new(hosts, 1);
        world.run(Duration::from_secs(60));
        let rate = |world: &mut World, changes: u64, first: u64| {
            let (reads, from) = (world.store.reads, world.now);
            for version in first..first + changes.max(1) {
                if changes > 0 {
                    world.publish(0, u128::from(version) + 1, version, 5 + version as u32);
                }
                world.run(Duration::from_secs(28 * if changes > 0 { 1 } else { 8 }));
            }
            (world.store.reads - reads) as f64 / world.now.since(from).as_secs_f64()
        };
        let rest = rate(&mut world, 0, 0);
        let busy = rate(&mut world, 8, 0);
        assert!(world.all_have(8));
        println!("{hosts} | {rest:.1} | {busy:.1} | {}", world.snapshots);
    }
}

fn main() {
    objects();
    reads();
}
