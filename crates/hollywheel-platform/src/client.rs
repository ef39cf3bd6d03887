//! The client of the platform over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::error::PlatformError;
use crate::hosts::HostListing;
use crate::http_call::{CallEnd, send_call};
use crate::service::{PlatformFuture, PlatformService};

/// Bounds an object, as the object store does.
const OBJECT_LIMIT: usize = 16 * 1024 * 1024;
/// Bounds an answer of the table service or the host list.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Holds the settings of the client.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The value of the `authorization` header, if the platform asks for one.
    pub authorization: Option<HeaderValue>,
    /// The most idle connections kept.
    pub idle_connections: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            authorization: None,
            idle_connections: 8,
        }
    }
}

/// Calls the platform over HTTP/1.1. No call is sent twice.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    authorization: Arc<RwLock<Option<HeaderValue>>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(settings: PlatformSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(settings.idle_connections)
            .build(connector);
        Self {
            address: settings.address,
            authorization: Arc::new(RwLock::new(settings.authorization)),
            client,
        }
    }

    /// Replaces the value of the `authorization` header for calls that follow.
    pub fn set_authorization(&self, value: Option<HeaderValue>) {
        let mut authorization = self
            .authorization
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *authorization = value;
    }

    fn authorization(&self) -> Option<HeaderValue> {
        let authorization = self
            .authorization
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        authorization.clone()
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
        limit: usize,
    ) -> CallEnd {
        let Some(request) = self.build_request(method, path, body) else {
            return CallEnd::Refused(RETRY_AFTER);
        };
        send_call(&self.client, request, timeout, limit).await
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .ok()?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(value) = self.authorization() {
            request = request.header(header::AUTHORIZATION, value);
        }
        request.body(Full::new(body)).ok()
    }

    async fn call_table(
        &self,
        request: StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let refused = StoreFailure::Refused {
            retry_after: RETRY_AFTER,
        };
        let Ok(body) = serde_json::to_vec(&request) else {
            return Err(refused);
        };
        let body = Bytes::from(body);
        match self
            .send(Method::POST, "/v1/table", body, timeout, ANSWER_LIMIT)
            .await
        {
            CallEnd::Answer(bytes) => {
                serde_json::from_slice(&bytes).map_err(|_| StoreFailure::Unknown)
            }
            CallEnd::Refused(retry_after) => Err(StoreFailure::Refused { retry_after }),
            CallEnd::Missing | CallEnd::Unknown => Err(StoreFailure::Unknown),
        }
    }

    async fn call_object(
        &self,
        method: Method,
        name: String,
        content: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        if !is_object_name(&name) {
            return Err(PlatformError::BadName { name });
        }
        let path = format!("/v1/objects/{name}");
        let call = format!("{method} {path}");
        match self
            .send(method, &path, content, timeout, OBJECT_LIMIT)
            .await
        {
            CallEnd::Answer(bytes) => Ok(bytes),
            CallEnd::Missing => Err(PlatformError::Missing { name }),
            CallEnd::Refused(retry_after) => Err(PlatformError::Refused { retry_after }),
            CallEnd::Unknown => Err(PlatformError::Unknown { call }),
        }
    }

    async fn call_hosts(&self, timeout: Duration) -> Result<HostListing, PlatformError> {
        let call = "GET /v1/hosts".to_owned();
        let end = self
            .send(
                Method::GET,
                "/v1/hosts",
                Bytes::new(),
                timeout,
                ANSWER_LIMIT,
            )
            .await;
        match end {
            CallEnd::Answer(bytes) => {
                serde_json::from_slice(&bytes).map_err(|error| PlatformError::BadAnswer {
                    call,
                    detail: error.to_string(),
                })
            }
            CallEnd::Refused(retry_after) => Err(PlatformError::Refused { retry_after }),
            CallEnd::Missing | CallEnd::Unknown => Err(PlatformError::Unknown { call }),
        }
    }
}

fn is_object_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    !name.is_empty() && name.chars().all(allowed)
}

impl PlatformService for PlatformClient {
    fn table(
        &self,
        request: StoreRequest,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<StoreReply, StoreFailure>> {
        Box::pin(self.call_table(request, timeout))
    }

    fn get_object(
        &self,
        name: String,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(self.call_object(Method::GET, name, Bytes::new(), timeout))
    }

    fn put_object(
        &self,
        name: String,
        content: Bytes,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            self.call_object(Method::PUT, name, content, timeout)
                .await
                .map(|_| ())
        })
    }

    fn hosts(&self, timeout: Duration) -> PlatformFuture<'_, Result<HostListing, PlatformError>> {
        Box::pin(self.call_hosts(timeout))
    }
}
