//! Inputs, outputs, settings and errors of the install machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use hollywheel_types::{ConfigVersion, PublishId, WallTime};
use serde::{Deserialize, Serialize};

use crate::change::{ConfigChange, PublishedSet};
use crate::check::CheckReport;
use crate::install::digest::SetDigest;
use crate::set::ObjectSet;

/// Identifies a call of the install machine, or a query to it, so that the reply can be matched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstallTicket(pub u64);

/// Holds the settings of an [`crate::InstallMachine`].
#[derive(Clone, Debug)]
pub struct InstallSettings {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The mean time between two reads of the head row by any host of the fleet.
    pub fleet_poll_interval: Duration,
    /// The minimum of the mean time between two reads of the head row by this host.
    pub min_poll_interval: Duration,
    /// The maximum of the mean time between two reads of the head row by this host.
    pub max_poll_interval: Duration,
    /// The time-out of a call.
    pub call_timeout: Duration,
}

impl Default for InstallSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            fleet_poll_interval: Duration::from_millis(250),
            min_poll_interval: Duration::from_secs(2),
            max_poll_interval: Duration::from_secs(60),
            call_timeout: Duration::from_secs(5),
        }
    }
}

/// Holds the changes that bring a host from its version to a newer one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChangeBatch {
    /// The version to start from; none to start from the version that the host has.
    pub snapshot: Option<Arc<PublishedSet>>,
    /// The changes to apply, oldest first.
    pub changes: Vec<ConfigChange>,
    /// The digest of the resulting set.
    #[serde(default)]
    pub digest: SetDigest,
}

/// Requests the publication of a set as a new version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishCommand {
    /// The ID of the publication. A command that is repeated with the same ID publishes at most
    /// once.
    pub publish_id: PublishId,
    /// The version that the set is based on.
    pub base: ConfigVersion,
    /// The operator who publishes the set.
    pub operator: String,
    /// The complete new set.
    pub set: ObjectSet,
    /// The wall-clock time of the command.
    pub published_at: WallTime,
}

/// Requests the publication of the set of an older version as a new version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RollbackCommand {
    /// The ID of the publication. A command that is repeated with the same ID publishes at most
    /// once.
    pub publish_id: PublishId,
    /// The version that must be the newest one.
    pub base: ConfigVersion,
    /// The version whose set is published again.
    pub to: ConfigVersion,
    /// The operator who requests the rollback.
    pub operator: String,
    /// The wall-clock time of the command.
    pub published_at: WallTime,
}

/// Confirms a publication that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishReceipt {
    /// The version that the publication created.
    pub version: ConfigVersion,
    /// The number of objects that differ from the previous version.
    pub changed: u32,
}

/// Describes one entry of the publication history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeSummary {
    /// The version.
    pub version: ConfigVersion,
    /// The operator who published the version.
    pub operator: String,
    /// The time of the publication.
    pub published_at: WallTime,
    /// One line for each object that differs, such as `~ pool/rates`.
    pub changes: Vec<String>,
}

/// Describes why a command or a read failed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum InstallError {
    /// Another version was published in the meantime.
    Conflict {
        /// The version that the command is based on.
        base: ConfigVersion,
        /// The newest published version.
        published: ConfigVersion,
    },
    /// The set is invalid.
    Faulty(CheckReport),
    /// The set equals that of the base version.
    Unchanged(ConfigVersion),
    /// The change does not fit into the rows of one transaction.
    TooLarge {
        /// The size of the change, in bytes.
        given: u64,
        /// The maximum size, in bytes.
        limit: u64,
    },
    /// Too many commands or reads are in progress.
    Busy,
    /// The version is not stored.
    NoVersion(ConfigVersion),
    /// The host has no version in force yet.
    NotReady,
    /// The table service rejected the call, which had no effect.
    Refused {
        /// The time after which to retry.
        retry_after: Duration,
    },
    /// It is not known whether the publication took effect; retry with the same publication ID.
    Unknown,
}

impl fmt::Display for InstallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { base, published } => write!(
                f,
                "the set is based on version {base} but the newest version is {published}; \
                 base the change on version {published}"
            ),
            Self::Faulty(report) => {
                write!(f, "the set has {} faults", report.faults.len())
            }
            Self::Unchanged(version) => write!(f, "the set equals that of version {version}"),
            Self::TooLarge { given, limit } => write!(
                f,
                "the change has {given} bytes; the limit is {limit}; split it into several publications"
            ),
            Self::Busy => f.write_str("too many commands are in progress; try again"),
            Self::NoVersion(version) => write!(f, "version {version} is not stored"),
            Self::NotReady => f.write_str("the host has no version in force yet; use another host"),
            Self::Refused { retry_after } => write!(
                f,
                "the table service rejected the call, which had no effect; retry in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown => f.write_str(
                "it is not known whether the publication took effect; retry with the same \
                 publication ID",
            ),
        }
    }
}

