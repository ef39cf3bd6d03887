//! Probing, suspicion and periodic exchange of updates.

use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};
use rand::RngExt;

use crate::entry::MemberEntry;
use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberState, MemberUpdate};
use crate::probe::RunningProbe;

/// Number of hosts that are asked to probe a host that did not answer.
const INDIRECT_PROBE_HELPERS: usize = 3;

/// Number of hosts that each push of gossip goes to.
const GOSSIP_FANOUT: usize = 3;

/// Ratio of the time-out of an unconfirmed suspicion to that of a fully confirmed one.
const MAX_SUSPICION_FACTOR: f64 = 3.0;

impl MemberMachine {
    /// Runs all actions that are due.
    pub(crate) fn run_due(&mut self, now: MonoTime) {
        self.continue_probe(now);
        self.nack_relays(now);
        self.expire_suspicions(now);
        if self.schedule.probe_at <= now {
            self.start_probe(now);
        }
        if self.schedule.take_join(now) {
            self.join_listed();
        }
        if self.schedule.take_dead_probe(now) {
            self.table.expire(now);
            self.leaving_servers.expire(now);
            self.probe_dead();
        }
        if self.schedule.take_sync(now) {
            self.sync_neighbour();
        }
        if self.schedule.take_push(now) {
            self.push_gossip();
        }
    }

    fn start_probe(&mut self, now: MonoTime) {
        let interval = self.health.scale(self.settings.probe_interval);
        self.schedule.probe_at = now + interval;
        let Some(target) = self.choose_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.probe = Some(RunningProbe {
            sequence,
            target: target.clone(),
            indirect_at: Some(now + self.health.scale(self.settings.probe_timeout)),
            fails_at: now + interval,
            helpers: 0,
            nacks: 0,
        });
        self.ping(&target, sequence);
    }

    /// Chooses a suspect that the local host has not confirmed yet, or the next neighbour in turn.
    fn choose_target(&mut self) -> Option<HostId> {
        let own = &self.settings.host;
        let unconfirmed = self.neighbours.probe_targets.iter().find(|host| {
            let suspicion = self.table.get(host).and_then(|e| e.suspicion.as_ref());
            suspicion.is_some_and(|s| s.accepts_confirmation(own))
        });
        if let Some(host) = unconfirmed {
            return Some(host.clone());
        }
        let count = self.neighbours.probe_targets.len();
        if count == 0 {
            return None;
        }
        self.next_target_index = (self.next_target_index + 1) % count;
        Some(self.neighbours.probe_targets[self.next_target_index].clone())
    }

    pub(crate) fn ping(&mut self, target: &HostId, sequence: u64) {
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let to = entry.record.address;
        let news = self.collect_updates(suspicion_updates(entry));
        let from = self.settings.host.clone();
        self.send(
            to,
            MemberMessage::Ping {
                sequence,
                from,
                news,
            },
        );
    }

