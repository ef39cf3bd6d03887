//! The points by which a stage must be done, and what a batcher makes of them in a burst.

mod support;

use std::time::Duration;

use hollywheel_serving::{GroupRequest, GroupVerdict, StagePlan, StageTimes};
use support::{at, batcher, group, made, tickets};

const TIMES: StageTimes = StageTimes {
    work: Duration::from_millis(160),
    later_work: Duration::from_millis(480),
    later: Duration::from_millis(700),
    first_answer: Duration::from_millis(100),
};

#[test]
fn later_stages_are_left_their_expected_times() {
    let plan = StagePlan::new(at(1000), at(3000), at(9000), &TIMES);
    insta::assert_debug_snapshot!(plan);
    let alone = StageTimes {
        later_work: Duration::ZERO,
        later: Duration::ZERO,
        ..TIMES
    };
    let plan = StagePlan::new(at(1000), at(3000), at(9000), &alone);
    assert_eq!((plan.goal, plan.due), (at(2850), at(2900)));
}

#[test]
fn an_objective_that_has_passed_makes_the_goal_pass_as_well() {
    let plan = StagePlan::new(at(1000), at(900), at(9000), &TIMES);
    assert_eq!((plan.goal, plan.due), (at(100), at(100)));
}

/// A request of a chain comes late from the stage before, in a burst, beside work that has lost
/// its objective: its own call fits if the later stages take their expected times.
#[test]
fn a_request_that_expected_times_still_allow_goes_before_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    let plan = StagePlan::new(at(1000), at(2000), at(9000), &TIMES);
    let late = group(1, 14, 900, 9000);
    assert!(matches!(
        batcher.offer(at(1000), late),
        GroupVerdict::Queued { .. }
    ));
    let request = GroupRequest {
        goal: plan.goal,
        due: plan.due,
        expires: plan.expires,
        ..group(2, 2, 0, 0)
    };
    batcher.offer(at(1000), request);
    let call = batcher.next_call(at(1000)).unwrap();
    assert_eq!(tickets(&call)[0], 2, "{call:?}");
    batcher.finish_call(at(1170), call.call, made(&call));
}
