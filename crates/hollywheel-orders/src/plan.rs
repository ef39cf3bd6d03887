//! Which order a pool needs next.

use hollywheel_config::{PoolObject, ServerEntry};
use hollywheel_types::{Incarnation, ModelId, MonoTime, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{EngineReport, OrderAction};

/// Remembers an order to load a model until the engine reports the model or ought to have.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// The engine.
    pub server: ServerId,
    /// Its process.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// When the order is no longer counted on.
    pub until: MonoTime,
}

/// Holds what the engines of a pool reported in one survey.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSurvey {
    /// The reports of the engines that answered.
    pub reports: Vec<EngineReport>,
    /// The engines that did not answer.
    pub silent: usize,
}

/// Describes an order that would bring a pool closer to what its object asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlannedOrder {
    /// The engine.
    pub server: ServerId,
    /// Its process.
    pub incarnation: Incarnation,
    /// What it should do.
    pub action: OrderAction,
}

impl PlannedOrder {
    /// Says whether the order still makes sense for what the engine reports now.
    pub fn holds_for(&self, report: &EngineReport) -> bool {
        if report.server != self.server || report.incarnation != self.incarnation {
            return false;
        }
        match &self.action {
            OrderAction::LoadModel(model) => !report.leaving && !report.models.contains(model),
            OrderAction::UnloadModel(model) => report.models.contains(model),
        }
    }
}

/// Returns the order that is needed next. Loads come first; nothing is unloaded while a model is
/// missing or while an engine is silent, since that one may be the only other holder.
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
        if let Some(order) = load_on(survey, pending, &placement.model) {
            return Some(order);
        }
    }
    if complete && pending.is_empty() && survey.silent == 0 {
        return surplus(pool, survey);
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

fn load_on(survey: &PoolSurvey, pending: &[PendingLoad], model: &ModelId) -> Option<PlannedOrder> {
    let is_loading = |report: &EngineReport| {
        pending
            .iter()
            .any(|load| load.server == report.server && load.model == *model)
    };
    let loads = |report: &EngineReport| {
        let loading = pending.iter().filter(|load| load.server == report.server);
        report.models.len() + loading.count()
    };
    let engine = survey
        .reports
        .iter()
        .filter(|report| !report.leaving && !report.models.contains(model))
        .filter(|report| !is_loading(report))
        .min_by_key(|report| (loads(report), rank(&report.server, model)))?;
    Some(PlannedOrder {
        server: engine.server.clone(),
        incarnation: engine.incarnation,
        action: OrderAction::LoadModel(model.clone()),
    })
}

fn surplus(pool: &PoolObject, survey: &PoolSurvey) -> Option<PlannedOrder> {
    for report in survey.reports.iter().filter(|report| !report.leaving) {
        for model in &report.models {
            let wanted = pool
                .models
                .iter()
                .find(|placement| placement.model == *model)
                .map_or(0, |placement| placement.replicas);
            let held = holders(survey, model).count();
            if held > usize::try_from(wanted).unwrap_or(usize::MAX) {
                let last = holders(survey, model).max_by_key(|r| rank(&r.server, model))?;
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

fn rank(server: &ServerId, model: &ModelId) -> u64 {
    xxh3_64(format!("{server}/{model}").as_bytes())
}

/// Returns the entry of an engine.
pub(crate) fn entry_of<'a>(pool: &'a PoolObject, server: &ServerId) -> Option<&'a ServerEntry> {
    pool.servers.iter().find(|entry| entry.name == *server)
}
