//! Tests of the membership machine in virtual time.

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

fn joined(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, seed);
    let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(hosts));
    assert!(took.is_some(), "{hosts} hosts did not join within a minute");
    fleet.run(Duration::from_secs(20));
    fleet
}

fn millis(took: Option<Duration>) -> String {
    took.map_or_else(
        || "not reached".to_owned(),
        |took| format!("{} ms", took.as_millis()),
    )
}

#[test]
fn times_until_every_host_knows() {
    let mut lines = String::new();
    for hosts in [9, 60, 390] {
        let mut fleet = Fleet::new(hosts, 1);
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(hosts));
        writeln!(lines, "{hosts} hosts: join {}", millis(took)).unwrap();
        fleet.run(MINUTE);

        let server = MemberInput::ServerLeaving {
            server: "medeu-engine-1".parse().unwrap(),
            incarnation: Incarnation(7),
        };
        fleet.input(0, server);
        let told = |fleet: &Fleet| fleet.told.iter().all(|told| !told.servers.is_empty());
        let took = fleet.run_until(MINUTE, told);
        writeln!(lines, "{hosts} hosts: server leaving {}", millis(took)).unwrap();

        fleet.install = true;
        fleet.input(0, MemberInput::ConfigInForce(ConfigVersion(5)));
        let took = fleet.run_until(MINUTE, |fleet| {
            fleet
                .running()
                .into_iter()
                .all(|at| fleet.machine(at).own().config_version.0 == 5)
        });
        writeln!(lines, "{hosts} hosts: version {}", millis(took)).unwrap();

        fleet.input(2, MemberInput::Leave);
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_hold(2, MemberState::Leaving));
        writeln!(lines, "{hosts} hosts: host leaving {}", millis(took)).unwrap();

        fleet.stop(3);
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_hold(3, MemberState::Dead));
        writeln!(lines, "{hosts} hosts: crash {}", millis(took)).unwrap();

        fleet.start(3, 2);
        let list = fleet.list();
        fleet.input(3, MemberInput::HostList(list));
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_hold(3, MemberState::Alive));
        writeln!(lines, "{hosts} hosts: restart {}", millis(took)).unwrap();
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn lost_region_is_noticed_and_comes_back() {
    let mut fleet = joined(90, 2);
    for at in (0..90).step_by(3) {
        fleet.groups[at] = 1;
    }
    let took = fleet.run_until(MINUTE, |fleet| {
        fleet.alive_at(1) == 60 && fleet.alive_at(0) == 30
    });
    assert!(took.is_some(), "the cut was not noticed");
    fleet.run(10 * MINUTE);
    fleet.groups.fill(0);
    let took = fleet.run_until(3 * MINUTE, |fleet| fleet.all_see(90));
    println!(
        "90 hosts: a third cut for 10 minutes rejoins in {}",
        millis(took)
    );
    assert!(took.is_some());
}

#[test]
fn host_cut_off_for_an_hour_rejoins() {
    let mut fleet = joined(9, 3);
    fleet.groups[4] = 1;
    fleet.run(60 * MINUTE);
    assert_eq!(fleet.alive_at(4), 1);
    assert!(fleet.all_hold(4, MemberState::Dead));
    fleet.groups[4] = 0;
    let took = fleet.run_until(2 * MINUTE, |fleet| fleet.all_see(9));
    println!("9 hosts: one cut for an hour rejoins in {}", millis(took));
    assert!(took.is_some());
}

