//! The client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use hollywheel_adapter::{StoreCall, StoreRows};

use crate::connect::connect;
use crate::host::Host;
use crate::limited_body::{DOCUMENT_LIMIT, collect_body};

/// The store answers an opening packet within milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Says why a call of the store has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StoreFailure {
    /// Nothing was done: the store refused the call, or it was never sent.
    Refused {
        /// What was seen.
        detail: String,
    },
    /// The changes that were asked for are not kept any more; list the table.
    HistoryLost,
    /// A row is not as the call requires.
    Conflict,
    /// The call may have been performed, or may still be.
    Unknown {
        /// What was seen.
        detail: String,
    },
}

impl StoreFailure {
    pub(crate) fn detail(&self) -> &str {
        match self {
            Self::Refused { detail } | Self::Unknown { detail } => detail,
            Self::HistoryLost => "history lost",
            Self::Conflict => "conflict",
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

/// Holds one connection to the store, which carries one call at a time.
pub(crate) struct StoreConnection {
    host: Host,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl StoreConnection {
    pub(crate) fn new(host: &Host) -> Self {
        Self {
            host: host.clone(),
            address: host.settings().store.address,
            sender: None,
        }
    }

    /// Makes a call, once. A connection on which a call failed is not used again.
    pub(crate) async fn call(
        &mut self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreRows, StoreFailure> {
        self.host.metrics.store_calls.inc();
        let answered = timeout(limit, self.exchange(call)).await;
        let answered = answered.unwrap_or_else(|_| Err(unknown("no answer in time")));
        if matches!(answered, Err(StoreFailure::Unknown { .. })) {
            self.sender = None;
        }
        answered
    }

    async fn exchange(&mut self, call: &StoreCall) -> Result<StoreRows, StoreFailure> {
        let (method, path, body) = hollywheel_adapter::encode_store_call(call).map_err(refused)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(refused)?;
        let sender = self.sender().await?;
        let answer = sender.send_request(request).await.map_err(unknown)?;
        let status = answer.status();
        let era = hollywheel_adapter::decode_store_era(answer.headers()).map_err(unknown)?;
        let body = collect_body(answer.into_body(), DOCUMENT_LIMIT).await;
        let body = body.map_err(|failure| unknown(failure.name()))?;
        if !self.host.note_era(era, "store") {
            return Err(unknown(format!("an answer of the earlier era {era}")));
        }
        match status {
            StatusCode::OK => hollywheel_adapter::decode_store_rows(era, &body).map_err(unknown),
            StatusCode::GONE => Err(StoreFailure::HistoryLost),
            StatusCode::PRECONDITION_FAILED => Err(StoreFailure::Conflict),
            other => Err(refused(other)),
        }
    }

    async fn sender(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, StoreFailure> {
        let kept = self.sender.take();
        let usable = kept.filter(|sender| !sender.is_closed() && sender.is_ready());
        let sender = match usable {
            Some(sender) => sender,
            None => self.open().await?,
        };
        Ok(self.sender.insert(sender))
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, StoreFailure> {
        let stream = connect(self.address, CONNECT_LIMIT)
            .await
            .map_err(refused)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(refused)?;
        // Every error of the connection reaches the call that is on it.
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}
