//! Stand-ins for the platform's store, engines and clients, and the start of gateway processes. Uses
//! the standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const HOST: &str = "pule25.example";

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Ids of the gateway processes, for the end of a trial that hangs.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the trial with exit code 2 if it has not ended by itself within 115 s.
pub fn start_watchdog() {
    thread::spawn(|| {
        sleep(Duration::from_secs(115));
        for child in CHILDREN.lock().unwrap().iter() {
            send_signal("KILL", *child);
        }
        eprintln!("the trial took too long");
        std::process::exit(2);
    });
}

fn send_signal(name: &str, process: u32) {
    let command = format!("kill -{name} {process}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

/// Writes what was sent, answered and run, with the time since the start of the trial.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---- HTTP -------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut text = Vec::new();
    if reader.read_until(b'\n', &mut text)? == 0 || text.last() != Some(&b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    while matches!(text.last(), Some(b'\n' | b'\r')) {
        text.pop();
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = Message {
        first: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = size.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line(reader)?;
    Ok(data)
}

/// Reads a message with its body, which has a length, comes in chunks or is empty.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = read_head(reader)?;
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let data = read_chunk(reader)?;
            if data.is_empty() {
                return Ok(message);
            }
            message.body.extend(data);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Returns whether the peer has closed the connection. Sound peers send nothing meanwhile.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

// ---- The platform's store ----------------------------------------------------------------------

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Vec<Row>>,
    changed: Condvar,
}

/// An address at which the store is served.
pub struct StoreDoor {
    pub address: SocketAddr,
    is_open: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl StoreDoor {
    /// Ends the connections at the address; nothing listens there from now on.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Time that the store takes for an answer.
const STORE_ANSWER: Duration = Duration::from_millis(4);

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let door = store.open_door()?;
        Ok((store, door.address))
    }

    /// Serves the store on a further free port.
    pub fn open_door(self: &Arc<Self>) -> std::io::Result<Arc<StoreDoor>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Arc::new(StoreDoor {
            address: listener.local_addr()?,
            is_open: AtomicBool::new(true),
            open: Mutex::default(),
        });
        let (store, served) = (Arc::clone(self), Arc::clone(&door));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !served.is_open.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    served.open.lock().unwrap().push(kept);
                }
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(door)
    }

    /// Writes a row, or removes it if there is no value.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        self.set_encoded(table, key, value.map(|text| encode_base64(text.as_bytes())));
    }

    fn set_encoded(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        let version = rows.iter().map(|row| row.version).max().unwrap_or(0) + 1;
        rows.retain(|row| (row.table.as_str(), row.key.as_str()) != (table, key));
        rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        });
        self.changed.notify_all();
    }

    /// Writes the entry of an engine.
    pub fn set_engine(&self, id: &str, entry: &EngineEntry) {
        let EngineEntry {
            service,
            address,
            zone,
            slots,
            state,
            sequence,
            born,
        } = entry;
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.set("servers", id, Some(&text));
    }

    fn listing(&self, rows: &[Row], table: &str, after: Option<u64>) -> Vec<String> {
        let listed = rows.iter().filter(|row| {
            row.table == table
                && match after {
                    Some(after) => row.version > after,
                    None => row.value.is_some(),
                }
        });
        let mut listed: Vec<&Row> = listed.collect();
        match after {
            Some(_) => listed.sort_by_key(|row| row.version),
            None => listed.sort_by_key(|row| row.key.clone()),
        }
        let encode = |row: &&Row| {
            let value = match &row.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""removed":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{table}","part":"","key":"{}","row-version":{},{value}}}"#,
                row.key, row.version
            )
        };
        listed.iter().map(encode).collect()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let call = read_message(&mut reader)?;
            sleep(STORE_ANSWER);
            let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
            let parameters: HashMap<&str, &str> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .collect();
            let table = parameters.get("table").copied().unwrap_or("");
            let mut listed = Vec::new();
            match path {
                "/rows-get" => listed = self.listing(&self.rows.lock().unwrap(), table, None),
                "/rows-feed" => {
                    let number =
                        |name: &str| parameters.get(name).and_then(|text| text.parse().ok());
                    let after = number("after").unwrap_or(0);
                    let until = Instant::now() + ms(number("wait-ms").unwrap_or(0));
                    let mut rows = self.rows.lock().unwrap();
                    loop {
                        listed = self.listing(&rows, table, Some(after));
                        let left = until.saturating_duration_since(Instant::now());
                        if !listed.is_empty() || left.is_zero() {
                            break;
                        }
                        rows = self.changed.wait_timeout(rows, left).unwrap().0;
                    }
                }
                "/rows-tx" => self.apply(&String::from_utf8_lossy(&call.body)),
                _ => {}
            }
            let newest = {
                let rows = self.rows.lock().unwrap();
                rows.iter().map(|row| row.version).max().unwrap_or(0)
            };
            let body = format!(
                r#"{{"rows":[{}],"has-more":false,"row-version":{newest},"now-ms":{}}}"#,
                listed.join(","),
                unix_ms()
            );
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }

    /// Applies a transaction of the system, which writes or removes one row of its own table.
    fn apply(&self, body: &str) {
        let Some((written, removed)) = body.split_once("\"remove\":") else {
            return;
        };
        if let (Some(key), Some(value)) = (text_field(written, "key"), text_field(written, "value"))
        {
            self.set_encoded("hosts", key, Some(value.to_owned()));
        }
        if let Some(key) = text_field(removed, "key") {
            self.set_encoded("hosts", key, None);
        }
    }
}

