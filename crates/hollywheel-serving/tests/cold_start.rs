//! Tests of cold servers with many hosts in virtual time: what hosts know about them, the rate of
//! permits, and the ramp after the cold time.

use std::time::Duration;

use hollywheel_serving::{
    ColdTable, ColdUpdate, LoadTable, PermitLedger, PermitVerdict, PlacementQuery,
    PlacementVerdict, ServerPhase, ServerRecord, choose_least_loaded, cold_permit_rate,
};
use hollywheel_types::{MonoTime, RequestRate, ServerId};

/// What a cold server tolerates, and the bound over all hosts, as the uneven deployment states them.
const RATE: f64 = 12.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
const BOUND: usize = 23;
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server(number: usize) -> ServerId {
    format!("m{number}").parse().unwrap()
}

/// Returns the entry of a server that was started at `born`.
fn record(born: u64, domain: &str, cold_left: Option<Duration>) -> ServerRecord {
    ServerRecord {
        pool: "model".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 8,
        phase: ServerPhase::Ready,
        born: Some(born),
        cold_left,
    }
}

fn permit_rate() -> RequestRate {
    cold_permit_rate(RequestRate::per_second(RATE), OVERSHOOT, SLACK)
}

/// Returns pseudo-random numbers below a bound.
fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed;
    move |bound| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    }
}

