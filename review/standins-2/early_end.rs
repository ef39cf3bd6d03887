//! An engine crashes while a long upload is on its way and its answer, which has no length, has begun.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::common::{
    has_trouble, ms, read_head, request_text, send, start_hosts, unix_ms, EngineEntry, Record,
    Site, Store, TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::NadiEnrol;
const DEADLINE: u64 = 8000;
/// Size of an upload, that of the largest requests of the site.
const UPLOAD: usize = 100_000;
const ANSWER: usize = 3000;
/// Bytes of the answer that were sent when the engine crashes.
const PART: usize = 1000;
const ENGINES: usize = 12;
const CLIENTS: usize = 4;
const PLAY: Duration = Duration::from_secs(40);
/// Time in which 2 kB of an upload arrive.
const PACE: Duration = Duration::from_millis(2);
/// Time for which an engine is down after a crash, and from then to its next one.
const DOWN: Duration = Duration::from_secs(3);
const UP: Duration = Duration::from_secs(1);

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-book","host":"{HOST}","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":8000,"latency-target-ms":1000,"priority":1,"service":"enrol-api","max-attempts":1,"stages":[],"allow-anonymous":false,"session-affinity":false,"resume-streams":false}}],"services":[{{"name":"enrol-api","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// State of an engine, one in 12 of which crashes.
struct Server {
    id: String,
    crashes: bool,
    crashed_at: Mutex<Option<Instant>>,
    open: Mutex<Vec<TcpStream>>,
}

impl Server {
    fn is_down(&self) -> bool {
        let crashed_at = *self.crashed_at.lock().unwrap();
        crashed_at.is_some_and(|at| at.elapsed() < DOWN)
    }

    /// Ends the engine if it is due to crash. As the kernel does for a process that has ended, ends its
    /// connections and answers what arrives afterwards with a reset.
    fn crash_if_due(&self) -> bool {
        let mut crashed_at = self.crashed_at.lock().unwrap();
        let is_due = crashed_at.is_none_or(|at| at.elapsed() >= DOWN + UP);
        if !self.crashes || !has_trouble() || !is_due {
            return false;
        }
        *crashed_at = Some(Instant::now());
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Write);
        }
        true
    }

    /// Serves one request. The answer begins before the upload is in and ends with the connection.
    fn serve(&self, mut stream: TcpStream, record: &Record) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let id = &self.id;
        let mut reader = BufReader::with_capacity(2 * 1024, stream.try_clone()?);
        let request = read_head(&mut reader)?;
        let attempt = request.header("attempt-id").to_owned();
        let size: usize = request.header("content-length").parse().unwrap_or(0);
        record.line(&format!("{id} runs {attempt} with {size} bytes"));
        let mut arrived = 0;
        let mut part = [0; 2 * 1024];
        let mut is_begun = false;
        while arrived < size {
            let count = reader.read(&mut part)?;
            if count == 0 || self.is_down() {
                record.line(&format!("{id} ends {attempt} with {arrived} bytes read"));
                return Ok(());
            }
            arrived += count;
            sleep(PACE);
            if !is_begun && arrived >= size / 5 {
                is_begun = true;
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nServer-Load: 1,0,6\r\nConnection: close\r\n\r\n{}",
                    "a".repeat(PART)
                )?;
            }
            if arrived >= size / 2 && self.crash_if_due() {
                record.line(&format!(
                    "{id} crashes with {arrived} of {size} bytes of {attempt} read and {PART} of {ANSWER} bytes answered"
                ));
                sleep(ms(2));
                return Ok(());
            }
        }
        stream.write_all("a".repeat(ANSWER - PART).as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        record.line(&format!("{id} has answered {attempt} whole"));
        Ok(())
    }
}

fn start_engine(store: &Arc<Store>, number: usize, record: &Record) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let id = format!("i-enrol-api{number:02}");
    let entry = EngineEntry {
        service: "enrol-api".to_owned(),
        address: listener.local_addr()?,
        zone: SITE.zones()[number % 3].to_owned(),
        slots: 6,
        state: "ready",
        sequence: 1,
        born: unix_ms(),
    };
    store.set_engine(&id, &entry);
    let server = Arc::new(Server {
        id,
        crashes: number == 0,
        crashed_at: Mutex::default(),
        open: Mutex::default(),
    });
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if server.is_down() {
                continue;
            }
            if let Ok(kept) = stream.try_clone() {
                server.open.lock().unwrap().push(kept);
            }
            let (server, record) = (Arc::clone(&server), record.clone());
            thread::spawn(move || {
                let _ = server.serve(stream, &record);
            });
        }
    });
    Ok(())
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let (store, store_address) = Store::start().map_err(error)?;
    store.set("op", "config", Some(&config()));
    for number in 0..ENGINES {
        start_engine(&store, number, record).map_err(error)?;
    }
    let hosts = start_hosts(&folder, SITE, store_address, 1)?;
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (hosts[0].front, record.clone());
            thread::spawn(move || {
                let (mut partial, mut whole, mut other) = (0, 0, 0);
                let mut number = client;
                while started.elapsed() < PLAY {
                    let attempt = format!("{number:016x}");
                    let body = "u".repeat(UPLOAD);
                    let text = request_text("POST", "/book/1", &attempt, DEADLINE, "", &body);
                    let ending = send(front, &text, DEADLINE);
                    record.line(&format!(
                        "client of {attempt} got {}, complete by its framing {}, {} of {ANSWER} bytes",
                        ending.status,
                        ending.is_whole,
                        ending.body.len()
                    ));
                    match (ending.status, ending.is_whole, ending.body.len()) {
                        (200, true, ANSWER) => whole += 1,
                        (200, true, _) => partial += 1,
                        _ => other += 1,
                    }
                    number += CLIENTS;
                }
                (partial, whole, other)
            })
        })
        .collect();
    let (mut partial, mut whole, mut other) = (0, 0, 0);
    for client in clients {
        let ended = client.join().map_err(|_| "a client panicked".to_owned())?;
        partial += ended.0;
        whole += ended.1;
        other += ended.2;
    }
    drop(hosts);
    record.say(&format!(
        "{partial} clients got a part of an answer as the whole one, {whole} the whole one, {other} no success"
    ));
    Ok(if partial > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
