//! Requests in the simulation, from arrival to end.

use std::time::Duration;

use hollywheel_policy::{AdmitDecision, AttemptKind, AttemptOutcome, RequestEnd};
use hollywheel_types::{AttemptNonce, RequestClass, RequestId};
use rand::RngExt;

use crate::common::{MS, admit_request};
use crate::scenario::{CAPACITY, CLASS_MIX, Scenario};
use crate::simulation::{Event, Request, Simulation};

impl Simulation {
    /// Generates the next new request and schedules the one after it.
    pub(crate) fn arrive(&mut self) {
        let Scenario {
            window_start,
            window_end,
            total_seconds,
            ..
        } = self.scenario;
        if self.second() >= total_seconds {
            return;
        }
        let load = match (window_start..window_end).contains(&self.second()) {
            true => self.scenario.window_load,
            false => self.scenario.base_load,
        };
        let mean_ms: f64 = CLASS_MIX
            .iter()
            .map(|(share, millis, _)| share * millis)
            .sum();
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * mean_ms / (load * CAPACITY);
        self.schedule_in(Duration::from_secs_f64(gap_ms / 1000.0), Event::Arrive);
        let mut class_draw = self.rng.random::<f64>();
        let class = CLASS_MIX.iter().position(|(share, _, _)| {
            class_draw -= share;
            class_draw < 0.0
        });
        self.receive_request(RequestClass::ALL[class.unwrap_or(3)], 0);
    }

    /// Sends a request of a caller to a random host.
    pub(crate) fn receive_request(&mut self, class: RequestClass, tries: u32) {
        let request_index = self.requests.len();
        let host = self.rng.random_range(0..self.hosts.len());
        let span = CLASS_MIX[class.index()].2 * MS;
        let deadline = self.now + span;
        self.requests.push(Request {
            class,
            host,
            arrived: self.now,
            deadline,
            exclude: Vec::new(),
            in_flight: Vec::new(),
            tries,
            started: false,
            end: None,
        });
        self.schedule_in(span, Event::Deadline(request_index));
        let is_large = self.rng.random::<f64>() < 0.9;
        let workspace = if is_large { "large" } else { "small" };
        let new_request = admit_request(request_index as u128, workspace, class, deadline);
        let decision = self.hosts[host].admit(self.now, &new_request);
        self.apply_decision(request_index, decision);
        self.poll(host);
    }

    /// Applies an admission decision to a request.
    pub(crate) fn apply_decision(&mut self, request_index: usize, decision: AdmitDecision) {
        match decision {
            AdmitDecision::Start => {
                self.requests[request_index].started = true;
                self.pick(request_index, AttemptKind::First);
            }
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse { retry_after, .. } => self.reject(request_index, retry_after),
        }
    }

    /// Ends a rejected request and schedules the retry of its caller.
    pub(crate) fn reject(&mut self, request_index: usize, retry_after: Duration) {
        let (class, tries) = (
            self.requests[request_index].class,
            self.requests[request_index].tries,
        );
        self.end_request(
            request_index,
            RequestEnd::Refused,
            AttemptOutcome::Cancelled,
        );
        if tries < self.scenario.client_retries {
            self.schedule_in(retry_after, Event::CallerRetry(class, tries + 1));
        }
    }

    /// Polls the engine of a host and schedules its next poll.
    pub(crate) fn poll(&mut self, host: usize) {
        for notice in self.hosts[host].poll(self.now) {
            self.apply_decision(notice.request.0 as usize, notice.decision);
        }
        let Some(poll_at) = self.hosts[host].next_wake() else {
            return;
        };
        let poll_at = poll_at.max(self.now + MS);
        if self.poll_times[host].is_none_or(|earlier| poll_at < earlier) {
            self.poll_times[host] = Some(poll_at);
            self.schedule_in(poll_at.since(self.now), Event::Poll(host));
        }
    }

    /// Handles a scheduled poll of a host.
    pub(crate) fn poll_scheduled(&mut self, host: usize) {
        self.poll_times[host] = None;
        self.poll(host);
    }

    /// Ends a request that has not ended by its deadline.
    pub(crate) fn expire_request(&mut self, request_index: usize) {
        if self.requests[request_index].end.is_none() {
            let host = self.requests[request_index].host;
            self.hosts[host].withdraw(self.now, RequestId(request_index as u128));
            self.end_request(request_index, RequestEnd::Failed, AttemptOutcome::TimedOut);
        }
    }

    /// Ends a request; its attempts in flight end with `outcome`.
    pub(crate) fn end_request(
        &mut self,
        request_index: usize,
        end: RequestEnd,
        outcome: AttemptOutcome,
    ) {
        let host = self.requests[request_index].host;
        for attempt in std::mem::take(&mut self.requests[request_index].in_flight) {
            self.release_server(attempt);
            self.hosts[host].attempt_finished(self.now, AttemptNonce(attempt as u128), outcome);
        }
        self.requests[request_index].end = Some((end, self.now));
        self.hosts[host].request_ended(self.now, RequestId(request_index as u128), end);
        self.poll(host);
    }
}
