//! Faults and load reports of the simulated servers.

use hollywheel_policy::AttemptOutcome;

use crate::common::{MS, server_name, server_report};
use crate::scenario::{CONNECT_TIMEOUT, NETWORK_DELAY, SERVERS, SLOTS};
use crate::simulation::{Event, Simulation};

impl Simulation {
    /// Starts or ends the fault of the scenario: a slow first server, and, if the scenario asks for
    /// it, a partition of the first failure domain.
    pub(crate) fn set_fault(&mut self, is_active: bool) {
        self.servers[0].slowdown = if is_active {
            self.scenario.slowdown
        } else {
            1.0
        };
        if !self.scenario.is_partitioned {
            return;
        }
        for server_index in (0..SERVERS).step_by(3) {
            self.servers[server_index].is_partitioned = is_active;
            let server = &self.servers[server_index];
            for attempt in [&server.running[..], &server.queue[..]].concat() {
                self.release_server(attempt);
                self.attempts[attempt].started = Some(self.now);
                let failed = Event::Answer(attempt, AttemptOutcome::Failed);
                self.schedule_in(CONNECT_TIMEOUT, failed);
            }
        }
    }

    /// Reports the load of a server to a host.
    pub(crate) fn send_report(&mut self, host: usize, server_index: usize) {
        let server = &self.servers[server_index];
        let mut server_report = server_report(
            &server_name(server_index),
            1,
            server.running.len() as u32,
            SLOTS as u32,
        );
        server_report.queued = server.queue.len() as u32;
        self.hosts[host].server_reported(self.now, &server_report, NETWORK_DELAY);
    }

    /// Reports the load of all servers to all hosts and schedules the next reports.
    pub(crate) fn send_reports(&mut self) {
        if self.second() < self.scenario.total_seconds {
            for pair_index in 0..SERVERS * self.hosts.len() {
                self.send_report(pair_index / SERVERS, pair_index % SERVERS);
            }
            self.schedule_in(self.scenario.report_interval_ms * MS, Event::Report);
        }
    }
}
