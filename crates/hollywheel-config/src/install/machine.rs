//! The state machine that publishes and installs versions on one host.

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
use crate::install::command::CommandQueue;
use crate::install::digest::SetDigest;
use crate::install::history::PendingRead;
use crate::install::message::{
    ChangeBatch, InstallFault, InstallInput, InstallOutput, InstallSettings, InstallTicket,
};

/// The minimum and the maximum time between two polls, as a factor of the mean.
const POLL_DELAY_RANGE: (f64, f64) = (0.05, 2.0);

/// The purpose of a call, which decides how its reply is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallPurpose {
    /// Reads the head row.
    Poll,
    /// Reads rows to catch up with a newer version.
    CatchUp,
    /// Fetches changes from a peer host.
    Peer,
    /// Belongs to the command in progress.
    Command,
    /// Belongs to a read of the history or of a version.
    Read(InstallTicket),
}

/// A call that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    ticket: InstallTicket,
    purpose: CallPurpose,
    /// When the call times out.
    deadline: MonoTime,
}

/// The state machine that publishes versions and puts published versions in force on one host.
///
/// It does no input or output of its own: the caller executes each [`InstallOutput`] and returns
/// results as [`InstallInput`].
#[derive(Debug)]
pub struct InstallMachine {
    pub(crate) settings: InstallSettings,
    pub(crate) random: StdRng,
    /// The version in force.
    pub(crate) in_force: Option<Arc<PublishedSet>>,
    /// The digest of the version in force.
    pub(crate) digest: SetDigest,
    /// The latest changes, for peers that are behind.
    pub(crate) chain: ChangeChain,
    pub(crate) catch_up: CatchUp,
    pub(crate) commands: CommandQueue,
    pub(crate) reads: Vec<PendingRead>,
    /// The newest version that was announced to the membership machine.
    pub(crate) announced: ConfigVersion,
    /// When the head row is read next.
    pub(crate) poll_at: MonoTime,
    /// The number of hosts that are considered alive, this one included.
    alive_hosts: u32,
    calls: Vec<PendingCall>,
    /// The ticket of the last call that was made.
    last_ticket: u64,
    pub(crate) outputs: Vec<InstallOutput>,
}

impl InstallMachine {
    /// Creates a machine that has no version in force.
    pub fn new(settings: InstallSettings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            in_force: None,
            digest: SetDigest::default(),
            chain: ChangeChain::default(),
            catch_up: CatchUp::default(),
            commands: CommandQueue::default(),
            reads: Vec::new(),
            announced: ConfigVersion::default(),
            poll_at: MonoTime::default(),
            alive_hosts: 1,
            calls: Vec::new(),
            last_ticket: 0,
            outputs: Vec::new(),
        }
    }

    /// Processes an input and returns the resulting outputs.
    pub fn handle(&mut self, now: MonoTime, input: InstallInput) -> Vec<InstallOutput> {
        match input {
            InstallInput::Store { ticket, result } => self.handle_store_reply(now, ticket, result),
            InstallInput::PeerChanges { ticket, result } => {
                if self.finish_call(ticket).is_some() {
                    self.handle_peer_changes(now, result);
                }
            }
            InstallInput::PeerHas { from, version } => self.handle_peer_version(now, from, version),
            InstallInput::VersionPublished(version) => self.handle_published_version(now, version),
            InstallInput::HostsAlive(hosts) => self.alive_hosts = hosts.max(1),
            InstallInput::Publish(command) => self.handle_publish(now, command),
            InstallInput::Rollback(command) => self.handle_rollback(now, command),
            InstallInput::PeerAsks { ticket, have } => self.answer_peer(ticket, have),
            InstallInput::ReadHistory { ticket, limit } => self.read_history(now, ticket, limit),
            InstallInput::ReadVersion { ticket, version } => {
                self.read_version(now, ticket, version);
            }
            InstallInput::Tick => {}
        }
        self.run_due_timers(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which the next [`InstallInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let calls = self.calls.iter().map(|call| call.deadline).min();
        [Some(self.poll_at), calls, self.commands.retry_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &InstallSettings {
        &self.settings
    }

    /// Returns the version in force; none if the host is not ready.
    pub const fn in_force(&self) -> Option<&Arc<PublishedSet>> {
        self.in_force.as_ref()
    }

    /// Returns the number of the version in force; zero if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map(|set| set.version)
            .unwrap_or_default()
    }

    fn run_due_timers(&mut self, now: MonoTime) {
        while let Some(index) = self.calls.iter().position(|call| call.deadline <= now) {
            let ticket = self.calls[index].ticket;
            self.expire_call(now, ticket);
        }
        if self.poll_at <= now {
            self.poll(now);
        }
        self.retry_command(now);
    }

    fn expire_call(&mut self, now: MonoTime, ticket: InstallTicket) {
        let is_peer_call = self
            .calls
            .iter()
            .any(|call| call.ticket == ticket && call.purpose == CallPurpose::Peer);
        if is_peer_call {
            self.finish_call(ticket);
            self.handle_peer_changes(now, None);
        } else {
            self.handle_store_reply(now, ticket, Err(StoreFailure::Unknown));
        }
    }

    /// Draws the time until the next poll. The mean grows with the number of hosts, so that the
    /// rate at which the fleet reads the head row hardly depends on its size. The delays are
    /// exponentially distributed; otherwise hosts that start together would keep polling together.
    pub(crate) fn draw_poll_delay(&mut self) -> Duration {
        let mean_delay = (self.settings.fleet_poll_interval * self.alive_hosts).clamp(
            self.settings.min_poll_interval,
            self.settings.max_poll_interval,
        );
        let sample: f64 = self.random.random_range(0.0..1.0);
        let factor = -(1.0 - sample).ln();
        mean_delay.mul_f64(factor.clamp(POLL_DELAY_RANGE.0, POLL_DELAY_RANGE.1))
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
            deadline: now + self.settings.call_timeout,
        });
        ticket
    }

    pub(crate) fn has_pending_call(&self, purpose: CallPurpose) -> bool {
        self.calls.iter().any(|call| call.purpose == purpose)
    }

    fn finish_call(&mut self, ticket: InstallTicket) -> Option<CallPurpose> {
        let index = self.calls.iter().position(|call| call.ticket == ticket)?;
        Some(self.calls.swap_remove(index).purpose)
    }

    fn handle_store_reply(
        &mut self,
        now: MonoTime,
        ticket: InstallTicket,
        result: Result<StoreReply, StoreFailure>,
    ) {
        // A reply after the time-out is ignored: its content may be older than what is already
        // known.
        match self.finish_call(ticket) {
            None => {}
            Some(CallPurpose::Poll) => self.handle_head_row(now, reply_rows(result)),
            Some(CallPurpose::CatchUp) => self.handle_catch_up_rows(now, reply_rows(result)),
            Some(CallPurpose::Command) => self.handle_command_reply(now, result),
            Some(CallPurpose::Read(read)) => self.handle_read_rows(now, read, reply_rows(result)),
            Some(CallPurpose::Peer) => {}
        }
    }

    /// Puts a version in force if it is newer and valid.
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
        let is_contiguous = changes
            .first()
            .is_some_and(|first| first.base == self.version());
        if !is_contiguous {
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

    /// Announces that a version is published, unless it or a newer one was announced before.
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

/// Returns the rows of a reply; none if the call failed.
fn reply_rows(result: Result<StoreReply, StoreFailure>) -> Option<Vec<StoreRow>> {
    match result {
        Ok(StoreReply::Rows { rows }) => Some(rows),
        _ => None,
    }
}
