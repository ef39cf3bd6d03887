//! Inputs and outputs of a pool batcher.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId};

use crate::rank::RequestRank;
use crate::stage_graph::PieceHandle;

/// Identifies a group of pieces within one batcher.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupTicket(pub u64);

/// Submits the pieces of one stage of one request to a batcher, as one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupRequest {
    /// The identifier of the group.
    pub ticket: GroupTicket,
    /// The kind of work; execution times are learned for each kind separately.
    pub kind: String,
    /// The number of pieces in the group.
    pub pieces: usize,
    /// The expected size of the result of one piece, in bytes.
    pub result_bytes: u64,
    /// The finish time that leaves later stages their proportional share of the request's slack;
    /// never later than `due`.
    pub goal: MonoTime,
    /// The latest finish time with which the request can meet its latency objective.
    pub due: MonoTime,
    /// The latest finish time with which the request can meet its deadline.
    pub expires: MonoTime,
    /// The priority rank of the request.
    pub rank: RequestRank,
    /// The digest of the name of the request's workspace; 0 if unknown, which is not subject to fair
    /// shares.
    pub workspace: u64,
    /// Whether results of other stages of the request occupy server memory while the group waits.
    pub holding: bool,
    /// The failure domain with most of the bytes that the pieces read or that later stages read
    /// from their results; none if any domain is equally good.
    pub domain: Option<DomainId>,
    /// The bytes that cross failure domains if the pieces run outside `domain`.
    pub pull_bytes: u64,
}

/// Describes whether a group was admitted to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupVerdict {
    /// The group was admitted and waits for a call.
    Queued {
        /// The expected time from now until its results are available.
        expected: Duration,
    },
    /// The group was rejected: it would expire first, or the pool has no servers.
    Refused {
        /// The time in which the pool executes what waits now.
        retry_after: Duration,
    },
}

/// Identifies one piece by its group and its position there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkPiece {
    /// The group that contains the piece.
    pub ticket: GroupTicket,
    /// The zero-based position of the piece in its group.
    pub position: usize,
}

/// Describes a call to send to a backend server now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallPlan {
    /// The number of the call, unique within the batcher.
    pub call: u64,
    /// The backend server to call.
    pub server: ServerId,
    /// The pieces, in the order in which they are sent.
    pub pieces: Vec<WorkPiece>,
    /// The time after which the call is abandoned and its pieces are retried.
    pub timeout: Duration,
}

/// Describes the outcome of one piece of a call, or of a whole group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceResult {
    /// The piece was executed; its result is stored on the server under this handle.
    Made(PieceHandle),
    /// The piece expired before it was executed.
    Late,
    /// A result of an earlier stage that the piece needs is no longer stored.
    InputGone,
    /// The server had no free memory for the result; the piece was not executed.
    NoRoom,
    /// The server failed to execute the piece.
    Failed,
}

/// Describes how a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The server answered with one result for each piece, in the order in which they were sent.
    Answered(Vec<PieceResult>),
    /// The server rejected the call without starting it.
    Refused {
        /// The time for which the server asked for no further call, if it gave one.
        pause: Option<Duration>,
    },
    /// The call was not sent: the server has named a limit on its requests.
    AtLimit {
        /// The time until the server may have a free place.
        wait: Duration,
    },
    /// No complete response arrived before the time-out.
    Failed,
    /// The server ended the connection before a complete response, as a server does that crashes.
    ServerLost,
}

impl CallOutcome {
    /// Returns the handles of the results that the call has produced.
    pub fn into_handles(self) -> Vec<PieceHandle> {
        let Self::Answered(results) = self else {
            return Vec::new();
        };
        let made = results.into_iter().filter_map(|result| match result {
            PieceResult::Made(handle) => Some(handle),
            PieceResult::Late
            | PieceResult::InputGone
            | PieceResult::NoRoom
            | PieceResult::Failed => None,
        });
        made.collect()
    }
}

/// Reports the final outcome of one piece to its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PieceDelivery {
    /// The piece that has ended.
    pub piece: WorkPiece,
    /// The outcome; never [`PieceResult::NoRoom`].
    pub result: PieceResult,
}
