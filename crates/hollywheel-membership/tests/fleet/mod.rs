//! A fleet of membership machines in virtual time.
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

pub fn host_id(at: usize) -> HostId {
    format!("{}-entry-{at}", DOMAINS[at % 3]).parse().unwrap()
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(FIRST_PORT + at).unwrap()))
}

pub fn settings(at: usize, incarnation: u64, seed: u64) -> MemberSettings {
    MemberSettings::new(
        host_id(at),
        Incarnation(incarnation),
        DOMAINS[at % 3].parse().unwrap(),
        "almaty".parse().unwrap(),
        address(at),
        seed * 1000 + u64::try_from(at).unwrap(),
    )
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    at: MonoTime,
    order: u64,
    host: usize,
    message: Option<usize>,
}

/// What a host was told by its machine.
#[derive(Default)]
pub struct Told {
    pub servers: Vec<(MonoTime, ServerId)>,
    pub fetches: Vec<(MonoTime, SocketAddr, ConfigVersion)>,
    pub published: Vec<(MonoTime, ConfigVersion)>,
    pub superseded: bool,
}

pub struct Fleet {
    pub now: MonoTime,
    pub machines: Vec<Option<MemberMachine>>,
    pub told: Vec<Told>,
    pub paused: Vec<Option<MonoTime>>,
    /// Hosts in different groups can't reach one another.
    pub groups: Vec<u32>,
    pub loss: f64,
    pub messages: u64,
    pub bytes: u64,
    pub size: fn(&MemberMessage) -> usize,
    /// The version that a host installs as soon as it hears of a peer that has it.
    pub install: bool,
    random: StdRng,
    queue: BinaryHeap<Reverse<Event>>,
    mail: Vec<Option<(SocketAddr, MemberMessage)>>,
    free: Vec<usize>,
    order: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: MonoTime::default(),
            machines: Vec::new(),
            told: Vec::new(),
            paused: vec![None; hosts],
            groups: vec![0; hosts],
            loss: 0.0,
            messages: 0,
            bytes: 0,
            size: |_| 0,
            install: false,
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            mail: Vec::new(),
            free: Vec::new(),
            order: 0,
            seed,
        };
        for at in 0..hosts {
            fleet.machines.push(None);
            fleet.told.push(Told::default());
            fleet.start(at, 1);
        }
        let list = fleet.list();
        for at in 0..hosts {
            fleet.input(at, MemberInput::HostList(list.clone()));
        }
        fleet
    }

    /// The whole host list, every host live.
    pub fn list(&self) -> Vec<ListedHost> {
        (0..self.groups.len())
            .map(|at| ListedHost {
                host: host_id(at),
                address: address(at),
                domain: DOMAINS[at % 3].parse().unwrap(),
                region: "almaty".parse().unwrap(),
                leaving: false,
            })
            .collect()
    }

    pub fn start(&mut self, at: usize, incarnation: u64) {
        let machine = MemberMachine::new(settings(at, incarnation, self.seed + incarnation));
        self.machines[at] = Some(machine);
        self.input(at, MemberInput::Tick);
    }

    pub fn stop(&mut self, at: usize) {
        self.machines[at] = None;
    }

    pub fn machine(&self, at: usize) -> &MemberMachine {
        self.machines[at].as_ref().unwrap()
    }

    pub fn input(&mut self, at: usize, input: MemberInput) {
        let Some(machine) = &mut self.machines[at] else {
            return;
        };
        let outputs = machine.handle(self.now, input);
        let wake = machine.next_wake();
        for output in outputs {
            self.take(at, output);
        }
        if let Some(wake) = wake {
            self.push(wake.max(self.now + Duration::from_micros(1)), at, None);
        }
    }

    fn push(&mut self, time: MonoTime, host: usize, message: Option<usize>) {
        self.order += 1;
        self.queue.push(Reverse(Event {
            at: time,
            order: self.order,
            host,
            message,
        }));
    }

    fn take(&mut self, at: usize, output: MemberOutput) {
        let now = self.now;
        match output {
            MemberOutput::Send { to, message } => self.send(at, to, message),
            MemberOutput::HostsChanged(_) => {}
            MemberOutput::ServerLeaving(server) => self.told[at].servers.push((now, server)),
            MemberOutput::FetchConfig { from, version } => {
                self.told[at].fetches.push((now, from, version));
                if self.install {
                    self.input(at, MemberInput::ConfigInForce(version));
                }
            }
            MemberOutput::ConfigPublished(version) => self.told[at].published.push((now, version)),
            MemberOutput::Superseded { .. } => self.told[at].superseded = true,
        }
    }

    fn send(&mut self, at: usize, to: SocketAddr, message: MemberMessage) {
        self.messages += 1;
        self.bytes += u64::try_from((self.size)(&message)).unwrap();
        let target = usize::from(to.port()) - FIRST_PORT;
        if self.groups[target] != self.groups[at] || self.random.random_bool(self.loss) {
            return;
        }
        let latency = Duration::from_micros(self.random.random_range(300..900));
        let mail = (address(at), message);
        let slot = match self.free.pop() {
            Some(slot) => {
                self.mail[slot] = Some(mail);
                slot
            }
            None => {
                self.mail.push(Some(mail));
                self.mail.len() - 1
            }
        };
        self.push(self.now + latency, target, Some(slot));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until a condition holds, and returns the time that it took if it does in time.
    pub fn run_until(&mut self, most: Duration, test: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !test(self) {
            if self.now.since(start) >= most {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now.since(start))
    }

    fn step(&mut self) {
        let Some(Reverse(event)) = self.queue.pop() else {
            return;
        };
        self.now = event.at.max(self.now);
        if let Some(until) = self.paused[event.host] {
            if self.now < until {
                self.push(until, event.host, event.message);
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
        let (from, message) = self.mail[slot].take().unwrap();
        self.free.push(slot);
        self.input(event.host, MemberInput::Message { from, message });
    }

    pub fn record(&self, at: usize, of: usize) -> Option<MemberRecord> {
        let machine = self.machines[at].as_ref()?;
        machine.record(&host_id(of)).cloned()
    }

    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.record(at, of).map(|record| record.state)
    }

    /// Counts the hosts that one host takes for alive.
    pub fn alive_at(&self, at: usize) -> usize {
        let alive =
            |r: &&MemberRecord| matches!(r.state, MemberState::Alive | MemberState::Suspect);
        self.machine(at).iter().filter(alive).count()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|at| self.machines[*at].is_some())
            .collect()
    }

    /// Says whether every running host takes exactly so many for alive.
    pub fn all_see(&self, count: usize) -> bool {
        self.running()
            .into_iter()
            .all(|at| self.alive_at(at) == count)
    }

    /// Says whether every other running host has one in a state.
    pub fn all_hold(&self, of: usize, state: MemberState) -> bool {
        self.running()
            .into_iter()
            .filter(|at| *at != of)
            .all(|at| self.state(at, of) == Some(state))
    }
}
