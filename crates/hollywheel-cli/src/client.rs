//! HTTP client of the operator interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollywheel_admin::ProblemDetails;
use hollywheel_types::ExecutionVerdict;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as HttpError};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// The maximum size of the response of a host, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Holds the settings of an [`AdminClient`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The address of the operator listener of a host.
    pub address: SocketAddr,
    /// The operator token, sent with every request.
    pub token: Option<String>,
    /// The time-out of one request.
    pub timeout: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7601)),
            token: None,
            timeout: Duration::from_secs(10),
        }
    }
}

/// Sends requests to the operator interface of one host.
#[derive(Clone, Debug)]
pub struct AdminClient {
    settings: ClientSettings,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Creates a client, which connects on the first request.
    pub fn new(settings: ClientSettings) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { settings, http }
    }

    /// Reads a document with a `GET` request.
    ///
    /// # Errors
    ///
    /// Returns [`CliError`] if the host is unreachable, rejects the request, or sends an invalid
    /// response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let response_body = self.call(Method::GET, path, Bytes::new(), "").await?;
        decode(path, &response_body)
    }

    /// Sends a `POST` request. The advice tells the operator what to do if the response is lost.
    ///
    /// # Errors
    ///
    /// Returns [`CliError`] if the host is unreachable, rejects the request, or its response is
    /// lost.
    pub async fn post<Q, T>(&self, path: &str, body: &Q, advice: &str) -> Result<T, CliError>
    where
        Q: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|error| CliError::InvalidResponse {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        let response_body = self.call(Method::POST, path, body.into(), advice).await?;
        decode(path, &response_body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        advice: &str,
    ) -> Result<Bytes, CliError> {
        let request = self.request(method, path, body)?;
        let exchange = self.exchange(request);
        let (status, response_body) =
            match tokio::time::timeout(self.settings.timeout, exchange).await {
                Ok(Ok(response)) => response,
                Ok(Err(CallError::NotConnected(message))) => return Err(self.unreachable(message)),
                Ok(Err(CallError::Interrupted(message))) => {
                    return Err(self.response_lost(message, advice));
                }
                Err(_) => return Err(self.response_lost("request timed out".to_owned(), advice)),
            };
        if status.is_success() {
            return Ok(response_body);
        }
        let problem = parse_problem(status, &response_body);
        if problem.verdict == Some(ExecutionVerdict::MayHaveRun) {
            return Err(self.response_lost(problem.detail, advice));
        }
        Err(CliError::from_problem(problem))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, CliError> {
        let uri = format!("http://{}{path}", self.settings.address);
        let mut builder = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.settings.token {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        builder.body(Full::new(body)).map_err(|error| {
            CliError::Argument(format!("no request can be built for {path}: {error}"))
        })
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let response = self.http.request(request).await.map_err(CallError::from)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body_bytes = body
            .collect()
            .await
            .map_err(|error| CallError::Interrupted(error.to_string()))?;
        Ok((status, body_bytes.to_bytes()))
    }

    fn unreachable(&self, message: String) -> CliError {
        CliError::Unreachable {
            address: self.settings.address.to_string(),
            message,
        }
    }

    fn response_lost(&self, message: String, advice: &str) -> CliError {
        if advice.is_empty() {
            return self.unreachable(message);
        }
        CliError::ResponseLost {
            address: self.settings.address.to_string(),
            message,
            advice: advice.to_owned(),
        }
    }
}

/// A failed exchange. Only if the connection was not established is it certain that the request was
/// not sent.
#[derive(Debug)]
enum CallError {
    /// The connection was not established.
    NotConnected(String),
    /// The exchange failed after the connection was established.
    Interrupted(String),
}

impl From<HttpError> for CallError {
    fn from(error: HttpError) -> Self {
        if error.is_connect() {
            return Self::NotConnected("connection refused or timed out".to_owned());
        }
        Self::Interrupted(error.to_string())
    }
}

fn decode<T: DeserializeOwned>(path: &str, response_body: &[u8]) -> Result<T, CliError> {
    serde_json::from_slice(response_body).map_err(|error| CliError::InvalidResponse {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

/// Parses the body of an error response, or describes a body that is not a problem document.
fn parse_problem(status: StatusCode, response_body: &[u8]) -> ProblemDetails {
    serde_json::from_slice(response_body).unwrap_or_else(|_| ProblemDetails {
        kind: "/problems/other".to_owned(),
        title: "other".to_owned(),
        status: status.as_u16(),
        detail: format!("the host responded with status {status}"),
        verdict: None,
        retry_after_ms: None,
        request: None,
        faults: Vec::new(),
    })
}
