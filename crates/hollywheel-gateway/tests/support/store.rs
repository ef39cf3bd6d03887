//! Stand-in for the platform's store: rows with revisions, and feeds of their changes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// One row of a table; a removed row has no value.
#[derive(Clone)]
struct Row {
    table: &'static str,
    key: String,
    value: Option<String>,
    revision: u64,
}

/// The store: its rows, a backup copy that it can be restored from, and its era.
#[derive(Default)]
pub struct StoreStandin {
    rows: Mutex<Vec<Row>>,
    /// The backup copy of the rows.
    backup: Mutex<Vec<Row>>,
    /// The number of restores from the backup copy.
    era: AtomicU64,
    /// The paths of the calls received.
    calls: Mutex<Vec<String>>,
    /// Wakes feeds after a change of the rows or the availability.
    changed: Notify,
    /// Whether every call gets status 503.
    down: Mutex<bool>,
    /// Table whose calls are never answered.
    silent_table: Mutex<Option<&'static str>>,
    /// Whether hosts' writes of their rows are confirmed and have no effect.
    ignores_hosts: AtomicBool,
}

/// Encodes bytes in base64 with padding.
fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let bytes = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let used = digit <= chunk.len();
            encoded.push(if used {
                char::from(DIGITS[index as usize])
            } else {
                '='
            });
        }
    }
    encoded
}

impl StoreStandin {
    /// Writes a row, or removes it if there is no value, at a new revision.
    fn set_row(&self, table: &'static str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        let revision = rows.iter().map(|row| row.revision).max().unwrap_or(0) + 1;
        rows.retain(|row| (row.table, row.key.as_str()) != (table, key));
        rows.push(Row {
            table,
            key: key.to_owned(),
            value,
            revision,
        });
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Publishes a serving configuration.
    pub fn set_config(&self, text: &str) {
        self.set_row("op", "config", Some(encode_base64(text.as_bytes())));
    }

    /// Writes the row of the evacuation of a failure domain.
    pub fn evacuate(&self, domain: &str) {
        let key = format!("evacuate/{domain}");
        self.set_row("op", &key, Some(encode_base64(b"{}")));
    }

    /// Removes the row of the evacuation of a failure domain.
    pub fn end_evacuation(&self, domain: &str) {
        self.set_row("op", &format!("evacuate/{domain}"), None);
    }

    /// Writes the registration entry of a backend server in the failure domain `a`. `born`
    /// identifies its incarnation.
    pub fn set_server(
        &self,
        server: &str,
        pool: &str,
        address: SocketAddr,
        state: &str,
        born: u64,
    ) {
        self.set_server_in("a", server, pool, address, state, born);
    }

    /// Writes the registration entry of a backend server in a failure domain.
    pub fn set_server_in(
        &self,
        domain: &str,
        server: &str,
        pool: &str,
        address: SocketAddr,
        state: &str,
        born: u64,
    ) {
        let entry = format!(
            r#"{{"service":"{pool}","address":"{address}","zone":"{domain}","version":"v1","slots":4,"state":"{state}","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
        );
        self.set_row("servers", server, Some(encode_base64(entry.as_bytes())));
    }

    /// Writes an entry of arbitrary bytes among those of the backend servers.
    pub fn set_odd_server(&self, server: &str, entry: &[u8]) {
        self.set_row("servers", server, Some(encode_base64(entry)));
    }

    /// Writes the encoded entry of a host.
    pub fn set_host(&self, host: &str, entry: &[u8]) {
        self.set_row("hosts", host, Some(encode_base64(entry)));
    }

    /// Leaves all calls for a table without an answer; other calls are answered.
    pub fn silence_table(&self, table: &'static str) {
        *self.silent_table.lock().unwrap() = Some(table);
    }

    /// Confirms hosts' writes of their rows without applying them, so that only the rows written by
    /// [`Self::set_host`] count.
    pub fn ignore_host_writes(&self) {
        self.ignores_hosts.store(true, Ordering::SeqCst);
    }

    /// Removes the registration entry of a backend server.
    pub fn remove_server(&self, server: &str) {
        self.set_row("servers", server, None);
    }

    /// Takes a backup copy of all rows.
    pub fn take_backup(&self) {
        *self.backup.lock().unwrap() = self.rows.lock().unwrap().clone();
    }

    /// Restores the backup copy, as a store does that lost its latest writes. Revisions assigned
    /// since the backup are assigned again.
    pub fn restore_backup(&self) {
        *self.rows.lock().unwrap() = self.backup.lock().unwrap().clone();
        self.era.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns the keys of the rows of a table that are not removed.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock().unwrap();
        let rows = rows.iter().filter(|row| row.table == table);
        let present = rows.filter(|row| row.value.is_some());
        present.map(|row| row.key.clone()).collect()
    }

    /// Removes and returns the recorded paths of the calls.
    pub fn take_calls(&self) -> Vec<String> {
        std::mem::take(&mut self.calls.lock().unwrap())
    }

    /// Makes the store unavailable or available.
    pub fn set_down(&self, down: bool) {
        *self.down.lock().unwrap() = down;
        self.changed.notify_waiters();
    }

    /// Encodes the rows of a table, or only its changes after a revision; also returns the newest
    /// revision of the store.
    fn encode_rows(&self, table: &str, after: Option<u64>) -> (Vec<String>, u64) {
        let rows = self.rows.lock().unwrap();
        let newest = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        let selected = rows
            .iter()
            .filter(|row| row.table == table && after.is_none_or(|after| row.revision > after));
        let selected = selected.filter(|row| after.is_some() || row.value.is_some());
        let encoded = selected.map(|row| {
            let value = match &row.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""removed":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{table}","part":"","key":"{}","row-version":{},{value}}}"#,
                row.key, row.revision
            )
        });
        (encoded.collect(), newest)
    }
}

