//! Tests of the order machine with two hosts, engines and a table service in virtual time.

#[path = "../../hollywheel-config/tests/simulation/store.rs"]
#[allow(dead_code)]
mod store;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{PublishedSet, read_toml};
use hollywheel_orders::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderInput, OrderMachine, OrderOutput,
    OrderSettings,
};
use hollywheel_store::{StoreFailure, StoreRequest};
use hollywheel_types::{ConfigVersion, FencingNumber, HostId, Incarnation, ModelId, MonoTime};
use store::{CallOutcome, FakeStore};

const LATENCY: Duration = Duration::from_millis(5);
const LATE_EFFECT: Duration = Duration::from_secs(20);

enum What {
    Input(OrderInput),
    Effect(StoreRequest),
    /// An order on its way from a host to an engine.
    Arrive(OrderCall),
}

struct Engine {
    models: Vec<ModelId>,
    incarnation: Incarnation,
    leaving: bool,
    highest: FencingNumber,
    silent: bool,
}

/// An order that an engine accepted.
#[derive(Debug)]
struct Accepted {
    at: MonoTime,
    host: usize,
    server: usize,
    fencing: FencingNumber,
}

struct Bench {
    now: MonoTime,
    machines: Vec<OrderMachine>,
    paused: Vec<Option<MonoTime>>,
    engines: Vec<Engine>,
    checks_fencing: bool,
    store: FakeStore,
    events: Vec<(MonoTime, usize, What)>,
    accepted: Vec<Accepted>,
    refused: usize,
    /// The next so many orders are accepted, but the answers are lost.
    lose_answers: u32,
}

fn host(at: usize) -> HostId {
    format!("host-{at}").parse().unwrap()
}

fn set(version: u64, engines: usize, fencing: bool, models: &[(&str, u32)]) -> Arc<PublishedSet> {
    let mut text = format!(
        "format = 1\n[[pool]]\nname = \"engines\"\nkind = \"engine\"\nslots = 8\nfencing = {fencing}\nmodels = ["
    );
    for (model, replicas) in models {
        text.push_str(&format!(
            "{{ model = \"{model}\", replicas = {replicas} }},"
        ));
    }
    text.push_str("]\nservers = [");
    for at in 0..engines {
        let port = 9000 + at;
        text.push_str(&format!(
            "{{ name = \"engine-{at}\", address = \"127.0.0.1:{port}\", domain = \"medeu\" }},"
        ));
    }
    text.push_str("]\n");
    Arc::new(PublishedSet {
        version: ConfigVersion(version),
        set: read_toml("set", &text).unwrap(),
        ..PublishedSet::default()
    })
}

impl Bench {
    fn new(hosts: usize, engines: usize, fencing: bool, models: &[(&str, u32)]) -> Self {
        let mut bench = Self {
            now: MonoTime::from_millis(1),
            machines: Vec::new(),
            paused: vec![None; hosts],
            engines: Vec::new(),
            checks_fencing: fencing,
            store: FakeStore::default(),
            events: Vec::new(),
            accepted: Vec::new(),
            refused: 0,
            lose_answers: 0,
        };
        for _ in 0..engines {
            bench.engines.push(Engine {
                models: Vec::new(),
                incarnation: Incarnation(1),
                leaving: false,
                highest: FencingNumber(0),
                silent: false,
            });
        }
        for at in 0..hosts {
            let seed = u64::try_from(at).unwrap();
            let mut settings = OrderSettings::new(host(at), Incarnation(1), seed);
            settings.load_rate = hollywheel_types::RequestRate::per_second(1.0);
            bench.machines.push(OrderMachine::new(settings));
        }
        bench.publish(&set(1, engines, fencing, models));
        let all: Vec<HostId> = (0..hosts).map(host).collect();
        for at in 0..hosts {
            bench.input(at, OrderInput::Hosts(all.clone()));
        }
        bench
    }

    fn publish(&mut self, set: &Arc<PublishedSet>) {
        for at in 0..self.machines.len() {
            self.input(at, OrderInput::Config(Arc::clone(set)));
        }
    }

    fn input(&mut self, at: usize, input: OrderInput) {
        for output in self.machines[at].handle(self.now, input) {
            self.take(at, output);
        }
    }

    fn later(&mut self, after: Duration, at: usize, what: What) {
        self.events.push((self.now + after, at, what));
    }

    fn take(&mut self, at: usize, output: OrderOutput) {
        match output {
            OrderOutput::Store { ticket, request } => {
                let lost = Err(StoreFailure::Unknown);
                let result = match self.store.call(&request) {
                    CallOutcome::Reply(result) => result,
                    CallOutcome::ReplyLost => lost,
                    CallOutcome::Delayed => {
                        self.later(LATE_EFFECT, at, What::Effect(request));
                        lost
                    }
                };
                self.later(
                    LATENCY,
                    at,
                    What::Input(OrderInput::Store { ticket, result }),
                );
            }
            OrderOutput::ReadEngine {
                ticket,
                server,
                address,
            } => {
                let engine = &self.engines[usize::from(address.port()) - 9000];
                let report = EngineReport {
                    server,
                    incarnation: engine.incarnation,
                    leaving: engine.leaving,
                    models: engine.models.clone(),
                };
                let report = (!engine.silent).then_some(report);
                self.later(
                    LATENCY,
                    at,
                    What::Input(OrderInput::Report { ticket, report }),
                );
            }
            OrderOutput::Order(call) => self.later(LATENCY, at, What::Arrive(call)),
        }
    }

