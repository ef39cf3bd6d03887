//! Tests of pipeline lookup, validation of serving sets, stage graphs, event splitting and retry
//! budgets.

use std::time::Duration;

use hollywheel_serving::{
    BudgetShare, EventSplitter, HostRecord, HostTable, PipelineRoute, PoolSettings, PoolWeight,
    PoolWork, RequestKind, RetryBudget, ServingSet, SlackShare, StageGraph, StageInput, StageStep,
    StoreEra, StorePlace,
};
use hollywheel_types::{ConfigVersion, MonoTime, SortedMap};

/// Stage times of a pipeline for which none are known.
const UNKNOWN_TIMES: [Duration; 4] = [Duration::ZERO; 4];

/// Returns a streaming pipeline of the pool `engines`.
fn route(name: &str, host: &str, prefix: &str) -> PipelineRoute {
    PipelineRoute {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Streaming,
        timeout: Duration::from_secs(8),
        objective: Duration::from_millis(800),
        pause_objective: Some(Duration::from_millis(250)),
        priority: 1,
        pools: vec![PoolWeight {
            pool: "engines".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 1,
        stages: Vec::new(),
        allow_anonymous: false,
        prompt_affinity: true,
        resumable: false,
    }
}

/// Returns a serving set with the pool `engines`, which does not execute pieces.
fn set(pipelines: Vec<PipelineRoute>) -> ServingSet {
    let engines = PoolSettings {
        name: "engines".parse().unwrap(),
        max_connections: 10,
        work: PoolWork::Plain,
        cold: None,
    };
    ServingSet {
        version: ConfigVersion(3),
        pipelines,
        pools: [(engines.name.clone(), engines)].into_iter().collect(),
        keys: Some(SortedMap::new()),
        ..ServingSet::default()
    }
}

/// Returns a stage that needs the results of the stages at the given positions.
fn step(after: &[usize]) -> StageStep {
    StageStep {
        pool: "engines".parse().unwrap(),
        after: after.to_vec(),
        result_bytes: 10,
    }
}

#[test]
fn the_longest_path_prefix_of_the_host_name_matches() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "i", "/a/b/c/"),
    ];
    let set = set(routes).check().unwrap();
    let find = |host, path| {
        set.find_pipeline(host, path)
            .map(|found| found.name.to_string())
    };
    assert_eq!(find("h", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(find("h", "/a/x").as_deref(), Some("short"));
    assert_eq!(find("i", "/a/x"), None);
    assert_eq!(find("g", "/a/x"), None);
}

#[test]
fn invalid_serving_sets_are_rejected() {
    let mut unknown = route("r", "h", "/");
    unknown.pools[0].pool = "nowhere".parse().unwrap();
    let mut order = route("r", "h", "/");
    order.stages = vec![step(&[1]), step(&[0])];
    let mut missing = route("r", "h", "/");
    missing.stages = vec![step(&[]), step(&[2])];
    let mut plain = route("r", "h", "/");
    plain.stages = vec![step(&[])];
    let mut weightless = route("r", "h", "/");
    weightless.pools[0].weight = 0;
    let faults: Vec<String> = [unknown, order, missing, plain, weightless]
        .into_iter()
        .map(|route| set(vec![route]).check().unwrap_err().to_string())
        .collect();
    insta::assert_debug_snapshot!(faults);
    assert!(set(vec![route("r", "h", "/")]).check().is_ok());
}

#[test]
fn requests_are_distributed_by_pool_weight() {
    let mut split = route("r", "h", "/");
    split.pools.push(PoolWeight {
        pool: "more".parse().unwrap(),
        weight: 3,
    });
    let pools: Vec<&str> = (0..4)
        .map(|hash| split.pool_for(hash).unwrap().as_str())
        .collect();
    assert_eq!(pools, ["engines", "more", "more", "more"]);
}

#[test]
fn stages_start_once_their_inputs_are_available() {
    let steps = [step(&[]), step(&[]), step(&[1]), step(&[2])];
    let mut graph = StageGraph::new(&steps, &[0, 1, 2, 1]);
    assert_eq!(graph.start_ready(&UNKNOWN_TIMES), [1]);
    assert!(graph.finish(1, vec!["a".into()]).is_empty());
    assert_eq!(graph.start_ready(&UNKNOWN_TIMES), [2]);
    assert_eq!(graph.input(2), StageInput::Results(vec!["a".into()]));
    assert_eq!(graph.finish(2, vec!["b".into(), "c".into()]), ["a"]);
    assert_eq!(graph.start_ready(&UNKNOWN_TIMES), [3]);
    assert_eq!(graph.finish(3, vec!["d".into()]), ["b", "c"]);
    assert!(graph.is_complete());
    assert_eq!(graph.final_handles(), ["d"]);
    assert_eq!(graph.held_handles(), ["d"]);
}

/// During a burst the stages of the critical path wait in queues. The results of a stage off the
/// path would occupy server memory all that time if the stage started at once.
#[test]
fn a_stage_off_the_critical_path_starts_as_late_as_possible() {
    let steps = [step(&[]), step(&[]), step(&[1]), step(&[2])];
    let started_stages = |stage_time: u64| {
        let times = [stage_time, 250, 300, 320].map(Duration::from_millis);
        let mut graph = StageGraph::new(&steps, &[1, 1, 1, 1]);
        let first = graph.start_ready(&times);
        graph.finish(1, vec!["a".into()]);
        let second = graph.start_ready(&times);
        graph.finish(2, vec!["b".into()]);
        [first, second, graph.start_ready(&times)]
    };
    assert_eq!(started_stages(200), [vec![1], vec![2], vec![0, 3]]);
    assert_eq!(started_stages(400), [vec![1], vec![0, 2], vec![3]]);
    assert_eq!(started_stages(700), [vec![0, 1], vec![2], vec![3]]);
    let mut graph = StageGraph::new(&steps, &[1, 1, 1, 1]);
    assert_eq!(
        graph.start_ready(&UNKNOWN_TIMES),
        [0, 1],
        "without known times no stage is delayed"
    );
}

#[test]
fn a_stage_without_pieces_passes_its_dependencies_on() {
    let steps = [step(&[]), step(&[0]), step(&[1])];
    let mut graph = StageGraph::new(&steps, &[1, 0, 1]);
    assert_eq!(graph.start_ready(&UNKNOWN_TIMES), [0]);
    graph.finish(0, vec!["a".into()]);
    assert_eq!(graph.start_ready(&UNKNOWN_TIMES), [2]);
    assert_eq!(graph.input(2), StageInput::Results(vec!["a".into()]));
}

#[test]
fn events_are_split_at_blank_lines_wherever_chunks_end() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for split in 0..stream.len() {
        let mut splitter = EventSplitter::new();
        let mut events = splitter.take(&stream[..split]);
        events.extend(splitter.take(&stream[split..]));
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)], "split at {split}");
        assert_eq!(splitter.rest(), b"id: 3\ndata: c");
    }
}

