//! Outputs of the claim table.

use hollywheel_store::StoreRequest;
use hollywheel_types::{HostId, Incarnation, RequestId};

use crate::entry::ClaimDenial;
use crate::message::{ClaimQuestion, StoredAnswer};

/// Numbers the calls and questions of one claim table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimTicket(pub u64);

/// Holds one output of the claim table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutput {
    /// Calls the table service.
    Store {
        /// The call.
        ticket: ClaimTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Asks another host.
    AskHost {
        /// The question.
        ticket: ClaimTicket,
        /// The host.
        host: HostId,
        /// The incarnation that must answer.
        incarnation: Incarnation,
        /// The question.
        question: ClaimQuestion,
    },
    /// The request holds the claim and may run.
    Granted {
        /// The request.
        request: RequestId,
    },
    /// The request has run before; this is its answer.
    Replayed {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// The request must not run.
    Denied {
        /// The request.
        request: RequestId,
        /// Why.
        denial: ClaimDenial,
    },
}
