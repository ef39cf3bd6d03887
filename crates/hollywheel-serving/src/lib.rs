//! Routing, batching, placement and admission control for requests whose content is opaque.
//!
//! This crate decides to which pipeline a request belongs, how pieces of many requests share a
//! call, which backend server takes which request, and what is refused. It neither reads a clock
//! nor opens a socket: the current time is an argument.

mod avoidance;
mod batch;
mod body_buffer;
mod budget;
mod budget_share;
mod call_time;
mod cold_start;
mod crash_cause;
mod crash_table;
mod engine_choice;
mod evacuation;
mod events;
mod feed_plan;
mod hosts;
mod latency_forecast;
mod load;
mod packed_document;
mod placement;
mod rank;
mod registry;
mod request_identity;
mod restart_backoff;
mod retry_detector;
mod server_limit;
mod serving_set;
mod shards;
mod slowdown;
mod stage_graph;
mod stage_plan;
mod store_place;
mod store_view;

pub use batch::{
    BatchPolicy, CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery,
    PieceResult, PoolBatcher, WorkPiece,
};
pub use body_buffer::BodyBuffer;
pub use budget::RetryBudget;
pub use budget_share::{BudgetShare, SlackShare};
pub use call_time::CallTimes;
pub use cold_start::{ColdTable, ColdUpdate, cold_permit_rate};
pub use crash_cause::{
    AnswerProof, CauseKind, CrashCause, CrashEvidence, CrashVerdict, ServerStart,
};
pub use crash_table::{CrashTable, EARLY_CRASH_TIME};
pub use engine_choice::{
    EngineChoice, EngineQuery, EngineState, EngineTable, EngineTicket, EngineVerdict,
    PopularityChange, PrefillCause, RankedEngine, RequestSize, choose_ranked, rank_engines,
};
pub use evacuation::{EvacuationChange, EvacuationListing, EvacuationRow, EvacuationTable};
pub use events::{EventSplitter, StreamEvent};
pub use feed_plan::{FeedPlan, reader_count};
pub use hosts::{HostChange, HostRecord, HostTable};
pub use latency_forecast::LatencyForecast;
pub use load::{LoadReport, LoadTable, MeanLatency};
pub use packed_document::{
    DocumentAssembly, DocumentError, DocumentId, DocumentPart, PART_BYTES, PackedDocument,
};
pub use placement::{
    PlacementQuery, PlacementVerdict, PromptPart, TokenCounts, choose_engine, choose_least_loaded,
};
pub use rank::RequestRank;
pub use registry::{RowChange, ServerListing, ServerPhase, ServerRecord, ServerRegistry};
pub use request_identity::{RequestIdentity, workspace_digest};
pub use restart_backoff::RestartBackoff;
pub use retry_detector::{CallerAttempt, RetryDetector};
pub use server_limit::{
    LimitChange, LimitNotice, LimitStatement, LimitTable, PermitLedger, PermitVerdict,
};
pub use serving_set::{
    CallerLimits, ColdLimit, KeyHolder, ModelPool, PiecePool, PipelineRoute, PoolSettings,
    PoolWeight, PoolWork, RequestKind, ServingSet, ServingSetError, StageStep,
};
pub use shards::{PoolShard, ShardWaits, choose_shard, least_wait, split_into_shards};
pub use slowdown::ReportedSlowdown;
pub use stage_graph::{MAX_STAGE_PIECES, PieceHandle, StageGraph, StageInput, stage_order};
pub use stage_plan::{StagePlan, StageTimes};
pub use store_place::{PlaceError, StoreEra, StorePlace};
pub use store_view::{FeedHealth, StoreView, ViewPart};
