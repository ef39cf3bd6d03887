//! A simulation of many hosts running the membership state machine, in virtual time.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_membership::{
    ListedHost, MemberInput, MemberMachine, MemberMessage, MemberOutput, MemberRecord,
    MemberSettings, MemberState,
};
use hollywheel_types::{ConfigVersion, HostId, Incarnation, MonoTime, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FIRST_PORT: usize = 10_000;
const DOMAINS: [&str; 3] = ["medeu", "bostandyk", "alatau"];

pub fn host_id(index: usize) -> HostId {
    format!("{}-entry-{index}", DOMAINS[index % 3])
        .parse()
        .unwrap()
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(FIRST_PORT + index).unwrap()))
}

pub fn settings(index: usize, incarnation: u64, seed: u64) -> MemberSettings {
    MemberSettings::new(
        host_id(index),
        Incarnation(incarnation),
        DOMAINS[index % 3].parse().unwrap(),
        "almaty".parse().unwrap(),
        address(index),
        seed * 1000 + u64::try_from(index).unwrap(),
    )
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    time: MonoTime,
    order: u64,
    host: usize,
    message: Option<usize>,
}

/// The outputs of a host's state machine other than messages.
#[derive(Default)]
pub struct HostOutputs {
    pub servers: Vec<(MonoTime, ServerId)>,
    pub fetches: Vec<(MonoTime, SocketAddr, ConfigVersion)>,
    pub published: Vec<(MonoTime, ConfigVersion)>,
    pub superseded: bool,
}

