//! Simulation of one cell.

use std::time::Duration;

use hollywheel_node::{AttemptCall, CallTicket, NodeInput, NodeMachine, TraceRecorder};
use hollywheel_types::{AttemptNonce, IdempotencyKey, Incarnation, MonoTime, ServerId};

use super::forward::OpenForward;
use super::host::HostSlot;
use super::inject::{ArmedFaults, CallFaults};
use super::log::{ProcessEnd, SceneLog};
use super::queue::{EventQueue, ProcessRef, SceneEvent};
use super::table::FakeTable;
use crate::breaks::DeliberateBreak;
use crate::cell::{CellScenario, CellStep, FaultPoint, MatrixCell};
use crate::fixture;

/// End of every run, long after the last fault.
const END: MonoTime = MonoTime::from_millis(40_000);

/// Maximum number of events of a run; a run with more counts as endless.
const MAX_EVENTS: usize = 20_000;

const KEY_FETCH: MonoTime = MonoTime::from_millis(5);
const START: MonoTime = MonoTime::from_millis(10);
const BACKGROUND_START: MonoTime = MonoTime::from_millis(9);
const CONFIG_CHANGE: MonoTime = MonoTime::from_millis(22);
const DRAIN: MonoTime = MonoTime::from_millis(24);
const LAST_SUBMISSION: MonoTime = MonoTime::from_millis(12_000);

/// Time limit of a planned shutdown.
const DRAIN_SPAN: Duration = Duration::from_secs(2);

/// Index of the observed submission.
pub(super) const OBSERVED: u128 = 1;

/// Index of a concurrent submission of another caller.
pub(super) const BACKGROUND: u128 = 2;

/// Index of the submission after the end of the observed one.
pub(super) const FOLLOW_UP: u128 = 20;

const LATE: u128 = 21;

/// Settings of a run.
#[derive(Clone, Debug, Default)]
pub struct SceneSettings {
    /// The seed of the state machines and of the delays.
    pub seed: u64,
    /// The deliberate fault in the wrapper of the state machines.
    pub broken: Option<DeliberateBreak>,
    /// The maximum random delay of each message, in microseconds.
    pub jitter_us: u64,
}

/// A planned fault, and whether it was injected.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) point: FaultPoint,
    pub(super) done: bool,
}

/// Simulation of one cell in virtual time.
#[derive(Debug)]
pub struct FaultScene {
    pub(super) settings: SceneSettings,
    pub(super) scenario: CellScenario,
    pub(super) now: MonoTime,
    pub(super) queue: EventQueue,
    pub(super) table: FakeTable,
    pub(super) hosts: [HostSlot; 2],
    pub(super) log: SceneLog,
    pub(super) plan: Vec<PlannedFault>,
    pub(super) armed: ArmedFaults,
    /// The calls with open connections.
    pub(super) open_calls: Vec<(ProcessRef, AttemptCall)>,
    /// The queries between hosts, by index: the querying process and its ticket.
    pub(super) questions: Vec<(ProcessRef, CallTicket)>,
    pub(super) forwards: Vec<OpenForward>,
    /// The issued key of the caller of the observed request.
    pub(super) issued_key: Option<IdempotencyKey>,
    pub(super) call_faults: Vec<(AttemptNonce, CallFaults)>,
    pub(super) leaving: Vec<ServerId>,
    pub(super) next_number: u128,
    pub(super) followed_up: bool,
    pub(super) recorder: Option<TraceRecorder>,
    random: u64,
}

impl FaultScene {
    /// Creates the simulation of a cell.
    pub fn new(cell: &MatrixCell, settings: SceneSettings) -> Self {
        let plan = cell.points.iter().map(|point| PlannedFault {
            point: *point,
            done: false,
        });
        let mut scene = Self {
            scenario: cell.scenario,
            now: MonoTime::default(),
            queue: EventQueue::default(),
            table: FakeTable::default(),
            hosts: [HostSlot::new(0), HostSlot::new(1)],
            log: SceneLog::default(),
            plan: plan.collect(),
            armed: ArmedFaults::default(),
            open_calls: Vec::new(),
            questions: Vec::new(),
            forwards: Vec::new(),
            issued_key: None,
            call_faults: Vec::new(),
            leaving: Vec::new(),
            next_number: 100,
            followed_up: false,
            recorder: None,
            random: settings.seed ^ 0x9e37_79b9_7f4a_7c15,
            settings,
        };
        scene.prepare(cell);
        scene
    }

    /// Records the inputs of the first process of the first host.
    #[must_use]
    pub fn recording(mut self) -> Self {
        let settings = fixture::settings(0, Incarnation(1), self.settings.seed);
        self.recorder = Some(TraceRecorder::new(&settings));
        self
    }

