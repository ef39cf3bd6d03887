//! The run of one cell.

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

/// The end of every run, long after the last fault.
const END: MonoTime = MonoTime::from_millis(40_000);

/// Bounds the events of a run; a run that has more does not come to an end.
const MAX_EVENTS: usize = 20_000;

const KEY_FETCH: MonoTime = MonoTime::from_millis(5);
const START: MonoTime = MonoTime::from_millis(10);
const BACKGROUND_START: MonoTime = MonoTime::from_millis(9);
const CONFIG_CHANGE: MonoTime = MonoTime::from_millis(22);
const DRAIN: MonoTime = MonoTime::from_millis(24);
const LAST_SUBMISSION: MonoTime = MonoTime::from_millis(12_000);

/// The span of a planned shutdown.
const DRAIN_SPAN: Duration = Duration::from_secs(2);

/// Numbers the submission that a cell observes.
pub(super) const OBSERVED: u128 = 1;

/// Numbers a submission of another caller at the same time.
pub(super) const BACKGROUND: u128 = 2;

/// Numbers the submission after the observed one ended.
pub(super) const FOLLOW_UP: u128 = 20;

const LATE: u128 = 21;

/// Holds the settings of a run.
#[derive(Clone, Debug, Default)]
pub struct SceneSettings {
    /// The seed of the machines and of the delays.
    pub seed: u64,
    /// The fault put into a machine's wrapper on purpose.
    pub broken: Option<DeliberateBreak>,
    /// Adds random delays of up to so many microseconds to every message.
    pub jitter_us: u64,
}

/// Holds a planned fault and whether it has set in.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) point: FaultPoint,
    pub(super) done: bool,
}

/// Runs one cell in virtual time.
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
    /// The calls whose connections are open.
    pub(super) open_calls: Vec<(ProcessRef, AttemptCall)>,
    /// Questions between hosts: the asker and its ticket, by the position.
    pub(super) questions: Vec<(ProcessRef, CallTicket)>,
    pub(super) forwards: Vec<OpenForward>,
    /// The key that the caller of the observed request fetched.
    pub(super) issued_key: Option<IdempotencyKey>,
    pub(super) call_faults: Vec<(AttemptNonce, CallFaults)>,
    pub(super) leaving: Vec<ServerId>,
    pub(super) next_number: u128,
    pub(super) followed_up: bool,
    pub(super) recorder: Option<TraceRecorder>,
    random: u64,
}

impl FaultScene {
    /// Prepares the run of a cell.
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

    /// Records the inputs of the first host's first process.
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

    /// Runs the cell to its end.
    pub fn run(mut self) -> SceneLog {
        self.run_events();
        self.log
    }

    /// Runs the cell to its end and returns the trace of the first host as well.
    pub fn run_recorded(mut self) -> (SceneLog, Option<TraceRecorder>) {
        self.run_events();
        (self.log, self.recorder)
    }

    /// Runs the cell to its end and returns the number of transactions as well.
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
            self.happen(event);
        }
        self.log.endless = true;
        self.end();
    }

    fn happen(&mut self, event: SceneEvent) {
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
            SceneEvent::View { host } => self.tell_view(host),
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
        self.feed(host, NodeInput::Config(config));
        self.tell_view(host);
        self.tell_leaving(host);
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

    /// Returns a point so many microseconds from now, with the random delay of this run.
    pub(super) fn after(&mut self, micros: u64) -> MonoTime {
        let jitter = match self.settings.jitter_us {
            0 => 0,
            most => self.draw() % most,
        };
        self.now + Duration::from_micros(micros + jitter)
    }

    /// Draws a number; a linear congruence is enough for delays.
    pub(super) fn draw(&mut self) -> u64 {
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
