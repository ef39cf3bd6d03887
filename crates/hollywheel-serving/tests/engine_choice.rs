//! Tests of the choice of one host between model engines.

use std::time::Duration;

use hollywheel_serving::{
    EngineChoice, EngineQuery, EngineState, EngineTable, EngineTicket, EngineVerdict, LoadReport,
    LoadTable, PopularityChange, PrefillCause, PromptPart, RequestSize, ServerPhase, ServerRecord,
    TokenCounts, choose_ranked, rank_engines,
};
use hollywheel_types::{MonoTime, ServerId};

const MEMORY: u64 = 721_027;
const SLOTS: u32 = 128;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn engines(count: u64) -> Vec<(ServerId, ServerRecord)> {
    let record = ServerRecord {
        pool: "pool".parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: SLOTS,
        phase: ServerPhase::Ready,
        born: Some(1),
        cold_left: None,
    };
    let name = |number| format!("m{number:02}").parse().unwrap();
    (0..count)
        .map(|number| (name(number), record.clone()))
        .collect()
}

/// Returns a prompt of 13,300 shared and 3,720 other tokens.
fn prompt(last: u64) -> [PromptPart; 3] {
    [(1, 1300), (last, 12_000), (0, 3720)].map(|(id, tokens)| PromptPart { id, tokens })
}

/// One host with its knowledge of the engines.
struct Host {
    servers: Vec<(ServerId, ServerRecord)>,
    table: EngineTable,
    loads: LoadTable,
    tie: u64,
}

impl Host {
    fn new(servers: &[(ServerId, ServerRecord)]) -> Self {
        Self {
            servers: servers.to_vec(),
            table: EngineTable::new(),
            loads: LoadTable::new(),
            tie: 0,
        }
    }

    fn query<'a>(&'a self, now: MonoTime, parts: &'a [PromptPart]) -> EngineQuery<'a> {
        EngineQuery {
            now,
            servers: &self.servers,
            exclude: &[],
            cold: &[],
            tie: self.tie,
            domain: None,
            parts,
            counts: None,
            time_left: Duration::from_secs(4),
            full_load: 1.8,
            hosts: 66,
            cache_tokens: MEMORY,
        }
    }

    fn decide(&self, query: &EngineQuery<'_>) -> EngineVerdict {
        choose_ranked(query, &rank_engines(query, &self.table, &self.loads))
    }

    fn choose(&self, now: MonoTime, parts: &[PromptPart]) -> EngineChoice {
        chosen(self.decide(&self.query(now, parts)))
    }

    /// Chooses an engine and sends a request there, which begins and ends as expected.
    fn send(&mut self, now: MonoTime, parts: &[PromptPart]) -> EngineChoice {
        self.tie += 1;
        self.table.note_request(now, parts);
        let choice = self.choose(now, parts);
        let ticket = self.place(now, parts, &choice);
        let server = &self.servers[choice.index].0;
        let expected = Duration::from_secs_f64(choice.expected_ms / 1000.0);
        self.table.note_begun(now + expected, server, ticket);
        let end = now + expected + Duration::from_secs(2);
        self.table.note_ended(end, server, ticket);
        choice
    }

    /// Sends a request that does not begin.
    fn place(
        &mut self,
        now: MonoTime,
        parts: &[PromptPart],
        choice: &EngineChoice,
    ) -> EngineTicket {
        let (server, record) = &self.servers[choice.index];
        let size = RequestSize::new(parts, None);
        self.table
            .note_placed(now, (server, record), parts, size, choice)
    }

    fn report(&mut self, now: MonoTime, engine: usize, running: u32) {
        let report = LoadReport {
            running,
            waiting: 0,
            slots: SLOTS,
            slowdown: None,
        };
        let server = self.servers[engine].0.clone();
        self.table.note_report(now, &server, report, SLOTS);
    }
}

fn chosen(verdict: EngineVerdict) -> EngineChoice {
    match verdict {
        EngineVerdict::Chosen(choice) => choice,
        other => panic!("{other:?}"),
    }
}

/// Guards against copies of a part on several engines while one has time for all of its requests.
#[test]
fn requests_with_a_quiet_part_use_one_engine() {
    let mut host = Host::new(&engines(90));
    let first = host.send(at(0), &prompt(7));
    for round in 1..400 {
        let last = if round % 100 == 0 { 7 } else { 100 + round };
        let choice = host.send(at(300 * round), &prompt(last));
        if last == 7 {
            assert_eq!(choice.index, first.index);
            assert_eq!((choice.saved_tokens, choice.prefilled), (13_300, None));
        }
    }
}

/// Guards against requests that wait for what is cached longer than its prefill costs: the time that it
/// takes, and as much again for the requests that it delays.
#[test]
fn queue_longer_than_the_prefill_of_the_part_is_avoided() {
    let mut host = Host::new(&engines(90));
    let home = host.choose(at(0), &prompt(7));
    let mut count = 0;
    let spilled = loop {
        let choice = host.choose(at(0), &prompt(7));
        if choice.index != home.index {
            break choice;
        }
        host.place(at(0), &prompt(7), &choice);
        count += 1;
    };
    // A prefill of the shared parts takes as long as that of the rest of 3.6 requests.
    assert!((6..=9).contains(&count), "{count} requests");
    let overloaded = Some((13_300, PrefillCause::Overloaded));
    assert_eq!(spilled.prefilled, overloaded);
    let last = host.choose(at(10_000), &prompt(8));
    assert!(last.reuse_wait_ms < 1.0, "an idle engine");
}

