//! The demand for prompt parts, from which the number of engines that hold a part follows.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The times over which requests are counted: one in which a burst is noticed, one that decides how
/// fast the number of holders falls, and one in which a host with few requests per second notices
/// that a part loads its engine more than others.
const MEAN_TIMES: [Duration; 3] = [
    Duration::from_millis(1000),
    Duration::from_millis(2885),
    Duration::from_secs(40),
];
/// The time over which the work of the pool is counted.
const WORK_TIME: Duration = Duration::from_secs(10);
/// The maximum number of parts whose demand is kept: those of a minute on a host with four requests
/// per second.
const MAX_PARTS: usize = 256;
/// The utilisation of an engine up to which a popular part alone loads it. Above, requests that hosts
/// with outdated reports send to one holder wait for several others.
const HOLDER_UTILISATION: f64 = 0.35;
/// The work of one part on a holder, as a multiple of the mean work of an engine. In a simulated burst
/// with 66 hosts, 2 prefilled 1.98 of 100 shared tokens again and 3 only 1.73; one request was late with
/// either, and the busiest engine had 3.2 and 3.5 times the mean.
const HOLDER_SHARE: f64 = 3.0;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedCount {
    weight: f64,
    updated_at: MonoTime,
}

impl DecayedCount {
    fn value(&self, now: MonoTime, mean_time: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / mean_time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: MonoTime, mean_time: Duration, amount: f64) {
        self.weight = self.value(now, mean_time) + amount;
        self.updated_at = now;
    }
}

/// Tracks the requests for one part.
#[derive(Clone, Copy, Debug)]
struct DemandEntry {
    id: u64,
    counts: [DecayedCount; MEAN_TIMES.len()],
}

impl DemandEntry {
    fn add(&mut self, now: MonoTime) {
        for (count, time) in self.counts.iter_mut().zip(MEAN_TIMES) {
            count.add(now, time, 1.0);
        }
    }

    /// Returns the requests per second of this host. One request does not count: nearly every part
    /// has one by chance, which would count as one from each host.
    fn rate(&self, now: MonoTime) -> f64 {
        let counts = self.counts.iter().zip(MEAN_TIMES);
        let rates = counts.map(|(count, time)| (count.value(now, time) - 1.0) / time.as_secs_f64());
        rates.fold(0.0, f64::max)
    }

    fn updated_at(&self) -> MonoTime {
        let [count, ..] = self.counts;
        count.updated_at
    }
}

/// Tracks how many requests of this host share a prompt part, and the work of all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct PartDemand {
    entries: Vec<DemandEntry>,
    /// The tokens that own requests prefill.
    work: DecayedCount,
    begun_at: Option<MonoTime>,
}

impl PartDemand {
    /// Counts a request with a last shared part.
    pub(super) fn note_request(&mut self, now: MonoTime, id: u64) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == id) {
            entry.add(now);
            return;
        }
        let mut entry = DemandEntry {
            id,
            counts: Default::default(),
        };
        entry.add(now);
        if self.entries.len() < MAX_PARTS {
            self.entries.push(entry);
            return;
        }
        let oldest = self
            .entries
            .iter_mut()
            .min_by_key(|entry| entry.updated_at());
        if let Some(oldest) = oldest {
            *oldest = entry;
        }
    }

    /// Counts the tokens that a request prefills.
    pub(super) fn note_work(&mut self, now: MonoTime, tokens: u32) {
        self.begun_at = self.begun_at.or(Some(now));
        self.work.add(now, WORK_TIME, f64::from(tokens));
    }

    /// Returns the tokens per second that the requests of this host prefill.
    fn work_rate(&self, now: MonoTime) -> f64 {
        let Some(begun_at) = self.begun_at else {
            return 0.0;
        };
        let age = now.since(begun_at).as_secs_f64().max(1.0);
        let counted = WORK_TIME.as_secs_f64() * (1.0 - (-age / WORK_TIME.as_secs_f64()).exp());
        self.work.value(now, WORK_TIME) / counted
    }

    /// Returns the requests per second of this host for a part.
    pub(super) fn rate(&self, now: MonoTime, id: u64) -> f64 {
        let entry = self.entries.iter().find(|entry| entry.id == id);
        entry.map_or(0.0, |entry| entry.rate(now))
    }

    /// Returns the part with the highest rate of this host.
    pub(super) fn most_popular(&self, now: MonoTime) -> Option<(u64, f64)> {
        let rates = self.entries.iter().map(|entry| (entry.id, entry.rate(now)));
        rates.max_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Returns the number of engines that a part needs. `rate` is this host's requests per second for
    /// it, each of which prefills `tokens` beside the part; an engine prefills `engine_rate` tokens
    /// per second.
    ///
    /// Handles a part that takes more of an engine than fits, or more than other engines have to do.
    pub(super) fn holder_count(
        &self,
        now: MonoTime,
        rate: f64,
        tokens: f64,
        engine_rate: f64,
        hosts: usize,
        engines: usize,
    ) -> usize {
        let hosts = hosts.max(1) as f64;
        let engines = engines.max(1);
        let demand = rate * hosts * tokens;
        let by_capacity = demand / (engine_rate * HOLDER_UTILISATION);
        let mean_work = self.work_rate(now) * hosts / engines as f64;
        let by_balance = demand / (mean_work * HOLDER_SHARE).max(1.0);
        let needed = by_capacity.max(by_balance).ceil();
        (needed as usize).clamp(1, engines)
    }
}
