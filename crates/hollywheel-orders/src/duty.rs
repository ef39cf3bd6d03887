//! The placement of models on the engines of one pool.

use std::time::Duration;

use hollywheel_config::PoolObject;
use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{HostId, Incarnation, MonoTime, RequestRate};

use crate::lease::{LeaseStep, PoolLease};
use crate::message::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderId, OrderOutput, OrderSettings,
    OrderTicket,
};
use crate::plan::{PendingLoad, PlannedOrder, PoolSurvey, entry_of, next_order};

/// The time between two surveys of a pool that needs nothing.
const QUIET_INTERVAL: Duration = Duration::from_secs(10);

/// The time between two surveys of a pool that is being changed.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which a lease is kept after the last order.
const KEEP_LEASE: Duration = Duration::from_secs(15);

/// Says what a duty waits for.
#[derive(Debug)]
enum DutyStep {
    /// For the next survey.
    Idle,
    /// For the reports of every engine.
    Survey {
        tickets: Vec<OrderTicket>,
        survey: PoolSurvey,
    },
    /// For the lease row or for the write of it.
    Lease(OrderTicket, PlannedOrder),
    /// For the report of the engine that is to get an order.
    Precondition(OrderTicket, PlannedOrder),
    /// For the answer to an order.
    Order(OrderId, PlannedOrder),
}

/// Hands out what a duty needs from its machine.
pub(crate) struct DutyContext<'a> {
    pub now: MonoTime,
    pub settings: &'a OrderSettings,
    pub last_ticket: &'a mut u64,
    pub outputs: &'a mut Vec<OrderOutput>,
    pub load_rate: RequestRate,
    pub order: OrderId,
}

impl DutyContext<'_> {
    fn ticket(&mut self) -> OrderTicket {
        *self.last_ticket += 1;
        OrderTicket(*self.last_ticket)
    }

    fn own(&self) -> (&HostId, Incarnation) {
        (&self.settings.host, self.settings.incarnation)
    }
}

/// Brings one pool to what its object asks for, one order at a time.
#[derive(Debug)]
pub(crate) struct PoolDuty {
    pub pool: PoolObject,
    lease: PoolLease,
    step: DutyStep,
    /// When the next survey begins, or when what is waited for is given up.
    due: MonoTime,
    pending: Vec<PendingLoad>,
    next_load: MonoTime,
    last_order: Option<MonoTime>,
}

impl PoolDuty {
    /// Creates a duty that begins with a survey.
    pub fn new(now: MonoTime, settings: &OrderSettings, pool: PoolObject) -> Self {
        let lease = PoolLease::new(pool.name.clone(), settings.lease_span);
        Self {
            pool,
            lease,
            step: DutyStep::Idle,
            due: now + BUSY_INTERVAL,
            pending: Vec::new(),
            next_load: now,
            last_order: None,
        }
    }

    /// Returns when the duty does something by itself.
    pub const fn due(&self) -> MonoTime {
        self.due
    }

    /// Says whether the duty may end: no order is in flight.
    pub const fn is_quiet(&self) -> bool {
        !matches!(self.step, DutyStep::Order(..))
    }

    fn margin(&self, settings: &OrderSettings) -> Duration {
        if self.pool.fencing {
            settings.fenced_margin
        } else {
            settings.unfenced_margin
        }
    }

    /// Gives up the lease.
    pub fn release(&mut self, context: &mut DutyContext<'_>) {
        let Some(request) = self.lease.release(context.own()) else {
            return;
        };
        let ticket = context.ticket();
        context.outputs.push(OrderOutput::Store { ticket, request });
    }

