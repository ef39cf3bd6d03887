//! Stand-in for the platform: table service, object store, host list and weight store.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollywheel_store::{StoreOp, StoreReply, StoreRequest, TxnMode};
use hollywheel_types::SortedMap;
use http::{StatusCode, header};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::fault::{FaultOrder, FaultSwitch};
use crate::handle::{HandleControl, StandinHandle};
use crate::ledger::LedgerEntry;
use crate::limit::RateLimit;
use crate::message::HostList;
use crate::reply::{
    CutConnection, Reply, ReplyResult, bytes_reply, json_reply, not_run_reply, read_bytes,
    read_json, text_reply,
};
use crate::serve::{self, Endpoint};
use crate::table::{MAX_ROWS, READ_KEYS, SCAN_ROWS, TXN_OPS, TableSpace};

/// Maximum total size of all objects; further ones are refused as not run.
const OBJECT_SPACE_BYTES: usize = 256 * 1024 * 1024;

/// Maximum number of stored host lists; the oldest one is dropped.
const HOST_LISTS: usize = 256;

/// Settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The token that callers must send; none if no token is required.
    pub token: Option<String>,
    /// The limit of writes per second; further ones are refused as not run.
    pub writes_per_second: f64,
    /// The limit of reads per second; further ones are refused as not run.
    pub reads_per_second: f64,
    /// The service time of a call.
    pub latency: Duration,
    /// The age of the host list when it is returned.
    pub host_lag: Duration,
    /// The initial host list.
    pub hosts: HostList,
    /// The limit of reads of models per second; further ones are refused.
    pub weights_per_second: f64,
    /// The size of each model, in bytes.
    pub weight_bytes: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            token: None,
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
            latency: Duration::from_millis(3),
            host_lag: Duration::from_millis(2000),
            hosts: HostList::default(),
            weights_per_second: 2.0,
            weight_bytes: 64 * 1024,
        }
    }
}

/// Numbers of calls since the start.
#[derive(Debug, Default)]
struct CallCounts {
    reads: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
    late: AtomicU64,
}

#[derive(Debug, Serialize)]
struct CountReport {
    reads: u64,
    writes: u64,
    refused: u64,
    lost: u64,
    late: u64,
}

impl CallCounts {
    fn report(&self) -> CountReport {
        CountReport {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
            late: self.late.load(Ordering::Relaxed),
        }
    }
}

/// A write, which is applied once.
enum PlatformWrite {
    Txn { mode: TxnMode, ops: Vec<StoreOp> },
    Object { name: String, body: Bytes },
}

struct PlatformServer {
    settings: PlatformSettings,
    stop: CancellationToken,
    faults: FaultSwitch,
    counts: CallCounts,
    writes: RateLimit,
    reads: RateLimit,
    weights: RateLimit,
    tables: Mutex<TableSpace>,
    objects: Mutex<SortedMap<String, Bytes>>,
    hosts: Mutex<VecDeque<(Instant, HostList)>>,
}

impl PlatformServer {
    fn new(settings: PlatformSettings) -> Self {
        let first = (Instant::now(), settings.hosts.clone());
        Self {
            stop: CancellationToken::new(),
            faults: FaultSwitch::new(),
            counts: CallCounts::default(),
            writes: RateLimit::new(settings.writes_per_second),
            reads: RateLimit::new(settings.reads_per_second),
            weights: RateLimit::new(settings.weights_per_second),
            tables: Mutex::default(),
            objects: Mutex::default(),
            hosts: Mutex::new(VecDeque::from([first])),
            settings,
        }
    }

    fn is_authorized(&self, request: &Request<Incoming>) -> bool {
        let Some(token) = &self.settings.token else {
            return true;
        };
        let given = request.headers().get(header::AUTHORIZATION);
        given.is_some_and(|given| given.as_bytes() == format!("Bearer {token}").as_bytes())
    }

    fn refuse(&self, status: StatusCode, reason: &str) -> Reply {
        self.counts.refused.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::json!({ "reason": reason });
        not_run_reply(status, &body)
    }

