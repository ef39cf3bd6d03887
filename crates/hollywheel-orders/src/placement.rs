//! The reconciliation of one pool: surveys its engines and issues the orders it needs.

use std::time::Duration;

use hollywheel_config::PoolObject;
use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{HostId, Incarnation, MonoTime, RequestRate};

use crate::lease::{LeaseStep, PoolLease};
use crate::message::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderId, OrderOutput, OrderSettings,
    OrderTicket,
};
use crate::plan::{PendingLoad, PlannedOrder, PoolSurvey, find_engine, next_order};

/// Time between two surveys of a pool that needs no change.
const IDLE_SURVEY_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two surveys of a pool that is being changed.
const ACTIVE_SURVEY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last order at which the lease is released.
const LEASE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What the reconciliation of a pool is waiting for.
#[derive(Debug)]
enum PlacementStep {
    /// The next survey.
    Idle,
    /// The reports of all engines.
    Survey {
        tickets: Vec<OrderTicket>,
        survey: PoolSurvey,
    },
    /// The read or write of the lease row.
    Lease(OrderTicket, PlannedOrder),
    /// A fresh report of the engine that the order is meant for.
    Precondition(OrderTicket, PlannedOrder),
    /// The answer to an order.
    Order(OrderId, PlannedOrder),
}

/// What the reconciliation of a pool needs from the state machine that owns it.
pub(crate) struct PlacementContext<'a> {
    pub now: MonoTime,
    pub settings: &'a OrderSettings,
    pub last_ticket: &'a mut u64,
    pub outputs: &'a mut Vec<OrderOutput>,
    pub load_rate: RequestRate,
    pub order: OrderId,
}

impl PlacementContext<'_> {
    fn ticket(&mut self) -> OrderTicket {
        *self.last_ticket += 1;
        OrderTicket(*self.last_ticket)
    }

    fn own(&self) -> (&HostId, Incarnation) {
        (&self.settings.host, self.settings.incarnation)
    }
}

/// Reconciles one pool with its configuration object, one order at a time.
#[derive(Debug)]
pub(crate) struct PoolPlacement {
    pub pool: PoolObject,
    lease: PoolLease,
    step: PlacementStep,
    /// When the next survey begins, or when the current step times out.
    due: MonoTime,
    pending: Vec<PendingLoad>,
    next_load: MonoTime,
    last_order: Option<MonoTime>,
}

impl PoolPlacement {
    /// Creates a reconciliation that begins with a survey.
    pub fn new(now: MonoTime, settings: &OrderSettings, pool: PoolObject) -> Self {
        let lease = PoolLease::new(pool.name.clone(), settings.lease_duration);
        Self {
            pool,
            lease,
            step: PlacementStep::Idle,
            due: now + ACTIVE_SURVEY_INTERVAL,
            pending: Vec::new(),
            next_load: now,
            last_order: None,
        }
    }

    /// Returns when [`Self::run_due`] must run next.
    pub const fn due(&self) -> MonoTime {
        self.due
    }

    /// Returns whether the reconciliation may end, that is, whether no order is in flight.
    pub const fn can_end(&self) -> bool {
        !matches!(self.step, PlacementStep::Order(..))
    }

    fn margin(&self, settings: &OrderSettings) -> Duration {
        if self.pool.fencing {
            settings.fenced_margin
        } else {
            settings.unfenced_margin
        }
    }

    /// Releases the lease.
    pub fn release(&mut self, context: &mut PlacementContext<'_>) {
        let Some(request) = self.lease.release(context.own()) else {
            return;
        };
        let ticket = context.ticket();
        context.outputs.push(OrderOutput::Store { ticket, request });
    }

    /// Runs the action that is due, if any.
    pub fn run_due(&mut self, context: &mut PlacementContext<'_>) {
        if self.due > context.now {
            return;
        }
        let now = context.now;
        match std::mem::replace(&mut self.step, PlacementStep::Idle) {
            PlacementStep::Idle => self.start_survey(context),
            PlacementStep::Survey { tickets, survey } => {
                let unreachable = survey.unreachable + tickets.len();
                let survey = PoolSurvey {
                    unreachable,
                    ..survey
                };
                self.finish_survey(context, &survey);
            }
            PlacementStep::Lease(..) => {
                self.lease.handle_write_outcome(None);
                self.due = now + ACTIVE_SURVEY_INTERVAL;
            }
            PlacementStep::Precondition(..) => self.due = now + ACTIVE_SURVEY_INTERVAL,
            PlacementStep::Order(_, planned) => {
                self.finish_order(context, &planned, OrderAnswer::Unknown);
            }
        }
    }