    /// The host reads its clock right before it sends, after a pause as well.
    fn arrive(&mut self, at: usize, call: OrderCall) {
        let answer = self.answer(at, &call);
        let order = call.order;
        self.later(
            LATENCY,
            at,
            What::Input(OrderInput::Answer { order, answer }),
        );
    }

    fn answer(&mut self, at: usize, call: &OrderCall) -> OrderAnswer {
        if self.now > call.send_before {
            return OrderAnswer::NotSent;
        }
        let server = usize::from(call.address.port()) - 9000;
        let engine = &mut self.engines[server];
        if self.checks_fencing && call.fencing < engine.highest {
            self.refused += 1;
            return OrderAnswer::Stale {
                highest: engine.highest,
            };
        }
        engine.highest = call.fencing.max(engine.highest);
        match &call.action {
            OrderAction::LoadModel(model) => engine.models.push(model.clone()),
            OrderAction::UnloadModel(model) => engine.models.retain(|held| held != model),
        }
        self.accepted.push(Accepted {
            at: self.now,
            host: at,
            server,
            fencing: call.fencing,
        });
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return OrderAnswer::Unknown;
        }
        OrderAnswer::Accepted
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            self.step();
        }
    }

    fn step(&mut self) {
        for at in 0..self.paused.len() {
            if self.paused[at].is_some_and(|until| until <= self.now) {
                self.paused[at] = None;
            }
        }
        let now = self.now;
        let paused = self.paused.clone();
        let ready = |event: &(MonoTime, usize, What)| {
            let host_runs = matches!(event.2, What::Effect(_)) || paused[event.1].is_none();
            event.0 <= now && host_runs
        };
        while let Some(next) = self.events.iter().position(ready) {
            let (_, at, what) = self.events.remove(next);
            match what {
                What::Input(input) => self.input(at, input),
                What::Arrive(call) => self.arrive(at, call),
                What::Effect(StoreRequest::Txn { mode, ops }) => {
                    self.store.apply(mode, &ops);
                }
                What::Effect(_) => {}
            }
        }
        for at in 0..self.machines.len() {
            let due = self.machines[at].next_wake().is_some_and(|due| due <= now);
            if due && self.paused[at].is_none() {
                self.input(at, OrderInput::Tick);
            }
        }
    }

    fn holders(&self, model: &str) -> usize {
        let holds = |engine: &&Engine| engine.models.iter().any(|held| held.as_str() == model);
        self.engines.iter().filter(holds).count()
    }

    fn assert_fencing_rises(&self) {
        for pair in self.accepted.windows(2) {
            assert!(pair[0].fencing <= pair[1].fencing, "{pair:?}");
        }
    }

    /// Tells every host which ones are alive; a paused host hears it after its pause.
    fn alive(&mut self, hosts: &[usize]) {
        let hosts: Vec<HostId> = hosts.iter().map(|at| host(*at)).collect();
        for at in 0..self.machines.len() {
            let input = OrderInput::Hosts(hosts.clone());
            self.later(LATENCY, at, What::Input(input));
        }
    }
}

const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn pool_reaches_what_its_object_asks_for() {
    let mut bench = Bench::new(3, 5, false, &[("rates-7b", 3), ("small-1b", 2)]);
    bench.run(MINUTE);
    assert_eq!(
        (bench.holders("rates-7b"), bench.holders("small-1b")),
        (3, 2)
    );
    assert_eq!(bench.accepted.len(), 5);
    let first = bench.accepted[0].host;
    assert!(bench.accepted.iter().all(|order| order.host == first));
    for pair in bench.accepted.windows(2) {
        let apart = pair[1].at.since(pair[0].at);
        assert!(
            apart >= Duration::from_secs(1),
            "the weight store allows one load a second"
        );
    }
    // Nothing more is written once nothing is needed.
    bench.run(MINUTE);
    let writes = bench.store.writes;
    bench.run(MINUTE);
    assert_eq!(bench.store.writes, writes);

    bench.publish(&set(2, 5, false, &[("rates-7b", 1), ("large-70b", 1)]));
    bench.run(2 * MINUTE);
    let held = ["rates-7b", "small-1b", "large-70b"].map(|model| bench.holders(model));
    assert_eq!(held, [1, 0, 1]);
}

