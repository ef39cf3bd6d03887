//! A replay of requests with chains of stages through several pools, in virtual time.

use std::time::Duration;

use hollywheel_serving::{
    BatchPolicy, CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, LatencyForecast,
    PiecePool, PieceResult, PoolBatcher, RequestRank, StagePlan, StageTimes,
};
use hollywheel_types::{MonoTime, PipelineId, ServerId};

/// Time between two steps of the replay; hosts dispatch at this interval too.
const STEP_MS: u64 = 5;
/// Number of hosts, each of which learns the times of its own requests only.
const HOSTS: usize = 12;
/// Time from the final call to the start of the answer.
const FIRST_ANSWER_MS: u64 = 100;

/// Describes requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u8,
    /// See `GroupRequest::workspace`.
    pub workspace: u64,
    /// The pools of the stages, in order.
    pub stages: &'static [usize],
    /// Requests have 1 to this number of pieces in each stage.
    pub max_pieces: u64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Requests per second: usually and during the burst.
    pub rates: (f64, f64),
}

/// Describes the pools, all of the same shape, and the load.
#[derive(Clone, Debug)]
pub struct Load {
    pub pools: usize,
    pub servers: usize,
    pub batch: usize,
    pub piece_time: Duration,
    /// Start and end of the burst.
    pub burst_ms: (u64, u64),
    /// End of the arrivals.
    pub end_ms: u64,
    /// Additional time of the first call of each server and of the first final call of each host,
    /// which connect first.
    pub connect_ms: u64,
    pub kinds: Vec<Kind>,
}

/// Counts how the requests of a kind ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ends {
    pub arrived: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub expired: usize,
}

impl Ends {
    /// Returns the fraction of the requests that met their objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.arrived.max(1) as f64
    }

    /// Returns the credit of the requests, if a late answer is worth a third of one in time.
    pub fn credit(&self) -> f64 {
        (self.in_time as f64 + self.late as f64 / 3.0) / self.arrived.max(1) as f64
    }
}

/// A request in progress.
struct Request {
    kind: usize,
    host: usize,
    arrived: u64,
    pieces: usize,
    stage: usize,
    stage_started: u64,
    missing: usize,
    done: bool,
}

/// A call in progress.
struct Call {
    pool: usize,
    ends: u64,
    plan: CallPlan,
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns the next of a fixed sequence of pseudo-random numbers (SplitMix64).
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The replay of a load.
pub struct Replay {
    load: Load,
    batchers: Vec<PoolBatcher>,
    forecasts: Vec<LatencyForecast>,
    /// The queueing time of each pool that each host was last told.
    waits: Vec<Vec<Duration>>,
    pipelines: Vec<PipelineId>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    /// The servers that have got a call, and the hosts that have made a final call.
    connected: Vec<ServerId>,
    called: [bool; HOSTS],
    ends: Vec<Ends>,
    random: u64,
}

/// Replays a load; returns the ends of the requests of each kind.
pub fn replay(load: &Load, seed: u64) -> Vec<Ends> {
    let mut replay = Replay::new(load.clone(), seed);
    for now in (0..load.end_ms + 20_000).step_by(STEP_MS as usize) {
        replay.step(now);
    }
    replay.ends
}

impl Replay {
    fn new(load: Load, seed: u64) -> Self {
        let policy = BatchPolicy {
            pool: PiecePool {
                slots: 1,
                batch: load.batch,
                call_time: Duration::from_millis(150),
                piece_time: load.piece_time,
                room_bytes: 1_000_000_000,
                result_lifetime: Duration::from_secs(4),
            },
        };
        let batcher = |pool: usize| {
            let mut batcher = PoolBatcher::new(policy);
            batcher.set_servers((0..load.servers).map(|server| {
                let name = format!("s{pool}-{server}").parse().unwrap();
                (name, "a".parse().unwrap(), Some(1))
            }));
            batcher
        };
        Self {
            batchers: (0..load.pools).map(batcher).collect(),
            forecasts: (0..HOSTS).map(|_| LatencyForecast::new()).collect(),
            waits: vec![vec![Duration::ZERO; load.pools]; HOSTS],
            pipelines: load
                .kinds
                .iter()
                .map(|kind| kind.name.parse().unwrap())
                .collect(),
            requests: Vec::new(),
            calls: Vec::new(),
            connected: Vec::new(),
            called: [false; HOSTS],
            ends: vec![Ends::default(); load.kinds.len()],
            random: seed,
            load,
        }
    }

    fn step(&mut self, now: u64) {
        let ended: Vec<Call> = self.calls.extract_if(.., |call| call.ends <= now).collect();
        for call in ended {
            self.finish_call(now, &call);
        }
        self.add_arrivals(now);
        for pool in 0..self.load.pools {
            for dropped in self.batchers[pool].drop_expired(at(now)) {
                self.end_request(dropped.piece.ticket, |ends| ends.expired += 1);
            }
            while let Some(plan) = self.batchers[pool].next_call(at(now)) {
                let pieces = u32::try_from(plan.pieces.len()).unwrap();
                let taken = Duration::from_millis(150) + self.load.piece_time * pieces;
                let mut ends = now + u64::try_from(taken.as_millis()).unwrap();
                if !self.connected.contains(&plan.server) {
                    self.connected.push(plan.server.clone());
                    ends += self.load.connect_ms;
                }
                self.calls.push(Call { pool, ends, plan });
            }
        }
    }

