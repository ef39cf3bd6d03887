//! Attempts in the simulation, from the choice of a server to the answer.

use std::time::Duration;

use hollywheel_policy::{AttemptKind, AttemptOutcome, PickDecision, PickRequest, RequestEnd};
use hollywheel_types::{AttemptNonce, RequestClass, ServerId};
use rand::RngExt;

use crate::common::{id, sent_attempt, server_name};
use crate::scenario::{CLASS_MIX, CONNECT_TIMEOUT, LATENCY_SIGMA, NETWORK_DELAY, SERVERS, SLOTS};
use crate::simulation::{Attempt, Event, Simulation};

impl Simulation {
    /// Picks a server for an attempt of a request and sends the attempt.
    pub(crate) fn pick(&mut self, request_index: usize, kind: AttemptKind) {
        let request = &self.requests[request_index];
        if request.end.is_some() {
            return;
        }
        let pick_request = PickRequest {
            pool: &id("pool"),
            stage: &id(request.class.name()),
            class: request.class,
            model: None,
            prefix: None,
            exclude: &request.exclude,
            deadline: request.deadline,
            later_stages: Duration::ZERO,
        };
        match self.hosts[request.host].pick(self.now, &pick_request) {
            PickDecision::Send(server) => self.send(request_index, kind, &server),
            _ if kind == AttemptKind::Hedge => {}
            PickDecision::Wait { until } => {
                self.schedule_in(until.since(self.now), Event::Pick(request_index, kind));
            }
            PickDecision::Refuse { retry_after, .. } => self.reject(request_index, retry_after),
        }
    }

    /// Sends an attempt to a server and schedules its hedge.
    pub(crate) fn send(&mut self, request_index: usize, kind: AttemptKind, server: &ServerId) {
        let attempt = self.attempts.len();
        let server_index = (0..SERVERS).find(|server_index| server_name(*server_index) == *server);
        self.attempts.push(Attempt {
            request: request_index,
            server: server_index.expect("server of the simulated pool"),
            started: None,
            run_time: Duration::ZERO,
            is_released: false,
        });
        let request = &mut self.requests[request_index];
        request.in_flight.push(attempt);
        let (host, class) = (request.host, request.class);
        let mut sent = sent_attempt(attempt as u128, request_index as u128, server, class);
        sent.kind = kind;
        self.hosts[host].attempt_sent(self.now, &sent);
        self.schedule_in(NETWORK_DELAY, Event::ReachServer(attempt));
        let hedge_delay = self.hosts[host].hedge_after(&sent.pool, &sent.stage, class);
        if let Some(hedge_delay) = hedge_delay
            && class != RequestClass::Transaction
            && kind == AttemptKind::First
        {
            self.schedule_in(hedge_delay, Event::Hedge(attempt));
        }
    }

    /// Hedges an attempt that is still the only one in flight.
    pub(crate) fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request: request_index,
            server,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[request_index];
        if request.end.is_some() || request.in_flight != [attempt] {
            return;
        }
        request.exclude.push(server_name(server));
        if self.hosts[request.host].take_hedge(self.now, &id("pool")) {
            self.pick(request_index, AttemptKind::Hedge);
        }
    }

    /// Handles the arrival of an attempt at its server.
    pub(crate) fn reach_server(&mut self, attempt: usize) {
        let server_index = self.attempts[attempt].server;
        if self.attempts[attempt].is_released {
            return;
        }
        let server = &self.servers[server_index];
        if server.is_partitioned {
            let failed = Event::Answer(attempt, AttemptOutcome::Failed);
            return self.schedule_in(CONNECT_TIMEOUT, failed);
        }
        if server.queue.len() >= 4 * SLOTS {
            let refused = Event::Answer(attempt, AttemptOutcome::Refused);
            return self.schedule_in(NETWORK_DELAY, refused);
        }
        let class = |attempt: &usize| self.requests[self.attempts[*attempt].request].class;
        let queue_position = match self.scenario.priority_queue {
            true => server
                .queue
                .partition_point(|entry| class(entry) <= class(&attempt)),
            false => server.queue.len(),
        };
        self.servers[server_index]
            .queue
            .insert(queue_position, attempt);
        self.start_queued(server_index);
    }

    /// Starts queued attempts while a server has free slots.
    pub(crate) fn start_queued(&mut self, server_index: usize) {
        while self.servers[server_index].running.len() < SLOTS
            && !self.servers[server_index].queue.is_empty()
        {
            let attempt = self.servers[server_index].queue.remove(0);
            let class = self.requests[self.attempts[attempt].request].class;
            let normal_sample: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
            let mean_ms = CLASS_MIX[class.index()].1 * self.servers[server_index].slowdown;
            let service_ms = mean_ms
                * (LATENCY_SIGMA * normal_sample - LATENCY_SIGMA * LATENCY_SIGMA / 2.0).exp();
            self.attempts[attempt].started = Some(self.now);
            self.servers[server_index].running.push(attempt);
            self.schedule_in(
                Duration::from_secs_f64(service_ms / 1000.0),
                Event::Processed(attempt),
            );
        }
    }

    /// Removes an attempt from the queue or the slots of its server.
    pub(crate) fn release_server(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if std::mem::replace(&mut entry.is_released, true) {
            return;
        }
        entry.run_time = entry
            .started
            .map_or(Duration::ZERO, |at| self.now.since(at));
        let server_index = entry.server;
        self.servers[server_index]
            .queue
            .retain(|entry| *entry != attempt);
        self.servers[server_index]
            .running
            .retain(|entry| *entry != attempt);
        self.start_queued(server_index);
    }

    /// Handles the end of the processing of an attempt.
    pub(crate) fn finish_processing(&mut self, attempt: usize) {
        if !self.attempts[attempt].is_released {
            self.release_server(attempt);
            self.schedule_in(
                NETWORK_DELAY,
                Event::Answer(attempt, AttemptOutcome::Answered),
            );
        }
    }

    /// Handles the arrival of an answer or a failure at the host.
    pub(crate) fn answer(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Attempt {
            request: request_index,
            server,
            started,
            run_time,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[request_index];
        if request.end.is_some() || !request.in_flight.contains(&attempt) {
            return;
        }
        request.in_flight.retain(|entry| *entry != attempt);
        request.exclude.push(server_name(server));
        let (host, is_last) = (request.host, request.in_flight.is_empty());
        let is_repeatable = request.class != RequestClass::Transaction || started.is_none();
        self.hosts[host].attempt_finished(self.now, AttemptNonce(attempt as u128), outcome);
        if self.scenario.piggyback_reports && !self.servers[server].is_partitioned {
            self.send_report(host, server);
        }
        if outcome == AttemptOutcome::Answered {
            self.useful_time += run_time;
            self.end_request(
                request_index,
                RequestEnd::Attained,
                AttemptOutcome::Cancelled,
            );
        } else if is_last && is_repeatable && self.hosts[host].take_retry(self.now, &id("pool")) {
            self.pick(request_index, AttemptKind::Retry);
        } else if is_last {
            self.end_request(request_index, RequestEnd::Failed, AttemptOutcome::Cancelled);
        }
        self.poll(host);
    }
}
