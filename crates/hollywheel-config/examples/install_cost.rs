//! Prints the cost of installing a version on a host by number of objects, and the rate at which a
//! fleet reads the table service by number of hosts.
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
use simulation::{SimulatedFleet, set_with};

const WORKSPACE_COUNTS: [usize; 5] = [100, 600, 1200, 2400, 4800];
const HOST_COUNTS: [usize; 5] = [9, 24, 60, 130, 390];
const CHANGES: u64 = 20;
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Gives a batch to a machine as the reply of a peer and returns the time that installing it took.
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
    let elapsed = start.elapsed();
    let installed = outputs
        .iter()
        .any(|output| matches!(output, InstallOutput::Install(_)));
    assert!(installed, "{outputs:?}");
    elapsed
}

fn print_install_costs() {
    println!("workspaces | snapshot B | install ms | change B | install ms | resident KiB");
    for workspaces in WORKSPACE_COUNTS {
        let before = resident_bytes();
        let mut machine = InstallMachine::new(InstallSettings::default());
        let set = set_with(1, workspaces);
        let published = PublishedSet {
            version: ConfigVersion(1),
            publish_id: PublishId(1),
            set: set.clone(),
        };
        let bytes = serde_json::to_vec(&published).unwrap().len();
        let batch = ChangeBatch {
            digest: SetDigest::of(&set),
            snapshot: Some(published.into()),
            changes: Vec::new(),
        };
        let snapshot_time = install(&mut machine, batch, 1);
        let memory_kib = resident_bytes().saturating_sub(before) / 1024;
        let (mut change_time, mut change_bytes) = (Duration::ZERO, 0);
        let mut old = set;
        for version in 1..=CHANGES {
            let mut new = old.clone();
            new.workspaces[0].share = u32::try_from(version).unwrap() + 1;
            let change = ConfigChange {
                base: ConfigVersion(version),
                version: ConfigVersion(version + 1),
                publish_id: PublishId(u128::from(version)),
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
            change_time += install(&mut machine, batch, version + 1);
            old = new;
        }
        println!(
            "{workspaces} | {bytes} | {:.2} | {change_bytes} | {:.2} | {memory_kib}",
            snapshot_time.as_secs_f64() * 1e3,
            change_time.as_secs_f64() * 1e3 / CHANGES as f64,
        );
    }
}

fn print_read_rates() {
    println!("hosts | reads/s idle | reads/s with a change every 28 s | snapshots sent");
    for hosts in HOST_COUNTS {
        let mut fleet = SimulatedFleet::new(hosts, 1);
        fleet.run(Duration::from_secs(60));
        // Returns the reads per second while a number of changes is published, or none at all.
        let rate = |fleet: &mut SimulatedFleet, changes: u64, first: u64| {
            let (reads_before, start) = (fleet.store.reads, fleet.now);
            for version in first..first + changes.max(1) {
                if changes > 0 {
                    fleet.publish(0, u128::from(version) + 1, version, 5 + version as u32);
                }
                fleet.run(Duration::from_secs(28 * if changes > 0 { 1 } else { 8 }));
            }
            (fleet.store.reads - reads_before) as f64 / fleet.now.since(start).as_secs_f64()
        };
        let idle = rate(&mut fleet, 0, 0);
        let busy = rate(&mut fleet, 8, 0);
        assert!(fleet.all_reached(8));
        println!("{hosts} | {idle:.1} | {busy:.1} | {}", fleet.snapshots_sent);
    }
}

fn main() {
    print_install_costs();
    print_read_rates();
}
