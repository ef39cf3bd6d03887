//! A fake of the operator interface with predefined responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Serves the predefined response for the method and path of each request.
pub struct FakeHost {
    address: SocketAddr,
    post_requests: Arc<AtomicU32>,
}

/// A predefined response.
struct CannedResponse {
    /// The method and path, as in the request line.
    request: String,
    /// The status; 0 closes the connection without a response.
    status: u16,
    body: String,
}

impl FakeHost {
    /// Starts the fake with responses as request (`METHOD PATH`), status and body. Status 0 closes
    /// the connection without a response.
    pub fn start(responses: &[(&str, u16, &str)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let post_requests = Arc::new(AtomicU32::new(0));
        let responses: Vec<CannedResponse> = responses
            .iter()
            .map(|(request, status, body)| CannedResponse {
                request: (*request).to_owned(),
                status: *status,
                body: (*body).to_owned(),
            })
            .collect();
        let counter = Arc::clone(&post_requests);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &responses, &counter);
            }
        });
        Self {
            address,
            post_requests,
        }
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the number of POST requests received.
    pub fn post_requests(&self) -> u32 {
        self.post_requests.load(Ordering::SeqCst)
    }
}

/// Reads one request and sends its predefined response.
fn serve(mut stream: TcpStream, responses: &[CannedResponse], post_requests: &AtomicU32) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut request_line = String::new();
    reader.read_line(&mut request_line).unwrap();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    if request_line.starts_with("POST") {
        post_requests.fetch_add(1, Ordering::SeqCst);
    }
    let request = request_line.trim_end().trim_end_matches(" HTTP/1.1");
    let found = responses
        .iter()
        .find(|response| response.request == request);
    let (status, body) = found.map_or((404, "{}"), |response| (response.status, &response.body));
    if status == 0 {
        return;
    }
    let head = format!(
        "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
}
