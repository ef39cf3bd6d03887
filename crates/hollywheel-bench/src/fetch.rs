//! HTTP calls to stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::BenchError;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpReply {
    /// The status.
    pub status: u16,
    /// The body as text.
    pub text: String,
}

/// Sends a GET request to a stand-in.
///
/// # Errors
///
/// Returns [`BenchError::Call`] if the stand-in does not answer with status 200 in time.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<String, BenchError> {
    let reply = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(reply.text)
}

/// Sends a JSON body to a stand-in.
///
/// # Errors
///
/// Returns [`BenchError::Call`] if the stand-in does not answer with status 200 in time.
pub async fn post_json(
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<HttpReply, BenchError> {
    call(address, Method::POST, path, body.to_string().into()).await
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<HttpReply, BenchError> {
    let url = format!("http://{address}{path}");
    let exchange = exchange(method, &url, body);
    let outcome = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    let outcome = outcome.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    match outcome {
        Ok(reply) if reply.status == 200 => Ok(reply),
        Ok(reply) => Err(BenchError::Call {
            url,
            message: format!("status {}: {}", reply.status, reply.text),
        }),
        Err(message) => Err(BenchError::Call { url, message }),
    }
}

async fn exchange(method: Method, url: &str, body: Bytes) -> Result<HttpReply, String> {
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build_http();
    let request = Request::builder()
        .method(method)
        .uri(url)
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    let reply = client.request(request).await.map_err(|e| e.to_string())?;
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok(HttpReply { status, text })
}
