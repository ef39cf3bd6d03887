//! Tests of the membership state machine in virtual time.

mod fleet;

use std::fmt::Write;
use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use fleet::{Fleet, address, host_id, settings};
use hollywheel_membership::{
    MemberInput, MemberMachine, MemberMessage, MemberOutput, MemberRecord, MemberState,
    MemberUpdate,
};
use hollywheel_types::{ConfigVersion, Incarnation, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MINUTE: Duration = Duration::from_secs(60);

fn joined_fleet(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, seed);
    let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_count_alive(hosts));
    assert!(
        elapsed.is_some(),
        "{hosts} hosts did not join within a minute"
    );
    fleet.run(Duration::from_secs(20));
    fleet
}

fn millis(elapsed: Option<Duration>) -> String {
    elapsed.map_or_else(
        || "not reached".to_owned(),
        |elapsed| format!("{} ms", elapsed.as_millis()),
    )
}

#[test]
fn propagation_times_match_the_snapshot() {
    let mut lines = String::new();
    for hosts in [9, 60, 390] {
        let mut fleet = Fleet::new(hosts, 1);
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_count_alive(hosts));
        writeln!(lines, "{hosts} hosts: join {}", millis(elapsed)).unwrap();
        fleet.run(MINUTE);

        let server = MemberInput::ServerLeaving {
            server: "medeu-engine-1".parse().unwrap(),
            incarnation: Incarnation(7),
        };
        fleet.input(0, server);
        let all_informed = |fleet: &Fleet| {
            fleet
                .host_outputs
                .iter()
                .all(|outputs| !outputs.servers.is_empty())
        };
        let elapsed = fleet.run_until(MINUTE, all_informed);
        writeln!(lines, "{hosts} hosts: server leaving {}", millis(elapsed)).unwrap();

        fleet.install_fetched = true;
        fleet.input(0, MemberInput::ConfigInForce(ConfigVersion(5)));
        let elapsed = fleet.run_until(MINUTE, |fleet| {
            fleet
                .running()
                .into_iter()
                .all(|index| fleet.machine(index).local_record().config_version.0 == 5)
        });
        writeln!(lines, "{hosts} hosts: version {}", millis(elapsed)).unwrap();

        fleet.input(2, MemberInput::Leave);
        let elapsed = fleet.run_until(MINUTE, |fleet| {
            fleet.all_report_state(2, MemberState::Leaving)
        });
        writeln!(lines, "{hosts} hosts: host leaving {}", millis(elapsed)).unwrap();

        fleet.stop(3);
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_report_state(3, MemberState::Dead));
        writeln!(lines, "{hosts} hosts: crash {}", millis(elapsed)).unwrap();

        fleet.start(3, 2);
        let host_list = fleet.host_list();
        fleet.input(3, MemberInput::HostList(host_list));
        let elapsed = fleet.run_until(MINUTE, |fleet| {
            fleet.all_report_state(3, MemberState::Alive)
        });
        writeln!(lines, "{hosts} hosts: restart {}", millis(elapsed)).unwrap();
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn partitioned_region_is_detected_and_rejoins() {
    let mut fleet = joined_fleet(90, 2);
    for index in (0..90).step_by(3) {
        fleet.partitions[index] = 1;
    }
    let elapsed = fleet.run_until(MINUTE, |fleet| {
        fleet.alive_count_at(1) == 60 && fleet.alive_count_at(0) == 30
    });
    assert!(elapsed.is_some(), "the partition was not detected");
    fleet.run(10 * MINUTE);
    fleet.partitions.fill(0);
    let elapsed = fleet.run_until(3 * MINUTE, |fleet| fleet.all_count_alive(90));
    println!(
        "90 hosts: a third partitioned for 10 minutes rejoins in {}",
        millis(elapsed)
    );
    assert!(elapsed.is_some());
}

