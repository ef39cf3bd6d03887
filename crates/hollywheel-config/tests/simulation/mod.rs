//! Hosts with membership and install machines in virtual time.
#![allow(dead_code)]

pub mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_config::{
    ChangeBatch, InstallError, InstallInput, InstallMachine, InstallOutput, InstallSettings,
    InstallTicket, ObjectSet, PublishCommand, PublishReceipt, read_toml,
};
use hollywheel_membership::{
    ListedHost, MemberInput, MemberMachine, MemberMessage, MemberOutput, MemberSettings,
};
use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use hollywheel_types::{ConfigVersion, Incarnation, MonoTime, PublishId, WallTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use store::{CallOutcome, FakeStore};

const FIRST_PORT: usize = 10_000;
const LATE_EFFECT: Duration = Duration::from_secs(3);

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(FIRST_PORT + at).unwrap()))
}

enum What {
    Wake,
    Member(SocketAddr, MemberMessage),
    Store(InstallTicket, Result<StoreReply, StoreFailure>),
    Batch(InstallTicket, Option<ChangeBatch>),
    Effect(StoreRequest),
}

struct Event {
    at: MonoTime,
    order: u64,
    host: usize,
    /// The start of the host that the event is for.
    start: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct Host {
    pub member: MemberMachine,
    pub install: InstallMachine,
    pub start: u64,
    pub version: ConfigVersion,
    pub rejected: u32,
}

pub struct World {
    pub now: MonoTime,
    pub hosts: Vec<Option<Host>>,
    pub store: FakeStore,
    pub groups: Vec<u32>,
    pub published: Vec<(PublishId, Result<PublishReceipt, InstallError>)>,
    pub outputs: Vec<InstallOutput>,
    pub snapshots: u64,
    starts: u64,
    random: StdRng,
    queue: BinaryHeap<Reverse<Event>>,
    order: u64,
}

impl World {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let store = FakeStore {
            latency: Duration::from_millis(5),
            ..FakeStore::default()
        };
        let mut world = Self {
            now: MonoTime::default(),
            hosts: Vec::new(),
            store,
            groups: vec![0; hosts],
            published: Vec::new(),
            outputs: Vec::new(),
            snapshots: 0,
            starts: 0,
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            order: 0,
        };
        world.hosts.resize_with(hosts, || None);
        for at in 0..hosts {
            world.start(at);
        }
        world
    }

    pub fn start(&mut self, at: usize) {
        self.starts += 1;
        let seed = self.starts;
        let domain = ["medeu", "bostandyk", "alatau"][at % 3];
        let member = MemberMachine::new(MemberSettings::new(
            format!("{domain}-{at}").parse().unwrap(),
            Incarnation(seed),
            domain.parse().unwrap(),
            "almaty".parse().unwrap(),
            address(at),
            seed,
        ));
        let settings = InstallSettings {
            seed,
            ..InstallSettings::default()
        };
        self.hosts[at] = Some(Host {
            member,
            install: InstallMachine::new(settings),
            start: seed,
            version: ConfigVersion(0),
            rejected: 0,
        });
        let list = self.list();
        self.member(at, MemberInput::HostList(list));
        self.install(at, InstallInput::Tick);
    }

    fn list(&self) -> Vec<ListedHost> {
        let listed = |at: usize| ListedHost {
            host: format!("{}-{at}", ["medeu", "bostandyk", "alatau"][at % 3])
                .parse()
                .unwrap(),
            address: address(at),
            domain: ["medeu", "bostandyk", "alatau"][at % 3].parse().unwrap(),
            region: "almaty".parse().unwrap(),
            leaving: false,
        };
        (0..self.hosts.len()).map(listed).collect()
    }

    pub fn stop(&mut self, at: usize) {
        self.hosts[at] = None;
    }

    fn push(&mut self, after: Duration, host: usize, what: What) {
        let start = self.hosts[host].as_ref().map_or(0, |host| host.start);
        self.push_for(after, host, start, what);
    }

