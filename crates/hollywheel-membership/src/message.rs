//! Inputs, outputs and messages of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, DomainId, HostId, Incarnation, RegionId, ServerId};
use serde::{Deserialize, Serialize};

/// Settings of the membership state machine of one host.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The local host.
    pub host: HostId,
    /// The incarnation of the local process: its start time.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The address at which other hosts reach the local host.
    pub address: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The time between probes.
    pub probe_interval: Duration,
    /// How long to wait for an answer to a direct probe before asking other hosts to probe.
    pub probe_timeout: Duration,
    /// The shortest time after which an unrefuted suspicion marks the host as dead.
    pub suspect_timeout: Duration,
}

impl MemberSettings {
    /// Returns the settings of a host with the default intervals.
    pub const fn new(
        host: HostId,
        incarnation: Incarnation,
        domain: DomainId,
        region: RegionId,
        address: SocketAddr,
        seed: u64,
    ) -> Self {
        Self {
            host,
            incarnation,
            domain,
            region,
            address,
            seed,
            probe_interval: Duration::from_millis(1000),
            probe_timeout: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(4),
        }
    }
}

/// The state of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The host answers probes.
    Alive,
    /// A probe of the host failed and the host has not refuted the suspicion yet.
    Suspect,
    /// The host is shutting down; this state is final for the incarnation unless the host dies.
    Leaving,
    /// The host is considered dead until it refutes that or restarts.
    Dead,
}

/// What one host knows of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// A counter that the host itself increments to refute a suspicion.
    pub refutation: u64,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The address at which other hosts reach it.
    pub address: SocketAddr,
    /// The state.
    pub state: MemberState,
    /// The configuration version in force on the host, as last reported.
    pub config_version: ConfigVersion,
}

/// An update that is piggybacked on messages between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "news")]
pub enum MemberUpdate {
    /// The state of a host.
    Host(MemberRecord),
    /// A backend server is leaving; this applies to its incarnation only.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The incarnation of its process; zero if unknown.
        incarnation: Incarnation,
    },
    /// A configuration version has been published.
    ConfigPublished(ConfigVersion),
    /// The configuration version in force on the sender of the message; receivers do not forward
    /// this update.
    ConfigInForce(ConfigVersion),
    /// A probe of one host by another failed.
    Suspected {
        /// The suspect.
        host: HostId,
        /// The incarnation of its process.
        incarnation: Incarnation,
        /// The refutation counter that the suspect must exceed to refute the suspicion.
        refutation: u64,
        /// The host whose probe failed.
        by: HostId,
    },
}

/// A membership message between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "message")]
pub enum MemberMessage {
    /// Asks for an acknowledgement.
    Ping {
        /// The sequence number of the probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// Piggybacked updates.
        news: Vec<MemberUpdate>,
    },
    /// Acknowledges a probe.
    Ack {
        /// The sequence number of the acknowledged probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// Piggybacked updates.
        news: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe a host on behalf of the sender.
    PingRequest {
        /// The sequence number of the probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// The host to probe.
        target: HostId,
        /// The address of the host to probe.
        target_address: SocketAddr,
        /// Piggybacked updates.
        news: Vec<MemberUpdate>,
    },
    /// Asks for the full state of the receiver; sent when joining.
    Join {
        /// The record of the sender.
        record: MemberRecord,
    },
    /// Part of the full state of the sender.
    State {
        /// The records of the hosts.
        records: Vec<MemberRecord>,
    },
    /// Tells the requester of an indirect probe that the target has not answered the prober
    /// either.
    Nack {
        /// The sequence number that the requester gave the probe.
        sequence: u64,
        /// The sender.
        from: HostId,
    },
    /// Carries updates and expects no answer.
    Gossip {
        /// The sender.
        from: HostId,
        /// The updates.
        news: Vec<MemberUpdate>,
    },
    /// Compares the states of two hosts; a receiver whose digest differs sends its full state.
    Sync {
        /// The sender.
        from: HostId,
        /// The digest of the sender's state.
        digest: u64,
        /// Whether a receiver whose digest differs should also send its own digest, so that the
        /// sender sends its full state in turn.
        answer: bool,
    },
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// The address at which other hosts reach it.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// Whether the list marks the host as leaving.
    pub leaving: bool,
}

/// An input of the membership state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum MemberInput {
    /// A message arrived.
    Message {
        /// The address of the sender.
        from: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// The platform's host list was read; it lags behind the actual state.
    HostList(Vec<ListedHost>),
    /// A configuration version came into force on the local host.
    ConfigInForce(ConfigVersion),
    /// A configuration version was published, as learned from the table service or an operator.
    ConfigPublished(ConfigVersion),
    /// A backend server is leaving, as learned from the server itself or from a list.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The incarnation of its process; zero if unknown.
        incarnation: Incarnation,
    },
    /// Begins the graceful shutdown of the local host.
    Leave,
    /// Runs the actions that are due.
    Tick,
}

/// An output of the membership state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum MemberOutput {
    /// Sends a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// The set of hosts that are considered alive changed; carries the records of all of them.
    HostsChanged(Vec<MemberRecord>),
    /// A backend server is leaving.
    ServerLeaving(ServerId),
    /// Another host has a newer configuration version; its changes should be fetched there.
    FetchConfig {
        /// The address of the host.
        from: SocketAddr,
        /// The version.
        version: ConfigVersion,
    },
    /// A configuration version was published that is newer than the one in force on the local
    /// host; the table service has it.
    ConfigPublished(ConfigVersion),
    /// A later process runs under the name of the local host; the local process must shut down.
    Superseded {
        /// The incarnation of the later process.
        by: Incarnation,
    },
}
