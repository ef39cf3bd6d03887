//! Publications and rollbacks in progress.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_store::{RowOutcome, StoreFailure, StoreReply, StoreRequest, StoreRow, TableName};
use hollywheel_types::{ConfigVersion, MonoTime, PublishId};

use crate::change::{ConfigChange, PublishedSet, SetDiff};
use crate::check::check_set;
use crate::install::machine::{CallPurpose, InstallMachine};
use crate::install::message::{
    InstallError, InstallOutput, PublishCommand, PublishReceipt, RollbackCommand,
};
use crate::install::reader::{ReadProgress, VersionReader};
use crate::install::rows::{ChangeRow, change_key, parse_head, parse_row, publish_txn, read_head};

/// The most orders that wait behind the one in progress.
const MAX_WAITING: usize = 8;

/// The most times that a call of an order is made.
const MAX_TRIES: u32 = 4;

/// The time between two tries of a call of an order.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Holds the orders of a host, which are carried out one after the other.
#[derive(Debug, Default)]
pub(crate) struct OrderQueue {
    active: Option<ActiveOrder>,
    waiting: VecDeque<ActiveOrder>,
}

impl OrderQueue {
    /// Returns when a call of the order in progress is made again.
    pub fn retry_at(&self) -> Option<MonoTime> {
        self.active.as_ref().and_then(|order| order.retry_at)
    }
}

#[derive(Debug)]
struct ActiveOrder {
    order: PublishCommand,
    /// The version whose set is wanted, for a rollback.
    to: Option<ConfigVersion>,
    step: OrderStep,
    tries: u32,
    retry_at: Option<MonoTime>,
    /// The writes that met a conflict.
    conflicts: u32,
    /// Whether a transaction was sent whose effect is not known.
    unsure: bool,
    head_revision: u64,
    head_version: ConfigVersion,
    prepared: Option<PreparedOrder>,
}

#[derive(Debug)]
struct PreparedOrder {
    request: StoreRequest,
    change: ConfigChange,
    next: PublishedSet,
    changed: u32,
}

#[derive(Debug)]
enum OrderStep {
    /// Reads the set that a rollback wants.
    ReadTarget(VersionReader),
    /// Reads the head row.
    ReadHead,
    /// Reads the set that the change is made on.
    ReadBase(VersionReader),
    /// Writes.
    Write,
    /// Reads whether the version after the base is that of the order.
    ReadBack,
}

impl ActiveOrder {
    fn new(order: PublishCommand, to: Option<ConfigVersion>) -> Self {
        let step = match to {
            Some(version) => OrderStep::ReadTarget(VersionReader::new(None, version)),
            None => OrderStep::ReadHead,
        };
        Self {
            order,
            to,
            step,
            tries: 0,
            retry_at: None,
            conflicts: 0,
            unsure: false,
            head_revision: 0,
            head_version: ConfigVersion::default(),
            prepared: None,
        }
    }

    fn request(&self) -> StoreRequest {
        match &self.step {
            OrderStep::ReadTarget(reader) | OrderStep::ReadBase(reader) => reader.request(),
            OrderStep::ReadHead => read_head(),
            OrderStep::Write => self
                .prepared
                .as_ref()
                .map_or_else(read_head, |prepared| prepared.request.clone()),
            OrderStep::ReadBack => StoreRequest::Read {
                table: TableName::ConfigChange,
                keys: vec![change_key(self.order.base.next())],
            },
        }
    }

    fn conflict(&self) -> InstallError {
        InstallError::Conflict {
            base: self.order.base,
            published: self.head_version,
        }
    }

    /// Returns the error of an order whose call got no answer, as far as its effect is known.
    fn gave_up(&self, failure: &StoreFailure) -> InstallError {
        match failure {
            _ if self.unsure => InstallError::Unknown,
            StoreFailure::Refused { retry_after } => InstallError::Refused {
                retry_after: *retry_after,
            },
            StoreFailure::Unknown => InstallError::Refused {
                retry_after: RETRY_DELAY,
            },
        }
    }
}

/// Says how an order goes on.
enum NextStep {
    /// With a call for the step that is set.
    Call,
    /// With its end.
    End(Result<PublishReceipt, InstallError>),
}

impl InstallMachine {
    pub(crate) fn take_publish(&mut self, now: MonoTime, mut order: PublishCommand) {
        order.set.sort();
        let report = check_set(&order.set);
        if !report.is_clean() {
            self.end_order(order.publish_id, Err(InstallError::Faulty(report)));
            return;
        }
        self.enqueue(now, ActiveOrder::new(order, None));
    }

