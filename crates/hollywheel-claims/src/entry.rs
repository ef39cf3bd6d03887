//! What the claim table keeps about one claim.

use std::time::Duration;

use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, WallTime,
};

use crate::message::ClaimKey;
use crate::output::ClaimTicket;
use crate::row::{ClaimRow, ClaimState};
use crate::settings::ClaimSettings;

/// Asks for the claim of a key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// The key.
    pub key: ClaimKey,
    /// The digest of the request body and the pipeline.
    pub digest: BodyDigest,
    /// A fresh nonce.
    pub nonce: AttemptNonce,
    /// The wall-clock time, for people to read.
    pub claimed_at: WallTime,
    /// The point after which the request is not sent any more.
    pub deadline: MonoTime,
}

/// Says why a request does not get its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimDenial {
    /// The key was used with another request.
    Reused,
    /// The key was issued by this process, or names it, and no request ran or can run under it.
    Expired,
    /// The key belongs to another request, of which that much is known.
    Taken(ExecutionVerdict),
    /// The table service does not answer.
    StoreUnavailable {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Remembers the words that a claim row is made of.
#[derive(Clone, Debug)]
pub(crate) struct ClaimWords {
    pub(crate) request: RequestId,
    pub(crate) nonce: AttemptNonce,
    pub(crate) digest: BodyDigest,
    pub(crate) claimed_at: WallTime,
}

impl ClaimWords {
    pub(crate) fn row(
        &self,
        settings: &ClaimSettings,
        state: ClaimState,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) -> ClaimRow {
        ClaimRow {
            nonce: self.nonce,
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            request: self.request,
            digest: self.digest,
            claimed_at: self.claimed_at,
            state,
            verdict,
            output,
        }
    }
}

/// Names a host's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ClaimHolder {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

/// Says how far a claim has come.
#[derive(Clone, Debug)]
pub(crate) enum ClaimPhase {
    /// The row is to be written; with a revision, in place of a released one.
    Insert {
        revision: Option<u64>,
        give_up: MonoTime,
        /// Whether a write is in progress.
        writing: bool,
        /// Whether an earlier write may have taken effect or may yet.
        unknown: bool,
    },
    /// Another host holds the row and is asked about it.
    Ask {
        holder: ClaimHolder,
        nonce: AttemptNonce,
        revision: u64,
        failures: u32,
        ticket: Option<ClaimTicket>,
        wake: MonoTime,
    },
    /// The other host does not know the claim; the row is read again.
    Reread {
        nonce: AttemptNonce,
        ticket: ClaimTicket,
        wake: MonoTime,
    },
    /// The row is written and the first of the requests may run.
    Held { revision: u64 },
    /// The result is to be written.
    Settle {
        revision: u64,
        verdict: ExecutionVerdict,
        output: Option<String>,
    },
}

/// Holds one claim that requests of this host wait for or that is not settled.
#[derive(Clone, Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) words: ClaimWords,
    pub(crate) phase: ClaimPhase,
    /// The requests that wait; the first is the one that runs.
    pub(crate) requests: Vec<RequestId>,
}

/// Holds a claim that was given up before anything was sent.
#[derive(Clone, Debug)]
pub(crate) struct ReleaseEntry {
    pub(crate) words: ClaimWords,
    /// The revision of the row to replace; none if the row may not be there.
    pub(crate) revision: Option<u64>,
    /// The revision that a takeover asked for, which may still take effect.
    pub(crate) takeover: Option<u64>,
}
