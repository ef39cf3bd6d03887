//! Stand-ins for backend servers that leave without reporting it: their entry is removed, they serve for
//! the drain time and a little longer, and exit.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1200);
const WORK_TIME: Duration = Duration::from_millis(60);

pub struct LeavingEngine {
    pub id: String,
    address: SocketAddr,
    sequence: AtomicU64,
    has_left: AtomicBool,
    has_ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// When each attempt arrived.
    pub arrivals: Mutex<Vec<(Duration, String)>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl LeavingEngine {
    pub fn start(record: &Arc<Record>, store: &Arc<Store>, id: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            sequence: AtomicU64::new(0),
            has_left: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            open: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        engine.register();
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.has_left.load(Ordering::SeqCst) {
                    return;
                }
                beating.register();
            }
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.listen(&listener));
        engine
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":1700000000000}}"#,
            self.address
        );
        self.store.set_document("servers", &self.id, &entry);
    }

    /// Has its entry removed, and exits after a time; returns when the store had done so.
    pub fn leave(self: &Arc<Self>, after: Duration) -> Duration {
        self.has_left.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        self.store.set("servers", &self.id, None);
        let removed_at = self.record.now();
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(after);
            engine.has_ended.store(true, Ordering::SeqCst);
            for stream in engine.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            engine.record.line(&format!("engine {} exits", engine.id));
        });
        removed_at
    }

    fn listen(self: &Arc<Self>, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        while !self.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(clone) = stream.try_clone() {
                self.open.lock().unwrap().push(clone);
            }
            let engine = Arc::clone(self);
            thread::spawn(move || engine.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let attempt = request.header("attempt-id").to_owned();
            let at = self.record.now();
            self.arrivals.lock().unwrap().push((at, attempt.clone()));
            self.record
                .line(&format!("engine {}: {attempt} arrives", self.id));
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