/// Guards against an estimate that counts on a cache that a restart has emptied.
#[test]
fn engine_that_lost_its_cache_is_not_expected_to_hold_parts() {
    for is_restart in [true, false] {
        let mut host = Host::new(&engines(90));
        let first = host.send(at(0), &prompt(7));
        if is_restart {
            host.servers[first.index].1.born = Some(2);
            let (server, record) = host.servers[first.index].clone();
            host.table.note_change(at(1000), &server, &record);
        } else {
            let server = host.servers[first.index].0.clone();
            host.table.note_lost(at(1000), &server);
        }
        let choice = host.choose(at(4000), &prompt(7));
        // The part is prefilled anyway, so it stays where other hosts look for it.
        assert_eq!(choice.index, first.index);
        let unavailable = Some((13_300, PrefillCause::Unavailable));
        assert_eq!(choice.prefilled, unavailable);
        host.send(at(4000), &prompt(7));
        assert_eq!(host.choose(at(6000), &prompt(7)).saved_tokens, 13_300);
    }
}

/// Guards against requests that exceed the memory of an engine while another has room.
#[test]
fn full_memory_gets_nothing_while_another_engine_has_room() {
    let mut host = Host::new(&engines(3));
    let large = [(7, 12_000), (0, 90_000)].map(|(id, tokens)| PromptPart { id, tokens });
    let mut held = [0_u64; 3];
    let verdict = loop {
        let query = EngineQuery {
            time_left: Duration::from_secs(600),
            ..host.query(at(0), &large)
        };
        match host.decide(&query) {
            EngineVerdict::Chosen(choice) => {
                held[choice.index] += 90_000;
                host.place(at(0), &large, &choice);
            }
            other => break other,
        }
    };
    assert_eq!(verdict, EngineVerdict::Full);
    let highest = MEMORY * 9 / 10 - 12_000;
    assert!(held.iter().all(|tokens| *tokens <= highest), "{held:?}");
    assert!(held.iter().all(|tokens| *tokens > MEMORY / 2), "{held:?}");
}

/// Guards against a request that no engine ever takes although its memory would do.
#[test]
fn request_that_nearly_fills_a_memory_goes_to_an_empty_engine() {
    let mut host = Host::new(&engines(2));
    let parts = [(7, 1000), (0, 719_000)].map(|(id, tokens)| PromptPart { id, tokens });
    let decide = |host: &Host| {
        let query = EngineQuery {
            time_left: Duration::from_secs(600),
            ..host.query(at(0), &parts)
        };
        host.decide(&query)
    };
    let first = chosen(decide(&host));
    host.place(at(0), &parts, &first);
    let second = chosen(decide(&host));
    assert_ne!(first.index, second.index);
    host.place(at(0), &parts, &second);
    assert_eq!(decide(&host), EngineVerdict::Full);
}

/// Guards against a crash or an endless wait for memory that no engine has, and against effects on
/// other requests.
#[test]
fn request_larger_than_every_memory_is_rejected() {
    let mut host = Host::new(&engines(90));
    for counts in [(u32::MAX, u32::MAX), (721_000, 28), (0, 721_028)] {
        let counts = TokenCounts {
            prompt: counts.0,
            output: counts.1,
        };
        let parts = prompt(7);
        let query = EngineQuery {
            counts: Some(counts),
            ..host.query(at(0), &parts)
        };
        assert_eq!(host.decide(&query), EngineVerdict::TooLarge);
    }
    host.send(at(0), &prompt(7));
    let huge = [u32::MAX, u32::MAX, u32::MAX].map(|tokens| PromptPart { id: 3, tokens });
    let verdict = host.decide(&host.query(at(0), &huge));
    assert_eq!(verdict, EngineVerdict::TooLarge);
}

/// Guards against a request that is sent although its caller gives up before it begins.
#[test]
fn request_that_no_engine_can_begin_in_time_is_rejected() {
    let mut host = Host::new(&engines(2));
    let mut tickets = Vec::new();
    for number in 1..=30_u32 {
        for index in 0..2 {
            let choice = EngineChoice {
                index,
                prefill_tokens: 10_000,
                expected_ms: 100.0 * f64::from(number),
                ..EngineChoice::default()
            };
            let ticket = host.place(at(0), &prompt(7), &choice);
            tickets.push((u64::from(number) * 100, index, ticket));
        }
    }
    let parts = prompt(7);
    let query = EngineQuery {
        time_left: Duration::from_millis(2000),
        ..host.query(at(0), &parts)
    };
    // 300,000 tokens are queued at each engine, which take 3 s, and the request has 3,720.
    let EngineVerdict::Late { wait } = host.decide(&query) else {
        panic!("the request was sent");
    };
    assert!((900..1200).contains(&wait.as_millis()), "{wait:?}");
    for (begun, index, ticket) in tickets {
        if begun <= 2500 {
            let server = host.servers[index].0.clone();
            host.table.note_begun(at(begun), &server, ticket);
        }
    }
    let later = host.query(at(2500), &parts);
    assert!(matches!(host.decide(&later), EngineVerdict::Chosen(_)));
}