    /// Does what is due.
    pub fn run_due(&mut self, context: &mut DutyContext<'_>) {
        if self.due > context.now {
            return;
        }
        let now = context.now;
        match std::mem::replace(&mut self.step, DutyStep::Idle) {
            DutyStep::Idle => self.begin_survey(context),
            DutyStep::Survey { tickets, survey } => {
                let silent = survey.silent + tickets.len();
                let survey = PoolSurvey { silent, ..survey };
                self.end_survey(context, &survey);
            }
            DutyStep::Lease(..) => {
                self.lease.take_outcome(None);
                self.due = now + BUSY_INTERVAL;
            }
            DutyStep::Precondition(..) => self.due = now + BUSY_INTERVAL,
            DutyStep::Order(_, planned) => {
                self.take_answer_of(context, &planned, OrderAnswer::Unknown);
            }
        }
    }

    fn begin_survey(&mut self, context: &mut DutyContext<'_>) {
        let kept = self
            .last_order
            .is_some_and(|at| context.now.since(at) < KEEP_LEASE);
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
        self.step = DutyStep::Survey {
            tickets,
            survey: PoolSurvey::default(),
        };
    }

    /// Takes the report of an engine; says whether it was waited for.
    pub fn take_report(
        &mut self,
        context: &mut DutyContext<'_>,
        ticket: OrderTicket,
        report: Option<&EngineReport>,
    ) -> bool {
        match &mut self.step {
            DutyStep::Survey { tickets, survey } => {
                let Some(at) = tickets.iter().position(|wanted| *wanted == ticket) else {
                    return false;
                };
                tickets.swap_remove(at);
                match report {
                    Some(report) => survey.reports.push(report.clone()),
                    None => survey.silent += 1,
                }
                if tickets.is_empty() {
                    let survey = std::mem::take(survey);
                    self.end_survey(context, &survey);
                }
                true
            }
            DutyStep::Precondition(wanted, planned) if *wanted == ticket => {
                let planned = planned.clone();
                self.issue(context, planned, report);
                true
            }
            _ => false,
        }
    }

    fn end_survey(&mut self, context: &mut DutyContext<'_>, survey: &PoolSurvey) {
        self.pending.retain(|load| !is_settled(load, survey));
        let may_load = self.next_load <= context.now;
        let planned = next_order(&self.pool, survey, &self.pending, may_load);
        let Some(planned) = planned else {
            let busy = !self.pending.is_empty() || !may_load;
            let wait = if busy { BUSY_INTERVAL } else { QUIET_INTERVAL };
            self.wait(context.now, wait);
            return;
        };
        self.begin_order(context, planned);
    }

    fn wait(&mut self, now: MonoTime, span: Duration) {
        self.step = DutyStep::Idle;
        self.due = now + span;
    }

    fn begin_order(&mut self, context: &mut DutyContext<'_>, planned: PlannedOrder) {
        let needed = self.margin(context.settings) + context.settings.order_timeout * 2;
        if self.lease.valid(context.now, needed).is_some() {
            self.read_precondition(context, planned);
            return;
        }
        let ticket = context.ticket();
        let request = self.lease.read();
        context.outputs.push(OrderOutput::Store { ticket, request });
        self.due = context.now + context.settings.order_timeout;
        self.step = DutyStep::Lease(ticket, planned);
    }

    /// Takes an answer of the table service; says whether it was waited for.
    pub fn take_store(
        &mut self,
        context: &mut DutyContext<'_>,
        ticket: OrderTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let planned = match &self.step {
            DutyStep::Lease(wanted, planned) if *wanted == ticket => planned.clone(),
            _ => return false,
        };
        match result {
            Ok(StoreReply::Rows { rows }) => {
                let own = (&context.settings.host, context.settings.incarnation);
                match self.lease.take_row(context.now, own, rows) {
                    LeaseStep::Write(request) => {
                        let ticket = context.ticket();
                        context.outputs.push(OrderOutput::Store { ticket, request });
                        self.due = context.now + context.settings.order_timeout;
                        self.step = DutyStep::Lease(ticket, planned);
                    }
                    LeaseStep::Wait => self.wait(context.now, QUIET_INTERVAL / 2),
                }
            }
            Ok(StoreReply::Txn { outcomes }) => {
                self.lease.take_outcome(outcomes.first());
                let needed = self.margin(context.settings) + context.settings.order_timeout;
                if self.lease.valid(context.now, needed).is_some() {
                    self.read_precondition(context, planned);
                } else {
                    self.wait(context.now, BUSY_INTERVAL);
                }
            }
            Err(_) => {
                self.lease.take_outcome(None);
                self.wait(context.now, BUSY_INTERVAL);
            }
        }
        true
    }