    fn continue_probe(&mut self, now: MonoTime) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        if now >= probe.fails_at {
            self.probe = None;
            self.fail_probe(now, &probe);
            return;
        }
        if probe.indirect_at.is_some_and(|at| at <= now) {
            self.request_indirect_probes(probe);
        }
    }

    fn request_indirect_probes(&mut self, mut probe: RunningProbe) {
        probe.indirect_at = None;
        let target_address = self.address_of(&probe.target);
        for helper in self.choose_neighbours(INDIRECT_PROBE_HELPERS, Some(&probe.target)) {
            let (Some(to), Some(target_address)) = (self.address_of(&helper), target_address)
            else {
                continue;
            };
            let news = self.collect_updates(Vec::new());
            probe.helpers += 1;
            self.send(
                to,
                MemberMessage::PingRequest {
                    sequence: probe.sequence,
                    from: self.settings.host.clone(),
                    target: probe.target.clone(),
                    target_address,
                    news,
                },
            );
        }
        self.probe = Some(probe);
    }

    fn fail_probe(&mut self, now: MonoTime, probe: &RunningProbe) {
        // If most helpers are silent as well, the local host is probably at fault.
        if probe.helpers > probe.nacks * 2 {
            self.health.worsen(1);
        }
        let by = self.settings.host.clone();
        let Some(entry) = self.table.get_mut(&probe.target) else {
            return;
        };
        let (incarnation, refutation) = (entry.record.incarnation, entry.record.refutation);
        if !entry.suspect(now, incarnation, refutation, &by) {
            return;
        }
        self.rings_changed = true;
        let host = probe.target.clone();
        self.enqueue_update(
            now,
            MemberUpdate::Suspected {
                host,
                incarnation,
                refutation,
                by,
            },
        );
    }

    fn nack_relays(&mut self, now: MonoTime) {
        while let Some(relay) = self.relays.take_due(now) {
            let from = self.settings.host.clone();
            self.send(
                relay.requester,
                MemberMessage::Nack {
                    sequence: relay.requester_sequence,
                    from,
                },
            );
        }
    }

    /// Returns the time-out of a suspicion; it shrinks logarithmically as more hosts confirm the
    /// suspicion.
    fn suspicion_timeout(&self, confirmations: usize) -> Duration {
        let needed = self.neighbours.probe_targets.len().saturating_sub(1).min(3);
        let least = self.settings.suspect_timeout.as_secs_f64();
        let most = least * MAX_SUSPICION_FACTOR;
        if needed == 0 {
            return self.health.scale(Duration::from_secs_f64(least));
        }
        let others = confirmations.saturating_sub(1) as f64;
        let share = (others + 1.0).ln() / (needed as f64 + 1.0).ln();
        let timeout = (most - (most - least) * share).max(least);
        self.health.scale(Duration::from_secs_f64(timeout))
    }

    fn suspicion_deadline(&self, entry: &MemberEntry) -> Option<MonoTime> {
        let suspicion = entry.suspicion.as_ref()?;
        Some(suspicion.since + self.suspicion_timeout(suspicion.confirmed_by.len()))
    }

    pub(crate) fn next_suspicion_deadline(&self) -> Option<MonoTime> {
        self.table
            .iter()
            .filter_map(|e| self.suspicion_deadline(e))
            .min()
    }

    fn expire_suspicions(&mut self, now: MonoTime) {
        let due: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| self.suspicion_deadline(entry).is_some_and(|at| at <= now))
            .map(|entry| entry.record.host.clone())
            .collect();
        for host in due {
            let Some(entry) = self.table.get_mut(&host) else {
                continue;
            };
            entry.mark_dead(now);
            let update = MemberUpdate::Host(entry.record.clone());
            self.hosts_changed = true;
            self.enqueue_update(now, update);
        }
    }

    fn join_listed(&mut self) {
        let unjoined: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| entry.listed && !entry.is_running())
            .map(|entry| entry.record.host.clone())
            .collect();
        let Some(host) = self.choose_host(&unjoined) else {
            return;
        };
        if let Some(to) = self.address_of(&host) {
            let record = self.local_record().clone();
            self.send(to, MemberMessage::Join { record });
        }
    }

    fn probe_dead(&mut self) {
        let dead: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| entry.record.state == MemberState::Dead && !entry.leaving_announced)
            .map(|entry| entry.record.host.clone())
            .collect();
        if let Some(host) = self.choose_host(&dead) {
            let sequence = self.next_sequence();
            self.ping(&host, sequence);
        }
    }

    fn sync_neighbour(&mut self) {
        let chosen = self.choose_neighbours(1, None);
        let Some(to) = chosen.first().and_then(|host| self.address_of(host)) else {
            return;
        };
        self.send_digest(to, true);
    }

    fn push_gossip(&mut self) {
        for host in self.choose_neighbours(GOSSIP_FANOUT, None) {
            let Some(to) = self.address_of(&host) else {
                continue;
            };
            let news = self.collect_updates(Vec::new());
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }

    fn choose_host(&mut self, hosts: &[HostId]) -> Option<HostId> {
        if hosts.is_empty() {
            return None;
        }
        Some(hosts[self.random.random_range(0..hosts.len())].clone())
    }

    fn choose_neighbours(&mut self, count: usize, except: Option<&HostId>) -> Vec<HostId> {
        let mut hosts = self.neighbours.peers.clone();
        hosts.retain(|host| Some(host) != except);
        while hosts.len() > count {
            let index = self.random.random_range(0..hosts.len());
            hosts.swap_remove(index);
        }
        hosts
    }
}

/// Returns the update that tells a host that it is suspected, leaving or dead, so that it can
/// refute it.
pub(crate) fn suspicion_updates(entry: &MemberEntry) -> Vec<MemberUpdate> {
    let suspected = entry.suspicion.is_some()
        || entry.leaving_announced
        || !matches!(entry.record.state, MemberState::Alive);
    if suspected && entry.has_incarnation() {
        let mut record = entry.record.clone();
        if entry.suspicion.is_some() && record.state == MemberState::Leaving {
            record.state = MemberState::Suspect;
        }
        return vec![MemberUpdate::Host(record)];
    }
    Vec::new()
}