/// A host was busy for seconds with one stream whose bytes arrived one by one without the end of an
/// event: each of them made it search all of the event again.
#[test]
fn long_event_in_small_pieces_is_searched_again_for_each_piece() {
    const SIZE: usize = 300_000;
    let started = std::time::Instant::now();
    let mut splitter = EventSplitter::new();
    for number in 0..SIZE {
        let byte = if number % 1000 == 999 { b"\n" } else { b"x" };
        assert_eq!(splitter.take(byte), []);
    }
    assert_eq!(splitter.rest().len(), SIZE);
    assert_eq!(splitter.take(b"\n").len(), 1);
    assert_eq!(splitter.rest(), b"");
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
}

#[test]
fn repeated_sends_of_all_hosts_stay_within_the_common_budget() {
    const HOSTS: usize = 9;
    let window = Duration::from_secs(10);
    let mut budgets: Vec<RetryBudget> = (0..HOSTS)
        .map(|_| RetryBudget::new(0.2, 58.0, window))
        .collect();
    let mut sent = 0;
    for millis in 0..10_000 {
        let now = MonoTime::from_millis(millis);
        let budget = &mut budgets[usize::try_from(millis).unwrap() % HOSTS];
        if millis % 10 == 0 {
            budget.count_request(now);
        }
        sent += u32::from(budget.take_repeat(now, SlackShare::Settled { hosts: HOSTS }));
    }
    assert!(sent <= 200 + 58, "{sent} repeats for 1000 requests");
    assert!(sent > 200, "{sent} repeats for 1000 requests");
}

