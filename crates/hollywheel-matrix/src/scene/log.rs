//! What can be seen of a cell from outside the machines.

use hollywheel_node::{RefusalReason, ReplyPart};
use hollywheel_store::StoreRow;
use hollywheel_types::{
    ConfigVersion, HostId, IdempotencyKey, Incarnation, MonoTime, RequestId, ServerId,
};

use super::backend::LedgerEntry;
use crate::cell::CellScenario;

/// Describes a request that a caller sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request.
    pub request: RequestId,
    /// When the host received it.
    pub at: MonoTime,
    /// The host.
    pub host: usize,
    /// The start of the host's process.
    pub incarnation: Incarnation,
    /// The pipeline.
    pub scenario: CellScenario,
    /// The input.
    pub input: String,
    /// The key.
    pub key: Option<IdempotencyKey>,
    /// The version of the objects that the host had been given by then.
    pub version: ConfigVersion,
}

/// Holds a part of a reply as the caller saw it.
#[derive(Clone, Debug)]
pub struct SeenPart {
    /// When.
    pub at: MonoTime,
    /// The request.
    pub request: RequestId,
    /// The part.
    pub part: ReplyPart,
}

impl SeenPart {
    /// Says whether it is a final part.
    pub const fn is_final(&self) -> bool {
        !matches!(self.part, ReplyPart::Token { .. })
    }

    /// Returns the reason of a refusal.
    pub const fn reason(&self) -> Option<RefusalReason> {
        match &self.part {
            ReplyPart::Refused(refusal) => Some(refusal.reason),
            _ => None,
        }
    }
}

/// Holds the state of a process at the end.
#[derive(Clone, Debug)]
pub struct ProcessEnd {
    /// The host.
    pub host: HostId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// Requests still in progress.
    pub requests: usize,
    /// The point at which the process still wants to be woken.
    pub next_wake: Option<MonoTime>,
    /// Whether every claim is settled.
    pub settled: bool,
    /// The version in force.
    pub version: ConfigVersion,
}

/// Holds everything that the checker may look at.
#[derive(Clone, Debug, Default)]
pub struct SceneLog {
    /// The requests.
    pub sent: Vec<SentRequest>,
    /// The parts of the replies.
    pub parts: Vec<SeenPart>,
    /// Requests whose caller left or lost its host.
    pub lost: Vec<RequestId>,
    /// What the backend servers did.
    pub ledger: Vec<LedgerEntry>,
    /// The last point at which something about an attempt of a request reached its host.
    pub heard: Vec<(RequestId, MonoTime)>,
    /// Spans in which a host's process was stopped.
    pub pauses: Vec<(usize, MonoTime, MonoTime)>,
    /// Servers that are leaving, and since when the hosts know.
    pub leaving: Vec<(ServerId, MonoTime)>,
    /// When each host was told to shut down.
    pub drain_ordered: Vec<(usize, MonoTime)>,
    /// When each host said that its shutdown is complete.
    pub drained: Vec<(usize, MonoTime)>,
    /// Processes that were killed.
    pub killed: Vec<(usize, MonoTime)>,
    /// The newest version given to each host.
    pub versions: [ConfigVersion; 2],
    /// The processes at the end.
    pub ends: Vec<ProcessEnd>,
    /// The claim rows at the end.
    pub rows: Vec<StoreRow>,
    /// Whether the events did not come to an end.
    pub endless: bool,
    /// The faults that set in.
    pub reached: usize,
}
