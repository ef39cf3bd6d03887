//! The platform's host list, and the comparison of full state between two hosts.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, Incarnation, MonoTime};

use crate::gossip::update_bytes;
use crate::machine::MemberMachine;
use crate::message::{ListedHost, MemberMessage, MemberRecord, MemberState, MemberUpdate};
use crate::updates::RecordSource;

/// How far the host list may lag behind the start of a process.
const MAX_HOST_LIST_LAG: Duration = Duration::from_secs(120);

/// Maximum size of the records or updates on one message of a full state in bytes.
const MAX_STATE_BYTES: usize = 1000;

impl MemberMachine {
    pub(crate) fn apply_host_list(&mut self, now: MonoTime, hosts: Vec<ListedHost>) {
        for entry in self.table.iter_mut() {
            entry.listed = false;
        }
        for listed in hosts {
            if listed.host == self.settings.host {
                if listed.leaving && now.since(self.schedule.started_at()) >= MAX_HOST_LIST_LAG {
                    self.mark_self_leaving(now);
                }
                continue;
            }
            self.apply_listed_host(now, listed);
        }
    }

    fn apply_listed_host(&mut self, now: MonoTime, listed: ListedHost) {
        let leaving = listed.leaving;
        let host = listed.host.clone();
        if self.table.get(&host).is_none() {
            self.table.merge(now, record_from_list(listed));
        }
        let Some(entry) = self.table.get_mut(&host) else {
            return;
        };
        entry.listed = !leaving;
        // Soon after a start the list may still describe the previous process of the host.
        let about_this_process =
            entry.has_incarnation() && now.since(entry.first_seen) >= MAX_HOST_LIST_LAG;
        if leaving && about_this_process && entry.is_running() && !entry.leaving_announced {
            let mut record = entry.record.clone();
            record.state = MemberState::Leaving;
            self.apply_record(now, record, RecordSource::Gossip);
        }
    }

    pub(crate) fn send_digest(&mut self, to: SocketAddr, answer: bool) {
        let digest = self.table.digest() ^ self.leaving_servers.digest();
        let from = self.settings.host.clone();
        self.send(
            to,
            MemberMessage::Sync {
                from,
                digest,
                answer,
            },
        );
    }

    pub(crate) fn compare_digest(&mut self, to: SocketAddr, digest: u64, answer: bool) {
        if digest == self.table.digest() ^ self.leaving_servers.digest() {
            return;
        }
        self.send_state(to);
        if answer {
            self.send_digest(to, false);
        }
    }

    /// Merges part of another host's state and sends back corrections for hosts that are leaving or
    /// dead according to newer local entries.
    pub(crate) fn apply_state_records(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        records: Vec<MemberRecord>,
        source: RecordSource,
    ) {
        let mut corrections = Vec::new();
        for record in records {
            let host = record.host.clone();
            if !self.apply_record(now, record, source) {
                continue;
            }
            let Some(entry) = self.table.get(&host) else {
                continue;
            };
            // Restarts and refutations reach the other host with the full state of the local host.
            if matches!(entry.record.state, MemberState::Dead | MemberState::Leaving) {
                corrections.push(MemberUpdate::Host(entry.record.clone()));
            }
        }
        for news in split_updates(corrections) {
            let host = self.settings.host.clone();
            self.send(from, MemberMessage::Gossip { from: host, news });
        }
    }

    /// Sends the records of all running hosts and the leaving servers, in messages of bounded size.
    pub(crate) fn send_state(&mut self, to: SocketAddr) {
        let hosts: Vec<MemberUpdate> = self
            .table
            .iter()
            .filter(|entry| entry.is_running())
            .map(|entry| MemberUpdate::Host(entry.record.clone()))
            .collect();
        let servers: Vec<MemberUpdate> = self
            .leaving_servers
            .iter()
            .map(|(server, incarnation)| MemberUpdate::ServerLeaving {
                server: server.clone(),
                incarnation,
            })
            .collect();
        for part in split_updates(hosts) {
            let records = part.into_iter().filter_map(into_record).collect();
            self.send(to, MemberMessage::State { records });
        }
        for news in split_updates(servers) {
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }
}

fn into_record(update: MemberUpdate) -> Option<MemberRecord> {
    match update {
        MemberUpdate::Host(record) => Some(record),
        _ => None,
    }
}

fn split_updates(updates: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut parts: Vec<Vec<MemberUpdate>> = Vec::new();
    let mut bytes = MAX_STATE_BYTES;
    for update in updates {
        let size = update_bytes(&update);
        if bytes + size > MAX_STATE_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(update);
        }
    }
    parts
}

fn record_from_list(listed: ListedHost) -> MemberRecord {
    MemberRecord {
        host: listed.host,
        incarnation: Incarnation(0),
        refutation: 0,
        domain: listed.domain,
        region: listed.region,
        address: listed.address,
        state: if listed.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        },
        config_version: ConfigVersion::default(),
    }
}
