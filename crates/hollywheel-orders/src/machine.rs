//! The order machine of one host.

use std::sync::Arc;

use hollywheel_config::{PoolKind, PoolObject, PublishedSet};
use hollywheel_types::{HostId, MonoTime, PoolId, RequestRate, SortedMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::duty::{DutyContext, PoolDuty};
use crate::message::{OrderId, OrderInput, OrderOutput, OrderSettings};

/// Reconciles the models that engines hold with those that the objects ask for.
#[derive(Debug)]
pub struct OrderMachine {
    settings: OrderSettings,
    random: StdRng,
    set: Arc<PublishedSet>,
    hosts: Vec<HostId>,
    duties: SortedMap<PoolId, PoolDuty>,
    leaving: bool,
    last_ticket: u64,
}

impl OrderMachine {
    /// Creates a machine without objects.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            set: Arc::default(),
            hosts: Vec::new(),
            duties: SortedMap::new(),
            leaving: false,
            last_ticket: 0,
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, now: MonoTime, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        match input {
            OrderInput::Config(set) => self.set = set,
            OrderInput::Hosts(hosts) => self.hosts = hosts,
            OrderInput::Leave => self.leaving = true,
            OrderInput::Report { ticket, report } => {
                self.any_duty(now, &mut outputs, |duty, context| {
                    duty.take_report(context, ticket, report.as_ref())
                });
            }
            OrderInput::Store { ticket, result } => {
                self.any_duty(now, &mut outputs, |duty, context| {
                    duty.take_store(context, ticket, &result)
                });
            }
            OrderInput::Answer { order, answer } => {
                self.any_duty(now, &mut outputs, |duty, context| {
                    duty.take_answer(context, order, answer)
                });
            }
            OrderInput::Tick => {}
        }
        self.assign(now, &mut outputs);
        self.any_duty(now, &mut outputs, |duty, context| {
            duty.run_due(context);
            false
        });
        outputs
    }

    /// Returns the point at which [`OrderInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.duties.values().map(PoolDuty::due).min()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &OrderSettings {
        &self.settings
    }

    /// Begins the duties that are this host's and ends those that no longer are.
    fn assign(&mut self, now: MonoTime, outputs: &mut Vec<OrderOutput>) {
        let set = Arc::clone(&self.set);
        for pool in set.set.pools.iter().filter(|pool| is_placed(pool)) {
            if !self.owns(&pool.name) {
                continue;
            }
            let settings = &self.settings;
            self.duties
                .get_or_insert_with(pool.name.clone(), || {
                    PoolDuty::new(now, settings, pool.clone())
                })
                .replace(now, pool.clone());
        }
        let ended: Vec<PoolId> = self
            .duties
            .iter()
            .filter(|(name, duty)| duty.is_quiet() && !self.keeps(&set, name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            if let Some(mut duty) = self.duties.remove(&name) {
                let mut context = self.context(now, outputs);
                duty.release(&mut context);
            }
        }
    }

    fn keeps(&self, set: &PublishedSet, name: &PoolId) -> bool {
        set.set.pool(name).is_some_and(is_placed) && self.owns(name)
    }

    /// Says whether this host comes first for a pool among the hosts that are alive.
    fn owns(&self, pool: &PoolId) -> bool {
        if self.leaving {
            return false;
        }
        let first = self.hosts.iter().max_by_key(|host| rank(host, pool));
        first == Some(&self.settings.host)
    }

    fn context<'a>(
        &'a mut self,
        now: MonoTime,
        outputs: &'a mut Vec<OrderOutput>,
    ) -> DutyContext<'a> {
        let order = OrderId(self.random.random());
        DutyContext {
            now,
            load_rate: load_rate(&self.settings, &self.set),
            settings: &self.settings,
            last_ticket: &mut self.last_ticket,
            outputs,
            order,
        }
    }

    /// Runs a step of each duty until one says that the input was for it.
    fn any_duty(
        &mut self,
        now: MonoTime,
        outputs: &mut Vec<OrderOutput>,
        mut step: impl FnMut(&mut PoolDuty, &mut DutyContext<'_>) -> bool,
    ) {
        let mut duties = std::mem::take(&mut self.duties);
        for duty in duties.values_mut() {
            let mut context = self.context(now, outputs);
            if step(duty, &mut context) {
                break;
            }
        }
        self.duties = duties;
    }
}

/// Says whether models are placed on the engines of a pool.
fn is_placed(pool: &PoolObject) -> bool {
    pool.kind == PoolKind::Engine && !pool.models.is_empty() && !pool.servers.is_empty()
}

/// Returns the share of the weight store's rate that one pool may use.
fn load_rate(settings: &OrderSettings, set: &PublishedSet) -> RequestRate {
    let pools = set.set.pools.iter().filter(|pool| is_placed(pool)).count();
    let pools = u32::try_from(pools.max(1)).unwrap_or(u32::MAX);
    RequestRate::per_second(settings.load_rate.get() / f64::from(pools))
}

fn rank(host: &HostId, pool: &PoolId) -> u64 {
    xxh3_64(format!("{host}/{pool}").as_bytes())
}
