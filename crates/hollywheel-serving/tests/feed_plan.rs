//! Tests of the number of store calls of a fleet and of the time in which changes reach all hosts.

use std::time::Duration;

use hollywheel_serving::{FeedPlan, reader_count};

/// The time within which a slow store answers: 50 times its usual 4 ms, plus network latency.
const STORE_LATENCY: Duration = Duration::from_millis(400);
/// The longest time between two polls of a reader by a follower.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// A reader whose connection to the store is silent notices this when its feed call times out. It
/// then reports its view as lost, and its followers poll the next reader.
#[test]
fn changes_arrive_within_the_bound_despite_a_silent_reader() {
    for millis in [2000, 3000, 4000, 7000] {
        let bound = Duration::from_millis(millis);
        let plan = FeedPlan::new(bound);
        let detected = plan.wait + STORE_LATENCY;
        assert!(detected + FOLLOW_INTERVAL < bound, "{bound:?}: {plan:?}");
        assert!(
            plan.fresh_view > plan.wait,
            "a view without changes stays fresh"
        );
        assert!(
            plan.fresh_view + FOLLOW_INTERVAL < bound,
            "{bound:?}: {plan:?}"
        );
    }
}

/// Without changes, each reader makes one call per feed and interval, for two feeds.
#[test]
fn store_calls_grow_much_more_slowly_than_the_fleet() {
    let calls_per_second = |hosts, millis| {
        let plan = FeedPlan::new(Duration::from_millis(millis));
        2.0 * reader_count(hosts) as f64 / plan.wait.as_secs_f64()
    };
    assert_eq!([1, 9, 85, 295, 390].map(reader_count), [3, 3, 3, 7, 9]);
    assert!(calls_per_second(295, 4000) <= 10.0 + f64::EPSILON);
    assert!(calls_per_second(390, 7000) < calls_per_second(9, 2000));
}
