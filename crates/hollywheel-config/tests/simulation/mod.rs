//! A simulated fleet: hosts with membership and install machines in virtual time.
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

/// The port of the first host; the port of a host is this plus its index.
const BASE_PORT: usize = 10_000;
/// The time after which a delayed write takes effect.
const WRITE_DELAY: Duration = Duration::from_secs(3);

/// Returns the address of a host.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(BASE_PORT + index).unwrap()))
}

/// What happens to a host.
enum EventKind {
    /// A timer is due.
    Wake,
    /// A membership message arrives.
    Member(SocketAddr, MemberMessage),
    /// A reply of the table service arrives.
    Store(InstallTicket, Result<StoreReply, StoreFailure>),
    /// The changes fetched from a peer arrive.
    Batch(InstallTicket, Option<ChangeBatch>),
    /// A delayed write takes effect in the table service.
    DelayedWrite(StoreRequest),
}

/// A scheduled event. Events of the same time happen in the order in which they were scheduled.
struct Event {
    at: MonoTime,
    sequence: u64,
    /// The index of the host.
    host: usize,
    /// The start number of the host that the event is for; a restarted host does not get it.
    start: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A running host.
pub struct Host {
    pub member: MemberMachine,
    pub install: InstallMachine,
    /// The number of this start among the starts of all hosts.
    pub start: u64,
    /// The version that was last put in force.
    pub version: ConfigVersion,
    /// The number of rejected rows and batches.
    pub rejected: u32,
}

/// Runs hosts, the network between them and the table service in virtual time.
pub struct SimulatedFleet {
    pub now: MonoTime,
    /// The hosts by index; none for a stopped host.
    pub hosts: Vec<Option<Host>>,
    pub store: FakeStore,
    /// The network partition of each host; hosts reach only hosts of the same partition.
    pub partitions: Vec<u32>,
    /// The results of publish and rollback commands that no test has taken yet.
    pub published: Vec<(PublishId, Result<PublishReceipt, InstallError>)>,
    /// Outputs that the simulation itself does not handle.
    pub outputs: Vec<InstallOutput>,
    /// The number of snapshots that hosts sent to peers.
    pub snapshots_sent: u64,
    /// The number of starts of hosts.
    starts: u64,
    random: StdRng,
    queue: BinaryHeap<Reverse<Event>>,
    /// The sequence number of the last scheduled event.
    last_sequence: u64,
}

impl SimulatedFleet {
    /// Creates a fleet and starts every host.
    pub fn new(hosts: usize, seed: u64) -> Self {
        let store = FakeStore {
            latency: Duration::from_millis(5),
            ..FakeStore::default()
        };
        let mut fleet = Self {
            now: MonoTime::default(),
            hosts: Vec::new(),
            store,
            partitions: vec![0; hosts],
            published: Vec::new(),
            outputs: Vec::new(),
            snapshots_sent: 0,
            starts: 0,
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            last_sequence: 0,
        };
        fleet.hosts.resize_with(hosts, || None);
        for index in 0..hosts {
            fleet.start(index);
        }
        fleet
    }

    /// Starts a host without a version in force.
    pub fn start(&mut self, index: usize) {
        self.starts += 1;
        let seed = self.starts;
        let domain = ["medeu", "bostandyk", "alatau"][index % 3];
        let member = MemberMachine::new(MemberSettings::new(
            format!("{domain}-{index}").parse().unwrap(),
            Incarnation(seed),
            domain.parse().unwrap(),
            "almaty".parse().unwrap(),
            address(index),
            seed,
        ));
        let settings = InstallSettings {
            seed,
            ..InstallSettings::default()
        };
        self.hosts[index] = Some(Host {
            member,
            install: InstallMachine::new(settings),
            start: seed,
            version: ConfigVersion(0),
            rejected: 0,
        });
        let host_list = self.host_list();
        self.member(index, MemberInput::HostList(host_list));
        self.install(index, InstallInput::Tick);
    }

