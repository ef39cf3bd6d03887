//! Requests from arrival to end.

use std::time::Duration;

use hollywheel_policy::{AdmitDecision, AttemptKind, AttemptOutcome, RequestEnd};
use hollywheel_types::{AttemptNonce, RequestClass, RequestId};
use rand::RngExt;

use crate::common::{MS, admit_request};
use crate::scenario::{CAPACITY, MIX, Scenario};
use crate::world::{Event, Request, World};

impl World {
    pub(crate) fn arrive(&mut self) {
        let Scenario {
            from, until, total, ..
        } = self.scenario;
        if self.second() >= total {
            return;
        }
        let load = match (from..until).contains(&self.second()) {
            true => self.scenario.peak,
            false => self.scenario.load,
        };
        let mean: f64 = MIX.iter().map(|(share, millis, _)| share * millis).sum();
        let gap = -(1.0 - self.random.random::<f64>()).ln() * mean / (load * CAPACITY);
        self.after(Duration::from_secs_f64(gap / 1000.0), Event::Arrive);
        let mut draw = self.random.random::<f64>();
        let class = MIX.iter().position(|(share, _, _)| {
            draw -= share;
            draw < 0.0
        });
        self.receive(RequestClass::ALL[class.unwrap_or(3)], 0);
    }

    pub(crate) fn receive(&mut self, class: RequestClass, tries: u32) {
        let at = self.requests.len();
        let host = self.random.random_range(0..self.hosts.len());
        let span = MIX[class.index()].2 * MS;
        let deadline = self.now + span;
        self.requests.push(Request {
            class,
            host,
            arrived: self.now,
            deadline,
            exclude: Vec::new(),
            live: Vec::new(),
            tries,
            started: false,
            end: None,
        });
        self.after(span, Event::Deadline(at));
        let large = self.random.random::<f64>() < 0.9;
        let workspace = if large { "large" } else { "small" };
        let new_request = admit_request(at as u128, workspace, class, deadline);
        let decision = self.hosts[host].admit(self.now, &new_request);
        self.decide(at, decision);
        self.poll(host);
    }

    pub(crate) fn decide(&mut self, at: usize, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => {
                self.requests[at].started = true;
                self.pick(at, AttemptKind::First);
            }
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.refuse(at, retry_after),
        }
    }

    pub(crate) fn refuse(&mut self, at: usize, retry_after: Duration) {
        let (class, tries) = (self.requests[at].class, self.requests[at].tries);
        self.finish(at, RequestEnd::Refused, AttemptOutcome::Cancelled);
        if tries < self.scenario.client_retries {
            self.after(retry_after, Event::Again(class, tries + 1));
        }
    }

    pub(crate) fn poll(&mut self, host: usize) {
        for notice in self.hosts[host].poll(self.now) {
            self.decide(notice.request.0 as usize, notice.decision);
        }
        let Some(wake) = self.hosts[host].next_wake() else {
            return;
        };
        let wake = wake.max(self.now + MS);
        if self.wakes[host].is_none_or(|earlier| wake < earlier) {
            self.wakes[host] = Some(wake);
            self.after(wake.since(self.now), Event::Wake(host));
        }
    }

    pub(crate) fn wake(&mut self, host: usize) {
        self.wakes[host] = None;
        self.poll(host);
    }

    pub(crate) fn give_up(&mut self, at: usize) {
        if self.requests[at].end.is_none() {
            let host = self.requests[at].host;
            self.hosts[host].withdraw(self.now, RequestId(at as u128));
            self.finish(at, RequestEnd::Failed, AttemptOutcome::TimedOut);
        }
    }

    pub(crate) fn finish(&mut self, at: usize, end: RequestEnd, outcome: AttemptOutcome) {
        let host = self.requests[at].host;
        for attempt in std::mem::take(&mut self.requests[at].live) {
            self.free(attempt);
            self.hosts[host].attempt_finished(self.now, AttemptNonce(attempt as u128), outcome);
        }
        self.requests[at].end = Some((end, self.now));
        self.hosts[host].request_ended(self.now, RequestId(at as u128), end);
        self.poll(host);
    }
}
