//! State that this host keeps about one pool.

use std::time::Duration;

use hollywheel_config::PoolObject;
use hollywheel_types::{HostId, ModelId, MonoTime, Percent, RequestClass, ServerId, SortedMap};

use crate::adaptive_limit::AdaptiveLimit;
use crate::budget::AttemptBudget;
use crate::health::{HealthState, ServerHealth};
use crate::message::{AttemptKind, AttemptOutcome, ServerReport};
use crate::server::ServerState;
use crate::settings::PolicySettings;
use crate::status::PoolCounters;
use crate::subset::{SubsetMember, choose_subset};

/// Requests that a host may run above its share of the slots, as a multiple of the square root of
/// that share. This headroom lets it use slots that other hosts leave free.
const HEADROOM_FACTOR: f64 = 3.0;

/// Result of an attempt, as far as pool and server health depend on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome,
    /// The standardised latency, see `LatencyBaseline::standardise`.
    pub(crate) sample: Option<f64>,
    /// Whether it was the trial request of an ejected server.
    pub(crate) trial: bool,
    /// The time after which it counted as overdue.
    pub(crate) due: MonoTime,
}

/// State of one pool at this host.
#[derive(Clone, Debug)]
pub(crate) struct PoolState {
    pub(crate) servers: SortedMap<ServerId, ServerState>,
    pub(crate) subset: Vec<ServerId>,
    pub(crate) retries: AttemptBudget,
    pub(crate) hedges: AttemptBudget,
    pub(crate) counters: PoolCounters,
    pub(crate) adaptive_limit: AdaptiveLimit,
    /// The requests in progress, each counted as the fraction of its time spent in the pool.
    pub(crate) admitted: f64,
    max_ejected: Percent,
    /// The slots of the pool, scaled by the fraction of the subset that is not ejected.
    usable_slots: f64,
}

impl PoolState {
    pub(crate) fn new(object: &PoolObject) -> Self {
        Self {
            servers: SortedMap::new(),
            subset: Vec::new(),
            retries: AttemptBudget::new(object.retry_budget),
            hedges: AttemptBudget::new(object.hedge_budget),
            counters: PoolCounters::default(),
            adaptive_limit: AdaptiveLimit::default(),
            admitted: 0.0,
            max_ejected: object.max_ejected,
            usable_slots: 0.0,
        }
    }

    /// Applies a new version of the pool object; servers in both versions keep their state.
    pub(crate) fn install(&mut self, now: MonoTime, object: &PoolObject) {
        self.retries.set_share(object.retry_budget);
        self.hedges.set_share(object.hedge_budget);
        self.max_ejected = object.max_ejected;
        let mut servers = Vec::with_capacity(object.servers.len());
        for entry in &object.servers {
            let mut state = self
                .servers
                .remove(&entry.name)
                .unwrap_or_else(|| ServerState::new(now, entry.domain.clone(), object.slots));
            state.domain = entry.domain.clone();
            servers.push((entry.name.clone(), state));
        }
        self.servers = servers.into_iter().collect();
    }

    /// Recomputes the subset from the servers that are not leaving.
    pub(crate) fn refresh_subset(&mut self, settings: &PolicySettings, hosts: &[HostId]) {
        let remaining = self.servers.iter().filter(|(_, state)| !state.leaving);
        let members: Vec<SubsetMember> = remaining
            .map(|(server, state)| SubsetMember {
                server: server.clone(),
                domain: state.domain.clone(),
            })
            .collect();
        self.subset = choose_subset(&settings.host, hosts, &members, settings.subset_size);
        self.update_usable_slots();
    }

    fn update_usable_slots(&mut self) {
        let remaining = self.servers.values().filter(|state| !state.leaving);
        let slots: f64 = remaining.map(|state| f64::from(state.slots)).sum();
        let serving = self
            .subset_states()
            .filter(|state| state.health.is_serving());
        let share = serving.count() as f64 / self.subset.len().max(1) as f64;
        self.usable_slots = slots * share;
    }

    fn subset_states(&self) -> impl Iterator<Item = &ServerState> {
        self.subset.iter().filter_map(|name| self.servers.get(name))
    }

    /// Applies a load report and returns whether the subset must be recomputed.
    pub(crate) fn apply_report(
        &mut self,
        now: MonoTime,
        report: &ServerReport,
        age: Duration,
    ) -> bool {
        let in_subset = self.subset.binary_search(&report.server).is_ok();
        let Some(state) = self.servers.get_mut(&report.server) else {
            return false;
        };
        let before = (state.leaving, state.slots, state.health.is_serving());
        state.apply_report(now, report, age);
        if in_subset {
            state.set_prefixes(&report.prefixes);
        }
        let after = (state.leaving, state.slots, state.health.is_serving());
        if before != after {
            self.update_usable_slots();
        }
        before.0 != after.0
    }