#[test]
fn paused_host_doubts_itself_first() {
    for seed in 0..5 {
        let mut fleet = joined(9, 10 + seed);
        fleet.paused[4] = Some(fleet.now + Duration::from_secs(40));
        fleet.run(Duration::from_secs(40));
        assert!(fleet.all_hold(4, MemberState::Dead));
        for _ in 0..200 {
            fleet.run(Duration::from_millis(50));
            assert_eq!(fleet.alive_at(4), 9, "the paused host took others for dead");
        }
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(9));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn lost_messages_bury_nobody() {
    let mut fleet = joined(30, 4);
    fleet.loss = 0.1;
    for _ in 0..600 {
        fleet.run(Duration::from_secs(1));
        assert!(
            fleet.all_see(30),
            "a live host was taken for dead at {}",
            fleet.now
        );
    }
}

#[test]
fn leaving_is_sticky_against_the_lagging_list() {
    let mut fleet = joined(9, 5);
    fleet.input(2, MemberInput::Leave);
    fleet.run(Duration::from_secs(3));
    let list = fleet.list();
    for at in 0..9 {
        fleet.input(at, MemberInput::HostList(list.clone()));
    }
    fleet.run(MINUTE);
    assert!(fleet.all_hold(2, MemberState::Leaving));
    assert_eq!(fleet.state(2, 2), Some(MemberState::Leaving));
}

#[test]
fn leaving_in_the_list_counts_for_the_process_that_it_means() {
    let mut fleet = joined(9, 6);
    fleet.run(3 * MINUTE);
    let mut list = fleet.list();
    list[2].leaving = true;
    fleet.input(5, MemberInput::HostList(list.clone()));
    let took = fleet.run_until(MINUTE, |fleet| fleet.all_hold(2, MemberState::Leaving));
    assert!(took.is_some(), "one host heard of it and all must follow");

    fleet.stop(2);
    fleet.start(2, 2);
    fleet.input(2, MemberInput::HostList(list.clone()));
    let took = fleet.run_until(MINUTE, |fleet| fleet.all_hold(2, MemberState::Alive));
    assert!(took.is_some());
    fleet.input(5, MemberInput::HostList(list));
    fleet.run(Duration::from_secs(10));
    assert!(
        fleet.all_hold(2, MemberState::Alive),
        "the list still spoke of the process before"
    );
}

#[test]
fn later_process_of_the_same_name_wins() {
    let mut machine = MemberMachine::new(settings(0, 5, 1));
    let record = |incarnation| {
        let mut record = machine.own().clone();
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
fn older_leaving_of_a_server_is_no_news() {
    let mut machine = MemberMachine::new(settings(0, 1, 1));
    let mut told = Vec::new();
    for incarnation in [7, 7, 6, 8] {
        let input = MemberInput::ServerLeaving {
            server: "engine".parse().unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let outputs = machine.handle(MonoTime(1), input);
        let leaving = |output: &&MemberOutput| matches!(output, MemberOutput::ServerLeaving(_));
        told.push(outputs.iter().filter(leaving).count());
    }
    assert_eq!(told, [1, 0, 0, 1]);
}

#[test]
fn news_on_a_message_is_bounded() {
    let mut fleet = joined(9, 7);
    for server in 0..2000 {
        let input = MemberInput::ServerLeaving {
            server: format!("server-{server}").parse().unwrap(),
            incarnation: Incarnation(1),
        };
        fleet.input(0, input);
    }
    fleet.size = |message| {
        let news = match message {
            MemberMessage::Ping { news, .. }
            | MemberMessage::Ack { news, .. }
            | MemberMessage::PingRequest { news, .. }
            | MemberMessage::Gossip { news, .. } => news.as_slice(),
            _ => &[],
        };
        assert!(news.len() <= 80, "{} pieces of news", news.len());
        0
    };
    let told = |fleet: &Fleet| fleet.told.iter().all(|told| told.servers.len() == 2000);
    let took = fleet.run_until(10 * MINUTE, told);
    println!("9 hosts: 2000 servers leaving at once {}", millis(took));
    assert!(took.is_some());
}

/// Replays random news of one host; its state must never go back within an incarnation.
#[test]
fn leaving_never_goes_back() {
    let mut random = StdRng::seed_from_u64(11);
    for _ in 0..2000 {
        let mut bytes = [0; 256];
        random.fill(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let news = Vec::<(u8, u8, u8)>::generate(&mut driver).unwrap_or_default();
        check_news_of_one_host(&news);
    }
}

fn check_news_of_one_host(news: &[(u8, u8, u8)]) {
    let mut machine = MemberMachine::new(settings(0, 1, 1));
    let (mut newest, mut left) = (0, false);
    for (step, (incarnation, refutation, state)) in news.iter().enumerate() {
        let record = subject(*incarnation % 3 + 1, *refutation % 4, *state % 4);
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
        assert!(!back, "a leaving host is taken for alive again");
    }
}

fn subject(incarnation: u8, refutation: u8, state: u8) -> MemberRecord {
    let mut machine = MemberMachine::new(settings(1, u64::from(incarnation), 1));
    machine.handle(MonoTime(0), MemberInput::Tick);
    let mut record = machine.own().clone();
    record.refutation = u64::from(refutation);
    record.state = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ][usize::from(state)];
    record
}
