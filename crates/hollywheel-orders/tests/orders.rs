//! Tests of the order state machine with several hosts, engines and a table service in virtual
//! time.

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
const LATE_WRITE_DELAY: Duration = Duration::from_secs(20);

enum EventKind {
    Input(OrderInput),
    LateWrite(StoreRequest),
    /// A host is about to send an order to an engine.
    SendOrder(OrderCall),
}

struct Engine {
    models: Vec<ModelId>,
    incarnation: Incarnation,
    leaving: bool,
    highest: FencingNumber,
    unreachable: bool,
}

/// An order that an engine accepted.
#[derive(Debug)]
struct AcceptedOrder {
    time: MonoTime,
    host: usize,
    server: usize,
    fencing: FencingNumber,
}

struct Simulation {
    now: MonoTime,
    machines: Vec<OrderMachine>,
    paused: Vec<Option<MonoTime>>,
    engines: Vec<Engine>,
    checks_fencing: bool,
    store: FakeStore,
    events: Vec<(MonoTime, usize, EventKind)>,
    accepted: Vec<AcceptedOrder>,
    rejected: usize,
    /// The number of further orders that are accepted but whose answers are lost.
    lose_answers: u32,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn published_set(
    version: u64,
    engines: usize,
    fencing: bool,
    models: &[(&str, u32)],
) -> Arc<PublishedSet> {
    let mut text = format!(
        "format = 1\n[[pool]]\nname = \"engines\"\nkind = \"engine\"\nslots = 8\nfencing = {fencing}\nmodels = ["
    );
    for (model, replicas) in models {
        text.push_str(&format!(
            "{{ model = \"{model}\", replicas = {replicas} }},"
        ));
    }
    text.push_str("]\nservers = [");
    for index in 0..engines {
        let port = 9000 + index;
        text.push_str(&format!(
            "{{ name = \"engine-{index}\", address = \"127.0.0.1:{port}\", domain = \"medeu\" }},"
        ));
    }
    text.push_str("]\n");
    Arc::new(PublishedSet {
        version: ConfigVersion(version),
        set: read_toml("set", &text).unwrap(),
        ..PublishedSet::default()
    })
}

impl Simulation {
    fn new(hosts: usize, engines: usize, fencing: bool, models: &[(&str, u32)]) -> Self {
        let mut simulation = Self {
            now: MonoTime::from_millis(1),
            machines: Vec::new(),
            paused: vec![None; hosts],
            engines: Vec::new(),
            checks_fencing: fencing,
            store: FakeStore::default(),
            events: Vec::new(),
            accepted: Vec::new(),
            rejected: 0,
            lose_answers: 0,
        };
        for _ in 0..engines {
            simulation.engines.push(Engine {
                models: Vec::new(),
                incarnation: Incarnation(1),
                leaving: false,
                highest: FencingNumber(0),
                unreachable: false,
            });
        }
        for index in 0..hosts {
            let seed = u64::try_from(index).unwrap();
            let mut settings = OrderSettings::new(host(index), Incarnation(1), seed);
            settings.load_rate = hollywheel_types::RequestRate::per_second(1.0);
            simulation.machines.push(OrderMachine::new(settings));
        }
        simulation.publish(&published_set(1, engines, fencing, models));
        let all: Vec<HostId> = (0..hosts).map(host).collect();
        for index in 0..hosts {
            simulation.input(index, OrderInput::Hosts(all.clone()));
        }
        simulation
    }

    fn publish(&mut self, set: &Arc<PublishedSet>) {
        for index in 0..self.machines.len() {
            self.input(index, OrderInput::Config(Arc::clone(set)));
        }
    }

    fn input(&mut self, index: usize, input: OrderInput) {
        for output in self.machines[index].handle(self.now, input) {
            self.handle_output(index, output);
        }
    }

    fn schedule(&mut self, after: Duration, index: usize, kind: EventKind) {
        self.events.push((self.now + after, index, kind));
    }