    pub(crate) fn take_rollback(&mut self, now: MonoTime, order: RollbackCommand) {
        if order.to.0 == 0 || order.to > order.base {
            let error = InstallError::NoVersion(order.to);
            self.end_order(order.publish_id, Err(error));
            return;
        }
        let publish = PublishCommand {
            publish_id: order.publish_id,
            base: order.base,
            operator: order.operator,
            set: crate::set::ObjectSet::default(),
            published_at: order.published_at,
        };
        self.enqueue(now, ActiveOrder::new(publish, Some(order.to)));
    }

    fn enqueue(&mut self, now: MonoTime, order: ActiveOrder) {
        if self.orders.waiting.len() >= MAX_WAITING {
            self.end_order(order.order.publish_id, Err(InstallError::Busy));
            return;
        }
        self.orders.waiting.push_back(order);
        self.next_order(now);
    }

    fn next_order(&mut self, now: MonoTime) {
        if self.orders.active.is_some() {
            return;
        }
        if let Some(order) = self.orders.waiting.pop_front() {
            self.call_order(now, order);
        }
    }

    fn call_order(&mut self, now: MonoTime, mut order: ActiveOrder) {
        order.tries += 1;
        order.retry_at = None;
        let request = order.request();
        self.orders.active = Some(order);
        self.call_store(now, CallPurpose::Order, request);
    }

    pub(crate) fn retry_order(&mut self, now: MonoTime) {
        if self.orders.retry_at().is_some_and(|at| at <= now)
            && let Some(order) = self.orders.active.take()
        {
            self.call_order(now, order);
        }
    }

    fn end_order(&mut self, publish_id: PublishId, result: Result<PublishReceipt, InstallError>) {
        self.outputs
            .push(InstallOutput::Published { publish_id, result });
    }

    pub(crate) fn take_order_answer(
        &mut self,
        now: MonoTime,
        result: Result<StoreReply, StoreFailure>,
    ) {
        let Some(mut order) = self.orders.active.take() else {
            return;
        };
        let next = match result {
            Err(failure) => match self.take_failure(now, order, &failure) {
                Ok(ended) => {
                    order = ended;
                    NextStep::End(Err(order.gave_up(&failure)))
                }
                Err(()) => return,
            },
            Ok(StoreReply::Rows { rows }) => self.take_order_rows(&mut order, &rows),
            Ok(StoreReply::Txn { outcomes }) => self.take_outcomes(&mut order, &outcomes),
        };
        match next {
            NextStep::Call => {
                order.tries = 0;
                self.call_order(now, order);
            }
            NextStep::End(result) => {
                self.end_order(order.order.publish_id, result);
                self.next_order(now);
            }
        }
    }

    /// Plans another try of a call that got no answer, or returns the order if there were enough.
    ///
    /// A write is repeated as it was: it depends on the revision of the head row, so that of
    /// several writes of which some take effect late only one can succeed.
    fn take_failure(
        &mut self,
        now: MonoTime,
        mut order: ActiveOrder,
        failure: &StoreFailure,
    ) -> Result<ActiveOrder, ()> {
        let writing = matches!(order.step, OrderStep::Write);
        order.unsure |= writing && *failure == StoreFailure::Unknown;
        if order.tries >= MAX_TRIES {
            return Ok(order);
        }
        let wait = match failure {
            StoreFailure::Refused { retry_after } => (*retry_after).max(RETRY_DELAY),
            StoreFailure::Unknown => RETRY_DELAY,
        };
        order.retry_at = Some(now + wait);
        self.orders.active = Some(order);
        Err(())
    }

    fn take_order_rows(&mut self, order: &mut ActiveOrder, rows: &[StoreRow]) -> NextStep {
        match &mut order.step {
            OrderStep::ReadTarget(reader) => match reader.take(rows) {
                ReadProgress::More => NextStep::Call,
                ReadProgress::Done(set, _) => {
                    order.order.set = set.set;
                    order.step = OrderStep::ReadHead;
                    NextStep::Call
                }
                ReadProgress::Failed(_) => {
                    let version = order.to.unwrap_or_default();
                    NextStep::End(Err(InstallError::NoVersion(version)))
                }
            },
            OrderStep::ReadBase(reader) => match reader.take(rows) {
                ReadProgress::More => NextStep::Call,
                ReadProgress::Done(set, changes) => {
                    self.install_read(set.clone(), changes);
                    prepare(order, &set)
                }
                ReadProgress::Failed(fault) => {
                    self.outputs.push(InstallOutput::Rejected(fault));
                    let version = order.order.base;
                    NextStep::End(Err(InstallError::NoVersion(version)))
                }
            },
            OrderStep::ReadHead => self.take_order_head(order, rows),
            OrderStep::ReadBack => self.take_read_back(order, rows),
            OrderStep::Write => NextStep::End(Err(InstallError::Unknown)),
        }
    }

