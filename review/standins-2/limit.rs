//! Engines in need name a limit on their requests, and lower it.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::common::{
    has_trouble, ms, request_text, send, start_hosts, Call, Engine, Handler, Record, Site, Store,
    TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::NadiEnrol;
const ENGINES: usize = 3;
/// Requests a second that an engine takes at first, and later.
const HIGH: f64 = 15.0;
const LOW: f64 = 1.0;
const DEADLINE: u64 = 8_000;
const CONTACT: Duration = Duration::from_millis(3000);
const PLAY: Duration = Duration::from_secs(26);
/// Time from the first request to the lower limit.
const LOWER_AT: Duration = Duration::from_secs(14);
/// Servers of the three stages, pieces of a call, and time of a piece in tenths of a millisecond.
const STAGES: [(&str, usize, usize, u64); 3] = [
    ("club-admin", 4, 8, 160),
    ("pay-link", 5, 18, 71),
    ("notify", 5, 46, 28),
];

fn config() -> String {
    let pools = STAGES.map(|(name, _, batch, tenths)| {
        format!(
            r#"{{"name":"{name}","health-path":"/health","max-connections":620,"protocol":"h1","tls":false,"pieces":{{"slots":1,"queue":2,"batch":{batch},"call-ms":150.0,"item-ms":{:.1},"headroom-mb":45.0,"handle-s":4.0,"link-mbps":10000}}}}"#,
            tenths as f64 / 10.0
        )
    });
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-brief","host":"{HOST}","path-prefix":"/brief/","kind":"streaming","timeout-ms":8000,"latency-target-ms":1600,"priority":0,"service":"hw-pool","max-attempts":2,"stages":[{{"service":"club-admin","after":[],"bytes":8000}},{{"service":"pay-link","after":[0],"bytes":60000}},{{"service":"notify","after":[1],"bytes":6000}}],"allow-anonymous":false,"session-affinity":true,"resume-streams":true,"gap-target-ms":400}}],"services":[{{"name":"hw-pool","health-path":"/health","max-connections":620,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv-cache-tokens":925652}}}},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#,
        pools.join(",")
    )
}

/// What one engine saw.
#[derive(Default)]
struct Ledger {
    /// When requests arrived.
    arrivals: Mutex<Vec<Instant>>,
    /// When answers with the high and with the low limit were first given, to any host.
    first_high: Mutex<Option<Instant>>,
    first_low: Mutex<Option<Instant>>,
}

/// Serves the calls of one stage server: one at a time, two wait.
struct StageServer {
    slot: Mutex<()>,
    taken: AtomicUsize,
    made: AtomicU64,
    tenths: u64,
}

