//! The few HTTP calls of the tool, whose answers are only a status.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Says whether a call is answered with status 200.
pub(crate) async fn call_ok(address: SocketAddr, method: &str, path: &str, body: &str) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        Ok::<bool, std::io::Error>(answer.ends_with(b" 200"))
    };
    let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    matches!(answer, Ok(Ok(true)))
}