    /// Returns the refusal of a call during an outage or above the rate limit.
    fn refusal(&self, limit: &RateLimit) -> Option<Reply> {
        if self.faults.get().outage {
            return Some(self.refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if !limit.take() {
            return Some(self.refuse(StatusCode::TOO_MANY_REQUESTS, "above the rate"));
        }
        None
    }

    async fn table(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let call: StoreRequest = match read_json(request.into_body()).await {
            Ok(call) => call,
            Err(reply) => return Ok(reply),
        };
        if let Some(reason) = check_call(&call) {
            return Ok(text_reply(StatusCode::BAD_REQUEST, reason));
        }
        match call {
            StoreRequest::Txn { mode, ops } => self.write(PlatformWrite::Txn { mode, ops }).await,
            read => self.read(&read).await,
        }
    }

    async fn read(&self, call: &StoreRequest) -> ReplyResult {
        if let Some(reply) = self.refusal(&self.reads) {
            return Ok(reply);
        }
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.settings.latency).await;
        let rows = {
            let tables = self.tables.lock().expect("no holder panics");
            match call {
                StoreRequest::Read { table, keys } => tables.read(*table, keys),
                StoreRequest::Scan {
                    table,
                    prefix,
                    after,
                    limit,
                } => tables.scan(*table, prefix, after, *limit),
                StoreRequest::Txn { .. } => Vec::new(),
            }
        };
        self.faults.delay_answer().await;
        Ok(json_reply(StatusCode::OK, &StoreReply::Rows { rows }))
    }

    /// Applies a write, now or late as the fault order says, and answers unless the answer is to be
    /// lost.
    async fn write(self: Arc<Self>, write: PlatformWrite) -> ReplyResult {
        if let Some(reply) = self.refusal(&self.writes) {
            return Ok(reply);
        }
        if self.is_full(&write) {
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, "full"));
        }
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        if let Some(late) = self.faults.get().late_effect_ms {
            self.apply_late(write, Duration::from_millis(late));
            return Err(CutConnection);
        }
        tokio::time::sleep(self.settings.latency).await;
        let reply = self.apply(write);
        if self.faults.take(|order| &mut order.lose_answer) {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
            return Err(CutConnection);
        }
        self.faults.delay_answer().await;
        Ok(reply)
    }

    fn apply_late(self: Arc<Self>, write: PlatformWrite, late: Duration) {
        self.counts.late.fetch_add(1, Ordering::Relaxed);
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(late) => drop(self.apply(write)),
            }
        });
    }

    fn is_full(&self, write: &PlatformWrite) -> bool {
        match write {
            PlatformWrite::Txn { ops, .. } => {
                let tables = self.tables.lock().expect("no holder panics");
                tables.rows() + ops.len() > MAX_ROWS
            }
            PlatformWrite::Object { body, .. } => {
                let objects = self.objects.lock().expect("no holder panics");
                let used: usize = objects.values().map(Bytes::len).sum();
                used + body.len() > OBJECT_SPACE_BYTES
            }
        }
    }

    fn apply(&self, write: PlatformWrite) -> Reply {
        match write {
            PlatformWrite::Txn { mode, ops } => {
                let mut tables = self.tables.lock().expect("no holder panics");
                let outcomes = tables.run(mode, &ops);
                json_reply(StatusCode::OK, &StoreReply::Txn { outcomes })
            }
            PlatformWrite::Object { name, body } => {
                let mut objects = self.objects.lock().expect("no holder panics");
                objects.insert(name, body);
                text_reply(StatusCode::OK, "")
            }
        }
    }

    async fn put_object(self: Arc<Self>, name: String, request: Request<Incoming>) -> ReplyResult {
        match read_bytes(request.into_body()).await {
            Ok(body) => self.write(PlatformWrite::Object { name, body }).await,
            Err(reply) => Ok(reply),
        }
    }

    async fn get_object(&self, name: &str) -> ReplyResult {
        if let Some(reply) = self.refusal(&self.reads) {
            return Ok(reply);
        }
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.settings.latency).await;
        let found = {
            let objects = self.objects.lock().expect("no holder panics");
            objects.get(name).cloned()
        };
        self.faults.delay_answer().await;
        Ok(match found {
            Some(body) => bytes_reply(StatusCode::OK, "application/octet-stream", body),
            None => text_reply(StatusCode::NOT_FOUND, "no such object"),
        })
    }

    async fn get_hosts(&self) -> ReplyResult {
        if self.faults.get().outage {
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        self.faults.delay_answer().await;
        let lag = match self.faults.get().lag_ms {
            Some(lag) => Duration::from_millis(lag),
            None => self.settings.host_lag,
        };
        let now = Instant::now();
        let lists = self.hosts.lock().expect("no holder panics");
        let newest = lists
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag);
        let list = newest.or_else(|| lists.front()).map(|(_, list)| list);
        Ok(json_reply(StatusCode::OK, &list))
    }

    async fn set_hosts(&self, request: Request<Incoming>) -> ReplyResult {
        let list: HostList = match read_json(request.into_body()).await {
            Ok(list) => list,
            Err(reply) => return Ok(reply),
        };
        let mut lists = self.hosts.lock().expect("no holder panics");
        if lists.len() >= HOST_LISTS {
            lists.pop_front();
        }
        lists.push_back((Instant::now(), list));
        Ok(text_reply(StatusCode::OK, ""))
    }

    async fn get_weights(&self) -> ReplyResult {
        if let Some(reply) = self.refusal(&self.weights) {
            return Ok(reply);
        }
        self.faults.delay_answer().await;
        let body = Bytes::from(vec![0; self.settings.weight_bytes]);
        Ok(bytes_reply(
            StatusCode::OK,
            "application/octet-stream",
            body,
        ))
    }

    async fn set_faults_from(&self, request: Request<Incoming>) -> Reply {
        match read_json(request.into_body()).await {
            Ok(order) => {
                self.faults.set(order);
                text_reply(StatusCode::OK, "")
            }
            Err(reply) => reply,
        }
    }

    /// Answers the calls that control the stand-in; returns the request of any other.
    async fn answer_control(
        &self,
        request: Request<Incoming>,
    ) -> Result<ReplyResult, Request<Incoming>> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/standin/faults") => Ok(Ok(self.set_faults_from(request).await)),
            (&Method::POST, "/standin/hosts") => Ok(self.set_hosts(request).await),
            (&Method::GET, "/standin/ledger") => Ok(Ok(text_reply(StatusCode::OK, ""))),
            (&Method::GET, "/standin/counts") => {
                Ok(Ok(json_reply(StatusCode::OK, &self.counts.report())))
            }
            (&Method::GET, "/standin/dump") => {
                let tables = self.tables.lock().expect("no holder panics");
                Ok(Ok(json_reply(StatusCode::OK, &*tables)))
            }
            _ => Err(request),
        }
    }
}

