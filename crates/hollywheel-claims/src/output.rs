//! Effects that the claim table returns.

use hollywheel_store::StoreRequest;
use hollywheel_types::{HostId, Incarnation, RequestId};

use crate::entry::ClaimDenial;
use crate::message::{ClaimQuestion, StoredAnswer};

/// Correlates the calls and questions of one claim table with their answers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimTicket(pub u64);

/// Effect for the caller of the claim table to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutput {
    /// Calls the table service.
    Store {
        /// Ticket that the answer must carry.
        ticket: ClaimTicket,
        /// Request to the table service.
        request: StoreRequest,
    },
    /// Asks another host about a claim.
    AskHost {
        /// Ticket that the answer must carry.
        ticket: ClaimTicket,
        /// Host to ask.
        host: HostId,
        /// Incarnation that must answer.
        incarnation: Incarnation,
        /// Question about the claim.
        question: ClaimQuestion,
    },
    /// The request holds the claim and may run.
    Granted {
        /// Identifier of the request.
        request: RequestId,
    },
    /// An earlier request with the same key ran; its answer is replayed.
    Replayed {
        /// Identifier of the request.
        request: RequestId,
        /// Answer of the earlier request.
        answer: StoredAnswer,
    },
    /// The request must not run.
    Denied {
        /// Identifier of the request.
        request: RequestId,
        /// Reason for the denial.
        denial: ClaimDenial,
    },
}
