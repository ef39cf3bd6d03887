//! Faults and load reports of the servers.

use hollywheel_policy::AttemptOutcome;

use crate::common::{MS, server_name, server_report};
use crate::scenario::{CONNECT_TIMEOUT, NETWORK, SERVERS, SLOTS};
use crate::world::{Event, World};

impl World {
    pub(crate) fn fault(&mut self, on: bool) {
        self.servers[0].factor = if on { self.scenario.slow } else { 1.0 };
        if !self.scenario.cut {
            return;
        }
        for at in (0..SERVERS).step_by(3) {
            self.servers[at].cut = on;
            let server = &self.servers[at];
            for attempt in [&server.running[..], &server.queue[..]].concat() {
                self.free(attempt);
                self.attempts[attempt].started = Some(self.now);
                let failed = Event::Answer(attempt, AttemptOutcome::Failed);
                self.after(CONNECT_TIMEOUT, failed);
            }
        }
    }

    pub(crate) fn send_report(&mut self, host: usize, at: usize) {
        let server = &self.servers[at];
        let mut server_report = server_report(
            &server_name(at),
            1,
            server.running.len() as u32,
            SLOTS as u32,
        );
        server_report.queued = server.queue.len() as u32;
        self.hosts[host].server_reported(self.now, &server_report, NETWORK);
    }

    pub(crate) fn send_reports(&mut self) {
        if self.second() < self.scenario.total {
            for at in 0..SERVERS * self.hosts.len() {
                self.send_report(at / SERVERS, at % SERVERS);
            }
            self.after(self.scenario.report_ms * MS, Event::Report);
        }
    }
}
