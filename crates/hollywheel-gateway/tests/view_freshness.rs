//! Checks what a host reports about the freshness of its view of the store.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use peer_host::follow;
use support::Fixture;
use tokio::time::sleep;

/// Age up to which a view counts as fresh under the bounds of the fixture (2 s).
const FRESH_VIEW: Duration = Duration::from_millis(1200);

/// The servers' table is answered all the while, so only the configuration is out of date.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn view_counts_as_fresh_while_the_configuration_cannot_be_read() {
    let fixture = Fixture::start("view-freshness").await;
    let age =
        |reply: hollywheel_wire::serving::FollowReply| reply.age_us.map(Duration::from_micros);
    let before = age(follow(fixture.peer_address).await);
    assert!(before.is_some_and(|age| age <= FRESH_VIEW), "{before:?}");
    fixture.store.silence_table("op");
    sleep(Duration::from_millis(2500)).await;
    for _ in 0..40 {
        sleep(Duration::from_millis(50)).await;
        let age = age(follow(fixture.peer_address).await);
        assert!(age.is_none_or(|age| age > FRESH_VIEW), "{age:?}");
    }
}
