//! Identifiers, sizes, rates, time and the execution verdict shared by every crate.

mod class;
mod digest;
mod id;
mod size;
mod sorted_map;
mod time;
mod verdict;

pub use class::RequestClass;
pub use digest::{BodyDigest, KeyHash};
pub use id::{
    AttemptNonce, ConfigVersion, DomainId, FencingNumber, HostId, IdError, IdempotencyKey,
    Incarnation, ModelId, PipelineId, PoolId, PublishId, RegionId, RequestId, ServerId, StageId,
    TargetId, WorkspaceId,
};
pub use size::{ByteSize, Percent, RequestRate, SizeError, TokenCount, TokenIndex};
pub use sorted_map::SortedMap;
pub use time::{MonoTime, WallTime};
pub use verdict::{ExecutionVerdict, VerdictError};