impl StageServer {
    fn handle(&self, engine: &Arc<Engine>, call: &mut Call<'_>) -> std::io::Result<()> {
        if call.request.path() == "/stage-free" {
            return call.answer("200 OK", "", b"{}");
        }
        if self.taken.fetch_add(1, Ordering::SeqCst) >= 3 {
            self.taken.fetch_sub(1, Ordering::SeqCst);
            return call.answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"");
        }
        let body = String::from_utf8_lossy(&call.request.body).into_owned();
        let items = body.matches("\"stage\":").count() as u64;
        let turn = self.slot.lock().unwrap();
        sleep(Duration::from_micros(150_000 + items * self.tenths * 100));
        drop(turn);
        self.taken.fetch_sub(1, Ordering::SeqCst);
        let handles: Vec<String> = (0..items)
            .map(|_| {
                let number = self.made.fetch_add(1, Ordering::SeqCst);
                format!(r#"{{"handle":"{}/{number:012x}"}}"#, engine.address)
            })
            .collect();
        let body = format!(r#"{{"items":[{}]}}"#, handles.join(","));
        call.answer(
            "200 OK",
            "Content-Type: application/json\r\nServer-Load: 0,0,1\r\n",
            body.as_bytes(),
        )
    }
}

fn handle_model(
    engine: &Arc<Engine>,
    call: &mut Call<'_>,
    ledger: &Ledger,
    is_low: &AtomicBool,
    record: &Record,
) -> std::io::Result<()> {
    let attempt = call.request.header("attempt-id").to_owned();
    ledger.arrivals.lock().unwrap().push(Instant::now());
    let is_low = is_low.load(Ordering::SeqCst);
    let limit = if is_low { LOW } else { HIGH };
    record.line(&format!("{} gets {attempt} and names {limit}", engine.id()));
    if call.request.header("inputs").is_empty() {
        return call.answer("400 Bad Request", "Not-Executed: 1\r\n", b"");
    }
    call.work(ms(40))?;
    call.begin_stream(&format!(
        "Server-Load: 10,0,128\r\nServer-Limit: {limit}\r\n"
    ))?;
    call.event(1)?;
    let first = if is_low {
        &ledger.first_low
    } else {
        &ledger.first_high
    };
    first.lock().unwrap().get_or_insert_with(Instant::now);
    for event in 2..=5 {
        call.work(ms(40))?;
        call.event(event)?;
    }
    call.end_stream()
}

/// Returns the largest number of arrivals in 4 s that begin at `from` or later.
fn most_in_four_seconds(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let within = |start: Instant| {
        let until = start + Duration::from_secs(4);
        counted
            .iter()
            .filter(|at| **at >= start && **at < until)
            .count()
    };
    counted
        .iter()
        .map(|start| within(*start))
        .max()
        .unwrap_or(0)
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let (store, store_address) = Store::start().map_err(error)?;
    store.set("op", "config", Some(&config()));
    let is_low = Arc::new(AtomicBool::new(false));
    let mut ledgers = Vec::new();
    for number in 0..ENGINES {
        let ledger = Arc::new(Ledger::default());
        ledgers.push(Arc::clone(&ledger));
        let (is_low, record) = (Arc::clone(&is_low), record.clone());
        let handler: Arc<Handler> = Arc::new(move |engine: &Arc<Engine>, call: &mut Call<'_>| {
            handle_model(engine, call, &ledger, &is_low, &record)
        });
        let zone = SITE.zones()[number % 3];
        Engine::start(&store, number, "hw-pool", zone, 128, handler).map_err(error)?;
    }
    for (pool, count, _, tenths) in STAGES {
        for number in 0..count {
            let server = StageServer {
                slot: Mutex::default(),
                taken: AtomicUsize::new(0),
                made: AtomicU64::new(1 << 32 | (number as u64) << 24),
                tenths,
            };
            let handler: Arc<Handler> =
                Arc::new(move |engine: &Arc<Engine>, call: &mut Call<'_>| {
                    server.handle(engine, call)
                });
            let zone = SITE.zones()[number % 3];
            Engine::start(&store, number, pool, zone, 1, handler).map_err(error)?;
        }
    }
    let hosts = start_hosts(&folder, SITE, store_address, 1)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    let mut lowered_at = None;
    while started.elapsed() < PLAY {
        if has_trouble() && lowered_at.is_none() && started.elapsed() >= LOWER_AT {
            is_low.store(true, Ordering::SeqCst);
            lowered_at = Some(Instant::now());
            record.line("the engines name the lower limit from now on");
        }
        let attempt = format!("{number:016x}");
        let extra = format!(
            "Model: m\r\nToken-Counts: 600,40\r\nPrompt-Prefix: {:08x}:300,{number:08x}:300\r\nPieces: 1,6,16\r\nPiece-Key: 7c1e{number:08x}\r\n",
            number % 40
        );
        let text = request_text(
            "POST",
            &format!("/brief/{number}"),
            &attempt,
            DEADLINE,
            &extra,
            "brief",
        );
        let address = fronts[number % fronts.len()];
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let sent = Instant::now();
            let ending = send(address, &text, DEADLINE);
            record.line(&format!(
                "client of {attempt} got {} whole {} after {} ms",
                ending.status,
                ending.is_whole,
                sent.elapsed().as_millis()
            ));
            ending.status == 200 && ending.is_whole
        }));
        number += 1;
        sleep(ms(17));
    }
    let sent = clients.len();
    let served = clients.into_iter().filter_map(|client| client.join().ok());
    let served = served.filter(|is_served| *is_served).count();
    drop(hosts);
    record.say(&format!("{served} of {sent} requests were served whole"));
    let mut is_broken = false;
    for (number, ledger) in ledgers.iter().enumerate() {
        let arrivals = ledger.arrivals.lock().unwrap().clone();
        // With one host, the host has passed on the first answer with the limit right after it was given.
        let passed_on = Duration::from_millis(100 + 500);
        let first_high = *ledger.first_high.lock().unwrap();
        let first_low = *ledger.first_low.lock().unwrap();
        let from_high = first_high.map(|at| (at + CONTACT).max(at + passed_on));
        if let Some(from) = from_high {
            let until = lowered_at.unwrap_or_else(Instant::now);
            let before: Vec<Instant> = arrivals.iter().copied().filter(|at| *at < until).collect();
            let most = most_in_four_seconds(&before, from);
            let bound = HIGH * 4.0 * 1.5 + 5.0;
            record.say(&format!(
                "engine {number}: at {HIGH}/s {most} in some 4 s, {bound} at most"
            ));
            is_broken |= most as f64 > bound;
        }
        if let Some(at) = first_low {
            let most = most_in_four_seconds(&arrivals, at + passed_on);
            let bound = LOW * 4.0 * 1.5 + 5.0;
            record.say(&format!(
                "engine {number}: at {LOW}/s {most} in some 4 s, {bound} at most"
            ));
            is_broken |= most as f64 > bound;
        }
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