/// Returns the first text field with a name in a JSON text.
pub fn text_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    text[start..].split('"').next()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0_u32;
        for position in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(position).copied().unwrap_or(0));
        }
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit) & 63) as usize;
            let is_used = digit <= chunk.len();
            encoded.push(if is_used {
                char::from(DIGITS[index])
            } else {
                '='
            });
        }
    }
    encoded
}

// ---- Engines -----------------------------------------------------------------------------------

/// The entry of an engine in the store.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    pub sequence: u64,
    pub born: u64,
}

/// One request at an engine. The handler writes the whole answer.
pub struct Call<'a> {
    pub request: &'a Message,
    pub stream: &'a mut TcpStream,
}

impl Call<'_> {
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> std::io::Result<()> {
        let attempt = self.request.header("attempt-id");
        let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
        if !attempt.is_empty() {
            bytes.extend(format!("Attempt-Id: {attempt}\r\n").bytes());
        }
        bytes.extend(format!("{headers}Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Writes the head of a stream of events.
    pub fn begin_stream(&mut self, headers: &str) -> std::io::Result<()> {
        let attempt = self.request.header("attempt-id");
        write!(
            self.stream,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nContent-Type: text/event-stream\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
        )
    }

    pub fn event(&mut self, id: u64) -> std::io::Result<()> {
        let text = format!("id: {id}\ndata: token text {id}\n\n");
        write!(self.stream, "{:x}\r\n{text}\r\n", text.len())
    }

    pub fn end_stream(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }

    /// Waits, and fails if the caller closes the connection meanwhile.
    pub fn work(&self, time: Duration) -> std::io::Result<()> {
        let until = Instant::now() + time;
        loop {
            if is_closed(self.stream) {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            sleep(left.min(ms(5)));
        }
    }
}

/// An engine that may crash and start again.
pub struct Engine {
    pub number: usize,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    store: Arc<Store>,
    state: Mutex<EngineState>,
    count: AtomicU64,
}

struct EngineState {
    id: String,
    born: u64,
    sequence: u64,
    is_up: bool,
    listener: Option<TcpListener>,
    open: Vec<TcpStream>,
}

/// Time between two entries of an engine.
const HEARTBEAT: Duration = Duration::from_millis(1200);

pub type Handler = dyn Fn(&Arc<Engine>, &mut Call<'_>) -> std::io::Result<()> + Send + Sync;

impl Engine {
    /// Starts an engine, which registers itself and serves requests.
    pub fn start(
        store: &Arc<Store>,
        number: usize,
        service: &str,
        zone: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr()?,
            store: Arc::clone(store),
            state: Mutex::new(EngineState {
                id: String::new(),
                born: 0,
                sequence: 0,
                is_up: false,
                listener: None,
                open: Vec::new(),
            }),
            count: AtomicU64::new(0),
        });
        engine.come_up(listener, handler)?;
        let beating = Arc::clone(&engine);
        thread::spawn(move || loop {
            sleep(HEARTBEAT);
            beating.register();
        });
        Ok(engine)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }

    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.sequence += 1;
        let entry = EngineEntry {
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            state: "ready",
            sequence: state.sequence,
            born: state.born,
        };
        self.store.set_engine(&state.id, &entry);
    }

    /// Starts an incarnation with a new id.
    fn come_up(
        self: &Arc<Self>,
        listener: TcpListener,
        handler: Arc<Handler>,
    ) -> std::io::Result<()> {
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let accepting = listener.try_clone()?;
        {
            let mut state = self.state.lock().unwrap();
            state.id = format!("i-{}{:02}{number:04}", self.service, self.number);
            state.born = unix_ms();
            state.sequence = 0;
            state.is_up = true;
            state.listener = Some(listener);
        }
        let engine = Arc::clone(self);
        let incarnation = number;
        thread::spawn(move || {
            for stream in accepting.incoming().flatten() {
                if engine.count.load(Ordering::SeqCst) != incarnation + 1 || !engine.is_up() {
                    return;
                }
                let Ok(kept) = stream.try_clone() else {
                    continue;
                };
                engine.state.lock().unwrap().open.push(kept);
                let (engine, handler) = (Arc::clone(&engine), Arc::clone(&handler));
                thread::spawn(move || {
                    let _ = engine.serve(stream, handler.as_ref());
                });
            }
        });
        self.register();
        Ok(())
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = read_message(&mut reader)?;
            let mut call = Call {
                request: &request,
                stream: &mut stream,
            };
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.id() {
                let instance = format!("Instance-Id: {}\r\n", self.id());
                call.answer("421 Misdirected Request", &instance, b"")?;
                continue;
            }
            handler(self, &mut call)?;
        }
    }

    /// Ends the incarnation as a crash does: its connections end and nothing listens.
    pub fn crash(&self) {
        let (listener, open) = {
            let mut state = self.state.lock().unwrap();
            state.is_up = false;
            (state.listener.take(), std::mem::take(&mut state.open))
        };
        for stream in open {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(listener);
        // Wakes the thread that accepts, which then drops its copy of the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts again after a crash as a new incarnation with a new id.
    pub fn restart(self: &Arc<Self>, handler: Arc<Handler>) -> std::io::Result<()> {
        let before = self.id();
        let mut listener = TcpListener::bind(self.address);
        for _ in 0..200 {
            if listener.is_ok() {
                break;
            }
            sleep(ms(10));
            listener = TcpListener::bind(self.address);
        }
        // The entry of the earlier incarnation lapses after three intervals of silence.
        let store = Arc::clone(&self.store);
        thread::spawn(move || {
            sleep(HEARTBEAT);
            store.set("servers", &before, None);
        });
        self.come_up(listener?, handler)
    }
}

// ---- The system --------------------------------------------------------------------------------

/// The site whose settings the hosts have.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Site {
    NadiEnrol,
    AtlasRelais,
    UmojaRemit,
}

impl Site {
    /// Returns the settings of a host, with placeholders for its name and addresses.
    fn settings(self) -> String {
        let changes = match self {
            Self::NadiEnrol => return SETTINGS.to_owned(),
            Self::AtlasRelais => ATLAS_CHANGES,
            Self::UmojaRemit => UMOJA_CHANGES,
        };
        let change = |text: String, (before, after): &(&str, &str)| text.replace(before, after);
        let changes = GROWN_CHANGES.iter().chain(changes);
        changes.fold(SETTINGS.to_owned(), change)
    }

    pub const fn zones(self) -> [&'static str; 3] {
        match self {
            Self::NadiEnrol => ["tn-north-a", "tn-north-b", "tn-north-c"],
            Self::AtlasRelais => ["ma-north-a", "ma-north-b", "ma-north-c"],
            Self::UmojaRemit => ["kariakoo", "mikocheni", "kigamboni"],
        }
    }
}

/// What differs in the settings of both grown sites.
const GROWN_CHANGES: &[(&str, &str)] = &[
    ("cpu-share = 0.25", "cpu-share = 0.5"),
    ("memory-mb = 260", "memory-mb = 512"),
    ("file-descriptors = 4100", "file-descriptors = 8192"),
    ("link-mbps = 1000.0", "link-mbps = 200.0"),
    ("machines = 1", "machines = 2"),
    ("contact-ms = 3000", "contact-ms = 4000"),
    ("ack-ms = 4000", "ack-ms = 6000"),
    ("catch-up-s = 4", "catch-up-s = 6"),
    ("drain-ms = 2000", "drain-ms = 3000"),
    ("config-apply-ms = 2000", "config-apply-ms = 3000"),
    ("outer-ms = 5000", "outer-ms = 6000"),
    ("recovery-s = 12", "recovery-s = 15"),
    ("forward-pass-ms = 120", "forward-pass-ms = 200"),
    ("writes-per-s = 400", "writes-per-s = 1200"),
    ("reads-per-s = 2000", "reads-per-s = 6000"),
    ("\"recover\",", "\"recover\",\"health\",\"pool\","),
];

/// What else differs in the settings of the site atlas-relais-grown.
const ATLAS_CHANGES: &[(&str, &str)] = &[
    ("tn-north", "ma-north"),
    ("\"tenants\",", "\"tenants\",\"places\",\"pressure\","),
    ("zones = 0", "zones = 1"),
    (
        "budget-slack = 54",
        "budget-slack = 172\ncold-overshoot = 1.5\ncold-slack = 5\nevacuation-ms = 5000",
    ),
];

/// What else differs in the settings of the site umoja-remit-grown.
const UMOJA_CHANGES: &[(&str, &str)] = &[
    ("\"tn-north\"", "\"dar-region\""),
    ("tn-north-a =", "kariakoo ="),
    ("tn-north-b =", "mikocheni ="),
    ("tn-north-c =", "kigamboni ="),
    ("budget-slack = 54", "budget-slack = 308"),
    ("reuse-window-s = 10", "reuse-window-s = 8.4"),
];

/// Settings of the site nadi-enrol.
const SETTINGS: &str = r#"node = "NODE"
role = "gateway"
machine-class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "ZONE"
region = "tn-north"
seeds = [SEEDS]
bootstrap = true
count-toward-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
tn-north-a = "tn-north"
tn-north-b = "tn-north"
tn-north-c = "tn-north"
[listen]
front = "FRONT"
ready = "READY"
control = "CONTROL"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
outer-ms = 5000
revoke-everywhere = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
recovery-s = 12
forward-pass-ms = 120
reuse-window-s = 10
[platform]
address = "STORE"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 3.0
partition-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#;

/// Returns an address on loopback that nothing listens on.
///
/// Each trial uses an IP address of its own, so that no other process takes the port before the host
/// listens on it.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 1 + high % 250, low, 1);
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A gateway process; it is killed when dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Gateway {
    /// Replaces a text in the settings file of the host.
    pub fn change_settings(&self, before: &str, after: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?.replace(before, after);
        let written = self.settings.with_extension("new");
        std::fs::write(&written, text)?;
        std::fs::rename(&written, &self.settings)
    }

    pub fn is_ready(&self) -> bool {
        let check = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(ms(1000)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.status())
        };
        check().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let own = self.child.id();
        CHILDREN.lock().unwrap().retain(|child| *child != own);
    }
}