    /// Returns every host, running or not, as listed to the membership machines.
    fn host_list(&self) -> Vec<ListedHost> {
        let listed = |index: usize| ListedHost {
            host: format!("{}-{index}", ["medeu", "bostandyk", "alatau"][index % 3])
                .parse()
                .unwrap(),
            address: address(index),
            domain: ["medeu", "bostandyk", "alatau"][index % 3].parse().unwrap(),
            region: "almaty".parse().unwrap(),
            leaving: false,
        };
        (0..self.hosts.len()).map(listed).collect()
    }

    /// Stops a host, which loses its state.
    pub fn stop(&mut self, index: usize) {
        self.hosts[index] = None;
    }

    fn schedule(&mut self, after: Duration, host: usize, kind: EventKind) {
        let start = self.hosts[host].as_ref().map_or(0, |host| host.start);
        self.schedule_for_start(after, host, start, kind);
    }

    fn schedule_for_start(&mut self, after: Duration, host: usize, start: u64, kind: EventKind) {
        self.last_sequence += 1;
        self.queue.push(Reverse(Event {
            at: self.now + after,
            sequence: self.last_sequence,
            host,
            start,
            kind,
        }));
    }

    /// Draws the latency of a message between hosts.
    fn draw_latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..900))
    }

    /// Schedules the next timer of a machine of a host.
    fn schedule_wake(&mut self, index: usize, due: Option<MonoTime>) {
        if let Some(due) = due {
            let after = due.since(self.now).max(Duration::from_micros(1));
            self.schedule(after, index, EventKind::Wake);
        }
    }

    /// Gives an input to the membership machine of a host.
    pub fn member(&mut self, index: usize, input: MemberInput) {
        let Some(host) = &mut self.hosts[index] else {
            return;
        };
        let outputs = host.member.handle(self.now, input);
        let due = host.member.next_wake();
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => {
                    let target = usize::from(to.port()) - BASE_PORT;
                    if self.partitions[index] == self.partitions[target] {
                        let after = self.draw_latency();
                        self.schedule(after, target, EventKind::Member(address(index), message));
                    }
                }
                MemberOutput::HostsChanged(records) => {
                    let alive = u32::try_from(records.len()).unwrap();
                    self.install(index, InstallInput::HostsAlive(alive));
                }
                MemberOutput::FetchConfig { from, version } => {
                    self.install(index, InstallInput::PeerHas { from, version });
                }
                MemberOutput::ConfigPublished(version) => {
                    self.install(index, InstallInput::VersionPublished(version));
                }
                MemberOutput::ServerLeaving(_) | MemberOutput::Superseded { .. } => {}
            }
        }
        self.schedule_wake(index, due);
    }

    /// Gives an input to the install machine of a host.
    pub fn install(&mut self, index: usize, input: InstallInput) {
        let Some(host) = &mut self.hosts[index] else {
            return;
        };
        let outputs = host.install.handle(self.now, input);
        let due = host.install.next_wake();
        for output in outputs {
            self.execute(index, output);
        }
        self.schedule_wake(index, due);
    }

    /// Executes an output of the install machine of a host.
    fn execute(&mut self, index: usize, output: InstallOutput) {
        match output {
            InstallOutput::Store { ticket, request } => self.call_store(index, ticket, request),
            InstallOutput::FetchPeer { ticket, from, have } => {
                let target = usize::from(from.port()) - BASE_PORT;
                let batch = self.fetch_from_peer(index, target, have);
                let after = self.draw_latency() * 2;
                self.schedule(after, index, EventKind::Batch(ticket, batch));
            }
            InstallOutput::Install(set) => {
                let host = self.hosts[index].as_mut().unwrap();
                assert!(
                    set.version > host.version,
                    "versions in force should only increase"
                );
                host.version = set.version;
                self.member(index, MemberInput::ConfigInForce(set.version));
            }
            InstallOutput::Announce(version) => {
                self.member(index, MemberInput::ConfigPublished(version));
            }
            InstallOutput::Published { publish_id, result } => {
                self.published.push((publish_id, result));
            }
            InstallOutput::Rejected(_) => self.hosts[index].as_mut().unwrap().rejected += 1,
            other => self.outputs.push(other),
        }
    }

    /// Returns the changes that a peer sends; none if it is not reached.
    fn fetch_from_peer(
        &mut self,
        index: usize,
        target: usize,
        have: ConfigVersion,
    ) -> Option<ChangeBatch> {
        if self.partitions[index] != self.partitions[target] {
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
        self.snapshots_sent += u64::from(batch.snapshot.is_some());
        Some(batch)
    }

    fn call_store(&mut self, index: usize, ticket: InstallTicket, request: StoreRequest) {
        let latency = self.store.latency;
        match self.store.call(&request) {
            CallOutcome::Reply(result) => {
                self.schedule(latency, index, EventKind::Store(ticket, result))
            }
            CallOutcome::ReplyLost => {
                self.schedule(
                    latency,
                    index,
                    EventKind::Store(ticket, Err(StoreFailure::Unknown)),
                );
            }
            CallOutcome::Delayed => {
                self.schedule(
                    latency,
                    index,
                    EventKind::Store(ticket, Err(StoreFailure::Unknown)),
                );
                self.schedule_for_start(WRITE_DELAY, index, 0, EventKind::DelayedWrite(request));
            }
        }
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Executes the next event.
    fn step(&mut self) {
        let Some(Reverse(event)) = self.queue.pop() else {
            return;
        };
        self.now = event.at.max(self.now);
        if let EventKind::DelayedWrite(StoreRequest::Txn { mode, ops }) = &event.kind {
            self.store.apply(*mode, ops);
            return;
        }
        let index = event.host;
        let Some(host) = &self.hosts[index] else {
            return;
        };
        let is_due = |wake: Option<MonoTime>, now| wake.is_some_and(|wake| wake <= now);
        match event.kind {
            EventKind::Member(from, message) => {
                self.member(index, MemberInput::Message { from, message })
            }
            _ if event.start != host.start => {}
            EventKind::Wake => {
                let (member, install) = (host.member.next_wake(), host.install.next_wake());
                if is_due(member, self.now) {
                    self.member(index, MemberInput::Tick);
                }
                if is_due(install, self.now) {
                    self.install(index, InstallInput::Tick);
                }
            }
            EventKind::Store(ticket, result) => {
                self.install(index, InstallInput::Store { ticket, result })
            }
            EventKind::Batch(ticket, result) => {
                self.install(index, InstallInput::PeerChanges { ticket, result });
            }
            EventKind::DelayedWrite(_) => {}
        }
    }

    /// Runs until a condition holds and returns the time that it took; none if it took too long.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= timeout {
                return None;
            }
            self.run(Duration::from_millis(20));
        }
        Some(self.now.since(start))
    }

    /// Publishes a set whose pool has a number of slots, at a host.
    pub fn publish(&mut self, index: usize, id: u128, base: u64, slots: u32) {
        let command = publish_command(id, base, slots);
        self.install(index, InstallInput::Publish(command));
    }

    /// Runs until a publication has ended and returns its result.
    pub fn wait_for_result(&mut self, id: u128) -> Result<PublishReceipt, InstallError> {
        let ended = |fleet: &Self| {
            fleet
                .published
                .iter()
                .any(|(publish_id, _)| publish_id.0 == id)
        };
        self.run_until(Duration::from_secs(60), ended)
            .expect("the publication should end within 60 s");
        let index = self
            .published
            .iter()
            .position(|(publish_id, _)| publish_id.0 == id)
            .unwrap();
        self.published.remove(index).1
    }

    /// Returns whether every running host has a version, or a newer one, in force.
    pub fn all_reached(&self, version: u64) -> bool {
        self.hosts
            .iter()
            .flatten()
            .all(|host| host.version.0 >= version)
    }
}

/// Returns the command that publishes a set whose pool has a number of slots.
pub fn publish_command(id: u128, base: u64, slots: u32) -> PublishCommand {
    PublishCommand {
        publish_id: PublishId(id),
        base: ConfigVersion(base),
        operator: "operator".to_owned(),
        set: set_with(slots, 0),
        published_at: WallTime(id as u64),
    }
}

/// Returns a valid set with one pool, which has a number of slots, and a number of workspaces.
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