/// Guards against a report that keeps requests from an engine long after it was true.
#[test]
fn outdated_report_loses_its_weight() {
    let mut host = Host::new(&engines(90));
    let home = host.choose(at(0), &prompt(7)).index;
    host.send(at(0), &prompt(7));
    for engine in 0..90 {
        host.report(at(0), engine, 5);
    }
    host.report(at(0), home, 128);
    let parts = prompt(7);
    let estimate = |now: MonoTime| {
        let query = host.query(now, &parts);
        let ranked = rank_engines(&query, &host.table, &host.loads);
        let server = &host.servers[home].0;
        let engine = ranked.iter().find(|engine| engine.server == server);
        engine.unwrap().total_ms()
    };
    assert!(estimate(at(0)) > 2.0 * estimate(at(8000)));
    assert_eq!(host.choose(at(8000), &prompt(7)).index, home);
}

/// Guards against hosts that send a part to different engines because each knows other facts.
#[test]
fn hosts_that_know_different_things_agree_on_the_order() {
    let servers = engines(90);
    let (mut informed, mut other) = (Host::new(&servers), Host::new(&servers));
    for engine in 0..90 {
        informed.report(at(0), engine, (engine as u32 * 7) % 12);
        informed.send(at(engine as u64 * 10), &prompt(1000 + engine as u64));
        other.report(at(0), engine, (engine as u32 * 5) % 12);
    }
    let mut agreed = 0;
    for last in 0..100 {
        let left = informed.choose(at(2000), &prompt(last)).index;
        let right = other.choose(at(2000), &prompt(last)).index;
        agreed += usize::from(left == right);
    }
    assert!(agreed >= 95, "{agreed} of 100 parts");
    // A host that knows of a queue moves to the next engine, which is the same for all such hosts.
    let home = informed.choose(at(2000), &prompt(7)).index;
    let mut moved = Vec::new();
    for host in [&mut informed, &mut other] {
        let queued = EngineChoice {
            index: home,
            prefill_tokens: 40_000,
            ..EngineChoice::default()
        };
        host.place(at(2000), &prompt(2000), &queued);
        moved.push(host.choose(at(2000), &prompt(7)).index);
    }
    assert!(moved.iter().all(|index| *index != home));
}

/// Guards against requests that wait on a cold engine while a warm one has time.
#[test]
fn cold_engine_is_used_only_if_no_other_can_begin_in_time() {
    let host = Host::new(&engines(3));
    let parts = prompt(7);
    let home = host.choose(at(0), &parts).index;
    let cold = [host.servers[home].0.clone()];
    let query = EngineQuery {
        cold: &cold,
        ..host.query(at(0), &parts)
    };
    assert_ne!(chosen(host.decide(&query)).index, home);
    let names: Vec<ServerId> = host.servers.iter().map(|(name, _)| name.clone()).collect();
    let others: Vec<ServerId> = names
        .into_iter()
        .filter(|name| !cold.contains(name))
        .collect();
    let query = EngineQuery {
        exclude: &others,
        ..query
    };
    assert_eq!(chosen(host.decide(&query)).index, home);
    let ranked = rank_engines(&query, &host.table, &host.loads);
    let states: Vec<EngineState> = ranked.iter().map(|engine| engine.state).collect();
    assert_eq!(
        states.iter().filter(|s| **s == EngineState::Cold).count(),
        1
    );
}

/// Guards against a set of holders that never shrinks, and against log lines for each change.
#[test]
fn holders_of_a_part_shrink_when_its_rate_falls() {
    let mut host = Host::new(&engines(90));
    let holders = |host: &Host, now| host.table.most_popular(now, 66, 90).unwrap().1;
    let mut changes = Vec::new();
    for number in 0..12_u64 {
        let now = at(number * 600);
        host.send(now, &prompt(7));
        changes.extend(host.table.popularity_change(now, 66, 90));
    }
    assert!(holders(&host, at(6600)) >= 5);
    for number in 0..60_u64 {
        let now = at(7000 + number * 300);
        host.send(now, &prompt(100 + number));
        changes.extend(host.table.popularity_change(now, 66, 90));
    }
    let left = holders(&host, at(25_000));
    assert!(left <= 9, "{left} holders after 18 s");
    for number in 0..400_u64 {
        let now = at(25_000 + number * 300);
        host.send(now, &prompt(200 + number));
        changes.extend(host.table.popularity_change(now, 66, 90));
    }
    assert_eq!(holders(&host, at(145_000)), 1);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(matches!(
        changes[0],
        PopularityChange::Popular { part: 7, .. }
    ));
    assert_eq!(changes[1], PopularityChange::Usual { part: 7 });
}
