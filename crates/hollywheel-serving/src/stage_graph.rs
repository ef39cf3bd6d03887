//! The pieces of one request: which stages may start, and which results are still needed.

use std::time::Duration;

use crate::serving_set::StageStep;

/// The most pieces of one stage that a request may have; larger requests than any that the
/// platform describes (hundreds) and far below what fits into one call's body.
pub const MAX_STAGE_PIECES: usize = 4096;

/// Names a result at the backend server that made it.
pub type PieceHandle = String;

/// Says what a piece of a stage is made from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageInput {
    /// From the request's own key.
    Key,
    /// From the results of earlier stages.
    Results(Vec<PieceHandle>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum StageState {
    Omitted,
    Pending,
    Running,
    Done(Vec<PieceHandle>),
}

/// Follows the stages of one request.
#[derive(Clone, Debug)]
pub struct StageGraph {
    after: Vec<Vec<usize>>,
    pieces: Vec<usize>,
    states: Vec<StageState>,
    freed: Vec<bool>,
}

impl StageGraph {
    /// Creates the graph of a request that has so many pieces of each stage; a stage without
    /// pieces is left out, and what needs it needs what it needed.
    pub fn new(steps: &[StageStep], pieces: &[usize]) -> Self {
        let counts: Vec<usize> = (0..steps.len())
            .map(|stage| pieces.get(stage).copied().unwrap_or(1))
            .collect();
        let mut after: Vec<Vec<usize>> = Vec::with_capacity(steps.len());
        for step in steps {
            let mut needed: Vec<usize> = Vec::new();
            for stage in &step.after {
                if counts[*stage] == 0 {
                    needed.extend(after[*stage].iter().copied());
                } else {
                    needed.push(*stage);
                }
            }
            needed.sort_unstable();
            needed.dedup();
            after.push(needed);
        }
        let states = counts.iter().map(|count| match count {
            0 => StageState::Omitted,
            _ => StageState::Pending,
        });
        Self {
            after,
            states: states.collect(),
            freed: vec![false; counts.len()],
            pieces: counts,
        }
    }

    /// Returns the number of pieces of a stage.
    pub fn pieces(&self, stage: usize) -> usize {
        self.pieces[stage]
    }

    /// Takes the stages that should start now, by the expected time of each; each is returned
    /// once.
    ///
    /// Answers a burst in which one chain of stages waits in its queues: the results of a stage
    /// beside that chain would keep room at their server all the while. Such a stage starts with
    /// the last stage of the chain that still leaves it enough time.
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
            .filter(|stage| !self.can_wait(*stage, &ready, times))
            .collect();
        for stage in &started {
            self.states[*stage] = StageState::Running;
        }
        started
    }

    /// Says whether a stage may start later and still end first: one that runs, or may, has more
    /// work after it than this stage has with its own.
    fn can_wait(&self, stage: usize, ready: &[usize], times: &[Duration]) -> bool {
        let path = times[stage] + self.time_after(stage, times);
        (0..self.states.len())
            .filter(|other| self.states[*other] == StageState::Running || ready.contains(other))
            .any(|other| other != stage && self.time_after(other, times) > path)
    }

    fn is_done(&self, stage: usize) -> bool {
        matches!(self.states[stage], StageState::Done(_))
    }

    /// Returns the stages whose results a stage takes.
    pub fn needed(&self, stage: usize) -> &[usize] {
        &self.after[stage]
    }

    /// Says whether the final call takes the results of a stage.
    pub fn is_final(&self, stage: usize) -> bool {
        !self.after.iter().any(|needed| needed.contains(&stage))
    }

    /// Returns what the pieces of a stage are made from.
    pub fn input(&self, stage: usize) -> StageInput {
        if self.after[stage].is_empty() {
            return StageInput::Key;
        }
        let needed = self.after[stage].iter();
        StageInput::Results(needed.flat_map(|stage| self.handles(*stage)).collect())
    }

    fn handles(&self, stage: usize) -> Vec<PieceHandle> {
        match &self.states[stage] {
            StageState::Done(handles) => handles.clone(),
            StageState::Omitted | StageState::Pending | StageState::Running => Vec::new(),
        }
    }

    /// Notes the results of a stage and returns the results that nothing needs any more.
    pub fn finish(&mut self, stage: usize, handles: Vec<PieceHandle>) -> Vec<PieceHandle> {
        self.states[stage] = StageState::Done(handles);
        let mut unneeded = Vec::new();
        for earlier in 0..self.states.len() {
            let users: Vec<usize> = (0..self.states.len())
                .filter(|user| self.after[*user].contains(&earlier))
                .collect();
            let used = !users.is_empty() && users.iter().all(|user| self.is_done(*user));
            if used && !self.freed[earlier] && self.is_done(earlier) {
                self.freed[earlier] = true;
                unneeded.extend(self.handles(earlier));
            }
        }
        unneeded
    }

    /// Says whether every stage is done.
    pub fn is_complete(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, StageState::Done(_) | StageState::Omitted))
    }

    /// Returns the results that the final call takes: those that no stage uses.
    pub fn final_handles(&self) -> Vec<PieceHandle> {
        (0..self.states.len())
            .filter(|stage| self.is_final(*stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Returns every result that was not freed yet, for a request that ends.
    pub fn held_handles(&self) -> Vec<PieceHandle> {
        (0..self.states.len())
            .filter(|stage| !self.freed[*stage])
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    /// Forgets every result, so that all stages run again.
    pub fn restart(&mut self) {
        for (state, freed) in self.states.iter_mut().zip(&mut self.freed) {
            if *state != StageState::Omitted {
                *state = StageState::Pending;
            }
            *freed = false;
        }
    }

    /// Returns the longest sum of the given stage times from after a stage to the end.
    pub fn time_after(&self, stage: usize, times: &[Duration]) -> Duration {
        let users = (0..self.after.len()).filter(|user| self.after[*user].contains(&stage));
        users
            .map(|user| times[user] + self.time_after(user, times))
            .max()
            .unwrap_or_default()
    }

    /// Returns the longest sum of the given stage times over the stages that are not done.
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
