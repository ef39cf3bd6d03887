//! Calls between hosts: HTTP/2 without TLS, one connection to each host, opened when needed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Mutex;
use tokio::time::timeout;

use hollywheel_serving::HostRecord;
use hollywheel_types::{HostId, SortedMap};

use crate::connect::connect;
use crate::limited_body::{DOCUMENT_LIMIT, collect_body};

/// The path of an order for pieces.
pub(crate) const PIECES_PATH: &str = "/pieces";
/// The path by which results are freed.
pub(crate) const FREE_PATH: &str = "/free";
/// The path by which a host follows another one's view of the store.
pub(crate) const FOLLOW_PATH: &str = "/follow";

/// A host that lives answers an opening packet within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection with open calls is probed this often, and given up if a probe is not answered in
/// time: together below the tightest objective described (0.8 s).
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Says why a call of another host has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerFailure {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// The host stops and takes no duty any more.
    Leaving,
    /// The host did not take the call.
    Refused,
}

impl PeerFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "connection broke",
            Self::TimedOut => "no answer in time",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
        }
    }
}

/// Runs the tasks of a connection on the thread of the process.
#[derive(Clone, Copy)]
pub(crate) struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, task: F) {
        tokio::task::spawn_local(async move {
            task.await;
        });
    }
}

#[derive(Default)]
struct PeerLink {
    sender: Mutex<Option<(HostRecord, SendRequest<Full<Bytes>>)>>,
}

/// Keeps one connection to each host.
#[derive(Default)]
pub(crate) struct PeerClient {
    links: RefCell<SortedMap<HostId, Rc<PeerLink>>>,
}

impl PeerClient {
    /// Calls another host. Dropping the call cancels it there.
    pub(crate) async fn call(
        &self,
        peer: &HostRecord,
        path: &'static str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes, PeerFailure> {
        let call = async {
            let mut sender = self.sender(peer).await?;
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("http://{}{path}", peer.address))
                .body(Full::new(Bytes::from(body)))
                .map_err(|_| PeerFailure::Broken)?;
            let answer = sender.send_request(request).await;
            let answer = answer.map_err(|_| PeerFailure::Broken)?;
            match answer.status() {
                StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE => return Err(PeerFailure::Leaving),
                _ => return Err(PeerFailure::Refused),
            }
            let body = collect_body(answer.into_body(), DOCUMENT_LIMIT).await;
            body.map_err(|_| PeerFailure::Broken)
        };
        timeout(limit, call)
            .await
            .unwrap_or(Err(PeerFailure::TimedOut))
    }

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
        let sender = open(peer).await?;
        *kept = Some((peer.clone(), sender.clone()));
        Ok(sender)
    }
}

async fn open(peer: &HostRecord) -> Result<SendRequest<Full<Bytes>>, PeerFailure> {
    let stream = connect(peer.address, CONNECT_TIMEOUT)
        .await
        .map_err(|_| PeerFailure::Unreachable)?;
    let (sender, connection) = http2::Builder::new(LocalExecutor)
        .timer(TokioTimer::new())
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| PeerFailure::Unreachable)?;
    // Every error of the connection reaches the calls that are on it.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