/// Returns the largest number of points in any second.
fn most_in_second(points: &[MonoTime]) -> usize {
    let mut sorted = points.to_vec();
    sorted.sort();
    let mut first = 0;
    let mut most = 0;
    for last in 0..sorted.len() {
        while sorted[last].since(sorted[first]) >= SECOND {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Lets hosts ask for permits for 20 s. `granting` tells which ledger a host asks at a time; none if it
/// gets no answer. Returns when requests were sent.
fn send_requests(
    seed: u64,
    hosts: u64,
    ledgers: usize,
    granting: impl Fn(MonoTime, u64) -> Option<usize>,
) -> Vec<MonoTime> {
    let mut random = random_numbers(seed);
    let mut ledgers = vec![PermitLedger::new(); ledgers];
    let mut sent = Vec::new();
    let mut now = at(10_000);
    while now < at(30_000) {
        // Bursts of requests, and pauses in which places are left free.
        now = now
            + millis(if random(400) == 0 {
                random(400)
            } else {
                random(4)
            });
        let host = random(hosts);
        let Some(ledger) = granting(now, host) else {
            continue;
        };
        let patience = millis(random(2) * 150);
        let verdict = ledgers[ledger].take(now, &server(1), permit_rate(), patience);
        if let PermitVerdict::Granted { wait } = verdict {
            sent.push(now + wait);
        }
    }
    sent
}

/// All hosts ask the same one for permits, however many they are and whenever they ask.
#[test]
fn hosts_together_exceed_the_bound_without_a_partition() {
    for seed in 1..=50 {
        let sent = send_requests(seed, 66, 1, |_, _| Some(0));
        let most = most_in_second(&sent);
        assert!(most <= 12, "seed {seed}: {most} requests in a second");
        assert!(
            sent.len() >= 100,
            "seed {seed}: {} requests in 20 s",
            sent.len()
        );
    }
}

/// Two groups of hosts that are cut from each other have a granting host each.
#[test]
fn two_groups_of_hosts_exceed_the_bound_together() {
    let mut largest = 0;
    for seed in 1..=50 {
        let sent = send_requests(seed, 66, 2, |_, host| Some(usize::from(host < 20)));
        let most = most_in_second(&sent);
        assert!(most <= BOUND, "seed {seed}: {most} requests in a second");
        largest = largest.max(most);
    }
    assert!(
        largest > 15,
        "the groups are not at their limits: {largest}"
    );
}

/// More than two groups are beyond what the rate leaves room for; each adds its rate and two requests.
#[test]
fn several_groups_exceed_what_is_stated_for_them() {
    for groups in 3..=5 {
        let allowed = groups as f64 * (permit_rate().get() + 2.0);
        for seed in 1..=10 {
            let sent = send_requests(seed, 66, groups, |_, host| Some(host as usize % groups));
            let most = most_in_second(&sent);
            assert!(most as f64 <= allowed, "{groups} groups: {most} requests");
        }
    }
}

/// The host that grants the permits dies; after a while without answers the hosts ask the next one,
/// each at another time.
#[test]
fn hosts_exceed_the_bound_when_the_granting_host_dies() {
    for seed in 1..=50 {
        let died = at(20_000);
        let sent = send_requests(seed, 66, 2, |now, host| {
            let noticed = died + millis(300 + host * 10);
            match now {
                now if now < died => Some(0),
                now if now < noticed => None,
                _ => Some(1),
            }
        });
        let most = most_in_second(&sent);
        assert!(most <= BOUND, "seed {seed}: {most} requests in a second");
        let later = sent.iter().filter(|time| **time > at(22_000)).count();
        assert!(later >= 40, "seed {seed}: {later} requests after the death");
    }
}

#[test]
fn permit_rate_leaves_no_room_for_two_granting_hosts() {
    assert_eq!(permit_rate().get(), 9.5);
    let two = 2.0 * (permit_rate().get() + 2.0);
    assert!(two <= RATE * OVERSHOOT + SLACK);
}

/// A rate far below the bound is not raised, and one without room stays above zero.
#[test]
fn permit_rate_leaves_the_range_between_zero_and_the_tolerated_rate() {
    let rate = |rate, overshoot, slack| {
        cold_permit_rate(RequestRate::per_second(rate), overshoot, slack).get()
    };
    assert_eq!(rate(12.0, 1.5, 100.0), 12.0);
    assert_eq!(rate(1.0, 1.0, 0.0), 0.5);
    assert_eq!(rate(0.0, 1.5, 5.0), 0.5);
    assert_eq!(rate(12.0, -5.0, 0.0), 0.5);
    for odd in [f64::NAN, f64::INFINITY, 1e308] {
        let rate = rate(12.0, odd, odd);
        assert!((0.5..=12.0).contains(&rate), "{odd}: {rate}");
    }
}

/// A server that starts while others run is cold for the time that the configuration states.
#[test]
fn fresh_start_without_a_stated_time_is_not_noticed() {
    let mut table = ColdTable::new();
    let start = Some(millis(3000));
    let update = table.note_entry(at(1000), &server(1), &record(1, "a", None), start);
    assert_eq!(update, Some(ColdUpdate::Cold { left: millis(3000) }));
    assert!(table.is_cold(at(3999), &server(1)));
    assert!(!table.is_cold(at(4000), &server(1)));
    assert_eq!(table.take_warmed(at(3999)), vec![]);
    assert_eq!(table.take_warmed(at(4000)), vec![server(1)]);
    assert_eq!(table.take_warmed(at(4001)), vec![]);
}

/// The servers of the first listing may have been running for long; only those that say so are cold.
#[test]
fn first_listing_makes_all_servers_cold() {
    let mut table = ColdTable::new();
    assert_eq!(
        table.note_entry(at(0), &server(1), &record(1, "a", None), None),
        None
    );
    let stated = record(1, "a", Some(millis(800)));
    table.note_entry(at(0), &server(2), &stated, None);
    assert_eq!(table.cold_count(at(1)), 1);
    assert_eq!(table.left(at(300), &server(2)), Some(millis(500)));
    assert_eq!(table.ramp_fraction(at(1), &server(1)), 1.0);
}

/// Another host says that a server which is new to this one is warm.
#[test]
fn server_that_another_host_knows_as_warm_is_taken_for_cold() {
    let mut table = ColdTable::new();
    let told = record(5, "a", Some(Duration::ZERO));
    assert_eq!(
        table.note_entry(at(0), &server(1), &told, Some(millis(3000))),
        None
    );
    assert!(!table.has_cold(at(0)));
}

/// A negative time is read as none; a huge one keeps a server without work for a minute at most.
#[test]
fn huge_cold_time_keeps_a_server_without_work_for_good() {
    let mut table = ColdTable::new();
    let huge = record(1, "a", Some(Duration::MAX));
    let update = table.note_entry(at(0), &server(1), &huge, None);
    assert_eq!(
        update,
        Some(ColdUpdate::Cold {
            left: millis(60_000)
        })
    );
    table.note_response(at(30_000), &server(1), Duration::MAX);
    assert!(table.is_cold(at(89_999), &server(1)));
    assert!(!table.is_cold(at(90_000), &server(1)));
    let unknown = table.note_response(at(0), &server(9), millis(500));
    assert_eq!(
        unknown, None,
        "a response of a server without an entry counts"
    );
}

#[test]
fn server_that_restarts_while_cold_is_warm_too_early() {
    let mut table = ColdTable::new();
    let start = Some(millis(3000));
    table.note_entry(at(0), &server(1), &record(1, "a", None), start);
    let again = table.note_entry(at(2500), &server(1), &record(2, "a", None), start);
    assert_eq!(again, Some(ColdUpdate::Changed { left: millis(3000) }));
    assert!(table.is_cold(at(5499), &server(1)));
    assert!(!table.is_cold(at(5500), &server(1)));
    // Its ramp starts from the end of the second cold time.
    assert!(table.ramp_fraction(at(5600), &server(1)) < 0.05);
}

/// A server becomes cold at any time, and says before the end that it is warm.
#[test]
fn cold_time_that_ends_early_is_kept() {
    let mut table = ColdTable::new();
    table.note_entry(at(0), &server(1), &record(1, "a", None), None);
    let cold = record(1, "a", Some(millis(5000)));
    table.note_entry(at(10_000), &server(1), &cold, Some(millis(3000)));
    assert!(table.is_cold(at(10_500), &server(1)));
    let ended = table.note_entry(at(11_000), &server(1), &record(1, "a", None), None);
    assert_eq!(ended, Some(ColdUpdate::Warm));
    assert!(!table.is_cold(at(11_000), &server(1)));
    assert_eq!(
        table.take_warmed(at(20_000)),
        vec![],
        "the end is reported twice"
    );
    assert!((0.3..0.37).contains(&table.ramp_fraction(at(12_000), &server(1))));
}

/// Hosts learn of the end of the cold time some milliseconds apart and still agree on nearly all parts.
#[test]
fn hosts_disagree_on_the_ramp() {
    let tables: Vec<ColdTable> = [0, 5, 20]
        .map(|delay| {
            let mut table = ColdTable::new();
            let stated = record(1, "a", Some(millis(3000 - delay)));
            table.note_entry(at(delay), &server(1), &stated, None);
            table
        })
        .into();
    for now in [at(2900), at(3500), at(4500), at(5900), at(6000)] {
        let admitted = |table: &ColdTable| {
            let parts = 0..1000_u64;
            parts
                .filter(|part| table.admits_part(now, &server(1), *part))
                .collect::<Vec<u64>>()
        };
        let first = admitted(&tables[0]);
        assert!(tables.iter().all(|table| admitted(table) == first));
        let expected = 1000.0 * tables[0].ramp_fraction(now, &server(1));
        assert!(
            (first.len() as f64 - expected).abs() < 60.0,
            "{} of {expected}",
            first.len()
        );
    }
}

/// A part that belongs to a server after the cold time stays there, so that it is cached once.
#[test]
fn part_moves_back_and_forth_in_the_ramp() {
    let mut table = ColdTable::new();
    table.note_entry(at(0), &server(1), &record(1, "a", Some(millis(1000))), None);
    for part in 0..200 {
        let mut was_admitted = false;
        for now in (0..5000).step_by(50) {
            let is_admitted = table.admits_part(at(now), &server(1), part);
            assert!(
                is_admitted || !was_admitted,
                "part {part} leaves at {now} ms"
            );
            assert!(
                now >= 1000 || !is_admitted,
                "part {part} at the cold server"
            );
            was_admitted = is_admitted;
        }
        assert!(was_admitted, "part {part} never comes back");
    }
}

/// A plain server gets few requests directly after its cold time, and its capacity is used if the others
/// are full.
#[test]
fn plain_server_gets_its_whole_share_at_once() {
    let mut loads = LoadTable::new();
    loads.note_warm_at(&server(0), at(10_000));
    let servers: Vec<_> = (0..4)
        .map(|number| (server(number), record(1, "a", None)))
        .collect();
    let choose = |loads: &LoadTable, now, tie| {
        let query = PlacementQuery {
            now,
            servers: &servers,
            exclude: &[],
            tie,
            domain: None,
        };
        choose_least_loaded(&query, loads, 4.5)
    };
    let share = |now: MonoTime| {
        let mut loads = loads.clone();
        let mut count = 0;
        for tie in 0..60 {
            let PlacementVerdict::Server(chosen) = choose(&loads, now, tie) else {
                panic!("no server is chosen");
            };
            loads.note_sent(&chosen);
            count += usize::from(chosen == server(0));
        }
        count
    };
    assert!(share(at(10_300)) <= 3, "{}", share(at(10_300)));
    assert!(
        (4..=10).contains(&share(at(11_500))),
        "{}",
        share(at(11_500))
    );
    assert_eq!(share(at(13_000)), 15);
    for other in 1..4 {
        (0..40).for_each(|_| loads.note_sent(&server(other)));
    }
    let verdict = choose(&loads, at(10_300), 1);
    assert_eq!(verdict, PlacementVerdict::Server(server(0)));
}

/// A whole failure domain comes back cold in a burst: the warm domains carry the load, the cold servers
/// get what these cannot take within the bound, and the rest is rejected at once.
#[test]
fn domain_that_comes_back_cold_is_overrun_by_a_burst() {
    let mut table = ColdTable::new();
    let mut ledger = PermitLedger::new();
    let mut loads = LoadTable::new();
    let domain = |number: usize| ["a", "b", "c"][number % 3];
    let servers: Vec<_> = (0..90)
        .map(|number| (server(number), record(1, domain(number), None)))
        .collect();
    for (name, entry) in &servers {
        let start = (entry.domain.as_str() == "c").then_some(millis(3000));
        table.note_entry(at(10_000), name, entry, start);
    }
    let mut sent_to_cold: Vec<(ServerId, MonoTime)> = Vec::new();
    let (mut to_warm, mut rejected) = (0, 0);
    for number in 0..6000_u64 {
        let now = at(10_000) + Duration::from_micros(number * 400);
        let place = |class_is_cold: bool, loads: &LoadTable, tried: &[ServerId]| {
            let mut candidates = servers.clone();
            candidates.retain(|(name, _)| table.is_cold(now, name) == class_is_cold);
            let query = PlacementQuery {
                now,
                servers: &candidates,
                exclude: tried,
                tie: number,
                domain: None,
            };
            choose_least_loaded(&query, loads, 1.8)
        };
        if let PlacementVerdict::Server(chosen) = place(false, &loads, &[]) {
            assert!(sent_to_cold.is_empty(), "a warm server had capacity again");
            loads.note_sent(&chosen);
            to_warm += 1;
            continue;
        }
        let mut tried = Vec::new();
        while let PlacementVerdict::Server(chosen) = place(true, &loads, &tried) {
            if tried.len() == 4 {
                break;
            }
            let verdict = ledger.take(now, &chosen, permit_rate(), Duration::ZERO);
            if matches!(verdict, PermitVerdict::Granted { .. }) {
                sent_to_cold.push((chosen, now));
                tried.clear();
                break;
            }
            tried.push(chosen);
        }
        rejected += usize::from(!tried.is_empty());
    }
    // 60 warm engines with 8 slots take 14 requests each.
    assert_eq!(to_warm, 60 * 14);
    assert!(
        !sent_to_cold.is_empty() && rejected > 0,
        "{rejected} are rejected"
    );
    assert_eq!(to_warm + sent_to_cold.len() + rejected, 6000);
    for (name, _) in &servers {
        let times = sent_to_cold.iter().filter(|(chosen, _)| chosen == name);
        let times: Vec<MonoTime> = times.map(|(_, time)| *time).collect();
        assert!(
            most_in_second(&times) <= 12,
            "{name}: {}",
            most_in_second(&times)
        );
    }
}

/// The state of 390 hosts' worth of restarts stays bounded by the servers in use.
#[test]
fn servers_that_have_left_are_kept_for_good() {
    let mut table = ColdTable::new();
    let start = Some(millis(3000));
    for number in 0..500 {
        table.note_entry(at(0), &server(number), &record(1, "a", None), start);
    }
    table.retain(at(700_000), |name| *name == server(7));
    table.note_response(at(700_000), &server(7), millis(100));
    table.note_response(at(700_000), &server(8), millis(100));
    assert_eq!(table.cold_count(at(700_000)), 1);
}
