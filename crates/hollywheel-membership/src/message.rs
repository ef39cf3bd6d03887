//! Inputs, outputs and messages of the membership machine.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, DomainId, HostId, Incarnation, RegionId, ServerId};
use serde::{Deserialize, Serialize};

/// Holds the settings of the membership machine of one host.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The host.
    pub host: HostId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The address that other hosts reach this one at.
    pub address: SocketAddr,
    /// The seed of random choices.
    pub seed: u64,
    /// The time between probes.
    pub probe_interval: Duration,
    /// The time in which a probe must be answered.
    pub probe_timeout: Duration,
    /// The time after which a suspect host is taken for dead.
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

/// Names the state of a host in messages.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Failed a probe.
    Suspect,
    /// Is shutting down; holds for the incarnation.
    Leaving,
    /// Is taken for dead until it refutes that or restarts.
    Dead,
}

/// Describes what is known of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The host.
    pub host: HostId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Raised by the host itself to refute a suspicion.
    pub refutation: u64,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The address between hosts.
    pub address: SocketAddr,
    /// The state.
    pub state: MemberState,
    /// The configuration version in force there, as last heard.
    pub config_version: ConfigVersion,
}

/// Holds a piece of news that travels on other messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "news")]
pub enum MemberUpdate {
    /// The state of a host.
    Host(MemberRecord),
    /// A backend server is leaving; holds for its incarnation.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The start of its process, zero if not known.
        incarnation: Incarnation,
    },
    /// A configuration version has been published.
    ConfigPublished(ConfigVersion),
    /// The version that is in force on the sender of the message; not passed on.
    ConfigInForce(ConfigVersion),
    /// A host failed a probe of another one.
    Suspected {
        /// The suspect.
        host: HostId,
        /// The start of its process.
        incarnation: Incarnation,
        /// The refutation that the suspect must exceed.
        refutation: u64,
        /// The host whose probe failed.
        by: HostId,
    },
}

/// Holds a message between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "message")]
pub enum MemberMessage {
    /// Asks for an acknowledgement.
    Ping {
        /// Numbers the probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// News carried along.
        news: Vec<MemberUpdate>,
    },
    /// Acknowledges a probe.
    Ack {
        /// The probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// News carried along.
        news: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe a host for the sender.
    PingRequest {
        /// Numbers the probe.
        sequence: u64,
        /// The sender.
        from: HostId,
        /// The host to probe.
        target: HostId,
        /// The address of the host to probe.
        target_address: SocketAddr,
        /// News carried along.
        news: Vec<MemberUpdate>,
    },
    /// Asks for everything that the receiver knows; sent when joining.
    Join {
        /// The sender.
        record: MemberRecord,
    },
    /// Holds a part of everything that the sender knows.
    State {
        /// The hosts.
        records: Vec<MemberRecord>,
    },
    /// Tells the asker of an indirect probe that the target has not answered the prober either.
    Nack {
        /// The probe of the asker.
        sequence: u64,
        /// The sender.
        from: HostId,
    },
    /// Carries news and asks for nothing.
    Gossip {
        /// The sender.
        from: HostId,
        /// The news.
        news: Vec<MemberUpdate>,
    },
    /// Compares what two hosts know; a receiver that knows otherwise sends everything.
    Sync {
        /// The sender.
        from: HostId,
        /// The digest of what the sender knows.
        digest: u64,
        /// Whether the receiver should compare too and answer with its own digest.
        answer: bool,
    },
}

/// Describes an entry host of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// The address between hosts.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// Whether the list says that the host is leaving.
    pub leaving: bool,
}

/// Holds one input of the membership machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum MemberInput {
    /// Takes a message.
    Message {
        /// The address that it came from.
        from: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Takes the platform's host list, which lags.
    HostList(Vec<ListedHost>),
    /// Tells the version that is in force on this host.
    ConfigInForce(ConfigVersion),
    /// Tells that a version was published, as learned from the table service or an operator.
    ConfigPublished(ConfigVersion),
    /// Tells that a backend server is leaving, as learned from itself or from a list.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The start of its process, zero if not known.
        incarnation: Incarnation,
    },
    /// Begins the graceful shutdown of this host.
    Leave,
    /// Lets time pass.
    Tick,
}

/// Holds one output of the membership machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum MemberOutput {
    /// Sends a message.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// The hosts taken for alive changed.
    HostsChanged(Vec<MemberRecord>),
    /// A backend server is leaving.
    ServerLeaving(ServerId),
    /// Another host has a newer version; its changes should be fetched there.
    FetchConfig {
        /// The address of the host.
        from: SocketAddr,
        /// The version.
        version: ConfigVersion,
    },
    /// A version was published that no known host has in force yet; the table service has it.
    ConfigPublished(ConfigVersion),
    /// A later process runs under the name of this host; this one must shut down.
    Superseded {
        /// The later process.
        by: Incarnation,
    },
}
