//! Tests of the choice of engines by many hosts that know little of each other.

#[path = "support/engine_fleet.rs"]
mod fleet;

use fleet::{Burst, Plan, Report, play};

/// A burst in which 0.6 of the requests of the first kind have one part, beside the usual load.
const BURST: Burst = Burst {
    begin_ms: 10_000,
    end_ms: 16_000,
    per_second: 109.0,
};

fn burst_plan() -> Plan {
    Plan {
        end_ms: 18_000,
        burst: Some(BURST),
        ..Plan::default()
    }
}

fn print(name: &str, report: &Report) {
    println!(
        "{name}: placed {} refused {} late {} imbalance {:.2} in the burst {:.2} repeated {:.4} first {:?} burst first {:.0} {:.0} memory {:.2} holders {} most in a second {}",
        report.placed,
        report.refused,
        report.late,
        Report::imbalance(&report.by_engine),
        Report::imbalance(&report.burst_by_engine),
        report.repeated_tokens as f64 / report.shared_tokens as f64,
        report
            .first_ms
            .each_ref()
            .map(|times| Report::quantile(times, 0.5) as u32),
        Report::quantile(&report.burst_first_ms, 0.5),
        Report::quantile(&report.burst_first_ms, 0.95),
        report.memory_share,
        report.holders_at_end,
        report.most_popular_in_a_second,
    );
}

/// Guards against hosts that each send their share of a popular part to one engine, since none of
/// them sees the requests of the others.
#[test]
fn popular_part_in_a_burst_is_spread_by_hosts_with_stale_reports() {
    let report = play(&burst_plan());
    let hashed = play(&Plan {
        by_estimate: false,
        ..burst_plan()
    });
    print("estimate", &report);
    print("hashing", &hashed);
    assert_eq!(report.refused, 0);
    assert!(report.late * 20 <= hashed.late, "{} late", report.late);
    assert!(report.memory_share <= 0.9, "{}", report.memory_share);
    let (busiest, before) = (
        Report::imbalance(&report.burst_by_engine),
        Report::imbalance(&hashed.burst_by_engine),
    );
    assert!(busiest <= 0.35 * before, "{busiest} and {before}");
    assert!(report.repeated_tokens <= hashed.repeated_tokens * 3 / 2);
}
