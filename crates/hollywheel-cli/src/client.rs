//! The client of a host's operator interface.

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

/// Bounds the answer of a host, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Holds the settings of the client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The operator listener of a host.
    pub address: SocketAddr,
    /// The operator's token.
    pub token: Option<String>,
    /// The time allowed for one answer.
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

/// Calls the operator interface of one host.
#[derive(Clone, Debug)]
pub struct AdminClient {
    settings: ClientSettings,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Creates a client; connects with the first call.
    pub fn new(settings: ClientSettings) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { settings, http }
    }

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Returns [`CliError`] if the host is not reached, refuses, or answers something else.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, Bytes::new(), "").await?;
        decode(path, &answer)
    }

    /// Gives an order. The advice says how to find out what became of it if the answer is lost.
    ///
    /// # Errors
    ///
    /// Returns [`CliError`] if the host is not reached, refuses, or its answer is lost.
    pub async fn post<Q, T>(&self, path: &str, order: &Q, advice: &str) -> Result<T, CliError>
    where
        Q: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(order).map_err(|error| CliError::BadAnswer {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        let answer = self.call(Method::POST, path, body.into(), advice).await?;
        decode(path, &answer)
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
        let (status, answer) = match tokio::time::timeout(self.settings.timeout, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::NotConnected(message))) => return Err(self.not_reached(message)),
            Ok(Err(Failure::Broken(message))) => return Err(self.answer_lost(message, advice)),
            Err(_) => return Err(self.answer_lost("no answer in time".to_owned(), advice)),
        };
        if status.is_success() {
            return Ok(answer);
        }
        let problem = read_problem(status, &answer);
        if problem.verdict == Some(ExecutionVerdict::MayHaveRun) {
            return Err(self.answer_lost(problem.detail, advice));
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
        builder
            .body(Full::new(body))
            .map_err(|error| CliError::Argument(format!("{path} can't be asked: {error}")))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self.http.request(request).await.map_err(Failure::from)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = body
            .collect()
            .await
            .map_err(|error| Failure::Broken(error.to_string()))?;
        Ok((status, collected.to_bytes()))
    }

    fn not_reached(&self, message: String) -> CliError {
        CliError::NotReached {
            address: self.settings.address.to_string(),
            message,
        }
    }

    fn answer_lost(&self, message: String, advice: &str) -> CliError {
        if advice.is_empty() {
            return self.not_reached(message);
        }
        CliError::AnswerLost {
            address: self.settings.address.to_string(),
            message,
            advice: advice.to_owned(),
        }
    }
}

/// Separates failures before the order was sent from those after.
#[derive(Debug)]
enum Failure {
    NotConnected(String),
    Broken(String),
}

impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Self {
        if error.is_connect() {
            return Self::NotConnected("connection refused or timed out".to_owned());
        }
        Self::Broken(error.to_string())
    }
}

fn decode<T: DeserializeOwned>(path: &str, answer: &[u8]) -> Result<T, CliError> {
    serde_json::from_slice(answer).map_err(|error| CliError::BadAnswer {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn read_problem(status: StatusCode, answer: &[u8]) -> ProblemDetails {
    serde_json::from_slice(answer).unwrap_or_else(|_| ProblemDetails {
        kind: "/problems/other".to_owned(),
        title: "other".to_owned(),
        status: status.as_u16(),
        detail: format!("the host answered with status {status}"),
        verdict: None,
        retry_after_ms: None,
        request: None,
        faults: Vec::new(),
    })
}
