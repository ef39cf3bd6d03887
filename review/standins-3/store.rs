//! Stand-in for the platform's store: rows with versions, listings, feeds and transactions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;

#[derive(Clone)]
struct Row {
    /// Content in base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    newest: u64,
}

/// What happens to the next removal of a row of the hosts.
#[derive(Clone, Copy)]
pub enum RemovalPlan {
    /// It is done and answered.
    Prompt,
    /// It gets no answer and is done after this time.
    Late(Duration),
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    removal: Mutex<RemovalPlan>,
    record: Arc<Record>,
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let used = digit <= chunk.len();
            encoded.push(if used { DIGITS[index as usize] as char } else { '=' });
        }
    }
    encoded
}

/// Returns the value of the first string field with a name in a JSON text.
fn string_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    text[start..].split('"').next().map(str::to_owned)
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            removal: Mutex::new(RemovalPlan::Prompt),
            record: Arc::clone(record),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub fn plan_removal(&self, plan: RemovalPlan) {
        *self.removal.lock().unwrap() = plan;
    }

    /// Writes a row, or removes it if there is no value.
    pub fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.newest += 1;
        let version = rows.newest;
        let key = (table.to_owned(), key.to_owned());
        rows.rows.insert(key, Row { value, version });
        self.changed.notify_all();
    }

    pub fn set_document(&self, table: &str, key: &str, text: &str) {
        self.set(table, key, Some(encode_base64(text.as_bytes())));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            // A connection on which a response is lost delivers nothing further.
            let Some((status, body)) = self.answer(&request) else {
                thread::sleep(Duration::from_secs(300));
                return;
            };
            let answer = format!(
                "HTTP/1.1 {status} x\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the response to a call; none if it is lost.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        thread::sleep(Duration::from_millis(4));
        let path = request.target().split('?').next().unwrap_or("");
        let table = request.parameter("table");
        match path {
            "/rows-get" => Some((200, self.list(&table, None).1)),
            "/rows-feed" => Some((200, self.feed(request, &table))),
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Returns the number of rows and the body of a listing, or of the changes after a version.
    fn list(&self, table: &str, after: Option<u64>) -> (usize, String) {
        let rows = self.rows.lock().unwrap();
        let selected = rows.rows.iter().filter(|((known, _), row)| {
            known == table && after.map_or(row.value.is_some(), |after| row.version > after)
        });
        let mut selected: Vec<_> = selected.collect();
        if after.is_some() {
            selected.sort_by_key(|(_, row)| row.version);
        }
        let encoded = selected.iter().map(|((_, key), row)| {
            let content = match &row.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""removed":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{table}","part":"","key":"{key}","row-version":{},{content}}}"#,
                row.version
            )
        });
        let encoded: Vec<String> = encoded.collect();
        let body = format!(
            r#"{{"rows":[{}],"has-more":false,"row-version":{},"now-ms":1}}"#,
            encoded.join(","),
            rows.newest
        );
        (encoded.len(), body)
    }

    fn feed(&self, request: &Message, table: &str) -> String {
        let after = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let (count, body) = self.list(table, Some(after));
            let left = until.saturating_duration_since(Instant::now());
            if count > 0 || left.is_zero() {
                return body;
            }
            let rows = self.rows.lock().unwrap();
            let left = left.min(Duration::from_millis(20));
            drop(self.changed.wait_timeout(rows, left).unwrap());
        }
    }

    /// Applies a transaction that writes or removes one row.
    fn transact(self: &Self, body: &str) -> Option<(u16, String)> {
        let (written, removed) = body.split_once("\"remove\":").unwrap_or((body, ""));
        if let (Some(table), Some(key)) =
            (string_field(written, "table"), string_field(written, "key"))
        {
            self.set(&table, &key, string_field(written, "value"));
            self.record.line(&format!("store: row {table}/{key} written"));
        }
        if let (Some(table), Some(key)) =
            (string_field(removed, "table"), string_field(removed, "key"))
        {
            if let RemovalPlan::Late(time) = *self.removal.lock().unwrap() {
                self.record
                    .line(&format!("store: removal of {table}/{key} taken, no response"));
                thread::sleep(time);
                self.set(&table, &key, None);
                self.record
                    .line(&format!("store: removal of {table}/{key} performed late"));
                return None;
            }
            self.set(&table, &key, None);
            self.record.line(&format!("store: row {table}/{key} removed"));
        }
        Some((200, self.list("none", None).1))
    }
}
