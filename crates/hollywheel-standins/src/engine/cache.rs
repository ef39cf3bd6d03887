//! The prefix cache of a model engine and its events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a prompt prefix, in bytes.
const PREFIX_BYTES: usize = 64;

/// Maximum number of stored events. The oldest one is dropped, which readers see as a gap.
const CACHE_EVENTS: usize = 4096;

/// Returns the hash of a prompt's prefix, as 16 hexadecimal digits.
pub(crate) fn prefix_hash(input: &str) -> String {
    let bytes = input.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    format!("{:016x}", xxh3_64(prefix))
}

/// A published cache event.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) event: &'static str,
    pub(crate) prefix: String,
    #[serde(skip)]
    at: Instant,
}

/// The cache events after a position.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEventPage {
    pub(crate) next: u64,
    pub(crate) events: Vec<CacheEvent>,
}

/// Maximum number of prefixes in a load report, so that a report fits into one packet.
const REPORTED_PREFIXES: usize = 16;

/// Cache of prompt prefixes that evicts the least recently used one.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    size: usize,
    gap_every: u64,
    /// The prefixes, least recently used first.
    prefixes: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(size: u32, gap_every: u64) -> Self {
        Self {
            size: size as usize,
            gap_every,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Returns the most recently used prefixes for a load report.
    pub(crate) fn recent_prefixes(&self) -> Vec<String> {
        let recent = self.prefixes.iter().rev().take(REPORTED_PREFIXES);
        recent.cloned().collect()
    }

    /// Returns the number of cached prefixes.
    pub(crate) fn used(&self) -> u32 {
        u32::try_from(self.prefixes.len()).unwrap_or(u32::MAX)
    }

    /// Marks a prefix as used and caches it; returns whether it was cached before.
    pub(crate) fn touch(&mut self, prefix: &str) -> bool {
        let found = self.prefixes.iter().position(|known| known == prefix);
        if let Some(at) = found {
            self.prefixes.remove(at);
            self.prefixes.push_back(prefix.to_owned());
            return true;
        }
        if self.size == 0 {
            return false;
        }
        if self.prefixes.len() >= self.size {
            let evicted = self.prefixes.pop_front();
            self.publish("evicted", evicted.unwrap_or_default());
        }
        self.prefixes.push_back(prefix.to_owned());
        self.publish("stored", prefix.to_owned());
        false
    }

    fn publish(&mut self, event: &'static str, prefix: String) {
        self.seq += 1;
        if self.gap_every > 0 && self.seq.is_multiple_of(self.gap_every) {
            return;
        }
        if self.events.len() >= CACHE_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            seq: self.seq,
            event,
            prefix,
            at: Instant::now(),
        });
    }

    /// Returns the events after a position that are at least as old as the lag.
    pub(crate) fn events(&self, after: u64, lag: Duration) -> CacheEventPage {
        let now = Instant::now();
        let seen = |event: &&CacheEvent| now.duration_since(event.at) >= lag;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(seen)
            .filter(|event| event.seq > after)
            .cloned()
            .collect();
        let next = events.last().map_or(after, |event| event.seq);
        CacheEventPage { next, events }
    }
}
