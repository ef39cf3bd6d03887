//! Plays fleets of hosts that repeat sends as often as their budgets allow, and checks the sum in every
//! window.

use std::time::Duration;

use hollywheel_serving::{BudgetShare, HostRecord, HostTable, RetryBudget, StoreEra, StorePlace};
use hollywheel_types::MonoTime;

/// The common bound: a ratio of the requests, a slack and a window in milliseconds.
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const WINDOW: u64 = 10_000;
/// Time until the other hosts know of a host that starts or stops, in milliseconds.
const NEWS_DELAY: u64 = 500;
/// Time for which the fleet runs before repeats are wanted, in milliseconds.
const WARM_UP: u64 = 30_000;

/// One process of a host.
struct HostProcess {
    table: HostTable,
    share: BudgetShare,
    /// Whether the process has read the rows of all hosts.
    has_read: bool,
    budget: RetryBudget,
}

/// What happens to a host.
#[derive(Clone, Copy)]
enum HostEvent {
    /// Its process ends and another one begins at once.
    Restart,
    /// It announces that it stops, and removes its row.
    Stop,
    /// It starts and writes its row.
    Start,
}

/// A fleet whose hosts want to repeat sends all the time, and what they have sent.
struct Fleet {
    processes: Vec<Option<HostProcess>>,
    /// Hosts whose rows exist, as the others know them, and the time at which they learn it.
    rows: Vec<(u64, usize, bool)>,
    revision: u64,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

fn record(number: usize) -> HostRecord {
    HostRecord {
        name: format!("h{number}").parse().unwrap(),
        address: "10.0.0.1:7000".parse().unwrap(),
        domain: "a".parse().unwrap(),
        incarnation: 1,
        weight: 1,
    }
}

impl HostProcess {
    fn start(now: MonoTime, number: usize) -> Self {
        let window = Duration::from_millis(WINDOW);
        Self {
            table: HostTable::new(record(number)),
            share: BudgetShare::new(now, window),
            has_read: false,
            budget: RetryBudget::new(RATIO, SLACK, window),
        }
    }

    fn take_repeat(&mut self, now: MonoTime) -> bool {
        let share = self.share.share(now, self.table.sharing_count());
        self.budget.take_repeat(now, share)
    }
}

impl Fleet {
    /// Creates a fleet of `hosts` places, of which the first `running` hosts run.
    fn new(hosts: usize, running: usize) -> Self {
        let mut fleet = Self {
            processes: (0..hosts).map(|_| None).collect(),
            rows: Vec::new(),
            revision: 1,
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for number in 0..running {
            fleet.apply(0, number, HostEvent::Start);
        }
        fleet
    }

    fn apply(&mut self, now: u64, number: usize, event: HostEvent) {
        let is_running = !matches!(event, HostEvent::Stop);
        self.processes[number] =
            is_running.then(|| HostProcess::start(MonoTime::from_millis(now), number));
        self.rows.push((now + NEWS_DELAY, number, is_running));
    }

    /// Lets every host learn what is known by now: a new process everything, the others the news.
    fn spread_news(&mut self, now: u64) {
        let due: Vec<(u64, usize, bool)> = self.rows.extract_if(.., |row| row.0 <= now).collect();
        for (_, number, is_running) in due {
            self.revision += 1;
            let place = StorePlace {
                era: StoreEra(1),
                revision: self.revision,
            };
            let running: Vec<usize> = (0..self.processes.len())
                .filter(|other| self.processes[*other].is_some())
                .collect();
            for (other, process) in self.processes.iter_mut().enumerate() {
                let Some(process) = process else { continue };
                if other == number {
                    process.has_read = true;
                    for known in &running {
                        process.table.upsert(record(*known), place);
                    }
                } else if !process.has_read {
                    continue;
                } else if is_running {
                    process.table.upsert(record(number), place);
                } else {
                    process.table.remove(&record(number).name, place);
                }
            }
        }
    }

    /// Plays until `end` with a number of requests per second, spread over the running hosts. Events
    /// are given in milliseconds after the warm-up.
    fn play(&mut self, end: u64, rate: impl Fn(u64) -> f64, events: &[(u64, usize, HostEvent)]) {
        let mut owed = 0.0;
        let mut turn = 0;
        for millis in 0..WARM_UP + end {
            let now = MonoTime::from_millis(millis);
            for (at, number, event) in events {
                if at + WARM_UP == millis {
                    self.apply(millis, *number, *event);
                }
            }
            self.spread_news(millis);
            owed += rate(millis.saturating_sub(WARM_UP)) / 1000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                turn += 1;
                let running = self.processes.iter_mut().flatten();
                let mut running: Vec<&mut HostProcess> = running.collect();
                let index = turn % running.len();
                running[index].budget.count_request(now);
                self.requests.push(millis);
            }
            if millis >= WARM_UP && millis % 5 == 0 {
                for process in self.processes.iter_mut().flatten() {
                    while process.take_repeat(now) {
                        self.repeats.push(millis);
                    }
                }
            }
        }
    }

    /// Checks every window against the users' rule, which counts the requests of the window, of the one
    /// before it or of the one half a window before it, whichever has most. Also checks that at least
    /// `least` repeats were sent in the fullest window.
    fn check(&self, least: usize) {
        let count = |times: &[u64], start: u64| {
            let first = times.partition_point(|time| *time < start);
            times.partition_point(|time| *time < start + WINDOW) - first
        };
        let mut most = 0;
        for start in self.repeats.iter().copied() {
            let starts = [start, start - WINDOW / 2, start - WINDOW];
            let requests = starts.map(|start| count(&self.requests, start));
            let requests = requests.into_iter().max().unwrap_or(0);
            let allowed = RATIO * requests as f64 + SLACK;
            let sent = count(&self.repeats, start);
            most = most.max(sent);
            assert!(
                sent as f64 <= allowed,
                "{sent} repeats in the window from {} ms for {requests} requests, {allowed} allowed",
                start - WARM_UP
            );
        }
        assert!(most >= least, "{most} repeats in the fullest window");
    }
}

#[test]
fn restarted_hosts_spend_their_share_of_the_retry_slack_again() {
    let mut fleet = Fleet::new(8, 8);
    let restarts: Vec<_> = (0..8)
        .map(|number| (3000 + 500 * number as u64, number, HostEvent::Restart))
        .collect();
    fleet.play(40_000, |_| 30.0, &restarts);
    fleet.check(80);
}

#[test]
fn remaining_hosts_take_the_retry_slack_of_hosts_that_stop() {
    let mut fleet = Fleet::new(8, 8);
    let mut events = Vec::new();
    for number in 0..8 {
        let stops_at = 2000 + 600 * (number as u64 / 3);
        events.push((stops_at, number, HostEvent::Stop));
        events.push((stops_at + 550, number, HostEvent::Start));
    }
    fleet.play(40_000, |_| 30.0, &events);
    fleet.check(80);
}

#[test]
fn hosts_that_join_add_to_the_retry_slack() {
    let mut fleet = Fleet::new(14, 8);
    let joins: Vec<_> = (8..14)
        .map(|number| (6000, number, HostEvent::Start))
        .collect();
    fleet.play(40_000, |_| 30.0, &joins);
    fleet.check(80);
}

#[test]
fn repeats_of_a_short_burst_exceed_the_budget() {
    let mut fleet = Fleet::new(8, 8);
    let rate = |millis| match millis {
        5000..15_000 => 120.0,
        _ => 20.0,
    };
    fleet.play(40_000, rate, &[]);
    fleet.check(150);
}
