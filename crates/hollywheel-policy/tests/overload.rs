//! The exit from overload that retries of callers would sustain.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use common::{MS, admit_request, pick, sent, server_name, small_engine};
use hollywheel_policy::{
    AdmitDecision, AttemptOutcome, PickDecision, PolicyEngine, RefuseReason, RequestEnd,
};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId};

const CLASS: RequestClass = RequestClass::Lookup;
const SERVICE: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(100);
const SERVERS: usize = 2;
const SLOTS: usize = 2;
const MAX_TRIES: u32 = 4;
const SECONDS: u64 = 12;

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Try(u32),
    Pick(u128),
    End(u128),
    Poll,
}

struct Entry {
    first_second: u64,
    tries: u32,
    deadline: MonoTime,
    done: bool,
}

/// Runs callers that ask again after a refusal or a timeout, against servers that go on with
/// work which nobody waits for.
struct World {
    engine: PolicyEngine,
    admission: bool,
    now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, Event)>>,
    free_at: [[MonoTime; SLOTS]; SERVERS],
    entries: Vec<Entry>,
}

impl World {
    fn new(admission: bool) -> Self {
        Self {
            engine: small_engine(SERVERS, SLOTS as u32),
            admission,
            now: MonoTime(0),
            events: BinaryHeap::from([Reverse((MonoTime(0), Event::Arrive))]),
            free_at: [[MonoTime(0); SLOTS]; SERVERS],
            entries: Vec::new(),
        }
    }

    fn at(&mut self, time: MonoTime, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((time, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::Try(tries) => self.start(tries),
                Event::Pick(request) => self.send(request),
                Event::End(request) => self.end(request),
                Event::Poll => {}
            }
            for notice in self.engine.poll(time) {
                self.decide(notice.request.0, notice.decision);
            }
        }
    }

    /// Offers three times the capacity in the first five seconds and 0.6 of it afterwards.
    fn arrive(&mut self) {
        let second = self.now.0 / 1_000_000;
        if second >= SECONDS {
            return;
        }
        let capacity = (SERVERS * SLOTS) as f64 / SERVICE.as_secs_f64();
        let load = if second < 5 { 3.0 } else { 0.6 };
        let gap = Duration::from_secs_f64(1.0 / (load * capacity));
        self.at(self.now + gap, Event::Arrive);
        self.start(1);
    }

    fn start(&mut self, tries: u32) {
        let request = self.entries.len() as u128;
        let deadline = self.now + DEADLINE;
        self.entries.push(Entry {
            first_second: self.now.0 / 1_000_000,
            tries,
            deadline,
            done: false,
        });
        if !self.admission {
            return self.send(request);
        }
        let asked = admit_request(request, "office", CLASS, deadline);
        let decision = self.engine.admit(self.now, &asked);
        self.decide(request, decision);
        self.at(deadline, Event::Poll);
    }

    fn decide(&mut self, request: u128, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => self.send(request),
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.again(request, retry_after),
        }
    }

    fn again(&mut self, request: u128, after: Duration) {
        let tries = self.entries[request as usize].tries;
        if tries < MAX_TRIES {
            self.at(self.now + after, Event::Try(tries + 1));
        }
    }

    fn send(&mut self, request: u128) {
        let deadline = self.entries[request as usize].deadline;
        let decision = match self.admission {
            true => pick(&mut self.engine, self.now, CLASS, &[]),
            false => PickDecision::Send(server_name(request as usize % SERVERS)),
        };
        let server = match decision {
            PickDecision::Send(server) => server,
            PickDecision::Wait { until } if self.now < deadline => {
                return self.at(until, Event::Pick(request));
            }
            _ => {
                self.engine
                    .request_ended(self.now, RequestId(request), RequestEnd::Refused);
                return self.again(request, 100 * MS);
            }
        };
        let attempt = sent(request, request, &server, CLASS);
        self.engine.attempt_sent(self.now, &attempt);
        let at = usize::from(server == server_name(1));
        let slot = self.free_at[at].iter_mut().min().expect("a slot");
        *slot = (*slot).max(self.now) + SERVICE;
        let end = *slot;
        // A caller without an answer at its deadline asks again; the server does not know.
        self.at(end.min(deadline), Event::End(request));
        self.entries[request as usize].done = end <= deadline;
    }

    fn end(&mut self, request: u128) {
        let done = self.entries[request as usize].done;
        let (outcome, end) = match done {
            true => (AttemptOutcome::Answered, RequestEnd::Attained),
            false => (AttemptOutcome::TimedOut, RequestEnd::Failed),
        };
        self.engine
            .attempt_finished(self.now, AttemptNonce(request), outcome);
        self.engine.request_ended(self.now, RequestId(request), end);
        if !done {
            self.again(request, MS);
        }
    }

    /// Returns the share of first tries within a span of seconds that were answered in time.
    fn attained(&self, seconds: std::ops::Range<u64>) -> f64 {
        let offered = self
            .entries
            .iter()
            .filter(|entry| entry.tries == 1 && seconds.contains(&entry.first_second));
        let good = offered.clone().filter(|entry| entry.done).count();
        good as f64 / offered.count() as f64
    }
}

#[test]
fn overload_ends_with_its_cause() {
    let mut world = World::new(true);
    world.run();
    assert!(
        world.attained(7..SECONDS) > 0.99,
        "{}",
        world.attained(7..SECONDS)
    );
}

#[test]
fn without_admission_retries_sustain_the_overload() {
    let mut world = World::new(false);
    world.run();
    assert!(
        world.attained(7..SECONDS) < 0.5,
        "{}",
        world.attained(7..SECONDS)
    );
}

#[test]
fn a_request_that_is_overtaken_is_refused_before_its_deadline() {
    let mut engine = small_engine(1, 1);
    let now = MonoTime::from_millis(1000);
    for request in 0..20 {
        let class = RequestClass::Transaction;
        let asked = admit_request(request, "office", class, now + 60_000 * MS);
        engine.admit(now, &asked);
    }
    let asked = admit_request(100, "office", RequestClass::Batch, now + 2000 * MS);
    assert_eq!(engine.admit(now, &asked), AdmitDecision::Wait);
    for request in 200..400 {
        let class = RequestClass::Transaction;
        let asked = admit_request(request, "office", class, now + 60_000 * MS);
        assert_eq!(engine.admit(now, &asked), AdmitDecision::Wait);
    }
    let notices = engine.poll(now + 60 * MS);
    let refused = notices
        .iter()
        .find(|notice| notice.request == RequestId(100));
    assert!(matches!(
        refused.expect("a decision").decision,
        AdmitDecision::Refuse {
            reason: RefuseReason::Overloaded,
            ..
        }
    ));
}
