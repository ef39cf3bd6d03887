//! Stand-ins for stage servers: they make pieces in batched calls, and crash as soon as a call names a
//! certain key.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;
use crate::store::Store;
use crate::streaming::DeadRuns;

/// Piece key that crashes the servers.
pub const DEAD_KEY: &str = "deadbeef01";
const DOWN_TIME: Duration = Duration::from_secs(3);
const CALL_TIME: Duration = Duration::from_millis(150);

pub struct StageEngine {
    id: String,
    address: SocketAddr,
    born: AtomicU64,
    last_handle: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    down_until: Mutex<Option<Instant>>,
    crash_delay: Duration,
    record: Arc<Record>,
    store: Arc<Store>,
    runs: DeadRuns,
}

impl StageEngine {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        runs: &DeadRuns,
        id: &str,
        crash_delay: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: AtomicU64::new(1_700_000_000_000),
            last_handle: AtomicU64::new(0),
            open: Mutex::default(),
            down_until: Mutex::default(),
            crash_delay,
            record: Arc::clone(record),
            store: Arc::clone(store),
            runs: Arc::clone(runs),
        });
        engine.register();
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.listen(listener));
        engine
    }

    fn register(&self) {
        let born = self.born.load(Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"stage","address":"{}","zone":"a","version":"v1","slots":1,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#,
            self.address
        );
        self.store.set_document("servers", &self.id, &entry);
    }

    /// Crashes the server: its connections end, and nothing listens at its address.
    fn crash(&self) {
        *self.down_until.lock().unwrap() = Some(Instant::now() + DOWN_TIME);
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        loop {
            let down_until = *self.down_until.lock().unwrap();
            if let Some(until) = down_until {
                drop(listening.take());
                for stream in std::mem::take(&mut *self.open.lock().unwrap()) {
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
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(clone) = stream.try_clone() {
                self.open.lock().unwrap().push(clone);
            }
            let engine = Arc::clone(&self);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if engine.answer(reader.get_mut(), &request).is_err() {
                        return;
                    }
                }
            });
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        if request.header("expect-instance") != self.id {
            return stream.write_all(b"HTTP/1.1 421 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut answer = String::new();
        if request.target().starts_with("/stage-run") {
            let ids = body.split("\"id\":\"").skip(1);
            let ids: Vec<&str> = ids.filter_map(|rest| rest.split('"').next()).collect();
            if body.contains(DEAD_KEY) {
                let dead = body.split("\"id\":\"").skip(1);
                let dead = dead.filter(|item| item.contains(DEAD_KEY));
                let mut dead: Vec<&str> = dead.filter_map(|rest| rest.split('"').next()).collect();
                dead.dedup();
                for attempt in dead {
                    let at = self.record.now();
                    self.record
                        .line(&format!("engine {}: {attempt} crashes it", self.id));
                    self.runs.lock().unwrap().push((at, attempt.to_owned()));
                }
                thread::sleep(self.crash_delay);
                self.crash();
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(CALL_TIME);
            let items = ids.iter().map(|_| {
                let number = self.last_handle.fetch_add(1, Ordering::SeqCst);
                let born = self.born.load(Ordering::SeqCst);
                format!(r#"{{"handle":"{}/{born:x}{number:x}"}}"#, self.address)
            });
            let items: Vec<String> = items.collect();
            answer = format!(r#"{{"items":[{}]}}"#, items.join(","));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all(format!("{head}{answer}").as_bytes())
    }
}
