//! Engines end streams inside an event.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use crate::common::{
    has_trouble, ms, request_text, send, start_hosts, Call, Engine, Handler, Record, Site, Store,
    TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::NadiEnrol;
const DEADLINE: u64 = 8000;
const ENGINES: usize = 4;
/// Engines that break streams off, half of all.
const FAULTY: usize = 2;
/// Such an engine breaks off one stream in so many.
const SPACING: usize = 50;
const CLIENTS: usize = 10;
const STREAMS: usize = 60;
const EVENTS: u64 = 5;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-brief","host":"{HOST}","path-prefix":"/brief/","kind":"streaming","timeout-ms":8000,"latency-target-ms":1600,"priority":0,"service":"hw-pool","max-attempts":2,"stages":[],"allow-anonymous":false,"session-affinity":true,"resume-streams":true,"gap-target-ms":400}}],"services":[{{"name":"hw-pool","health-path":"/health","max-connections":620,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv-cache-tokens":925652}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn handle(
    engine: &Arc<Engine>,
    call: &mut Call<'_>,
    count: &AtomicUsize,
    record: &Record,
) -> std::io::Result<()> {
    let attempt = call.request.header("attempt-id").to_owned();
    let last: u64 = call.request.header("last-event-id").parse().unwrap_or(0);
    record.line(&format!(
        "{} runs {attempt} after event {last}",
        engine.id()
    ));
    let number = count.fetch_add(1, Ordering::SeqCst);
    let is_broken = has_trouble() && engine.number < FAULTY && number % SPACING == SPACING / 2;
    // The first event in one half of the cases, the second one in the other.
    let broken_event = last + 1 + (number / SPACING % 2) as u64;
    call.work(ms(60))?;
    call.begin_stream("Server-Load: 3,0,128\r\n")?;
    for event in last + 1..=EVENTS {
        if is_broken && event == broken_event {
            record.line(&format!(
                "{} ends {attempt} inside event {event}",
                engine.id()
            ));
            let text = format!("id: {event}\ndata: tok");
            write!(call.stream, "{:x}\r\n{text}\r\n", text.len())?;
            break;
        }
        call.event(event)?;
        call.work(ms(20))?;
    }
    call.end_stream()
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let (store, address) = Store::start().map_err(error)?;
    store.set("op", "config", Some(&config()));
    for number in 0..ENGINES {
        let (count, record) = (AtomicUsize::new(0), record.clone());
        let handler: Arc<Handler> = Arc::new(move |engine: &Arc<Engine>, call: &mut Call<'_>| {
            handle(engine, call, &count, &record)
        });
        let zone = SITE.zones()[number % 3];
        Engine::start(&store, number, "hw-pool", zone, 128, handler).map_err(error)?;
    }
    let hosts = start_hosts(&folder, SITE, address, 1)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (hosts[0].front, record.clone());
            thread::spawn(move || {
                let mut partial = Vec::new();
                for number in client * STREAMS..(client + 1) * STREAMS {
                    let attempt = format!("{number:016x}");
                    let extra = format!(
                        "Model: m\r\nToken-Counts: 600,40\r\nPrompt-Prefix: {:08x}:300,{number:08x}:300\r\n",
                        number % 40
                    );
                    let text = request_text("POST", "/brief/1", &attempt, DEADLINE, &extra, "brief");
                    let ending = send(front, &text, DEADLINE);
                    let body = String::from_utf8_lossy(&ending.body).into_owned();
                    let is_whole = body.ends_with(&format!("token text {EVENTS}\n\n"));
                    record.line(&format!(
                        "client of {attempt} got {}, complete by its framing {}, with the last event {is_whole}",
                        ending.status, ending.is_whole
                    ));
                    if ending.status == 200 && ending.is_whole && !is_whole {
                        partial.push(format!("{attempt}: {body:?}"));
                    }
                }
                partial
            })
        })
        .collect();
    let mut partial = Vec::new();
    for client in clients {
        partial.extend(client.join().map_err(|_| "a client panicked".to_owned())?);
    }
    drop(hosts);
    for stream in &partial {
        record.say(&format!(
            "ended as complete before its last event: {stream}"
        ));
    }
    record.say(&format!(
        "{} of {} streams ended as complete before their last event",
        partial.len(),
        CLIENTS * STREAMS
    ));
    Ok(if partial.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
