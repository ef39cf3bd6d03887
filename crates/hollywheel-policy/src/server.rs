//! State that this host keeps about one backend server.

use std::time::Duration;

use hollywheel_types::{DomainId, Incarnation, ModelId, MonoTime};

use crate::health::ServerHealth;
use crate::message::ServerReport;

/// Time in which the weight of a load report falls by a factor of e.
const REPORT_DECAY: Duration = Duration::from_millis(75);
/// Bound on the prompt prefixes kept for one server.
const MAX_PREFIXES: usize = 1024;
/// Bound on the models kept for one server.
const MAX_MODELS: usize = 64;

/// Load of a server according to one report.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    measured_at: MonoTime,
    /// The number of running and queued requests.
    total: f64,
    /// The part of the total that this host did not send.
    from_others: f64,
}

/// State of one backend server at this host.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) domain: DomainId,
    /// The times after which this host's requests in flight count as overdue.
    due_times: Vec<MonoTime>,
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
            due_times: Vec::new(),
            leaving: false,
            health: ServerHealth::new(now),
            slots: slots.max(1),
            incarnation: None,
            models: Vec::new(),
            prefixes: Vec::new(),
            sample: None,
        }
    }

    /// Applies a load report.
    ///
    /// A report of an older incarnation is ignored. Of a report that is older than the latest one
    /// only the `leaving` flag counts. A newer incarnation starts with clean health.
    pub(crate) fn apply_report(&mut self, now: MonoTime, report: &ServerReport, age: Duration) {
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
        let measured_at = now - age;
        if self
            .sample
            .is_some_and(|sample| measured_at < sample.measured_at)
        {
            return;
        }
        self.slots = report.slots.max(1);
        self.models.clear();
        self.models
            .extend(report.models.iter().take(MAX_MODELS).cloned());
        let total = f64::from(report.running) + f64::from(report.queued);
        self.sample = Some(LoadSample {
            measured_at,
            total,
            from_others: (total - self.due_times.len() as f64).max(0.0),
        });
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.due_times.len()
    }

    /// Returns the number of overdue requests of this host.
    pub(crate) fn overdue(&self, now: MonoTime) -> usize {
        self.due_times.iter().filter(|due| **due < now).count()
    }

    pub(crate) fn record_sent(&mut self, due: MonoTime) {
        self.due_times.push(due);
    }

    pub(crate) fn record_finished(&mut self, due: MonoTime) {
        if let Some(index) = self.due_times.iter().position(|entry| *entry == due) {
            self.due_times.swap_remove(index);
        }
    }

    pub(crate) fn set_prefixes(&mut self, prefixes: &[u64]) {
        self.prefixes.clear();
        self.prefixes.extend(prefixes.iter().take(MAX_PREFIXES));
        self.prefixes.sort_unstable();
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.binary_search(&prefix).is_ok()
    }

    /// Returns whether the server may have a model loaded; a server that reports no models may have
    /// any.
    pub(crate) fn may_have_model(&self, model: Option<&ModelId>) -> bool {
        let Some(model) = model else { return true };
        self.models.is_empty() || self.models.contains(model)
    }

    pub(crate) fn reported_total(&self) -> f64 {
        self.sample.map_or(0.0, |sample| sample.total)
    }

    pub(crate) fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.sample.map(|sample| now.since(sample.measured_at))
    }

    /// Returns the number of requests of other hosts in the latest report and the weight of that
    /// report, from 0 to 1.
    pub(crate) fn load_of_others(&self, now: MonoTime) -> (f64, f64) {
        let Some(sample) = self.sample else {
            return (0.0, 0.0);
        };
        let age = now.since(sample.measured_at).as_secs_f64();
        let weight = (-age / REPORT_DECAY.as_secs_f64()).exp();
        (sample.from_others, weight)
    }
}
