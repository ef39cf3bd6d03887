//! Execution of publish and rollback commands.

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
use crate::install::rows::{
    ChangeRow, build_publish_txn, change_key, head_row_request, parse_head, parse_row,
};

/// The maximum number of commands that wait behind the one in progress.
const MAX_WAITING_COMMANDS: usize = 8;

/// The maximum number of attempts for one call, and of transactions that meet a conflict.
const MAX_ATTEMPTS: u32 = 4;

/// The time between two attempts of a call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The commands of a host, which are executed one after the other.
#[derive(Debug, Default)]
pub(crate) struct CommandQueue {
    active: Option<ActiveCommand>,
    waiting: VecDeque<ActiveCommand>,
}

impl CommandQueue {
    /// Returns when the call of the command in progress is retried.
    pub fn retry_at(&self) -> Option<MonoTime> {
        self.active.as_ref().and_then(|command| command.retry_at)
    }
}

/// A command in progress or waiting, with the state of its execution.
#[derive(Debug)]
struct ActiveCommand {
    /// The command. For a rollback, the set is filled in once the target has been read.
    publish: PublishCommand,
    /// The version to roll back to; none for a publication.
    rollback_target: Option<ConfigVersion>,
    step: CommandStep,
    /// The number of attempts of the current call.
    attempts: u32,
    retry_at: Option<MonoTime>,
    /// The number of transactions that met a conflict.
    conflicts: u32,
    /// Whether a transaction may have taken effect although no reply arrived.
    write_unconfirmed: bool,
    /// The revision of the head row when it was last read.
    head_revision: u64,
    /// The version in the head row when it was last read.
    head_version: ConfigVersion,
    prepared: Option<PreparedChange>,
}

/// A change that is ready to be written.
#[derive(Debug)]
struct PreparedChange {
    /// The transaction that writes the change.
    request: StoreRequest,
    change: ConfigChange,
    /// The set that the change creates.
    next: PublishedSet,
    /// The number of objects that differ.
    changed: u32,
}

/// The step of a command that its current call belongs to.
#[derive(Debug)]
enum CommandStep {
    /// Reads the set to roll back to.
    ReadTarget(VersionReader),
    /// Reads the head row.
    ReadHead,
    /// Reads the base set of the change.
    ReadBase(VersionReader),
    /// Writes the prepared change.
    Write,
    /// Reads the version after the base, to see whether this command created it.
    ReadBack,
}

impl ActiveCommand {
    fn new(publish: PublishCommand, rollback_target: Option<ConfigVersion>) -> Self {
        let step = match rollback_target {
            Some(version) => CommandStep::ReadTarget(VersionReader::new(None, version)),
            None => CommandStep::ReadHead,
        };
        Self {
            publish,
            rollback_target,
            step,
            attempts: 0,
            retry_at: None,
            conflicts: 0,
            write_unconfirmed: false,
            head_revision: 0,
            head_version: ConfigVersion::default(),
            prepared: None,
        }
    }

    fn request(&self) -> StoreRequest {
        match &self.step {
            CommandStep::ReadTarget(reader) | CommandStep::ReadBase(reader) => reader.request(),
            CommandStep::ReadHead => head_row_request(),
            CommandStep::Write => self
                .prepared
                .as_ref()
                .map_or_else(head_row_request, |prepared| prepared.request.clone()),
            CommandStep::ReadBack => StoreRequest::Read {
                table: TableName::ConfigChange,
                keys: vec![change_key(self.publish.base.next())],
            },
        }
    }

    fn conflict_error(&self) -> InstallError {
        InstallError::Conflict {
            base: self.publish.base,
            published: self.head_version,
        }
    }

    /// Returns the error of a command whose call failed on every attempt.
    fn exhausted_error(&self, failure: &StoreFailure) -> InstallError {
        match failure {
            _ if self.write_unconfirmed => InstallError::Unknown,
            StoreFailure::Refused { retry_after } => InstallError::Refused {
                retry_after: *retry_after,
            },
            StoreFailure::Unknown => InstallError::Refused {
                retry_after: RETRY_DELAY,
            },
        }
    }
}

/// How a command continues.
enum NextStep {
    /// Send the call of the current step.
    Call,
    /// Finish the command with this result.
    End(Result<PublishReceipt, InstallError>),
}

