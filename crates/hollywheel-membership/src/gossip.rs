//! The queue of updates that are piggybacked on messages.

use std::cmp::Reverse;

use hollywheel_types::{HostId, ServerId};

use crate::message::{MemberState, MemberUpdate};

/// Maximum number of queued updates; the one sent most often is dropped for a new one.
const MAX_QUEUED: usize = 1024;

/// Maximum number of updates per message.
pub(crate) const MAX_UPDATES: usize = 16;

/// Maximum size of the updates on one message in bytes.
pub(crate) const MAX_UPDATE_BYTES: usize = 400;

/// Number of times that an update is sent per doubling of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 3;

/// Number of sends added to the rank of an update about an alive host, so that it goes out
/// after updates about hosts and servers that must get no more work.
const ALIVE_RANK_PENALTY: u32 = 8;

/// The subject of an update; a new update replaces a queued one on the same subject.
#[derive(Clone, Debug, Eq, PartialEq)]
enum UpdateSubject {
    Host(HostId),
    Suspicion(HostId, HostId),
    Server(ServerId),
    Config,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    subject: UpdateSubject,
    update: MemberUpdate,
    sends: u32,
    order: u64,
}

impl QueuedUpdate {
    /// Returns the rank in sending order. Updates about alive hosts rank lower, since work keeps
    /// being sent to a leaving host or server until the other updates arrive.
    const fn rank(&self) -> u32 {
        match &self.update {
            MemberUpdate::Host(record) if matches!(record.state, MemberState::Alive) => {
                self.sends + ALIVE_RANK_PENALTY
            }
            _ => self.sends,
        }
    }
}

/// Queues updates until each one has been sent often enough.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    queued: Vec<QueuedUpdate>,
    added: u64,
}

impl GossipQueue {
    /// Adds an update, replacing a queued one on the same subject.
    pub fn add(&mut self, update: MemberUpdate) {
        let Some(subject) = subject_of(&update) else {
            return;
        };
        self.queued.retain(|queued| queued.subject != subject);
        if let UpdateSubject::Host(host) = &subject {
            self.drop_suspicions(host);
        }
        self.added += 1;
        if self.queued.len() >= MAX_QUEUED {
            self.drop_most_sent();
        }
        self.queued.push(QueuedUpdate {
            subject,
            update,
            sends: 0,
            order: self.added,
        });
    }

    fn drop_suspicions(&mut self, host: &HostId) {
        self.queued.retain(
            |queued| !matches!(&queued.subject, UpdateSubject::Suspicion(suspect, _) if suspect == host),
        );
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .queued
            .iter()
            .enumerate()
            .max_by_key(|(_, queued)| queued.sends)
            .map(|(index, _)| index);
        if let Some(index) = most_sent {
            self.queued.remove(index);
        }
    }

    /// Removes updates about dead hosts.
    pub fn remove_dead(&mut self) {
        self.queued.retain(|queued| {
            !matches!(&queued.update, MemberUpdate::Host(record) if record.state == MemberState::Dead)
        });
    }

    /// Appends queued updates to those that a message already carries, least sent first.
    pub fn fill(&mut self, message: &mut Vec<MemberUpdate>, hosts: usize) {
        let most_sends = RETRANSMIT_FACTOR * (hosts.max(2).ilog2() + 1);
        // Among updates of equal rank the latest goes first.
        self.queued.sort_by_key(|w| (w.rank(), Reverse(w.order)));
        let mut bytes: usize = message.iter().map(update_bytes).sum();
        for queued in &mut self.queued {
            let size = update_bytes(&queued.update);
            if message.len() >= MAX_UPDATES || bytes + size > MAX_UPDATE_BYTES {
                break;
            }
            if message.contains(&queued.update) {
                continue;
            }
            bytes += size;
            queued.sends += 1;
            message.push(queued.update.clone());
        }
        self.queued.retain(|queued| queued.sends < most_sends);
    }
}

fn subject_of(update: &MemberUpdate) -> Option<UpdateSubject> {
    match update {
        MemberUpdate::Host(record) => Some(UpdateSubject::Host(record.host.clone())),
        MemberUpdate::Suspected { host, by, .. } => {
            Some(UpdateSubject::Suspicion(host.clone(), by.clone()))
        }
        MemberUpdate::ServerLeaving { server, .. } => Some(UpdateSubject::Server(server.clone())),
        MemberUpdate::ConfigPublished(_) => Some(UpdateSubject::Config),
        MemberUpdate::ConfigInForce(_) => None,
    }
}

/// Returns an upper bound of the encoded size of an update in bytes.
pub(crate) fn update_bytes(update: &MemberUpdate) -> usize {
    const NUMERIC_FIELD_BYTES: usize = 34;
    match update {
        MemberUpdate::Host(record) => {
            NUMERIC_FIELD_BYTES
                + record.host.as_str().len()
                + record.domain.as_str().len()
                + record.region.as_str().len()
        }
        MemberUpdate::Suspected { host, by, .. } => {
            NUMERIC_FIELD_BYTES - 10 + host.as_str().len() + by.as_str().len()
        }
        MemberUpdate::ServerLeaving { server, .. } => 16 + server.as_str().len(),
        MemberUpdate::ConfigPublished(_) | MemberUpdate::ConfigInForce(_) => 14,
    }
}
