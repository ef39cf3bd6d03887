//! The calls of the store that a fleet makes, and the time after which news reach all of it.

use std::time::Duration;

use hollywheel_serving::{FeedPlan, reader_count};

/// The store answers within this time when it is slow (50 times 4 ms, and the way).
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// A follower asks a reader again after this time at the latest.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// A reader whose connection has gone silent says that it is lost once its call has run out, and
/// its followers ask the next one.
#[test]
fn news_pass_a_silent_reader_within_the_bound() {
    for millis in [2000, 3000, 4000, 7000] {
        let bound = Duration::from_millis(millis);
        let plan = FeedPlan::new(bound);
        let noticed = plan.wait + ANSWER_SLACK;
        assert!(noticed + FOLLOW_WAIT < bound, "{bound:?}: {plan:?}");
        assert!(plan.fresh_view > plan.wait, "a calm view stays fresh");
        assert!(plan.fresh_view + FOLLOW_WAIT < bound, "{bound:?}: {plan:?}");
    }
}

/// A calm fleet's calls a second: two feeds of each reader.
#[test]
fn calls_grow_far_more_slowly_than_the_fleet() {
    let calls = |hosts, millis| {
        let plan = FeedPlan::new(Duration::from_millis(millis));
        2.0 * reader_count(hosts) as f64 / plan.wait.as_secs_f64()
    };
    assert_eq!([1, 9, 85, 295, 390].map(reader_count), [3, 3, 3, 7, 9]);
    assert!(calls(295, 4000) <= 10.0 + f64::EPSILON);
    assert!(calls(390, 7000) < calls(9, 2000));
}
