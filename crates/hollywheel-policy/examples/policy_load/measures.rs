//! Results of a simulation: attainment, goodput and cost.

use std::time::Duration;

use hollywheel_policy::{PolicyEngine, RequestEnd};
use hollywheel_types::RequestClass;

use crate::scenario::{CAPACITY, CLASS_MIX, Scenario};
use crate::simulation::{Request, Simulation};

impl Simulation {
    /// Returns the fraction of requests that completed in time, among those that match a filter.
    pub(crate) fn attained_fraction(&self, filter: impl Fn(&Request) -> bool) -> f64 {
        let offered = self.requests.iter().filter(|request| filter(request));
        let attained = offered
            .clone()
            .filter(|request| is_attained(request))
            .count();
        attained as f64 / offered.count().max(1) as f64
    }

    /// Returns the columns of the result line in their order.
    pub(crate) fn measures(&self) -> Vec<f64> {
        let Scenario {
            window_start,
            window_end,
            total_seconds,
            ..
        } = self.scenario;
        let second = |request: &Request| request.arrived.0 / 1_000_000;
        let mut measures: Vec<f64> = RequestClass::ALL
            .iter()
            .map(|class| 100.0 * self.attained_fraction(|request| request.class == *class))
            .collect();
        let is_in_window =
            |request: &&Request| (window_start..window_end).contains(&second(request));
        let attained = self.requests.iter().filter(|request| is_attained(request));
        let useful_work = attained
            .filter(is_in_window)
            .map(|request| CLASS_MIX[request.class.index()].1);
        measures.push(
            useful_work.sum::<f64>() / 1000.0 / (CAPACITY * (window_end - window_start) as f64),
        );
        let started_count = self
            .requests
            .iter()
            .filter(|request| request.started)
            .count();
        measures.push(self.attempts.len() as f64 / started_count as f64);
        let busy: Duration = self.attempts.iter().map(|attempt| attempt.run_time).sum();
        measures.push(busy.as_secs_f64() / self.useful_time.as_secs_f64());
        let ended = self
            .requests
            .iter()
            .filter_map(|request| Some((request, request.end?)));
        let refused = ended.filter(|(_, (end, _))| *end == RequestEnd::Refused);
        let at_once = refused
            .clone()
            .filter(|(request, (_, at))| *at == request.arrived);
        measures.push(100.0 * at_once.count() as f64 / refused.count().max(1) as f64);
        let has_fault = self.scenario.slowdown > 1.0 || self.scenario.is_partitioned;
        let recovery_start = if has_fault { window_start } else { window_end };
        let last_bad_second = (recovery_start..total_seconds)
            .rfind(|at| self.attained_fraction(|request| second(request) == *at) < 0.97);
        measures.push(last_bad_second.map_or(0.0, |at| (at + 1 - recovery_start) as f64));
        let pools = self.hosts.iter().flat_map(PolicyEngine::pools);
        measures.push(pools.map(|pool| pool.counters.ejections as f64).sum());
        measures
    }
}

fn is_attained(request: &Request) -> bool {
    matches!(request.end, Some((RequestEnd::Attained, _)))
}
