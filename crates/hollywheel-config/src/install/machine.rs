//! The install machine of one host.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_store::{StoreFailure, StoreReply, StoreRequest, StoreRow};
use hollywheel_types::{ConfigVersion, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::change::{ConfigChange, PublishedSet};
use crate::check::check_set;
use crate::install::catch_up::CatchUp;
use crate::install::chain::ChangeChain;
use crate::install::digest::SetDigest;
use crate::install::history::HistoryRead;
use crate::install::message::{
    ChangeBatch, InstallFault, InstallInput, InstallOutput, InstallSettings, InstallTicket,
};
use crate::install::order::OrderQueue;

/// The shortest and the longest time between two polls, as a share of the mean.
const POLL_RANGE: (f64, f64) = (0.05, 2.0);

/// Says what a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallPurpose {
    /// Reads the head row.
    Poll,
    /// Reads rows to catch up.
    CatchUp,
    /// Fetches changes from a peer.
    Peer,
    /// Belongs to the order in progress.
    Order,
    /// Belongs to a read of the history or of a version.
    Read(InstallTicket),
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    ticket: InstallTicket,
    purpose: CallPurpose,
    due: MonoTime,
}

/// Publishes versions and puts published versions in force on one host.
#[derive(Debug)]
pub struct InstallMachine {
    pub(crate) settings: InstallSettings,
    pub(crate) random: StdRng,
    pub(crate) in_force: Option<Arc<PublishedSet>>,
    pub(crate) digest: SetDigest,
    pub(crate) chain: ChangeChain,
    pub(crate) catch_up: CatchUp,
    pub(crate) orders: OrderQueue,
    pub(crate) reads: Vec<HistoryRead>,
    pub(crate) announced: ConfigVersion,
    pub(crate) poll_at: MonoTime,
    hosts: u32,
    calls: Vec<PendingCall>,
    last_ticket: u64,
    pub(crate) outputs: Vec<InstallOutput>,
}

