//! Stand-in for a backend server that sends scripted bytes, which need not be valid HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One request as the server received it.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// The path of the request.
    pub path: String,
    /// The request line and headers in lower case.
    head: String,
    /// The body of the request.
    pub body: String,
    /// The index of the request on its connection, starting at 0.
    pub index: usize,
    /// The `host` header: the address by which the gateway knows this server.
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

    /// Returns the number of lines of the head.
    pub fn head_lines(&self) -> usize {
        self.head.lines().count()
    }

    /// Builds the response to a stage call, with one result for each of its pieces.
    pub fn stage_response(&self) -> Vec<u8> {
        let pieces = self.body.matches("\"stage\":").count();
        let handles: Vec<String> = (0..pieces)
            .map(|piece| format!(r#"{{"handle":"{}/r{piece}"}}"#, self.authority))
            .collect();
        let body = format!(r#"{{"items":[{}]}}"#, handles.join(","));
        self.response("200 OK", "", &body)
    }

    /// Builds a complete response with the attempt id and the seal of a genuine server.
    pub fn response(&self, status: &str, extra: &str, body: &str) -> Vec<u8> {
        let attempt = self.header("attempt-id");
        format!(
            "HTTP/1.1 {status}\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\n{extra}content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// One step of a script that the server executes on a connection.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Sends the bytes once.
    Send(Vec<u8>),
    /// Waits for the duration.
    Pause(Duration),
    /// Sends the bytes repeatedly, with a pause after each time, until the peer closes.
    Repeat(Vec<u8>, Duration),
    /// Closes the connection without a reset.
    Close,
    /// Resets the connection.
    Reset,
}

/// Requests that the server received and bytes that it sent.
#[derive(Default)]
pub struct RawLog {
    requests: Mutex<Vec<RawRequest>>,
    repeated_bytes: Mutex<usize>,
}

impl RawLog {
    /// Returns the requests in the order of their arrival.
    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the paths of the requests in the order of their arrival.
    pub fn paths(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|request| request.path.clone())
            .collect()
    }

    /// Returns the number of bytes sent by [`RawStep::Repeat`].
    pub fn repeated_bytes(&self) -> usize {
        *self.repeated_bytes.lock().unwrap()
    }
}

/// Reads one request; none if the connection ends or the request is malformed.
pub async fn read_request(stream: &mut TcpStream, index: usize) -> Option<RawRequest> {
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
        body: String::new(),
        index,
        authority: String::new(),
    };
    request.authority = request.header("host");
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

/// Executes one step; none if the connection is closed or the peer has closed it.
async fn execute_step(stream: &mut TcpStream, step: RawStep, log: &RawLog) -> Option<()> {
    match step {
        RawStep::Send(bytes) => stream.write_all(&bytes).await.ok(),
        RawStep::Pause(pause) => {
            tokio::time::sleep(pause).await;
            Some(())
        }
        RawStep::Repeat(bytes, pause) => loop {
            stream.write_all(&bytes).await.ok()?;
            *log.repeated_bytes.lock().unwrap() += bytes.len();
            tokio::time::sleep(pause).await;
        },
        RawStep::Close => None,
        RawStep::Reset => {
            // Closing a socket without lingering sends a reset.
            let linger = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            linger.unwrap();
            None
        }
    }
}

/// Serves a backend server on a free port; the script returns the steps to execute after each
/// request.
pub async fn serve_raw(
    script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
) -> (SocketAddr, Arc<RawLog>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (script, log) = (Arc::new(script), Arc::new(RawLog::default()));
    let shared_log = Arc::clone(&log);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (script, log) = (Arc::clone(&script), Arc::clone(&shared_log));
            tokio::spawn(async move {
                let mut index = 0;
                while let Some(request) = read_request(&mut stream, index).await {
                    log.requests.lock().unwrap().push(request.clone());
                    for step in script(&request) {
                        if execute_step(&mut stream, step, &log).await.is_none() {
                            return;
                        }
                    }
                    index += 1;
                }
            });
        }
    });
    (address, log)
}
