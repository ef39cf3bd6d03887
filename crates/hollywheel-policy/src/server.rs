//! What this host knows of one backend server.

use std::time::Duration;

use hollywheel_types::{DomainId, Incarnation, ModelId, MonoTime};

use crate::health::ServerHealth;
use crate::message::ServerReport;

/// The weight of a report falls by a factor of e in this time.
const REPORT_FADE: Duration = Duration::from_millis(75);
/// The most prompt prefixes remembered for one server.
const MAX_PREFIXES: usize = 1024;
/// The most models remembered for one server.
const MAX_MODELS: usize = 64;

/// Holds the load of a report without this host's own requests.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    held_at: MonoTime,
    total: f64,
    others: f64,
}

/// Holds the state of one backend server at this host.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) domain: DomainId,
    /// The points at which this host's requests should be answered.
    due: Vec<MonoTime>,
    pub(crate) leaving: bool,
    pub(crate) health: ServerHealth,
    pub(crate) slots: u32,
    incarnation: Option<Incarnation>,
    models: Vec<ModelId>,
    prefixes: Vec<u64>,
    sample: Option<LoadSample>,
}

impl ServerState {
    pub(crate) fn new(now: MonoTime, domain: DomainId, slots: u32) -> Self {
        Self {
            domain,
            due: Vec::new(),
            leaving: false,
            health: ServerHealth::new(now),
            slots: slots.max(1),
            incarnation: None,
            models: Vec::new(),
            prefixes: Vec::new(),
            sample: None,
        }
    }

    /// Takes a report; one of an older incarnation or of an earlier point is ignored, but
    /// for the news that the server is leaving.
    pub(crate) fn take_report(&mut self, now: MonoTime, report: &ServerReport, age: Duration) {
        if self
            .incarnation
            .is_some_and(|known| report.incarnation < known)
        {
            return;
        }
        if self
            .incarnation
            .is_some_and(|known| report.incarnation > known)
        {
            self.leaving = false;
            self.sample = None;
            self.health.restore(now);
        }
        self.incarnation = Some(report.incarnation);
        self.leaving |= report.leaving;
        let held_at = now - age;
        if self.sample.is_some_and(|sample| held_at < sample.held_at) {
            return;
        }
        self.slots = report.slots.max(1);
        self.models.clear();
        self.models
            .extend(report.models.iter().take(MAX_MODELS).cloned());
        let total = f64::from(report.running) + f64::from(report.queued);
        self.sample = Some(LoadSample {
            held_at,
            total,
            others: (total - self.due.len() as f64).max(0.0),
        });
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.due.len()
    }

    /// Returns the requests of this host that should have been answered by now.
    pub(crate) fn overdue(&self, now: MonoTime) -> usize {
        self.due.iter().filter(|due| **due < now).count()
    }

    pub(crate) fn note_sent(&mut self, due: MonoTime) {
        self.due.push(due);
    }

    pub(crate) fn note_finished(&mut self, due: MonoTime) {
        if let Some(at) = self.due.iter().position(|entry| *entry == due) {
            self.due.swap_remove(at);
        }
    }

    pub(crate) fn take_prefixes(&mut self, prefixes: &[u64]) {
        self.prefixes.clear();
        self.prefixes.extend(prefixes.iter().take(MAX_PREFIXES));
        self.prefixes.sort_unstable();
    }

    pub(crate) fn holds_prefix(&self, prefix: u64) -> bool {
        self.prefixes.binary_search(&prefix).is_ok()
    }

    /// Says whether the server may hold a model; one that never named any may hold all.
    pub(crate) fn may_hold(&self, model: Option<&ModelId>) -> bool {
        let Some(model) = model else { return true };
        self.models.is_empty() || self.models.contains(model)
    }

    pub(crate) fn reported_load(&self) -> f64 {
        self.sample.map_or(0.0, |sample| sample.total)
    }

    pub(crate) fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.sample.map(|sample| now.since(sample.held_at))
    }

    /// Returns the requests of other hosts in the last report and the weight it still has.
    pub(crate) fn others(&self, now: MonoTime) -> (f64, f64) {
        let Some(sample) = self.sample else {
            return (0.0, 0.0);
        };
        let age = now.since(sample.held_at).as_secs_f64();
        let weight = (-age / REPORT_FADE.as_secs_f64()).exp();
        (sample.others, weight)
    }
}
