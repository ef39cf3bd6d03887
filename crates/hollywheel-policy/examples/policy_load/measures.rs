//! What callers got and what it cost.

use std::time::Duration;

use hollywheel_policy::{PolicyEngine, RequestEnd};
use hollywheel_types::RequestClass;

use crate::scenario::{CAPACITY, MIX, Scenario};
use crate::world::{Request, World};

impl World {
    /// Returns the part of requests that were attained, of those that pass a test.
    pub(crate) fn attained(&self, test: impl Fn(&Request) -> bool) -> f64 {
        let offered = self.requests.iter().filter(|request| test(request));
        let good = offered
            .clone()
            .filter(|request| is_attained(request))
            .count();
        good as f64 / offered.count().max(1) as f64
    }

    pub(crate) fn measures(&self) -> Vec<f64> {
        let Scenario {
            from, until, total, ..
        } = self.scenario;
        let second = |request: &Request| request.arrived.0 / 1_000_000;
        let mut measures: Vec<f64> = RequestClass::ALL
            .iter()
            .map(|class| 100.0 * self.attained(|request| request.class == *class))
            .collect();
        let window = |request: &&Request| (from..until).contains(&second(request));
        let good = self.requests.iter().filter(|request| is_attained(request));
        let work = good
            .filter(window)
            .map(|request| MIX[request.class.index()].1);
        measures.push(work.sum::<f64>() / 1000.0 / (CAPACITY * (until - from) as f64));
        let started = self
            .requests
            .iter()
            .filter(|request| request.started)
            .count();
        measures.push(self.attempts.len() as f64 / started as f64);
        let busy: Duration = self.attempts.iter().map(|attempt| attempt.ran).sum();
        measures.push(busy.as_secs_f64() / self.useful.as_secs_f64());
        let ends = self
            .requests
            .iter()
            .filter_map(|request| Some((request, request.end?)));
        let refused = ends.filter(|(_, (end, _))| *end == RequestEnd::Refused);
        let at_once = refused
            .clone()
            .filter(|(request, (_, at))| *at == request.arrived);
        measures.push(100.0 * at_once.count() as f64 / refused.count().max(1) as f64);
        let fault = self.scenario.slow > 1.0 || self.scenario.cut;
        let mark = if fault { from } else { until };
        let bad = (mark..total).rfind(|at| self.attained(|request| second(request) == *at) < 0.97);
        measures.push(bad.map_or(0.0, |at| (at + 1 - mark) as f64));
        let pools = self.hosts.iter().flat_map(PolicyEngine::pools);
        measures.push(pools.map(|pool| pool.counters.ejections as f64).sum());
        measures
    }
}

fn is_attained(request: &Request) -> bool {
    matches!(request.end, Some((RequestEnd::Attained, _)))
}
