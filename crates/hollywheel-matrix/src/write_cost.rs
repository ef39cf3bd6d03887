//! Cost of claims in writes of the table service.

use std::time::Duration;

use hollywheel_claims::{
    ClaimKey, ClaimOutput, ClaimRequest, ClaimSettings, ClaimTable, ClaimTicket,
};
use hollywheel_store::{StoreReply, StoreRequest};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, MonoTime, RequestId, SortedMap, WallTime,
};

use crate::scene::FakeTable;

const MICROS: f64 = 1e6;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct CostSettings {
    /// The number of hosts, among which the requests are spread evenly.
    pub hosts: usize,
    /// The non-idempotent requests per second over all hosts, which arrive at random.
    pub rate: f64,
    /// The duration of the measurement.
    pub span: Duration,
    /// The time from a call of the table service to its answer.
    pub store_time: Duration,
    /// The time from the claim to the result.
    pub service_time: Duration,
    /// The settings of the claims.
    pub claims: ClaimSettings,
    /// The seed of the arrivals.
    pub seed: u64,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            hosts: 9,
            rate: 660.0,
            span: Duration::from_secs(30),
            store_time: Duration::from_millis(5),
            service_time: Duration::from_millis(40),
            claims: ClaimSettings::default(),
            seed: 1,
        }
    }
}

/// The result of a measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriteCost {
    /// The number of requests.
    pub requests: u64,
    /// The transactions per second.
    pub txns_per_second: f64,
    /// The written rows per second.
    pub rows_per_second: f64,
    /// The median time from the claim to its grant.
    pub claim_p50: Duration,
    /// The 99th percentile of the time from the claim to its grant.
    pub claim_p99: Duration,
}

#[derive(Debug)]
enum CostEvent {
    Arrive(usize),
    Answer(usize, ClaimTicket, StoreReply),
    Finish(usize, RequestId),
    Wake(usize),
}

#[derive(Debug)]
struct CostRun {
    settings: CostSettings,
    tables: Vec<ClaimTable>,
    store: FakeTable,
    events: SortedMap<(MonoTime, u64), CostEvent>,
    next_event: u64,
    next_request: u128,
    random: u64,
    asked: SortedMap<RequestId, MonoTime>,
    waits: Vec<Duration>,
    rows: u64,
}

/// Measures the writes of claims in virtual time.
pub fn measure_writes(settings: &CostSettings) -> WriteCost {
    let tables = (0..settings.hosts)
        .map(|_| ClaimTable::new(settings.claims.clone()))
        .collect();
    let mut run = CostRun {
        settings: settings.clone(),
        tables,
        store: FakeTable::default(),
        events: SortedMap::new(),
        next_event: 0,
        next_request: 0,
        random: settings.seed,
        asked: SortedMap::new(),
        waits: Vec::new(),
        rows: 0,
    };
    run.push(MonoTime(0), CostEvent::Arrive(0));
    run.run();
    run.cost()
}

impl CostRun {
    fn push(&mut self, at: MonoTime, event: CostEvent) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn pop(&mut self) -> Option<(MonoTime, CostEvent)> {
        let key = self.events.keys().next().copied()?;
        let event = self.events.remove(&key)?;
        Some((key.0, event))
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.pop() {
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: MonoTime, event: CostEvent) {
        match event {
            CostEvent::Arrive(host) => self.arrive(now, host),
            CostEvent::Answer(host, ticket, reply) => {
                let outputs = self.tables[host].store_answered(now, ticket, &Ok(reply));
                self.execute(now, host, outputs);
            }
            CostEvent::Finish(host, request) => {
                let output = Some("a short answer".to_owned());
                let ran = ExecutionVerdict::Ran;
                let outputs = self.tables[host].finish(now, request, ran, output);
                self.execute(now, host, outputs);
            }
            CostEvent::Wake(host) => {
                let outputs = self.tables[host].tick(now);
                self.execute(now, host, outputs);
            }
        }
    }

    fn arrive(&mut self, now: MonoTime, host: usize) {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let order = ClaimRequest {
            request,
            key: ClaimKey {
                workspace: "clerks".parse().expect("a valid name"),
                key: format!("k{}", self.next_request)
                    .parse()
                    .expect("a valid key"),
            },
            digest: BodyDigest(1),
            nonce: AttemptNonce(self.next_request),
            claimed_at: WallTime(0),
            deadline: now + Duration::from_secs(60),
        };
        self.asked.insert(request, now);
        let outputs = self.tables[host].claim(now, order);
        self.execute(now, host, outputs);
        let next = now + self.pause();
        if next < MonoTime(0) + self.settings.span {
            let host =
                usize::try_from(self.next_random()).unwrap_or_default() % self.settings.hosts;
            self.push(next, CostEvent::Arrive(host));
        }
    }

    /// Returns the random time to the next arrival.
    fn pause(&mut self) -> Duration {
        let share = (self.next_random() + 1) as f64 / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-share.min(1.0).ln() / self.settings.rate)
    }

    fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 32
    }

    fn execute(&mut self, now: MonoTime, host: usize, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Store { ticket, request } => {
                    if let StoreRequest::Txn { ops, .. } = &request {
                        self.rows += ops.len() as u64;
                    }
                    let reply = self.store.call(&request);
                    let at = now + self.settings.store_time;
                    self.push(at, CostEvent::Answer(host, ticket, reply));
                }
                ClaimOutput::Granted { request } => {
                    if let Some(asked) = self.asked.remove(&request) {
                        self.waits.push(now.since(asked));
                    }
                    let at = now + self.settings.service_time;
                    self.push(at, CostEvent::Finish(host, request));
                }
                ClaimOutput::AskHost { .. }
                | ClaimOutput::Replayed { .. }
                | ClaimOutput::Denied { .. } => {}
            }
        }
        if let Some(wake) = self.tables[host].next_wake() {
            self.push(wake.max(MonoTime(now.0 + 1)), CostEvent::Wake(host));
        }
    }

    fn cost(mut self) -> WriteCost {
        self.waits.sort();
        let share = |percent: usize| {
            let at = (self.waits.len() * percent / 100).min(self.waits.len().saturating_sub(1));
            self.waits.get(at).copied().unwrap_or_default()
        };
        let seconds = self.settings.span.as_micros() as f64 / MICROS;
        WriteCost {
            requests: u64::try_from(self.next_request).unwrap_or(u64::MAX),
            txns_per_second: self.store.txns() as f64 / seconds,
            rows_per_second: self.rows as f64 / seconds,
            claim_p50: share(50),
            claim_p99: share(99),
        }
    }
}