    /// Returns the number of requests that this host may run concurrently in the pool.
    pub(crate) fn limit(&self, now: MonoTime, host_count: u32) -> f64 {
        self.share(now, host_count)
            + self.headroom(host_count) * self.adaptive_limit.headroom_factor(now)
    }

    /// Returns the limit for urgent classes, which always includes the full headroom: requests of
    /// lower classes that were admitted before the headroom shrank must not block urgent ones.
    pub(crate) fn urgent_limit(&self, now: MonoTime, host_count: u32) -> f64 {
        self.share(now, host_count) + self.headroom(host_count)
    }

    fn headroom(&self, host_count: u32) -> f64 {
        HEADROOM_FACTOR * (self.usable_slots / f64::from(host_count.max(1))).sqrt()
    }

    /// Returns this host's share of the usable slots.
    pub(crate) fn share(&self, now: MonoTime, host_count: u32) -> f64 {
        self.usable_slots / f64::from(host_count.max(1)) * self.adaptive_limit.factor(now)
    }

    /// Counts an attempt that was sent and returns whether it is a trial request.
    pub(crate) fn record_sent(
        &mut self,
        server: &ServerId,
        kind: AttemptKind,
        due: MonoTime,
    ) -> bool {
        match kind {
            AttemptKind::First => {
                self.counters.first += 1;
                self.retries.record_first_attempt();
                self.hedges.record_first_attempt();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
        let Some(state) = self.servers.get_mut(server) else {
            return false;
        };
        state.record_sent(due);
        state.health.record_sent()
    }

    pub(crate) fn record_finished(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        result: AttemptResult,
    ) {
        let AttemptResult {
            outcome, sample, ..
        } = result;
        self.counters.count(outcome);
        if matches!(outcome, AttemptOutcome::Refused | AttemptOutcome::TimedOut) {
            self.adaptive_limit.back_off(now);
        }
        let may_eject = self.may_eject();
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.record_finished(result.due);
        if result.trial {
            end_trial(&mut state.health, now, outcome, sample);
            self.update_usable_slots();
            return;
        }
        if !state.health.is_serving() {
            return;
        }
        let should_eject = record_health_outcome(&mut state.health, outcome, sample);
        if should_eject && may_eject {
            state.health.eject(now);
            self.counters.ejections += 1;
            self.update_usable_slots();
        }
    }

    fn may_eject(&self) -> bool {
        let ejected = self
            .subset_states()
            .filter(|state| !state.health.is_serving())
            .count();
        let max_ejected = (self.max_ejected.factor() * self.subset.len() as f64).floor() as usize;
        ejected < max_ejected
    }

    /// Chooses an ejected server that is due for its trial request, if there is one.
    pub(crate) fn choose_trial(
        &mut self,
        now: MonoTime,
        class: RequestClass,
        model: Option<&ModelId>,
    ) -> Option<ServerId> {
        let servers = &self.servers;
        let is_due = |name: &&ServerId| {
            servers.get(*name).is_some_and(|state| {
                !state.leaving
                    && state.may_have_model(model)
                    && state.health.is_trial_due(now)
                    && allows_trial(state.health.state(), now, class)
            })
        };
        let name = self.subset.iter().find(is_due)?.clone();
        self.servers.get_mut(&name)?.health.choose_trial(now);
        Some(name)
    }

    /// Returns the earliest time at which an ejected server is due for a trial.
    pub(crate) fn next_trial(&self) -> Option<MonoTime> {
        let until = |state: &ServerState| match state.health.state() {
            HealthState::Ejected { until } => Some(until),
            _ => None,
        };
        self.subset_states().filter_map(until).min()
    }
}

/// Returns whether a request of the class may serve as a trial.
///
/// A transaction may not be repeatable, so it does only if no request of another class took the
/// trial within five seconds.
fn allows_trial(state: HealthState, now: MonoTime, class: RequestClass) -> bool {
    const MIN_WAIT: Duration = Duration::from_secs(5);
    match (class, state) {
        (RequestClass::Transaction, HealthState::Ejected { until }) => now.since(until) >= MIN_WAIT,
        _ => true,
    }
}

fn end_trial(
    health: &mut ServerHealth,
    now: MonoTime,
    outcome: AttemptOutcome,
    sample: Option<f64>,
) {
    let is_good = match outcome {
        AttemptOutcome::Answered => Some(ServerHealth::is_trial_good(sample)),
        AttemptOutcome::Refused | AttemptOutcome::Cancelled => None,
        AttemptOutcome::Failed | AttemptOutcome::TimedOut => Some(false),
    };
    health.end_trial(now, is_good);
}

fn record_health_outcome(
    health: &mut ServerHealth,
    outcome: AttemptOutcome,
    sample: Option<f64>,
) -> bool {
    match outcome {
        AttemptOutcome::Answered => health.record_answer(sample),
        AttemptOutcome::Failed | AttemptOutcome::TimedOut => health.record_failure(),
        AttemptOutcome::Refused | AttemptOutcome::Cancelled => false,
    }
}
