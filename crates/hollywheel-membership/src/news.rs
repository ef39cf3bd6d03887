//! The queue of news that travels on other messages.

use std::cmp::Reverse;

use hollywheel_types::{HostId, ServerId};

use crate::message::{MemberState, MemberUpdate};

/// The most pieces of news that wait; the one sent most often is dropped for a new one.
const MAX_WAITING: usize = 1024;

/// The most pieces of news on one message.
pub(crate) const MAX_NEWS: usize = 16;

/// The most bytes of news on one message.
pub(crate) const MAX_NEWS_BYTES: usize = 400;

/// The number of times that a piece of news is sent for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// News of a host that is alive goes out as if it had been sent so many times already.
const ALIVE_HANDICAP: u32 = 8;

/// Identifies what a piece of news is about; newer news on the same subject replaces older.
#[derive(Clone, Debug, Eq, PartialEq)]
enum NewsSubject {
    Host(HostId),
    Suspicion(HostId, HostId),
    Server(ServerId),
    Config,
}

#[derive(Clone, Debug)]
struct WaitingNews {
    subject: NewsSubject,
    news: MemberUpdate,
    sends: u32,
    order: u64,
}

impl WaitingNews {
    /// Ranks news by what waits for it: work goes on to a host or server that is leaving.
    const fn rank(&self) -> u32 {
        match &self.news {
            MemberUpdate::Host(record) if matches!(record.state, MemberState::Alive) => {
                self.sends + ALIVE_HANDICAP
            }
            _ => self.sends,
        }
    }
}

/// Holds news until each piece has been sent often enough.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    waiting: Vec<WaitingNews>,
    added: u64,
}

impl NewsQueue {
    /// Adds a piece of news in place of an older one on the same subject.
    pub fn add(&mut self, news: MemberUpdate) {
        let Some(subject) = subject_of(&news) else {
            return;
        };
        self.waiting.retain(|waiting| waiting.subject != subject);
        if let NewsSubject::Host(host) = &subject {
            self.drop_suspicions(host);
        }
        self.added += 1;
        if self.waiting.len() >= MAX_WAITING {
            self.drop_most_sent();
        }
        self.waiting.push(WaitingNews {
            subject,
            news,
            sends: 0,
            order: self.added,
        });
    }

    fn drop_suspicions(&mut self, host: &HostId) {
        self.waiting.retain(
            |waiting| !matches!(&waiting.subject, NewsSubject::Suspicion(suspect, _) if suspect == host),
        );
    }

    fn drop_most_sent(&mut self) {
        let most = self
            .waiting
            .iter()
            .enumerate()
            .max_by_key(|(_, waiting)| waiting.sends)
            .map(|(at, _)| at);
        if let Some(at) = most {
            self.waiting.remove(at);
        }
    }

    /// Drops news of dead hosts.
    pub fn forget_dead(&mut self) {
        self.waiting.retain(|waiting| {
            !matches!(&waiting.news, MemberUpdate::Host(record) if record.state == MemberState::Dead)
        });
    }

    /// Takes the news for one message behind what it carries already, least sent first.
    pub fn fill(&mut self, message: &mut Vec<MemberUpdate>, hosts: usize) {
        let most_sends = SENDS_PER_DOUBLING * (hosts.max(2).ilog2() + 1);
        // Of news sent equally often the latest goes first.
        self.waiting.sort_by_key(|w| (w.rank(), Reverse(w.order)));
        let mut bytes: usize = message.iter().map(news_bytes).sum();
        for waiting in &mut self.waiting {
            let size = news_bytes(&waiting.news);
            if message.len() >= MAX_NEWS || bytes + size > MAX_NEWS_BYTES {
                break;
            }
            if message.contains(&waiting.news) {
                continue;
            }
            bytes += size;
            waiting.sends += 1;
            message.push(waiting.news.clone());
        }
        self.waiting.retain(|waiting| waiting.sends < most_sends);
    }
}

fn subject_of(news: &MemberUpdate) -> Option<NewsSubject> {
    match news {
        MemberUpdate::Host(record) => Some(NewsSubject::Host(record.host.clone())),
        MemberUpdate::Suspected { host, by, .. } => {
            Some(NewsSubject::Suspicion(host.clone(), by.clone()))
        }
        MemberUpdate::ServerLeaving { server, .. } => Some(NewsSubject::Server(server.clone())),
        MemberUpdate::ConfigPublished(_) => Some(NewsSubject::Config),
        MemberUpdate::ConfigInForce(_) => None,
    }
}

/// Bounds the bytes that a piece of news takes on the wire.
pub(crate) fn news_bytes(news: &MemberUpdate) -> usize {
    const NUMBERS: usize = 34;
    match news {
        MemberUpdate::Host(record) => {
            NUMBERS
                + record.host.as_str().len()
                + record.domain.as_str().len()
                + record.region.as_str().len()
        }
        MemberUpdate::Suspected { host, by, .. } => {
            NUMBERS - 10 + host.as_str().len() + by.as_str().len()
        }
        MemberUpdate::ServerLeaving { server, .. } => 16 + server.as_str().len(),
        MemberUpdate::ConfigPublished(_) | MemberUpdate::ConfigInForce(_) => 14,
    }
}
