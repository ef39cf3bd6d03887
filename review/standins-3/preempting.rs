//! Stand-ins for model servers that preempt some streams: such a stream is silent for a while and goes on.
//! Most of them drop a request when its connection closes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;
use crate::store::Store;

pub const EVENTS: u64 = 20;
const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
const EVENT_TIME: Duration = Duration::from_millis(150);
/// Event after which a stream is preempted, and for how long.
const PREEMPTED_AFTER: u64 = 3;
const PREEMPTED_TIME: Duration = Duration::from_millis(5450);
/// One stream in so many is preempted.
const PREEMPTED_SHARE: usize = 6;

/// One run of a request: when it made each event.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub attempt: String,
    pub events: Vec<Duration>,
}

pub struct PreemptingEngine {
    pub id: String,
    address: SocketAddr,
    drops_closed: bool,
    preempts: Arc<AtomicBool>,
    begun: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

/// Returns whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

impl PreemptingEngine {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        id: &str,
        drops_closed: bool,
        preempts: &Arc<AtomicBool>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            drops_closed,
            preempts: Arc::clone(preempts),
            begun: AtomicUsize::new(0),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let entry = format!(
            r#"{{"service":"model","address":"{}","zone":"a","version":"v1","slots":96,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1700000000000}}"#,
            engine.address
        );
        store.set_document("servers", id, &entry);
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !self.answer(reader.get_mut(), &request) {
                return;
            }
        }
    }

    /// Waits; returns false if the caller has left and this engine notices it.
    fn wait(&self, stream: &TcpStream, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.drops_closed && is_closed(stream) {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Runs a request; returns whether the connection can be used on.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let attempt = request.header("attempt-id").to_owned();
        if request.header("expect-instance") != self.id {
            let answer = format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let number = self.begun.fetch_add(1, Ordering::SeqCst);
        let is_preempted = after == 0
            && number % PREEMPTED_SHARE == PREEMPTED_SHARE - 1
            && self.preempts.load(Ordering::SeqCst);
        self.record
            .line(&format!("engine {}: {attempt} arrives, after event {after}", self.id));
        if !self.wait(stream, FIRST_EVENT_TIME) {
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                engine: self.id.clone(),
                attempt: attempt.clone(),
                events: Vec::new(),
            });
            runs.len() - 1
        };
        for event in after + 1..=EVENTS {
            let at = self.record.now();
            self.runs.lock().unwrap()[run].events.push(at);
            self.record
                .line(&format!("engine {}: {attempt} makes event {event}", self.id));
            let text = format!("id: {event}\ndata: t{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open &= stream.write_all(chunk.as_bytes()).is_ok();
            let time = match event == PREEMPTED_AFTER && is_preempted {
                true => PREEMPTED_TIME,
                false => EVENT_TIME,
            };
            if !self.wait(stream, time) {
                self.record
                    .line(&format!("engine {}: {attempt} is dropped", self.id));
                return false;
            }
        }
        is_open && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
