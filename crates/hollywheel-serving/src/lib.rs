//! Decisions about requests whose content is opaque: which pipeline a request belongs to,
//! how pieces of many requests share a call, which backend server takes what, and what is
//! refused.
//!
//! Nothing here reads a clock or opens a socket; time is an input.

mod batch;
mod budget;
mod call_time;
mod events;
mod feed_plan;
mod forecast;
mod hosts;
mod load;
mod patience;
mod place;
mod rank;
mod registry;
mod serving_set;
mod shards;
mod stage_graph;
mod stage_plan;
mod store_place;
mod store_view;

pub use batch::{
    BatchPolicy, CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery,
    PieceResult, PoolBatcher, WorkPiece,
};
pub use budget::RetryBudget;
pub use call_time::CallTimes;
pub use events::{EventSplitter, StreamEvent};
pub use feed_plan::{FeedPlan, reader_count};
pub use forecast::LatencyForecast;
pub use hosts::{HostChange, HostRecord, HostTable};
pub use load::{LoadReport, LoadTable};
pub use patience::{CallerAttempt, RetryDetector};
pub use place::{PlacementQuery, PlacementVerdict, PromptPart, choose_engine, choose_least_loaded};
pub use rank::RequestRank;
pub use registry::{RowChange, ServerPhase, ServerRecord, ServerRegistry};
pub use serving_set::{
    CallerLimits, KeyHolder, ModelPool, PiecePool, PipelineRoute, PoolSettings, PoolWeight,
    PoolWork, RequestKind, ServingSet, SetFault, StageStep,
};
pub use shards::{PoolShard, ShardWaits, choose_shard, divide_pool, least_wait};
pub use stage_graph::{MAX_STAGE_PIECES, PieceHandle, StageGraph, StageInput};
pub use stage_plan::{StagePlan, StageTimes};
pub use store_place::{PlaceError, StoreEra, StorePlace};
pub use store_view::{FeedHealth, StoreView};
