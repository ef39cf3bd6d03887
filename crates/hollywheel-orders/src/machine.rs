//! The state machine that reconciles the pools assigned to one host.

use std::sync::Arc;

use hollywheel_config::{PoolKind, PoolObject, PublishedSet};
use hollywheel_types::{HostId, MonoTime, PoolId, RequestRate, SortedMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{OrderId, OrderInput, OrderOutput, OrderSettings};
use crate::placement::{PlacementContext, PoolPlacement};

/// Reconciles the models that engines hold with those that the configuration asks for.
#[derive(Debug)]
pub struct OrderMachine {
    settings: OrderSettings,
    random: StdRng,
    set: Arc<PublishedSet>,
    hosts: Vec<HostId>,
    placements: SortedMap<PoolId, PoolPlacement>,
    leaving: bool,
    last_ticket: u64,
}

impl OrderMachine {
    /// Creates a state machine with an empty configuration.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            set: Arc::default(),
            hosts: Vec::new(),
            placements: SortedMap::new(),
            leaving: false,
            last_ticket: 0,
        }
    }

    /// Processes an input and returns the resulting outputs.
    pub fn handle(&mut self, now: MonoTime, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        match input {
            OrderInput::Config(set) => self.set = set,
            OrderInput::Hosts(hosts) => self.hosts = hosts,
            OrderInput::Leave => self.leaving = true,
            OrderInput::Report { ticket, report } => {
                self.dispatch(now, &mut outputs, |placement, context| {
                    placement.handle_report(context, ticket, report.as_ref())
                });
            }
            OrderInput::Store { ticket, result } => {
                self.dispatch(now, &mut outputs, |placement, context| {
                    placement.handle_store_reply(context, ticket, &result)
                });
            }
            OrderInput::Answer { order, answer } => {
                self.dispatch(now, &mut outputs, |placement, context| {
                    placement.handle_answer(context, order, answer)
                });
            }
            OrderInput::Tick => {}
        }
        self.assign_pools(now, &mut outputs);
        self.dispatch(now, &mut outputs, |placement, context| {
            placement.run_due(context);
            false
        });
        outputs
    }

    /// Returns the time at which [`OrderInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.placements.values().map(PoolPlacement::due).min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &OrderSettings {
        &self.settings
    }

    /// Starts reconciling the pools that this host owns and stops for those that it no longer owns.
    fn assign_pools(&mut self, now: MonoTime, outputs: &mut Vec<OrderOutput>) {
        let set = Arc::clone(&self.set);
        for pool in set.set.pools.iter().filter(|pool| has_placements(pool)) {
            if !self.is_owner(&pool.name) {
                continue;
            }
            let settings = &self.settings;
            self.placements
                .get_or_insert_with(pool.name.clone(), || {
                    PoolPlacement::new(now, settings, pool.clone())
                })
                .replace(now, pool.clone());
        }
        let ended: Vec<PoolId> = self
            .placements
            .iter()
            .filter(|(name, placement)| placement.can_end() && !self.should_keep(&set, name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            if let Some(mut placement) = self.placements.remove(&name) {
                let mut context = self.context(now, outputs);
                placement.release(&mut context);
            }
        }
    }

    fn should_keep(&self, set: &PublishedSet, name: &PoolId) -> bool {
        set.set.pool(name).is_some_and(has_placements) && self.is_owner(name)
    }

    /// Returns whether this host owns a pool by rendezvous hashing over the alive hosts.
    fn is_owner(&self, pool: &PoolId) -> bool {
        if self.leaving {
            return false;
        }
        let first = self
            .hosts
            .iter()
            .max_by_key(|host| rendezvous_rank(host, pool));
        first == Some(&self.settings.host)
    }

    fn context<'a>(
        &'a mut self,
        now: MonoTime,
        outputs: &'a mut Vec<OrderOutput>,
    ) -> PlacementContext<'a> {
        let order = OrderId(self.random.random());
        PlacementContext {
            now,
            load_rate: load_rate(&self.settings, &self.set),
            settings: &self.settings,
            last_ticket: &mut self.last_ticket,
            outputs,
            order,
        }
    }

    /// Calls `step` for each pool until it returns true, that is, until one accepts the input.
    fn dispatch(
        &mut self,
        now: MonoTime,
        outputs: &mut Vec<OrderOutput>,
        mut step: impl FnMut(&mut PoolPlacement, &mut PlacementContext<'_>) -> bool,
    ) {
        let mut placements = std::mem::take(&mut self.placements);
        for placement in placements.values_mut() {
            let mut context = self.context(now, outputs);
            if step(placement, &mut context) {
                break;
            }
        }
        self.placements = placements;
    }
}

/// Returns whether the pool has engines and models to place on them.
fn has_placements(pool: &PoolObject) -> bool {
    pool.kind == PoolKind::Engine && !pool.models.is_empty() && !pool.servers.is_empty()
}

/// Returns the share of the weight store's load rate that one pool may use.
fn load_rate(settings: &OrderSettings, set: &PublishedSet) -> RequestRate {
    let pools = set
        .set
        .pools
        .iter()
        .filter(|pool| has_placements(pool))
        .count();
    let pools = u32::try_from(pools.max(1)).unwrap_or(u32::MAX);
    RequestRate::per_second(settings.load_rate.get() / f64::from(pools))
}

fn rendezvous_rank(host: &HostId, pool: &PoolId) -> u64 {
    xxh3_64(format!("{host}/{pool}").as_bytes())
}
