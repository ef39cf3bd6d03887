//! Learned latencies of the steps of pipelines, from which deadline plans are computed.

use std::time::Duration;

use hollywheel_types::{PipelineId, SortedMap};

/// Weight of the most recent time in the moving average. The average follows a burst within about
/// four requests, which a host of a large fleet receives in two seconds.
const LATENCY_WEIGHT: f64 = 0.25;
/// The estimate of the time from the final call to the first event of the answer until one was
/// observed.
const INITIAL_TIME: Duration = Duration::from_millis(100);

/// Identifies a step of a pipeline: a stage, or the final call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PipelineStep {
    Stage(PipelineId, usize),
    Final(PipelineId),
    /// All steps, from the arrival of a request to the end of its answer.
    Whole(PipelineId),
}

/// Holds the mean time of each step of each pipeline, including queueing.
#[derive(Clone, Debug, Default)]
pub struct LatencyForecast {
    steps: SortedMap<PipelineStep, f64>,
}

impl LatencyForecast {
    /// Creates a forecast without any observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the expected time of a stage; `guess` if none was observed.
    pub fn stage(&self, pipeline: &PipelineId, stage: usize, guess: Duration) -> Duration {
        let step = PipelineStep::Stage(pipeline.clone(), stage);
        self.steps
            .get(&step)
            .map_or(guess, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Returns the expected time from the final call to the start of the answer.
    pub fn first_answer(&self, pipeline: &PipelineId) -> Duration {
        let step = PipelineStep::Final(pipeline.clone());
        self.steps
            .get(&step)
            .map_or(INITIAL_TIME, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Adds an observed time of a stage.
    pub fn learn_stage(&mut self, pipeline: &PipelineId, stage: usize, taken: Duration) {
        self.learn(PipelineStep::Stage(pipeline.clone(), stage), taken);
    }

    /// Adds an observed time from the final call to the start of the answer.
    pub fn learn_first_answer(&mut self, pipeline: &PipelineId, taken: Duration) {
        self.learn(PipelineStep::Final(pipeline.clone()), taken);
    }

    /// Returns the expected time from the arrival of a request to the end of its answer; `None` if none
    /// was observed.
    pub fn whole(&self, pipeline: &PipelineId) -> Option<Duration> {
        let mean = self.steps.get(&PipelineStep::Whole(pipeline.clone()))?;
        Some(Duration::from_secs_f64(*mean))
    }

    /// Adds an observed time from the arrival of a request to the end of its answer.
    pub fn learn_whole(&mut self, pipeline: &PipelineId, taken: Duration) {
        self.learn(PipelineStep::Whole(pipeline.clone()), taken);
    }

    /// Removes the pipelines for which the predicate is false.
    pub fn retain(&mut self, mut predicate: impl FnMut(&PipelineId) -> bool) {
        self.steps.retain(|step, _| match step {
            PipelineStep::Stage(pipeline, _)
            | PipelineStep::Final(pipeline)
            | PipelineStep::Whole(pipeline) => predicate(pipeline),
        });
    }

    fn learn(&mut self, step: PipelineStep, taken: Duration) {
        let taken = taken.as_secs_f64();
        let mean = self.steps.get_or_insert_with(step, || taken);
        *mean += LATENCY_WEIGHT * (taken - *mean);
    }
}
