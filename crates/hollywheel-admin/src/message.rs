//! Requests and responses of the operator interface, as JSON.

use hollywheel_config::{CheckFault, ObjectSet, PublishedSet};
use hollywheel_types::{
    ConfigVersion, DomainId, ExecutionVerdict, HostId, IdempotencyKey, Incarnation, PoolId,
    PublishId, RegionId, RequestClass, RequestId, ServerId, StageId, WallTime, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// Identifies what an operator may do. Each role includes the roles before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read state.
    Viewer,
    /// May also publish, drain and resolve claims.
    Publisher,
}

/// Describes an error in the format of RFC 9457. The verdict and the fields after it are
/// extensions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProblemDetails {
    /// The type of the problem, a path under `/problems/`.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short name of the problem type.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// An explanation of this occurrence of the problem.
    pub detail: String,
    /// Whether the request may have been executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<ExecutionVerdict>,
    /// The time after which to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The ID of the request that failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The faults of an invalid object set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<CheckFault>,
}

/// Requests the validation of a set: `POST /admin/config/check`. The response is 200 with a
/// `CheckReport`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckRequest {
    /// The set to validate.
    pub set: ObjectSet,
}

/// Requests the publication of a set: `POST /admin/config/publish`.
///
/// The response is 200 with a [`PublishReply`], 409 if another version was published in the
/// meantime, 422 with the faults of an invalid set, or 503 with a verdict if the table service is
/// unreachable.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishRequest {
    /// The version that the set is based on.
    pub base: ConfigVersion,
    /// The ID of the publication. A request that is repeated with the same ID publishes at most
    /// once.
    pub publish_id: PublishId,
    /// The operator, as shown in the history.
    pub operator: String,
    /// The complete new set.
    pub set: ObjectSet,
}

/// The response to a publication or a rollback.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PublishReply {
    /// The version that was published.
    pub version: ConfigVersion,
    /// The number of objects that differ from the previous version.
    pub changed: u32,
}

/// Requests the publication of the set of an older version as a new version:
/// `POST /admin/config/rollback`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RollbackRequest {
    /// The version whose set is published again.
    pub to: ConfigVersion,
    /// The version that must be the newest one.
    pub base: ConfigVersion,
    /// The ID of the publication, as in [`PublishRequest`].
    pub publish_id: PublishId,
    /// The operator, as shown in the history.
    pub operator: String,
}

/// Holds the version in force on the host: `GET /admin/config`, or an older version with
/// `?version=N`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDocument {
    /// The published version with its set.
    pub published: PublishedSet,
}

/// Lists publications, newest first: `GET /admin/config/history?limit=N`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HistoryList {
    /// The publications, newest first.
    pub entries: Vec<HistoryEntry>,
}

/// Describes one publication in the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: ConfigVersion,
    /// The operator who published the version.
    pub operator: String,
    /// The time of the publication.
    pub published_at: WallTime,
    /// One line for each object that differs, such as `~ pool/rates`.
    pub changes: Vec<String>,
}

/// Identifies the membership state of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host answers probes.
    Alive,
    /// The host failed a probe and may be dead.
    Suspect,
    /// The host is shutting down and accepts no new requests.
    Leaving,
    /// The host is considered dead.
    Dead,
}

/// Lists the hosts known to this host: `GET /admin/hosts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// Describes a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name of the host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The membership state.
    pub state: HostState,
    /// The configuration version in force on the host, as last received.
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
    /// The backend servers of the pool.
    pub servers: Vec<ServerStatus>,
}

/// Describes a backend server as this host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// The failure domain.
    pub domain: DomainId,
    /// The state: `available`, `ejected`, `probing` or `leaving`.
    pub state: String,
    /// The number of requests in flight from this host.
    pub in_flight: u32,
    /// The number of running requests last reported by the server.
    pub reported_running: u32,
    /// The number of queued requests last reported by the server.
    pub reported_queued: u32,
    /// The age of that report, in milliseconds.
    pub report_age_ms: u64,
}

/// Describes the state of this host and whether it meets its targets: `GET /admin/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// The name of the host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// Why the host is not ready, or what is degraded; empty if nothing is.
    pub notices: Vec<String>,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The number of hosts considered alive, this one included.
    pub hosts_alive: u32,
    /// Whether the last call of the table service succeeded.
    pub store_ok: bool,
    /// The number of claims that are not settled.
    pub claims_open: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of requests queued for admission.
    pub queued: u32,
    /// The counters of each request class.
    pub classes: Vec<ClassStatus>,
    /// The counters of the workspaces with the most requests.
    pub workspaces: Vec<WorkspaceStatus>,
    /// The cost of each stage by class.
    pub costs: Vec<StageCost>,
}

/// Counts the requests of a class since the process started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassStatus {
    /// The class.
    pub class: RequestClass,
    /// The number of requests received.
    pub received: u64,
    /// The number of complete responses within the deadline.
    pub attained: u64,
    /// The number of complete responses after the deadline.
    pub late: u64,
    /// The number of requests rejected without being run.
    pub refused: u64,
    /// The number of failed requests, with any verdict.
    pub failed: u64,
    /// The median time to the complete response, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile of the time to the complete response, in milliseconds.
    pub p99_ms: u64,
}

/// Counts the requests of a workspace since the process started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The number of requests received.
    pub received: u64,
    /// The number of complete responses within the deadline.
    pub attained: u64,
    /// The number of requests rejected without being run.
    pub refused: u64,
}

/// Describes the cost of a stage for one class, in milliseconds of backend server time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: StageId,
    /// The class.
    pub class: RequestClass,
    /// The cost of responses that were delivered in time.
    pub useful_ms: u64,
    /// The cost of retries.
    pub retried_ms: u64,
    /// The cost of hedged attempts.
    pub hedged_ms: u64,
    /// The cost of cancelled attempts.
    pub cancelled_ms: u64,
    /// The cost of responses that missed their deadline.
    pub late_ms: u64,
}

/// Lists claims: `GET /admin/claims?after=KEY&limit=N`. Settled claims are included with `all=1`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClaimList {
    /// The claims.
    pub claims: Vec<ClaimEntry>,
}

/// Describes a claim of an idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The idempotency key within the workspace.
    pub key: IdempotencyKey,
    /// The host that made the claim.
    pub host: HostId,
    /// The incarnation of that host's process.
    pub incarnation: Incarnation,
    /// What is known about the execution of the request.
    pub verdict: ExecutionVerdict,
    /// The state: `open`, `released` or `settled`.
    pub state: String,
    /// The time at which the claim was made.
    pub claimed_at: WallTime,
}

/// Resolves a claim that a dead host left open: `POST /admin/claims/resolve`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimResolution {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The idempotency key within the workspace.
    pub key: IdempotencyKey,
    /// What the operator established: `not-run` frees the key, `ran` settles the claim.
    pub verdict: ExecutionVerdict,
    /// The operator, as written to the log.
    pub operator: String,
}

/// The response to a request to shut down gracefully: `POST /admin/drain`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainReply {
    /// The host that is shutting down.
    pub host: HostId,
    /// The number of requests still in flight.
    pub in_flight: u32,
}

/// Lists the events of a request on this host: `GET /admin/trace/REQUEST`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TraceDocument {
    /// The ID of the request.
    pub request: RequestId,
    /// The events in the order in which they occurred.
    pub events: Vec<TraceEvent>,
}

/// Describes one event of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TraceEvent {
    /// The time since the request was received, in microseconds.
    pub at_us: u64,
    /// A description of the event.
    pub event: String,
    /// The stage that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<StageId>,
    /// The backend server that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerId>,
}