    fn add_arrivals(&mut self, now: u64) {
        if now >= self.load.end_ms {
            return;
        }
        let in_burst = (self.load.burst_ms.0..self.load.burst_ms.1).contains(&now);
        for index in 0..self.load.kinds.len() {
            let kind = self.load.kinds[index];
            let rate = if in_burst { kind.rates.1 } else { kind.rates.0 };
            let chance = rate * STEP_MS as f64 / 1000.0;
            let drawn = (next_random(&mut self.random) >> 11) as f64 / (1u64 << 53) as f64;
            let arrivals = chance.floor() as usize + usize::from(drawn < chance.fract());
            for _ in 0..arrivals {
                let pieces = 1 + next_random(&mut self.random) % kind.max_pieces;
                self.ends[index].arrived += 1;
                self.requests.push(Request {
                    kind: index,
                    host: self.requests.len() % HOSTS,
                    arrived: now,
                    pieces: usize::try_from(pieces).unwrap(),
                    stage: 0,
                    stage_started: now,
                    missing: 0,
                    done: false,
                });
                self.start_stage(now, self.requests.len() - 1);
            }
        }
    }

    fn start_stage(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let kind = self.load.kinds[request.kind];
        request.stage_started = now;
        request.missing = request.pieces;
        let work = Duration::from_millis(150)
            + self.load.piece_time * u32::try_from(request.pieces).unwrap();
        let pipeline = &self.pipelines[request.kind];
        let forecast = &self.forecasts[request.host];
        let later_stages = request.stage + 1..kind.stages.len();
        let later = later_stages.clone().map(|stage| {
            let wait = self.waits[request.host][kind.stages[stage]];
            forecast.stage(pipeline, stage, work).max(work + wait)
        });
        let times = StageTimes {
            work,
            later_work: work * u32::try_from(later_stages.len()).unwrap(),
            later: later.sum(),
            first_answer: forecast.first_answer(pipeline),
        };
        let plan = StagePlan::new(
            at(now),
            at(request.arrived + kind.objective_ms),
            at(request.arrived + kind.deadline_ms),
            &times,
        );
        let group = GroupRequest {
            ticket: GroupTicket(number as u64),
            kind: format!("{}/{}", kind.name, request.stage),
            pieces: request.pieces,
            result_bytes: 100_000,
            goal: plan.goal,
            due: plan.due,
            expires: plan.expires,
            rank: RequestRank::new(None, kind.priority),
            workspace: kind.workspace,
            holding: request.stage > 0,
            domain: None,
            pull_bytes: 0,
        };
        let pool = kind.stages[request.stage];
        let verdict = self.batchers[pool].offer(at(now), group);
        if let GroupVerdict::Refused { .. } = verdict {
            self.end_request(GroupTicket(number as u64), |ends| ends.refused += 1);
        }
    }

    fn end_request(&mut self, ticket: GroupTicket, count: impl Fn(&mut Ends)) {
        let request = &mut self.requests[usize::try_from(ticket.0).unwrap()];
        if !request.done {
            request.done = true;
            count(&mut self.ends[request.kind]);
        }
    }

    fn finish_call(&mut self, now: u64, call: &Call) {
        let results = call
            .plan
            .pieces
            .iter()
            .map(|piece| PieceResult::Made(format!("{}-{}", piece.ticket.0, piece.position)));
        let outcome = CallOutcome::Answered(results.collect());
        let batcher = &mut self.batchers[call.pool];
        let deliveries = batcher.finish_call(at(now), call.plan.call, outcome);
        for delivery in deliveries {
            let PieceResult::Made(handle) = delivery.result else {
                continue;
            };
            let batcher = &mut self.batchers[call.pool];
            let _ = batcher.release(at(now), &[handle]);
            for (server, handles) in batcher.take_unneeded(at(now + 200)) {
                batcher.confirm_freed(&server, &handles);
            }
            self.record_piece(now, usize::try_from(delivery.piece.ticket.0).unwrap());
        }
    }

    fn record_piece(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        request.missing -= 1;
        if request.missing > 0 || request.done {
            return;
        }
        let kind = self.load.kinds[request.kind];
        let pool = kind.stages[request.stage];
        let pipeline = &self.pipelines[request.kind];
        let forecast = &mut self.forecasts[request.host];
        let taken = Duration::from_millis(now - request.stage_started);
        forecast.learn_stage(pipeline, request.stage, taken);
        self.waits[request.host][pool] = self.batchers[pool].forecast(at(now));
        request.stage += 1;
        if request.stage < kind.stages.len() {
            self.start_stage(now, number);
            return;
        }
        let called = std::mem::replace(&mut self.called[request.host], true);
        let connect_ms = if called { 0 } else { self.load.connect_ms };
        let first_answer_ms = FIRST_ANSWER_MS + connect_ms;
        forecast.learn_first_answer(pipeline, Duration::from_millis(first_answer_ms));
        let elapsed = now + first_answer_ms - request.arrived;
        let in_time = elapsed <= kind.objective_ms;
        self.end_request(GroupTicket(number as u64), |ends| {
            ends.in_time += usize::from(in_time);
            ends.late += usize::from(!in_time);
        });
    }
}
