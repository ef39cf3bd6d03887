//! Requests and answers of the operators' interface, as JSON.

use hollywheel_config::{CheckFault, ObjectSet, PublishedSet};
use hollywheel_types::{
    ConfigVersion, DomainId, ExecutionVerdict, HostId, IdempotencyKey, Incarnation, PoolId,
    PublishId, RegionId, RequestClass, RequestId, ServerId, StageId, WallTime, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// Names what an operator may do. A later role includes the earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read state.
    Viewer,
    /// May also publish, drain and resolve claims.
    Publisher,
}

/// Describes an error in the form of RFC 9457, with the verdict as an extension.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProblemDetails {
    /// The kind of problem, a path under `/problems/`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    pub detail: String,
    /// Whether the request may have run, for requests to pipelines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<ExecutionVerdict>,
    /// When to call again, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request that the problem belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The faults of an object set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<CheckFault>,
}

/// Asks for the check of a set: `POST /admin/config/check`. Answers 200 with a `CheckReport`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckRequest {
    /// The set.
    pub set: ObjectSet,
}

/// Asks for publication: `POST /admin/config/publish`.
///
/// Answers 200 with a [`PublishReply`], 409 if another version was published meanwhile, 422
/// with the faults of the set, or 503 with a verdict if the table service is not reached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishRequest {
    /// The version that the set was made from.
    pub base: ConfigVersion,
    /// The publication; asking again with the same id never publishes twice.
    pub publish_id: PublishId,
    /// The operator, for the history.
    pub operator: String,
    /// The whole new set.
    pub set: ObjectSet,
}

/// Answers a publication or a rollback.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishReply {
    /// The version that is now published.
    pub version: ConfigVersion,
    /// The number of objects that differ from the version before.
    pub changed: u32,
}

/// Asks for an old set as a new version: `POST /admin/config/rollback`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RollbackRequest {
    /// The version whose set is wanted again.
    pub to: ConfigVersion,
    /// The version that must be in force.
    pub base: ConfigVersion,
    /// The publication.
    pub publish_id: PublishId,
    /// The operator, for the history.
    pub operator: String,
}

/// Holds the set in force on the host: `GET /admin/config`, or of an older version with
/// `?version=N`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDocument {
    /// The published set.
    pub published: PublishedSet,
}

/// Lists publications, newest first: `GET /admin/config/history?limit=N`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HistoryList {
    /// The publications.
    pub entries: Vec<HistoryEntry>,
}

/// Describes one publication.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: ConfigVersion,
    /// The operator.
    pub operator: String,
    /// When it was published.
    pub published_at: WallTime,
    /// One line an object, such as `~ pool/rates`.
    pub changes: Vec<String>,
}

/// Names the state of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Answers probes.
    Alive,
    /// Failed a probe and may be dead.
    Suspect,
    /// Is shutting down and takes no new work.
    Leaving,
    /// Is taken for dead.
    Dead,
}

/// Lists the hosts that this host knows: `GET /admin/hosts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// Describes a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name.
    pub host: HostId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The state.
    pub state: HostState,
    /// The configuration version in force there, as last heard.
    pub config_version: ConfigVersion,
}

/// Lists pools: `GET /admin/pools`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolList {
    /// The pools.
    pub pools: Vec<PoolEntry>,
}

/// Describes a pool as this host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolEntry {
    /// The pool.
    pub pool: PoolId,
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
}

/// Describes a backend server as this host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// The failure domain.
    pub domain: DomainId,
    /// `available`, `ejected`, `probing` or `leaving`.
    pub state: String,
    /// Requests of this host that are running there.
    pub in_flight: u32,
    /// Requests running as last reported by the server.
    pub reported_running: u32,
    /// Requests queued as last reported by the server.
    pub reported_queued: u32,
    /// The age of the report in milliseconds.
    pub report_age_ms: u64,
}

/// Tells whether targets are met on this host: `GET /admin/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Why not, or what is impaired; empty if nothing is.
    pub notices: Vec<String>,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The hosts taken for alive, this one included.
    pub hosts_alive: u32,
    /// Whether the last call of the table service succeeded.
    pub store_ok: bool,
    /// Claims not settled yet.
    pub claims_open: u32,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests waiting for admission.
    pub queued: u32,
    /// The classes.
    pub classes: Vec<ClassStatus>,
    /// The busiest workspaces.
    pub workspaces: Vec<WorkspaceStatus>,
    /// What each stage spent.
    pub costs: Vec<StageCost>,
}

/// Tells how a class fares since the process started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassStatus {
    /// The class.
    pub class: RequestClass,
    /// Requests received.
    pub received: u64,
    /// Complete answers within the deadline.
    pub attained: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed, with any verdict.
    pub failed: u64,
    /// The median time to the complete answer, in milliseconds.
    pub p50_ms: u64,
    /// The time that 99 of 100 complete answers took at most, in milliseconds.
    pub p99_ms: u64,
}

/// Tells how a workspace fares since the process started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests received.
    pub received: u64,
    /// Complete answers within the deadline.
    pub attained: u64,
    /// Requests refused as not run.
    pub refused: u64,
}

/// Tells what a stage spent, in milliseconds of backend servers' time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: StageId,
    /// The class.
    pub class: RequestClass,
    /// For answers that were delivered in time.
    pub useful_ms: u64,
    /// For attempts after the first.
    pub retried_ms: u64,
    /// For hedges.
    pub hedged_ms: u64,
    /// For attempts that were cancelled.
    pub cancelled_ms: u64,
    /// For answers that came too late.
    pub late_ms: u64,
}

/// Lists claims: `GET /admin/claims?after=KEY&limit=N`. Only those not settled, unless `all=1`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClaimList {
    /// The claims.
    pub claims: Vec<ClaimEntry>,
}

/// Describes a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The key within the workspace.
    pub key: IdempotencyKey,
    /// The host that made the claim.
    pub host: HostId,
    /// The start of that host's process.
    pub incarnation: Incarnation,
    /// What is known of the execution.
    pub verdict: ExecutionVerdict,
    /// `open`, `released` or `settled`.
    pub state: String,
    /// When the claim was made.
    pub claimed_at: WallTime,
}

/// Settles a claim that a dead host left: `POST /admin/claims/resolve`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimResolution {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The key within the workspace.
    pub key: IdempotencyKey,
    /// What the operator found out: `not-run` frees the key, `ran` settles it.
    pub verdict: ExecutionVerdict,
    /// The operator, for the log.
    pub operator: String,
}

/// Answers an order to shut down gracefully: `POST /admin/drain`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainReply {
    /// The host that drains.
    pub host: HostId,
    /// Requests still in progress.
    pub in_flight: u32,
}

/// Tells what this host did for a request: `GET /admin/trace/REQUEST`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TraceDocument {
    /// The request.
    pub request: RequestId,
    /// The events in order.
    pub events: Vec<TraceEvent>,
}

/// Describes one event of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Microseconds since the request was received.
    pub at_us: u64,
    /// What happened.
    pub event: String,
    /// The stage, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<StageId>,
    /// The backend server, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerId>,
}
