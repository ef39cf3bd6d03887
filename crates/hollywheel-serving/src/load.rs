//! Load, health and back-pressure of backend servers, as seen by one host.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

use crate::avoidance::ServerAvoidance;
use crate::cold_start::ramp_load_factor;
use crate::slowdown::ReportedSlowdown;

/// The half-life of a load report. Requests of plain services end within about a tenth of a second,
/// streams within about a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// The highest load that a report may state, as a multiple of the server's slots: about twice what a
/// server queues before it refuses requests.
const MAX_REPORTED_LOAD: f64 = 10.0;
/// The number of consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection; doubles with each further consecutive failure.
const EJECT_TIME: Duration = Duration::from_millis(500);
/// Upper limit of the duration of an ejection.
const MAX_EJECT_TIME: Duration = Duration::from_secs(4);
/// Weight of the most recent latency in the moving average if it directly follows another one.
const LATENCY_WEIGHT: f64 = 0.15;
/// The half-life of a mean latency without further responses.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);

/// Holds the load that a server reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in execution.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that the server can execute at once.
    pub slots: u32,
    /// How long work takes on the server at this moment, as a multiple of the usual time; none if the
    /// server does not say.
    pub slowdown: Option<f64>,
}

/// Holds the mean latency of a server's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLatency {
    /// The mean, in seconds.
    pub seconds: f64,
    /// The mean of the slowdown that the server reported with these responses; 1.0 without reports.
    slowdown: f64,
    /// The time of the last response.
    updated_at: MonoTime,
}

impl MeanLatency {
    /// Creates the mean of one response.
    const fn new(now: MonoTime, seconds: f64, slowdown: f64) -> Self {
        Self {
            seconds,
            slowdown,
            updated_at: now,
        }
    }

    /// Returns how far the mean still describes the server: 1 directly after a response, halved
    /// with each half-life since.
    ///
    /// A server that is avoided for its latency gets no requests whose responses would show that it
    /// has recovered.
    pub fn confidence(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
    }

    /// Returns the part of the mean, in seconds, that the reported slowdown does not explain, so that
    /// the same slowness is not counted twice.
    pub(crate) fn unexplained_seconds(&self) -> f64 {
        self.seconds / self.slowdown.max(1.0)
    }

    /// Adds a response. The longer the last one was ago, the more this one counts.
    fn add(&mut self, now: MonoTime, seconds: f64, slowdown: f64) {
        let weight = 1.0 - (1.0 - LATENCY_WEIGHT) * self.confidence(now);
        self.seconds += weight * (seconds - self.seconds);
        self.slowdown += weight * (slowdown - self.slowdown);
        self.updated_at = now;
    }
}

/// Describes the load and health of one server at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSnapshot {
    /// The estimated number of requests.
    pub(crate) requests: f64,
    /// How long work takes, as a multiple of the usual time.
    pub(crate) slowdown: f64,
    /// Whether the server gets no request while others have capacity.
    pub(crate) avoided: bool,
}

impl LoadSnapshot {
    /// The snapshot of a server of which nothing is known.
    const IDLE: Self = Self {
        requests: 0.0,
        slowdown: 1.0,
        avoided: false,
    };
}

/// Tracks the load and health of one server.
#[derive(Clone, Debug, Default)]
struct ServerLoad {
    /// The requests that this host has in flight on the server.
    in_flight: u32,
    /// The requests of other hosts, as of the last report.
    others: f64,
    reported_at: MonoTime,
    /// The number of consecutive failures.
    failures: u32,
    ejected_until: Option<MonoTime>,
    /// The end of the pause that the server asked for.
    paused_until: Option<MonoTime>,
    latency: Option<MeanLatency>,
    /// The slowdown of the last report; none if it stated none.
    slowdown: Option<ReportedSlowdown>,
    /// The end of the cold time of the server, after which it gets its share step by step.
    warm_at: Option<MonoTime>,
    avoidance: ServerAvoidance,
}

