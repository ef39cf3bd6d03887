//! Replays of chains of stages that compete for pools with less capacity than the load needs.

#[path = "support/chains.rs"]
mod chains;

use std::time::Duration;

use chains::{Kind, Load, replay};

/// Three-stage requests of the most urgent priority share a pool with one-stage requests, as on the
/// contended deployment; a burst of 5 s brings 1.4 times what the first pool executes.
fn contended(batch: usize, piece_us: u64, scale: f64) -> Load {
    let chain = Kind {
        name: "chain",
        priority: 0,
        workspace: 0,
        stages: &[0, 1, 2],
        max_pieces: 5,
        objective_ms: 1400,
        deadline_ms: 6000,
        rates: (22.0 * scale, 44.0 * scale),
    };
    Load {
        pools: 3,
        servers: 4,
        batch,
        piece_time: Duration::from_micros(piece_us),
        burst_ms: (4000, 9000),
        end_ms: 14_000,
        connect_ms: 0,
        kinds: vec![
            chain,
            Kind {
                name: "single",
                priority: 1,
                stages: &[0],
                objective_ms: 800,
                rates: (22.0 * scale, 66.0 * scale),
                ..chain
            },
            Kind {
                name: "other",
                priority: 2,
                stages: &[1],
                objective_ms: 800,
                rates: (15.0 * scale, 45.0 * scale),
                ..chain
            },
        ],
    }
}

/// Guards against three-stage requests that give way to less urgent ones with one stage: a goal at each
/// stage is missed more often than one objective, and such requests went behind all timely work. Before,
/// 0.91, 0.84 and 0.86 of them met their objective.
#[test]
fn the_most_urgent_chains_are_not_served_worse_than_single_stages() {
    for (batch, piece_us, scale) in [(14, 8000, 0.95), (32, 4000, 2.1), (96, 1300, 6.2)] {
        let ends = replay(&contended(batch, piece_us, scale), 1);
        let [chain, single, _] = ends.as_slice() else {
            panic!("{ends:?}");
        };
        assert!(
            chain.in_time_share() >= 0.93 && chain.credit() > single.credit(),
            "calls of {batch} pieces: {ends:?}"
        );
        assert!(single.in_time_share() >= 0.68, "{ends:?}");
        assert_eq!(chain.refused + chain.expired, 0, "{ends:?}");
    }
}

/// The first 2.5 s of new hosts and servers under a normal load, with 100 ms for each connection. Guards
/// against initial estimates (of calls, of how long results are needed, of later stages, of the share
/// of late work) by which requests of a calm start count as late or are refused.
#[test]
fn no_request_of_a_calm_start_is_late_or_refused() {
    for (batch, piece_us, scale) in [(14, 8000, 0.95), (32, 4000, 2.1), (96, 1300, 6.2)] {
        for servers in [3, 6] {
            let load = Load {
                servers,
                end_ms: 2500,
                connect_ms: 100,
                ..contended(batch, piece_us, scale * servers as f64 / 4.0)
            };
            for ends in replay(&load, 7) {
                assert!(ends.arrived > 0);
                assert_eq!(ends.in_time, ends.arrived, "{servers} servers: {ends:?}");
            }
        }
    }
}

/// Six workspaces use a pool of which they take 0.7 together; one of them sends 7.5 times its usual load
/// for 5 s. Guards against requests of the others, who all use less than their share, that get no
/// answer.
#[test]
fn a_workspace_beyond_its_share_waits_for_the_others() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let ends = |workspace_of: fn(usize) -> u64, seed| {
        let mut load = contended(32, 4000, 1.0);
        let single = load.kinds[1];
        let kind = |index: usize| Kind {
            name: names[index],
            workspace: workspace_of(index),
            rates: (18.0, if index == 0 { 135.0 } else { 18.0 }),
            ..single
        };
        load.kinds = (0..names.len()).map(kind).collect();
        replay(&load, seed)
    };
    let (mut timely, mut unanswered) = ([0, 0], [0, 0]);
    for seed in 1..=2 {
        let known = ends(|index| index as u64 + 1, seed);
        let unknown = ends(|_| 0, seed);
        assert_eq!(
            ends(|_| 9, seed),
            unknown,
            "one workspace is served as an unknown one"
        );
        for (index, ends) in [known, unknown].iter().enumerate() {
            for others in &ends[1..] {
                timely[index] += others.in_time;
                unanswered[index] += others.refused + others.expired;
            }
        }
    }
    assert!(unanswered[0] <= 5 && unanswered[1] >= 100, "{unanswered:?}");
    assert!(timely[0] > timely[1], "{timely:?}");
}
