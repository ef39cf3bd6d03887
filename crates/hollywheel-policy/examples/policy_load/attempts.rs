//! Attempts from the choice of a server to the answer.

use std::time::Duration;

use hollywheel_policy::{AttemptKind, AttemptOutcome, PickDecision, PickRequest, RequestEnd};
use hollywheel_types::{AttemptNonce, RequestClass, ServerId};
use rand::RngExt;

use crate::common::{id, sent_attempt, server_name};
use crate::scenario::{CONNECT_TIMEOUT, MIX, NETWORK, SERVERS, SIGMA, SLOTS};
use crate::world::{Attempt, Event, World};

impl World {
    pub(crate) fn pick(&mut self, at: usize, kind: AttemptKind) {
        let request = &self.requests[at];
        if request.end.is_some() {
            return;
        }
        let question = PickRequest {
            pool: &id("pool"),
            stage: &id(request.class.name()),
            class: request.class,
            model: None,
            prefix: None,
            exclude: &request.exclude,
            deadline: request.deadline,
            later_stages: Duration::ZERO,
        };
        match self.hosts[request.host].pick(self.now, &question) {
            PickDecision::Send(server) => self.send(at, kind, &server),
            _ if kind == AttemptKind::Hedge => {}
            PickDecision::Wait { until } => {
                self.after(until.since(self.now), Event::Pick(at, kind));
            }
            PickDecision::Refuse { retry_after, .. } => self.refuse(at, retry_after),
        }
    }

    pub(crate) fn send(&mut self, at: usize, kind: AttemptKind, server: &ServerId) {
        let attempt = self.attempts.len();
        let place = (0..SERVERS).find(|place| server_name(*place) == *server);
        self.attempts.push(Attempt {
            request: at,
            server: place.expect("a known server"),
            started: None,
            ran: Duration::ZERO,
            over: false,
        });
        let request = &mut self.requests[at];
        request.live.push(attempt);
        let (host, class) = (request.host, request.class);
        let mut told = sent_attempt(attempt as u128, at as u128, server, class);
        told.kind = kind;
        self.hosts[host].attempt_sent(self.now, &told);
        self.after(NETWORK, Event::Reach(attempt));
        let after = self.hosts[host].hedge_after(&told.pool, &told.stage, class);
        if let Some(after) = after
            && class != RequestClass::Transaction
            && kind == AttemptKind::First
        {
            self.after(after, Event::Hedge(attempt));
        }
    }

    pub(crate) fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request: at,
            server,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[at];
        if request.end.is_some() || request.live != [attempt] {
            return;
        }
        request.exclude.push(server_name(server));
        if self.hosts[request.host].take_hedge(self.now, &id("pool")) {
            self.pick(at, AttemptKind::Hedge);
        }
    }

    pub(crate) fn reach(&mut self, attempt: usize) {
        let at = self.attempts[attempt].server;
        if self.attempts[attempt].over {
            return;
        }
        let server = &self.servers[at];
        if server.cut {
            let failed = Event::Answer(attempt, AttemptOutcome::Failed);
            return self.after(CONNECT_TIMEOUT, failed);
        }
        if server.queue.len() >= 4 * SLOTS {
            let refused = Event::Answer(attempt, AttemptOutcome::Refused);
            return self.after(NETWORK, refused);
        }
        let class = |attempt: &usize| self.requests[self.attempts[*attempt].request].class;
        let place = match self.scenario.priority {
            true => server
                .queue
                .partition_point(|entry| class(entry) <= class(&attempt)),
            false => server.queue.len(),
        };
        self.servers[at].queue.insert(place, attempt);
        self.serve(at);
    }

    pub(crate) fn serve(&mut self, at: usize) {
        while self.servers[at].running.len() < SLOTS && !self.servers[at].queue.is_empty() {
            let attempt = self.servers[at].queue.remove(0);
            let class = self.requests[self.attempts[attempt].request].class;
            let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
            let mean = MIX[class.index()].1 * self.servers[at].factor;
            let millis = mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
            self.attempts[attempt].started = Some(self.now);
            self.servers[at].running.push(attempt);
            self.after(
                Duration::from_secs_f64(millis / 1000.0),
                Event::Done(attempt),
            );
        }
    }

    /// Takes an attempt off its server.
    pub(crate) fn free(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if std::mem::replace(&mut entry.over, true) {
            return;
        }
        entry.ran = entry
            .started
            .map_or(Duration::ZERO, |at| self.now.since(at));
        let at = entry.server;
        self.servers[at].queue.retain(|entry| *entry != attempt);
        self.servers[at].running.retain(|entry| *entry != attempt);
        self.serve(at);
    }

    pub(crate) fn done(&mut self, attempt: usize) {
        if !self.attempts[attempt].over {
            self.free(attempt);
            self.after(NETWORK, Event::Answer(attempt, AttemptOutcome::Answered));
        }
    }

    pub(crate) fn answer(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Attempt {
            request: at,
            server,
            started,
            ran,
            ..
        } = self.attempts[attempt];
        let request = &mut self.requests[at];
        if request.end.is_some() || !request.live.contains(&attempt) {
            return;
        }
        request.live.retain(|entry| *entry != attempt);
        request.exclude.push(server_name(server));
        let (host, alone) = (request.host, request.live.is_empty());
        let repeatable = request.class != RequestClass::Transaction || started.is_none();
        self.hosts[host].attempt_finished(self.now, AttemptNonce(attempt as u128), outcome);
        if self.scenario.piggyback && !self.servers[server].cut {
            self.send_report(host, server);
        }
        if outcome == AttemptOutcome::Answered {
            self.useful += ran;
            self.finish(at, RequestEnd::Attained, AttemptOutcome::Cancelled);
        } else if alone && repeatable && self.hosts[host].take_retry(self.now, &id("pool")) {
            self.pick(at, AttemptKind::Retry);
        } else if alone {
            self.finish(at, RequestEnd::Failed, AttemptOutcome::Cancelled);
        }
        self.poll(host);
    }
}
