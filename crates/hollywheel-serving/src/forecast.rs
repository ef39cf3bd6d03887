//! Learned times of the steps of a pipeline, for one deadline plan over all of them.

use std::time::Duration;

use hollywheel_types::{PipelineId, SortedMap};

/// The part that a new time has in the mean; it follows a burst within about four requests, which
/// a host of a large fleet sees in two seconds.
const NEW_PART: f64 = 0.25;
/// Holds a first guess for the time from the final call to the first event of an answer.
const FIRST_ANSWER: Duration = Duration::from_millis(100);

/// Names a step of a pipeline: a stage, or the final call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PathStep {
    Stage(PipelineId, usize),
    Final(PipelineId),
}

/// Holds the mean time of each step, with its waiting.
#[derive(Clone, Debug, Default)]
pub struct LatencyForecast {
    steps: SortedMap<PathStep, f64>,
}

impl LatencyForecast {
    /// Creates a forecast that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the expected time of a stage; the guess stands in until one was seen.
    pub fn stage(&self, pipeline: &PipelineId, stage: usize, guess: Duration) -> Duration {
        let step = PathStep::Stage(pipeline.clone(), stage);
        self.steps
            .get(&step)
            .map_or(guess, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Returns the expected time from the final call to the beginning of the answer.
    pub fn first_answer(&self, pipeline: &PipelineId) -> Duration {
        let step = PathStep::Final(pipeline.clone());
        self.steps
            .get(&step)
            .map_or(FIRST_ANSWER, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Learns the time of a stage.
    pub fn learn_stage(&mut self, pipeline: &PipelineId, stage: usize, taken: Duration) {
        self.learn(PathStep::Stage(pipeline.clone(), stage), taken);
    }

    /// Learns the time from the final call to the beginning of the answer.
    pub fn learn_first_answer(&mut self, pipeline: &PipelineId, taken: Duration) {
        self.learn(PathStep::Final(pipeline.clone()), taken);
    }

    /// Forgets the pipelines for which the test fails.
    pub fn retain(&mut self, mut test: impl FnMut(&PipelineId) -> bool) {
        self.steps.retain(|step, _| match step {
            PathStep::Stage(pipeline, _) | PathStep::Final(pipeline) => test(pipeline),
        });
    }

    fn learn(&mut self, step: PathStep, taken: Duration) {
        let taken = taken.as_secs_f64();
        let mean = self.steps.get_or_insert_with(step, || taken);
        *mean += NEW_PART * (taken - *mean);
    }
}
