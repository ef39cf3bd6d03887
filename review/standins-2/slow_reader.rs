//! Clients read long answers slowly, at a host that runs on and at one that is being stopped.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::common::{
    has_trouble, ms, read_head, request_text, start_hosts, Call, Engine, Gateway, Handler, Record,
    Site, Store, TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::AtlasRelais;
/// Size of a long answer.
const BODY_BYTES: usize = 5_000_000;
const DEADLINE: u64 = 10_000;
const CLIENTS: usize = 6;
/// Time for which a client reads nothing, in the middle of the answer.
const PAUSE: Duration = Duration::from_millis(3200);

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-book","host":"{HOST}","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":10000,"latency-target-ms":300,"priority":1,"service":"enrol-api","max-attempts":1,"stages":[],"allow-anonymous":false,"session-affinity":false,"resume-streams":false}}],"services":[{{"name":"enrol-api","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn handle(engine: &Arc<Engine>, call: &mut Call<'_>, record: &Record) -> std::io::Result<()> {
    let attempt = call.request.header("attempt-id").to_owned();
    record.line(&format!("{} runs {attempt}", engine.id()));
    call.work(ms(15))?;
    let size = if attempt.ends_with("small") {
        800
    } else {
        BODY_BYTES
    };
    let seal = format!("Response-Seal: seal.{attempt}\r\nServer-Load: 1,0,6\r\n");
    let answered = call.answer("200 OK", &seal, &vec![b'x'; size]);
    record.line(&format!(
        "{} has written the answer to {attempt}: {answered:?}",
        engine.id()
    ));
    answered
}

/// What a client read of the long answer.
struct Outcome {
    status: u16,
    count: usize,
    error: Option<ErrorKind>,
    took: Duration,
}

/// Sends a short request and then, on the same connection, one with a long answer, which it reads with
/// or without a pause.
fn ask(
    address: SocketAddr,
    number: usize,
    start: Instant,
    record: &Record,
) -> std::io::Result<Outcome> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(DEADLINE)))?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream.try_clone()?);
    let attempt = format!("{number:08x}small");
    stream.write_all(request_text("POST", "/book/1", &attempt, 3000, "", "seat").as_bytes())?;
    let head = read_head(&mut reader)?;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    sleep(start.saturating_duration_since(Instant::now()));
    let attempt = format!("{number:08x}large");
    let sent_at = Instant::now();
    stream.write_all(request_text("POST", "/book/2", &attempt, DEADLINE, "", "seat").as_bytes())?;
    record.line(&format!("client {number} sent {attempt}"));
    let head = read_head(&mut reader)?;
    let mut outcome = Outcome {
        status: head.status(),
        count: 0,
        error: None,
        took: Duration::ZERO,
    };
    let mut part = vec![0; 64 * 1024];
    let mut has_paused = !has_trouble();
    while outcome.count < BODY_BYTES {
        match reader.read(&mut part) {
            Ok(0) => {
                outcome.error = Some(ErrorKind::UnexpectedEof);
                break;
            }
            Ok(count) => outcome.count += count,
            Err(error) => {
                outcome.error = Some(error.kind());
                break;
            }
        }
        if !has_paused && outcome.count >= 128 * 1024 {
            has_paused = true;
            record.line(&format!(
                "client {number} reads nothing for {} ms",
                PAUSE.as_millis()
            ));
            sleep(PAUSE);
        }
    }
    outcome.took = sent_at.elapsed();
    Ok(outcome)
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let (store, store_address) = Store::start().map_err(error)?;
    store.set("op", "config", Some(&config()));
    for number in 0..3 {
        let record = record.clone();
        let handler: Arc<Handler> = Arc::new(move |engine: &Arc<Engine>, call: &mut Call<'_>| {
            handle(engine, call, &record)
        });
        Engine::start(
            &store,
            number,
            "enrol-api",
            SITE.zones()[number],
            6,
            handler,
        )
        .map_err(error)?;
    }
    let hosts = start_hosts(&folder, SITE, store_address, 1)?;
    let steady = ask_all(&hosts[0], false, record)?;
    let stopping = ask_all(&hosts[0], true, record)?;
    drop(hosts);
    record.say(&format!(
        "{steady} of {CLIENTS} connections ended without a whole answer while the host ran on (3 at most), {stopping} of {CLIENTS} around the SIGTERM (none)"
    ));
    let is_broken = steady > 3 || stopping > 0;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Lets all clients ask at once, and sends SIGTERM shortly before if `stops`. Returns how many
/// connections ended before the whole answer was read.
fn ask_all(host: &Gateway, stops: bool, record: &Record) -> Result<usize, String> {
    let start = Instant::now() + ms(1500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (host.front, record.clone());
            let start = start + ms(20 * number as u64);
            let number = number + if stops { CLIENTS } else { 0 };
            thread::spawn(move || ask(address, number, start, &record))
        })
        .collect();
    if stops {
        sleep(
            start
                .saturating_duration_since(Instant::now())
                .saturating_sub(ms(300)),
        );
        record.line("SIGTERM to the host");
        host.signal("TERM");
    }
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let ended = client.join().map_err(|_| "a client panicked".to_owned())?;
        let outcome = ended.map_err(|error| format!("client {number}: {error}"))?;
        cut += usize::from(outcome.count < BODY_BYTES);
        record.say(&format!(
            "client {number}: status {}, {} of {BODY_BYTES} bytes, {:?} after {} ms",
            outcome.status,
            outcome.count,
            outcome.error,
            outcome.took.as_millis()
        ));
    }
    Ok(cut)
}
