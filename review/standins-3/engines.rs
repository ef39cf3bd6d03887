//! Stand-ins for backend servers that answer plain requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;

/// One request that an engine ran.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub attempt: String,
    /// Whether the answer named the limit.
    pub limited: bool,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    /// Whether answers name the limit.
    pub names_limit: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    limit: f64,
    work: Duration,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(record: &Arc<Record>, id: &str, limit: f64, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            names_limit: AtomicBool::new(false),
            arrivals: Mutex::default(),
            limit,
            work,
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns the engine's entry in the table of servers.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1700000000000}}"#,
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let attempt = request.header("attempt-id").to_owned();
            let expected = request.header("expect-instance");
            let answer = if !expected.is_empty() && expected != self.id {
                format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                let limited = self.names_limit.load(Ordering::SeqCst);
                let at = self.record.now();
                self.record
                    .line(&format!("engine {}: {attempt} arrives", self.id));
                self.arrivals.lock().unwrap().push(Arrival {
                    at,
                    attempt: attempt.clone(),
                    limited,
                });
                thread::sleep(self.work);
                let limit = match limited {
                    true => format!("Server-Limit: {}\r\n", self.limit),
                    false => String::new(),
                };
                format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\n{limit}Content-Length: 2\r\n\r\nok")
            };
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
