//! What a host knows of the load and health of backend servers.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

/// What a server said of its load counts half after this time; requests of the plain services
/// end within about a tenth of a second, streams within about a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// A server is passed over after so many failures in a row.
const FAILURES_TO_EJECT: u32 = 3;
/// The first time for which a server is passed over; it doubles with each further failure.
const EJECT_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a server is passed over.
const MAX_EJECT_TIME: Duration = Duration::from_secs(4);
/// The part that a new latency has in the mean.
const LATENCY_PART: f64 = 0.15;

/// Holds what a server said of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    in_flight: u32,
    others: f64,
    reported_at: MonoTime,
    failures: u32,
    ejected_until: Option<MonoTime>,
    /// The server has asked for no requests until that point.
    paused_until: Option<MonoTime>,
    latency: Option<f64>,
}

/// Follows the load of the servers that this host sends to.
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

    /// Notes that a request was sent.
    pub fn note_sent(&mut self, server: &ServerId) {
        self.load(server).in_flight += 1;
    }

    /// Notes that a request that was sent has ended, however it ended.
    pub fn note_ended(&mut self, server: &ServerId) {
        let load = self.load(server);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Notes what a server said of its load.
    pub fn note_report(&mut self, now: MonoTime, server: &ServerId, report: LoadReport) {
        let load = self.load(server);
        let total = f64::from(report.running + report.waiting);
        load.others = (total - f64::from(load.in_flight)).max(0.0);
        load.reported_at = now;
    }

    /// Notes a good answer and how long it took.
    pub fn note_success(&mut self, server: &ServerId, taken: Duration) {
        let load = self.load(server);
        load.failures = 0;
        load.ejected_until = None;
        let taken = taken.as_secs_f64();
        let mean = load.latency.unwrap_or(taken);
        load.latency = Some(mean + LATENCY_PART * (taken - mean));
    }

    /// Notes a failure that speaks against the server; returns the failures in a row if it is
    /// passed over for them.
    pub fn note_failure(&mut self, now: MonoTime, server: &ServerId) -> Option<u32> {
        let load = self.load(server);
        load.failures = load.failures.saturating_add(1);
        let further = load.failures.checked_sub(FAILURES_TO_EJECT)?;
        let time = EJECT_TIME * 2u32.pow(further.min(8));
        load.ejected_until = Some(now + time.min(MAX_EJECT_TIME));
        Some(load.failures)
    }

    /// Returns the requests that are estimated to be at a server.
    pub fn estimate(&self, now: MonoTime, server: &ServerId) -> f64 {
        let Some(load) = self.servers.get(server) else {
            return 0.0;
        };
        let age = now.since(load.reported_at).as_secs_f64();
        let faded = load.others * 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(load.in_flight) + faded
    }

    /// Returns the requests of this host that are at a server.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, |load| load.in_flight)
    }

    /// Says whether a server is passed over for its failures.
    pub fn is_ejected(&self, now: MonoTime, server: &ServerId) -> bool {
        let load = self.servers.get(server);
        load.and_then(|load| load.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Notes that a server wants no requests of this host for a time.
    pub fn note_pause(&mut self, now: MonoTime, server: &ServerId, pause: Duration) {
        let load = self.load(server);
        load.paused_until = load.paused_until.max(Some(now + pause));
    }

    /// Returns the rest of the time for which a server wants no requests, if there is one.
    pub fn pause_left(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        let until = self.servers.get(server)?.paused_until?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the time after which the first of some servers wants requests again; none if one
    /// does now, or if there are none.
    ///
    /// Answers a pool of which every server asks for time: a request that is sent in vain, or
    /// held, keeps its caller from coming back when there is hope.
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

    /// Returns the mean time of a server's answers, in seconds.
    pub fn latency(&self, server: &ServerId) -> Option<f64> {
        self.servers.get(server)?.latency
    }

    /// Forgets servers for which the test fails, that have no request and ask for no time.
    pub fn retain(&mut self, now: MonoTime, mut test: impl FnMut(&ServerId) -> bool) {
        self.servers.retain(|server, load| {
            load.in_flight > 0 || load.paused_until.is_some_and(|until| now < until) || test(server)
        });
    }
}
