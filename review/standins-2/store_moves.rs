//! The platform's store gets another address, which the hosts' settings files tell.

use std::sync::Arc;
use std::thread::sleep;

use crate::common::{
    has_trouble, ms, request_text, send, start_hosts, Call, Engine, Handler, Record, Site, Store,
    TempFolder, HOST, KEY,
};
use crate::Verdict;

const SITE: Site = Site::UmojaRemit;
const OTHER_KEY: &str = "jnbanfqasnmgkcuyj8pj";
const DEADLINE: u64 = 3000;

fn config(version: u64, key: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"{HOST}","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":3000,"latency-target-ms":100,"priority":1,"service":"enrol-api","max-attempts":1,"stages":[],"allow-anonymous":false,"session-affinity":false,"resume-streams":false}}],"services":[{{"name":"enrol-api","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{key}"],"priority":1}}]}}"#
    )
}

fn handle(engine: &Arc<Engine>, call: &mut Call<'_>, record: &Record) -> std::io::Result<()> {
    let attempt = call.request.header("attempt-id").to_owned();
    record.line(&format!("{} runs {attempt}", engine.id()));
    call.work(ms(15))?;
    let seal = format!("Response-Seal: seal.{attempt}\r\nServer-Load: 1,0,6\r\n");
    call.answer("200 OK", &seal, b"booked")
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let folder = TempFolder::create().map_err(error)?;
    let store = Arc::new(Store::default());
    let door = store.open_door().map_err(error)?;
    store.set("op", "config", Some(&config(1, KEY)));
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
    let hosts = start_hosts(&folder, SITE, door.address, 3)?;
    let mut later = None;
    if has_trouble() {
        let moved = store.open_door().map_err(error)?;
        record.line(&format!(
            "the store moves from {} to {}",
            door.address, moved.address
        ));
        for host in &hosts {
            let (before, after) = (door.address.to_string(), moved.address.to_string());
            host.change_settings(&before, &after).map_err(error)?;
        }
        later = Some(moved);
    }
    // The third host is not told; it finds the change by itself.
    for host in &hosts[..2] {
        record.line(&format!("SIGHUP to {}", host.name));
        host.signal("HUP");
    }
    sleep(ms(8000));
    if later.is_some() {
        record.line("nothing listens at the earlier address from now on");
        door.close();
    }
    sleep(ms(8000));
    store.set("op", "config", Some(&config(2, OTHER_KEY)));
    record.line("the store acknowledges version 2, which drops a key and adds another");
    sleep(ms(12_000));
    let mut broken = 0;
    for number in 0..12 {
        let host = &hosts[number % hosts.len()];
        for (key, right) in [(KEY, 401), (OTHER_KEY, 200)] {
            let attempt = format!("{number:04x}{}", &key[..4]);
            let text =
                request_text("POST", "/book/1", &attempt, DEADLINE, "", "seat").replace(KEY, key);
            let ending = send(host.front, &text, DEADLINE);
            record.line(&format!(
                "{} answers {attempt} with {}, {right} is right",
                host.name, ending.status
            ));
            broken += usize::from(ending.status != right);
        }
    }
    drop(hosts);
    record.say(&format!(
        "{broken} of 24 requests were handled as only the older version allows"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
