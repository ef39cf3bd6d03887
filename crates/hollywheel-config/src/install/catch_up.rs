//! How a host learns of newer versions and fetches them.

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
use crate::install::rows::{parse_head, read_head};

/// The most peers that are remembered as having a newer version.
const MAX_PEERS: usize = 4;

/// The time that a host waits for its peers before it reads the head row, once it has heard of a
/// newer version.
const PEER_FIRST: Duration = Duration::from_millis(1500);

/// Remembers where newer versions are to be had.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    peers: Vec<(SocketAddr, ConfigVersion)>,
    reader: Option<VersionReader>,
}

impl InstallMachine {
    /// Reads the head row.
    pub(crate) fn poll(&mut self, now: MonoTime) {
        self.poll_at = now + self.poll_span();
        if !self.is_calling(CallPurpose::Poll) {
            self.call_store(now, CallPurpose::Poll, read_head());
        }
    }

    /// Takes the news that a peer has a version in force.
    pub(crate) fn hear_peer(&mut self, now: MonoTime, from: SocketAddr, version: ConfigVersion) {
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

    fn fetch_peer(&mut self, now: MonoTime) {
        if self.is_calling(CallPurpose::Peer) {
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

    /// Takes the news that a version is published; peers are waited for a little, so that not
    /// every host reads the head row at once.
    pub(crate) fn hear_version(&mut self, now: MonoTime, version: ConfigVersion) {
        if version <= self.version() {
            return;
        }
        let wait = PEER_FIRST.mul_f64(self.random.random_range(0.5..1.5));
        self.poll_at = self.poll_at.min(now + wait);
    }

    pub(crate) fn take_peer(&mut self, now: MonoTime, result: Option<ChangeBatch>) {
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
        let whole = batch.snapshot.is_some();
        let start = batch.snapshot.or_else(|| self.in_force.clone());
        let mut set = start.as_deref().cloned().unwrap_or_default();
        for change in &batch.changes {
            if change.version <= set.version && !whole {
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

    /// Takes the head row; none if the table service did not answer.
    pub(crate) fn take_head(&mut self, now: MonoTime, rows: Option<Vec<StoreRow>>) {
        let Some(rows) = rows else {
            return;
        };
        match parse_head(&rows) {
            Ok((head, _)) => self.follow(now, head.version),
            Err(fault) => self.outputs.push(InstallOutput::Rejected(fault)),
        }
    }

    /// Catches up with a version that the table service has.
    fn follow(&mut self, now: MonoTime, version: ConfigVersion) {
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

    pub(crate) fn take_rows(&mut self, now: MonoTime, rows: Option<Vec<StoreRow>>) {
        let Some(mut reader) = self.catch_up.reader.take() else {
            return;
        };
        // Without an answer the next poll begins anew.
        let Some(rows) = rows else {
            return;
        };
        if reader.until() <= self.version() {
            return;
        }
        match reader.take(&rows) {
            ReadProgress::More => {
                self.call_store(now, CallPurpose::CatchUp, reader.request());
                self.catch_up.reader = Some(reader);
            }
            ReadProgress::Done(set, changes) => self.install_read(set, changes),
            ReadProgress::Failed(fault) => self.outputs.push(InstallOutput::Rejected(fault)),
        }
    }

    pub(crate) fn install_read(
        &mut self,
        set: PublishedSet,
        changes: Vec<crate::change::ConfigChange>,
    ) {
        if let Err(fault) = self.install(set, changes) {
            self.outputs.push(InstallOutput::Rejected(fault));
        }
    }

    /// Returns the set that a change is made on, if it is at hand.
    pub(crate) fn set_at(&self, version: ConfigVersion) -> Option<Arc<PublishedSet>> {
        if version == ConfigVersion::default() {
            return Some(Arc::default());
        }
        self.in_force
            .as_ref()
            .filter(|set| set.version == version)
            .map(Arc::clone)
    }
}
