//! Stand-ins for backend servers that crash when they begin to run a certain request, and are back after
//! some seconds under the same id.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;

/// Body of the request that crashes the servers.
pub const DEAD_BODY: &str = "dead";
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from the arrival of the request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(50);
const WORK_TIME: Duration = Duration::from_millis(30);

/// A run of the request that crashes servers.
#[derive(Clone, Debug)]
pub struct DeadRun {
    pub at: Duration,
    pub attempt: String,
}

pub struct CrashingEngine {
    id: String,
    address: SocketAddr,
    born: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    down_until: Mutex<Option<Instant>>,
    record: Arc<Record>,
    store: Arc<Store>,
    runs: Arc<Mutex<Vec<DeadRun>>>,
}

impl CrashingEngine {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        runs: &Arc<Mutex<Vec<DeadRun>>>,
        id: &str,
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
        });
        engine.register();
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.listen(listener));
        engine
    }

    fn register(&self) {
        let born = self.born.load(Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#,
            self.address
        );
        self.store.set_document("servers", &self.id, &entry);
    }

    /// Accepts connections. While the server is down nothing listens at its address.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        loop {
            let down_until = *self.down_until.lock().unwrap();
            if let Some(until) = down_until {
                listening = None;
                for stream in self.open.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                thread::sleep(until.saturating_duration_since(Instant::now()));
                listening = TcpListener::bind(self.address).ok().or(listening);
                *self.down_until.lock().unwrap() = None;
                self.born.fetch_add(1, Ordering::SeqCst);
                self.register();
                self.record.line(&format!("engine {} is back", self.id));
            }
            let Some(listener) = &listening else {
                thread::sleep(Duration::from_millis(50));
                listening = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        self.open.lock().unwrap().push(clone);
                    }
                    let engine = Arc::clone(&self);
                    thread::spawn(move || engine.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let attempt = request.header("attempt-id").to_owned();
            if request.header("expect-instance") != self.id {
                let answer = format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                let _ = reader.get_mut().write_all(answer.as_bytes());
                continue;
            }
            if request.body == DEAD_BODY.as_bytes() {
                let at = self.record.now();
                self.record.line(&format!(
                    "engine {}: {attempt} begins and crashes the engine",
                    self.id
                ));
                self.runs.lock().unwrap().push(DeadRun { at, attempt });
                thread::sleep(CRASH_DELAY);
                *self.down_until.lock().unwrap() = Some(Instant::now() + DOWN_TIME);
                return;
            }
            self.record
                .line(&format!("engine {}: {attempt} runs", self.id));
            thread::sleep(WORK_TIME);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Length: 2\r\n\r\nok"
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