    fn take_order_head(&mut self, order: &mut ActiveOrder, rows: &[StoreRow]) -> NextStep {
        let (head, revision) = match parse_head(rows) {
            Ok(head) => head,
            Err(fault) => {
                self.outputs.push(InstallOutput::Rejected(fault));
                return NextStep::End(Err(InstallError::NoVersion(order.order.base)));
            }
        };
        order.head_version = head.version;
        order.head_revision = revision;
        if head.version > order.order.base {
            self.announce(head.version);
            order.step = OrderStep::ReadBack;
            return NextStep::Call;
        }
        if head.version < order.order.base {
            return NextStep::End(Err(order.conflict()));
        }
        match self.set_at(head.version) {
            Some(base) => prepare(order, &base),
            None => {
                let reader = VersionReader::new(self.in_force.as_ref(), head.version);
                order.step = OrderStep::ReadBase(reader);
                NextStep::Call
            }
        }
    }

    /// Looks whether the version after the base was made by this order.
    fn take_read_back(&mut self, order: &mut ActiveOrder, rows: &[StoreRow]) -> NextStep {
        let row = rows
            .first()
            .and_then(|row| parse_row::<ChangeRow>(row).ok());
        let Some(row) = row else {
            return NextStep::End(Err(order.conflict()));
        };
        if row.publish_id != order.order.publish_id {
            return NextStep::End(Err(order.conflict()));
        }
        if let Some(prepared) = order.prepared.take() {
            self.install_read(prepared.next, vec![prepared.change]);
        }
        NextStep::End(Ok(PublishReceipt {
            version: row.version,
            changed: row.changed,
        }))
    }

    fn take_outcomes(&mut self, order: &mut ActiveOrder, outcomes: &[RowOutcome]) -> NextStep {
        let applied = |outcome: &RowOutcome| matches!(outcome, RowOutcome::Applied { .. });
        if !outcomes.is_empty() && outcomes.iter().all(applied) {
            let Some(prepared) = order.prepared.take() else {
                return NextStep::End(Err(InstallError::Unknown));
            };
            let receipt = PublishReceipt {
                version: prepared.next.version,
                changed: prepared.changed,
            };
            self.install_read(prepared.next, vec![prepared.change]);
            return NextStep::End(Ok(receipt));
        }
        order.conflicts += 1;
        if order.conflicts > MAX_TRIES {
            let failure = StoreFailure::Unknown;
            return NextStep::End(Err(order.gave_up(&failure)));
        }
        // Another publication won, or an earlier try of this one did.
        order.step = OrderStep::ReadHead;
        NextStep::Call
    }
}

fn prepare(order: &mut ActiveOrder, base: &PublishedSet) -> NextStep {
    let publish = &order.order;
    let diff = SetDiff::between(&base.set, &publish.set);
    if diff.is_empty() {
        return NextStep::End(Err(InstallError::Unchanged(base.version)));
    }
    let summary: Vec<String> = diff
        .summary(&base.set)
        .iter()
        .map(ToString::to_string)
        .collect();
    let changed = u32::try_from(summary.len()).unwrap_or(u32::MAX);
    let next = PublishedSet {
        version: base.version.next(),
        publish_id: publish.publish_id,
        set: publish.set.clone(),
    };
    let change = ConfigChange {
        base: base.version,
        version: next.version,
        publish_id: publish.publish_id,
        operator: publish.operator.clone(),
        published_at: publish.published_at,
        diff,
    };
    match publish_txn(order.head_revision, &change, summary, &next) {
        Err(error) => NextStep::End(Err(error)),
        Ok(request) => {
            order.prepared = Some(PreparedOrder {
                request,
                change,
                next,
                changed,
            });
            order.step = OrderStep::Write;
            NextStep::Call
        }
    }
}
