//! What this host knows of one pool.

use std::time::Duration;

use hollywheel_config::PoolObject;
use hollywheel_types::{HostId, ModelId, MonoTime, Percent, RequestClass, ServerId, SortedMap};

use crate::budget::AttemptBudget;
use crate::health::{HealthState, ServerHealth};
use crate::message::{AttemptKind, AttemptOutcome, ServerReport};
use crate::pressure::PoolPressure;
use crate::server::ServerState;
use crate::settings::PolicySettings;
use crate::status::PoolCounters;
use crate::subset::{SubsetMember, choose_subset};

/// Requests above the share of slots, times the square root of the share, that let a host use
/// slots which other hosts leave free.
const HEADROOM: f64 = 3.0;

/// Tells how an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: AttemptOutcome,
    /// The standardised time.
    pub(crate) sample: Option<f64>,
    /// Whether it was the trial of an ejected server.
    pub(crate) trial: bool,
    /// The point at which it should have been answered.
    pub(crate) due: MonoTime,
}

/// Holds the state of one pool at this host.
#[derive(Clone, Debug)]
pub(crate) struct PoolState {
    pub(crate) servers: SortedMap<ServerId, ServerState>,
    pub(crate) subset: Vec<ServerId>,
    pub(crate) retries: AttemptBudget,
    pub(crate) hedges: AttemptBudget,
    pub(crate) counters: PoolCounters,
    pub(crate) pressure: PoolPressure,
    pub(crate) admitted: f64,
    max_ejected: Percent,
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
            pressure: PoolPressure::default(),
            admitted: 0.0,
            max_ejected: object.max_ejected,
            usable_slots: 0.0,
        }
    }

    /// Takes a new version of the object; servers that stay keep their state.
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

    /// Chooses the subset again from the servers that are not leaving.
    pub(crate) fn refresh_subset(&mut self, settings: &PolicySettings, hosts: &[HostId]) {
        let staying = self.servers.iter().filter(|(_, state)| !state.leaving);
        let members: Vec<SubsetMember> = staying
            .map(|(server, state)| SubsetMember {
                server: server.clone(),
                domain: state.domain.clone(),
            })
            .collect();
        self.subset = choose_subset(&settings.host, hosts, &members, settings.subset_size);
        self.refresh_slots();
    }

    fn refresh_slots(&mut self) {
        let staying = self.servers.values().filter(|state| !state.leaving);
        let slots: f64 = staying.map(|state| f64::from(state.slots)).sum();
        let serving = self
            .subset_states()
            .filter(|state| state.health.is_serving());
        let share = serving.count() as f64 / self.subset.len().max(1) as f64;
        self.usable_slots = slots * share;
    }

    fn subset_states(&self) -> impl Iterator<Item = &ServerState> {
        self.subset.iter().filter_map(|name| self.servers.get(name))
    }

    /// Takes a report and says whether the subset has to be chosen again.
    pub(crate) fn take_report(
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
        state.take_report(now, report, age);
        if in_subset {
            state.take_prefixes(&report.prefixes);
        }
        let after = (state.leaving, state.slots, state.health.is_serving());
        if before != after {
            self.refresh_slots();
        }
        before.0 != after.0
    }

    /// Returns the requests that this host may run at once in the pool.
    pub(crate) fn limit(&self, now: MonoTime, hosts: u32) -> f64 {
        self.share(now, hosts) + self.headroom(hosts) * self.pressure.headroom(now)
    }

    /// Returns the limit for classes that somebody waits for at once: requests of lower classes
    /// that were admitted before the headroom closed must not hold them back.
    pub(crate) fn urgent_limit(&self, now: MonoTime, hosts: u32) -> f64 {
        self.share(now, hosts) + self.headroom(hosts)
    }

    fn headroom(&self, hosts: u32) -> f64 {
        HEADROOM * (self.usable_slots / f64::from(hosts.max(1))).sqrt()
    }

    /// Returns this host's share of the slots that are usable.
    pub(crate) fn share(&self, now: MonoTime, hosts: u32) -> f64 {
        self.usable_slots / f64::from(hosts.max(1)) * self.pressure.factor(now)
    }

    pub(crate) fn note_sent(
        &mut self,
        server: &ServerId,
        kind: AttemptKind,
        due: MonoTime,
    ) -> bool {
        match kind {
            AttemptKind::First => {
                self.counters.first += 1;
                self.retries.count_first();
                self.hedges.count_first();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
        let Some(state) = self.servers.get_mut(server) else {
            return false;
        };
        state.note_sent(due);
        state.health.note_sent()
    }

    pub(crate) fn note_finished(&mut self, now: MonoTime, server: &ServerId, end: AttemptEnd) {
        let AttemptEnd {
            outcome, sample, ..
        } = end;
        self.counters.count(outcome);
        if matches!(outcome, AttemptOutcome::Refused | AttemptOutcome::TimedOut) {
            self.pressure.back_off(now);
        }
        let may_eject = self.may_eject();
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.note_finished(end.due);
        if end.trial {
            end_trial(&mut state.health, now, outcome, sample);
            self.refresh_slots();
            return;
        }
        if !state.health.is_serving() {
            return;
        }
        let bad = judge(&mut state.health, outcome, sample);
        if bad && may_eject {
            state.health.eject(now);
            self.counters.ejections += 1;
            self.refresh_slots();
        }
    }

    fn may_eject(&self) -> bool {
        let ejected = self
            .subset_states()
            .filter(|state| !state.health.is_serving())
            .count();
        let most = (self.max_ejected.factor() * self.subset.len() as f64).floor() as usize;
        ejected < most
    }

    /// Chooses a server for a single trial, if one is due.
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
                    && state.may_hold(model)
                    && state.health.is_trial_due(now)
                    && allows_trial(state.health.state(), now, class)
            })
        };
        let name = self.subset.iter().find(is_due)?.clone();
        self.servers.get_mut(&name)?.health.choose_trial(now);
        Some(name)
    }

    /// Returns the next point at which a trial is due.
    pub(crate) fn next_trial(&self) -> Option<MonoTime> {
        let until = |state: &ServerState| match state.health.state() {
            HealthState::Ejected { until } => Some(until),
            _ => None,
        };
        self.subset_states().filter_map(until).min()
    }
}

/// Transactions are no trials unless other classes had their chance, since they may not be
/// repeated.
fn allows_trial(state: HealthState, now: MonoTime, class: RequestClass) -> bool {
    const OVERDUE: Duration = Duration::from_secs(5);
    match (class, state) {
        (RequestClass::Transaction, HealthState::Ejected { until }) => now.since(until) >= OVERDUE,
        _ => true,
    }
}

fn end_trial(
    health: &mut ServerHealth,
    now: MonoTime,
    outcome: AttemptOutcome,
    sample: Option<f64>,
) {
    let good = match outcome {
        AttemptOutcome::Answered => Some(ServerHealth::is_trial_good(sample)),
        AttemptOutcome::Refused | AttemptOutcome::Cancelled => None,
        AttemptOutcome::Failed | AttemptOutcome::TimedOut => Some(false),
    };
    health.end_trial(now, good);
}

fn judge(health: &mut ServerHealth, outcome: AttemptOutcome, sample: Option<f64>) -> bool {
    match outcome {
        AttemptOutcome::Answered => health.note_answer(sample),
        AttemptOutcome::Failed | AttemptOutcome::TimedOut => health.note_failure(),
        AttemptOutcome::Refused | AttemptOutcome::Cancelled => false,
    }
}
