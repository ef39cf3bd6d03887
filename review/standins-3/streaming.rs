//! Stand-ins for model servers: each answers with a short stream, and crashes when it begins to write an
//! answer on a certain prompt part. Some go down and up by turns.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;
use crate::store::Store;

/// Prompt part that crashes the servers.
pub const DEAD_PART: &str = "dead01";
const DOWN_TIME: Duration = Duration::from_secs(3);
const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
const EVENT_TIME: Duration = Duration::from_millis(60);
const EVENTS: usize = 6;

/// An attempt that reached a server with the part, and when.
pub type DeadRuns = Arc<Mutex<Vec<(Duration, String)>>>;

pub struct StreamingEngine {
    pub id: String,
    address: SocketAddr,
    born: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    down_until: Mutex<Option<Instant>>,
    record: Arc<Record>,
    store: Arc<Store>,
    runs: DeadRuns,
    framing: Framing,
}

/// How an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Chunks,
    /// With its connection.
    None,
}

impl StreamingEngine {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        runs: &DeadRuns,
        id: &str,
        framing: Framing,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: AtomicU64::new(1_700_000_000_000),
            open: Mutex::default(),
            down_until: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
            runs: Arc::clone(runs),
            framing,
        });
        engine.register();
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.listen(listener));
        engine
    }

    fn register(&self) {
        let born = self.born.load(Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"model","address":"{}","zone":"a","version":"v1","slots":16,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#,
            self.address
        );
        self.store.set_document("servers", &self.id, &entry);
    }

    /// Crashes the server for a time.
    pub fn crash(&self, time: Duration) {
        let mut down_until = self.down_until.lock().unwrap();
        let until = Instant::now() + time;
        *down_until = Some(down_until.map_or(until, |known| known.max(until)));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        loop {
            let down_until = *self.down_until.lock().unwrap();
            if let Some(until) = down_until {
                drop(listening.take());
                let mut open = std::mem::take(&mut *self.open.lock().unwrap());
                for stream in open.drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                thread::sleep(until.saturating_duration_since(Instant::now()));
                listening = TcpListener::bind(self.address).ok();
                *self.down_until.lock().unwrap() = None;
                self.born.fetch_add(1, Ordering::SeqCst);
                self.register();
            }
            let Some(listener) = &listening else {
                thread::sleep(Duration::from_millis(20));
                listening = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = listener.set_nonblocking(true);
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(clone) = stream.try_clone() {
                self.open.lock().unwrap().push(clone);
            }
            let engine = Arc::clone(&self);
            thread::spawn(move || engine.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(reader.get_mut(), &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("attempt-id");
        if request.header("expect-instance") != self.id {
            let answer = format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(answer.as_bytes());
        }
        let is_dead = request.header("prompt-prefix").contains(DEAD_PART);
        let note = if is_dead { "arrives with the part" } else { "runs" };
        self.record
            .line(&format!("engine {}: {attempt} {note}", self.id));
        if is_dead {
            let at = self.record.now();
            self.runs.lock().unwrap().push((at, attempt.to_owned()));
        }
        thread::sleep(FIRST_EVENT_TIME);
        let framing = match self.framing {
            Framing::Chunks => "Transfer-Encoding: chunked",
            Framing::None => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: t{number}\n\n");
            let framed = match self.framing {
                Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                Framing::None => event,
            };
            stream.write_all(framed.as_bytes())?;
            thread::sleep(EVENT_TIME);
            if is_dead {
                self.crash(DOWN_TIME);
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        match self.framing {
            Framing::Chunks => stream.write_all(b"0\r\n\r\n"),
            Framing::None => {
                stream.shutdown(Shutdown::Both)?;
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
        }
    }
}
