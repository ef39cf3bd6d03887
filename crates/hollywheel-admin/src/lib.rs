//! Messages of the operator interface, between the daemon and the operator tool.

mod message;

pub use message::{
    CheckRequest, ClaimEntry, ClaimList, ClaimResolution, ClassStatus, ConfigDocument, DrainReply,
    HistoryEntry, HistoryList, HostEntry, HostList, HostState, HostStatus, OperatorRole, PoolEntry,
    PoolList, ProblemDetails, PublishReply, PublishRequest, RollbackRequest, ServerStatus,
    StageCost, TraceDocument, TraceEvent, WorkspaceStatus,
};
