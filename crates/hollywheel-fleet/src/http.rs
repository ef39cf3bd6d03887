//! A minimal HTTP client that reads only the status of a response.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether the server answers a call with status 200 within the time-out.
pub(crate) async fn call_succeeds(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> bool {
    let exchange_future = async {
        let mut stream = TcpStream::connect(address).await?;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut response = [0; 12];
        stream.read_exact(&mut response).await?;
        Ok::<bool, std::io::Error>(response.ends_with(b" 200"))
    };
    let response = tokio::time::timeout(CALL_TIMEOUT, exchange_future).await;
    matches!(response, Ok(Ok(true)))
}
