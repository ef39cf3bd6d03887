//! The points by which a stage must be done so that its request meets its objective.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// Goals leave so many times the mean time to the first event free before it, since one request
/// in ten waits for three times the mean.
const FIRST_ANSWER_MARGIN: f64 = 0.5;

/// Holds the times that a plan of one stage rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageTimes {
    /// The time that the stage's own work needs without any waiting.
    pub work: Duration,
    /// The same for all stages after it.
    pub later_work: Duration,
    /// The expected time of all stages after it, with their waiting.
    pub later: Duration,
    /// The expected time from the final call to the beginning of the answer.
    pub first_answer: Duration,
}

/// Holds the points by which a stage must be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StagePlan {
    /// The finish that leaves the later stages their part of the time that is left, each by its
    /// work.
    pub goal: MonoTime,
    /// The latest finish with which the request is expected to meet its objective.
    pub due: MonoTime,
    /// The latest finish with which it is expected to meet its deadline.
    pub expires: MonoTime,
}

impl StagePlan {
    /// Plans a stage that starts now.
    ///
    /// Answers a burst of requests with long chains: later stages count with their expected times.
    /// A plan that adds to these takes requests for late that could still be in time.
    pub fn new(now: MonoTime, objective: MonoTime, deadline: MonoTime, times: &StageTimes) -> Self {
        let rest = times.later + times.first_answer;
        let due = objective - rest;
        let end = objective - times.first_answer.mul_f64(1.0 + FIRST_ANSWER_MARGIN);
        let total = (times.work + times.later_work).as_secs_f64();
        let part = times.work.as_secs_f64() / total.max(f64::MIN_POSITIVE);
        let goal = now + end.since(now).mul_f64(part);
        Self {
            goal: goal.min(due),
            due,
            expires: deadline - rest,
        }
    }
}
