//! Event-driven simulation of callers, hosts and backend servers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_policy::{
    AttemptKind, AttemptOutcome, PolicyEngine, PolicySettings, RequestEnd, RoutingPolicy,
};
use hollywheel_types::{MonoTime, Percent, RequestClass, ServerId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common::{id, object_set, pool_object};
use crate::scenario::{SERVERS, SLOTS, Scenario};

/// An event; the numbers are indexes of requests, attempts or hosts.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    /// A new request arrives.
    Arrive,
    /// A caller retries a rejected request; the number counts its retries.
    CallerRetry(RequestClass, u32),
    /// A request picks a server.
    Pick(usize, AttemptKind),
    /// An attempt arrives at its server.
    ReachServer(usize),
    /// A server has processed an attempt.
    Processed(usize),
    /// The answer to an attempt arrives at the host.
    Answer(usize, AttemptOutcome),
    /// The deadline of a request has passed.
    Deadline(usize),
    /// An attempt may be hedged.
    Hedge(usize),
    /// The engine of a host is polled.
    Poll(usize),
    /// The fault of the scenario starts or ends.
    Fault(bool),
    /// The servers report their load.
    Report,
}

/// A simulated backend server; its queues hold attempt indexes.
pub(crate) struct Server {
    pub(crate) running: Vec<usize>,
    pub(crate) queue: Vec<usize>,
    pub(crate) slowdown: f64,
    pub(crate) is_partitioned: bool,
}

/// An attempt; `request` and `server` are indexes.
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) server: usize,
    pub(crate) started: Option<MonoTime>,
    pub(crate) run_time: Duration,
    /// Whether the attempt no longer occupies its server.
    pub(crate) is_released: bool,
}

/// A request; `host` and `in_flight` hold indexes of hosts and attempts.
pub(crate) struct Request {
    pub(crate) class: RequestClass,
    pub(crate) host: usize,
    pub(crate) arrived: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) exclude: Vec<ServerId>,
    pub(crate) in_flight: Vec<usize>,
    pub(crate) tries: u32,
    pub(crate) started: bool,
    pub(crate) end: Option<(RequestEnd, MonoTime)>,
}

/// State of a simulation.
pub(crate) struct Simulation {
    pub(crate) scenario: Scenario,
    pub(crate) now: MonoTime,
    pub(crate) rng: StdRng,
    pub(crate) events: BinaryHeap<Reverse<(MonoTime, usize, Event)>>,
    pub(crate) hosts: Vec<PolicyEngine>,
    pub(crate) servers: Vec<Server>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    /// The time of the next scheduled poll of each host.
    pub(crate) poll_times: Vec<Option<MonoTime>>,
    /// The number of scheduled events, which orders events of the same time.
    pub(crate) event_count: usize,
    /// The backend time of attempts that gave an answer.
    pub(crate) useful_time: Duration,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, routing: RoutingPolicy, seed: u64) -> Self {
        let mut pool = pool_object("pool", SERVERS, SLOTS as u32);
        pool.hedge_budget = Percent::new(scenario.hedge);
        let set = Arc::new(object_set(pool, Vec::new()));
        let host = |index: usize| {
            let mut engine = PolicyEngine::new(PolicySettings {
                host: id(&format!("host-{index}")),
                domain: set.pools[0].servers[index % 3].domain.clone(),
                seed: seed * 1000 + index as u64,
                routing,
                ..PolicySettings::default()
            });
            engine.install(MonoTime(0), &set);
            engine.set_host_count(MonoTime(0), scenario.hosts as u32);
            engine
        };
        let server = |_| Server {
            running: Vec::new(),
            queue: Vec::new(),
            slowdown: 1.0,
            is_partitioned: false,
        };
        Self {
            scenario,
            now: MonoTime(0),
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            hosts: (0..scenario.hosts).map(host).collect(),
            servers: (0..SERVERS).map(server).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            poll_times: vec![None; scenario.hosts],
            event_count: 0,
            useful_time: Duration::ZERO,
        }
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule_in(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + delay, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    /// Runs all events.
    pub(crate) fn run(&mut self) {
        self.schedule_in(Duration::ZERO, Event::Arrive);
        self.schedule_in(Duration::ZERO, Event::Report);
        self.schedule_in(
            Duration::from_secs(self.scenario.window_start),
            Event::Fault(true),
        );
        self.schedule_in(
            Duration::from_secs(self.scenario.window_end),
            Event::Fault(false),
        );
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::CallerRetry(class, tries) => self.receive_request(class, tries),
                Event::Pick(request, kind) => self.pick(request, kind),
                Event::ReachServer(attempt) => self.reach_server(attempt),
                Event::Processed(attempt) => self.finish_processing(attempt),
                Event::Answer(attempt, outcome) => self.answer(attempt, outcome),
                Event::Deadline(request) => self.expire_request(request),
                Event::Hedge(attempt) => self.hedge(attempt),
                Event::Poll(host) => self.poll_scheduled(host),
                Event::Fault(is_active) => self.set_fault(is_active),
                Event::Report => self.send_reports(),
            }
        }
    }

    /// Returns the current second of virtual time.
    pub(crate) fn second(&self) -> u64 {
        self.now.0 / 1_000_000
    }
}
