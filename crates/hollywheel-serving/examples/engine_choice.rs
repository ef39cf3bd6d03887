//! Prints how long one choice of an engine takes with 90 engines and 122 hosts.
//!
//! ```sh
//! cargo run --release -p hollywheel-serving --example engine_choice
//! ```

use std::hint::black_box;
use std::time::{Duration, Instant};

use hollywheel_serving::{
    EngineQuery, EngineTable, EngineVerdict, LoadReport, LoadTable, PromptPart, RequestSize,
    ServerPhase, ServerRecord, TokenCounts, choose_ranked, rank_engines,
};
use hollywheel_types::{MonoTime, ServerId};

/// The number of engines.
const ENGINES: u64 = 90;
/// The number of choices that are timed.
const CHOICES: u64 = 100_000;

fn engine(number: u64) -> Option<(ServerId, ServerRecord)> {
    let record = ServerRecord {
        pool: "pool".parse().ok()?,
        address: "10.1.0.1:80".parse().ok()?,
        domain: "a".parse().ok()?,
        slots: 128,
        phase: ServerPhase::Ready,
        born: Some(1),
        cold_left: None,
    };
    Some((format!("engine-{number:03}").parse().ok()?, record))
}

fn parts(number: u64) -> [PromptPart; 3] {
    [(1, 1300), (number % 1100, 12_000), (number << 32, 3720)]
        .map(|(id, tokens)| PromptPart { id, tokens })
}

fn main() {
    let servers: Vec<_> = (0..ENGINES).filter_map(engine).collect();
    let (mut table, mut loads) = (EngineTable::new(), LoadTable::new());
    let report = LoadReport {
        running: 9,
        waiting: 1,
        slots: 128,
        slowdown: None,
    };
    let mut taken = Vec::new();
    for number in 0..CHOICES {
        let now = MonoTime::from_millis(number * 250);
        let parts = parts(number);
        let query = EngineQuery {
            now,
            servers: &servers,
            exclude: &[],
            cold: &[],
            tie: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            domain: None,
            parts: &parts,
            counts: Some(TokenCounts {
                prompt: 17_020,
                output: 150,
            }),
            time_left: Duration::from_secs(4),
            full_load: 1.8,
            hosts: 122,
            cache_tokens: 721_027,
        };
        let begun = Instant::now();
        table.note_request(now, &parts);
        let ranked = rank_engines(&query, &table, &loads);
        let verdict = black_box(choose_ranked(&query, &ranked));
        taken.push(begun.elapsed());
        let EngineVerdict::Chosen(choice) = verdict else {
            continue;
        };
        let (server, record) = &servers[choice.index];
        let size = RequestSize::new(&parts, query.counts);
        let ticket = table.note_placed(now, (server, record), &parts, size, &choice);
        loads.note_report(now, server, report, 128);
        table.note_report(now, server, report, 128);
        table.note_begun(now + Duration::from_millis(60), server, ticket);
        if number % 8 != 0 {
            table.note_ended(now + Duration::from_secs(2), server, ticket);
        }
        if number % 512 == 0 {
            table = EngineTable::new();
        }
    }
    taken.sort_unstable();
    let mean = taken.iter().sum::<Duration>() / CHOICES as u32;
    let quantile = |part: usize| taken.get(taken.len() * part / 100).copied();
    println!(
        "for each choice: mean {mean:.2?}, median {:.2?}, 95 in 100 {:.2?}",
        quantile(50).unwrap_or_default(),
        quantile(95).unwrap_or_default()
    );
}
