//! Stand-in for the platform's metadata store: rows with versions, and feeds of their changes.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// The value in base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Vec<Row>>,
    changed: Condvar,
}

/// Encodes bytes in base64 with padding.
fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding { '=' } else { DIGITS[value as usize] as char });
        }
    }
    text
}

/// Returns the first string field with a name in a JSON text without escapes.
fn string_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    text[start..].split('"').next()
}

impl Store {
    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        let version = rows.iter().map(|row| row.version).max().unwrap_or(0) + 1;
        rows.retain(|row| row.table != table || row.key != key);
        rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        });
        self.changed.notify_all();
    }

    /// Writes a row whose value is given as plain text.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode_base64(value.as_bytes())));
    }

    /// Writes a row unless it has this value already. The number of an engine's heartbeat changes no entry.
    pub fn put_changed(&self, table: &str, key: &str, value: &str) {
        let encoded = Some(encode_base64(value.as_bytes()));
        let is_same = |row: &Row| row.table == table && row.key == key && row.value == encoded;
        if !self.rows.lock().unwrap().iter().any(is_same) {
            self.write(table, key, encoded);
        }
    }

    /// Returns the rows of a table in JSON, all or those after a version, and the newest version.
    fn rows(&self, table: &str, after: Option<u64>) -> (Vec<String>, u64) {
        let rows = self.rows.lock().unwrap();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        let mut found: Vec<&Row> = rows
            .iter()
            .filter(|row| row.table == table)
            .filter(|row| match after {
                Some(after) => row.version > after,
                None => row.value.is_some(),
            })
            .collect();
        match after {
            Some(_) => found.sort_by_key(|row| row.version),
            None => found.sort_by(|left, right| left.key.cmp(&right.key)),
        }
        let encoded = found.iter().map(|row| {
            let content = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"removed\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{}\",\"row-version\":{},{content}}}",
                row.key, row.version
            )
        });
        (encoded.collect(), newest)
    }

    fn answer(&self, target: &str, body: &str) -> String {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let table = parameter("table").unwrap_or("");
        let (rows, newest) = match path {
            "/rows-get" => self.rows(table, None),
            "/rows-feed" => {
                let after = parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = parameter("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let (rows, newest) = self.rows(table, Some(after));
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        break (rows, newest);
                    }
                    let guard = self.rows.lock().unwrap();
                    let pause = left.min(Duration::from_millis(20));
                    let _ = self.changed.wait_timeout(guard, pause).unwrap();
                }
            }
            _ => {
                let (written, removed) = body.split_once("\"remove\":").unwrap_or((body, ""));
                if let (Some(table), Some(key)) = (string_field(written, "table"), string_field(written, "key")) {
                    self.write(table, key, string_field(written, "value").map(str::to_owned));
                }
                if let (Some(table), Some(key)) = (string_field(removed, "table"), string_field(removed, "key")) {
                    self.write(table, key, None);
                }
                (Vec::new(), self.rows("", None).1)
            }
        };
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"row-version\":{newest},\"now-ms\":1}}",
            rows.join(",")
        )
    }

    /// Serves the store on a free port; returns its address.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else { return };
                    while let Ok(Some(head)) = connection.read_head() {
                        let Ok(body) = connection.read_body(&head) else { return };
                        let text = String::from_utf8_lossy(&body).into_owned();
                        let answer = store.answer(head.second_word(), &text);
                        let headers = ["Content-Type: application/json".to_owned(), "Store-Era: 1".to_owned()];
                        if connection.respond("200 OK", &headers, answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
}
