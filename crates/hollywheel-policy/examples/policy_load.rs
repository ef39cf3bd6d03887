//! Runs policies against queue fakes in virtual time and prints what callers get.
//!
//! `cargo run --release -p hollywheel-policy --example policy_load [SCENARIO [POLICY]]`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    ObjectSet, PipelineObject, PoolKind, PoolObject, ServerEntry, StageKind, StageObject,
    TargetObject,
};
use hollywheel_policy::{
    AdmitDecision, AdmitRequest, AttemptKind, AttemptOutcome, PickDecision, PickRequest,
    PolicyEngine, PolicySettings, RequestEnd, RoutingPolicy, SentAttempt, ServerReport,
};
use hollywheel_types::{
    AttemptNonce, Incarnation, MonoTime, Percent, RequestClass, RequestId, ServerId, StageId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 5;
/// Student's t for 95 percent and five seeds.
const T_VALUE: f64 = 2.776;
const SERVERS: usize = 20;
const SLOTS: u32 = 4;
const CAPACITY: f64 = SERVERS as f64 * SLOTS as f64;
/// Share of arrivals, mean service time and deadline in milliseconds, by class.
const MIX: [(f64, f64, u64); 4] = [
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
    lag_ms: u64,
    piggyback: bool,
    hedge: u8,
    client_retries: u32,
    /// Whether servers honour priorities; a plain queue otherwise.
    priority: bool,
}

const BASE: Scenario = Scenario {
    name: "steady-0.8",
    load: 0.8,
    peak: 0.8,
    from: 10,
    until: 30,
    total: 30,
    slow: 1.0,
    cut: false,
    hosts: 9,
    lag_ms: 500,
    piggyback: true,
    hedge: 0,
    client_retries: 0,
    priority: true,
};

fn scenarios() -> Vec<Scenario> {
    let steady = BASE;
    vec![
        steady,
        Scenario {
            name: "steady-plain-queue",
            priority: false,
            ..steady
        },
        Scenario {
            name: "slow-3x",
            slow: 3.0,
            ..steady
        },
        Scenario {
            name: "slow-10x",
            slow: 10.0,
            ..steady
        },
        Scenario {
            name: "slow-10x-hedge",
            slow: 10.0,
            hedge: 5,
            ..steady
        },
        Scenario {
            name: "domain-cut",
            cut: true,
            load: 0.6,
            peak: 0.6,
            ..steady
        },
        Scenario {
            name: "burst-3x-10s",
            peak: 2.4,
            until: 20,
            total: 40,
            ..steady
        },
        Scenario {
            name: "twice-60s",
            peak: 2.0,
            until: 70,
            total: 90,
            ..steady
        },
        Scenario {
            name: "twice-60s-retry",
            peak: 2.0,
            until: 70,
            total: 90,
            client_retries: 2,
            ..steady
        },
        Scenario {
            name: "hosts-40",
            hosts: 40,
            ..steady
        },
        Scenario {
            name: "stale-reports",
            lag_ms: 2000,
            piggyback: false,
            ..steady
        },
        Scenario {
            name: "stale-40-hosts",
            lag_ms: 2000,
            piggyback: false,
            hosts: 40,
            ..steady
        },
    ]
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Again { class: usize, tries: u32 },
    Pick(usize),
    Reach(usize),
    Done(usize),
    Answer(usize, u8),
    Deadline(usize),
    Hedge(usize, usize),
    Wake(usize),
    Fault(bool),
    Report,
}

struct Server {
    name: ServerId,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    factor: f64,
    cut: bool,
}

struct Attempt {
    request: usize,
    server: usize,
    started: Option<MonoTime>,
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
    end: Option<(RequestEnd, MonoTime)>,
}

#[derive(Default)]
struct Tally {
    busy: f64,
    useful: f64,
    attempts: usize,
    started: usize,
}

struct World {
    scenario: Scenario,
    now: MonoTime,
    random: StdRng,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    order: u64,
    hosts: Vec<PolicyEngine>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    stages: Vec<StageId>,
    wakes: Vec<Option<MonoTime>>,
    tally: Tally,
}

fn object_set(hedge: u8) -> ObjectSet {
    let domain = |at: usize| ["medeu", "bostandyk", "alatau"][at % 3];
    let entry = |at: usize| ServerEntry {
        name: format!("server-{at:02}").parse().expect("a name"),
        address: ([127, 0, 0, 1], 4000).into(),
        domain: domain(at).parse().expect("a name"),
    };
    let mut set = ObjectSet::default();
    set.pools.push(PoolObject {
        name: "pool".parse().expect("a name"),
        kind: PoolKind::Service,
        slots: SLOTS,
        fencing: false,
        max_ejected: Percent::new(34),
        retry_budget: Percent::new(10),
        hedge_budget: Percent::new(hedge),
        models: Vec::new(),
        servers: (0..SERVERS).map(entry).collect(),
    });
    for class in RequestClass::ALL {
        let name = class.name();
        set.stages.push(StageObject {
            name: name.parse().expect("a name"),
            kind: StageKind::Call,
            pool: "pool".parse().expect("a name"),
            idempotent: class != RequestClass::Transaction,
            min_ms: 1,
            model: None,
            max_tokens: None,
        });
        set.targets.push(TargetObject {
            name: name.parse().expect("a name"),
            class,
            deadline_ms: MIX[class.index()].2,
            first_token_ms: None,
            token_gap_ms: None,
            attainment: Percent::new(99),
        });
        set.pipelines.push(PipelineObject {
            name: name.parse().expect("a name"),
            stages: vec![name.parse().expect("a name")],
            target: name.parse().expect("a name"),
            workspaces: Vec::new(),
        });
    }
    set.sort();
    set
}

impl World {
    fn new(scenario: Scenario, routing: RoutingPolicy, seed: u64) -> Self {
        let set = Arc::new(object_set(scenario.hedge));
        let host = |at: usize| {
            let mut engine = PolicyEngine::new(PolicySettings {
                host: format!("host-{at}").parse().expect("a name"),
                domain: ["medeu", "bostandyk", "alatau"][at % 3]
                    .parse()
                    .expect("a name"),
                seed: seed * 1000 + at as u64,
                routing,
                ..PolicySettings::default()
            });
            engine.install(MonoTime(0), &set);
            engine.set_hosts(MonoTime(0), scenario.hosts as u32);
            engine
        };
        let server = |at: usize| Server {
            name: set.pools[0].servers[at].name.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            factor: 1.0,
            cut: false,
        };
        let mut world = Self {
            scenario,
            now: MonoTime(0),
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            order: 0,
            hosts: (0..scenario.hosts).map(host).collect(),
            servers: (0..SERVERS).map(server).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            stages: RequestClass::ALL
                .map(|class| class.name().parse().expect("a name"))
                .into(),
            wakes: vec![None; scenario.hosts],
            tally: Tally::default(),
        };
        world.at(MonoTime(0), Event::Arrive);
        world.at(MonoTime(0), Event::Report);
        world.at(
            MonoTime::from_millis(scenario.from * 1000),
            Event::Fault(true),
        );
        world.at(
            MonoTime::from_millis(scenario.until * 1000),
            Event::Fault(false),
        );
        world
    }

    fn at(&mut self, time: MonoTime, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            self.handle(event);
        }
    }

    fn is_over(&self) -> bool {
        self.now >= MonoTime::from_millis(self.scenario.total * 1000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again { class, tries } => self.receive(RequestClass::ALL[class], tries),
            Event::Pick(request) => self.pick(request, AttemptKind::First),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::Answer(attempt, outcome) => self.answer(attempt, outcome),
            Event::Deadline(request) => {
                if self.requests[request].end.is_none() {
                    let id = RequestId(request as u128);
                    let host = self.requests[request].host;
                    self.hosts[host].withdraw(self.now, id);
                    self.finish(request, RequestEnd::Failed, AttemptOutcome::TimedOut);
                }
            }
            Event::Hedge(request, attempt) => self.hedge(request, attempt),
            Event::Wake(host) => {
                self.wakes[host] = None;
                self.poll(host);
            }
            Event::Fault(on) => self.fault(on),
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self) {
        if self.is_over() {
            return;
        }
        let second = self.now.0 / 1_000_000;
        let busy = second >= self.scenario.from && second < self.scenario.until;
        let load = if busy {
            self.scenario.peak
        } else {
            self.scenario.load
        };
        let mean: f64 = MIX.iter().map(|(share, time, _)| share * time).sum();
        let rate = load * CAPACITY / mean * 1000.0;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        let mut draw = self.random.random::<f64>();
        let class = MIX.iter().position(|(share, _, _)| {
            draw -= share;
            draw < 0.0
        });
        self.receive(RequestClass::ALL[class.unwrap_or(3)], 0);
    }

    fn receive(&mut self, class: RequestClass, tries: u32) {
        let request = self.requests.len();
        let host = self.random.random_range(0..self.hosts.len());
        let deadline = self.now + Duration::from_millis(MIX[class.index()].2);
        self.requests.push(Request {
            class,
            host,
            arrived: self.now,
            deadline,
            exclude: Vec::new(),
            live: Vec::new(),
            tries,
            end: None,
        });
        self.at(deadline, Event::Deadline(request));
        let large = self.random.random::<f64>() < 0.9;
        let decision = self.hosts[host].admit(
            self.now,
            &AdmitRequest {
                request: RequestId(request as u128),
                workspace: if large { "large" } else { "small" }
                    .parse()
                    .expect("a name"),
                pipeline: class.name().parse().expect("a name"),
                class,
                deadline,
            },
        );
        self.decide(request, decision);
        self.poll(host);
    }

    fn decide(&mut self, request: usize, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => {
                self.tally.started += 1;
                self.pick(request, AttemptKind::First);
            }
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.refuse(request, retry_after),
        }
    }

    fn refuse(&mut self, request: usize, retry_after: Duration) {
        let (class, tries) = (
            self.requests[request].class.index(),
            self.requests[request].tries,
        );
        self.finish(request, RequestEnd::Refused, AttemptOutcome::Cancelled);
        if tries < self.scenario.client_retries {
            self.at(
                self.now + retry_after,
                Event::Again {
                    class,
                    tries: tries + 1,
                },
            );
        }
    }

    fn poll(&mut self, host: usize) {
        for notice in self.hosts[host].poll(self.now) {
            self.decide(notice.request.0 as usize, notice.decision);
        }
        if let Some(wake) = self.hosts[host].next_wake() {
            let wake = wake.max(self.now + Duration::from_millis(1));
            if self.wakes[host].is_none_or(|earlier| wake < earlier) {
                self.wakes[host] = Some(wake);
                self.at(wake, Event::Wake(host));
            }
        }
    }

    fn pick(&mut self, at: usize, kind: AttemptKind) {
        let request = &self.requests[at];
        if request.end.is_some() {
            return;
        }
        let (class, host) = (request.class, request.host);
        let decision = self.hosts[host].pick(
            self.now,
            &PickRequest {
                pool: &"pool".parse().expect("a name"),
                stage: &self.stages[class.index()],
                class,
                model: None,
                prefix: None,
                exclude: &request.exclude,
                deadline: request.deadline,
                later_stages: Duration::ZERO,
            },
        );
        match decision {
            PickDecision::Send(server) => self.send(at, kind, &server),
            PickDecision::Wait { until } if kind != AttemptKind::Hedge => {
                self.at(until, Event::Pick(at));
            }
            PickDecision::Refuse { retry_after, .. } if kind != AttemptKind::Hedge => {
                self.refuse(at, retry_after);
            }
            _ => {}
        }
    }

    fn send(&mut self, at: usize, kind: AttemptKind, server: &ServerId) {
        let attempt = self.attempts.len();
        let place = self.servers.iter().position(|entry| entry.name == *server);
        let place = place.expect("a known server");
        let request = &mut self.requests[at];
        request.live.push(attempt);
        let (host, class) = (request.host, request.class);
        self.attempts.push(Attempt {
            request: at,
            server: place,
            started: None,
            over: false,
        });
        self.tally.attempts += 1;
        self.hosts[host].sent(
            self.now,
            &SentAttempt {
                nonce: AttemptNonce(attempt as u128),
                request: RequestId(at as u128),
                server: server.clone(),
                pool: "pool".parse().expect("a name"),
                stage: self.stages[class.index()].clone(),
                workspace: "large".parse().expect("a name"),
                class,
                kind,
            },
        );
        self.at(self.now + NETWORK, Event::Reach(attempt));
        let after = self.hosts[host].hedge_after(
            &"pool".parse().expect("a name"),
            &self.stages[class.index()],
            class,
        );
        if let Some(after) = after
            && class != RequestClass::Transaction
            && kind == AttemptKind::First
        {
            self.at(self.now + after, Event::Hedge(at, attempt));
        }
    }

    fn hedge(&mut self, at: usize, attempt: usize) {
        let request = &mut self.requests[at];
        if request.end.is_some() || request.live != [attempt] {
            return;
        }
        let host = request.host;
        request
            .exclude
            .push(self.servers[self.attempts[attempt].server].name.clone());
        if self.hosts[host].take_hedge(self.now, &"pool".parse().expect("a name")) {
            self.pick(at, AttemptKind::Hedge);
        }
    }

    fn reach(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        if self.attempts[attempt].over {
            return;
        }
        if self.servers[server].cut {
            self.at(self.now + CONNECT_TIMEOUT, Event::Answer(attempt, 2));
            return;
        }
        if self.servers[server].queue.len() >= 4 * SLOTS as usize {
            self.at(self.now + NETWORK, Event::Answer(attempt, 1));
            return;
        }
        let class = |attempt: &usize| self.requests[self.attempts[*attempt].request].class;
        let queue = &self.servers[server].queue;
        let place = match self.scenario.priority {
            true => queue.partition_point(|entry| class(entry) <= class(&attempt)),
            false => queue.len(),
        };
        self.servers[server].queue.insert(place, attempt);
        self.serve(server);
    }

    fn serve(&mut self, at: usize) {
        while self.servers[at].running.len() < SLOTS as usize {
            let Some(attempt) = self.servers[at].queue.pop_front() else {
                return;
            };
            let class = self.requests[self.attempts[attempt].request].class;
            let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
            let mean = MIX[class.index()].1 * self.servers[at].factor;
            let millis = mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
            self.attempts[attempt].started = Some(self.now);
            self.servers[at].running.push(attempt);
            self.at(
                self.now + Duration::from_secs_f64(millis / 1000.0),
                Event::Done(attempt),
            );
        }
    }

    /// Takes an attempt off its server and returns the seconds that it ran.
    fn free(&mut self, attempt: usize) -> f64 {
        let at = self.attempts[attempt].server;
        self.attempts[attempt].over = true;
        self.servers[at].queue.retain(|entry| *entry != attempt);
        self.servers[at].running.retain(|entry| *entry != attempt);
        let started = self.attempts[attempt].started.take();
        let ran = started.map_or(0.0, |started| self.now.since(started).as_secs_f64());
        self.tally.busy += ran;
        self.serve(at);
        ran
    }

    fn done(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.at(self.now + NETWORK, Event::Answer(attempt, 0));
        let ran = self.free(attempt);
        self.attempts[attempt].started = Some(self.now - Duration::from_secs_f64(ran));
    }

    fn answer(&mut self, attempt: usize, outcome: u8) {
        let (at, place) = (
            self.attempts[attempt].request,
            self.attempts[attempt].server,
        );
        let host = self.requests[at].host;
        if self.requests[at].end.is_some() || !self.requests[at].live.contains(&attempt) {
            return;
        }
        self.requests[at].live.retain(|entry| *entry != attempt);
        let outcomes = [
            AttemptOutcome::Answered,
            AttemptOutcome::Refused,
            AttemptOutcome::Failed,
        ];
        let outcome = outcomes[usize::from(outcome)];
        self.hosts[host].finished(self.now, AttemptNonce(attempt as u128), outcome);
        if self.scenario.piggyback && !self.servers[place].cut {
            let report = self.load_of(place);
            self.hosts[host].report(self.now, &report, NETWORK);
        }
        if outcome == AttemptOutcome::Answered {
            let started = self.attempts[attempt].started.unwrap_or(self.now);
            self.tally.useful += (self.now - NETWORK).since(started).as_secs_f64();
            self.finish(at, RequestEnd::Attained, AttemptOutcome::Cancelled);
            return;
        }
        self.requests[at]
            .exclude
            .push(self.servers[place].name.clone());
        let sent_in_full = self.attempts[attempt].started.is_some();
        let repeatable = self.requests[at].class != RequestClass::Transaction || !sent_in_full;
        if !self.requests[at].live.is_empty() {
            return;
        }
        if repeatable && self.hosts[host].take_retry(self.now, &"pool".parse().expect("a name")) {
            self.pick(at, AttemptKind::Retry);
        } else {
            self.finish(at, RequestEnd::Failed, AttemptOutcome::Cancelled);
        }
        self.poll(host);
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
            let lost: Vec<usize> = self.servers[at]
                .running
                .iter()
                .chain(&self.servers[at].queue)
                .copied()
                .collect();
            for attempt in lost {
                self.free(attempt);
                self.attempts[attempt].started = Some(self.now);
                self.at(self.now + CONNECT_TIMEOUT, Event::Answer(attempt, 2));
            }
        }
    }

    fn load_of(&self, at: usize) -> ServerReport {
        let server = &self.servers[at];
        ServerReport {
            server: server.name.clone(),
            incarnation: Incarnation(1),
            running: server.running.len() as u32,
            queued: server.queue.len() as u32,
            slots: SLOTS,
            leaving: false,
            models: Vec::new(),
            prefixes: Vec::new(),
        }
    }

    fn report(&mut self) {
        if self.is_over() {
            return;
        }
        // A report is as old on arrival as the lag; reports come once each lag.
        for at in 0..SERVERS {
            let report = self.load_of(at);
            for host in &mut self.hosts {
                host.report(self.now, &report, Duration::ZERO);
            }
        }
        self.at(
            self.now + Duration::from_millis(self.scenario.lag_ms),
            Event::Report,
        );
    }

    fn measures(&self) -> Vec<f64> {
        let scenario = &self.scenario;
        let mut measures = Vec::new();
        let attained = |request: &&Request| matches!(request.end, Some((RequestEnd::Attained, _)));
        for class in RequestClass::ALL {
            let offered = self
                .requests
                .iter()
                .filter(|request| request.class == class);
            let good = offered.clone().filter(attained).count();
            measures.push(100.0 * good as f64 / offered.count() as f64);
        }
        let second = |request: &Request| request.arrived.0 / 1_000_000;
        let window =
            |request: &&Request| (scenario.from..scenario.until).contains(&second(request));
        let work: f64 = self
            .requests
            .iter()
            .filter(window)
            .filter(attained)
            .map(|request| MIX[request.class.index()].1 / 1000.0)
            .sum();
        measures.push(work / (CAPACITY * (scenario.until - scenario.from) as f64));
        measures.push(self.tally.attempts as f64 / self.tally.started.max(1) as f64);
        measures.push(self.tally.busy / self.tally.useful);
        let refused = self
            .requests
            .iter()
            .filter_map(|request| match request.end {
                Some((RequestEnd::Refused, at)) => Some(at.since(request.arrived)),
                _ => None,
            });
        let at_once = refused.clone().filter(Duration::is_zero).count();
        measures.push(100.0 * at_once as f64 / refused.count().max(1) as f64);
        let fault = scenario.slow > 1.0 || scenario.cut;
        let mark = if fault { scenario.from } else { scenario.until };
        let bad = (mark..scenario.total).rfind(|at| {
            let offered = self
                .requests
                .iter()
                .filter(|request| second(request) == *at);
            let good = offered.clone().filter(attained).count();
            (good as f64) < 0.97 * offered.count() as f64
        });
        measures.push(bad.map_or(0.0, |at| (at + 1 - mark) as f64));
        let ejections: u64 = self
            .hosts
            .iter()
            .flat_map(PolicyEngine::pools)
            .map(|pool| pool.counters.ejections)
            .sum();
        measures.push(ejections as f64);
        measures
    }
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    println!(
        "scenario policy | transaction lookup interactive batch (% attained) | goodput/capacity | attempts/request | cost ratio | refused at once % | recovery s | ejections"
    );
    for scenario in scenarios() {
        if wanted
            .first()
            .is_some_and(|name| name != "all" && name != scenario.name)
        {
            continue;
        }
        for policy in RoutingPolicy::ALL {
            if wanted.get(1).is_some_and(|name| name != policy.name()) {
                continue;
            }
            let seed_run = |seed| {
                let mut world = World::new(scenario, policy, seed);
                world.run();
                world.measures()
            };
            let columns: Vec<Vec<f64>> = std::thread::scope(|scope| {
                let runs: Vec<_> = (1..=SEEDS)
                    .map(|seed| scope.spawn(move || seed_run(seed)))
                    .collect();
                runs.into_iter()
                    .map(|run| run.join().expect("a complete run"))
                    .collect()
            });
            let mut line = format!("{} {}", scenario.name, policy.name());
            for at in 0..columns[0].len() {
                let mean = columns.iter().map(|column| column[at]).sum::<f64>() / SEEDS as f64;
                let square = columns
                    .iter()
                    .map(|column| (column[at] - mean).powi(2))
                    .sum::<f64>();
                let error = T_VALUE * (square / (SEEDS as f64 * (SEEDS - 1) as f64)).sqrt();
                line += &format!(" | {mean:.3}±{error:.3}");
            }
            println!("{line}");
        }
    }
}
