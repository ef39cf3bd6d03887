//! What the machine does with messages.

use std::net::SocketAddr;

use hollywheel_types::{HostId, MonoTime};

use crate::hear::NewsSource;
use crate::machine::MemberMachine;
use crate::message::{MemberMessage, MemberState, MemberUpdate};
use crate::probe::{RelayedProbe, RunningProbe};
use crate::probing::doubts_about;

impl MemberMachine {
    pub(crate) fn take_message(&mut self, now: MonoTime, from: SocketAddr, message: MemberMessage) {
        match message {
            MemberMessage::Ping {
                sequence,
                from: host,
                news,
            } => {
                let doubted = self.is_doubted_in(&news);
                self.take_news(now, from, news);
                self.answer_ping(from, &host, sequence, doubted);
                self.rejoin_through(from);
            }
            MemberMessage::Ack {
                sequence,
                from: host,
                news,
            } => {
                self.take_news(now, from, news);
                self.take_ack(sequence, &host);
                self.rejoin_through(from);
            }
            MemberMessage::PingRequest {
                sequence,
                target,
                target_address,
                news,
                ..
            } => {
                self.take_news(now, from, news);
                self.relay_ping(now, from, sequence, &target, target_address);
            }
            MemberMessage::Nack { sequence, .. } => self.take_nack(sequence),
            MemberMessage::Gossip { news, .. } => self.take_news(now, from, news),
            MemberMessage::Join { record } => {
                self.take_state(now, from, vec![record], NewsSource::Rumour);
                self.send_state(from);
            }
            MemberMessage::State { records } => {
                self.take_state(now, from, records, NewsSource::State);
            }
            MemberMessage::Sync { digest, answer, .. } => self.compare(from, digest, answer),
        }
    }

    fn is_doubted_in(&self, news: &[MemberUpdate]) -> bool {
        let own = &self.settings.host;
        news.iter().any(|news| match news {
            MemberUpdate::Host(record) => record.host == *own && record.state != MemberState::Alive,
            MemberUpdate::Suspected { host, .. } => host == own,
            _ => false,
        })
    }

    fn answer_ping(&mut self, to: SocketAddr, host: &HostId, sequence: u64, doubted: bool) {
        let mut news = Vec::new();
        if doubted {
            news.push(MemberUpdate::Host(self.own().clone()));
        }
        match self.table.get(host) {
            Some(entry) => news.extend(doubts_about(entry)),
            None => {
                let record = self.own().clone();
                self.send(to, MemberMessage::Join { record });
            }
        }
        let news = self.fill_news(news);
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
        asker: SocketAddr,
        asker_sequence: u64,
        target: &HostId,
        target_address: SocketAddr,
    ) {
        let sequence = self.next_sequence();
        let nack_at = now + self.settings.probe_timeout.mul_f64(0.6);
        let added = self.relays.add(RelayedProbe {
            sequence,
            asker_sequence,
            asker,
            nack_at,
        });
        if !added {
            return;
        }
        let first = self.table.get(target).map(doubts_about).unwrap_or_default();
        let news = self.fill_news(first);
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

    fn take_ack(&mut self, sequence: u64, host: &HostId) {
        if let Some(relay) = self.relays.take(sequence) {
            let news = self.fill_news(Vec::new());
            let message = MemberMessage::Ack {
                sequence: relay.asker_sequence,
                from: host.clone(),
                news,
            };
            self.send(relay.asker, message);
        }
        let matches = |p: &RunningProbe| p.sequence == sequence && p.target == *host;
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.doubt.lower();
        }
    }

    /// Doubts its own view after a long cut: if most hosts seem dead and one of them answers, the
    /// others are likely alive as well.
    fn rejoin_through(&mut self, from: SocketAddr) {
        if !std::mem::take(&mut self.revived) {
            return;
        }
        if !self.table.is_isolated() || !self.table.forget_dead() {
            return;
        }
        self.news.forget_dead();
        self.view_changed = true;
        let record = self.own().clone();
        self.send(from, MemberMessage::Join { record });
    }

    fn take_nack(&mut self, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.nacks += 1;
        }
    }
}
