//! Planning of the next order that a pool needs.

use hollywheel_config::{PoolObject, ServerEntry};
use hollywheel_types::{Incarnation, ModelId, MonoTime, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{EngineReport, OrderAction};

/// A load that was ordered and that the engine has not reported yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// The engine.
    pub server: ServerId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// When the load stops counting as pending.
    pub until: MonoTime,
}

/// The state of a pool's engines as found by one survey.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSurvey {
    /// The reports of the engines that answered.
    pub reports: Vec<EngineReport>,
    /// The number of engines that did not answer.
    pub unreachable: usize,
}

/// An order that would bring a pool closer to its configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlannedOrder {
    /// The engine.
    pub server: ServerId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The action for the engine.
    pub action: OrderAction,
}

impl PlannedOrder {
    /// Returns whether the order still applies to the engine in its reported state.
    pub fn is_applicable(&self, report: &EngineReport) -> bool {
        if report.server != self.server || report.incarnation != self.incarnation {
            return false;
        }
        match &self.action {
            OrderAction::LoadModel(model) => !report.leaving && !report.models.contains(model),
            OrderAction::UnloadModel(model) => report.models.contains(model),
        }
    }
}

/// Returns the next order that a pool needs. Loads come first. Nothing is unloaded while a model
/// lacks replicas or while an engine is unreachable, since that engine may be the only other one
/// that holds the model.
pub(crate) fn next_order(
    pool: &PoolObject,
    survey: &PoolSurvey,
    pending: &[PendingLoad],
    may_load: bool,
) -> Option<PlannedOrder> {
    let mut complete = true;
    for placement in &pool.models {
        let wanted = usize::try_from(placement.replicas).unwrap_or(usize::MAX);
        let held = holders(survey, &placement.model).count();
        let loading = pending
            .iter()
            .filter(|load| load.model == placement.model)
            .count();
        complete &= held >= wanted;
        if held + loading >= wanted || !may_load {
            continue;
        }
        if let Some(order) = plan_load(survey, pending, &placement.model) {
            return Some(order);
        }
    }
    if complete && pending.is_empty() && survey.unreachable == 0 {
        return plan_unload(pool, survey);
    }
    None
}

fn holders<'a>(
    survey: &'a PoolSurvey,
    model: &'a ModelId,
) -> impl Iterator<Item = &'a EngineReport> {
    survey
        .reports
        .iter()
        .filter(move |report| !report.leaving && report.models.contains(model))
}

fn plan_load(
    survey: &PoolSurvey,
    pending: &[PendingLoad],
    model: &ModelId,
) -> Option<PlannedOrder> {
    let is_loading = |report: &EngineReport| {
        pending
            .iter()
            .any(|load| load.server == report.server && load.model == *model)
    };
    let model_count = |report: &EngineReport| {
        let loading = pending.iter().filter(|load| load.server == report.server);
        report.models.len() + loading.count()
    };
    let engine = survey
        .reports
        .iter()
        .filter(|report| !report.leaving && !report.models.contains(model))
        .filter(|report| !is_loading(report))
        .min_by_key(|report| (model_count(report), rendezvous_rank(&report.server, model)))?;
    Some(PlannedOrder {
        server: engine.server.clone(),
        incarnation: engine.incarnation,
        action: OrderAction::LoadModel(model.clone()),
    })
}

fn plan_unload(pool: &PoolObject, survey: &PoolSurvey) -> Option<PlannedOrder> {
    for report in survey.reports.iter().filter(|report| !report.leaving) {
        for model in &report.models {
            let wanted = pool
                .models
                .iter()
                .find(|placement| placement.model == *model)
                .map_or(0, |placement| placement.replicas);
            let held = holders(survey, model).count();
            if held > usize::try_from(wanted).unwrap_or(usize::MAX) {
                let last =
                    holders(survey, model).max_by_key(|r| rendezvous_rank(&r.server, model))?;
                return Some(PlannedOrder {
                    server: last.server.clone(),
                    incarnation: last.incarnation,
                    action: OrderAction::UnloadModel(model.clone()),
                });
            }
        }
    }
    None
}

fn rendezvous_rank(server: &ServerId, model: &ModelId) -> u64 {
    xxh3_64(format!("{server}/{model}").as_bytes())
}

/// Returns the pool's entry for an engine.
pub(crate) fn find_engine<'a>(pool: &'a PoolObject, server: &ServerId) -> Option<&'a ServerEntry> {
    pool.servers.iter().find(|entry| entry.name == *server)
}
