//! Discovery and download of newer versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_store::StoreRow;
use hollywheel_types::{ConfigVersion, MonoTime};
use rand::RngExt;

use crate::change::PublishedSet;
use crate::install::digest::SetDigest;
use crate::install::machine::{CallPurpose, InstallMachine};
use crate::install::message::{ChangeBatch, InstallFault, InstallOutput};
use crate::install::reader::{ReadProgress, VersionReader};
use crate::install::rows::{head_row_request, parse_head};

/// The maximum number of peers remembered as having a newer version.
const MAX_PEERS: usize = 4;

/// The mean time that a host which knows of a newer version waits for its peers before it reads the
/// head row.
const PEER_WAIT: Duration = Duration::from_millis(1500);

/// The sources of newer versions.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    /// Peers that have a newer version in force, with that version.
    peers: Vec<(SocketAddr, ConfigVersion)>,
    /// The read of a newer version from the table service, while one is in progress.
    reader: Option<VersionReader>,
}

impl InstallMachine {
    /// Reads the head row, unless a read of it is in progress, and schedules the next read.
    pub(crate) fn poll(&mut self, now: MonoTime) {
        self.poll_at = now + self.draw_poll_delay();
        if !self.has_pending_call(CallPurpose::Poll) {
            self.call_store(now, CallPurpose::Poll, head_row_request());
        }
    }

    /// Handles the notice that a peer has a version in force.
    pub(crate) fn handle_peer_version(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        version: ConfigVersion,
    ) {
        if version <= self.version() {
            return;
        }
        let peers = &mut self.catch_up.peers;
        peers.retain(|(peer, _)| *peer != from);
        if peers.len() < MAX_PEERS {
            peers.push((from, version));
        }
        self.fetch_peer(now);
    }

    /// Fetches changes from a remembered peer, unless a fetch is in progress.
    fn fetch_peer(&mut self, now: MonoTime) {
        if self.has_pending_call(CallPurpose::Peer) {
            return;
        }
        let have = self.version();
        self.catch_up.peers.retain(|(_, version)| *version > have);
        let Some((from, _)) = self.catch_up.peers.pop() else {
            return;
        };
        let ticket = self.add_call(now, CallPurpose::Peer);
        self.outputs
            .push(InstallOutput::FetchPeer { ticket, from, have });
    }

    /// Handles the notice that a version was published. The host gives its peers a random time to
    /// offer the version, so that not all hosts read the head row at once.
    pub(crate) fn handle_published_version(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.version() {
            return;
        }
        let wait = PEER_WAIT.mul_f64(self.random.random_range(0.5..1.5));
        self.poll_at = self.poll_at.min(now + wait);
    }

    /// Handles the answer of a peer to a fetch; `result` is none if the peer was not reached.
    pub(crate) fn handle_peer_changes(&mut self, now: MonoTime, result: Option<ChangeBatch>) {
        let outcome = match result {
            Some(batch) => self.apply_batch(batch),
            None => Ok(()),
        };
        if let Err(fault) = outcome {
            self.outputs.push(InstallOutput::Rejected(fault));
            self.poll_at = self.poll_at.min(now);
        }
        self.fetch_peer(now);
    }

    fn apply_batch(&mut self, batch: ChangeBatch) -> Result<(), InstallFault> {
        let has_snapshot = batch.snapshot.is_some();
        let start = batch.snapshot.or_else(|| self.in_force.clone());
        let mut set = start.as_deref().cloned().unwrap_or_default();
        for change in &batch.changes {
            if change.version <= set.version && !has_snapshot {
                continue;
            }
            set.advance(change)
                .map_err(|mismatch| InstallFault::BrokenChain {
                    have: mismatch.version,
                    base: mismatch.base,
                })?;
        }
        if set.version <= self.version() {
            return Ok(());
        }
        if SetDigest::of(&set.set) != batch.digest {
            return Err(InstallFault::WrongDigest(set.version));
        }
        let have = self.version();
        let mut changes = batch.changes;
        changes.retain(|change| change.version > have);
        self.install(set, changes)
    }

    /// Handles a read of the head row; `rows` is none if the table service did not answer.
    pub(crate) fn handle_head_row(&mut self, now: MonoTime, rows: Option<Vec<StoreRow>>) {
        let Some(rows) = rows else {
            return;
        };
        match parse_head(&rows) {
            Ok((head, _)) => self.start_catch_up(now, head.version),
            Err(fault) => self.outputs.push(InstallOutput::Rejected(fault)),
        }
    }

    /// Starts to read a newer version from the table service.
    fn start_catch_up(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.version() {
            return;
        }
        self.announce(version);
        if self.catch_up.reader.is_some() {
            return;
        }
        let reader = VersionReader::new(self.in_force.as_ref(), version);
        self.call_store(now, CallPurpose::CatchUp, reader.request());
        self.catch_up.reader = Some(reader);
    }

    pub(crate) fn handle_catch_up_rows(&mut self, now: MonoTime, rows: Option<Vec<StoreRow>>) {
        let Some(mut reader) = self.catch_up.reader.take() else {
            return;
        };
        // If the table service did not answer, the next poll starts again.
        let Some(rows) = rows else {
            return;
        };
        if reader.target() <= self.version() {
            return;
        }
        match reader.add_page(&rows) {
            ReadProgress::More => {
                self.call_store(now, CallPurpose::CatchUp, reader.request());
                self.catch_up.reader = Some(reader);
            }
            ReadProgress::Done(set, changes) => self.install_or_reject(set, changes),
            ReadProgress::Failed(fault) => self.outputs.push(InstallOutput::Rejected(fault)),
        }
    }

    /// Installs a version, and reports it as rejected if it is invalid.
    pub(crate) fn install_or_reject(
        &mut self,
        set: PublishedSet,
        changes: Vec<crate::change::ConfigChange>,
    ) {
        if let Err(fault) = self.install(set, changes) {
            self.outputs.push(InstallOutput::Rejected(fault));
        }
    }

    /// Returns the set of a version if it is known without a read.
    pub(crate) fn known_set(&self, version: ConfigVersion) -> Option<Arc<PublishedSet>> {
        if version == ConfigVersion::default() {
            return Some(Arc::default());
        }
        self.in_force
            .as_ref()
            .filter(|set| set.version == version)
            .map(Arc::clone)
    }
}
