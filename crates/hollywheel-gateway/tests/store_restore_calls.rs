//! Compares the number of calls to the store after it was restored from a backup with the number
//! after a start of all hosts.
//!
//! `HOLLYWHEEL_REWIND_HOSTS` overrides the number of hosts.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use support::store::{StoreStandin, serve};
use support::{HostAddresses, config, free_address, start_named_gateway};
use tokio::time::sleep;

/// Default number of hosts, as in the smaller deployments.
const DEFAULT_HOSTS: usize = 8;
/// Time over which calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);
/// Duration of the store's outage.
const OUTAGE_TIME: Duration = Duration::from_secs(1);

/// Counts the calls to the store during [`COUNT_TIME`]; returns the numbers of calls and writes.
async fn count_calls(store: &StoreStandin) -> (usize, usize) {
    sleep(COUNT_TIME).await;
    let calls = store.take_calls();
    let list_calls = calls.iter().filter(|path| *path == "/rows-get").count();
    println!("{list_calls} listings in {} calls", calls.len());
    let writes = calls.iter().filter(|path| *path == "/rows-tx").count();
    (calls.len(), writes)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_restore_causes_no_more_calls_than_a_start() {
    let hosts = std::env::var("HOLLYWHEEL_REWIND_HOSTS").map_or(DEFAULT_HOSTS, |hosts| {
        hosts.parse().expect("HOLLYWHEEL_REWIND_HOSTS is a number")
    });
    let store = Arc::new(StoreStandin::default());
    store.set_config(&config(1, "k1"));
    store.take_backup();
    let address = serve(Arc::clone(&store)).await;
    for number in 0..hosts {
        let addresses = HostAddresses {
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            store: address,
        };
        start_named_gateway("rewind-calls", &format!("front-a-{number}"), &addresses);
    }
    let (start_calls, start_writes) = count_calls(&store).await;
    assert_eq!(store.keys("hosts").len(), hosts, "every host has a row");
    let (idle_calls, _) = count_calls(&store).await;
    store.set_down(true);
    sleep(OUTAGE_TIME).await;
    store.restore_backup();
    store.set_down(false);
    store.take_calls();
    let (restored_calls, restored_writes) = count_calls(&store).await;
    println!(
        "{hosts} hosts, calls in 10 s: start {start_calls}, idle {idle_calls}, after the restore \
         {restored_calls}; writes {start_writes} and {restored_writes}"
    );
    assert_eq!(
        store.keys("hosts").len(),
        hosts,
        "every host has written its row again"
    );
    assert_eq!(restored_writes, hosts, "one write per host");
    assert!(
        restored_calls <= start_calls,
        "{restored_calls} calls after the restore, {start_calls} after the start"
    );
}