    fn start_survey(&mut self, context: &mut PlacementContext<'_>) {
        let kept = self
            .last_order
            .is_some_and(|at| context.now.since(at) < LEASE_IDLE_TIMEOUT);
        if self.lease.is_held() && !kept {
            self.release(context);
        }
        self.pending.retain(|load| load.until > context.now);
        let mut tickets = Vec::new();
        for engine in &self.pool.servers {
            let ticket = context.ticket();
            tickets.push(ticket);
            context.outputs.push(OrderOutput::ReadEngine {
                ticket,
                server: engine.name.clone(),
                address: engine.address,
            });
        }
        self.due = context.now + context.settings.order_timeout;
        self.step = PlacementStep::Survey {
            tickets,
            survey: PoolSurvey::default(),
        };
    }

    /// Handles the report of an engine; returns whether this pool was waiting for it.
    pub fn handle_report(
        &mut self,
        context: &mut PlacementContext<'_>,
        ticket: OrderTicket,
        report: Option<&EngineReport>,
    ) -> bool {
        match &mut self.step {
            PlacementStep::Survey { tickets, survey } => {
                let Some(at) = tickets.iter().position(|wanted| *wanted == ticket) else {
                    return false;
                };
                tickets.swap_remove(at);
                match report {
                    Some(report) => survey.reports.push(report.clone()),
                    None => survey.unreachable += 1,
                }
                if tickets.is_empty() {
                    let survey = std::mem::take(survey);
                    self.finish_survey(context, &survey);
                }
                true
            }
            PlacementStep::Precondition(wanted, planned) if *wanted == ticket => {
                let planned = planned.clone();
                self.issue(context, planned, report);
                true
            }
            _ => false,
        }
    }

    fn finish_survey(&mut self, context: &mut PlacementContext<'_>, survey: &PoolSurvey) {
        self.pending.retain(|load| !is_load_settled(load, survey));
        let may_load = self.next_load <= context.now;
        let planned = next_order(&self.pool, survey, &self.pending, may_load);
        let Some(planned) = planned else {
            let busy = !self.pending.is_empty() || !may_load;
            let wait = if busy {
                ACTIVE_SURVEY_INTERVAL
            } else {
                IDLE_SURVEY_INTERVAL
            };
            self.wait(context.now, wait);
            return;
        };
        self.start_order(context, planned);
    }

    fn wait(&mut self, now: MonoTime, duration: Duration) {
        self.step = PlacementStep::Idle;
        self.due = now + duration;
    }

    fn start_order(&mut self, context: &mut PlacementContext<'_>, planned: PlannedOrder) {
        let needed = self.margin(context.settings) + context.settings.order_timeout * 2;
        if self.lease.valid_for(context.now, needed).is_some() {
            self.read_precondition(context, planned);
            return;
        }
        let ticket = context.ticket();
        let request = self.lease.read();
        context.outputs.push(OrderOutput::Store { ticket, request });
        self.due = context.now + context.settings.order_timeout;
        self.step = PlacementStep::Lease(ticket, planned);
    }

    /// Handles a reply of the table service; returns whether this pool was waiting for it.
    pub fn handle_store_reply(
        &mut self,
        context: &mut PlacementContext<'_>,
        ticket: OrderTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let planned = match &self.step {
            PlacementStep::Lease(wanted, planned) if *wanted == ticket => planned.clone(),
            _ => return false,
        };
        match result {
            Ok(StoreReply::Rows { rows }) => {
                let own = (&context.settings.host, context.settings.incarnation);
                match self.lease.evaluate_row(context.now, own, rows) {
                    LeaseStep::Write(request) => {
                        let ticket = context.ticket();
                        context.outputs.push(OrderOutput::Store { ticket, request });
                        self.due = context.now + context.settings.order_timeout;
                        self.step = PlacementStep::Lease(ticket, planned);
                    }
                    LeaseStep::Wait => self.wait(context.now, IDLE_SURVEY_INTERVAL / 2),
                }
            }
            Ok(StoreReply::Txn { outcomes }) => {
                self.lease.handle_write_outcome(outcomes.first());
                let needed = self.margin(context.settings) + context.settings.order_timeout;
                if self.lease.valid_for(context.now, needed).is_some() {
                    self.read_precondition(context, planned);
                } else {
                    self.wait(context.now, ACTIVE_SURVEY_INTERVAL);
                }
            }
            Err(_) => {
                self.lease.handle_write_outcome(None);
                self.wait(context.now, ACTIVE_SURVEY_INTERVAL);
            }
        }
        true
    }

