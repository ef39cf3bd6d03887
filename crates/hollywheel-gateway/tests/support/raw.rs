//! A stand-in of a backend server that answers with any bytes, also with such as are no answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Holds one request as it was read.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// The path.
    pub path: String,
    /// The head, in lower case.
    head: String,
    /// The position of the request on its connection, from 0.
    pub number: usize,
    /// The name that the caller of this server has for it.
    pub authority: String,
}

impl RawRequest {
    /// Returns the value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> String {
        let prefix = format!("{name}: ");
        let mut lines = self.head.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix));
        value.unwrap_or("").to_owned()
    }

    /// Makes a complete answer with the id and the proof that a server gives.
    pub fn answer(&self, status: &str, extra: &str, body: &str) -> Vec<u8> {
        let attempt = self.header("attempt-id");
        format!(
            "HTTP/1.1 {status}\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\n{extra}content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// Says what the server does next on a connection.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Sends the same bytes again and again until the other side closes, a pause after each.
    Repeat(Vec<u8>, Duration),
    /// Ends the connection without a reset.
    Close,
}

/// Holds what a raw server has seen.
#[derive(Default)]
pub struct RawLog {
    requests: Mutex<Vec<RawRequest>>,
    repeated: Mutex<usize>,
}

impl RawLog {
    /// Returns the paths of the requests that arrived.
    pub fn paths(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|request| request.path.clone())
            .collect()
    }

    /// Returns the bytes that were sent by repeating.
    pub fn repeated(&self) -> usize {
        *self.repeated.lock().unwrap()
    }
}

async fn read_request(stream: &mut TcpStream, number: usize) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        let mut byte = [0; 1];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
        if bytes.ends_with(b"\r\n\r\n") {
            break bytes.len();
        }
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let path = head.split(' ').nth(1)?.to_owned();
    let mut request = RawRequest {
        path,
        head: head.to_lowercase(),
        number,
        authority: String::new(),
    };
    request.authority = request.header("host");
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(request)
}

async fn act(stream: &mut TcpStream, step: RawStep, log: &RawLog) -> Option<()> {
    match step {
        RawStep::Send(bytes) => stream.write_all(&bytes).await.ok(),
        RawStep::Pause(pause) => {
            tokio::time::sleep(pause).await;
            Some(())
        }
        RawStep::Repeat(bytes, pause) => loop {
            stream.write_all(&bytes).await.ok()?;
            *log.repeated.lock().unwrap() += bytes.len();
            tokio::time::sleep(pause).await;
        },
        RawStep::Close => None,
    }
}

/// Serves on an address that the system gives; the script says what follows each request.
pub async fn serve_raw(
    script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
) -> (SocketAddr, Arc<RawLog>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (script, log) = (Arc::new(script), Arc::new(RawLog::default()));
    let seen = Arc::clone(&log);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (script, log) = (Arc::clone(&script), Arc::clone(&seen));
            tokio::spawn(async move {
                let mut number = 0;
                while let Some(request) = read_request(&mut stream, number).await {
                    log.requests.lock().unwrap().push(request.clone());
                    for step in script(&request) {
                        if act(&mut stream, step, &log).await.is_none() {
                            return;
                        }
                    }
                    number += 1;
                }
            });
        }
    });
    (address, log)
}