#[test]
fn host_partitioned_for_an_hour_rejoins() {
    let mut fleet = joined_fleet(9, 3);
    fleet.partitions[4] = 1;
    fleet.run(60 * MINUTE);
    assert_eq!(fleet.alive_count_at(4), 1);
    assert!(fleet.all_report_state(4, MemberState::Dead));
    fleet.partitions[4] = 0;
    let elapsed = fleet.run_until(2 * MINUTE, |fleet| fleet.all_count_alive(9));
    println!(
        "9 hosts: one partitioned for an hour rejoins in {}",
        millis(elapsed)
    );
    assert!(elapsed.is_some());
}

#[test]
fn paused_host_marks_no_other_host_dead() {
    for seed in 0..5 {
        let mut fleet = joined_fleet(9, 10 + seed);
        fleet.paused[4] = Some(fleet.now + Duration::from_secs(40));
        fleet.run(Duration::from_secs(40));
        assert!(fleet.all_report_state(4, MemberState::Dead));
        for _ in 0..200 {
            fleet.run(Duration::from_millis(50));
            assert_eq!(
                fleet.alive_count_at(4),
                9,
                "the paused host marked others dead"
            );
        }
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_count_alive(9));
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn message_loss_marks_no_live_host_dead() {
    let mut fleet = joined_fleet(30, 4);
    fleet.loss_rate = 0.1;
    for _ in 0..600 {
        fleet.run(Duration::from_secs(1));
        assert!(
            fleet.all_count_alive(30),
            "a live host was marked dead at {}",
            fleet.now
        );
    }
}

#[test]
fn leaving_host_is_not_revived_by_a_stale_host_list() {
    let mut fleet = joined_fleet(9, 5);
    fleet.input(2, MemberInput::Leave);
    fleet.run(Duration::from_secs(3));
    let host_list = fleet.host_list();
    for index in 0..9 {
        fleet.input(index, MemberInput::HostList(host_list.clone()));
    }
    fleet.run(MINUTE);
    assert!(fleet.all_report_state(2, MemberState::Leaving));
    assert_eq!(fleet.state(2, 2), Some(MemberState::Leaving));
}

#[test]
fn leaving_mark_in_the_host_list_does_not_apply_to_a_restarted_process() {
    let mut fleet = joined_fleet(9, 6);
    fleet.run(3 * MINUTE);
    let mut host_list = fleet.host_list();
    host_list[2].leaving = true;
    fleet.input(5, MemberInput::HostList(host_list.clone()));
    let elapsed = fleet.run_until(MINUTE, |fleet| {
        fleet.all_report_state(2, MemberState::Leaving)
    });
    assert!(
        elapsed.is_some(),
        "all hosts must learn it from the one that read the list"
    );

    fleet.stop(2);
    fleet.start(2, 2);
    fleet.input(2, MemberInput::HostList(host_list.clone()));
    let elapsed = fleet.run_until(MINUTE, |fleet| {
        fleet.all_report_state(2, MemberState::Alive)
    });
    assert!(elapsed.is_some());
    fleet.input(5, MemberInput::HostList(host_list));
    fleet.run(Duration::from_secs(10));
    assert!(
        fleet.all_report_state(2, MemberState::Alive),
        "the list still described the previous process"
    );
}

#[test]
fn later_incarnation_supersedes_the_local_process() {
    let mut machine = MemberMachine::new(settings(0, 5, 1));
    let record = |incarnation| {
        let mut record = machine.local_record().clone();
        record.incarnation = Incarnation(incarnation);
        record
    };
    let (older, later) = (record(4), record(6));
    let tell = |machine: &mut MemberMachine, record: MemberRecord| {
        let message = MemberMessage::State {
            records: vec![record],
        };
        let from = address(1);
        machine.handle(MonoTime(1), MemberInput::Message { from, message })
    };
    let superseded = MemberOutput::Superseded { by: Incarnation(6) };
    assert!(!tell(&mut machine, older).contains(&superseded));
    assert!(tell(&mut machine, later).contains(&superseded));
}

#[test]
fn leaving_of_an_older_server_incarnation_is_ignored() {
    let mut machine = MemberMachine::new(settings(0, 1, 1));
    let mut announced = Vec::new();
    for incarnation in [7, 7, 6, 8] {
        let input = MemberInput::ServerLeaving {
            server: "engine".parse().unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let outputs = machine.handle(MonoTime(1), input);
        let leaving = |output: &&MemberOutput| matches!(output, MemberOutput::ServerLeaving(_));
        announced.push(outputs.iter().filter(leaving).count());
    }
    assert_eq!(announced, [1, 0, 0, 1]);
}

#[test]
fn updates_per_message_are_bounded() {
    let mut fleet = joined_fleet(9, 7);
    for server in 0..2000 {
        let input = MemberInput::ServerLeaving {
            server: format!("server-{server}").parse().unwrap(),
            incarnation: Incarnation(1),
        };
        fleet.input(0, input);
    }
    fleet.message_size = |message| {
        let news = match message {
            MemberMessage::Ping { news, .. }
            | MemberMessage::Ack { news, .. }
            | MemberMessage::PingRequest { news, .. }
            | MemberMessage::Gossip { news, .. } => news.as_slice(),
            _ => &[],
        };
        assert!(news.len() <= 80, "{} updates", news.len());
        0
    };
    let all_informed = |fleet: &Fleet| {
        fleet
            .host_outputs
            .iter()
            .all(|outputs| outputs.servers.len() == 2000)
    };
    let elapsed = fleet.run_until(10 * MINUTE, all_informed);
    println!("9 hosts: 2000 servers leaving at once {}", millis(elapsed));
    assert!(elapsed.is_some());
}

/// Applies random records of one host; once leaving, it must never be considered alive again
/// within an incarnation.
#[test]
fn leaving_host_never_returns_to_alive_within_an_incarnation() {
    let mut random = StdRng::seed_from_u64(11);
    for _ in 0..2000 {
        let mut bytes = [0; 256];
        random.fill(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let news = Vec::<(u8, u8, u8)>::generate(&mut driver).unwrap_or_default();
        check_records_of_one_host(&news);
    }
}

fn check_records_of_one_host(news: &[(u8, u8, u8)]) {
    let mut machine = MemberMachine::new(settings(0, 1, 1));
    let (mut newest, mut left) = (0, false);
    for (step, (incarnation, refutation, state)) in news.iter().enumerate() {
        let record = subject_record(*incarnation % 3 + 1, *refutation % 4, *state % 4);
        let now = MonoTime::from_millis(u64::try_from(step).unwrap() * 100);
        if record.incarnation.0 > newest {
            newest = record.incarnation.0;
            left = false;
        }
        left |= record.incarnation.0 == newest && record.state == MemberState::Leaving;
        let message = MemberMessage::Gossip {
            from: host_id(2),
            news: vec![MemberUpdate::Host(record)],
        };
        let from = address(2);
        machine.handle(now, MemberInput::Message { from, message });
        let held = machine.records().into_iter().find(|r| r.host == host_id(1));
        let alive = |r: &MemberRecord| matches!(r.state, MemberState::Alive | MemberState::Suspect);
        let Some(held) = held else { continue };
        assert!(held.incarnation.0 <= newest);
        let back = left && held.incarnation.0 == newest && alive(&held);
        assert!(!back, "a leaving host is considered alive again");
    }
}

fn subject_record(incarnation: u8, refutation: u8, state: u8) -> MemberRecord {
    let mut machine = MemberMachine::new(settings(1, u64::from(incarnation), 1));
    machine.handle(MonoTime(0), MemberInput::Tick);
    let mut record = machine.local_record().clone();
    record.refutation = u64::from(refutation);
    record.state = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ][usize::from(state)];
    record
}
