//! Randomized soak test: hosts as separate processes, faults from outside, and checks of the
//! guarantees during the run and after it.
//!
//! `HOLLYWHEEL_SOAK_SEEDS` replaces the seeds of the short run, as `FIRST..LAST`. Seeds that have
//! failed are listed in `soak/seeds.txt` with their causes and are run first.

#[path = "soak/check.rs"]
mod check;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/load.rs"]
mod load;
#[path = "soak/odd.rs"]
mod odd;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/proxy.rs"]
mod proxy;
#[allow(dead_code, reason = "shared with the gateway's own tests")]
#[path = "../../hollywheel-gateway/tests/support/mod.rs"]
mod support;
#[path = "soak/system.rs"]
mod system;

use std::time::{Duration, Instant};

use check::violations;
use load::{CallRecord, CallerEnd};
use support::ServerLog;
use system::play_seed;

/// Seeds of the short run: one without restores of the store, one with them, one that also has
/// limits of servers, and one that also has servers with unusual behaviour.
const SHORT_SEEDS: [u64; 4] = [2, 200, 300, 400];

/// Checks that nothing of a seed is left open, apart from what the threads of its proxies close
/// within a moment. Later seeds would run out of files.
fn check_open_files(seed: u64) {
    const MAX_OPEN_FILES: usize = 40;
    const CLOSE_TIME: Duration = Duration::from_secs(2);
    let count = || std::fs::read_dir("/proc/self/fd").unwrap().count();
    let start = Instant::now();
    while count() > MAX_OPEN_FILES && start.elapsed() < CLOSE_TIME {
        std::thread::sleep(Duration::from_millis(20));
    }
    let open_files = count();
    println!("  {open_files} open files");
    assert!(
        open_files <= MAX_OPEN_FILES,
        "{open_files} after seed {seed}"
    );
}

fn seeds() -> Vec<u64> {
    if let Ok(range) = std::env::var("HOLLYWHEEL_SOAK_SEEDS") {
        let (first, last) = range.split_once("..").expect("FIRST..LAST");
        return (first.parse().unwrap()..last.parse().unwrap()).collect();
    }
    let kept = include_str!("soak/seeds.txt").lines();
    let kept = kept.filter_map(|line| line.split(' ').next()?.parse().ok());
    kept.chain(SHORT_SEEDS).collect()
}

#[test]
fn promises_hold_under_faults_from_outside() {
    let mut failed = Vec::new();
    for seed in seeds() {
        // The end of the runtime closes the sockets of the seed's stand-ins and proxies.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let found = runtime.block_on(play_seed(seed));
        drop(runtime);
        println!("seed {seed}: {} violations", found.len());
        for violation in &found {
            println!("  {violation}");
        }
        if !found.is_empty() {
            failed.push(seed);
        }
        check_open_files(seed);
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}

/// Checks a request that was executed a number of times and whose caller saw an outcome.
fn violations_of(path: &'static str, runs: &[&str], end: CallerEnd) -> Vec<String> {
    let log = ServerLog::default();
    for run in runs {
        log.record(format!("ran a1 at=p1 {run}"));
    }
    let call = CallRecord {
        attempt: "a1".to_owned(),
        path,
        host: 0,
        end,
    };
    violations(&[call], &log)
}

#[test]
fn each_promise_that_is_broken_is_seen() {
    const PLAIN: &str = "tenant=office key= inputs=0 last=";
    const DRAFT: &str = "tenant=office key= inputs=1 last=";
    let whole = |status, body: &str| CallerEnd::Whole(status, body.to_owned(), true);
    let own = |status| CallerEnd::Whole(status, String::new(), false);
    let draft = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert!(violations_of("/pay/ok", &[PLAIN], whole(200, "echo body")).is_empty());
    assert!(violations_of("/draft/ok", &[DRAFT], whole(200, draft)).is_empty());
    assert!(violations_of("/pay/full", &[], own(503)).is_empty());
    assert!(violations_of("/look/ok", &[PLAIN, PLAIN], whole(200, "echo body")).is_empty());
    let broken = [
        ("ran 2 times", "/pay/ok", vec![PLAIN, PLAIN], own(502)),
        ("more servers", "/look/ok", vec![PLAIN; 3], own(502)),
        ("called refused", "/pay/ok", vec![PLAIN], own(503)),
        (
            "without a server's",
            "/pay/ok",
            vec![],
            whole(200, "echo body"),
        ),
        ("without a server's", "/pay/ok", vec![PLAIN], own(200)),
        ("not the whole", "/pay/ok", vec![PLAIN], whole(200, "echo")),
        ("not the whole", "/look/flaky", vec![PLAIN], whole(200, "")),
        (
            "not the whole",
            "/draft/ok",
            vec![DRAFT],
            whole(200, "id: 1\ndata: a\n\n"),
        ),
        (
            "not the whole",
            "/draft/broken",
            vec![DRAFT],
            whole(200, draft),
        ),
        ("denied", "/pay/ok", vec![], own(401)),
        ("denied", "/pay/ok", vec![], own(404)),
        (
            "wrong workspace",
            "/pay/ok",
            vec!["tenant=other key= inputs=0 last="],
            own(502),
        ),
        (
            "key passed on",
            "/pay/ok",
            vec!["tenant=office key=k1 inputs=0 last="],
            own(502),
        ),
        ("wrong inputs", "/draft/ok", vec![PLAIN], own(502)),
    ];
    for (word, path, runs, end) in broken {
        let found = violations_of(path, &runs, end.clone()).join("; ");
        assert!(found.contains(word), "{word}, {path} {end:?}: {found:?}");
    }
    let log = ServerLog::default();
    log.record(format!("ran unknown at=p1 {PLAIN}"));
    assert!(violations(&[], &log)[0].contains("nobody sent it"));
}
