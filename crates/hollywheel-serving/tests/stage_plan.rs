//! Tests of stage plans and of the order in which a batcher serves planned groups in a burst.

mod support;

use std::time::Duration;

use hollywheel_serving::{GroupRequest, GroupVerdict, StagePlan, StageTimes};
use support::{at, batcher, executed, group, tickets};

const TIMES: StageTimes = StageTimes {
    work: Duration::from_millis(160),
    later_work: Duration::from_millis(480),
    later: Duration::from_millis(700),
    first_answer: Duration::from_millis(100),
};

#[test]
fn the_plan_reserves_the_expected_times_of_later_stages() {
    let plan = StagePlan::new(at(1000), at(3000), at(9000), &TIMES);
    insta::assert_debug_snapshot!(plan);
    let single_stage = StageTimes {
        later_work: Duration::ZERO,
        later: Duration::ZERO,
        ..TIMES
    };
    let plan = StagePlan::new(at(1000), at(3000), at(9000), &single_stage);
    assert_eq!((plan.goal, plan.due), (at(2850), at(2900)));
}

#[test]
fn a_missed_objective_moves_the_goal_into_the_past() {
    let plan = StagePlan::new(at(1000), at(900), at(9000), &TIMES);
    assert_eq!((plan.goal, plan.due), (at(100), at(100)));
}

/// In a burst, a request with later stages arrives late from the preceding stage, while late work
/// is queued. It can still meet its objective if the later stages take their expected times.
#[test]
fn a_request_that_can_meet_its_objective_is_served_before_late_work() {
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
    batcher.finish_call(at(1170), call.call, executed(&call));
}