/// All hosts restart at once and find each other a second later; until then each knows only itself.
/// What the processes before them have sent still counts in the first window.
#[test]
fn hosts_that_start_together_exceed_the_common_retry_budget() {
    const HOSTS: u64 = 9;
    const WINDOW: u64 = 10_000;
    let records: Vec<HostRecord> = (0..HOSTS)
        .map(|number| HostRecord {
            name: format!("h{number}").parse().unwrap(),
            address: "10.0.0.1:7000".parse().unwrap(),
            domain: "a".parse().unwrap(),
            incarnation: 1,
            weight: 1,
        })
        .collect();
    let place = StorePlace {
        era: StoreEra(1),
        revision: 1,
    };
    let window = Duration::from_millis(WINDOW);
    let mut sent = [0, 0];
    for own in &records {
        let mut table = HostTable::new(own.clone());
        let mut budget = RetryBudget::new(0.2, 58.0, window);
        let mut share = BudgetShare::new(MonoTime::from_millis(0), window);
        for millis in 0..2 * WINDOW {
            if millis == 1000 {
                for record in &records {
                    table.upsert(record.clone(), place);
                }
            }
            let now = MonoTime::from_millis(millis);
            let share = share.share(now, table.sharing_count());
            let window_number = usize::try_from(millis / WINDOW).unwrap();
            sent[window_number] += u32::from(budget.take_repeat(now, share));
        }
    }
    let [first, second] = sent;
    assert!(
        first <= 58 / 5,
        "{first} repeats: the processes before may have spent four fifths of the slack"
    );
    assert!(
        second <= 58,
        "{second} repeats without requests, allowed 58"
    );
    assert!(
        second >= 40,
        "{second} repeats, 58 allowed: hosts never use the slack"
    );
}

/// Servers reject requests for half a minute, and every host repeats sends as often as its budget
/// allows.
#[test]
fn repeated_sends_stay_within_the_budget_in_every_window() {
    const HOSTS: usize = 9;
    const WINDOW: u64 = 10_000;
    let mut budgets: Vec<RetryBudget> = (0..HOSTS)
        .map(|_| RetryBudget::new(0.2, 58.0, Duration::from_millis(WINDOW)))
        .collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for millis in 0..30_000 {
        let now = MonoTime::from_millis(millis);
        let budget = &mut budgets[usize::try_from(millis).unwrap() % HOSTS];
        if millis % 20 == 0 {
            budget.count_request(now);
            requests.push(millis);
        }
        if budget.take_repeat(now, SlackShare::Settled { hosts: HOSTS }) {
            repeats.push(millis);
        }
    }
    let within = |times: &[u64], start: u64| {
        let times = times.iter();
        let count = times.filter(|time| (start..start + WINDOW).contains(time));
        u32::try_from(count.count()).unwrap()
    };
    for start in (0..20_000).step_by(10) {
        let bound = 0.2 * f64::from(within(&requests, start)) + 58.0;
        let sent = f64::from(within(&repeats, start));
        assert!(
            sent <= bound,
            "{sent} repeats in the window from {start} ms, {bound} allowed"
        );
    }
}

/// Returns a pseudo-random number below a bound, from a linear congruential generator that yields
/// the same sequence in every run.
fn next_random(state: &mut u64, bound: usize) -> usize {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    usize::try_from(*state >> 33).unwrap() % bound
}

/// Whatever bytes a server sends and however they are split, no byte is lost and the events are the
/// same.
#[test]
fn arbitrary_bytes_give_the_same_events_wherever_chunks_end() {
    const FRAGMENTS: [&[u8]; 9] = [
        b"id:",
        b" 7",
        b"\n",
        b"\r\n",
        b"\n\n",
        b"data: a",
        b":",
        b"\xff",
        b"99999999999999999999",
    ];
    let mut state = 1;
    for _ in 0..2000 {
        let fragments = (0..next_random(&mut state, 24))
            .map(|_| FRAGMENTS[next_random(&mut state, FRAGMENTS.len())]);
        let stream: Vec<u8> = fragments.collect::<Vec<_>>().concat();
        let mut whole = EventSplitter::new();
        let events = whole.take(&stream);
        let mut bytes: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.clone())
            .collect();
        bytes.extend(whole.rest());
        assert_eq!(bytes, stream);
        let mut split = EventSplitter::new();
        let (mut parts, mut rest) = (Vec::new(), stream.as_slice());
        while !rest.is_empty() {
            let (part, later) = rest.split_at(1 + next_random(&mut state, rest.len()));
            parts.extend(split.take(part));
            rest = later;
        }
        assert_eq!((parts, split.rest()), (events, whole.rest()), "{stream:?}");
    }
}
