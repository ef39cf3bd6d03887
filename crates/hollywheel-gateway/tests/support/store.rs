//! A stand-in of the platform's store: rows with revisions, and a feed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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

#[derive(Clone)]
struct Row {
    table: &'static str,
    key: String,
    value: Option<String>,
    revision: u64,
}

/// Holds the rows, the era, a copy to come back from, and whether the store answers.
#[derive(Default)]
pub struct StoreStandin {
    rows: Mutex<Vec<Row>>,
    copy: Mutex<Vec<Row>>,
    era: AtomicU64,
    calls: Mutex<Vec<String>>,
    changed: Notify,
    down: Mutex<bool>,
}

fn base64(bytes: &[u8]) -> String {
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
    fn set(&self, table: &'static str, key: &str, value: Option<String>) {
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

    /// Publishes a configuration.
    pub fn set_config(&self, text: &str) {
        self.set("op", "config", Some(base64(text.as_bytes())));
    }

    /// Writes the entry of one incarnation of a backend server.
    pub fn set_server(
        &self,
        server: &str,
        pool: &str,
        address: SocketAddr,
        state: &str,
        born: u64,
    ) {
        let entry = format!(
            r#"{{"service":"{pool}","address":"{address}","zone":"a","version":"v1","slots":4,"state":"{state}","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
        );
        self.set("servers", server, Some(base64(entry.as_bytes())));
    }

    /// Writes the row of a host.
    pub fn set_host(&self, host: &str, entry: &[u8]) {
        self.set("hosts", host, Some(base64(entry)));
    }

    /// Removes the entry of a backend server.
    pub fn remove_server(&self, server: &str) {
        self.set("servers", server, None);
    }

    /// Keeps a copy of all rows as they are.
    pub fn take_copy(&self) {
        *self.copy.lock().unwrap() = self.rows.lock().unwrap().clone();
    }

    /// Puts the copy in the place of all rows, as a store that comes back older. Revisions that
    /// were given out since are given out again.
    pub fn rewind(&self) {
        *self.rows.lock().unwrap() = self.copy.lock().unwrap().clone();
        self.era.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Lists the keys of a table that have a value.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock().unwrap();
        let rows = rows.iter().filter(|row| row.table == table);
        let present = rows.filter(|row| row.value.is_some());
        present.map(|row| row.key.clone()).collect()
    }

    /// Takes the paths of the calls that have come so far.
    pub fn take_calls(&self) -> Vec<String> {
        std::mem::take(&mut self.calls.lock().unwrap())
    }

    /// Takes the store away or brings it back.
    pub fn set_down(&self, down: bool) {
        *self.down.lock().unwrap() = down;
        self.changed.notify_waiters();
    }

    fn list(&self, table: &str, after: Option<u64>) -> (Vec<String>, u64) {
        let rows = self.rows.lock().unwrap();
        let newest = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        let found = rows
            .iter()
            .filter(|row| row.table == table && after.is_none_or(|after| row.revision > after));
        let found = found.filter(|row| after.is_some() || row.value.is_some());
        let texts = found.map(|row| {
            let value = match &row.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""removed":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{table}","part":"","key":"{}","row-version":{},{value}}}"#,
                row.key, row.revision
            )
        });
        (texts.collect(), newest)
    }
}

/// Returns the text of a field that comes after a point of a JSON document.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    text[start..].split('"').next()
}

impl StoreStandin {
    /// Applies a transaction that sets or removes one row of the hosts' own table.
    fn apply(&self, body: &str) {
        let Some((before, removed)) = body.split_once("\"remove\":") else {
            return;
        };
        if let (Some(key), Some(value)) = (field(before, "key"), field(before, "value")) {
            self.set("hosts", key, Some(value.to_owned()));
        }
        if let Some(key) = field(removed, "key") {
            self.set("hosts", key, None);
        }
    }
}

fn argument(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

impl StoreStandin {
    /// Waits until a feed can be answered: a row of its table has changed, or the store is down or
    /// does not have the revision.
    async fn wait_for_news(&self, table: &str, after: u64) {
        loop {
            let changed = self.changed.notified();
            let (rows, newest) = self.list(table, Some(after));
            if !rows.is_empty() || after > newest || *self.down.lock().unwrap() {
                return;
            }
            changed.await;
        }
    }
}

async fn answer(store: Arc<StoreStandin>, request: Request<Incoming>) -> (u16, String) {
    let path = request.uri().path().to_owned();
    store.calls.lock().unwrap().push(path);
    if *store.down.lock().unwrap() {
        return (503, "{}".into());
    }
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or("");
    let table = argument(query, "table").unwrap_or_default();
    let (rows, newest) = match head.uri.path() {
        "/rows-tx" => {
            let body = body.collect().await.map(|body| body.to_bytes());
            store.apply(&String::from_utf8_lossy(&body.unwrap_or_default()));
            (Vec::new(), store.list(&table, None).1)
        }
        "/rows-get" => store.list(&table, None),
        "/rows-feed" => {
            let after: u64 = argument(query, "after").unwrap().parse().unwrap();
            let wait: u64 = argument(query, "wait-ms").unwrap().parse().unwrap();
            let wait = Duration::from_millis(wait);
            let _ = tokio::time::timeout(wait, store.wait_for_news(&table, after)).await;
            if *store.down.lock().unwrap() {
                return (503, "{}".into());
            }
            let (rows, newest) = store.list(&table, Some(after));
            if after > newest {
                return (410, "{}".into());
            }
            (rows, newest)
        }
        _ => (Vec::new(), store.list(&table, None).1),
    };
    let rows = rows.join(",");
    (
        200,
        format!(r#"{{"rows":[{rows}],"has-more":false,"row-version":{newest},"now-ms":1}}"#),
    )
}

/// Serves the store on an address that the system gives.
pub async fn serve(store: Arc<StoreStandin>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let store = Arc::clone(&store);
            let service = service_fn(move |request| {
                let answered = answer(Arc::clone(&store), request);
                let store = Arc::clone(&store);
                async move {
                    let (status, body) = answered.await;
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