impl InstallMachine {
    pub(crate) fn handle_publish(&mut self, now: MonoTime, mut command: PublishCommand) {
        command.set.sort();
        let report = check_set(&command.set);
        if !report.is_clean() {
            self.finish_command(command.publish_id, Err(InstallError::Faulty(report)));
            return;
        }
        self.enqueue(now, ActiveCommand::new(command, None));
    }

    pub(crate) fn handle_rollback(&mut self, now: MonoTime, command: RollbackCommand) {
        if command.to.0 == 0 || command.to > command.base {
            let error = InstallError::NoVersion(command.to);
            self.finish_command(command.publish_id, Err(error));
            return;
        }
        let publish = PublishCommand {
            publish_id: command.publish_id,
            base: command.base,
            operator: command.operator,
            set: crate::set::ObjectSet::default(),
            published_at: command.published_at,
        };
        self.enqueue(now, ActiveCommand::new(publish, Some(command.to)));
    }

    fn enqueue(&mut self, now: MonoTime, command: ActiveCommand) {
        if self.commands.waiting.len() >= MAX_WAITING_COMMANDS {
            self.finish_command(command.publish.publish_id, Err(InstallError::Busy));
            return;
        }
        self.commands.waiting.push_back(command);
        self.start_next_command(now);
    }

    fn start_next_command(&mut self, now: MonoTime) {
        if self.commands.active.is_some() {
            return;
        }
        if let Some(command) = self.commands.waiting.pop_front() {
            self.send_call(now, command);
        }
    }

    fn send_call(&mut self, now: MonoTime, mut command: ActiveCommand) {
        command.attempts += 1;
        command.retry_at = None;
        let request = command.request();
        self.commands.active = Some(command);
        self.call_store(now, CallPurpose::Command, request);
    }

    pub(crate) fn retry_command(&mut self, now: MonoTime) {
        if self
            .commands
            .retry_at()
            .is_some_and(|retry_at| retry_at <= now)
            && let Some(command) = self.commands.active.take()
        {
            self.send_call(now, command);
        }
    }

    fn finish_command(
        &mut self,
        publish_id: PublishId,
        result: Result<PublishReceipt, InstallError>,
    ) {
        self.outputs
            .push(InstallOutput::Published { publish_id, result });
    }

    pub(crate) fn handle_command_reply(
        &mut self,
        now: MonoTime,
        result: Result<StoreReply, StoreFailure>,
    ) {
        let Some(mut command) = self.commands.active.take() else {
            return;
        };
        let next = match result {
            Err(failure) => match self.schedule_retry(now, command, &failure) {
                Ok(failed) => {
                    command = failed;
                    NextStep::End(Err(command.exhausted_error(&failure)))
                }
                Err(()) => return,
            },
            Ok(StoreReply::Rows { rows }) => self.handle_command_rows(&mut command, &rows),
            Ok(StoreReply::Txn { outcomes }) => self.handle_txn_outcomes(&mut command, &outcomes),
        };
        match next {
            NextStep::Call => {
                command.attempts = 0;
                self.send_call(now, command);
            }
            NextStep::End(result) => {
                self.finish_command(command.publish.publish_id, result);
                self.start_next_command(now);
            }
        }
    }

    /// Schedules a retry of a failed call, or returns the command if no attempt is left.
    ///
    /// A write is repeated unchanged: it is conditional on the revision of the head row, so that
    /// only one of the attempts can succeed even if some of them take effect late.
    fn schedule_retry(
        &mut self,
        now: MonoTime,
        mut command: ActiveCommand,
        failure: &StoreFailure,
    ) -> Result<ActiveCommand, ()> {
        let writing = matches!(command.step, CommandStep::Write);
        command.write_unconfirmed |= writing && *failure == StoreFailure::Unknown;
        if command.attempts >= MAX_ATTEMPTS {
            return Ok(command);
        }
        let wait = match failure {
            StoreFailure::Refused { retry_after } => (*retry_after).max(RETRY_DELAY),
            StoreFailure::Unknown => RETRY_DELAY,
        };
        command.retry_at = Some(now + wait);
        self.commands.active = Some(command);
        Err(())
    }

