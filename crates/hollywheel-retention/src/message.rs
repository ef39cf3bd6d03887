//! Inputs and outputs of the retention state machine.

use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use hollywheel_types::{ConfigVersion, HostId, WallTime};

/// Correlates a call of the table service with its answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RetentionTicket(pub u64);

/// An input of the retention state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum RetentionInput {
    /// The hosts that are considered alive, including the local host; if that is missing, the
    /// sweep stops.
    Hosts(Vec<HostId>),
    /// Sets the wall-clock time and runs the call that is due, if any.
    Tick(WallTime),
    /// A call of the table service completed.
    Store {
        /// The ticket of the call.
        ticket: RetentionTicket,
        /// The reply or failure.
        result: Result<StoreReply, StoreFailure>,
    },
}

/// An output of the retention state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum RetentionOutput {
    /// Calls the table service.
    Store {
        /// The ticket of the call.
        ticket: RetentionTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Rows were removed.
    Removed {
        /// The number of claims.
        claims: u64,
        /// The number of configuration rows.
        config_rows: u64,
    },
    /// A pass over the claims ended.
    PassEnded {
        /// The number of rows read during the pass.
        read: u64,
    },
    /// Old configuration rows were kept because the snapshot that replaces them, at this version,
    /// is incomplete.
    ConfigKept(ConfigVersion),
}
