//! Routing, admission, limits, retries, health and cost decisions of one host, without I/O.

mod adaptive_limit;
mod baseline;
mod budget;
mod class_scheduler;
mod detector;
mod engine;
mod estimate;
mod fairness;
mod forecast;
mod gate;
mod hash;
mod health;
mod lanes;
mod ledger;
mod message;
mod plan;
mod pool;
mod quota;
mod route;
mod server;
mod settings;
mod status;
mod subset;

pub use baseline::LatencyBaseline;
pub use detector::{CusumCharts, EwmaChart, RunChart};
pub use engine::PolicyEngine;
pub use message::{
    AdmitDecision, AdmitNotice, AdmitRequest, AttemptKind, AttemptOutcome, PickDecision,
    PickRequest, RefuseReason, RequestEnd, SentAttempt, ServerReport,
};
pub use quota::MAX_SHARE_FACTOR;
pub use settings::{PolicySettings, RoutingPolicy};
pub use status::{
    CostReport, CostSplit, PoolCounters, PoolStatus, QueueStatus, ServerCondition, ServerStatus,
    StageCost, WorkspaceCost,
};
pub use subset::{SubsetMember, choose_subset};
