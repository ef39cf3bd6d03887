//! What a batcher is asked and what it answers.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId};

use crate::rank::RequestRank;
use crate::stage_graph::PieceHandle;

/// Names a group of pieces at a batcher.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupTicket(pub u64);

/// Asks for the pieces of one stage of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupRequest {
    /// The name of the group.
    pub ticket: GroupTicket,
    /// The kind of work, which tells pieces of different cost apart.
    pub kind: String,
    /// The number of pieces.
    pub pieces: usize,
    /// The size of one result, in bytes.
    pub result_bytes: u64,
    /// The finish that leaves later stages their part of the time that the request can wait; at
    /// the latest that of `due`.
    pub goal: MonoTime,
    /// The latest finish with which the request meets its objective.
    pub due: MonoTime,
    /// The latest finish with which the request meets its deadline.
    pub expires: MonoTime,
    /// The rank of the request.
    pub rank: RequestRank,
    /// Whether the request holds results of other stages, which take room at their servers while
    /// the group waits.
    pub holding: bool,
    /// The failure domain where most of the bytes are that the pieces read, or that are read of
    /// them.
    pub domain: Option<DomainId>,
    /// The bytes that cross failure domains if the pieces are made in another one.
    pub pull_bytes: u64,
}

/// Says whether a group is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupVerdict {
    /// It waits for a call that is expected to end after this time.
    Queued {
        /// The expected time until the results are there.
        expected: Duration,
    },
    /// It can't be done before it expires.
    Refused {
        /// When the request may come back with hope.
        retry_after: Duration,
    },
}

/// Names one piece of a group by its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkPiece {
    /// The group.
    pub ticket: GroupTicket,
    /// The position of the piece in its group.
    pub position: usize,
}

/// Describes a call that should be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallPlan {
    /// The name of the call.
    pub call: u64,
    /// The server.
    pub server: ServerId,
    /// The pieces in the order in which they are sent.
    pub pieces: Vec<WorkPiece>,
    /// After this time the call is given up and its pieces are made elsewhere.
    pub timeout: Duration,
}

/// Says what became of one piece of a call, or of a whole group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceResult {
    /// It was made.
    Made(PieceHandle),
    /// Its time was over.
    Late,
    /// A result that it is made from is gone.
    InputGone,
    /// The server has no room for its result.
    NoRoom,
    /// The server could not make it.
    Failed,
}

/// Says how a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// With a result for each piece, in the order in which they were sent.
    Answered(Vec<PieceResult>),
    /// The server did not begin it.
    Refused {
        /// How long it wants no other call, if it said so.
        pause: Option<Duration>,
    },
    /// The connection broke, or no complete answer came in time.
    Failed,
}

/// Tells a group what became of one of its pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PieceDelivery {
    /// The piece.
    pub piece: WorkPiece,
    /// What became of it; never [`PieceResult::NoRoom`].
    pub result: PieceResult,
}
