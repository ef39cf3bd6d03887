//! Finish times of a stage with which its request meets its objective and its deadline.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The margin that goals leave before the objective, as a multiple of the mean time to the first
/// event of the answer. One request in ten waits three times the mean for that event.
const FIRST_ANSWER_MARGIN: f64 = 0.5;

/// Holds the expected times that the plan of a stage is computed from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageTimes {
    /// The execution time of the stage without queueing.
    pub work: Duration,
    /// The execution time of all later stages without queueing.
    pub later_work: Duration,
    /// The expected time of all later stages, including queueing.
    pub later: Duration,
    /// The expected time from the final call to the start of the answer.
    pub first_answer: Duration,
}

/// Holds the times by which a stage must finish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StagePlan {
    /// The finish time that divides the remaining time among this and the later stages in
    /// proportion to their execution times; never later than `due`.
    pub goal: MonoTime,
    /// The latest finish time with which the request is expected to meet its latency objective.
    pub due: MonoTime,
    /// The latest finish time with which the request is expected to meet its deadline.
    pub expires: MonoTime,
}

impl StagePlan {
    /// Plans a stage that starts now.
    ///
    /// Later stages are included with their expected times and without any margin. During a burst
    /// of requests with long chains of stages, a margin would classify requests as late that could
    /// still meet their objective.
    pub fn new(now: MonoTime, objective: MonoTime, deadline: MonoTime, times: &StageTimes) -> Self {
        let remaining = times.later + times.first_answer;
        let due = objective - remaining;
        let goal_end = objective - times.first_answer.mul_f64(1.0 + FIRST_ANSWER_MARGIN);
        let total_work = (times.work + times.later_work).as_secs_f64();
        let work_fraction = times.work.as_secs_f64() / total_work.max(f64::MIN_POSITIVE);
        let goal = now + goal_end.since(now).mul_f64(work_fraction);
        Self {
            goal: goal.min(due),
            due,
            expires: deadline - remaining,
        }
    }
}