pub struct Fleet {
    pub now: MonoTime,
    pub machines: Vec<Option<MemberMachine>>,
    pub host_outputs: Vec<HostOutputs>,
    pub paused: Vec<Option<MonoTime>>,
    /// The network partition of each host; hosts in different partitions can't reach one another.
    pub partitions: Vec<u32>,
    pub loss_rate: f64,
    pub messages: u64,
    pub bytes: u64,
    pub message_size: fn(&MemberMessage) -> usize,
    /// Whether a host installs a configuration version as soon as it learns of a peer that has it.
    pub install_fetched: bool,
    random: StdRng,
    events: BinaryHeap<Reverse<Event>>,
    in_flight: Vec<Option<(SocketAddr, MemberMessage)>>,
    free_slots: Vec<usize>,
    order: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: MonoTime::default(),
            machines: Vec::new(),
            host_outputs: Vec::new(),
            paused: vec![None; hosts],
            partitions: vec![0; hosts],
            loss_rate: 0.0,
            messages: 0,
            bytes: 0,
            message_size: |_| 0,
            install_fetched: false,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            in_flight: Vec::new(),
            free_slots: Vec::new(),
            order: 0,
            seed,
        };
        for index in 0..hosts {
            fleet.machines.push(None);
            fleet.host_outputs.push(HostOutputs::default());
            fleet.start(index, 1);
        }
        let host_list = fleet.host_list();
        for index in 0..hosts {
            fleet.input(index, MemberInput::HostList(host_list.clone()));
        }
        fleet
    }

    /// Returns the full host list with no host marked as leaving.
    pub fn host_list(&self) -> Vec<ListedHost> {
        (0..self.partitions.len())
            .map(|index| ListedHost {
                host: host_id(index),
                address: address(index),
                domain: DOMAINS[index % 3].parse().unwrap(),
                region: "almaty".parse().unwrap(),
                leaving: false,
            })
            .collect()
    }

    pub fn start(&mut self, index: usize, incarnation: u64) {
        let machine = MemberMachine::new(settings(index, incarnation, self.seed + incarnation));
        self.machines[index] = Some(machine);
        self.input(index, MemberInput::Tick);
    }

    pub fn stop(&mut self, index: usize) {
        self.machines[index] = None;
    }

    pub fn machine(&self, index: usize) -> &MemberMachine {
        self.machines[index].as_ref().unwrap()
    }

    pub fn input(&mut self, index: usize, input: MemberInput) {
        let Some(machine) = &mut self.machines[index] else {
            return;
        };
        let outputs = machine.handle(self.now, input);
        let wake = machine.next_wake();
        for output in outputs {
            self.handle_output(index, output);
        }
        if let Some(wake) = wake {
            self.schedule(wake.max(self.now + Duration::from_micros(1)), index, None);
        }
    }

    fn schedule(&mut self, time: MonoTime, host: usize, message: Option<usize>) {
        self.order += 1;
        self.events.push(Reverse(Event {
            time,
            order: self.order,
            host,
            message,
        }));
    }

    fn handle_output(&mut self, index: usize, output: MemberOutput) {
        let now = self.now;
        match output {
            MemberOutput::Send { to, message } => self.send(index, to, message),
            MemberOutput::HostsChanged(_) => {}
            MemberOutput::ServerLeaving(server) => {
                self.host_outputs[index].servers.push((now, server))
            }
            MemberOutput::FetchConfig { from, version } => {
                self.host_outputs[index].fetches.push((now, from, version));
                if self.install_fetched {
                    self.input(index, MemberInput::ConfigInForce(version));
                }
            }
            MemberOutput::ConfigPublished(version) => {
                self.host_outputs[index].published.push((now, version))
            }
            MemberOutput::Superseded { .. } => self.host_outputs[index].superseded = true,
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: MemberMessage) {
        self.messages += 1;
        self.bytes += u64::try_from((self.message_size)(&message)).unwrap();
        let target = usize::from(to.port()) - FIRST_PORT;
        if self.partitions[target] != self.partitions[index]
            || self.random.random_bool(self.loss_rate)
        {
            return;
        }
        let latency = Duration::from_micros(self.random.random_range(300..900));
        let envelope = (address(index), message);
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.in_flight[slot] = Some(envelope);
                slot
            }
            None => {
                self.in_flight.push(Some(envelope));
                self.in_flight.len() - 1
            }
        };
        self.schedule(self.now + latency, target, Some(slot));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|next| next.0.time <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until a condition holds and returns the elapsed time, or `None` if the limit passes.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now.since(start))
    }

    fn step(&mut self) {
        let Some(Reverse(event)) = self.events.pop() else {
            return;
        };
        self.now = event.time.max(self.now);
        if let Some(until) = self.paused[event.host] {
            if self.now < until {
                self.schedule(until, event.host, event.message);
                return;
            }
            self.paused[event.host] = None;
        }
        let Some(slot) = event.message else {
            let due = self.machines[event.host]
                .as_ref()
                .and_then(MemberMachine::next_wake)
                .is_some_and(|wake| wake <= self.now);
            if due {
                self.input(event.host, MemberInput::Tick);
            }
            return;
        };
        let (from, message) = self.in_flight[slot].take().unwrap();
        self.free_slots.push(slot);
        self.input(event.host, MemberInput::Message { from, message });
    }

    pub fn record(&self, index: usize, of: usize) -> Option<MemberRecord> {
        let machine = self.machines[index].as_ref()?;
        machine.record(&host_id(of)).cloned()
    }

    pub fn state(&self, index: usize, of: usize) -> Option<MemberState> {
        self.record(index, of).map(|record| record.state)
    }

    /// Returns the number of hosts that one host considers alive.
    pub fn alive_count_at(&self, index: usize) -> usize {
        let alive =
            |r: &&MemberRecord| matches!(r.state, MemberState::Alive | MemberState::Suspect);
        self.machine(index).iter().filter(alive).count()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|index| self.machines[*index].is_some())
            .collect()
    }

    /// Returns whether every running host considers exactly `count` hosts alive.
    pub fn all_count_alive(&self, count: usize) -> bool {
        self.running()
            .into_iter()
            .all(|index| self.alive_count_at(index) == count)
    }

    /// Returns whether every other running host holds host `of` in a state.
    pub fn all_report_state(&self, of: usize, state: MemberState) -> bool {
        self.running()
            .into_iter()
            .filter(|index| *index != of)
            .all(|index| self.state(index, of) == Some(state))
    }
}
