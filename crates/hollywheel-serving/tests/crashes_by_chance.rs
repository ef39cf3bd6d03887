//! Simulates engines that crash by chance while they write long answers, in virtual time, and checks that
//! the prompt parts of the requests that ran on them are not taken for the cause.

use std::time::Duration;

use hollywheel_serving::{
    AnswerProof, CrashCause, CrashTable, CrashVerdict, EARLY_CRASH_TIME, ServerStart,
};
use hollywheel_types::MonoTime;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Milliseconds between two steps of the simulation, between two sound requests and two crashes.
const STEP: u64 = 10;
const SOUND_INTERVAL: u64 = 70;
const CRASH_INTERVAL: u64 = 1000;
/// Milliseconds until the first event of an answer, until its end, and until a crashed engine is back.
const FIRST_EVENT_TIME: u64 = 60;
const ANSWER_TIME: u64 = 2400;
/// Milliseconds of writing after which an answer has outlasted early crashes.
const OUTLASTING_TIME: u64 = EARLY_CRASH_TIME.as_millis() as u64;
const DOWN_TIME: u64 = 3000;
const PLAY_TIME: u64 = 45_000;
const ENGINES: usize = 6;
/// The part that all requests share.
const FIRST: CrashCause = CrashCause::Part(0xaa);

/// Which engine a request is sent to.
#[derive(Clone, Copy, Debug)]
enum EngineChoice {
    /// Any that is up.
    Random,
    /// One that is up, by the second part of the prompt.
    ByPart,
}

struct RunningAnswer {
    engine: usize,
    second: CrashCause,
    sent_at: u64,
}

struct EngineState {
    starts: u64,
    up_from: u64,
}

fn start(engine: usize, state: &EngineState) -> ServerStart {
    ServerStart {
        server: format!("m{engine}-{}", state.starts).parse().unwrap(),
        born: Some(state.starts),
    }
}

/// Returns the rank of an engine for a part, which does not depend on the other engines.
fn rank(engine: usize, part: u64) -> u64 {
    (part * 31 + engine as u64 * 17 + 7).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20
}

/// Plays one seed with so many second parts; returns how many of the sound requests were sent and blocked.
fn play(seed: u64, choice: EngineChoice, parts: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = CrashTable::new();
    let mut engines: Vec<EngineState> = (0..ENGINES)
        .map(|_| EngineState {
            starts: 0,
            up_from: 0,
        })
        .collect();
    let mut running: Vec<RunningAnswer> = Vec::new();
    let (mut sent, mut blocked) = (0, 0);
    for now in (0..PLAY_TIME).step_by(STEP as usize) {
        let at = MonoTime::from_millis(now);
        for answer in running.extract_if(.., |answer| answer.sent_at + ANSWER_TIME <= now) {
            table.note_proof(at, AnswerProof::Complete, [FIRST, answer.second]);
        }
        for answer in running
            .iter()
            .filter(|answer| answer.sent_at + FIRST_EVENT_TIME == now)
        {
            let server = start(answer.engine, &engines[answer.engine]);
            table.note_server_alive(at, &server, MonoTime::from_millis(answer.sent_at));
        }
        for answer in running
            .iter()
            .filter(|answer| answer.sent_at + FIRST_EVENT_TIME + OUTLASTING_TIME == now)
        {
            table.note_proof(at, AnswerProof::Outlasted, [FIRST, answer.second]);
        }
        let up: Vec<usize> = (0..ENGINES)
            .filter(|engine| engines[*engine].up_from <= now)
            .collect();
        if now % CRASH_INTERVAL == 0 && !up.is_empty() {
            let crashed = *up.choose(&mut random).unwrap();
            let server = start(crashed, &engines[crashed]);
            for lost in running.extract_if(.., |answer| answer.engine == crashed) {
                let written = (now - lost.sent_at).saturating_sub(FIRST_EVENT_TIME);
                let written = Duration::from_millis(written);
                table.note_crash(at, &server, written, [FIRST, lost.second]);
            }
            engines[crashed].starts += 1;
            engines[crashed].up_from = now + DOWN_TIME;
            continue;
        }
        if now % SOUND_INTERVAL != 0 || up.is_empty() {
            continue;
        }
        let part = random.random_range(0..parts);
        let second = CrashCause::Part(0xb00 + part);
        sent += 1;
        if table.verdict(at, &[FIRST, second]) != CrashVerdict::Sound {
            blocked += 1;
            continue;
        }
        let engine = match choice {
            EngineChoice::Random => *up.choose(&mut random).unwrap(),
            EngineChoice::ByPart => *up.iter().max_by_key(|engine| rank(**engine, part)).unwrap(),
        };
        running.push(RunningAnswer {
            engine,
            second,
            sent_at: now,
        });
    }
    (sent, blocked)
}

#[test]
fn sound_parts_are_blocked_by_crashes_of_their_engines() {
    for choice in [EngineChoice::Random, EngineChoice::ByPart] {
        for parts in [1, 5, 11, 40, 200] {
            let plays: Vec<(usize, usize)> =
                (0..20).map(|seed| play(seed, choice, parts)).collect();
            let sent: usize = plays.iter().map(|(sent, _)| sent).sum();
            let blocked: usize = plays.iter().map(|(_, blocked)| blocked).sum();
            println!("{choice:?}, {parts} parts: {blocked} of {sent} blocked");
            // The users ask that sound requests begin half as often as without crashes.
            assert!(blocked * 2 <= sent, "{choice:?}, {parts} parts");
        }
    }
}
