//! The membership state machine of one host.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, HostId, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gossip::GossipQueue;
use crate::leaving::LeavingServers;
use crate::message::{
    MemberInput, MemberMessage, MemberOutput, MemberRecord, MemberSettings, MemberState,
    MemberUpdate,
};
use crate::probe::{LocalHealth, RelayList, RunningProbe};
use crate::schedule::WakeSchedule;
use crate::table::{MemberTable, RingNeighbours};

/// Delay of a wake-up beyond which the local process is assumed to have been paused.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(500);

/// Decides which hosts are considered alive and gossips updates between them.
#[derive(Debug)]
pub struct MemberMachine {
    pub(crate) settings: MemberSettings,
    pub(crate) random: StdRng,
    pub(crate) table: MemberTable,
    pub(crate) leaving_servers: LeavingServers,
    pub(crate) gossip: GossipQueue,
    pub(crate) neighbours: RingNeighbours,
    pub(crate) probe: Option<RunningProbe>,
    pub(crate) next_target_index: usize,
    pub(crate) relays: RelayList,
    pub(crate) health: LocalHealth,
    pub(crate) schedule: WakeSchedule,
    pub(crate) last_sequence: u64,
    pub(crate) in_force: ConfigVersion,
    pub(crate) published: ConfigVersion,
    pub(crate) superseded: bool,
    pub(crate) dead_host_revived: bool,
    pub(crate) hosts_changed: bool,
    pub(crate) rings_changed: bool,
    pub(crate) outputs: Vec<MemberOutput>,
}

impl MemberMachine {
    /// Creates a state machine that knows only the local host.
    pub fn new(settings: MemberSettings) -> Self {
        let mut table = MemberTable::default();
        table.merge(MonoTime::default(), initial_record(&settings));
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            table,
            leaving_servers: LeavingServers::default(),
            gossip: GossipQueue::default(),
            neighbours: RingNeighbours::default(),
            probe: None,
            next_target_index: 0,
            relays: RelayList::default(),
            health: LocalHealth::default(),
            schedule: WakeSchedule::default(),
            last_sequence: 0,
            in_force: ConfigVersion::default(),
            published: ConfigVersion::default(),
            superseded: false,
            dead_host_revived: false,
            hosts_changed: true,
            rings_changed: true,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Processes an input and returns the resulting outputs.
    pub fn handle(&mut self, now: MonoTime, input: MemberInput) -> Vec<MemberOutput> {
        self.start_or_resume(now);
        match input {
            MemberInput::Message { from, message } => self.handle_message(now, from, message),
            MemberInput::HostList(hosts) => self.apply_host_list(now, hosts),
            MemberInput::ConfigInForce(version) => self.set_in_force(now, version),
            MemberInput::ConfigPublished(version) => self.set_published(now, version),
            MemberInput::ServerLeaving {
                server,
                incarnation,
            } => self.handle_server_leaving(now, &server, incarnation),
            MemberInput::Leave => self.leave(now),
            MemberInput::Tick => {}
        }
        self.run_due(now);
        self.emit_host_changes();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which [`MemberInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let probe = self
            .probe
            .as_ref()
            .map(|probe| probe.indirect_at.unwrap_or(probe.fails_at));
        [
            self.schedule.next_wake(),
            probe,
            self.relays.next_wake(),
            self.next_suspicion_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Returns the records of all hosts with a known incarnation, in the order of their names.
    pub fn records(&self) -> Vec<MemberRecord> {
        self.iter().cloned().collect()
    }

    /// Iterates over the records of all hosts with a known incarnation, in the order of their
    /// names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table
            .iter()
            .filter(|entry| entry.has_incarnation())
            .map(|entry| &entry.record)
    }

    /// Returns the record of a host if its incarnation is known.
    pub fn record(&self, host: &HostId) -> Option<&MemberRecord> {
        let entry = self
            .table
            .get(host)
            .filter(|entry| entry.has_incarnation())?;
        Some(&entry.record)
    }

    /// Returns the record of the local host.
    ///
    /// # Panics
    ///
    /// Never panics in practice: the local host is never removed from the table.
    pub fn local_record(&self) -> &MemberRecord {
        let entry = self.table.get(&self.settings.host);
        &entry
            .expect("the table always contains the local host")
            .record
    }

    fn start_or_resume(&mut self, now: MonoTime) {
        if !self.schedule.is_started() {
            let offset = self.random.random_range(0.0..1.0);
            self.schedule.start(now, &self.settings, offset);
            return;
        }
        let late = self
            .next_wake()
            .map_or(Duration::ZERO, |due| now.since(due));
        if late > MAX_WAKE_DELAY {
            self.resume(now, late);
        }
    }

    /// Recovers from a pause of the local process. Acknowledgements may still be unread, so the
    /// running probe is dropped and pending suspicions are extended by the length of the pause.
    fn resume(&mut self, now: MonoTime, late: Duration) {
        let intervals = late.as_micros() / self.settings.probe_interval.as_micros().max(1);
        let steps = u32::try_from(intervals).unwrap_or(u32::MAX).clamp(1, 8);
        self.health.worsen(steps);
        self.probe = None;
        self.schedule.resume(now, &self.settings);
        for entry in self.table.iter_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.since = suspicion.since + late + self.settings.probe_interval;
            }
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: MemberMessage) {
        self.outputs.push(MemberOutput::Send { to, message });
    }

    /// Queues an update and schedules a push of gossip.
    pub(crate) fn enqueue_update(&mut self, now: MonoTime, update: MemberUpdate) {
        self.gossip.add(update);
        self.schedule.schedule_push(now);
    }

    /// Collects the updates for a message, starting with those in `first`, which are meant for the
    /// receiver in particular.
    pub(crate) fn collect_updates(&mut self, mut first: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        if self.in_force > ConfigVersion::default() {
            first.insert(0, MemberUpdate::ConfigInForce(self.in_force));
        }
        let hosts = self.table.running_count();
        self.gossip.fill(&mut first, hosts);
        first
    }

    pub(crate) fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.get(host).map(|entry| entry.record.address)
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn emit_host_changes(&mut self) {
        if self.hosts_changed || self.rings_changed {
            self.rings_changed = false;
            self.neighbours = self.table.neighbours(&self.settings.host);
        }
        if !self.hosts_changed {
            return;
        }
        self.hosts_changed = false;
        let running = self
            .table
            .iter()
            .filter(|entry| entry.is_running())
            .map(|entry| entry.record.clone())
            .collect();
        self.outputs.push(MemberOutput::HostsChanged(running));
    }
}

fn initial_record(settings: &MemberSettings) -> MemberRecord {
    MemberRecord {
        host: settings.host.clone(),
        incarnation: settings.incarnation,
        refutation: 0,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        address: settings.address,
        state: MemberState::Alive,
        config_version: ConfigVersion::default(),
    }
}
