//! Causes of crashes of servers, and the evidence against them.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId};

use crate::request_identity::digest_fields;

/// Crashes closer together than this count as one against a prompt part: when several servers are
/// lost at once, all parts in use have evidence from each of them.
const CRASH_SPACING: Duration = Duration::from_millis(500);

/// Names something that a request may crash servers with.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashCause {
    /// A part of a prompt, which different requests may share.
    Part(u64),
    /// The pieces of one stage that were made from the same key.
    Pieces(u64),
    /// A request as a whole, by the digest of its identity.
    Request(u64),
}

impl CrashCause {
    /// Returns the cause that stands for the pieces of a stage that are made from a key.
    pub fn of_pieces(stage: &str, key: &str) -> Self {
        Self::Pieces(digest_fields(&[stage.as_bytes(), key.as_bytes()]))
    }

    pub(crate) const fn kind(self) -> CauseKind {
        match self {
            Self::Part(_) => CauseKind::Part,
            Self::Pieces(_) => CauseKind::Pieces,
            Self::Request(_) => CauseKind::Request,
        }
    }

    /// Returns the time within which several crashes count as one. A request and its pieces are at one
    /// server at a time, so servers that are lost at once do not have them in common.
    pub(crate) const fn spacing(self) -> Duration {
        match self {
            Self::Part(_) => CRASH_SPACING,
            Self::Pieces(_) | Self::Request(_) => Duration::ZERO,
        }
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part {id:x}"),
            Self::Pieces(id) => write!(f, "pieces {id:016x}"),
            Self::Request(id) => write!(f, "request {id:016x}"),
        }
    }
}

/// Names the kinds of causes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CauseKind {
    /// Prompt parts.
    Part,
    /// Pieces of a stage.
    Pieces,
    /// Whole requests.
    Request,
}

/// Identifies one start of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerStart {
    /// The server.
    pub server: ServerId,
    /// When the server started, in Unix milliseconds, if it is known.
    pub born: Option<u64>,
}

/// Describes evidence that a cause crashed a server, or its withdrawal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// The cause.
    pub cause: CrashCause,
    /// The server that crashed.
    pub server: ServerStart,
    /// The time of the crash.
    pub at: MonoTime,
    /// Whether the server had been writing on the cause for a while before it crashed.
    pub weak: bool,
    /// Whether the evidence does not hold, which is final.
    pub withdrawn: bool,
}

/// Describes whether a request may be sent to servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may be sent.
    Sound,
    /// It is refused.
    Blocked {
        /// The time until a request with the cause is let through.
        wait: Duration,
    },
    /// It may be sent by the host that has this duty, to see whether the cause still crashes servers.
    Probe {
        /// The cause that crashed servers.
        cause: CrashCause,
    },
}

/// Names what an answer shows about the causes that its request holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerProof {
    /// It was answered completely, so its causes do not crash servers.
    Complete,
    /// A server has been writing it for [`EARLY_CRASH_TIME`](crate::EARLY_CRASH_TIME), so its causes do
    /// not crash servers sooner.
    Outlasted,
}
