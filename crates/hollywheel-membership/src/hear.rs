//! What the machine does with news.

use std::net::SocketAddr;

use hollywheel_types::{ConfigVersion, HostId, Incarnation, MonoTime, ServerId};

use crate::entry::{MemberEntry, MergeEffect};
use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberOutput, MemberRecord, MemberState, MemberUpdate};

/// Says how a record was heard of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NewsSource {
    /// On a message, or from the host itself.
    Rumour,
    /// With the whole state of another host.
    State,
}

impl MemberMachine {
    pub(crate) fn take_news(&mut self, now: MonoTime, from: SocketAddr, news: Vec<MemberUpdate>) {
        for news in news {
            match news {
                MemberUpdate::Host(record) => {
                    self.take_record(now, record, NewsSource::Rumour);
                }
                MemberUpdate::ServerLeaving {
                    server,
                    incarnation,
                } => self.take_server_leaving(now, &server, incarnation),
                MemberUpdate::ConfigPublished(version) => self.hear_published(now, version),
                MemberUpdate::ConfigInForce(version) => self.hear_in_force(from, version),
                MemberUpdate::Suspected {
                    host,
                    incarnation,
                    refutation,
                    by,
                } => self.take_suspicion(now, &host, incarnation, refutation, &by),
            }
        }
    }

    /// Takes a record and says whether what is known here is newer.
    pub(crate) fn take_record(
        &mut self,
        now: MonoTime,
        record: MemberRecord,
        source: NewsSource,
    ) -> bool {
        if record.host == self.settings.host {
            self.take_own_record(now, &record);
            return false;
        }
        let host = record.host.clone();
        let before = self.table.get(&host).filter(|entry| entry.is_heard());
        let before = before.map(in_service);
        match self.table.merge(now, record) {
            MergeEffect::Nothing => return false,
            MergeEffect::Stale => return true,
            MergeEffect::Changed => {}
        }
        let Some(entry) = self.table.get(&host) else {
            return false;
        };
        let after = in_service(entry);
        let was_dead = before.is_some_and(|before| !before.0);
        self.revived |= was_dead && after.0;
        self.view_changed |= entry.first_heard == now || before != Some(after);
        self.rings_changed = true;
        // Whoever a new host joined has begun to spread it already.
        if source == NewsSource::Rumour || before.is_some() {
            let news = MemberUpdate::Host(entry.record.clone());
            self.spread(now, news);
        }
        false
    }

    fn take_own_record(&mut self, now: MonoTime, record: &MemberRecord) {
        let own = self.own().clone();
        if record.incarnation > own.incarnation {
            if !self.superseded {
                self.superseded = true;
                let by = record.incarnation;
                self.outputs.push(MemberOutput::Superseded { by });
            }
            return;
        }
        if record.incarnation < own.incarnation {
            self.spread(now, MemberUpdate::Host(own));
            return;
        }
        match record.state {
            MemberState::Leaving => self.adopt_leaving(now),
            MemberState::Suspect | MemberState::Dead => self.refute(now, record.refutation),
            MemberState::Alive => {}
        }
    }

    fn refute(&mut self, now: MonoTime, refutation: u64) {
        if refutation < self.own().refutation {
            return;
        }
        self.doubt.raise(1);
        let host = self.settings.host.clone();
        if let Some(entry) = self.table.get_mut(&host) {
            entry.record.refutation = refutation + 1;
        }
        let record = self.own().clone();
        self.spread(now, MemberUpdate::Host(record));
    }

    pub(crate) fn adopt_leaving(&mut self, now: MonoTime) {
        if self.own().state == MemberState::Leaving {
            return;
        }
        let mut record = self.own().clone();
        record.state = MemberState::Leaving;
        self.table.merge(now, record.clone());
        self.view_changed = true;
        self.spread(now, MemberUpdate::Host(record));
    }

    /// Announces that this host is leaving, to every neighbour at once.
    pub(crate) fn leave(&mut self, now: MonoTime) {
        self.adopt_leaving(now);
        for host in self.neighbours.all.clone() {
            let Some(to) = self.address_of(&host) else {
                continue;
            };
            let news = vec![MemberUpdate::Host(self.own().clone())];
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }

    fn take_suspicion(
        &mut self,
        now: MonoTime,
        host: &HostId,
        incarnation: Incarnation,
        refutation: u64,
        by: &HostId,
    ) {
        if *host == self.settings.host {
            if incarnation == self.settings.incarnation {
                self.refute(now, refutation);
            }
            return;
        }
        let Some(entry) = self.table.get_mut(host) else {
            return;
        };
        if entry.suspect(now, incarnation, refutation, by) {
            self.rings_changed = true;
            self.news.add(MemberUpdate::Suspected {
                host: host.clone(),
                incarnation,
                refutation,
                by: by.clone(),
            });
        }
    }

    pub(crate) fn take_server_leaving(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        incarnation: Incarnation,
    ) {
        if !self.servers.add(now, server, incarnation) {
            return;
        }
        self.outputs
            .push(MemberOutput::ServerLeaving(server.clone()));
        let server = server.clone();
        self.spread(
            now,
            MemberUpdate::ServerLeaving {
                server,
                incarnation,
            },
        );
    }

    pub(crate) fn take_in_force(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        let host = self.settings.host.clone();
        if let Some(entry) = self.table.get_mut(&host) {
            entry.record.config_version = version;
        }
        self.take_published(now, version);
        self.schedule.push_soon(now);
    }

    pub(crate) fn take_published(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.published {
            return;
        }
        self.published = version;
        self.spread(now, MemberUpdate::ConfigPublished(version));
    }

    fn hear_published(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.published {
            return;
        }
        self.take_published(now, version);
        if version > self.in_force {
            self.outputs.push(MemberOutput::ConfigPublished(version));
        }
    }

    fn hear_in_force(&mut self, from: SocketAddr, version: ConfigVersion) {
        let sender = self
            .table
            .iter_mut()
            .find(|entry| entry.record.address == from && entry.record.config_version < version);
        if let Some(entry) = sender {
            entry.record.config_version = version;
        }
        if version > self.in_force {
            self.outputs
                .push(MemberOutput::FetchConfig { from, version });
        }
    }
}

/// Returns whether a host is running and whether it is leaving.
fn in_service(entry: &MemberEntry) -> (bool, bool) {
    (entry.is_running(), entry.left)
}
