//! The stage graph of one request: which stages may start, and which results are still needed.

use std::time::Duration;

use crate::serving_set::StageStep;

/// The maximum number of pieces of one stage of a request. Requests described by the platform have
/// hundreds at most, and this many still fit easily into the body of one call.
pub const MAX_STAGE_PIECES: usize = 4096;

/// Identifies a result on the backend server that stores it.
pub type PieceHandle = String;

/// Describes the input of the pieces of a stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageInput {
    /// The request's own key.
    Key,
    /// The results of earlier stages.
    Results(Vec<PieceHandle>),
}

/// Describes the progress of one stage.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StageState {
    /// The stage has no pieces.
    Omitted,
    /// The stage has not started.
    Pending,
    /// The stage has started.
    Running,
    /// The stage has finished with these results.
    Done(Vec<PieceHandle>),
}

/// Returns the stages in an order in which each comes after all that it needs.
///
/// # Errors
///
/// Returns a stage that has no place: it needs itself, directly or through others, or a stage that
/// does not exist.
pub fn stage_order(steps: &[StageStep]) -> Result<Vec<usize>, usize> {
    let mut order: Vec<usize> = Vec::with_capacity(steps.len());
    let mut is_placed = vec![false; steps.len()];
    while order.len() < steps.len() {
        let placed_before = order.len();
        for (stage, step) in steps.iter().enumerate() {
            let mut needed = step.after.iter();
            let is_ready = needed.all(|earlier| is_placed.get(*earlier) == Some(&true));
            if is_ready && !is_placed[stage] {
                is_placed[stage] = true;
                order.push(stage);
            }
        }
        if order.len() == placed_before {
            return Err(is_placed.iter().position(|placed| !placed).unwrap_or(0));
        }
    }
    Ok(order)
}

/// Tracks the stages of one request and their results.
#[derive(Clone, Debug)]
pub struct StageGraph {
    /// The stages that each stage needs, without omitted ones. An omitted stage needs none.
    after: Vec<Vec<usize>>,
    /// The stages that need the results of each stage, without omitted ones.
    followers: Vec<Vec<usize>>,
    /// The number of pieces of each stage.
    pieces: Vec<usize>,
    states: Vec<StageState>,
    /// Whether the results of each stage were returned as no longer needed.
    freed: Vec<bool>,
}

impl StageGraph {
    /// Creates the graph of a request from its number of pieces per stage. A stage without pieces
    /// is omitted; stages that depend on it depend on its dependencies instead.
    pub fn new(steps: &[StageStep], pieces: &[usize]) -> Self {
        let counts: Vec<usize> = (0..steps.len())
            .map(|stage| pieces.get(stage).copied().unwrap_or(1))
            .collect();
        let mut after: Vec<Vec<usize>> = vec![Vec::new(); steps.len()];
        for stage in stage_order(steps).unwrap_or_default() {
            let mut needed: Vec<usize> = Vec::new();
            for earlier in &steps[stage].after {
                if counts[*earlier] == 0 {
                    needed.extend(after[*earlier].iter().copied());
                } else {
                    needed.push(*earlier);
                }
            }
            needed.sort_unstable();
            needed.dedup();
            after[stage] = needed;
        }
        let mut followers: Vec<Vec<usize>> = vec![Vec::new(); steps.len()];
        for (stage, needed) in after.iter_mut().enumerate() {
            if counts[stage] == 0 {
                needed.clear();
            }
            for earlier in needed {
                followers[*earlier].push(stage);
            }
        }
        let states = counts.iter().map(|count| match count {
            0 => StageState::Omitted,
            _ => StageState::Pending,
        });
        Self {
            after,
            followers,
            states: states.collect(),
            freed: vec![false; counts.len()],
            pieces: counts,
        }
    }

    /// Returns the number of pieces of a stage.
    pub fn pieces(&self, stage: usize) -> usize {
        self.pieces[stage]
    }