    fn push_for(&mut self, after: Duration, host: usize, start: u64, what: What) {
        self.order += 1;
        self.queue.push(Reverse(Event {
            at: self.now + after,
            order: self.order,
            host,
            start,
            what,
        }));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..900))
    }

    fn wake(&mut self, at: usize, due: Option<MonoTime>) {
        if let Some(due) = due {
            let after = due.since(self.now).max(Duration::from_micros(1));
            self.push(after, at, What::Wake);
        }
    }

    pub fn member(&mut self, at: usize, input: MemberInput) {
        let Some(host) = &mut self.hosts[at] else {
            return;
        };
        let outputs = host.member.handle(self.now, input);
        let due = host.member.next_wake();
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => {
                    let target = usize::from(to.port()) - FIRST_PORT;
                    if self.groups[at] == self.groups[target] {
                        let after = self.latency();
                        self.push(after, target, What::Member(address(at), message));
                    }
                }
                MemberOutput::HostsChanged(records) => {
                    let alive = u32::try_from(records.len()).unwrap();
                    self.install(at, InstallInput::HostsAlive(alive));
                }
                MemberOutput::FetchConfig { from, version } => {
                    self.install(at, InstallInput::PeerHas { from, version });
                }
                MemberOutput::ConfigPublished(version) => {
                    self.install(at, InstallInput::VersionPublished(version));
                }
                MemberOutput::ServerLeaving(_) | MemberOutput::Superseded { .. } => {}
            }
        }
        self.wake(at, due);
    }

    pub fn install(&mut self, at: usize, input: InstallInput) {
        let Some(host) = &mut self.hosts[at] else {
            return;
        };
        let outputs = host.install.handle(self.now, input);
        let due = host.install.next_wake();
        for output in outputs {
            self.take(at, output);
        }
        self.wake(at, due);
    }

    fn take(&mut self, at: usize, output: InstallOutput) {
        match output {
            InstallOutput::Store { ticket, request } => self.call_store(at, ticket, request),
            InstallOutput::FetchPeer { ticket, from, have } => {
                let target = usize::from(from.port()) - FIRST_PORT;
                let batch = self.ask(at, target, have);
                let after = self.latency() * 2;
                self.push(after, at, What::Batch(ticket, batch));
            }
            InstallOutput::Install(set) => {
                let host = self.hosts[at].as_mut().unwrap();
                assert!(set.version > host.version, "a version never goes back");
                host.version = set.version;
                self.member(at, MemberInput::ConfigInForce(set.version));
            }
            InstallOutput::Announce(version) => {
                self.member(at, MemberInput::ConfigPublished(version));
            }
            InstallOutput::Published { publish_id, result } => {
                self.published.push((publish_id, result));
            }
            InstallOutput::Rejected(_) => self.hosts[at].as_mut().unwrap().rejected += 1,
            other => self.outputs.push(other),
        }
    }

    fn ask(&mut self, at: usize, target: usize, have: ConfigVersion) -> Option<ChangeBatch> {
        if self.groups[at] != self.groups[target] {
            return None;
        }
        let host = self.hosts[target].as_mut()?;
        let ticket = InstallTicket(0);
        let outputs = host
            .install
            .handle(self.now, InstallInput::PeerAsks { ticket, have });
        let batch = outputs.into_iter().find_map(|output| match output {
            InstallOutput::AnswerPeer { batch, .. } => Some(batch),
            _ => None,
        })?;
        self.snapshots += u64::from(batch.snapshot.is_some());
        Some(batch)
    }

    fn call_store(&mut self, at: usize, ticket: InstallTicket, request: StoreRequest) {
        let latency = self.store.latency;
        match self.store.call(&request) {
            CallOutcome::Reply(result) => self.push(latency, at, What::Store(ticket, result)),
            CallOutcome::ReplyLost => {
                self.push(latency, at, What::Store(ticket, Err(StoreFailure::Unknown)));
            }
            CallOutcome::Delayed => {
                self.push(latency, at, What::Store(ticket, Err(StoreFailure::Unknown)));
                self.push_for(LATE_EFFECT, at, 0, What::Effect(request));
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            self.step();
        }
        self.now = end;
    }

    fn step(&mut self) {
        let Some(Reverse(event)) = self.queue.pop() else {
            return;
        };
        self.now = event.at.max(self.now);
        if let What::Effect(StoreRequest::Txn { mode, ops }) = &event.what {
            self.store.apply(*mode, ops);
            return;
        }
        let at = event.host;
        let Some(host) = &self.hosts[at] else {
            return;
        };
        let due = |wake: Option<MonoTime>, now| wake.is_some_and(|wake| wake <= now);
        match event.what {
            What::Member(from, message) => self.member(at, MemberInput::Message { from, message }),
            _ if event.start != host.start => {}
            What::Wake => {
                let (member, install) = (host.member.next_wake(), host.install.next_wake());
                if due(member, self.now) {
                    self.member(at, MemberInput::Tick);
                }
                if due(install, self.now) {
                    self.install(at, InstallInput::Tick);
                }
            }
            What::Store(ticket, result) => self.install(at, InstallInput::Store { ticket, result }),
            What::Batch(ticket, result) => {
                self.install(at, InstallInput::PeerChanges { ticket, result });
            }
            What::Effect(_) => {}
        }
    }

    pub fn run_until(&mut self, most: Duration, test: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !test(self) {
            if self.now.since(start) >= most {
                return None;
            }
            self.run(Duration::from_millis(20));
        }
        Some(self.now.since(start))
    }

    pub fn publish(&mut self, at: usize, id: u128, base: u64, slots: u32) {
        let order = order(id, base, slots);
        self.install(at, InstallInput::Publish(order));
    }

    /// Runs until a publication has ended and returns its result.
    pub fn result_of(&mut self, id: u128) -> Result<PublishReceipt, InstallError> {
        let ended = |world: &Self| world.published.iter().any(|(of, _)| of.0 == id);
        self.run_until(Duration::from_secs(60), ended)
            .expect("the publication ends");
        let at = self
            .published
            .iter()
            .position(|(of, _)| of.0 == id)
            .unwrap();
        self.published.remove(at).1
    }

    /// Says whether every running host has a version in force.
    pub fn all_have(&self, version: u64) -> bool {
        self.hosts
            .iter()
            .flatten()
            .all(|host| host.version.0 >= version)
    }
}

pub fn order(id: u128, base: u64, slots: u32) -> PublishCommand {
    PublishCommand {
        publish_id: PublishId(id),
        base: ConfigVersion(base),
        operator: "operator".to_owned(),
        set: set_with(slots, 0),
        published_at: WallTime(id as u64),
    }
}

/// Returns a set with a pool of so many slots and so many workspaces.
pub fn set_with(slots: u32, workspaces: usize) -> ObjectSet {
    let mut text =
        format!("format = 1\n[[pool]]\nname = \"rates\"\nkind = \"service\"\nslots = {slots}\n");
    for workspace in 0..workspaces {
        let hash = format!("{workspace:064x}");
        text.push_str(&format!(
            "[[workspace]]\nname = \"workspace-{workspace:05}\"\nkey_hashes = [\"{hash}\"]\nrate = 12.5\n"
        ));
    }
    read_toml("set", &text).unwrap()
}