/// Returns a message if a call exceeds a size limit.
fn check_call(call: &StoreRequest) -> Option<String> {
    match call {
        StoreRequest::Read { keys, .. } if keys.len() > READ_KEYS => {
            Some(format!("read: {} keys; at most {READ_KEYS}", keys.len()))
        }
        StoreRequest::Scan { limit, .. } if *limit > SCAN_ROWS => {
            Some(format!("scan: limit {limit}; at most {SCAN_ROWS}"))
        }
        StoreRequest::Txn { ops, .. } if ops.len() > TXN_OPS => {
            Some(format!("txn: {} operations; at most {TXN_OPS}", ops.len()))
        }
        _ => None,
    }
}

impl HandleControl for PlatformServer {
    fn ledger(&self) -> Vec<LedgerEntry> {
        Vec::new()
    }

    fn copy_ledger(&self, _file: std::fs::File) {}

    fn set_faults(&self, order: FaultOrder) {
        self.faults.set(order);
    }
}

impl Endpoint for PlatformServer {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let request = match self.answer_control(request).await {
            Ok(reply) => return reply,
            Err(request) => request,
        };
        if !self.is_authorized(&request) {
            return Ok(text_reply(StatusCode::UNAUTHORIZED, "token"));
        }
        self.faults.wait_unfrozen().await;
        if self.faults.take(|order| &mut order.cut_before) {
            return Err(CutConnection);
        }
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return match *request.method() {
                Method::PUT => self.put_object(name.to_owned(), request).await,
                Method::GET => self.get_object(name).await,
                _ => Ok(text_reply(StatusCode::METHOD_NOT_ALLOWED, "PUT or GET")),
            };
        }
        if path.starts_with("/v1/weights/") {
            return self.get_weights().await;
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/table") => self.table(request).await,
            (&Method::GET, "/v1/hosts") => self.get_hosts().await,
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "not found")),
        }
    }
}

/// Starts the platform.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn start_platform(settings: PlatformSettings) -> std::io::Result<StandinHandle> {
    let server = Arc::new(PlatformServer::new(settings));
    let listen = server.settings.listen;
    serve::start(listen, server.stop.clone(), server).await
}
