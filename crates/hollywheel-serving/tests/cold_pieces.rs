//! Tests of calls for pieces while servers of the pool are cold.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use hollywheel_serving::CallOutcome;
use support::{at, batcher, executed, group};

/// The warm server is busy and finishes its call early enough for the next group.
#[test]
fn cold_server_gets_pieces_that_a_warm_one_finishes_in_time() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    batcher.set_cold(|server| server.as_str() == "s1");
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(first.server.as_str(), "s2");
    batcher.offer(at(10), group(2, 2, 5000, 8000));
    assert_eq!(
        batcher.next_call(at(150)),
        None,
        "a call for the cold server"
    );
    batcher.finish_call(at(170), first.call, executed(&first));
    let second = batcher.next_call(at(170)).unwrap();
    assert_eq!(second.server.as_str(), "s2");
}

/// The warm server would finish the group too late.
#[test]
fn urgent_pieces_wait_for_a_warm_server_until_they_are_late() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    batcher.set_cold(|server| server.as_str() == "s1");
    batcher.offer(at(0), group(1, 14, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(first.server.as_str(), "s2");
    batcher.offer(at(10), group(2, 10, 270, 8000));
    let second = batcher.next_call(at(10)).unwrap();
    assert_eq!(second.server.as_str(), "s1");
}

/// Every server is cold: pieces are sent, and wait for as long as the permit takes.
#[test]
fn pieces_wait_for_good_while_all_servers_are_cold() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.set_cold(|_| true);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let denied = batcher.next_call(at(0)).unwrap();
    let wait = Duration::from_millis(105);
    batcher.finish_call(at(1), denied.call, CallOutcome::AtLimit { wait });
    assert_eq!(batcher.next_call(at(50)), None);
    assert!(batcher.next_call(at(110)).is_some());
}