    fn handle_output(&mut self, index: usize, output: OrderOutput) {
        match output {
            OrderOutput::Store { ticket, request } => {
                let lost = Err(StoreFailure::Unknown);
                let result = match self.store.call(&request) {
                    CallOutcome::Reply(result) => result,
                    CallOutcome::ReplyLost => lost,
                    CallOutcome::Delayed => {
                        self.schedule(LATE_WRITE_DELAY, index, EventKind::LateWrite(request));
                        lost
                    }
                };
                self.schedule(
                    LATENCY,
                    index,
                    EventKind::Input(OrderInput::Store { ticket, result }),
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
                let report = (!engine.unreachable).then_some(report);
                self.schedule(
                    LATENCY,
                    index,
                    EventKind::Input(OrderInput::Report { ticket, report }),
                );
            }
            OrderOutput::Order(call) => self.schedule(LATENCY, index, EventKind::SendOrder(call)),
        }
    }

    /// Sends an order as a host does: it checks the clock right before sending, so also after a
    /// pause.
    fn send_order(&mut self, index: usize, call: OrderCall) {
        let answer = self.deliver_order(index, &call);
        let order = call.order;
        self.schedule(
            LATENCY,
            index,
            EventKind::Input(OrderInput::Answer { order, answer }),
        );
    }

    fn deliver_order(&mut self, index: usize, call: &OrderCall) -> OrderAnswer {
        if self.now > call.send_before {
            return OrderAnswer::NotSent;
        }
        let server = usize::from(call.address.port()) - 9000;
        let engine = &mut self.engines[server];
        if self.checks_fencing && call.fencing < engine.highest {
            self.rejected += 1;
            return OrderAnswer::Stale {
                highest: engine.highest,
            };
        }
        engine.highest = call.fencing.max(engine.highest);
        match &call.action {
            OrderAction::LoadModel(model) => engine.models.push(model.clone()),
            OrderAction::UnloadModel(model) => engine.models.retain(|held| held != model),
        }
        self.accepted.push(AcceptedOrder {
            time: self.now,
            host: index,
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
        for index in 0..self.paused.len() {
            if self.paused[index].is_some_and(|until| until <= self.now) {
                self.paused[index] = None;
            }
        }
        let now = self.now;
        let paused = self.paused.clone();
        let ready = |event: &(MonoTime, usize, EventKind)| {
            let host_runs = matches!(event.2, EventKind::LateWrite(_)) || paused[event.1].is_none();
            event.0 <= now && host_runs
        };
        while let Some(next) = self.events.iter().position(ready) {
            let (_, index, kind) = self.events.remove(next);
            match kind {
                EventKind::Input(input) => self.input(index, input),
                EventKind::SendOrder(call) => self.send_order(index, call),
                EventKind::LateWrite(StoreRequest::Txn { mode, ops }) => {
                    self.store.apply(mode, &ops);
                }
                EventKind::LateWrite(_) => {}
            }
        }
        for index in 0..self.machines.len() {
            let due = self.machines[index]
                .next_wake()
                .is_some_and(|due| due <= now);
            if due && self.paused[index].is_none() {
                self.input(index, OrderInput::Tick);
            }
        }
    }

    fn replica_count(&self, model: &str) -> usize {
        let holds = |engine: &&Engine| engine.models.iter().any(|held| held.as_str() == model);
        self.engines.iter().filter(holds).count()
    }

    fn assert_fencing_rises(&self) {
        for pair in self.accepted.windows(2) {
            assert!(pair[0].fencing <= pair[1].fencing, "{pair:?}");
        }
    }

    /// Tells every host which hosts are alive; a paused host learns it after its pause.
    fn announce_alive_hosts(&mut self, hosts: &[usize]) {
        let hosts: Vec<HostId> = hosts.iter().map(|index| host(*index)).collect();
        for index in 0..self.machines.len() {
            let input = OrderInput::Hosts(hosts.clone());
            self.schedule(LATENCY, index, EventKind::Input(input));
        }
    }
}

const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn pool_converges_to_its_configuration() {
    let mut simulation = Simulation::new(3, 5, false, &[("rates-7b", 3), ("small-1b", 2)]);
    simulation.run(MINUTE);
    assert_eq!(
        (
            simulation.replica_count("rates-7b"),
            simulation.replica_count("small-1b")
        ),
        (3, 2)
    );
    assert_eq!(simulation.accepted.len(), 5);
    let first = simulation.accepted[0].host;
    assert!(simulation.accepted.iter().all(|order| order.host == first));
    for pair in simulation.accepted.windows(2) {
        let apart = pair[1].time.since(pair[0].time);
        assert!(
            apart >= Duration::from_secs(1),
            "the weight store allows one load a second"
        );
    }
    // Once the pool needs no change, nothing more is written.
    simulation.run(MINUTE);
    let writes = simulation.store.writes;
    simulation.run(MINUTE);
    assert_eq!(simulation.store.writes, writes);

    simulation.publish(&published_set(
        2,
        5,
        false,
        &[("rates-7b", 1), ("large-70b", 1)],
    ));
    simulation.run(2 * MINUTE);
    let held = ["rates-7b", "small-1b", "large-70b"].map(|model| simulation.replica_count(model));
    assert_eq!(held, [1, 0, 1]);
}

#[test]
fn models_of_restarted_or_leaving_engines_are_loaded_again() {
    let mut simulation = Simulation::new(2, 3, true, &[("rates-7b", 2)]);
    simulation.run(MINUTE);
    let lost = simulation.accepted[0].server;
    simulation.engines[lost].models.clear();
    simulation.engines[lost].incarnation = Incarnation(2);
    simulation.run(MINUTE);
    assert_eq!(simulation.replica_count("rates-7b"), 2);
    let leaves = simulation.accepted[1].server;
    simulation.engines[leaves].leaving = true;
    simulation.run(MINUTE);
    assert_eq!(
        simulation.replica_count("rates-7b"),
        3,
        "the one that leaves does not count"
    );
}

#[test]
fn nothing_is_unloaded_while_an_engine_is_unreachable() {
    let mut simulation = Simulation::new(1, 3, true, &[("rates-7b", 1)]);
    for engine in &mut simulation.engines {
        engine.models.push("rates-7b".parse().unwrap());
    }
    simulation.engines[0].unreachable = true;
    simulation.run(MINUTE);
    assert!(simulation.accepted.is_empty());
    simulation.engines[0].unreachable = false;
    simulation.run(MINUTE);
    assert_eq!(simulation.replica_count("rates-7b"), 1);
}

#[test]
fn load_whose_answer_is_lost_is_not_repeated() {
    let mut simulation = Simulation::new(2, 4, false, &[("rates-7b", 2)]);
    simulation.lose_answers = 2;
    simulation.run(2 * MINUTE);
    assert_eq!(simulation.accepted.len(), 2);
    assert_eq!(simulation.replica_count("rates-7b"), 2);
}

#[test]
fn holder_paused_past_its_lease_sends_no_order() {
    for fencing in [false, true] {
        for pause_at in (0..4000).step_by(5) {
            check_pause(fencing, Duration::from_millis(pause_at));
        }
    }
}

/// Pauses the owner of the pool at one point of its work, lets another host take over, and
/// resumes the owner.
fn check_pause(fencing: bool, pause_at: Duration) {
    let mut simulation = Simulation::new(2, 4, fencing, &[("rates-7b", 2)]);
    simulation.checks_fencing = false;
    let owner = owner_of(&simulation);
    simulation.run(pause_at);
    let wakes = simulation.now + 3 * MINUTE;
    simulation.paused[owner] = Some(wakes);
    let other = 1 - owner;
    simulation.announce_alive_hosts(&[other]);
    simulation.run(3 * MINUTE + Duration::from_millis(500));
    let late: Vec<_> = simulation
        .accepted
        .iter()
        .filter(|order| order.host == owner && order.time >= wakes)
        .collect();
    assert!(late.is_empty(), "paused at {pause_at:?}: {late:?}");
    assert_eq!(
        simulation.replica_count("rates-7b"),
        2,
        "paused at {pause_at:?}"
    );
    simulation.assert_fencing_rises();
}

fn owner_of(simulation: &Simulation) -> usize {
    let owns = |machine: &OrderMachine| machine.next_wake().is_some();
    simulation.machines.iter().position(owns).unwrap()
}

#[test]
fn two_hosts_that_both_claim_a_pool_issue_no_duplicate_orders() {
    let mut simulation = Simulation::new(2, 6, false, &[("rates-7b", 4)]);
    // Each host considers itself the only one alive.
    for index in 0..2 {
        simulation.input(index, OrderInput::Hosts(vec![host(index)]));
    }
    simulation.run(5 * MINUTE);
    assert_eq!(simulation.replica_count("rates-7b"), 4);
    assert_eq!(simulation.accepted.len(), 4, "{:?}", simulation.accepted);
    simulation.assert_fencing_rises();
}

#[test]
fn lost_and_late_store_replies_grant_no_second_lease() {
    for late in [false, true] {
        let mut simulation = Simulation::new(2, 6, false, &[("rates-7b", 4)]);
        for index in 0..2 {
            simulation.input(index, OrderInput::Hosts(vec![host(index)]));
        }
        for _ in 0..20 {
            if late {
                simulation.store.delayed_writes = 1;
            } else {
                simulation.store.lost_replies = 1;
            }
            simulation.run(Duration::from_secs(7));
        }
        simulation.run(5 * MINUTE);
        assert_eq!(simulation.replica_count("rates-7b"), 4);
        simulation.assert_fencing_rises();
    }
}

#[test]
fn rejected_holder_takes_a_larger_fencing_number() {
    let mut simulation = Simulation::new(1, 2, true, &[("rates-7b", 2)]);
    for engine in &mut simulation.engines {
        engine.highest = FencingNumber(40);
    }
    simulation.run(2 * MINUTE);
    assert!(simulation.rejected > 0);
    assert_eq!(simulation.replica_count("rates-7b"), 2);
    assert!(
        simulation
            .accepted
            .iter()
            .all(|order| order.fencing > FencingNumber(40))
    );
}

#[test]
fn orders_stop_during_a_store_outage_and_resume_after_it() {
    let mut simulation = Simulation::new(1, 3, false, &[("rates-7b", 2)]);
    simulation.store.down = true;
    simulation.run(MINUTE);
    assert!(simulation.accepted.is_empty());
    simulation.store.down = false;
    simulation.run(MINUTE);
    assert_eq!(simulation.replica_count("rates-7b"), 2);
}
