//! What a rewind of the store costs it, compared with a start of all hosts.
//!
//! `HOLLYWHEEL_REWIND_HOSTS` names another number of hosts than the short run's.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use support::store::{StoreStandin, serve};
use support::{HostAddresses, config, free_address, start_named_gateway};
use tokio::time::sleep;

/// As many hosts as the smaller deployments have.
const HOSTS: usize = 8;
/// Calls are counted over this time.
const COUNTED: Duration = Duration::from_secs(10);
/// The store is away for this time.
const AWAY: Duration = Duration::from_secs(1);

/// Counts the calls that came in the next seconds; returns the writes among them as well.
async fn count_calls(store: &StoreStandin) -> (usize, usize) {
    sleep(COUNTED).await;
    let calls = store.take_calls();
    let lists = calls.iter().filter(|path| *path == "/rows-get").count();
    println!("{lists} listings of {} calls", calls.len());
    let writes = calls.iter().filter(|path| *path == "/rows-tx").count();
    (calls.len(), writes)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rewind_costs_the_store_no_more_than_a_start() {
    let hosts = std::env::var("HOLLYWHEEL_REWIND_HOSTS").map_or(HOSTS, |hosts| {
        hosts.parse().expect("HOLLYWHEEL_REWIND_HOSTS is a number")
    });
    let store = Arc::new(StoreStandin::default());
    store.set_config(&config(1, "k1"));
    store.take_copy();
    let address = serve(Arc::clone(&store)).await;
    for number in 0..hosts {
        let addresses = HostAddresses {
            callers: free_address(),
            ready: free_address(),
            peers: free_address(),
            store: address,
        };
        start_named_gateway("rewind-calls", &format!("front-a-{number}"), &addresses);
    }
    let (start, start_writes) = count_calls(&store).await;
    assert_eq!(store.keys("hosts").len(), hosts, "every host has a row");
    let (rest, _) = count_calls(&store).await;
    store.set_down(true);
    sleep(AWAY).await;
    store.rewind();
    store.set_down(false);
    store.take_calls();
    let (back, back_writes) = count_calls(&store).await;
    println!(
        "{hosts} hosts, calls in 10 s: start {start}, at rest {rest}, after the rewind {back}; \
         writes {start_writes} and {back_writes}"
    );
    assert_eq!(store.keys("hosts").len(), hosts, "every row is back");
    assert_eq!(back_writes, hosts, "one write a host");
    assert!(back <= start, "{back} calls, {start} at the start");
}