impl InstallMachine {
    /// Creates a machine without a version.
    pub fn new(settings: InstallSettings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            in_force: None,
            digest: SetDigest::default(),
            chain: ChangeChain::default(),
            catch_up: CatchUp::default(),
            orders: OrderQueue::default(),
            reads: Vec::new(),
            announced: ConfigVersion::default(),
            poll_at: MonoTime::default(),
            hosts: 1,
            calls: Vec::new(),
            last_ticket: 0,
            outputs: Vec::new(),
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, now: MonoTime, input: InstallInput) -> Vec<InstallOutput> {
        match input {
            InstallInput::Store { ticket, result } => self.take_store(now, ticket, result),
            InstallInput::PeerChanges { ticket, result } => {
                if self.finish_call(ticket).is_some() {
                    self.take_peer(now, result);
                }
            }
            InstallInput::PeerHas { from, version } => self.hear_peer(now, from, version),
            InstallInput::VersionPublished(version) => self.hear_version(now, version),
            InstallInput::HostsAlive(hosts) => self.hosts = hosts.max(1),
            InstallInput::Publish(order) => self.take_publish(now, order),
            InstallInput::Rollback(order) => self.take_rollback(now, order),
            InstallInput::PeerAsks { ticket, have } => self.answer_peer(ticket, have),
            InstallInput::ReadHistory { ticket, limit } => self.read_history(now, ticket, limit),
            InstallInput::ReadVersion { ticket, version } => {
                self.read_version(now, ticket, version);
            }
            InstallInput::Tick => {}
        }
        self.run_due(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the point at which [`InstallInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let calls = self.calls.iter().map(|call| call.due).min();
        [Some(self.poll_at), calls, self.orders.retry_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &InstallSettings {
        &self.settings
    }

    /// Returns the version in force; none means that the host is not ready.
    pub const fn in_force(&self) -> Option<&Arc<PublishedSet>> {
        self.in_force.as_ref()
    }

    /// Returns the number of the version in force, zero if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map(|set| set.version)
            .unwrap_or_default()
    }

    fn run_due(&mut self, now: MonoTime) {
        while let Some(at) = self.calls.iter().position(|call| call.due <= now) {
            let ticket = self.calls[at].ticket;
            self.give_up(now, ticket);
        }
        if self.poll_at <= now {
            self.poll(now);
        }
        self.retry_order(now);
    }

    fn give_up(&mut self, now: MonoTime, ticket: InstallTicket) {
        let peer = self
            .calls
            .iter()
            .any(|call| call.ticket == ticket && call.purpose == CallPurpose::Peer);
        if peer {
            self.finish_call(ticket);
            self.take_peer(now, None);
        } else {
            self.take_store(now, ticket, Err(StoreFailure::Unknown));
        }
    }

    /// Returns the time until the next poll: the fleet as a whole reads the head row at a rate
    /// that hardly depends on its size. The spans are exponential, since hosts that started
    /// together would else poll together for long.
    pub(crate) fn poll_span(&mut self) -> Duration {
        let span = (self.settings.fleet_poll_interval * self.hosts).clamp(
            self.settings.min_poll_interval,
            self.settings.max_poll_interval,
        );
        let draw: f64 = self.random.random_range(0.0..1.0);
        let share = -(1.0 - draw).ln();
        span.mul_f64(share.clamp(POLL_RANGE.0, POLL_RANGE.1))
    }

    pub(crate) fn call_store(
        &mut self,
        now: MonoTime,
        purpose: CallPurpose,
        request: StoreRequest,
    ) {
        let ticket = self.add_call(now, purpose);
        self.outputs.push(InstallOutput::Store { ticket, request });
    }

    pub(crate) fn add_call(&mut self, now: MonoTime, purpose: CallPurpose) -> InstallTicket {
        self.last_ticket += 1;
        let ticket = InstallTicket(self.last_ticket);
        self.calls.push(PendingCall {
            ticket,
            purpose,
            due: now + self.settings.call_timeout,
        });
        ticket
    }

    pub(crate) fn is_calling(&self, purpose: CallPurpose) -> bool {
        self.calls.iter().any(|call| call.purpose == purpose)
    }

    fn finish_call(&mut self, ticket: InstallTicket) -> Option<CallPurpose> {
        let at = self.calls.iter().position(|call| call.ticket == ticket)?;
        Some(self.calls.swap_remove(at).purpose)
    }

    fn take_store(
        &mut self,
        now: MonoTime,
        ticket: InstallTicket,
        result: Result<StoreReply, StoreFailure>,
    ) {
        // An answer after its time is of no use: what it says may be older than what is known.
        match self.finish_call(ticket) {
            None => {}
            Some(CallPurpose::Poll) => self.take_head(now, rows_of(result)),
            Some(CallPurpose::CatchUp) => self.take_rows(now, rows_of(result)),
            Some(CallPurpose::Order) => self.take_order_answer(now, result),
            Some(CallPurpose::Read(read)) => self.take_read(now, read, rows_of(result)),
            Some(CallPurpose::Peer) => {}
        }
    }

    /// Puts a version in force if it is newer and has no fault.
    pub(crate) fn install(
        &mut self,
        set: PublishedSet,
        changes: Vec<ConfigChange>,
    ) -> Result<(), InstallFault> {
        if set.version <= self.version() {
            return Ok(());
        }
        let report = check_set(&set.set);
        if !report.is_clean() {
            let version = set.version;
            return Err(InstallFault::Faulty { version, report });
        }
        let joins = changes
            .first()
            .is_some_and(|first| first.base == self.version());
        if !joins {
            self.chain.clear();
        }
        self.chain.extend(changes);
        self.digest = SetDigest::of(&set.set);
        let set = Arc::new(set);
        self.in_force = Some(Arc::clone(&set));
        self.announce(set.version);
        self.outputs.push(InstallOutput::Install(set));
        Ok(())
    }

    pub(crate) fn announce(&mut self, version: ConfigVersion) {
        if version > self.announced {
            self.announced = version;
            self.outputs.push(InstallOutput::Announce(version));
        }
    }

    fn answer_peer(&mut self, ticket: InstallTicket, have: ConfigVersion) {
        let batch = match &self.in_force {
            Some(set) if set.version > have => {
                let changes = self.chain.after(have);
                ChangeBatch {
                    snapshot: changes.is_none().then(|| Arc::clone(set)),
                    changes: changes.unwrap_or_default(),
                    digest: self.digest.clone(),
                }
            }
            _ => ChangeBatch::default(),
        };
        self.outputs
            .push(InstallOutput::AnswerPeer { ticket, batch });
    }
}

fn rows_of(result: Result<StoreReply, StoreFailure>) -> Option<Vec<StoreRow>> {
    match result {
        Ok(StoreReply::Rows { rows }) => Some(rows),
        _ => None,
    }
}
