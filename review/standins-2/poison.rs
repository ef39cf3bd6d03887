//! A part of prompts crashes each engine that begins to write an answer on it: the engine ends after the
//! first event.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::common::{
    has_trouble, ms, request_text, send, start_hosts, Call, Engine, Handler, Record, Site, Store,
    TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::NadiEnrol;
/// The part that crashes engines, and the first part of all requests.
const POISON: &str = "5c1ebad0";
const FIRST: &str = "91bd3f06";
const ENGINES: usize = 6;
const DEADLINE: u64 = 10_000;
const CONTACT: Duration = Duration::from_millis(3000);
/// Time after which a crashed engine is back.
const DOWN: Duration = Duration::from_millis(3000);
const PLAY: Duration = Duration::from_secs(45);
const EVENTS: u64 = 8;

#[derive(Default)]
struct Ledger {
    crashes: Mutex<Vec<Instant>>,
    /// When requests with the part reached engines.
    arrivals: Mutex<Vec<Instant>>,
    runs: AtomicU64,
}

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-plan","host":"{HOST}","path-prefix":"/plan/","kind":"streaming","timeout-ms":10000,"latency-target-ms":1700,"priority":1,"service":"hw-pool","max-attempts":1,"stages":[],"allow-anonymous":false,"session-affinity":true,"resume-streams":false,"gap-target-ms":400}}],"services":[{{"name":"hw-pool","health-path":"/health","max-connections":620,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv-cache-tokens":925652}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn handle(
    engine: &Arc<Engine>,
    call: &mut Call<'_>,
    ledger: &Arc<Ledger>,
    record: &Record,
    again: &Arc<Mutex<Option<Arc<Handler>>>>,
) -> std::io::Result<()> {
    let attempt = call.request.header("attempt-id").to_owned();
    let prefix = call.request.header("prompt-prefix").to_owned();
    let is_poison = has_trouble() && prefix.contains(POISON);
    record.line(&format!("{} gets {attempt} {prefix}", engine.id()));
    if is_poison {
        ledger.arrivals.lock().unwrap().push(Instant::now());
    }
    ledger.runs.fetch_add(1, Ordering::SeqCst);
    call.work(ms(60))?;
    call.begin_stream("Server-Load: 3,0,128\r\n")?;
    if is_poison {
        call.event(1)?;
        call.work(ms(30))?;
        let id = engine.id();
        ledger.crashes.lock().unwrap().push(Instant::now());
        record.line(&format!("{id} crashes on {attempt}"));
        engine.crash();
        let handler = again.lock().unwrap().clone();
        let (engine, record) = (Arc::clone(engine), record.clone());
        thread::spawn(move || {
            sleep(DOWN);
            if let Some(handler) = handler {
                let restarted = engine.restart(handler);
                record.line(&format!("{id} is back as {} {restarted:?}", engine.id()));
            }
        });
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    for event in 1..=EVENTS {
        call.event(event)?;
        call.work(ms(40))?;
    }
    call.end_stream()
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let (store, store_address) = Store::start().map_err(error)?;
    store.set("op", "config", Some(&config()));
    let ledger = Arc::new(Ledger::default());
    let again: Arc<Mutex<Option<Arc<Handler>>>> = Arc::default();
    let handler: Arc<Handler> = {
        let (ledger, record, again) = (Arc::clone(&ledger), record.clone(), Arc::clone(&again));
        Arc::new(move |engine: &Arc<Engine>, call: &mut Call<'_>| {
            handle(engine, call, &ledger, &record, &again)
        })
    };
    *again.lock().unwrap() = Some(Arc::clone(&handler));
    for number in 0..ENGINES {
        let zone = SITE.zones()[number % 3];
        Engine::start(&store, number, "hw-pool", zone, 128, Arc::clone(&handler)).map_err(error)?;
    }
    let hosts = start_hosts(&folder, SITE, store_address, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while started.elapsed() < PLAY {
        // One request in 20 has the part; the others share its first part.
        let (is_poison, second) = match number % 20 {
            7 => (true, POISON.to_owned()),
            _ => (false, format!("e44{:05x}", number * 7 % 11)),
        };
        let attempt = format!("{number:016x}");
        let extra = format!(
            "Model: m\r\nToken-Counts: 5600,40\r\nPrompt-Prefix: {FIRST}:2500,{second}:2600,{number:08x}:500\r\n"
        );
        let text = request_text(
            "POST",
            &format!("/plan/{number}"),
            &attempt,
            DEADLINE,
            &extra,
            "draft",
        );
        let address = fronts[number % fronts.len()];
        let record = record.clone();
        clients.push(thread::spawn(move || {
            record.line(&format!("client sends {attempt} part {second}"));
            let ending = send(address, &text, DEADLINE);
            record.line(&format!(
                "client of {attempt} got {} whole {}",
                ending.status, ending.is_whole
            ));
            (is_poison, ending.status == 200 && ending.is_whole)
        }));
        number += 1;
        sleep(ms(50));
    }
    let (mut sound, mut served) = (0, 0);
    for client in clients {
        if let Ok((is_poison, is_served)) = client.join() {
            sound += usize::from(!is_poison);
            served += usize::from(!is_poison && is_served);
        }
    }
    drop(hosts);
    let crashes = ledger.crashes.lock().unwrap().clone();
    let arrivals = ledger.arrivals.lock().unwrap().clone();
    let late = crashes.get(4).map_or(0, |fifth| {
        arrivals.iter().filter(|at| **at > *fifth + CONTACT).count()
    });
    record.say(&format!(
        "{} crashes; {} requests with the part reached engines, {late} of them later than contact-ms after the fifth crash (3 at most); {served} of {sound} sound requests were served whole",
        crashes.len(),
        arrivals.len()
    ));
    Ok(if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