    fn prepare(&mut self, cell: &MatrixCell) {
        let plans = |step| cell.points.iter().any(|point| point.step == step);
        self.queue.push(MonoTime(0), SceneEvent::Restart(0));
        self.queue.push(MonoTime(0), SceneEvent::Restart(1));
        for host in 0..2 {
            self.queue.push(MonoTime(1), SceneEvent::View { host });
        }
        if let Some(host) = cell.scenario.issuer() {
            self.queue.push(KEY_FETCH, SceneEvent::FetchKey { host });
        }
        self.push_submission(BACKGROUND_START, 0, BACKGROUND);
        self.push_submission(START, 0, OBSERVED);
        self.push_submission(LAST_SUBMISSION, 0, LATE);
        let first = Incarnation(1);
        if plans(CellStep::ConfigChange) {
            for host in 0..2 {
                let input = NodeInput::Config(fixture::second_version());
                self.push_input(
                    CONFIG_CHANGE,
                    ProcessRef {
                        host,
                        incarnation: first,
                    },
                    input,
                );
            }
        }
        if plans(CellStep::Drain) {
            let input = NodeInput::Drain(DRAIN_SPAN);
            self.push_input(
                DRAIN,
                ProcessRef {
                    host: 0,
                    incarnation: first,
                },
                input,
            );
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SceneLog {
        self.run_events();
        self.log
    }

    /// Runs the simulation to its end; also returns the trace of the first host.
    pub fn run_recorded(mut self) -> (SceneLog, Option<TraceRecorder>) {
        self.run_events();
        (self.log, self.recorder)
    }

    /// Runs the simulation to its end; also returns the number of transactions.
    pub fn run_counted(mut self) -> (SceneLog, u64) {
        self.run_events();
        (self.log, self.table.txns())
    }

    fn run_events(&mut self) {
        for _ in 0..MAX_EVENTS {
            let next = self.queue.pop().filter(|(at, _)| *at < END);
            let Some((at, event)) = next else {
                self.end();
                return;
            };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.log.endless = true;
        self.end();
    }

    fn handle_event(&mut self, event: SceneEvent) {
        match event {
            SceneEvent::Input {
                to,
                input,
                stray,
                seen,
            } => self.deliver(to, input, stray, seen),
            SceneEvent::Call { from, call } => self.serve_call(from, &call),
            SceneEvent::Store {
                from,
                ticket,
                request,
                lost,
            } => self.serve_store(from, ticket, &request, lost),
            SceneEvent::LateWrite(request) => {
                self.table.call(&request);
            }
            SceneEvent::Resume(process) => self.resume(process),
            SceneEvent::Restart(host) => self.restart(host),
            SceneEvent::Wake(process) => self.wake(process),
            SceneEvent::Submit { host, number } => self.submit(host, number),
            SceneEvent::FetchKey { host } => self.fetch_key(host),
            SceneEvent::View { host } => self.notify_view(host),
        }
    }

    fn restart(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation.next();
        let settings = fixture::settings(host, incarnation, self.settings.seed);
        self.hosts[host].start(NodeMachine::new(settings));
        let config = match self.log.versions.iter().max() {
            Some(version) if *version == fixture::second_version().version => {
                fixture::second_version()
            }
            _ => fixture::first_version(),
        };
        self.pass_input(host, NodeInput::Config(config));
        self.notify_view(host);
        self.notify_leaving(host);
    }

    fn end(&mut self) {
        self.log.rows = self.table.rows().cloned().collect();
        self.log.reached = self.plan.iter().filter(|fault| fault.done).count();
        for slot in &self.hosts {
            let Some(machine) = &slot.machine else {
                continue;
            };
            self.log.ends.push(ProcessEnd {
                host: fixture::host_name(slot.host),
                incarnation: slot.incarnation,
                requests: machine.requests(),
                next_wake: machine.next_wake(),
                settled: machine.claims().is_settled(),
                version: machine.config_version(),
            });
        }
    }

    /// Returns the time after a delay in microseconds plus the random delay of the run.
    pub(super) fn after(&mut self, micros: u64) -> MonoTime {
        let jitter = match self.settings.jitter_us {
            0 => 0,
            most => self.next_random() % most,
        };
        self.now + Duration::from_micros(micros + jitter)
    }

    /// Returns a random number; a linear congruential generator suffices for delays.
    pub(super) fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    pub(super) fn push_input(&mut self, at: MonoTime, to: ProcessRef, input: NodeInput) {
        self.queue.push(
            at,
            SceneEvent::Input {
                to,
                input,
                stray: false,
                seen: false,
            },
        );
    }

    pub(super) fn push_submission(&mut self, at: MonoTime, host: usize, number: u128) {
        self.queue.push(at, SceneEvent::Submit { host, number });
    }
}
