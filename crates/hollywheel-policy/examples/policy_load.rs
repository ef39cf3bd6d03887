//! Runs policies against queue fakes in virtual time and prints what callers get.
//!
//! `cargo run --release -p hollywheel-policy --example policy_load [SCENARIO [POLICY]]`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use common::{MS, admit_request, id, object_set, pool_object, report, sent, server_name};
use hollywheel_policy::{
    AdmitDecision, AttemptKind, AttemptOutcome, PickDecision, PickRequest, PolicyEngine,
    PolicySettings, RequestEnd, RoutingPolicy,
};
use hollywheel_types::{AttemptNonce, MonoTime, Percent, RequestClass, RequestId, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[path = "../tests/common/mod.rs"]
mod common;

const SEEDS: u64 = 5;
/// Student's t for 95 percent and five seeds.
const T_VALUE: f64 = 2.776;
const SERVERS: usize = 20;
const SLOTS: usize = 4;
const CAPACITY: f64 = (SERVERS * SLOTS) as f64;
/// Share of arrivals, mean service time and deadline in milliseconds, by class.
const MIX: [(f64, f64, u32); 4] = [
    (0.20, 20.0, 300),
    (0.30, 20.0, 300),
    (0.35, 200.0, 1500),
    (0.15, 600.0, 15_000),
];
const SIGMA: f64 = 0.5;
const NETWORK: Duration = Duration::from_micros(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Holds one scenario; times are seconds.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    peak: f64,
    from: u64,
    until: u64,
    total: u64,
    slow: f64,
    cut: bool,
    hosts: usize,
    report_ms: u32,
    piggyback: bool,
    hedge: u8,
    client_retries: u32,
    priority: bool,
}

fn scenario(name: &'static str, change: fn(&mut Scenario)) -> Scenario {
    let mut scenario = Scenario {
        name,
        load: 0.8,
        peak: 0.8,
        from: 10,
        until: 30,
        total: 30,
        slow: 1.0,
        cut: false,
        hosts: 9,
        report_ms: 500,
        piggyback: true,
        hedge: 0,
        client_retries: 0,
        priority: true,
    };
    change(&mut scenario);
    scenario
}

fn scenarios() -> [Scenario; 12] {
    [
        scenario("steady-0.8", |_| {}),
        scenario("steady-plain-queue", |s| s.priority = false),
        scenario("slow-3x", |s| s.slow = 3.0),
        scenario("slow-10x", |s| s.slow = 10.0),
        scenario("slow-10x-hedge", |s| (s.slow, s.hedge) = (10.0, 5)),
        scenario("domain-cut", |s| {
            (s.cut, s.load, s.peak) = (true, 0.6, 0.6);
        }),
        scenario("burst-3x-10s", |s| {
            (s.peak, s.until, s.total) = (2.4, 20, 40);
        }),
        scenario("twice-60s", |s| {
            (s.peak, s.until, s.total) = (2.0, 70, 90);
        }),
        scenario("twice-60s-retry", |s| {
            (s.peak, s.until, s.total, s.client_retries) = (2.0, 70, 90, 2);
        }),
        scenario("hosts-40", |s| s.hosts = 40),
        scenario("stale-reports", |s| {
            (s.report_ms, s.piggyback) = (2000, false);
        }),
        scenario("stale-40-hosts", |s| {
            (s.report_ms, s.piggyback, s.hosts) = (2000, false, 40);
        }),
    ]
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
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

struct Server {
    running: Vec<usize>,
    queue: Vec<usize>,
    factor: f64,
    cut: bool,
}

struct Attempt {
    request: usize,
    server: usize,
    started: Option<MonoTime>,
    ran: Duration,
    over: bool,
}

struct Request {
    class: RequestClass,
    host: usize,
    arrived: MonoTime,
    deadline: MonoTime,
    exclude: Vec<ServerId>,
    live: Vec<usize>,
    tries: u32,
    started: bool,
    end: Option<(RequestEnd, MonoTime)>,
}

struct World {
    scenario: Scenario,
    now: MonoTime,
    random: StdRng,
    events: BinaryHeap<Reverse<(MonoTime, usize, Event)>>,
    hosts: Vec<PolicyEngine>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    wakes: Vec<Option<MonoTime>>,
    scheduled: usize,
    useful: Duration,
}

impl World {
    fn new(scenario: Scenario, routing: RoutingPolicy, seed: u64) -> Self {
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
            engine.set_hosts(MonoTime(0), scenario.hosts as u32);
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

    fn after(&mut self, span: Duration, event: Event) {
        self.scheduled += 1;
        let entry = (self.now + span, self.scheduled, event);
        self.events.push(Reverse(entry));
    }

    fn run(&mut self) {
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
                Event::Report => self.report(),
            }
        }
    }

    fn second(&self) -> u64 {
        self.now.0 / 1_000_000
    }

    fn arrive(&mut self) {
        let Scenario {
            from, until, total, ..
        } = self.scenario;
        if self.second() >= total {
            return;
        }
        let load = match (from..until).contains(&self.second()) {
            true => self.scenario.peak,
            false => self.scenario.load,
        };
        let mean: f64 = MIX.iter().map(|(share, millis, _)| share * millis).sum();
        let gap = -(1.0 - self.random.random::<f64>()).ln() * mean / (load * CAPACITY);
        self.after(Duration::from_secs_f64(gap / 1000.0), Event::Arrive);
        let mut draw = self.random.random::<f64>();
        let class = MIX.iter().position(|(share, _, _)| {
            draw -= share;
            draw < 0.0
        });
        self.receive(RequestClass::ALL[class.unwrap_or(3)], 0);
    }

    fn receive(&mut self, class: RequestClass, tries: u32) {
        let at = self.requests.len();
        let host = self.random.random_range(0..self.hosts.len());
        let span = MIX[class.index()].2 * MS;
        let deadline = self.now + span;
        self.requests.push(Request {
            class,
            host,
            arrived: self.now,
            deadline,
            exclude: Vec::new(),
            live: Vec::new(),
            tries,
            started: false,
            end: None,
        });
        self.after(span, Event::Deadline(at));
        let large = self.random.random::<f64>() < 0.9;
        let workspace = if large { "large" } else { "small" };
        let asked = admit_request(at as u128, workspace, class, deadline);
        let decision = self.hosts[host].admit(self.now, &asked);
        self.decide(at, decision);
        self.poll(host);
    }

    fn decide(&mut self, at: usize, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => {
                self.requests[at].started = true;
                self.pick(at, AttemptKind::First);
            }
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.refuse(at, retry_after),
        }
    }

    fn refuse(&mut self, at: usize, retry_after: Duration) {
        let (class, tries) = (self.requests[at].class, self.requests[at].tries);
        self.finish(at, RequestEnd::Refused, AttemptOutcome::Cancelled);
        if tries < self.scenario.client_retries {
            self.after(retry_after, Event::Again(class, tries + 1));
        }
    }

    fn poll(&mut self, host: usize) {
        for notice in self.hosts[host].poll(self.now) {
            self.decide(notice.request.0 as usize, notice.decision);
        }
        let Some(wake) = self.hosts[host].next_wake() else {
            return;
        };
        let wake = wake.max(self.now + MS);
        if self.wakes[host].is_none_or(|earlier| wake < earlier) {
            self.wakes[host] = Some(wake);
            self.after(wake.since(self.now), Event::Wake(host));
        }
    }

    fn wake(&mut self, host: usize) {
        self.wakes[host] = None;
        self.poll(host);
    }

    fn pick(&mut self, at: usize, kind: AttemptKind) {
        let request = &self.requests[at];
        if request.end.is_some() {
            return;
        }
        let question = PickRequest {
            pool: &id("pool"),
            stage: &id(request.class.name()),
            class: request.class,
            model: None,
            prefix: None,
            exclude: &request.exclude,
            deadline: request.deadline,
            later_stages: Duration::ZERO,
        };
        match self.hosts[request.host].pick(self.now, &question) {
            PickDecision::Send(server) => self.send(at, kind, &server),
            _ if kind == AttemptKind::Hedge => {}
            PickDecision::Wait { until } => {
                self.after(until.since(self.now), Event::Pick(at, kind));
            }
            PickDecision::Refuse { retry_after, .. } => self.refuse(at, retry_after),
        }
    }

    fn send(&mut self, at: usize, kind: AttemptKind, server: &ServerId) {
        let attempt = self.attempts.len();
        let place = (0..SERVERS).find(|place| server_name(*place) == *server);
        self.attempts.push(Attempt {
            request: at,
            server: place.expect("a known server"),
            started: None,
            ran: Duration::ZERO,
            over: false,
        });
        let request = &mut self.requests[at];
        request.live.push(attempt);
        let (host, class) = (request.host, request.class);
        let mut told = sent(attempt as u128, at as u128, server, class);
        told.kind = kind;
        self.hosts[host].sent(self.now, &told);
        self.after(NETWORK, Event::Reach(attempt));
        let after = self.hosts[host].hedge_after(&told.pool, &told.stage, class);
        if let Some(after) = after
            && class != RequestClass::Transaction
            && kind == AttemptKind::First
        {
            self.after(after, Event::Hedge(attempt));
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request: at,
            server,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[at];
        if request.end.is_some() || request.live != [attempt] {
            return;
        }
        request.exclude.push(server_name(server));
        if self.hosts[request.host].take_hedge(self.now, &id("pool")) {
            self.pick(at, AttemptKind::Hedge);
        }
    }

    fn reach(&mut self, attempt: usize) {
        let at = self.attempts[attempt].server;
        if self.attempts[attempt].over {
            return;
        }
        let server = &self.servers[at];
        if server.cut {
            let failed = Event::Answer(attempt, AttemptOutcome::Failed);
            return self.after(CONNECT_TIMEOUT, failed);
        }
        if server.queue.len() >= 4 * SLOTS {
            let refused = Event::Answer(attempt, AttemptOutcome::Refused);
            return self.after(NETWORK, refused);
        }
        let class = |attempt: &usize| self.requests[self.attempts[*attempt].request].class;
        let place = match self.scenario.priority {
            true => server
                .queue
                .partition_point(|entry| class(entry) <= class(&attempt)),
            false => server.queue.len(),
        };
        self.servers[at].queue.insert(place, attempt);
        self.serve(at);
    }

    fn serve(&mut self, at: usize) {
        while self.servers[at].running.len() < SLOTS && !self.servers[at].queue.is_empty() {
            let attempt = self.servers[at].queue.remove(0);
            let class = self.requests[self.attempts[attempt].request].class;
            let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
            let mean = MIX[class.index()].1 * self.servers[at].factor;
            let millis = mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
            self.attempts[attempt].started = Some(self.now);
            self.servers[at].running.push(attempt);
            self.after(
                Duration::from_secs_f64(millis / 1000.0),
                Event::Done(attempt),
            );
        }
    }

    /// Takes an attempt off its server.
    fn free(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if std::mem::replace(&mut entry.over, true) {
            return;
        }
        entry.ran = entry
            .started
            .map_or(Duration::ZERO, |at| self.now.since(at));
        let at = entry.server;
        self.servers[at].queue.retain(|entry| *entry != attempt);
        self.servers[at].running.retain(|entry| *entry != attempt);
        self.serve(at);
    }

    fn done(&mut self, attempt: usize) {
        if !self.attempts[attempt].over {
            self.free(attempt);
            self.after(NETWORK, Event::Answer(attempt, AttemptOutcome::Answered));
        }
    }

    fn answer(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Attempt {
            request: at,
            server,
            started,
            ran,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[at];
        if request.end.is_some() || !request.live.contains(&attempt) {
            return;
        }
        request.live.retain(|entry| *entry != attempt);
        request.exclude.push(server_name(server));
        let (host, alone) = (request.host, request.live.is_empty());
        let repeatable = request.class != RequestClass::Transaction || started.is_none();
        self.hosts[host].finished(self.now, AttemptNonce(attempt as u128), outcome);
        if self.scenario.piggyback && !self.servers[server].cut {
            self.tell(host, server);
        }
        if outcome == AttemptOutcome::Answered {
            self.useful += ran;
            self.finish(at, RequestEnd::Attained, AttemptOutcome::Cancelled);
        } else if alone && repeatable && self.hosts[host].take_retry(self.now, &id("pool")) {
            self.pick(at, AttemptKind::Retry);
        } else if alone {
            self.finish(at, RequestEnd::Failed, AttemptOutcome::Cancelled);
        }
        self.poll(host);
    }

    fn give_up(&mut self, at: usize) {
        if self.requests[at].end.is_none() {
            let host = self.requests[at].host;
            self.hosts[host].withdraw(self.now, RequestId(at as u128));
            self.finish(at, RequestEnd::Failed, AttemptOutcome::TimedOut);
        }
    }

    fn finish(&mut self, at: usize, end: RequestEnd, outcome: AttemptOutcome) {
        let host = self.requests[at].host;
        for attempt in std::mem::take(&mut self.requests[at].live) {
            self.free(attempt);
            self.hosts[host].finished(self.now, AttemptNonce(attempt as u128), outcome);
        }
        self.requests[at].end = Some((end, self.now));
        self.hosts[host].request_ended(self.now, RequestId(at as u128), end);
        self.poll(host);
    }

    fn fault(&mut self, on: bool) {
        self.servers[0].factor = if on { self.scenario.slow } else { 1.0 };
        if !self.scenario.cut {
            return;
        }
        for at in (0..SERVERS).step_by(3) {
            self.servers[at].cut = on;
            let server = &self.servers[at];
            for attempt in [&server.running[..], &server.queue[..]].concat() {
                self.free(attempt);
                self.attempts[attempt].started = Some(self.now);
                let failed = Event::Answer(attempt, AttemptOutcome::Failed);
                self.after(CONNECT_TIMEOUT, failed);
            }
        }
    }

    fn tell(&mut self, host: usize, at: usize) {
        let server = &self.servers[at];
        let mut report = report(
            &server_name(at),
            1,
            server.running.len() as u32,
            SLOTS as u32,
        );
        report.queued = server.queue.len() as u32;
        self.hosts[host].report(self.now, &report, NETWORK);
    }

    fn report(&mut self) {
        if self.second() < self.scenario.total {
            for at in 0..SERVERS * self.hosts.len() {
                self.tell(at / SERVERS, at % SERVERS);
            }
            self.after(self.scenario.report_ms * MS, Event::Report);
        }
    }

    /// Returns the part of requests that were attained, of those that pass a test.
    fn attained(&self, test: impl Fn(&Request) -> bool) -> f64 {
        let offered = self.requests.iter().filter(|request| test(request));
        let good = offered
            .clone()
            .filter(|request| is_attained(request))
            .count();
        good as f64 / offered.count().max(1) as f64
    }

    fn measures(&self) -> Vec<f64> {
        let Scenario {
            from, until, total, ..
        } = self.scenario;
        let second = |request: &Request| request.arrived.0 / 1_000_000;
        let mut measures: Vec<f64> = RequestClass::ALL
            .iter()
            .map(|class| 100.0 * self.attained(|request| request.class == *class))
            .collect();
        let window = |request: &&Request| (from..until).contains(&second(request));
        let good = self.requests.iter().filter(|request| is_attained(request));
        let work = good
            .filter(window)
            .map(|request| MIX[request.class.index()].1);
        measures.push(work.sum::<f64>() / 1000.0 / (CAPACITY * (until - from) as f64));
        let started = self
            .requests
            .iter()
            .filter(|request| request.started)
            .count();
        measures.push(self.attempts.len() as f64 / started as f64);
        let busy: Duration = self.attempts.iter().map(|attempt| attempt.ran).sum();
        measures.push(busy.as_secs_f64() / self.useful.as_secs_f64());
        let ends = self
            .requests
            .iter()
            .filter_map(|request| Some((request, request.end?)));
        let refused = ends.filter(|(_, (end, _))| *end == RequestEnd::Refused);
        let at_once = refused
            .clone()
            .filter(|(request, (_, at))| *at == request.arrived);
        measures.push(100.0 * at_once.count() as f64 / refused.count().max(1) as f64);
        let fault = self.scenario.slow > 1.0 || self.scenario.cut;
        let mark = if fault { from } else { until };
        let bad = (mark..total).rfind(|at| self.attained(|request| second(request) == *at) < 0.97);
        measures.push(bad.map_or(0.0, |at| (at + 1 - mark) as f64));
        let pools = self.hosts.iter().flat_map(PolicyEngine::pools);
        measures.push(pools.map(|pool| pool.counters.ejections as f64).sum());
        measures
    }
}

fn is_attained(request: &Request) -> bool {
    matches!(request.end, Some((RequestEnd::Attained, _)))
}

fn print_line(scenario: Scenario, policy: RoutingPolicy) {
    let run = move |seed| {
        let mut world = World::new(scenario, policy, seed);
        world.run();
        world.measures()
    };
    let threads: Vec<_> = (1..=SEEDS)
        .map(|seed| std::thread::spawn(move || run(seed)))
        .collect();
    let runs = threads
        .into_iter()
        .map(|thread| thread.join().expect("a complete run"));
    let runs: Vec<Vec<f64>> = runs.collect();
    let mut line = format!("{} {policy}", scenario.name);
    for at in 0..runs[0].len() {
        let mean = runs.iter().map(|run| run[at]).sum::<f64>() / SEEDS as f64;
        let square: f64 = runs.iter().map(|run| (run[at] - mean).powi(2)).sum();
        let error = T_VALUE * (square / (SEEDS * (SEEDS - 1)) as f64).sqrt();
        line += &format!(" | {mean:.3}±{error:.3}");
    }
    println!("{line}");
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let matches = |at: usize, name: &str| {
        wanted
            .get(at)
            .is_none_or(|wanted| wanted == "all" || wanted == name)
    };
    println!(
        "scenario policy | transaction lookup interactive batch (% attained) | goodput/capacity | \
         attempts/request | cost ratio | refused at once % | recovery s | ejections"
    );
    for scenario in scenarios() {
        for policy in RoutingPolicy::ALL {
            if matches(0, scenario.name) && matches(1, policy.name()) {
                print_line(scenario, policy);
            }
        }
    }
}
