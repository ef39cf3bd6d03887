//! Tests of the forecasts from which the deadline plan of a request is computed.

use std::time::Duration;

use hollywheel_serving::{LatencyForecast, PoolShard, ShardWaits, least_wait};
use hollywheel_types::{MonoTime, PipelineId};

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// In a large fleet a host receives about two requests per second for a pipeline, and a burst lasts
/// a few seconds, so the forecast must follow within a few requests.
#[test]
fn the_forecast_follows_a_burst_within_four_requests() {
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

/// A host that has not recently used the pool of a later stage relies on the queueing times that
/// its shards report.
#[test]
fn the_shortest_recent_wait_of_the_shards_is_used() {
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
        "the report of shard c is two seconds old"
    );
    assert_eq!(least_wait(at(9000), Some(&waits)), millis(0));
}