impl ServerLoad {
    fn estimate(&self, now: MonoTime) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let decayed = self.others * 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.in_flight) + decayed
    }

    fn slowdown(&self, now: MonoTime) -> f64 {
        self.slowdown.map_or(1.0, |reported| reported.at(now))
    }
}

/// Tracks the load and health of the servers to which this host sends requests.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    servers: SortedMap<ServerId, ServerLoad>,
}

impl LoadTable {
    /// Creates a table without servers.
    pub fn new() -> Self {
        Self::default()
    }

    fn load(&mut self, server: &ServerId) -> &mut ServerLoad {
        self.servers
            .get_or_insert_with(server.clone(), ServerLoad::default)
    }

    /// Records that a request was sent to a server.
    pub fn note_sent(&mut self, server: &ServerId) {
        self.load(server).in_flight += 1;
    }

    /// Records that a request to a server has ended, successfully or not.
    pub fn note_ended(&mut self, server: &ServerId) {
        let load = self.load(server);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Records a load report of a server with a number of slots, as its entry states it. More than
    /// its slots and its queue can hold counts as that: a report loses weight by halves, so an
    /// impossible one would keep requests from a sound server for many seconds.
    pub fn note_report(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        report: LoadReport,
        slots: u32,
    ) {
        let load = self.load(server);
        let total = f64::from(report.running) + f64::from(report.waiting);
        let total = total.min(f64::from(slots.max(1)) * MAX_REPORTED_LOAD);
        load.others = (total - f64::from(load.in_flight)).max(0.0);
        load.reported_at = now;
        load.slowdown = report
            .slowdown
            .map(|value| ReportedSlowdown::new(now, value));
    }

    /// Records a successful response and its latency.
    pub fn note_success(&mut self, now: MonoTime, server: &ServerId, taken: Duration) {
        let load = self.load(server);
        load.failures = 0;
        load.ejected_until = None;
        let taken = taken.as_secs_f64();
        let slowdown = load.slowdown(now);
        match &mut load.latency {
            Some(mean) => mean.add(now, taken, slowdown),
            None => load.latency = Some(MeanLatency::new(now, taken, slowdown)),
        }
    }

    /// Records a failure that the server is responsible for; returns the number of consecutive
    /// failures if the server is now ejected.
    pub fn note_failure(&mut self, now: MonoTime, server: &ServerId) -> Option<u32> {
        let load = self.load(server);
        load.failures = load.failures.saturating_add(1);
        let further = load.failures.checked_sub(FAILURES_TO_EJECT)?;
        let time = EJECT_TIME * 2u32.pow(further.min(8));
        load.ejected_until = Some(now + time.min(MAX_EJECT_TIME));
        Some(load.failures)
    }

    /// Records that a request sent at `sent_at` lost its connection to the server or got no answer at
    /// all. The server gets no further request for a while if others have capacity; returns for how
    /// long, or none if another request in flight had the same fate before.
    pub fn note_lost(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        sent_at: MonoTime,
    ) -> Option<Duration> {
        self.load(server).avoidance.note_lost(now, sent_at)
    }

    /// Records that a request sent at `sent_at` should have been answered by now. Unless the server
    /// has answered another one since, it is avoided up to `until`.
    pub fn note_overdue(&mut self, server: &ServerId, sent_at: MonoTime, until: MonoTime) {
        self.load(server).avoidance.note_overdue(sent_at, until);
    }

    /// Records that the server gave an answer, which ends its avoidance.
    pub fn note_answered(&mut self, now: MonoTime, server: &ServerId) {
        self.load(server).avoidance.note_answered(now);
    }

    /// Returns whether the server has answered any request of this host since a time; see
    /// [`LoadTable::note_answered`].
    pub fn has_answered_since(&self, server: &ServerId, time: MonoTime) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|load| load.avoidance.has_answered_since(time))
    }

    /// Returns whether a server gets no request while others have capacity, since it lost a
    /// connection or was silent.
    pub fn is_avoided(&self, now: MonoTime, server: &ServerId) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|load| load.avoidance.is_active(now))
    }

    /// Returns the estimated number of requests on a server: those of this host plus those of other
    /// hosts from the last report, whose weight decays with its age.
    pub fn estimate(&self, now: MonoTime, server: &ServerId) -> f64 {
        let load = self.servers.get(server);
        load.map_or(0.0, |load| load.estimate(now))
    }

    /// Returns how long work takes on a server, as a multiple of the usual time: as last reported,
    /// decaying towards 1.0; 1.0 if the server reports no slowdown.
    pub fn slowdown(&self, now: MonoTime, server: &ServerId) -> f64 {
        let load = self.servers.get(server);
        load.map_or(1.0, |load| load.slowdown(now))
    }

    /// Returns the slowdown that a server reported last; none if its last report stated none.
    pub fn reported_slowdown(&self, server: &ServerId) -> Option<ReportedSlowdown> {
        self.servers.get(server)?.slowdown
    }

    /// Returns what placement compares, with one look-up.
    pub(crate) fn snapshot(&self, now: MonoTime, server: &ServerId) -> LoadSnapshot {
        let load = self.servers.get(server);
        load.map_or(LoadSnapshot::IDLE, |load| LoadSnapshot {
            requests: load.estimate(now),
            slowdown: load.slowdown(now),
            avoided: load.avoidance.is_active(now),
        })
    }

    /// Returns the number of requests that this host has in flight on a server.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, |load| load.in_flight)
    }

    /// Returns whether a server is ejected after consecutive failures.
    pub fn is_ejected(&self, now: MonoTime, server: &ServerId) -> bool {
        let load = self.servers.get(server);
        load.and_then(|load| load.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Records that a server asked this host to send no requests for a time.
    pub fn note_pause(&mut self, now: MonoTime, server: &ServerId, pause: Duration) {
        let load = self.load(server);
        load.paused_until = load.paused_until.max(Some(now + pause));
    }

    /// Returns whether a server is paused and whether it is ejected, in one look-up.
    pub(crate) fn availability(&self, now: MonoTime, server: &ServerId) -> (bool, bool) {
        let Some(load) = self.servers.get(server) else {
            return (false, false);
        };
        let lasts = |until: Option<MonoTime>| until.is_some_and(|until| now < until);
        (lasts(load.paused_until), lasts(load.ejected_until))
    }

    /// Returns the remaining time of the pause that a server asked for; none if it asked for none.
    pub fn pause_left(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        let until = self.servers.get(server)?.paused_until?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the time until the first of the given servers accepts requests again; none if one
    /// accepts them now, or if no server is given.
    ///
    /// While every server of a pool has asked for a pause, a request that was sent anyway or held
    /// back would only keep its caller from retrying when the pool accepts requests again.
    pub fn pool_pause<'a>(
        &self,
        now: MonoTime,
        servers: impl IntoIterator<Item = &'a ServerId>,
    ) -> Option<Duration> {
        let mut least = None;
        for server in servers {
            let left = self.pause_left(now, server)?;
            least = Some(least.map_or(left, |known: Duration| known.min(left)));
        }
        least
    }

    /// Returns the mean latency of a server's responses; none before the first response.
    pub fn latency(&self, server: &ServerId) -> Option<MeanLatency> {
        self.servers.get(server)?.latency
    }

    /// Records until when a server is cold.
    pub fn note_warm_at(&mut self, server: &ServerId, warm_at: MonoTime) {
        self.load(server).warm_at = Some(warm_at);
    }

    /// Returns the factor by which the load of a server counts when servers are compared: above 1 while
    /// the server is cold and for some seconds after.
    pub fn ramp_factor(&self, now: MonoTime, server: &ServerId) -> f64 {
        let warm_at = self.servers.get(server).and_then(|load| load.warm_at);
        warm_at.map_or(1.0, |warm_at| ramp_load_factor(now, warm_at))
    }

    /// Removes the servers for which the predicate is false, unless they have requests in flight or
    /// are paused.
    pub fn retain(&mut self, now: MonoTime, mut predicate: impl FnMut(&ServerId) -> bool) {
        self.servers.retain(|server, load| {
            load.in_flight > 0
                || load.paused_until.is_some_and(|until| now < until)
                || predicate(server)
        });
    }
}