/// A temporary folder, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> std::io::Result<Self> {
        let name = format!("hollywheel-review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts hosts, one in each zone in turn, with the command of the deploy file, and waits until they
/// are ready and know each other.
pub fn start_hosts(
    folder: &TempFolder,
    site: Site,
    store: SocketAddr,
    count: usize,
) -> Result<Vec<Gateway>, String> {
    let error = |error: std::io::Error| error.to_string();
    let mut addresses = Vec::new();
    for _ in 0..count {
        let mut three = Vec::new();
        for _ in 0..4 {
            three.push(free_address().map_err(error)?);
        }
        addresses.push(three);
    }
    let seeds: Vec<String> = addresses
        .iter()
        .take(3)
        .map(|own| format!("\"{}\"", own[2]))
        .collect();
    let mut hosts = Vec::new();
    for (number, own) in addresses.iter().enumerate() {
        let zones = site.zones();
        let zone = zones[number % zones.len()];
        let name = format!("front-{zone}-{}", number / zones.len() + 1);
        let text = site
            .settings()
            .replace("NODE", &name)
            .replace("ZONE", zone)
            .replace("SEEDS", &seeds.join(","))
            .replace("FRONT", &own[0].to_string())
            .replace("READY", &own[1].to_string())
            .replace("CONTROL", &own[2].to_string())
            .replace("STORE", &store.to_string());
        let path = folder.0.join(format!("{name}.toml"));
        std::fs::write(&path, text).map_err(error)?;
        let log = File::create(folder.0.join(format!("{name}.log"))).map_err(error)?;
        let child = Command::new("target/release/hollywheeld")
            .arg("gateway")
            .env("HOLLYWHEEL_NODE_FILE", &path)
            .env("HOLLYWHEEL_METRICS_PORT", own[3].port().to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(error)?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/hollywheeld: {error}"))?;
        CHILDREN.lock().unwrap().push(child.id());
        // The script ends these processes if it is ended itself.
        if let Some(path) = std::env::var_os("PIDS") {
            let file = File::options().append(true).create(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        hosts.push(Gateway {
            name,
            front: own[0],
            ready: own[1],
            settings: path,
            child,
        });
    }
    for _ in 0..100 {
        if hosts.iter().all(Gateway::is_ready) {
            // Entries of engines and of the other hosts are read by then.
            sleep(ms(3000));
            return Ok(hosts);
        }
        sleep(ms(100));
    }
    Err("the hosts are not ready after 10 s".to_owned())
}

// ---- Clients -----------------------------------------------------------------------------------

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Ending {
    /// 0 if the connection ended before a head.
    pub status: u16,
    pub is_whole: bool,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn request_text(
    method: &str,
    path: &str,
    attempt: &str,
    deadline: u64,
    extra: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\nAuthorization: Bearer {KEY}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and reads the answer, for as long as its client waits.
pub fn send(address: SocketAddr, text: &str, deadline: u64) -> Ending {
    let mut ending = Ending {
        status: 0,
        is_whole: false,
        headers: Vec::new(),
        body: Vec::new(),
    };
    let until = Instant::now() + ms(deadline);
    let mut exchange = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.write_all(text.as_bytes())?;
        let left = until.saturating_duration_since(Instant::now()).max(ms(1));
        stream.set_read_timeout(Some(left))?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        ending.status = head.status();
        ending.headers = head.headers.clone();
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let data = read_chunk(&mut reader)?;
                if data.is_empty() {
                    break;
                }
                ending.body.extend(data);
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(ErrorKind::TimedOut.into());
                }
                reader.get_ref().set_read_timeout(Some(left))?;
            }
        } else {
            let length = head.header("content-length").parse().unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            ending.body = body;
        }
        ending.is_whole = true;
        Ok(())
    };
    let _ = exchange();
    ending
}
