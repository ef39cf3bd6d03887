//! Observations of a run from outside the state machines.

use hollywheel_node::{RefusalReason, ReplyPart};
use hollywheel_store::StoreRow;
use hollywheel_types::{
    ConfigVersion, HostId, IdempotencyKey, Incarnation, MonoTime, RequestId, ServerId,
};

use super::backend::LedgerEntry;
use crate::cell::CellScenario;

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request.
    pub request: RequestId,
    /// The time at which the host received it.
    pub at: MonoTime,
    /// The host.
    pub host: usize,
    /// The incarnation of the host's process.
    pub incarnation: Incarnation,
    /// The pipeline.
    pub scenario: CellScenario,
    /// The input.
    pub input: String,
    /// The key.
    pub key: Option<IdempotencyKey>,
    /// The configuration version that the host had received by then.
    pub version: ConfigVersion,
}

/// A part of a reply that a caller received.
#[derive(Clone, Debug)]
pub struct SeenPart {
    /// The time.
    pub at: MonoTime,
    /// The request.
    pub request: RequestId,
    /// The part.
    pub part: ReplyPart,
}

impl SeenPart {
    /// Returns whether this is the final part.
    pub const fn is_final(&self) -> bool {
        !matches!(self.part, ReplyPart::Token { .. })
    }

    /// Returns the reason if the part is a refusal.
    pub const fn reason(&self) -> Option<RefusalReason> {
        match &self.part {
            ReplyPart::Refused(refusal) => Some(refusal.reason),
            _ => None,
        }
    }
}

/// The state of a process at the end of the run.
#[derive(Clone, Debug)]
pub struct ProcessEnd {
    /// The host.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The number of requests in progress.
    pub requests: usize,
    /// The time of the next timer of the process.
    pub next_wake: Option<MonoTime>,
    /// Whether all claims are settled.
    pub settled: bool,
    /// The configuration version in force.
    pub version: ConfigVersion,
}

/// All observations that the checks use.
#[derive(Clone, Debug, Default)]
pub struct SceneLog {
    /// The requests.
    pub sent: Vec<SentRequest>,
    /// The parts of the replies.
    pub parts: Vec<SeenPart>,
    /// The requests whose caller has disconnected or lost its host.
    pub lost: Vec<RequestId>,
    /// The ledger of the backend servers.
    pub ledger: Vec<LedgerEntry>,
    /// The last time at which an input about an attempt reached the host, by request.
    pub heard: Vec<(RequestId, MonoTime)>,
    /// The intervals in which a host's process was paused.
    pub pauses: Vec<(usize, MonoTime, MonoTime)>,
    /// The leaving servers, with the time since when the hosts know.
    pub leaving: Vec<(ServerId, MonoTime)>,
    /// The time at which each host was told to shut down.
    pub drain_ordered: Vec<(usize, MonoTime)>,
    /// The time at which each host reported that its shutdown is complete.
    pub drained: Vec<(usize, MonoTime)>,
    /// The processes that were killed.
    pub killed: Vec<(usize, MonoTime)>,
    /// The newest configuration version sent to each host.
    pub versions: [ConfigVersion; 2],
    /// The processes at the end of the run.
    pub ends: Vec<ProcessEnd>,
    /// The claim rows at the end of the run.
    pub rows: Vec<StoreRow>,
    /// Whether the run exceeded the maximum number of events.
    pub endless: bool,
    /// The faults that were injected.
    pub reached: usize,
}