#[test]
fn engine_that_restarts_or_leaves_is_replaced() {
    let mut bench = Bench::new(2, 3, true, &[("rates-7b", 2)]);
    bench.run(MINUTE);
    let lost = bench.accepted[0].server;
    bench.engines[lost].models.clear();
    bench.engines[lost].incarnation = Incarnation(2);
    bench.run(MINUTE);
    assert_eq!(bench.holders("rates-7b"), 2);
    let leaves = bench.accepted[1].server;
    bench.engines[leaves].leaving = true;
    bench.run(MINUTE);
    assert_eq!(
        bench.holders("rates-7b"),
        3,
        "the one that leaves does not count"
    );
}

#[test]
fn silent_engine_stops_unloading() {
    let mut bench = Bench::new(1, 3, true, &[("rates-7b", 1)]);
    for engine in &mut bench.engines {
        engine.models.push("rates-7b".parse().unwrap());
    }
    bench.engines[0].silent = true;
    bench.run(MINUTE);
    assert!(bench.accepted.is_empty());
    bench.engines[0].silent = false;
    bench.run(MINUTE);
    assert_eq!(bench.holders("rates-7b"), 1);
}

#[test]
fn lost_answer_of_an_engine_loads_once() {
    let mut bench = Bench::new(2, 4, false, &[("rates-7b", 2)]);
    bench.lose_answers = 2;
    bench.run(2 * MINUTE);
    assert_eq!(bench.accepted.len(), 2);
    assert_eq!(bench.holders("rates-7b"), 2);
}

#[test]
fn holder_that_pauses_past_its_lease_issues_nothing() {
    for fencing in [false, true] {
        for pause_at in (0..4000).step_by(5) {
            check_pause(fencing, Duration::from_millis(pause_at));
        }
    }
}

/// Pauses the owner at one point of its work, lets another host take over, and wakes it.
fn check_pause(fencing: bool, pause_at: Duration) {
    let mut bench = Bench::new(2, 4, fencing, &[("rates-7b", 2)]);
    bench.checks_fencing = false;
    let owner = owner_of(&bench);
    bench.run(pause_at);
    let wakes = bench.now + 3 * MINUTE;
    bench.paused[owner] = Some(wakes);
    let other = 1 - owner;
    bench.alive(&[other]);
    bench.run(3 * MINUTE + Duration::from_millis(500));
    let late: Vec<_> = bench
        .accepted
        .iter()
        .filter(|order| order.host == owner && order.at >= wakes)
        .collect();
    assert!(late.is_empty(), "paused at {pause_at:?}: {late:?}");
    assert_eq!(bench.holders("rates-7b"), 2, "paused at {pause_at:?}");
    bench.assert_fencing_rises();
}

fn owner_of(bench: &Bench) -> usize {
    let owns = |machine: &OrderMachine| machine.next_wake().is_some();
    bench.machines.iter().position(owns).unwrap()
}

#[test]
fn two_hosts_that_both_think_they_own_a_pool_take_turns() {
    let mut bench = Bench::new(2, 6, false, &[("rates-7b", 4)]);
    // Each host takes itself for the only one alive.
    for at in 0..2 {
        bench.input(at, OrderInput::Hosts(vec![host(at)]));
    }
    bench.run(5 * MINUTE);
    assert_eq!(bench.holders("rates-7b"), 4);
    assert_eq!(bench.accepted.len(), 4, "{:?}", bench.accepted);
    bench.assert_fencing_rises();
}

#[test]
fn lost_and_late_answers_of_the_store_grant_one_lease() {
    for late in [false, true] {
        let mut bench = Bench::new(2, 6, false, &[("rates-7b", 4)]);
        for at in 0..2 {
            bench.input(at, OrderInput::Hosts(vec![host(at)]));
        }
        for _ in 0..20 {
            if late {
                bench.store.delayed_writes = 1;
            } else {
                bench.store.lost_replies = 1;
            }
            bench.run(Duration::from_secs(7));
        }
        bench.run(5 * MINUTE);
        assert_eq!(bench.holders("rates-7b"), 4);
        bench.assert_fencing_rises();
    }
}

#[test]
fn stale_holder_is_refused_and_asks_for_a_larger_number() {
    let mut bench = Bench::new(1, 2, true, &[("rates-7b", 2)]);
    for engine in &mut bench.engines {
        engine.highest = FencingNumber(40);
    }
    bench.run(2 * MINUTE);
    assert!(bench.refused > 0);
    assert_eq!(bench.holders("rates-7b"), 2);
    assert!(
        bench
            .accepted
            .iter()
            .all(|order| order.fencing > FencingNumber(40))
    );
}

#[test]
fn store_outage_stops_orders_and_nothing_else() {
    let mut bench = Bench::new(1, 3, false, &[("rates-7b", 2)]);
    bench.store.down = true;
    bench.run(MINUTE);
    assert!(bench.accepted.is_empty());
    bench.store.down = false;
    bench.run(MINUTE);
    assert_eq!(bench.holders("rates-7b"), 2);
}
