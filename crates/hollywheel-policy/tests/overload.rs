//! Tests that admission control ends an overload that caller retries would otherwise sustain.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use common::{MS, admit_request, pick, sent_attempt, server_name, small_engine};
use hollywheel_policy::{
    AdmitDecision, AttemptOutcome, PickDecision, PolicyEngine, RefuseReason, RequestEnd,
};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId};

const CLASS: RequestClass = RequestClass::Lookup;
const SERVICE_TIME: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(100);
const SERVERS: usize = 2;
const SLOTS: usize = 2;
const MAX_TRIES: u32 = 4;
const TOTAL_SECONDS: u64 = 12;

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// The next call arrives.
    Arrive,
    /// A caller sends a request; the number counts its tries.
    Try(u32),
    /// A request picks a server.
    Pick(u128),
    /// The attempt of a request ends.
    End(u128),
    /// The engine is polled.
    Poll,
}

/// One try of a caller: a request with its deadline.
struct CallerRequest {
    /// The second in which the request was sent.
    sent_second: u64,
    tries: u32,
    deadline: MonoTime,
    answered_in_time: bool,
}

/// Simulates callers that retry after a rejection or a time-out, and servers that finish requests
/// even if their callers have timed out.
struct RetryStorm {
    engine: PolicyEngine,
    /// Whether the engine decides on admission and routing.
    admission: bool,
    now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, Event)>>,
    /// The time at which each slot of each server becomes free.
    free_at: [[MonoTime; SLOTS]; SERVERS],
    requests: Vec<CallerRequest>,
}

impl RetryStorm {
    fn new(admission: bool) -> Self {
        Self {
            engine: small_engine(SERVERS, SLOTS as u32),
            admission,
            now: MonoTime(0),
            events: BinaryHeap::from([Reverse((MonoTime(0), Event::Arrive))]),
            free_at: [[MonoTime(0); SLOTS]; SERVERS],
            requests: Vec::new(),
        }
    }

    fn schedule(&mut self, time: MonoTime, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((time, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::Try(tries) => self.send_request(tries),
                Event::Pick(request) => self.send_attempt(request),
                Event::End(request) => self.end_attempt(request),
                Event::Poll => {}
            }
            for notice in self.engine.poll(time) {
                self.handle_decision(notice.request.0, notice.decision);
            }
        }
    }

    /// Generates three times the capacity in the first five seconds and 0.6 times the capacity
    /// afterwards.
    fn arrive(&mut self) {
        let second = self.now.0 / 1_000_000;
        if second >= TOTAL_SECONDS {
            return;
        }
        let capacity = (SERVERS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let load = if second < 5 { 3.0 } else { 0.6 };
        let gap = Duration::from_secs_f64(1.0 / (load * capacity));
        self.schedule(self.now + gap, Event::Arrive);
        self.send_request(1);
    }

    fn send_request(&mut self, tries: u32) {
        let request = self.requests.len() as u128;
        let deadline = self.now + DEADLINE;
        self.requests.push(CallerRequest {
            sent_second: self.now.0 / 1_000_000,
            tries,
            deadline,
            answered_in_time: false,
        });
        if !self.admission {
            return self.send_attempt(request);
        }
        let new_request = admit_request(request, "office", CLASS, deadline);
        let decision = self.engine.admit(self.now, &new_request);
        self.handle_decision(request, decision);
        self.schedule(deadline, Event::Poll);
    }

    fn handle_decision(&mut self, request: u128, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => self.send_attempt(request),
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.schedule_retry(request, retry_after),
        }
    }

    fn schedule_retry(&mut self, request: u128, after: Duration) {
        let tries = self.requests[request as usize].tries;
        if tries < MAX_TRIES {
            self.schedule(self.now + after, Event::Try(tries + 1));
        }
    }

    fn send_attempt(&mut self, request: u128) {
        let deadline = self.requests[request as usize].deadline;
        let decision = match self.admission {
            true => pick(&mut self.engine, self.now, CLASS, &[]),
            false => PickDecision::Send(server_name(request as usize % SERVERS)),
        };
        let server = match decision {
            PickDecision::Send(server) => server,
            PickDecision::Wait { until } if self.now < deadline => {
                return self.schedule(until, Event::Pick(request));
            }
            _ => {
                self.engine
                    .request_ended(self.now, RequestId(request), RequestEnd::Refused);
                return self.schedule_retry(request, 100 * MS);
            }
        };
        let attempt = sent_attempt(request, request, &server, CLASS);
        self.engine.attempt_sent(self.now, &attempt);
        let server_index = usize::from(server == server_name(1));
        let slot = self.free_at[server_index]
            .iter_mut()
            .min()
            .expect("each server has slots");
        *slot = (*slot).max(self.now) + SERVICE_TIME;
        let end = *slot;
        // A caller without an answer at its deadline retries; the server is not told.
        self.schedule(end.min(deadline), Event::End(request));
        self.requests[request as usize].answered_in_time = end <= deadline;
    }

    fn end_attempt(&mut self, request: u128) {
        let answered_in_time = self.requests[request as usize].answered_in_time;
        let (outcome, end) = match answered_in_time {
            true => (AttemptOutcome::Answered, RequestEnd::Attained),
            false => (AttemptOutcome::TimedOut, RequestEnd::Failed),
        };
        self.engine
            .attempt_finished(self.now, AttemptNonce(request), outcome);
        self.engine.request_ended(self.now, RequestId(request), end);
        if !answered_in_time {
            self.schedule_retry(request, MS);
        }
    }

    /// Returns the fraction of first tries sent in the given seconds that were answered in time.
    fn attained_share(&self, seconds: std::ops::Range<u64>) -> f64 {
        let offered = self
            .requests
            .iter()
            .filter(|request| request.tries == 1 && seconds.contains(&request.sent_second));
        let answered = offered
            .clone()
            .filter(|request| request.answered_in_time)
            .count();
        answered as f64 / offered.count() as f64
    }
}

#[test]
fn overload_ends_when_the_excess_load_ends() {
    let mut storm = RetryStorm::new(true);
    storm.run();
    assert!(
        storm.attained_share(7..TOTAL_SECONDS) > 0.99,
        "{}",
        storm.attained_share(7..TOTAL_SECONDS)
    );
}

#[test]
fn without_admission_retries_sustain_the_overload() {
    let mut storm = RetryStorm::new(false);
    storm.run();
    assert!(
        storm.attained_share(7..TOTAL_SECONDS) < 0.5,
        "{}",
        storm.attained_share(7..TOTAL_SECONDS)
    );
}

#[test]
fn queued_request_overtaken_by_higher_class_is_refused_before_its_deadline() {
    let mut engine = small_engine(1, 1);
    let now = MonoTime::from_millis(1000);
    for request in 0..20 {
        let class = RequestClass::Transaction;
        let new_request = admit_request(request, "office", class, now + 60_000 * MS);
        engine.admit(now, &new_request);
    }
    let new_request = admit_request(100, "office", RequestClass::Batch, now + 2000 * MS);
    assert_eq!(engine.admit(now, &new_request), AdmitDecision::Wait);
    for request in 200..400 {
        let class = RequestClass::Transaction;
        let new_request = admit_request(request, "office", class, now + 60_000 * MS);
        assert_eq!(engine.admit(now, &new_request), AdmitDecision::Wait);
    }
    let notices = engine.poll(now + 60 * MS);
    let refused = notices
        .iter()
        .find(|notice| notice.request == RequestId(100));
    assert!(matches!(
        refused.expect("a decision on request 100").decision,
        AdmitDecision::Refuse {
            reason: RefuseReason::Overloaded,
            ..
        }
    ));
}