/// Returns the value of the first string field with a name in a JSON text.
fn string_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    text[start..].split('"').next()
}

impl StoreStandin {
    /// Applies a transaction that writes or removes one row of the hosts' table.
    fn apply_transaction(&self, body: &str) {
        let Some((written, removed)) = body.split_once("\"remove\":") else {
            return;
        };
        if self.ignores_hosts.load(Ordering::SeqCst) {
            return;
        }
        if let (Some(key), Some(value)) =
            (string_field(written, "key"), string_field(written, "value"))
        {
            self.set_row("hosts", key, Some(value.to_owned()));
        }
        if let Some(key) = string_field(removed, "key") {
            self.set_row("hosts", key, None);
        }
    }
}

/// Returns the value of a query parameter.
fn query_parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

impl StoreStandin {
    /// Waits until a feed can respond: a row of its table has changed, the store is unavailable, or
    /// the revision is higher than the store's newest one.
    async fn wait_for_changes(&self, table: &str, after: u64) {
        loop {
            let changed = self.changed.notified();
            let (rows, newest) = self.encode_rows(table, Some(after));
            if !rows.is_empty() || after > newest || *self.down.lock().unwrap() {
                return;
            }
            changed.await;
        }
    }
}

/// Answers one call with a status and a body.
async fn respond(store: Arc<StoreStandin>, request: Request<Incoming>) -> (u16, String) {
    let path = request.uri().path().to_owned();
    store.calls.lock().unwrap().push(path);
    if *store.down.lock().unwrap() {
        return (503, "{}".into());
    }
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or("");
    let table = query_parameter(query, "table").unwrap_or_default();
    if *store.silent_table.lock().unwrap() == Some(table.as_str()) {
        std::future::pending::<()>().await;
    }
    let (rows, newest) = match head.uri.path() {
        "/rows-tx" => {
            let body = body.collect().await.map(|body| body.to_bytes());
            store.apply_transaction(&String::from_utf8_lossy(&body.unwrap_or_default()));
            (Vec::new(), store.encode_rows(&table, None).1)
        }
        "/rows-get" => store.encode_rows(&table, None),
        "/rows-feed" => {
            let after: u64 = query_parameter(query, "after").unwrap().parse().unwrap();
            let wait: u64 = query_parameter(query, "wait-ms").unwrap().parse().unwrap();
            let wait = Duration::from_millis(wait);
            let _ = tokio::time::timeout(wait, store.wait_for_changes(&table, after)).await;
            if *store.silent_table.lock().unwrap() == Some(table.as_str()) {
                std::future::pending::<()>().await;
            }
            if *store.down.lock().unwrap() {
                return (503, "{}".into());
            }
            let (rows, newest) = store.encode_rows(&table, Some(after));
            if after > newest {
                return (410, "{}".into());
            }
            (rows, newest)
        }
        _ => (Vec::new(), store.encode_rows(&table, None).1),
    };
    let rows = rows.join(",");
    (
        200,
        format!(r#"{{"rows":[{rows}],"has-more":false,"row-version":{newest},"now-ms":1}}"#),
    )
}

/// Serves the store on a free port; returns its address.
pub async fn serve(store: Arc<StoreStandin>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let store = Arc::clone(&store);
            let service = service_fn(move |request| {
                let response = respond(Arc::clone(&store), request);
                let store = Arc::clone(&store);
                async move {
                    let (status, body) = response.await;
                    let era = store.era.load(Ordering::SeqCst);
                    let mut response = Response::new(Full::new(Bytes::from(body)));
                    *response.status_mut() = status.try_into().unwrap();
                    let headers = response.headers_mut();
                    headers.insert("store-era", era.into());
                    Ok::<_, Infallible>(response)
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}
