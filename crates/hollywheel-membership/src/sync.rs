//! The host list, and comparison of everything that two hosts know.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, Incarnation, MonoTime};

use crate::hear::NewsSource;
use crate::machine::MemberMachine;
use crate::message::{ListedHost, MemberMessage, MemberRecord, MemberState, MemberUpdate};
use crate::news::news_bytes;

/// The time by which the host list may lag behind the start of a process.
const LIST_LAG: Duration = Duration::from_secs(120);

/// The most bytes of records or news on one message of a whole state.
const STATE_BYTES: usize = 1000;

impl MemberMachine {
    pub(crate) fn take_list(&mut self, now: MonoTime, hosts: Vec<ListedHost>) {
        for entry in self.table.iter_mut() {
            entry.listed = false;
        }
        for listed in hosts {
            if listed.host == self.settings.host {
                if listed.leaving && now.since(self.schedule.started_at()) >= LIST_LAG {
                    self.adopt_leaving(now);
                }
                continue;
            }
            self.take_listed(now, listed);
        }
    }

    fn take_listed(&mut self, now: MonoTime, listed: ListedHost) {
        let leaving = listed.leaving;
        let host = listed.host.clone();
        if self.table.get(&host).is_none() {
            self.table.merge(now, unheard_record(listed));
        }
        let Some(entry) = self.table.get_mut(&host) else {
            return;
        };
        entry.listed = !leaving;
        // The list may still speak of the process before this one.
        let about_this = entry.is_heard() && now.since(entry.first_heard) >= LIST_LAG;
        if leaving && about_this && entry.is_running() && !entry.left {
            let mut record = entry.record.clone();
            record.state = MemberState::Leaving;
            self.take_record(now, record, NewsSource::Rumour);
        }
    }

    pub(crate) fn send_digest(&mut self, to: SocketAddr, answer: bool) {
        let digest = self.table.digest() ^ self.servers.digest();
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

    pub(crate) fn compare(&mut self, to: SocketAddr, digest: u64, answer: bool) {
        if digest == self.table.digest() ^ self.servers.digest() {
            return;
        }
        self.send_state(to);
        if answer {
            self.send_digest(to, false);
        }
    }

    /// Takes a part of the state of another host and tells it what is known better here.
    pub(crate) fn take_state(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        records: Vec<MemberRecord>,
        source: NewsSource,
    ) {
        let mut corrections = Vec::new();
        for record in records {
            let host = record.host.clone();
            if !self.take_record(now, record, source) {
                continue;
            }
            let Some(entry) = self.table.get(&host) else {
                continue;
            };
            // A restart or a refutation reaches the other host with the state of this one.
            if matches!(entry.record.state, MemberState::Dead | MemberState::Leaving) {
                corrections.push(MemberUpdate::Host(entry.record.clone()));
            }
        }
        for news in split_news(corrections) {
            let host = self.settings.host.clone();
            self.send(from, MemberMessage::Gossip { from: host, news });
        }
    }

    /// Sends every running host and leaving server, in messages of bounded size.
    pub(crate) fn send_state(&mut self, to: SocketAddr) {
        let hosts: Vec<MemberUpdate> = self
            .table
            .iter()
            .filter(|entry| entry.is_running())
            .map(|entry| MemberUpdate::Host(entry.record.clone()))
            .collect();
        let servers: Vec<MemberUpdate> = self
            .servers
            .iter()
            .map(|(server, incarnation)| MemberUpdate::ServerLeaving {
                server: server.clone(),
                incarnation,
            })
            .collect();
        for part in split_news(hosts) {
            let records = part.into_iter().filter_map(into_record).collect();
            self.send(to, MemberMessage::State { records });
        }
        for news in split_news(servers) {
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }
}

fn into_record(news: MemberUpdate) -> Option<MemberRecord> {
    match news {
        MemberUpdate::Host(record) => Some(record),
        _ => None,
    }
}

fn split_news(news: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut parts: Vec<Vec<MemberUpdate>> = Vec::new();
    let mut bytes = STATE_BYTES;
    for piece in news {
        let size = news_bytes(&piece);
        if bytes + size > STATE_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(piece);
        }
    }
    parts
}

fn unheard_record(listed: ListedHost) -> MemberRecord {
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
