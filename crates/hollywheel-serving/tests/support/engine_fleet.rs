//! Hosts that place requests on simulated engines in virtual time. The hosts share nothing but the
//! load reports in the answers to their own requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hollywheel_serving::{
    EngineQuery, EngineTable, EngineTicket, EngineVerdict, LoadReport, LoadTable, PlacementQuery,
    PlacementVerdict, PromptPart, RequestSize, ServerPhase, ServerRecord, TokenCounts,
    choose_engine, choose_ranked, rank_engines,
};
use hollywheel_types::{MonoTime, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[path = "engine_plan.rs"]
mod engine_plan;

pub use engine_plan::*;

/// Part on which the burst concentrates.
pub const POPULAR: u64 = 0xbeef;

struct Engine {
    busy_until: f64,
    /// Cached parts with tokens, last use and the number of requests that use them.
    cached: Vec<(u64, u32, f64, u32)>,
    running: u32,
    held: u64,
    slowdown: f64,
}

impl Engine {
    fn prefill(&mut self, now: f64, parts: &[PromptPart], memory: u64) -> u32 {
        let shared = &parts[..parts.len() - 1];
        let mut is_cached = true;
        let mut missing = 0;
        for part in shared {
            match self.cached.iter_mut().find(|known| known.0 == part.id) {
                Some(known) => {
                    missing += if is_cached { 0 } else { part.tokens };
                    (known.2, known.3) = (now, known.3 + 1);
                }
                None => {
                    is_cached = false;
                    missing += part.tokens;
                    self.cached.push((part.id, part.tokens, now, 1));
                }
            }
        }
        loop {
            let cached: u64 = self.cached.iter().map(|part| u64::from(part.1)).sum();
            if cached + self.held <= memory {
                break;
            }
            let unused = self
                .cached
                .iter()
                .enumerate()
                .filter(|(_, part)| part.3 == 0);
            let Some((oldest, _)) = unused.min_by(|a, b| a.1.2.total_cmp(&b.1.2)) else {
                break;
            };
            self.cached.swap_remove(oldest);
        }
        missing
    }

    fn used(&self) -> u64 {
        let cached = self.cached.iter().filter(|part| part.3 > 0);
        self.held + cached.map(|part| u64::from(part.1)).sum::<u64>()
    }
}

struct Host {
    table: EngineTable,
    loads: LoadTable,
}

enum Event {
    First(usize, usize, EngineTicket),
    End(usize, usize, EngineTicket, Vec<PromptPart>, u32),
}

pub fn engine_record(number: usize, born: u64) -> (ServerId, ServerRecord) {
    let record = ServerRecord {
        pool: "pool".parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: ["a", "b", "c"][number % 3].parse().unwrap(),
        slots: SLOTS,
        phase: ServerPhase::Ready,
        born: Some(born),
        cold_left: None,
    };
    (format!("m{number:02}").parse().unwrap(), record)
}

fn draw_time(random: &mut StdRng, per_second: f64) -> f64 {
    let uniform: f64 = random.random_range(1e-9..1.0);
    -uniform.ln() / per_second * 1000.0
}

/// Draws a part with moderately skewed popularity.
fn draw_part(random: &mut StdRng) -> u64 {
    let uniform: f64 = random.random_range(0.0..1.0);
    (uniform.powf(2.0) * PARTS_PER_KIND as f64) as u64
}

/// Draws a heavy-tailed size with the given mean.
fn draw_size(random: &mut StdRng, mean: u32) -> u32 {
    let uniform: f64 = random.random_range(0.02..1.0);
    (f64::from(mean) * 0.55 * uniform.powf(-0.5)) as u32
}

/// Runs a simulation.
pub fn play(plan: &Plan) -> Report {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut servers: Vec<_> = (0..plan.engines).map(|n| engine_record(n, 1)).collect();
    let mut hosts: Vec<Host> = (0..plan.hosts)
        .map(|_| Host {
            table: EngineTable::new(),
            loads: LoadTable::new(),
        })
        .collect();
    let mut engines: Vec<Engine> = (0..plan.engines)
        .map(|_| Engine {
            busy_until: 0.0,
            cached: Vec::new(),
            running: 0,
            held: 0,
            slowdown: 1.0,
        })
        .collect();
    let popular_parts = [
        PromptPart {
            id: 1,
            tokens: KINDS[0].shared.0,
        },
        PromptPart {
            id: POPULAR,
            tokens: KINDS[0].shared.1,
        },
        PromptPart {
            id: 0,
            tokens: KINDS[0].own,
        },
    ];
    let first_holder = first_holder(&servers, &popular_parts, plan.by_estimate);
    engines[first_holder].slowdown = plan.slow_holder;
    let mut report = Report {
        by_engine: vec![0.0; plan.engines],
        burst_by_engine: vec![0.0; plan.engines],
        popular_by_engine: vec![0; plan.engines],
        ..Report::default()
    };
    let mut popular_times: Vec<Vec<f64>> = vec![Vec::new(); plan.engines];
    let mut next: Vec<f64> = KINDS
        .iter()
        .map(|kind| draw_time(&mut random, kind.per_second * plan.scale))
        .collect();
    let mut next_popular = plan
        .burst
        .map_or(f64::INFINITY, |burst| burst.begin_ms as f64);
    let mut seen: Vec<u64> = Vec::new();
    let mut events: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut details: Vec<Option<Event>> = Vec::new();
    let mut restart = plan.restart_ms;
    let mut tie = 0_u64;
    loop {
        let kind = (0..3).min_by(|a, b| next[*a].total_cmp(&next[*b])).unwrap();
        let is_popular = next_popular < next[kind];
        let arrival = next[kind].min(next_popular);
        if arrival > plan.end_ms as f64 {
            break;
        }
        while let Some(Reverse((time, id))) = events.peek().copied() {
            if time as f64 / 1000.0 > arrival {
                break;
            }
            events.pop();
            let now = MonoTime(time);
            match details[id].take().unwrap() {
                Event::First(host, engine, ticket) => {
                    let host = &mut hosts[host];
                    let running = engines[engine].running;
                    let report = LoadReport {
                        running: running.min(SLOTS),
                        waiting: running.saturating_sub(SLOTS),
                        slots: SLOTS,
                        slowdown: None,
                    };
                    let server = &servers[engine].0;
                    host.loads.note_report(now, server, report, SLOTS);
                    host.table.note_report(now, server, report, SLOTS);
                    host.table.note_begun(now, server, ticket);
                }
                Event::End(host, engine, ticket, parts, own) => {
                    let server = &servers[engine].0;
                    hosts[host].table.note_ended(now, server, ticket);
                    hosts[host].loads.note_ended(server);
                    let engine = &mut engines[engine];
                    engine.running = engine.running.saturating_sub(1);
                    engine.held = engine.held.saturating_sub(u64::from(own + OUTPUT));
                    for part in &parts[..parts.len() - 1] {
                        let known = engine.cached.iter_mut().find(|known| known.0 == part.id);
                        if let Some(known) = known {
                            known.3 = known.3.saturating_sub(1);
                        }
                    }
                }
            }
        }
        if restart.is_some_and(|time| arrival >= time as f64) {
            restart = None;
            engines[first_holder].cached.clear();
            servers[first_holder].1.born = Some(2);
            let (server, record) = &servers[first_holder];
            let now = MonoTime((arrival * 1000.0) as u64);
            for host in &mut hosts {
                host.table.note_change(now, server, record);
            }
        }
        let now = MonoTime((arrival * 1000.0) as u64);
        let kind = if is_popular { 0 } else { kind };
        let facts = KINDS[kind];
        let in_burst = plan
            .burst
            .filter(|burst| (burst.begin_ms..burst.end_ms).contains(&(arrival as u64)));
        if is_popular {
            next_popular = match in_burst {
                Some(burst) => arrival + draw_time(&mut random, burst.per_second),
                None => f64::INFINITY,
            };
            if in_burst.is_none() {
                continue;
            }
        } else {
            next[kind] = arrival + draw_time(&mut random, facts.per_second * plan.scale);
        }
        let last = match is_popular {
            true => POPULAR,
            // Other parts in each run, so that they meet other engines.
            false => 1_000_000 * plan.seed + 10_000 * (kind as u64 + 1) + draw_part(&mut random),
        };
        tie = tie.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let own = draw_size(&mut random, facts.own);
        let parts = vec![
            PromptPart {
                id: kind as u64 + 1,
                tokens: facts.shared.0,
            },
            PromptPart {
                id: last,
                tokens: facts.shared.1,
            },
            PromptPart {
                id: tie,
                tokens: own,
            },
        ];
        let host_index = random.random_range(0..plan.hosts);
        let host = &mut hosts[host_index];
        let size = RequestSize::new(&parts, None);
        let counts = TokenCounts {
            prompt: size.shared + own,
            output: OUTPUT,
        };
        host.table.note_request(now, &parts);
        let query = EngineQuery {
            now,
            servers: &servers,
            exclude: &[],
            cold: &[],
            tie,
            domain: None,
            parts: &parts,
            counts: Some(counts),
            time_left: Duration::from_millis(4 * facts.objective_ms),
            full_load: 1.8,
            hosts: plan.hosts,
            cache_tokens: plan.memory,
        };
        let ranked = rank_engines(&query, &host.table, &host.loads);
        let verdict = choose_ranked(&query, &ranked);
        let mut choice = match verdict {
            EngineVerdict::Chosen(choice) => choice,
            _ => {
                report.refused += 1;
                continue;
            }
        };
        if !plan.by_estimate {
            let old = PlacementQuery {
                now,
                servers: &servers,
                exclude: &[],
                tie,
                domain: None,
            };
            let PlacementVerdict::Server(server) = choose_engine(&old, &host.loads, &parts, 1.8)
            else {
                report.refused += 1;
                continue;
            };
            choice.index = servers.iter().position(|known| known.0 == server).unwrap();
        }
        let index = choice.index;
        let (server, record) = (&servers[index].0, &servers[index].1);
        let size = RequestSize {
            output: OUTPUT,
            ..size
        };
        let ticket = host
            .table
            .note_placed(now, (server, record), &parts, size, &choice);
        host.loads.note_sent(server);
        let engine = &mut engines[index];
        let missing = engine.prefill(arrival, &parts, plan.memory);
        engine.running += 1;
        engine.held += u64::from(own + OUTPUT);
        let busy = engine.busy_until.max(arrival);
        engine.busy_until = busy + f64::from(missing + own) / RATE * engine.slowdown;
        let first_at = engine.busy_until + FIXED_MS * engine.slowdown;
        let end_at = first_at + (u64::from(OUTPUT) * TOKEN_MS) as f64;
        report.memory_share = report
            .memory_share
            .max(engine.used() as f64 / plan.memory as f64);
        report.placed += 1;
        report.by_engine[index] += 1.0;
        report.shared_tokens += u64::from(size.shared);
        match seen.binary_search(&last) {
            Ok(_) => report.repeated_tokens += u64::from(missing),
            Err(position) => seen.insert(position, last),
        }
        let first_ms = first_at - arrival;
        if first_ms > facts.objective_ms as f64 {
            report.late += 1;
        }
        if in_burst.is_some() {
            report.burst_by_engine[index] += 1.0;
        }
        match is_popular {
            true => report.burst_first_ms.push(first_ms),
            false => report.first_ms[kind].push(first_ms),
        }
        if is_popular {
            report.popular_by_engine[index] += 1;
            popular_times[index].push(arrival);
        }
        for (time, event) in [
            (first_at, Event::First(host_index, index, ticket)),
            (end_at, Event::End(host_index, index, ticket, parts, own)),
        ] {
            events.push(Reverse(((time * 1000.0) as u64, details.len())));
            details.push(Some(event));
        }
    }
    let most_after = |begin: f64| {
        let in_a_second = popular_times.iter().map(|times| {
            let counts = times.iter().enumerate().map(|(first, time)| {
                let after = times[first..].iter();
                after.take_while(|other| **other < time + 1000.0).count()
            });
            let counts = counts.zip(times).filter(|(_, time)| **time >= begin);
            counts.map(|(count, _)| count).max().unwrap_or(0)
        });
        in_a_second.max().unwrap_or(0)
    };
    report.most_popular_in_a_second = most_after(0.0);
    let begin = plan.burst.map_or(0.0, |burst| burst.begin_ms as f64);
    report.most_popular_later = most_after(begin + 2000.0);
    let end = plan.burst.map_or(0.0, |burst| burst.end_ms as f64);
    let at_end = popular_times
        .iter()
        .filter(|times| times.iter().any(|time| *time > end - 2000.0));
    report.holders_at_end = at_end.count();
    report
}

/// Returns the engine to which requests with the popular part go when nothing else is known.
fn first_holder(
    servers: &[(ServerId, ServerRecord)],
    parts: &[PromptPart],
    by_estimate: bool,
) -> usize {
    let (table, loads) = (EngineTable::new(), LoadTable::new());
    let now = MonoTime(0);
    if !by_estimate {
        let query = PlacementQuery {
            now,
            servers,
            exclude: &[],
            tie: 1,
            domain: None,
        };
        let PlacementVerdict::Server(home) = choose_engine(&query, &loads, parts, 1.8) else {
            panic!("no engine");
        };
        return servers
            .iter()
            .position(|(server, _)| *server == home)
            .unwrap();
    }
    let query = EngineQuery {
        now,
        servers,
        exclude: &[],
        cold: &[],
        tie: 1,
        domain: None,
        parts,
        counts: None,
        time_left: Duration::from_secs(4),
        full_load: 1.8,
        hosts: 1,
        cache_tokens: MEMORY,
    };
    match choose_ranked(&query, &rank_engines(&query, &table, &loads)) {
        EngineVerdict::Chosen(choice) => choice.index,
        other => panic!("{other:?}"),
    }
}
