//! Handling of membership updates.

use std::net::SocketAddr;

use hollywheel_types::{ConfigVersion, HostId, Incarnation, MonoTime, ServerId};

use crate::entry::{MemberEntry, MergeEffect};
use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberOutput, MemberRecord, MemberState, MemberUpdate};

/// How a record reached the local host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordSource {
    /// As an update on a message, from the host that it describes, or from the host list.
    Gossip,
    /// As part of the full state of another host.
    StateTransfer,
}

impl MemberMachine {
    pub(crate) fn apply_updates(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        updates: Vec<MemberUpdate>,
    ) {
        for update in updates {
            match update {
                MemberUpdate::Host(record) => {
                    self.apply_record(now, record, RecordSource::Gossip);
                }
                MemberUpdate::ServerLeaving {
                    server,
                    incarnation,
                } => self.handle_server_leaving(now, &server, incarnation),
                MemberUpdate::ConfigPublished(version) => self.learn_published(now, version),
                MemberUpdate::ConfigInForce(version) => self.learn_in_force(from, version),
                MemberUpdate::Suspected {
                    host,
                    incarnation,
                    refutation,
                    by,
                } => self.apply_suspicion(now, &host, incarnation, refutation, &by),
            }
        }
    }

    /// Merges a record into the table and returns whether the local entry is newer.
    pub(crate) fn apply_record(
        &mut self,
        now: MonoTime,
        record: MemberRecord,
        source: RecordSource,
    ) -> bool {
        if record.host == self.settings.host {
            self.apply_local_record(now, &record);
            return false;
        }
        let host = record.host.clone();
        let before = self
            .table
            .get(&host)
            .filter(|entry| entry.has_incarnation());
        let before = before.map(running_and_leaving);
        match self.table.merge(now, record) {
            MergeEffect::Unchanged => return false,
            MergeEffect::Stale => return true,
            MergeEffect::Changed => {}
        }
        let Some(entry) = self.table.get(&host) else {
            return false;
        };
        let after = running_and_leaving(entry);
        let was_dead = before.is_some_and(|before| !before.0);
        self.dead_host_revived |= was_dead && after.0;
        self.hosts_changed |= entry.first_seen == now || before != Some(after);
        self.rings_changed = true;
        // The host through which a new host joined is already gossiping it.
        if source == RecordSource::Gossip || before.is_some() {
            let update = MemberUpdate::Host(entry.record.clone());
            self.enqueue_update(now, update);
        }
        false
    }

    fn apply_local_record(&mut self, now: MonoTime, record: &MemberRecord) {
        let own = self.local_record().clone();
        if record.incarnation > own.incarnation {
            if !self.superseded {
                self.superseded = true;
                let by = record.incarnation;
                self.outputs.push(MemberOutput::Superseded { by });
            }
            return;
        }
        if record.incarnation < own.incarnation {
            self.enqueue_update(now, MemberUpdate::Host(own));
            return;
        }
        match record.state {
            MemberState::Leaving => self.mark_self_leaving(now),
            MemberState::Suspect | MemberState::Dead => self.refute(now, record.refutation),
            MemberState::Alive => {}
        }
    }

    fn refute(&mut self, now: MonoTime, refutation: u64) {
        if refutation < self.local_record().refutation {
            return;
        }
        self.health.worsen(1);
        let host = self.settings.host.clone();
        if let Some(entry) = self.table.get_mut(&host) {
            entry.record.refutation = refutation + 1;
        }
        let record = self.local_record().clone();
        self.enqueue_update(now, MemberUpdate::Host(record));
    }

    pub(crate) fn mark_self_leaving(&mut self, now: MonoTime) {
        if self.local_record().state == MemberState::Leaving {
            return;
        }
        let mut record = self.local_record().clone();
        record.state = MemberState::Leaving;
        self.table.merge(now, record.clone());
        self.hosts_changed = true;
        self.enqueue_update(now, MemberUpdate::Host(record));
    }

    /// Announces to all neighbours at once that the local host is leaving.
    pub(crate) fn leave(&mut self, now: MonoTime) {
        self.mark_self_leaving(now);
        for host in self.neighbours.peers.clone() {
            let Some(to) = self.address_of(&host) else {
                continue;
            };
            let news = vec![MemberUpdate::Host(self.local_record().clone())];
            let from = self.settings.host.clone();
            self.send(to, MemberMessage::Gossip { from, news });
        }
    }

    fn apply_suspicion(
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
            self.gossip.add(MemberUpdate::Suspected {
                host: host.clone(),
                incarnation,
                refutation,
                by: by.clone(),
            });
        }
    }

    pub(crate) fn handle_server_leaving(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        incarnation: Incarnation,
    ) {
        if !self.leaving_servers.add(now, server, incarnation) {
            return;
        }
        self.outputs
            .push(MemberOutput::ServerLeaving(server.clone()));
        let server = server.clone();
        self.enqueue_update(
            now,
            MemberUpdate::ServerLeaving {
                server,
                incarnation,
            },
        );
    }

    pub(crate) fn set_in_force(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        let host = self.settings.host.clone();
        if let Some(entry) = self.table.get_mut(&host) {
            entry.record.config_version = version;
        }
        self.set_published(now, version);
        self.schedule.schedule_push(now);
    }

    pub(crate) fn set_published(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.published {
            return;
        }
        self.published = version;
        self.enqueue_update(now, MemberUpdate::ConfigPublished(version));
    }

    fn learn_published(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.published {
            return;
        }
        self.set_published(now, version);
        if version > self.in_force {
            self.outputs.push(MemberOutput::ConfigPublished(version));
        }
    }

    fn learn_in_force(&mut self, from: SocketAddr, version: ConfigVersion) {
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

/// Returns whether a host is considered alive and whether it has announced that it is leaving.
fn running_and_leaving(entry: &MemberEntry) -> (bool, bool) {
    (entry.is_running(), entry.leaving_announced)
}
