//! HTTP client of the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use hollywheel_adapter::{StoreCall, StoreRows};

use crate::connect::connect;
use crate::containment::TaskKind;
use crate::host::Host;
use crate::limited_body::{DOCUMENT_LIMIT, STALL_TIME, collect_steadily};
use crate::metered_stream::{MeteredBody, MeteredStream, ReadMeter};

/// Time-out of connecting; the store accepts a connection within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreFailure {
    /// The call had no effect: the store refused it, or it was never sent.
    Refused {
        /// Description for the log.
        detail: String,
    },
    /// The store no longer keeps the requested changes; the table must be listed again.
    HistoryLost,
    /// A precondition of the call on a row does not hold.
    Conflict,
    /// The call may have taken effect, or may still do so.
    Unknown {
        /// Description for the log.
        detail: String,
    },
}

impl StoreFailure {
    pub(crate) fn detail(&self) -> &str {
        match self {
            Self::Refused { detail } | Self::Unknown { detail } => detail,
            Self::HistoryLost => "the store no longer keeps the requested changes",
            Self::Conflict => "a precondition on a row does not hold",
        }
    }
}

fn refused(detail: impl ToString) -> StoreFailure {
    StoreFailure::Refused {
        detail: detail.to_string(),
    }
}

fn unknown(detail: impl ToString) -> StoreFailure {
    StoreFailure::Unknown {
        detail: detail.to_string(),
    }
}

/// A connection to the store, opened when needed, that carries one call at a time.
pub(crate) struct StoreConnection {
    host: Host,
    address: SocketAddr,
    link: Option<StoreLink>,
}

/// An open connection to the store.
struct StoreLink {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<ReadMeter>,
}

impl StoreConnection {
    pub(crate) fn new(host: &Host) -> Self {
        Self {
            host: host.clone(),
            address: host.settings().store.address,
            link: None,
        }
    }

    /// Performs a call without retrying it. The answer must begin within `answer_time`; after that
    /// it may take as long as it makes progress. If the outcome is unknown, closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the failure if the call was not performed, or may not have been.
    pub(crate) async fn call(
        &mut self,
        call: &StoreCall,
        answer_time: Duration,
    ) -> Result<StoreRows, StoreFailure> {
        self.host.metrics.store_calls.inc();
        let begun = timeout(answer_time, self.begin(call)).await;
        let begun = begun.unwrap_or_else(|_| Err(unknown("the store did not answer in time")));
        let answered = match begun {
            Ok(answer) => self.read(answer).await,
            Err(failure) => Err(failure),
        };
        if matches!(answered, Err(StoreFailure::Unknown { .. })) {
            self.link = None;
        }
        answered
    }

    /// Sends a call and returns its answer, which has begun.
    async fn begin(&mut self, call: &StoreCall) -> Result<Response<MeteredBody>, StoreFailure> {
        let (method, path, body) = hollywheel_adapter::encode_store_call(call).map_err(refused)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(refused)?;
        let link = self.open_link().await?;
        // Answers of the store state their length.
        link.meter.restart(0);
        let answer = link.sender.send_request(request).await.map_err(unknown)?;
        let meter = Rc::clone(&link.meter);
        Ok(answer.map(|body| MeteredBody::new(body, meter)))
    }

    /// Reads the rest of an answer.
    async fn read(&self, answer: Response<MeteredBody>) -> Result<StoreRows, StoreFailure> {
        let status = answer.status();
        let era = hollywheel_adapter::decode_store_era(answer.headers()).map_err(unknown)?;
        let (begun_at, received) = (self.host.now(), Cell::new(0));
        let body = collect_steadily(answer.into_body(), DOCUMENT_LIMIT, STALL_TIME, &received);
        let body = body.await.map_err(|failure| {
            let waited = self.host.now().since(begun_at);
            self.host.log_discarded("store", received.get(), waited);
            unknown(failure.name())
        })?;
        if !self.host.observe_era(era, "store") {
            return Err(unknown(format!(
                "the answer is from the earlier store era {era}"
            )));
        }
        match status {
            StatusCode::OK => hollywheel_adapter::decode_store_rows(era, &body).map_err(unknown),
            StatusCode::GONE => Err(StoreFailure::HistoryLost),
            StatusCode::PRECONDITION_FAILED => Err(StoreFailure::Conflict),
            other => Err(refused(other)),
        }
    }

    /// Returns the open connection, or a new one.
    async fn open_link(&mut self) -> Result<&mut StoreLink, StoreFailure> {
        let existing = self.link.take();
        let usable = existing.filter(|link| !link.sender.is_closed() && link.sender.is_ready());
        let link = match usable {
            Some(link) => link,
            None => self.connect().await?,
        };
        Ok(self.link.insert(link))
    }

    async fn connect(&self) -> Result<StoreLink, StoreFailure> {
        let stream = connect(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(refused)?;
        let (stream, meter) = MeteredStream::metered(stream);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(refused)?;
        // An error of the connection is also returned by the call in flight on it.
        self.host.panics.spawn(TaskKind::Connection, connection);
        Ok(StoreLink { sender, meter })
    }
}
