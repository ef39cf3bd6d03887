//! Inputs, outputs and errors of the install machine.

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

/// Numbers the calls of the install machine and the questions to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstallTicket(pub u64);

/// Holds the settings of the install machine of one host.
#[derive(Clone, Debug)]
pub struct InstallSettings {
    /// The seed of random choices.
    pub seed: u64,
    /// The mean time between reads of the head row by any host of the fleet.
    pub fleet_poll_interval: Duration,
    /// The least mean time between reads of the head row by this host.
    pub min_poll_interval: Duration,
    /// The most mean time between reads of the head row by this host.
    pub max_poll_interval: Duration,
    /// The time after which a call without an answer is given up.
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

/// Holds what turns the asker's version into the newest one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChangeBatch {
    /// A whole version to begin with, if the changes from the asker's version are not at hand.
    pub snapshot: Option<Arc<PublishedSet>>,
    /// The changes that follow, oldest first.
    pub changes: Vec<ConfigChange>,
    /// The digest of the set that they lead to.
    #[serde(default)]
    pub digest: SetDigest,
}

/// Asks for the publication of a set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishCommand {
    /// The publication; the same id never publishes twice.
    pub publish_id: PublishId,
    /// The version that the set was made from.
    pub base: ConfigVersion,
    /// The operator.
    pub operator: String,
    /// The whole new set.
    pub set: ObjectSet,
    /// The wall-clock time.
    pub published_at: WallTime,
}

/// Asks for an old set as a new version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RollbackCommand {
    /// The publication; the same id never publishes twice.
    pub publish_id: PublishId,
    /// The version that must be in force.
    pub base: ConfigVersion,
    /// The version whose set is wanted again.
    pub to: ConfigVersion,
    /// The operator.
    pub operator: String,
    /// The wall-clock time.
    pub published_at: WallTime,
}

/// Tells of a publication that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishReceipt {
    /// The version that it made.
    pub version: ConfigVersion,
    /// The number of objects that differ from the version before.
    pub changed: u32,
}

/// Describes one publication for the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeSummary {
    /// The version.
    pub version: ConfigVersion,
    /// The operator.
    pub operator: String,
    /// When it was published.
    pub published_at: WallTime,
    /// One line an object, such as `~ pool/rates`.
    pub changes: Vec<String>,
}

/// Says why an order or a read of the install machine failed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum InstallError {
    /// Another version was published meanwhile.
    Conflict {
        /// The version that the order was made on.
        base: ConfigVersion,
        /// The version that is published.
        published: ConfigVersion,
    },
    /// The set has faults.
    Faulty(CheckReport),
    /// Nothing differs from the base.
    Unchanged(ConfigVersion),
    /// The change does not fit into the rows of one transaction.
    TooLarge {
        /// The bytes of the change.
        given: u64,
        /// The most bytes.
        limit: u64,
    },
    /// Too many orders or reads are in progress.
    Busy,
    /// The version is not stored.
    NoVersion(ConfigVersion),
    /// The host has no version yet.
    NotReady,
    /// The table service refused the call; it had no effect.
    Refused {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The answer is not known; ask again with the same publication.
    Unknown,
}

impl fmt::Display for InstallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { base, published } => write!(
                f,
                "the set was made on version {base} but version {published} is published; \
                 make the change on version {published}"
            ),
            Self::Faulty(report) => {
                write!(f, "the set has {} faults", report.faults.len())
            }
            Self::Unchanged(version) => write!(f, "nothing differs from version {version}"),
            Self::TooLarge { given, limit } => write!(
                f,
                "the change has {given} bytes; the limit is {limit}; publish it in parts"
            ),
            Self::Busy => f.write_str("too many orders are in progress; ask again"),
            Self::NoVersion(version) => write!(f, "version {version} is not stored"),
            Self::NotReady => f.write_str("the host has no version yet; ask another host"),
            Self::Refused { retry_after } => write!(
                f,
                "the table service refused the call, which had no effect; ask again in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown => f.write_str(
                "it is not known whether the publication took effect; ask again with the same \
                 publish id",
            ),
        }
    }
}

impl std::error::Error for InstallError {}

/// Says why rows or a peer's changes were not put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum InstallFault {
    /// A row is missing or can't be read.
    BadRow {
        /// The key of the row.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// A change does not follow the version at hand.
    BrokenChain {
        /// The version at hand.
        have: ConfigVersion,
        /// The version that the change was made on.
        base: ConfigVersion,
    },
    /// The set does not have the digest that the head row states.
    WrongDigest(ConfigVersion),
    /// The set has faults.
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
                "a change on version {base} does not follow version {have}"
            ),
            Self::WrongDigest(version) => {
                write!(f, "version {version} differs from its digest")
            }
            Self::Faulty { version, report } => {
                write!(f, "version {version} has {} faults", report.faults.len())
            }
        }
    }
}

impl std::error::Error for InstallFault {}

/// Holds one input of the install machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum InstallInput {
    /// Answers a call of the table service.
    Store {
        /// The call.
        ticket: InstallTicket,
        /// The answer.
        result: Result<StoreReply, StoreFailure>,
    },
    /// Answers a fetch from a peer; none if it was not reached.
    PeerChanges {
        /// The fetch.
        ticket: InstallTicket,
        /// The answer.
        result: Option<ChangeBatch>,
    },
    /// Tells that a peer has a version in force.
    PeerHas {
        /// The peer.
        from: SocketAddr,
        /// The version.
        version: ConfigVersion,
    },
    /// Tells that a version was published, without a peer that has it.
    VersionPublished(ConfigVersion),
    /// Tells how many hosts are taken for alive, this one included.
    HostsAlive(u32),
    /// Publishes a set.
    Publish(PublishCommand),
    /// Publishes an old set again.
    Rollback(RollbackCommand),
    /// Takes a peer's question for changes.
    PeerAsks {
        /// The question, for the answer.
        ticket: InstallTicket,
        /// The version that the peer has.
        have: ConfigVersion,
    },
    /// Reads the history.
    ReadHistory {
        /// The question, for the answer.
        ticket: InstallTicket,
        /// The most entries.
        limit: u32,
    },
    /// Reads a version.
    ReadVersion {
        /// The question, for the answer.
        ticket: InstallTicket,
        /// The version.
        version: ConfigVersion,
    },
    /// Lets time pass.
    Tick,
}

/// Holds one output of the install machine.
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
        /// The version at hand.
        have: ConfigVersion,
    },
    /// Answers a peer's question for changes.
    AnswerPeer {
        /// The question.
        ticket: InstallTicket,
        /// The answer, empty if the peer has the newest version.
        batch: ChangeBatch,
    },
    /// Puts a version in force; the versions of these outputs only rise.
    Install(Arc<PublishedSet>),
    /// Ends a publication or a rollback.
    Published {
        /// The publication.
        publish_id: PublishId,
        /// What became of it.
        result: Result<PublishReceipt, InstallError>,
    },
    /// Tells the membership machine that a version is known to be published.
    Announce(ConfigVersion),
    /// Answers a read of the history, newest first.
    History {
        /// The question.
        ticket: InstallTicket,
        /// The answer.
        result: Result<Vec<ChangeSummary>, InstallError>,
    },
    /// Answers a read of a version.
    Version {
        /// The question.
        ticket: InstallTicket,
        /// The answer.
        result: Result<Arc<PublishedSet>, InstallError>,
    },
    /// Tells the log that rows or a peer's changes were not put in force.
    Rejected(InstallFault),
}