    fn read_precondition(&mut self, context: &mut PlacementContext<'_>, planned: PlannedOrder) {
        let Some(engine) = find_engine(&self.pool, &planned.server) else {
            self.wait(context.now, ACTIVE_SURVEY_INTERVAL);
            return;
        };
        let ticket = context.ticket();
        context.outputs.push(OrderOutput::ReadEngine {
            ticket,
            server: engine.name.clone(),
            address: engine.address,
        });
        self.due = context.now + context.settings.order_timeout;
        self.step = PlacementStep::Precondition(ticket, planned);
    }

    /// Issues an order if the lease lasts long enough and the engine's report still permits it.
    fn issue(
        &mut self,
        context: &mut PlacementContext<'_>,
        planned: PlannedOrder,
        report: Option<&EngineReport>,
    ) {
        let now = context.now;
        let margin = self.margin(context.settings);
        // A report that arrives after its deadline may predate a pause of this process, so it may
        // be out of date.
        let fresh = now <= self.due;
        let holds = report.is_some_and(|report| planned.is_applicable(report));
        let lease = self.lease.valid_for(now, margin);
        let engine = find_engine(&self.pool, &planned.server);
        let (Some(lease), Some(engine), true) = (lease, engine, fresh && holds) else {
            self.wait(now, ACTIVE_SURVEY_INTERVAL);
            return;
        };
        let deadline = now + context.settings.order_timeout;
        let order = context.order;
        context.outputs.push(OrderOutput::Order(OrderCall {
            order,
            pool: self.pool.name.clone(),
            server: engine.name.clone(),
            address: engine.address,
            fencing: lease.fencing,
            action: planned.action.clone(),
            send_before: deadline.min(lease.ends - margin),
            deadline,
        }));
        self.last_order = Some(now);
        if let OrderAction::LoadModel(model) = &planned.action {
            self.pending.push(PendingLoad {
                server: planned.server.clone(),
                incarnation: planned.incarnation,
                model: model.clone(),
                until: now + context.settings.load_timeout,
            });
            self.next_load = now + load_interval(context.load_rate);
        }
        self.due = deadline;
        self.step = PlacementStep::Order(order, planned);
    }

    /// Handles the answer to an order; returns whether this pool was waiting for it.
    pub fn handle_answer(
        &mut self,
        context: &mut PlacementContext<'_>,
        order: OrderId,
        answer: OrderAnswer,
    ) -> bool {
        let planned = match &self.step {
            PlacementStep::Order(wanted, planned) if *wanted == order => planned.clone(),
            _ => return false,
        };
        self.finish_order(context, &planned, answer);
        true
    }

    fn finish_order(
        &mut self,
        context: &mut PlacementContext<'_>,
        planned: &PlannedOrder,
        answer: OrderAnswer,
    ) {
        let discard_pending = match answer {
            OrderAnswer::Accepted | OrderAnswer::Unknown => false,
            OrderAnswer::NotSent => true,
            OrderAnswer::Stale { highest } => {
                self.lease.mark_lost(highest);
                true
            }
        };
        if discard_pending {
            let is_it = |load: &PendingLoad| {
                load.server == planned.server
                    && planned.action == OrderAction::LoadModel(load.model.clone())
            };
            self.pending.retain(|load| !is_it(load));
        }
        self.wait(context.now, ACTIVE_SURVEY_INTERVAL);
    }

    /// Replaces the pool object by a new version and surveys at once if it changed.
    pub fn replace(&mut self, now: MonoTime, pool: PoolObject) {
        if self.pool == pool {
            return;
        }
        self.pool = pool;
        if matches!(self.step, PlacementStep::Idle) {
            self.due = self.due.min(now);
        }
    }
}

fn is_load_settled(load: &PendingLoad, survey: &PoolSurvey) -> bool {
    survey.reports.iter().any(|report| {
        let other = report.incarnation != load.incarnation;
        report.server == load.server && (other || report.models.contains(&load.model))
    })
}

fn load_interval(rate: RequestRate) -> Duration {
    if rate.get() <= 0.0 {
        return Duration::from_secs(3600);
    }
    Duration::from_secs_f64((1.0 / rate.get()).min(3600.0))
}