    fn read_precondition(&mut self, context: &mut DutyContext<'_>, planned: PlannedOrder) {
        let Some(engine) = entry_of(&self.pool, &planned.server) else {
            self.wait(context.now, BUSY_INTERVAL);
            return;
        };
        let ticket = context.ticket();
        context.outputs.push(OrderOutput::ReadEngine {
            ticket,
            server: engine.name.clone(),
            address: engine.address,
        });
        self.due = context.now + context.settings.order_timeout;
        self.step = DutyStep::Precondition(ticket, planned);
    }

    /// Issues an order if the lease lasts and the engine is still as the order expects.
    fn issue(
        &mut self,
        context: &mut DutyContext<'_>,
        planned: PlannedOrder,
        report: Option<&EngineReport>,
    ) {
        let now = context.now;
        let margin = self.margin(context.settings);
        // A report that comes late was read before a pause and says nothing of now.
        let fresh = now <= self.due;
        let holds = report.is_some_and(|report| planned.holds_for(report));
        let lease = self.lease.valid(now, margin);
        let engine = entry_of(&self.pool, &planned.server);
        let (Some(lease), Some(engine), true) = (lease, engine, fresh && holds) else {
            self.wait(now, BUSY_INTERVAL);
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
            self.next_load = now + interval_of(context.load_rate);
        }
        self.due = deadline;
        self.step = DutyStep::Order(order, planned);
    }

    /// Takes the answer to an order; says whether it was waited for.
    pub fn take_answer(
        &mut self,
        context: &mut DutyContext<'_>,
        order: OrderId,
        answer: OrderAnswer,
    ) -> bool {
        let planned = match &self.step {
            DutyStep::Order(wanted, planned) if *wanted == order => planned.clone(),
            _ => return false,
        };
        self.take_answer_of(context, &planned, answer);
        true
    }

    fn take_answer_of(
        &mut self,
        context: &mut DutyContext<'_>,
        planned: &PlannedOrder,
        answer: OrderAnswer,
    ) {
        let forget = match answer {
            OrderAnswer::Accepted | OrderAnswer::Unknown => false,
            OrderAnswer::NotSent => true,
            OrderAnswer::Stale { highest } => {
                self.lease.lose(highest);
                true
            }
        };
        if forget {
            let is_it = |load: &PendingLoad| {
                load.server == planned.server
                    && planned.action == OrderAction::LoadModel(load.model.clone())
            };
            self.pending.retain(|load| !is_it(load));
        }
        self.wait(context.now, BUSY_INTERVAL);
    }

    /// Takes a new version of the pool.
    pub fn replace(&mut self, now: MonoTime, pool: PoolObject) {
        if self.pool == pool {
            return;
        }
        self.pool = pool;
        if matches!(self.step, DutyStep::Idle) {
            self.due = self.due.min(now);
        }
    }
}

fn is_settled(load: &PendingLoad, survey: &PoolSurvey) -> bool {
    survey.reports.iter().any(|report| {
        let other = report.incarnation != load.incarnation;
        report.server == load.server && (other || report.models.contains(&load.model))
    })
}

fn interval_of(rate: RequestRate) -> Duration {
    if rate.get() <= 0.0 {
        return Duration::from_secs(3600);
    }
    Duration::from_secs_f64((1.0 / rate.get()).min(3600.0))
}
