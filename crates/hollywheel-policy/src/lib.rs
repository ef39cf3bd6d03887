//! Routing, admission, limits, retries, health and cost decisions.

mod engine;
mod message;
mod settings;

pub use engine::PolicyEngine;
pub use message::{
    AdmitDecision, AdmitNotice, AdmitRequest, AttemptKind, AttemptOutcome, PickDecision,
    PickRequest, RefuseReason, RequestEnd, SentAttempt, ServerReport,
};
pub use settings::{PolicySettings, RoutingPolicy};