    /// Returns the stages that should start now and marks them as running. `times` holds the
    /// expected time of each stage.
    ///
    /// A stage off the critical path is delayed: if it started at once, its results would occupy
    /// server memory while the critical path waits in queues during a burst. It starts together
    /// with the last stage of the critical path that still leaves it enough time.
    pub fn start_ready(&mut self, times: &[Duration]) -> Vec<usize> {
        let ready: Vec<usize> = (0..self.states.len())
            .filter(|stage| self.states[*stage] == StageState::Pending)
            .filter(|stage| {
                self.after[*stage]
                    .iter()
                    .all(|needed| self.is_done(*needed))
            })
            .collect();
        let started: Vec<usize> = ready
            .iter()
            .copied()
            .filter(|stage| !self.can_start_later(*stage, &ready, times))
            .collect();
        for stage in &started {
            self.states[*stage] = StageState::Running;
        }
        started
    }

    /// Returns whether a stage can start later without delaying the request: another running or
    /// ready stage has more work after it than this stage has including its own.
    fn can_start_later(&self, stage: usize, ready: &[usize], times: &[Duration]) -> bool {
        let remaining = times[stage] + self.time_after(stage, times);
        (0..self.states.len())
            .filter(|other| self.states[*other] == StageState::Running || ready.contains(other))
            .any(|other| other != stage && self.time_after(other, times) > remaining)
    }

    fn is_done(&self, stage: usize) -> bool {
        matches!(self.states[stage], StageState::Done(_))
    }

    /// Returns the stages whose results are the input of a stage.
    pub fn needed(&self, stage: usize) -> &[usize] {
        &self.after[stage]
    }

    /// Returns whether the results of a stage are an input of the final call: no other stage of
    /// the request needs them.
    pub fn is_final(&self, stage: usize) -> bool {
        self.states[stage] != StageState::Omitted && self.followers[stage].is_empty()
    }

    /// Returns the input of the pieces of a stage.
    pub fn input(&self, stage: usize) -> StageInput {
        if self.after[stage].is_empty() {
            return StageInput::Key;
        }
        let needed = self.after[stage].iter();
        StageInput::Results(needed.flat_map(|stage| self.handles(*stage)).collect())
    }

    /// Returns the results of a stage; empty unless the stage is done.
    fn handles(&self, stage: usize) -> Vec<PieceHandle> {
        match &self.states[stage] {
            StageState::Done(handles) => handles.clone(),
            StageState::Omitted | StageState::Pending | StageState::Running => Vec::new(),
        }
    }

    /// Records the results of a stage; returns the results that no remaining stage needs.
    pub fn finish(&mut self, stage: usize, handles: Vec<PieceHandle>) -> Vec<PieceHandle> {
        self.states[stage] = StageState::Done(handles);
        let mut unneeded = Vec::new();
        for earlier in 0..self.states.len() {
            let followers = &self.followers[earlier];
            let is_unneeded =
                !followers.is_empty() && followers.iter().all(|user| self.is_done(*user));
            if is_unneeded && !self.freed[earlier] && self.is_done(earlier) {
                self.freed[earlier] = true;
                unneeded.extend(self.handles(earlier));
            }
        }
        unneeded
    }

    /// Returns whether every stage is done or omitted.
    pub fn is_complete(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, StageState::Done(_) | StageState::Omitted))
    }

    /// Returns the results that are inputs of the final call: those of the final stages.
    pub fn final_handles(&self) -> Vec<PieceHandle> {
        (0..self.states.len())
            .filter(|stage| self.is_final(*stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Returns every result that was not freed yet, so that the end of a request can free them.
    pub fn held_handles(&self) -> Vec<PieceHandle> {
        (0..self.states.len())
            .filter(|stage| !self.freed[*stage])
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Discards all results and resets all stages to run again.
    pub fn restart(&mut self) {
        for (state, freed) in self.states.iter_mut().zip(&mut self.freed) {
            if *state != StageState::Omitted {
                *state = StageState::Pending;
            }
            *freed = false;
        }
    }

    /// Returns the length of the critical path after a stage, from the given time of each stage.
    pub fn time_after(&self, stage: usize, times: &[Duration]) -> Duration {
        let followers = self.followers[stage].iter();
        followers
            .map(|user| times[*user] + self.time_after(*user, times))
            .max()
            .unwrap_or_default()
    }

    /// Returns the length of the critical path over the stages that are not done, from the given
    /// time of each stage.
    pub fn time_left(&self, times: &[Duration]) -> Duration {
        (0..self.after.len())
            .filter(|stage| {
                matches!(
                    self.states[*stage],
                    StageState::Pending | StageState::Running
                )
            })
            .map(|stage| times[stage] + self.time_after(stage, times))
            .max()
            .unwrap_or_default()
    }
}