impl std::error::Error for InstallError {}

/// Describes why stored rows or changes from a peer were rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum InstallFault {
    /// A row is missing or invalid.
    BadRow {
        /// The key of the row.
        key: String,
        /// The problem.
        message: String,
    },
    /// A change does not follow the version that it was to be applied to.
    BrokenChain {
        /// The version that the change was to be applied to.
        have: ConfigVersion,
        /// The version that the change is based on.
        base: ConfigVersion,
    },
    /// The set does not have the digest that was stored or sent with it.
    WrongDigest(ConfigVersion),
    /// The set is invalid.
    Faulty {
        /// The version.
        version: ConfigVersion,
        /// The faults.
        report: CheckReport,
    },
}

impl fmt::Display for InstallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadRow { key, message } => write!(f, "row {key}: {message}"),
            Self::BrokenChain { have, base } => write!(
                f,
                "a change based on version {base} does not follow version {have}"
            ),
            Self::WrongDigest(version) => {
                write!(f, "version {version} does not match its digest")
            }
            Self::Faulty { version, report } => {
                write!(f, "version {version} has {} faults", report.faults.len())
            }
        }
    }
}

impl std::error::Error for InstallFault {}

/// An input of the install machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum InstallInput {
    /// The reply to a call of the table service.
    Store {
        /// The call.
        ticket: InstallTicket,
        /// The reply of the table service.
        result: Result<StoreReply, StoreFailure>,
    },
    /// The reply to a fetch of changes from a peer.
    PeerChanges {
        /// The fetch.
        ticket: InstallTicket,
        /// The changes; none if the peer was not reached.
        result: Option<ChangeBatch>,
    },
    /// A peer has announced its version in force.
    PeerHas {
        /// The peer.
        from: SocketAddr,
        /// The version.
        version: ConfigVersion,
    },
    /// A version was published; no peer is known to have it.
    VersionPublished(ConfigVersion),
    /// The number of hosts that are considered alive, this one included.
    HostsAlive(u32),
    /// Publishes a set.
    Publish(PublishCommand),
    /// Publishes the set of an older version again.
    Rollback(RollbackCommand),
    /// A peer requests changes.
    PeerAsks {
        /// The query, repeated in the reply.
        ticket: InstallTicket,
        /// The version that the peer has.
        have: ConfigVersion,
    },
    /// Reads the publication history.
    ReadHistory {
        /// The query, repeated in the reply.
        ticket: InstallTicket,
        /// The maximum number of entries.
        limit: u32,
    },
    /// Reads a version.
    ReadVersion {
        /// The query, repeated in the reply.
        ticket: InstallTicket,
        /// The version.
        version: ConfigVersion,
    },
    /// Time has passed; runs the timers that are due.
    Tick,
}

/// An output of the install machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum InstallOutput {
    /// Calls the table service.
    Store {
        /// The call.
        ticket: InstallTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Fetches changes from a peer.
    FetchPeer {
        /// The fetch.
        ticket: InstallTicket,
        /// The peer.
        from: SocketAddr,
        /// The version that this host has in force.
        have: ConfigVersion,
    },
    /// Replies to a peer that requested changes.
    AnswerPeer {
        /// The query.
        ticket: InstallTicket,
        /// The changes; empty if the peer is not behind this host.
        batch: ChangeBatch,
    },
    /// Puts a version in force. Successive outputs have increasing version numbers.
    Install(Arc<PublishedSet>),
    /// Reports the result of a publish or rollback command.
    Published {
        /// The ID of the publication.
        publish_id: PublishId,
        /// The result.
        result: Result<PublishReceipt, InstallError>,
    },
    /// Tells the membership machine that a version is published.
    Announce(ConfigVersion),
    /// Replies to a read of the publication history.
    History {
        /// The query.
        ticket: InstallTicket,
        /// The entries, newest first.
        result: Result<Vec<ChangeSummary>, InstallError>,
    },
    /// Replies to a read of a version.
    Version {
        /// The query.
        ticket: InstallTicket,
        /// The version.
        result: Result<Arc<PublishedSet>, InstallError>,
    },
    /// Reports that stored rows or changes from a peer were rejected.
    Rejected(InstallFault),
}