    fn handle_command_rows(&mut self, command: &mut ActiveCommand, rows: &[StoreRow]) -> NextStep {
        match &mut command.step {
            CommandStep::ReadTarget(reader) => match reader.add_page(rows) {
                ReadProgress::More => NextStep::Call,
                ReadProgress::Done(set, _) => {
                    command.publish.set = set.set;
                    command.step = CommandStep::ReadHead;
                    NextStep::Call
                }
                ReadProgress::Failed(_) => {
                    let version = command.rollback_target.unwrap_or_default();
                    NextStep::End(Err(InstallError::NoVersion(version)))
                }
            },
            CommandStep::ReadBase(reader) => match reader.add_page(rows) {
                ReadProgress::More => NextStep::Call,
                ReadProgress::Done(set, changes) => {
                    self.install_or_reject(set.clone(), changes);
                    prepare_write(command, &set)
                }
                ReadProgress::Failed(fault) => {
                    self.outputs.push(InstallOutput::Rejected(fault));
                    let version = command.publish.base;
                    NextStep::End(Err(InstallError::NoVersion(version)))
                }
            },
            CommandStep::ReadHead => self.handle_command_head(command, rows),
            CommandStep::ReadBack => self.handle_read_back(command, rows),
            CommandStep::Write => NextStep::End(Err(InstallError::Unknown)),
        }
    }

    fn handle_command_head(&mut self, command: &mut ActiveCommand, rows: &[StoreRow]) -> NextStep {
        let (head, revision) = match parse_head(rows) {
            Ok(head) => head,
            Err(fault) => {
                self.outputs.push(InstallOutput::Rejected(fault));
                return NextStep::End(Err(InstallError::NoVersion(command.publish.base)));
            }
        };
        command.head_version = head.version;
        command.head_revision = revision;
        if head.version > command.publish.base {
            self.announce(head.version);
            command.step = CommandStep::ReadBack;
            return NextStep::Call;
        }
        if head.version < command.publish.base {
            return NextStep::End(Err(command.conflict_error()));
        }
        match self.known_set(head.version) {
            Some(base) => prepare_write(command, &base),
            None => {
                let reader = VersionReader::new(self.in_force.as_ref(), head.version);
                command.step = CommandStep::ReadBase(reader);
                NextStep::Call
            }
        }
    }

    /// Checks whether the version after the base was created by this command.
    fn handle_read_back(&mut self, command: &mut ActiveCommand, rows: &[StoreRow]) -> NextStep {
        let row = rows
            .first()
            .and_then(|row| parse_row::<ChangeRow>(row).ok());
        let Some(row) = row else {
            return NextStep::End(Err(command.conflict_error()));
        };
        if row.publish_id != command.publish.publish_id {
            return NextStep::End(Err(command.conflict_error()));
        }
        if let Some(prepared) = command.prepared.take() {
            self.install_or_reject(prepared.next, vec![prepared.change]);
        }
        NextStep::End(Ok(PublishReceipt {
            version: row.version,
            changed: row.changed,
        }))
    }

    fn handle_txn_outcomes(
        &mut self,
        command: &mut ActiveCommand,
        outcomes: &[RowOutcome],
    ) -> NextStep {
        let applied = |outcome: &RowOutcome| matches!(outcome, RowOutcome::Applied { .. });
        if !outcomes.is_empty() && outcomes.iter().all(applied) {
            let Some(prepared) = command.prepared.take() else {
                return NextStep::End(Err(InstallError::Unknown));
            };
            let receipt = PublishReceipt {
                version: prepared.next.version,
                changed: prepared.changed,
            };
            self.install_or_reject(prepared.next, vec![prepared.change]);
            return NextStep::End(Ok(receipt));
        }
        command.conflicts += 1;
        if command.conflicts > MAX_ATTEMPTS {
            let failure = StoreFailure::Unknown;
            return NextStep::End(Err(command.exhausted_error(&failure)));
        }
        // Another publication succeeded first, or an earlier attempt of this one did.
        command.step = CommandStep::ReadHead;
        NextStep::Call
    }
}

/// Computes the change of a command and its transaction.
fn prepare_write(command: &mut ActiveCommand, base: &PublishedSet) -> NextStep {
    let publish = &command.publish;
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
    match build_publish_txn(command.head_revision, &change, summary, &next) {
        Err(error) => NextStep::End(Err(error)),
        Ok(request) => {
            command.prepared = Some(PreparedChange {
                request,
                change,
                next,
                changed,
            });
            command.step = CommandStep::Write;
            NextStep::Call
        }
    }
}
