//! The membership machine of one host.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, HostId, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::leaving::LeavingServers;
use crate::message::{
    MemberInput, MemberMessage, MemberOutput, MemberRecord, MemberSettings, MemberState,
    MemberUpdate,
};
use crate::news::NewsQueue;
use crate::probe::{RelayList, RunningProbe, SelfDoubt};
use crate::schedule::WakeSchedule;
use crate::table::{MemberTable, RingNeighbours};

/// The lateness of a wake from which on this host takes itself for the slow one.
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Decides which hosts are taken for alive and spreads news between them.
#[derive(Debug)]
pub struct MemberMachine {
    pub(crate) settings: MemberSettings,
    pub(crate) random: StdRng,
    pub(crate) table: MemberTable,
    pub(crate) servers: LeavingServers,
    pub(crate) news: NewsQueue,
    pub(crate) neighbours: RingNeighbours,
    pub(crate) probe: Option<RunningProbe>,
    pub(crate) next_target: usize,
    pub(crate) relays: RelayList,
    pub(crate) doubt: SelfDoubt,
    pub(crate) schedule: WakeSchedule,
    pub(crate) last_sequence: u64,
    pub(crate) in_force: ConfigVersion,
    pub(crate) published: ConfigVersion,
    pub(crate) superseded: bool,
    pub(crate) revived: bool,
    pub(crate) view_changed: bool,
    pub(crate) rings_changed: bool,
    pub(crate) outputs: Vec<MemberOutput>,
}

impl MemberMachine {
    /// Creates a machine that knows only its own host.
    pub fn new(settings: MemberSettings) -> Self {
        let mut table = MemberTable::default();
        table.merge(MonoTime::default(), own_record(&settings));
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            table,
            servers: LeavingServers::default(),
            news: NewsQueue::default(),
            neighbours: RingNeighbours::default(),
            probe: None,
            next_target: 0,
            relays: RelayList::default(),
            doubt: SelfDoubt::default(),
            schedule: WakeSchedule::default(),
            last_sequence: 0,
            in_force: ConfigVersion::default(),
            published: ConfigVersion::default(),
            superseded: false,
            revived: false,
            view_changed: true,
            rings_changed: true,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, now: MonoTime, input: MemberInput) -> Vec<MemberOutput> {
        self.begin(now);
        match input {
            MemberInput::Message { from, message } => self.take_message(now, from, message),
            MemberInput::HostList(hosts) => self.take_list(now, hosts),
            MemberInput::ConfigInForce(version) => self.take_in_force(now, version),
            MemberInput::ConfigPublished(version) => self.take_published(now, version),
            MemberInput::ServerLeaving {
                server,
                incarnation,
            } => self.take_server_leaving(now, &server, incarnation),
            MemberInput::Leave => self.leave(now),
            MemberInput::Tick => {}
        }
        self.run_due(now);
        self.publish_view();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the point at which [`MemberInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let probe = self
            .probe
            .as_ref()
            .map(|probe| probe.indirect_at.unwrap_or(probe.fails_at));
        [
            self.schedule.next_wake(),
            probe,
            self.relays.next_wake(),
            self.next_burial(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Returns every host whose process has been heard of, in the order of the names.
    pub fn records(&self) -> Vec<MemberRecord> {
        self.iter().cloned().collect()
    }

    /// Walks every host whose process has been heard of, in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table
            .iter()
            .filter(|entry| entry.is_heard())
            .map(|entry| &entry.record)
    }

    /// Returns the record of a host whose process has been heard of.
    pub fn record(&self, host: &HostId) -> Option<&MemberRecord> {
        let entry = self.table.get(host).filter(|entry| entry.is_heard())?;
        Some(&entry.record)
    }

    /// Returns the record of this host.
    ///
    /// # Panics
    ///
    /// Never panics: the own host is never removed from the table.
    pub fn own(&self) -> &MemberRecord {
        let entry = self.table.get(&self.settings.host);
        &entry.expect("the own host is always known").record
    }

    fn begin(&mut self, now: MonoTime) {
        if !self.schedule.is_started() {
            let offset = self.random.random_range(0.0..1.0);
            self.schedule.start(now, &self.settings, offset);
            return;
        }
        let late = self
            .next_wake()
            .map_or(Duration::ZERO, |due| now.since(due));
        if late > PAUSE_LIMIT {
            self.resume(now, late);
        }
    }

    /// Doubts this host after a pause: answers may wait unread, so nobody is suspected for them.
    fn resume(&mut self, now: MonoTime, late: Duration) {
        let intervals = late.as_micros() / self.settings.probe_interval.as_micros().max(1);
        let raise = u32::try_from(intervals).unwrap_or(u32::MAX).clamp(1, 8);
        self.doubt.raise(raise);
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

    /// Adds news that other hosts should hear soon.
    pub(crate) fn spread(&mut self, now: MonoTime, news: MemberUpdate) {
        self.news.add(news);
        self.schedule.push_soon(now);
    }

    /// Collects the news for a message, beginning with what the receiver must hear.
    pub(crate) fn fill_news(&mut self, mut first: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        if self.in_force > ConfigVersion::default() {
            first.insert(0, MemberUpdate::ConfigInForce(self.in_force));
        }
        let hosts = self.table.running();
        self.news.fill(&mut first, hosts);
        first
    }

    pub(crate) fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.get(host).map(|entry| entry.record.address)
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn publish_view(&mut self) {
        if self.view_changed || self.rings_changed {
            self.rings_changed = false;
            self.neighbours = self.table.neighbours(&self.settings.host);
        }
        if !self.view_changed {
            return;
        }
        self.view_changed = false;
        let running = self
            .table
            .iter()
            .filter(|entry| entry.is_running())
            .map(|entry| entry.record.clone())
            .collect();
        self.outputs.push(MemberOutput::HostsChanged(running));
    }
}

fn own_record(settings: &MemberSettings) -> MemberRecord {
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
