//! Callers, hosts and backend servers in virtual time.

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

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    Arrive,
    Again(RequestClass, u32),
    Pick(usize, AttemptKind),
    Reach(usize),
    Done(usize),
    Answer(usize, AttemptOutcome),
    Deadline(usize),
    Hedge(usize),
    Wake(usize),
    Fault(bool),
    Report,
}

pub(crate) struct Server {
    pub(crate) running: Vec<usize>,
    pub(crate) queue: Vec<usize>,
    pub(crate) factor: f64,
    pub(crate) cut: bool,
}

pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) server: usize,
    pub(crate) started: Option<MonoTime>,
    pub(crate) ran: Duration,
    pub(crate) over: bool,
}

pub(crate) struct Request {
    pub(crate) class: RequestClass,
    pub(crate) host: usize,
    pub(crate) arrived: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) exclude: Vec<ServerId>,
    pub(crate) live: Vec<usize>,
    pub(crate) tries: u32,
    pub(crate) started: bool,
    pub(crate) end: Option<(RequestEnd, MonoTime)>,
}

pub(crate) struct World {
    pub(crate) scenario: Scenario,
    pub(crate) now: MonoTime,
    pub(crate) random: StdRng,
    pub(crate) events: BinaryHeap<Reverse<(MonoTime, usize, Event)>>,
    pub(crate) hosts: Vec<PolicyEngine>,
    pub(crate) servers: Vec<Server>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) wakes: Vec<Option<MonoTime>>,
    pub(crate) scheduled: usize,
    pub(crate) useful: Duration,
}

impl World {
    pub(crate) fn new(scenario: Scenario, routing: RoutingPolicy, seed: u64) -> Self {
        let mut pool = pool_object("pool", SERVERS, SLOTS as u32);
        pool.hedge_budget = Percent::new(scenario.hedge);
        let set = Arc::new(object_set(pool, Vec::new()));
        let host = |at: usize| {
            let mut engine = PolicyEngine::new(PolicySettings {
                host: id(&format!("host-{at}")),
                domain: set.pools[0].servers[at % 3].domain.clone(),
                seed: seed * 1000 + at as u64,
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
            factor: 1.0,
            cut: false,
        };
        Self {
            scenario,
            now: MonoTime(0),
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            hosts: (0..scenario.hosts).map(host).collect(),
            servers: (0..SERVERS).map(server).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            wakes: vec![None; scenario.hosts],
            scheduled: 0,
            useful: Duration::ZERO,
        }
    }

    pub(crate) fn after(&mut self, span: Duration, event: Event) {
        self.scheduled += 1;
        let entry = (self.now + span, self.scheduled, event);
        self.events.push(Reverse(entry));
    }

    pub(crate) fn run(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        self.after(Duration::ZERO, Event::Report);
        self.after(Duration::from_secs(self.scenario.from), Event::Fault(true));
        self.after(
            Duration::from_secs(self.scenario.until),
            Event::Fault(false),
        );
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::Again(class, tries) => self.receive(class, tries),
                Event::Pick(request, kind) => self.pick(request, kind),
                Event::Reach(attempt) => self.reach(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Answer(attempt, outcome) => self.answer(attempt, outcome),
                Event::Deadline(request) => self.give_up(request),
                Event::Hedge(attempt) => self.hedge(attempt),
                Event::Wake(host) => self.wake(host),
                Event::Fault(on) => self.fault(on),
                Event::Report => self.send_reports(),
            }
        }
    }

    pub(crate) fn second(&self) -> u64 {
        self.now.0 / 1_000_000
    }
}
