//! Inputs and outputs of the sweep.

use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use hollywheel_types::{ConfigVersion, HostId, WallTime};

/// Numbers the calls of the sweep.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RetentionTicket(pub u64);

/// Holds one input of the sweep.
#[derive(Clone, Debug, PartialEq)]
pub enum RetentionInput {
    /// Replaces the hosts taken for alive, this one included; without any the sweep stops.
    Hosts(Vec<HostId>),
    /// Gives the wall-clock time; a call may be due.
    Tick(WallTime),
    /// Answers a call of the table service.
    Store {
        /// The call.
        ticket: RetentionTicket,
        /// What became of it.
        result: Result<StoreReply, StoreFailure>,
    },
}

/// Holds one output of the sweep.
#[derive(Clone, Debug, PartialEq)]
pub enum RetentionOutput {
    /// Calls the table service.
    Store {
        /// The call.
        ticket: RetentionTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Tells of rows that were removed.
    Removed {
        /// The number of claims.
        claims: u64,
        /// The number of configuration rows.
        config_rows: u64,
    },
    /// Tells that a pass over the claims ended.
    PassEnded {
        /// The number of rows that were read.
        read: u64,
    },
    /// Tells that configuration rows stay, since the whole set that would replace them is not
    /// complete.
    ConfigKept(ConfigVersion),
}
