//! Probing, suspicion and the regular exchange of news.

use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};
use rand::RngExt;

use crate::entry::MemberEntry;
use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberState, MemberUpdate};
use crate::probe::RunningProbe;

/// The number of hosts that are asked to probe a host that did not answer.
const HELPERS: usize = 3;

/// The number of hosts that news is pushed to.
const PUSH_FANOUT: usize = 3;

/// The suspicion of a single host lasts so many times longer than that of several.
const LONE_FACTOR: f64 = 3.0;

impl MemberMachine {
    /// Does everything that is due.
    pub(crate) fn run_due(&mut self, now: MonoTime) {
        self.continue_probe(now);
        self.nack_relays(now);
        self.bury_suspects(now);
        if self.schedule.probe_at <= now {
            self.begin_probe(now);
        }
        if self.schedule.take_join(now) {
            self.join_listed();
        }
        if self.schedule.take_revive(now) {
            self.table.expire(now);
            self.servers.expire(now);
            self.probe_dead();
        }
        if self.schedule.take_sync(now) {
            self.sync_neighbour();
        }
        if self.schedule.take_push(now) {
            self.push_news();
        }
    }

    fn begin_probe(&mut self, now: MonoTime) {
        let interval = self.doubt.stretch(self.settings.probe_interval);
        self.schedule.probe_at = now + interval;
        let Some(target) = self.choose_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.probe = Some(RunningProbe {
            sequence,
            target: target.clone(),
            indirect_at: Some(now + self.doubt.stretch(self.settings.probe_timeout)),
            fails_at: now + interval,
            helpers: 0,
            nacks: 0,
        });
        self.ping(&target, sequence);
    }

    /// Chooses a suspect that this host has not probed since, or the next neighbour in turn.
    fn choose_target(&mut self) -> Option<HostId> {
        let own = &self.settings.host;
        let unconfirmed = self.neighbours.next.iter().find(|host| {
            let suspicion = self.table.get(host).and_then(|e| e.suspicion.as_ref());
            suspicion.is_some_and(|s| s.wants(own))
        });
        if let Some(host) = unconfirmed {
            return Some(host.clone());
        }
        let count = self.neighbours.next.len();
        if count == 0 {
            return None;
        }
        self.next_target = (self.next_target + 1) % count;
        Some(self.neighbours.next[self.next_target].clone())
    }

    pub(crate) fn ping(&mut self, target: &HostId, sequence: u64) {
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let to = entry.record.address;
        let news = self.fill_news(doubts_about(entry));
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
            self.ask_helpers(probe);
        }
    }

    fn ask_helpers(&mut self, mut probe: RunningProbe) {
        probe.indirect_at = None;
        let target_address = self.address_of(&probe.target);
        for helper in self.choose_neighbours(HELPERS, Some(&probe.target)) {
            let (Some(to), Some(target_address)) = (self.address_of(&helper), target_address)
            else {
                continue;
            };
            let news = self.fill_news(Vec::new());
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
        // Helpers that are silent too make it likely that this host is at fault.
        if probe.helpers > probe.nacks * 2 {
            self.doubt.raise(1);
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
        self.spread(
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
                relay.asker,
                MemberMessage::Nack {
                    sequence: relay.asker_sequence,
                    from,
                },
            );
        }
    }

    /// Returns how long a suspicion lasts: the shorter, the more hosts confirm it.
    fn suspicion_span(&self, confirmations: usize) -> Duration {
        let needed = self.neighbours.next.len().saturating_sub(1).min(3);
        let least = self.settings.suspect_timeout.as_secs_f64();
        let most = least * LONE_FACTOR;
        if needed == 0 {
            return self.doubt.stretch(Duration::from_secs_f64(least));
        }
        let others = confirmations.saturating_sub(1) as f64;
        let share = (others + 1.0).ln() / (needed as f64 + 1.0).ln();
        let span = (most - (most - least) * share).max(least);
        self.doubt.stretch(Duration::from_secs_f64(span))
    }

    fn burial_of(&self, entry: &MemberEntry) -> Option<MonoTime> {
        let suspicion = entry.suspicion.as_ref()?;
        Some(suspicion.since + self.suspicion_span(suspicion.by.len()))
    }

    pub(crate) fn next_burial(&self) -> Option<MonoTime> {
        self.table.iter().filter_map(|e| self.burial_of(e)).min()
    }

    fn bury_suspects(&mut self, now: MonoTime) {
        let due: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| self.burial_of(entry).is_some_and(|at| at <= now))
            .map(|entry| entry.record.host.clone())
            .collect();
        for host in due {
            let Some(entry) = self.table.get_mut(&host) else {
                continue;
            };
            entry.bury(now);
            let news = MemberUpdate::Host(entry.record.clone());
            self.view_changed = true;
            self.spread(now, news);
        }
    }

    fn join_listed(&mut self) {
        let waiting: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| entry.listed && !entry.is_running())
            .map(|entry| entry.record.host.clone())
            .collect();
        let Some(host) = self.choose(&waiting) else {
            return;
        };
        if let Some(to) = self.address_of(&host) {
            let record = self.own().clone();
            self.send(to, MemberMessage::Join { record });
        }
    }

    fn probe_dead(&mut self) {
        let dead: Vec<HostId> = self
            .table
            .iter()
            .filter(|entry| entry.record.state == MemberState::Dead && !entry.left)
            .map(|entry| entry.record.host.clone())
            .collect();
        if let Some(host) = self.choose(&dead) {
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

    fn push_news(&mut self) {
        for host in self.choose_neighbours(PUSH_FANOUT, None) {
            let Some(to) = self.address_of(&host) else {
                continue;
            };
            let news = self.fill_news(Vec::new());
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }

    fn choose(&mut self, hosts: &[HostId]) -> Option<HostId> {
        if hosts.is_empty() {
            return None;
        }
        Some(hosts[self.random.random_range(0..hosts.len())].clone())
    }

    fn choose_neighbours(&mut self, count: usize, except: Option<&HostId>) -> Vec<HostId> {
        let mut hosts = self.neighbours.all.clone();
        hosts.retain(|host| Some(host) != except);
        while hosts.len() > count {
            let at = self.random.random_range(0..hosts.len());
            hosts.swap_remove(at);
        }
        hosts
    }
}

/// Returns what a host must hear about itself so that it can refute it.
pub(crate) fn doubts_about(entry: &MemberEntry) -> Vec<MemberUpdate> {
    let doubted = entry.suspicion.is_some()
        || entry.left
        || !matches!(entry.record.state, MemberState::Alive);
    if doubted && entry.is_heard() {
        let mut record = entry.record.clone();
        if entry.suspicion.is_some() && record.state == MemberState::Leaving {
            record.state = MemberState::Suspect;
        }
        return vec![MemberUpdate::Host(record)];
    }
    Vec::new()
}
