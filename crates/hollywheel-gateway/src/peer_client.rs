//! Client side of calls between hosts: HTTP/2 without TLS, one connection per host, opened when
//! needed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Mutex;
use tokio::time::timeout;

use hollywheel_serving::HostRecord;
use hollywheel_types::{HostId, SortedMap};

use crate::connect::connect;
use crate::containment::{PanicRecorder, TaskKind};
use crate::limited_body::{
    BodyFailure, DOCUMENT_LIMIT, PIECES_LIMIT, STALL_TIME, collect_steadily, collect_within,
};
use crate::memory_budget::MemoryBudget;
use crate::metered_stream::MeteredStream;

/// Path for a group of pieces that the called host coordinates.
pub(crate) const PIECES_PATH: &str = "/pieces";
/// Path for the release of results.
pub(crate) const FREE_PATH: &str = "/free";
/// Path for a permit to send a request to a server with a limit.
pub(crate) const PERMIT_PATH: &str = "/permit";
/// Path for limits that were just named or have ended.
pub(crate) const LIMITS_PATH: &str = "/limits";
/// Path for evidence about requests that crash servers.
pub(crate) const EVIDENCE_PATH: &str = "/evidence";
/// Path for a part of the active configuration.
pub(crate) const CONFIG_PATH: &str = "/config";
/// Path for the long poll of a follower for store changes.
pub(crate) const FOLLOW_PATH: &str = "/follow";

/// Time-out of connecting; a live host accepts a connection within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval and time-out of keep-alive probes on a connection with calls in flight. Their sum, the
/// time to detect a dead host, is below the tightest latency objective supported (0.8 s).
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Reason why a call to another host failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerFailure {
    /// The connection could not be opened.
    Unreachable,
    /// The connection failed during the call.
    Broken,
    /// The call timed out.
    TimedOut {
        /// Bytes of the answer's body that had arrived.
        received: usize,
    },
    /// The host is shutting down and coordinates no more work.
    Leaving,
    /// The host rejected the call as invalid.
    Refused,
}

impl PeerFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "connection failed",
            Self::TimedOut { .. } => "timed out",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
        }
    }
}

/// Executor that runs the tasks of an HTTP/2 connection on the thread of the process.
#[derive(Clone)]
pub(crate) struct LocalExecutor(pub(crate) PanicRecorder);

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, task: F) {
        self.0.spawn(TaskKind::Connection, task);
    }
}

/// The connection to one host; the lock lets concurrent calls share one attempt to connect.
#[derive(Default)]
struct PeerLink {
    sender: Mutex<Option<(HostRecord, SendRequest<Full<Bytes>>)>>,
}

/// Connections to the other hosts, one each.
pub(crate) struct PeerClient {
    links: RefCell<SortedMap<HostId, Rc<PeerLink>>>,
    /// Memory for answers.
    memory: MemoryBudget,
    panics: PanicRecorder,
}

impl PeerClient {
    /// Creates a client without connections, whose answers take their memory from the budget.
    pub(crate) fn new(memory: MemoryBudget, panics: PanicRecorder) -> Self {
        Self {
            links: RefCell::default(),
            memory,
            panics,
        }
    }

    /// Calls another host. Dropping the future cancels the call there.
    ///
    /// # Errors
    ///
    /// Returns [`PeerFailure`] if there is no complete answer within `limit`.
    pub(crate) async fn call(
        &self,
        peer: &HostRecord,
        path: &'static str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes, PeerFailure> {
        let call = async {
            let answer = self.begin(peer, path, body).await?;
            let body = collect_within(answer, PIECES_LIMIT, &self.memory).await;
            body.map_err(|_| PeerFailure::Broken)
        };
        let answered = timeout(limit, call).await;
        answered.unwrap_or(Err(PeerFailure::TimedOut { received: 0 }))
    }

    /// Calls another host for an answer whose size is not known. The answer must begin within
    /// `answer_time`; after that it may take as long as it makes progress.
    ///
    /// # Errors
    ///
    /// Returns [`PeerFailure`] if the answer does not begin in time, stalls or is truncated.
    pub(crate) async fn download(
        &self,
        peer: &HostRecord,
        path: &'static str,
        body: Vec<u8>,
        answer_time: Duration,
    ) -> Result<Bytes, PeerFailure> {
        let begun = timeout(answer_time, self.begin(peer, path, body)).await;
        let answer = begun.unwrap_or(Err(PeerFailure::TimedOut { received: 0 }))?;
        let received = Cell::new(0);
        let body = collect_steadily(answer, DOCUMENT_LIMIT, STALL_TIME, &received).await;
        body.map_err(|failure| match failure {
            BodyFailure::Stalled => PeerFailure::TimedOut {
                received: received.get(),
            },
            BodyFailure::TooLarge | BodyFailure::NoMemory | BodyFailure::Broken => {
                PeerFailure::Broken
            }
        })
    }

    /// Sends a call and returns the body of its answer, which has begun.
    async fn begin(
        &self,
        peer: &HostRecord,
        path: &'static str,
        body: Vec<u8>,
    ) -> Result<Incoming, PeerFailure> {
        let mut sender = self.sender(peer).await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", peer.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| PeerFailure::Broken)?;
        let answer = sender.send_request(request).await;
        let answer = answer.map_err(|_| PeerFailure::Broken)?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::SERVICE_UNAVAILABLE => Err(PeerFailure::Leaving),
            StatusCode::INTERNAL_SERVER_ERROR => Err(PeerFailure::Broken),
            _ => Err(PeerFailure::Refused),
        }
    }

    /// Returns a sender on the open connection to a host, or on a new one.
    async fn sender(&self, peer: &HostRecord) -> Result<SendRequest<Full<Bytes>>, PeerFailure> {
        let link = {
            let mut links = self.links.borrow_mut();
            let link = links.get_or_insert_with(peer.name.clone(), Rc::default);
            Rc::clone(link)
        };
        let mut kept = link.sender.lock().await;
        if let Some((record, sender)) = kept.as_ref()
            && record == peer
            && !sender.is_closed()
        {
            return Ok(sender.clone());
        }
        let sender = self.open(peer).await?;
        *kept = Some((peer.clone(), sender.clone()));
        Ok(sender)
    }

    async fn open(&self, peer: &HostRecord) -> Result<SendRequest<Full<Bytes>>, PeerFailure> {
        let stream = connect(peer.address, CONNECT_TIMEOUT)
            .await
            .map_err(|_| PeerFailure::Unreachable)?;
        let executor = LocalExecutor(self.panics.clone());
        let (sender, connection) = http2::Builder::new(executor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_TIMEOUT)
            .handshake(TokioIo::new(MeteredStream::yielding(stream)))
            .await
            .map_err(|_| PeerFailure::Unreachable)?;
        // An error of the connection is also returned by the calls in flight on it.
        self.panics.spawn(TaskKind::Connection, connection);
        Ok(sender)
    }
}
