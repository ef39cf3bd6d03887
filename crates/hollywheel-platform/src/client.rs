//! HTTP client of the platform.

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
use crate::http_call::{CallOutcome, send_call};
use crate::service::{PlatformFuture, PlatformService};

/// Maximum size of an object in bytes, equal to the limit of the object store.
const OBJECT_LIMIT: usize = 16 * 1024 * 1024;
/// Maximum size of a response of the table service or the host list in bytes.
const RESPONSE_LIMIT: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry delay reported for a call that could not be encoded or built.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Holds the settings of a platform client.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The value of the `authorization` header; none sends no such header.
    pub authorization: Option<HeaderValue>,
    /// The maximum number of idle connections in the pool.
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

/// Calls the platform over HTTP/1.1. Calls are never retried, since one without a response may have
/// taken effect.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    authorization: Arc<RwLock<Option<HeaderValue>>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client, which opens connections on demand.
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

    /// Replaces the value of the `authorization` header for subsequent calls.
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

    /// Sends one call; a request that cannot be built counts as rejected.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
        limit: usize,
    ) -> CallOutcome {
        let Some(request) = self.build_request(method, path, body) else {
            return CallOutcome::Rejected(RETRY_AFTER);
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
        let rejected = StoreFailure::Refused {
            retry_after: RETRY_AFTER,
        };
        let Ok(body) = serde_json::to_vec(&request) else {
            return Err(rejected);
        };
        let body = Bytes::from(body);
        match self
            .send(Method::POST, "/v1/table", body, timeout, RESPONSE_LIMIT)
            .await
        {
            CallOutcome::Response(bytes) => {
                serde_json::from_slice(&bytes).map_err(|_| StoreFailure::Unknown)
            }
            CallOutcome::Rejected(retry_after) => Err(StoreFailure::Refused { retry_after }),
            CallOutcome::Missing | CallOutcome::Unknown => Err(StoreFailure::Unknown),
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
            CallOutcome::Response(bytes) => Ok(bytes),
            CallOutcome::Missing => Err(PlatformError::Missing { name }),
            CallOutcome::Rejected(retry_after) => Err(PlatformError::Refused { retry_after }),
            CallOutcome::Unknown => Err(PlatformError::Unknown { call }),
        }
    }

    async fn call_hosts(&self, timeout: Duration) -> Result<HostListing, PlatformError> {
        let call = "GET /v1/hosts".to_owned();
        let outcome = self
            .send(
                Method::GET,
                "/v1/hosts",
                Bytes::new(),
                timeout,
                RESPONSE_LIMIT,
            )
            .await;
        match outcome {
            CallOutcome::Response(bytes) => {
                serde_json::from_slice(&bytes).map_err(|error| PlatformError::BadResponse {
                    call,
                    detail: error.to_string(),
                })
            }
            CallOutcome::Rejected(retry_after) => Err(PlatformError::Refused { retry_after }),
            CallOutcome::Missing | CallOutcome::Unknown => Err(PlatformError::Unknown { call }),
        }
    }
}

/// Returns whether a name consists of characters that need no escaping in a path.
fn is_object_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    !name.is_empty() && name.chars().all(is_allowed)
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
