//! The work on one engine, as one host knows it.

use std::time::Duration;

use hollywheel_types::MonoTime;

use super::cache_model::CacheModel;
use super::{EngineTicket, RequestSize};

/// The half-life of the difference between the last report of an engine and its mean load. Streams
/// last for seconds, so the requests of a report are partly still there after one.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of the most recent report in the mean load of an engine.
const REPORT_WEIGHT: f64 = 0.2;
/// The requests by which a report may exceed twice the mean load without being limited.
const MEAN_STEP: f64 = 2.0;
/// The half-life of what late first events say about the speed of an engine.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time in milliseconds that is part of each first event whatever its prompt: the network and the
/// requests in execution. Without it, small prompts would make every engine look slow.
const FIXED_MS: f64 = 300.0;
/// Upper limit of the ratio of observed to expected first-event times.
const MAX_SLOWNESS: f64 = 10.0;
/// The fraction of the queued tokens that counts as still queued when the first event is overdue.
const OVERDUE_SHARE: f64 = 0.25;
/// The time after which an engine that lost its cache may have the parts of other hosts again.
const REFILL_TIME: Duration = Duration::from_secs(10);

/// A request of this host on an engine.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    ticket: EngineTicket,
    sent_at: MonoTime,
    size: RequestSize,
    last_shared: Option<u64>,
    /// The tokens to prefill, none left after the first event.
    prefill: u32,
    begun_at: Option<MonoTime>,
    /// The expected time to the first event, in milliseconds.
    expected_ms: f64,
}

impl OwnRequest {
    /// Returns the ratio of the time since the request was sent to the expected one, at least 1.
    fn lateness(&self, now: MonoTime) -> f64 {
        let elapsed_ms = now.since(self.sent_at).as_secs_f64() * 1000.0;
        let ratio = (elapsed_ms + FIXED_MS) / (self.expected_ms + FIXED_MS);
        ratio.clamp(1.0, MAX_SLOWNESS)
    }
}

/// Holds the requests of other hosts on an engine.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    last: f64,
    mean: f64,
    waiting: f64,
    reported_at: MonoTime,
}

/// Tracks the work on one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineLoad {
    /// The start time that the engine states in its entry.
    pub(super) born: Option<u64>,
    pub(super) cache: CacheModel,
    requests: Vec<OwnRequest>,
    others: Option<OthersLoad>,
    /// When the engine last finished the prefill of an own request.
    begun_at: MonoTime,
    /// The ratio of observed to expected first-event times, and when it was observed.
    slowness: f64,
    slow_at: MonoTime,
    /// When the engine lost its cache.
    emptied_at: Option<MonoTime>,
}

/// Holds the mean of own requests, by which requests of other hosts are estimated.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanRequest {
    /// The tokens that a request prefills.
    pub(super) prefill: f64,
    /// The tokens of its own that a request holds until its end.
    pub(super) held: f64,
    /// The tokens of its shared parts.
    pub(super) shared: f64,
    /// The share of its time on an engine before its first event.
    pub(super) prefill_share: f64,
}

/// The number of requests of other hosts whose shared parts count towards the memory of an engine;
/// further ones share those parts, since hosts send a part to the same engines.
const DISTINCT_SHARED: f64 = 16.0;

/// What a host expects on an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineWork {
    pub(super) requests: f64,
    pub(super) queued_tokens: f64,
    pub(super) held_tokens: f64,
}

/// The times of a request that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedRequest {
    /// The time to its first event.
    pub(super) first: Duration,
    /// The time to its end.
    pub(super) whole: Duration,
}

/// What the first event of a request shows.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstEvent {
    pub(super) prefill: u32,
    pub(super) elapsed_ms: f64,
    /// Whether no other own request was queued before it.
    pub(super) is_alone: bool,
}

impl EngineLoad {
    /// Records a request that is sent to the engine.
    pub(super) fn note_placed(
        &mut self,
        now: MonoTime,
        ticket: EngineTicket,
        size: RequestSize,
        last_shared: Option<u64>,
        prefill: u32,
        expected_ms: f64,
    ) {
        self.requests.push(OwnRequest {
            ticket,
            sent_at: now,
            size,
            last_shared,
            prefill,
            begun_at: None,
            expected_ms,
        });
    }

    /// Records the first event of a request.
    pub(super) fn note_begun(&mut self, now: MonoTime, ticket: EngineTicket) -> Option<FirstEvent> {
        let queued_before =
            |request: &OwnRequest| request.begun_at.is_none() && request.ticket < ticket;
        let is_alone = !self.requests.iter().any(queued_before);
        let known = self.requests.iter_mut();
        let request = known.into_iter().find(|known| known.ticket == ticket)?;
        if request.begun_at.is_some() {
            return None;
        }
        request.begun_at = Some(now);
        let elapsed_ms = now.since(request.sent_at).as_secs_f64() * 1000.0;
        let ratio = request.lateness(now);
        let event = FirstEvent {
            prefill: request.prefill,
            elapsed_ms,
            is_alone,
        };
        // Half of the last observation is kept, since one late event may have met a queue of others.
        self.slowness = 0.5 * (self.slowness(now) + ratio);
        self.slow_at = now;
        self.begun_at = now;
        Some(event)
    }

