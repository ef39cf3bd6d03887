//! Random faults from a seed, in series and overlapping.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::process::ProcessEnd;
use super::proxy::LinkMode;
use super::system::SoakSystem;

/// Duration of the fault injection.
const FAULT_TIME: Duration = Duration::from_secs(7);

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SoakFault {
    PauseHost(usize),
    KillHost(usize),
    StopHost(usize),
    ReloadHost(usize),
    StoreLink(usize, LinkMode),
    StoreDown,
    ServerLink(usize, LinkMode),
    ServerLeaves(usize),
    NewVersion,
    /// The store is unavailable and is then restored from a copy that is some seconds old.
    StoreDrill,
    /// The server names a limit on its requests.
    ServerLimit(usize),
}

/// First seed with restores of the store. Earlier seeds keep their faults, so that those in
/// `soak/seeds.txt` still reproduce their failures.
const FIRST_RESTORE_SEED: u64 = 200;
/// First seed with servers that name limits.
pub const FIRST_LIMIT_SEED: u64 = 300;
/// Limit that servers name, in requests per second.
pub const SERVER_LIMIT: f64 = 2.0;
/// Number of faults between two copies of the store.
const COPY_FAULTS: usize = 5;

fn draw_mode(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delay,
        1 => LinkMode::OneWay,
        2 => LinkMode::Silent,
        _ => LinkMode::Reset,
    }
}

fn draw_fault(random: &mut StdRng, hosts: usize, servers: usize, seed: u64) -> SoakFault {
    let kinds = match seed {
        0..FIRST_RESTORE_SEED => 12,
        FIRST_RESTORE_SEED..FIRST_LIMIT_SEED => 15,
        FIRST_LIMIT_SEED.. => 19,
    };
    let host = random.random_range(0..hosts);
    let server = random.random_range(0..servers);
    match random.random_range(0..kinds) {
        0 | 1 => SoakFault::PauseHost(host),
        2 => SoakFault::KillHost(host),
        3 | 4 => SoakFault::StopHost(host),
        5 => SoakFault::ReloadHost(host),
        6 => SoakFault::StoreLink(host, draw_mode(random)),
        7 => SoakFault::StoreDown,
        8 | 9 => SoakFault::ServerLink(server, draw_mode(random)),
        10 => SoakFault::ServerLeaves(server),
        11 => SoakFault::NewVersion,
        12..15 => SoakFault::StoreDrill,
        _ => SoakFault::ServerLimit(server),
    }
}

fn begin(system: &mut SoakSystem, fault: SoakFault) {
    match fault {
        SoakFault::PauseHost(host) => system.hosts[host].signal(Signal::SIGSTOP),
        SoakFault::KillHost(host) => system.hosts[host].signal(Signal::SIGKILL),
        SoakFault::StopHost(host) => system.hosts[host].signal(Signal::SIGTERM),
        SoakFault::ReloadHost(host) => {
            system.hosts[host].write_settings("changed");
            system.hosts[host].signal(Signal::SIGHUP);
        }
        SoakFault::StoreLink(host, mode) => system.hosts[host].store.set_mode(mode),
        SoakFault::StoreDown | SoakFault::StoreDrill => system.store.set_down(true),
        SoakFault::ServerLink(server, mode) => system.servers[server].link.set_mode(mode),
        SoakFault::ServerLeaves(server) => system.announce(server, "draining"),
        SoakFault::NewVersion => system.publish("k1"),
        SoakFault::ServerLimit(server) => system.set_limit(server, Some(SERVER_LIMIT)),
    }
}

fn end(system: &mut SoakSystem, fault: SoakFault) {
    match fault {
        SoakFault::PauseHost(host) => system.hosts[host].signal(Signal::SIGCONT),
        SoakFault::StoreLink(host, _) => system.hosts[host].store.set_mode(LinkMode::Pass),
        SoakFault::StoreDown => system.store.set_down(false),
        SoakFault::StoreDrill => {
            system.store.restore_backup();
            system.store.set_down(false);
            system.write_again();
        }
        SoakFault::ServerLink(server, _) => system.servers[server].link.set_mode(LinkMode::Pass),
        SoakFault::ServerLeaves(server) => system.announce(server, "ready"),
        SoakFault::ServerLimit(server) => system.set_limit(server, None),
        SoakFault::KillHost(_)
        | SoakFault::StopHost(_)
        | SoakFault::ReloadHost(_)
        | SoakFault::NewVersion => {}
    }
}

/// Restarts hosts that have exited; returns those that exited by themselves.
fn restart_ended(system: &mut SoakSystem, ordered: &[SoakFault]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, host) in system.hosts.iter_mut().enumerate() {
        let end = host.end();
        let was_ordered = ordered.iter().any(|fault| {
            matches!(fault, SoakFault::KillHost(host) | SoakFault::StopHost(host) if *host == index)
        });
        match end {
            ProcessEnd::Running => continue,
            ProcessEnd::Exit(0) | ProcessEnd::Killed if was_ordered => {}
            _ => found.push(format!("{} ended by itself: {end:?}", host.name)),
        }
        host.run();
    }
    found
}

/// Injects faults into the system for a time and then clears all of them.
pub async fn bring_faults(system: &mut SoakSystem, seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let random = &mut random;
    let until = Instant::now() + FAULT_TIME;
    let mut running: Vec<(Instant, SoakFault)> = Vec::new();
    let mut begun = Vec::new();
    let mut found = Vec::new();
    while Instant::now() < until {
        if begun.len() % COPY_FAULTS == 0 {
            system.store.take_backup();
        }
        let (hosts, servers) = (system.hosts.len(), system.servers.len());
        let fault = draw_fault(random, hosts, servers, seed);
        println!("  {fault:?}");
        begin(system, fault);
        let length = Duration::from_millis(random.random_range(200..2500));
        running.push((Instant::now() + length, fault));
        begun.push(fault);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..600))).await;
        for (_, fault) in running.extract_if(.., |(at, _)| *at <= Instant::now()) {
            end(system, fault);
        }
        found.extend(restart_ended(system, &begun));
    }
    for (_, fault) in running {
        end(system, fault);
    }
    found
}
