//! `hollywheel-fleet run`

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep_until};

use crate::error::FleetError;
use crate::fleet::{Fleet, FleetSettings};
use crate::timeline::FaultTimeline;

const MAX_SECONDS: u64 = 3_600;

pub(crate) fn command() -> Command {
    Command::new("run")
        .about("Starts stand-ins and hosts, publishes the objects, and ends all of it at the end")
        .arg(
            path_argument(
                "objects",
                "FILE",
                "Object file; a stand-in is started for each backend server",
            )
            .required(true),
        )
        .arg(
            path_argument(
                "directory",
                "DIRECTORY",
                "Where logs, keys and the record fleet.json are written",
            )
            .required(true),
        )
        .arg(path_argument(
            "programs",
            "DIRECTORY",
            "Where the built programs are; that of this tool if left out",
        ))
        .arg(path_argument(
            "timeline",
            "FILE",
            "Faults of processes, as TOML",
        ))
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("COUNT")
                .default_value("3")
                .help("Number of hosts")
                .value_parser(value_parser!(u16).range(1..=100)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .default_value("600")
                .help("Longest time that the fleet runs")
                .value_parser(value_parser!(u64).range(1..=MAX_SECONDS)),
        )
        .arg(repeated_argument(
            "host-arg",
            "A further argument of every host",
        ))
        .arg(repeated_argument(
            "platform-arg",
            "A further argument of the platform's stand-in",
        ))
        .after_help(
            "Prints `ready` when every host takes requests. Ends with SIGTERM, SIGINT or after \
             --seconds.\n\nExample:\n  hollywheel-fleet run --objects examples/pricing-office.toml \
             --directory target/fleet --hosts 3",
        )
}

fn path_argument(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn repeated_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ARGUMENT")
        .help(help)
        .allow_hyphen_values(true)
        .action(ArgAction::Append)
}

fn settings(args: &ArgMatches) -> FleetSettings {
    let path = |name: &str| args.get_one::<PathBuf>(name).cloned();
    let repeated = |name: &str| {
        let values = args.get_many::<String>(name).into_iter().flatten();
        values.cloned().collect()
    };
    let own = std::env::current_exe().ok();
    let beside = own.and_then(|own| own.parent().map(PathBuf::from));
    FleetSettings {
        programs: path("programs").or(beside).unwrap_or_default(),
        directory: path("directory").unwrap_or_default(),
        objects: path("objects").unwrap_or_default(),
        hosts: usize::from(args.get_one::<u16>("hosts").copied().unwrap_or(1)),
        host_args: repeated("host-arg"),
        platform_args: repeated("platform-arg"),
    }
}

pub(crate) async fn run(args: &ArgMatches) -> Result<(), FleetError> {
    let timeline = match args.get_one::<PathBuf>("timeline") {
        Some(path) => FaultTimeline::read(path)?,
        None => FaultTimeline::default(),
    };
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(1);
    let mut fleet = Fleet::start(&settings(args)).await?;
    println!("ready");
    let ended = carry_out(&mut fleet, &timeline, Duration::from_secs(seconds)).await;
    let hosts = fleet.record().hosts.len();
    let unclean = fleet.end().await;
    println!("ended {hosts} hosts, {unclean} of them not cleanly");
    ended
}

/// Carries out the faults, then waits for a signal or the end of the span.
async fn carry_out(
    fleet: &mut Fleet,
    timeline: &FaultTimeline,
    span: Duration,
) -> Result<(), FleetError> {
    let begin = Instant::now();
    let mut stop = StopSignals::new()?;
    for fault in &timeline.faults {
        let at = begin + Duration::from_millis(fault.at_ms);
        if at > begin + span || stop.before(at).await {
            return Ok(());
        }
        fleet.apply(fault).await?;
        println!("{} ms: {:?} {}", fault.at_ms, fault.action, fault.process);
    }
    stop.before(begin + span).await;
    Ok(())
}

/// Waits for the signals that end the fleet.
#[derive(Debug)]
struct StopSignals {
    interrupt: tokio::signal::unix::Signal,
    terminate: tokio::signal::unix::Signal,
}

impl StopSignals {
    fn new() -> Result<Self, FleetError> {
        let listen = |kind| signal(kind).map_err(|error| FleetError::file("signals", &error));
        Ok(Self {
            interrupt: listen(SignalKind::interrupt())?,
            terminate: listen(SignalKind::terminate())?,
        })
    }

    /// Says whether a signal came before a point in time.
    async fn before(&mut self, at: Instant) -> bool {
        tokio::select! {
            _ = self.interrupt.recv() => true,
            _ = self.terminate.recv() => true,
            () = sleep_until(at) => false,
        }
    }
}