    /// Removes a request; returns its times if it had begun.
    pub(super) fn note_ended(
        &mut self,
        now: MonoTime,
        ticket: EngineTicket,
    ) -> Option<EndedRequest> {
        let known = self.requests.iter().position(|own| own.ticket == ticket)?;
        let request = self.requests.remove(known);
        let begun_at = request.begun_at?;
        Some(EndedRequest {
            first: begun_at.since(request.sent_at),
            whole: now.since(request.sent_at),
        })
    }

    /// Records a load report of the engine.
    pub(super) fn note_report(&mut self, now: MonoTime, running: f64, waiting: f64) {
        let others = (running + waiting - self.requests.len() as f64).max(0.0);
        let mean = self.others.map_or(others, |known| {
            // A single report of a burst must not shift the mean until the next one, which on small
            // hosts comes after many seconds.
            let most = known.mean + MEAN_STEP;
            known.mean + REPORT_WEIGHT * (others - known.mean).clamp(-most, most)
        });
        self.others = Some(OthersLoad {
            last: others,
            mean,
            waiting: waiting.min(others),
            reported_at: now,
        });
    }

    /// Forgets what the engine had cached, as after a restart.
    pub(super) fn note_empty(&mut self, now: MonoTime) {
        self.cache.clear();
        self.emptied_at = Some(now);
    }

    /// Forgets everything about the previous incarnation of the engine except the own requests, whose
    /// ends are still to be recorded.
    pub(super) fn restart(&mut self, now: MonoTime, born: Option<u64>) {
        self.note_empty(now);
        self.born = born;
        self.others = None;
        self.slowness = 1.0;
    }

    /// Returns whether parts that other hosts sent to the engine may be missing.
    pub(super) fn is_empty_since_loss(&self, now: MonoTime) -> bool {
        self.emptied_at
            .is_some_and(|time| now.since(time) < REFILL_TIME)
    }

    /// Returns the mean number of requests of other hosts; none before the first report.
    pub(super) fn mean_others(&self) -> Option<f64> {
        self.others.map(|others| others.mean)
    }

    /// Returns whether an own request is on the engine.
    pub(super) fn is_used(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Returns how much longer than expected first events take, also those that are still awaited; 1 if
    /// nothing is known.
    pub(super) fn slowness(&self, now: MonoTime) -> f64 {
        let awaited = self.requests.iter().filter(|own| own.begun_at.is_none());
        let overdue = awaited
            .map(|request| request.lateness(now))
            .fold(1.0, f64::max);
        if self.slowness <= 1.0 {
            return overdue;
        }
        let age = now.since(self.slow_at).as_secs_f64();
        let known = 1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_HALF_LIFE.as_secs_f64()).exp2();
        known.max(overdue)
    }

    /// Returns the expected work on the engine. `rate` is in tokens per millisecond.
    pub(super) fn work(
        &self,
        now: MonoTime,
        rate: f64,
        mean: &MeanRequest,
        pool_mean: f64,
    ) -> EngineWork {
        let (mut own_queued, mut oldest) = (0.0, None);
        let mut held = 0.0;
        for (index, request) in self.requests.iter().enumerate() {
            if request.begun_at.is_none() {
                own_queued += f64::from(request.prefill);
                oldest = oldest.or(Some(request.sent_at));
            }
            held += f64::from(request.size.own) + f64::from(request.size.output);
            let shares = |other: &OwnRequest| other.last_shared == request.last_shared;
            if !self.requests[..index].iter().any(shares) {
                held += f64::from(request.size.shared);
            }
        }
        if let Some(oldest) = oldest {
            let worked = now.since(oldest.max(self.begun_at)).as_secs_f64() * 1000.0 * rate;
            own_queued = (own_queued - worked).max(own_queued * OVERDUE_SHARE);
        }
        let (others, waiting) = self.others_now(now, pool_mean);
        let in_prefill = waiting + (others - waiting) * mean.prefill_share;
        EngineWork {
            requests: self.requests.len() as f64 + others,
            queued_tokens: own_queued + in_prefill * mean.prefill,
            held_tokens: held + others * mean.held + others.min(DISTINCT_SHARED) * mean.shared,
        }
    }

    /// Returns the expected requests of other hosts and how many of them wait.
    fn others_now(&self, now: MonoTime, pool_mean: f64) -> (f64, f64) {
        let Some(known) = self.others else {
            return (pool_mean, 0.0);
        };
        let age = now.since(known.reported_at).as_secs_f64();
        let freshness = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        let others = known.mean + (known.last - known.mean) * freshness;
        (others, (known.waiting * freshness).min(others))
    }
}
