//! A fake of the operator interface with answers given in advance.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Answers each call with what was given for its method and path.
pub struct FakeHost {
    address: SocketAddr,
    orders: Arc<AtomicU32>,
}

struct Answer {
    call: String,
    status: u16,
    body: String,
}

impl FakeHost {
    /// Starts the fake. Status 0 closes the connection without an answer.
    pub fn start(answers: &[(&str, u16, &str)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let orders = Arc::new(AtomicU32::new(0));
        let answers: Vec<Answer> = answers
            .iter()
            .map(|(call, status, body)| Answer {
                call: (*call).to_owned(),
                status: *status,
                body: (*body).to_owned(),
            })
            .collect();
        let counter = Arc::clone(&orders);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &answers, &counter);
            }
        });
        Self { address, orders }
    }

    /// Returns the address.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the number of orders received.
    pub fn orders(&self) -> u32 {
        self.orders.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, answers: &[Answer], orders: &AtomicU32) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
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
    if first.starts_with("POST") {
        orders.fetch_add(1, Ordering::SeqCst);
    }
    let call = first.trim_end().trim_end_matches(" HTTP/1.1");
    let found = answers.iter().find(|answer| answer.call == call);
    let (status, body) = found.map_or((404, "{}"), |answer| (answer.status, &answer.body));
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
