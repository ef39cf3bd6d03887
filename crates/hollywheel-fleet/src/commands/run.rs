//! The `run` subcommand: starts a fleet and applies a timeline of faults.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep_until};

use crate::error::FleetError;
use crate::fleet::{Fleet, FleetSettings};
use crate::timeline::FaultTimeline;

const MAX_RUN_SECONDS: u64 = 3_600;

pub(crate) fn command() -> Command {
    Command::new("run")
        .about("Starts stand-ins and hosts, publishes the objects, and shuts all of them down at the end")
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
                "Directory for logs, keys and the record fleet.json",
            )
            .required(true),
        )
        .arg(path_argument(
            "programs",
            "DIRECTORY",
            "Directory of the built programs [default: the directory of this program]",
        ))
        .arg(path_argument(
            "timeline",
            "FILE",
            "TOML file with the faults to inject",
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
                .help("Maximum run time of the fleet")
                .value_parser(value_parser!(u64).range(1..=MAX_RUN_SECONDS)),
        )
        .arg(repeated_argument(
            "host-arg",
            "Additional argument for every host (repeatable)",
        ))
        .arg(repeated_argument(
            "platform-arg",
            "Additional argument for the platform's stand-in (repeatable)",
        ))
        .after_help(
            "Prints `ready` when every host accepts requests. Stops on SIGTERM or SIGINT, or \
             after --seconds.\n\nExample:\n  hollywheel-fleet run --objects examples/pricing-office.toml \
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
    let executable = std::env::current_exe().ok();
    let executable_directory = executable.and_then(|path| path.parent().map(PathBuf::from));
    FleetSettings {
        programs: path("programs")
            .or(executable_directory)
            .unwrap_or_default(),
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
    let result = run_timeline(&mut fleet, &timeline, Duration::from_secs(seconds)).await;
    let hosts = fleet.record().hosts.len();
    let unclean = fleet.shut_down().await;
    println!("ended {hosts} hosts, {unclean} of them not cleanly");
    result
}

/// Applies the faults at their times, then waits for a signal or the end of the run time.
async fn run_timeline(
    fleet: &mut Fleet,
    timeline: &FaultTimeline,
    duration: Duration,
) -> Result<(), FleetError> {
    let start = Instant::now();
    let mut stop_signals = StopSignals::new()?;
    for fault in &timeline.faults {
        let at = start + Duration::from_millis(fault.at_ms);
        if at > start + duration || stop_signals.arrive_before(at).await {
            return Ok(());
        }
        fleet.apply(fault).await?;
        println!("{} ms: {:?} {}", fault.at_ms, fault.action, fault.process);
    }
    stop_signals.arrive_before(start + duration).await;
    Ok(())
}

/// Receives the signals that stop the fleet.
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

    /// Waits until a signal or a point in time and returns whether a signal came first.
    async fn arrive_before(&mut self, at: Instant) -> bool {
        tokio::select! {
            _ = self.interrupt.recv() => true,
            _ = self.terminate.recv() => true,
            () = sleep_until(at) => false,
        }
    }
}
