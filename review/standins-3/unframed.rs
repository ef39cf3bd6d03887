//! A prompt part crashes each model server that begins to write an answer on it. The answers of the model
//! servers have neither a length nor chunks and end with their connections.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deadly_part::{CONFIG, Callers, judge};
use crate::hosts::{Deployment, GROWN_BOUNDS, GROWN_CONTRACTS, Host, free_port, host_ip};
use crate::store::Store;
use crate::streaming::{DEAD_PART, DeadRuns, Framing, StreamingEngine};
use crate::{Trial, Verdict};

const HOSTS: usize = 3;
const ENGINES: usize = 60;
const DEAD_INTERVAL: Duration = Duration::from_millis(2500);
const SOUND_INTERVAL: Duration = Duration::from_millis(1500);
const CALLERS_PER_HOST: usize = 2;
const TRIAL_TIME: Duration = Duration::from_secs(60);
const CONTACT: Duration = Duration::from_secs(4);

pub fn run(trial: &Trial) -> Verdict {
    let record = &trial.record;
    let (store, store_address) = Store::start(record);
    store.set_document("op", "config", CONFIG);
    let runs = DeadRuns::default();
    // FRAMED=1 shows the same with chunks.
    let framing = match std::env::var_os("FRAMED") {
        Some(_) => Framing::Chunks,
        None => Framing::None,
    };
    let _engines: Vec<Arc<StreamingEngine>> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-{number}e9d");
            StreamingEngine::start(record, &store, &runs, &id, framing)
        })
        .collect();
    let deployment = Deployment {
        root: &trial.root,
        folder: trial.folder.clone(),
        store: store_address,
        contracts: GROWN_CONTRACTS,
        bounds: GROWN_BOUNDS,
        control_port: free_port(host_ip(0)),
        seeds_down: false,
    };
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let name = format!("front-a-{}", number + 1);
            Host::create(&deployment, number as u8, &name, "a")
        })
        .collect();
    for host in &mut hosts {
        host.start(&deployment);
    }
    if !hosts.iter().all(Host::wait_ready) {
        record.say("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let callers = Arc::new(Callers {
        record: Arc::clone(record),
        fronts: hosts.iter().map(|host| host.front).collect(),
        stopped: AtomicBool::new(false),
        last_attempt: AtomicU64::new(0),
        ends: Mutex::default(),
    });
    let mut threads = Vec::new();
    for number in 0..HOSTS * CALLERS_PER_HOST {
        let callers = Arc::clone(&callers);
        threads.push(thread::spawn(move || {
            while !callers.stopped.load(Ordering::SeqCst) {
                callers.send(number % HOSTS, "sound", &format!("bb{:02}", number % 2));
                thread::sleep(SOUND_INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if trial.trouble {
        let sending = Arc::clone(&callers);
        threads.push(thread::spawn(move || {
            for turn in 0.. {
                if sending.stopped.load(Ordering::SeqCst) {
                    return;
                }
                sending.send(turn % HOSTS, "deadly", DEAD_PART);
                thread::sleep(DEAD_INTERVAL);
            }
        }));
    }
    thread::sleep(TRIAL_TIME);
    callers.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let mut ends: Vec<_> = callers.ends.lock().unwrap().clone().into_iter().collect();
    ends.sort_unstable();
    record.say(&format!("requests by kind and status: {ends:?}"));
    judge(record, CONTACT, &runs.lock().unwrap())
}
