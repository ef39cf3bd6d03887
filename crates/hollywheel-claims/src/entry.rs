//! State of the claims in the claim table.

use std::time::Duration;

use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, WallTime,
};

use crate::message::ClaimKey;
use crate::output::ClaimTicket;
use crate::row::{ClaimRow, ClaimState};
use crate::settings::ClaimSettings;

/// Request for the claim of an idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Idempotency key to claim.
    pub key: ClaimKey,
    /// Digest of the request body and the pipeline.
    pub digest: BodyDigest,
    /// Fresh nonce, which identifies this claim among all claims of the key.
    pub nonce: AttemptNonce,
    /// Wall-clock time of the claim, for operators and for the retention of rows; the claim table
    /// itself does not use it.
    pub claimed_at: WallTime,
    /// Deadline of the request; after it the request is not sent any more.
    pub deadline: MonoTime,
}

/// Reason for which a request is denied its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimDenial {
    /// The key was already used with a different request body or pipeline.
    Reused,
    /// The key names this process as its issuer, but no request ran or can run under it.
    Expired,
    /// Another request holds or held the key; its execution verdict is attached.
    Taken(ExecutionVerdict),
    /// The table service does not answer or refuses calls.
    StoreUnavailable {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Fields of a claim row that stay the same in all of its states.
#[derive(Clone, Debug)]
pub(crate) struct ClaimIdentity {
    pub(crate) request: RequestId,
    pub(crate) nonce: AttemptNonce,
    pub(crate) digest: BodyDigest,
    pub(crate) claimed_at: WallTime,
}

impl ClaimIdentity {
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

/// Process of a host, which holds a claim or issued a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ClaimHolder {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

/// Phase of a claim.
#[derive(Clone, Debug)]
pub(crate) enum ClaimPhase {
    /// The claim row is being written, or waits to be written.
    Insert {
        /// Revision of the released row to replace, or `None` to insert a new row.
        revision: Option<u64>,
        give_up_at: MonoTime,
        /// Whether a write of the row is in flight.
        write_in_flight: bool,
        /// Whether an earlier write may have been applied or may still be applied.
        outcome_unknown: bool,
    },
    /// Another host holds the claim and is asked about its state.
    Asking {
        holder: ClaimHolder,
        /// Nonce in the row of the holder.
        nonce: AttemptNonce,
        revision: u64,
        /// Number of consecutive questions without an answer.
        failures: u32,
        /// Ticket of the pending question, if any.
        ticket: Option<ClaimTicket>,
        /// When the pending question times out or the next one is due.
        wake: MonoTime,
    },
    /// The row is being read, because the holder does not know the claim or the issuer of the key
    /// is not alive.
    Reread {
        /// Nonce in the row that the holder did not know.
        nonce: AttemptNonce,
        ticket: ClaimTicket,
        /// When the read times out.
        wake: MonoTime,
    },
    /// The claim row is written; the first of the requests may run.
    Held { revision: u64 },
    /// The request ended; its result is being written, or waits to be written.
    Settle {
        revision: u64,
        verdict: ExecutionVerdict,
        output: Option<String>,
    },
}

/// Claim that requests of this host wait for or hold, or whose result is unwritten.
#[derive(Clone, Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) identity: ClaimIdentity,
    pub(crate) phase: ClaimPhase,
    /// Requests with the key. Once the claim is held, the first one runs and the others wait.
    pub(crate) requests: Vec<RequestId>,
}

/// Claim that was abandoned before anything was sent under it.
#[derive(Clone, Debug)]
pub(crate) struct ReleaseEntry {
    pub(crate) identity: ClaimIdentity,
    /// Revision of the written claim row, or `None` if it is unknown whether the row exists.
    pub(crate) revision: Option<u64>,
    /// Revision of the released row that a takeover write replaces; that write may still be
    /// applied.
    pub(crate) takeover_revision: Option<u64>,
}
