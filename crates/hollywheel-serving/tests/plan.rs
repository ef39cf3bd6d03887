//! The deadline plan of a request over all of its steps.

use std::time::Duration;

use hollywheel_serving::{LatencyForecast, PoolShard, ShardWaits, least_wait};
use hollywheel_types::{MonoTime, PipelineId};

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// On a large fleet a host sees a pipeline about twice a second; a burst lasts for some seconds.
#[test]
fn four_requests_of_a_burst_change_the_plan() {
    let pipeline: PipelineId = "draft".parse().unwrap();
    let mut forecast = LatencyForecast::new();
    assert_eq!(forecast.stage(&pipeline, 1, millis(170)), millis(170));
    forecast.learn_stage(&pipeline, 1, millis(200));
    for _ in 0..4 {
        forecast.learn_stage(&pipeline, 1, millis(1000));
    }
    let planned = forecast.stage(&pipeline, 1, millis(170));
    assert!((millis(700)..millis(800)).contains(&planned), "{planned:?}");
}

/// A host that sent nothing lately to the pool of a later stage goes by what shards told it.
#[test]
fn the_least_wait_that_shards_told_lately_counts() {
    let at = MonoTime::from_millis;
    let mut waits = ShardWaits::new();
    let shard = |name: &str| PoolShard::Domain(name.parse().unwrap());
    assert_eq!(least_wait(at(5000), None), millis(0));
    waits.insert(shard("a"), (millis(400), at(4800)));
    waits.insert(shard("b"), (millis(300), at(4700)));
    waits.insert(shard("c"), (millis(0), at(3000)));
    assert_eq!(
        least_wait(at(5000), Some(&waits)),
        millis(300),
        "what c told is two seconds old"
    );
    assert_eq!(least_wait(at(9000), Some(&waits)), millis(0));
}
