//! Handling of incoming messages.

use std::net::SocketAddr;

use hollywheel_types::{HostId, MonoTime};

use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberState, MemberUpdate};
use crate::probe::{RelayedProbe, RunningProbe};
use crate::probing::suspicion_updates;
use crate::updates::RecordSource;

impl MemberMachine {
    pub(crate) fn handle_message(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        message: MemberMessage,
    ) {
        match message {
            MemberMessage::Ping {
                sequence,
                from: host,
                news,
            } => {
                let suspected = self.contains_suspicion_of_self(&news);
                self.apply_updates(now, from, news);
                self.answer_ping(from, &host, sequence, suspected);
                self.rejoin_after_partition(from);
            }
            MemberMessage::Ack {
                sequence,
                from: host,
                news,
            } => {
                self.apply_updates(now, from, news);
                self.handle_ack(sequence, &host);
                self.rejoin_after_partition(from);
            }
            MemberMessage::PingRequest {
                sequence,
                target,
                target_address,
                news,
                ..
            } => {
                self.apply_updates(now, from, news);
                self.relay_ping(now, from, sequence, &target, target_address);
            }
            MemberMessage::Nack { sequence, .. } => self.handle_nack(sequence),
            MemberMessage::Gossip { news, .. } => self.apply_updates(now, from, news),
            MemberMessage::Join { record } => {
                self.apply_state_records(now, from, vec![record], RecordSource::Gossip);
                self.send_state(from);
            }
            MemberMessage::State { records } => {
                self.apply_state_records(now, from, records, RecordSource::StateTransfer);
            }
            MemberMessage::Sync { digest, answer, .. } => self.compare_digest(from, digest, answer),
        }
    }

    fn contains_suspicion_of_self(&self, news: &[MemberUpdate]) -> bool {
        let own = &self.settings.host;
        news.iter().any(|news| match news {
            MemberUpdate::Host(record) => record.host == *own && record.state != MemberState::Alive,
            MemberUpdate::Suspected { host, .. } => host == own,
            _ => false,
        })
    }

    fn answer_ping(&mut self, to: SocketAddr, host: &HostId, sequence: u64, suspected: bool) {
        let mut news = Vec::new();
        if suspected {
            news.push(MemberUpdate::Host(self.local_record().clone()));
        }
        match self.table.get(host) {
            Some(entry) => news.extend(suspicion_updates(entry)),
            None => {
                let record = self.local_record().clone();
                self.send(to, MemberMessage::Join { record });
            }
        }
        let news = self.collect_updates(news);
        let from = self.settings.host.clone();
        self.send(
            to,
            MemberMessage::Ack {
                sequence,
                from,
                news,
            },
        );
    }

    fn relay_ping(
        &mut self,
        now: MonoTime,
        requester: SocketAddr,
        requester_sequence: u64,
        target: &HostId,
        target_address: SocketAddr,
    ) {
        let sequence = self.next_sequence();
        let nack_at = now + self.settings.probe_timeout.mul_f64(0.6);
        let added = self.relays.add(RelayedProbe {
            sequence,
            requester_sequence,
            requester,
            nack_at,
        });
        if !added {
            return;
        }
        let first = self
            .table
            .get(target)
            .map(suspicion_updates)
            .unwrap_or_default();
        let news = self.collect_updates(first);
        let from = self.settings.host.clone();
        self.send(
            target_address,
            MemberMessage::Ping {
                sequence,
                from,
                news,
            },
        );
    }

    fn handle_ack(&mut self, sequence: u64, host: &HostId) {
        if let Some(relay) = self.relays.take(sequence) {
            let news = self.collect_updates(Vec::new());
            let message = MemberMessage::Ack {
                sequence: relay.requester_sequence,
                from: host.clone(),
                news,
            };
            self.send(relay.requester, message);
        }
        let matches = |p: &RunningProbe| p.sequence == sequence && p.target == *host;
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.health.improve();
        }
    }

    /// Rejoins through a host that came back after a network partition: if at least half of the
    /// hosts seem dead and one of them answers, the others are probably alive as well.
    fn rejoin_after_partition(&mut self, from: SocketAddr) {
        if !std::mem::take(&mut self.dead_host_revived) {
            return;
        }
        if !self.table.is_isolated() || !self.table.remove_dead() {
            return;
        }
        self.gossip.remove_dead();
        self.hosts_changed = true;
        let record = self.local_record().clone();
        self.send(from, MemberMessage::Join { record });
    }

    fn handle_nack(&mut self, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.nacks += 1;
        }
    }
}
