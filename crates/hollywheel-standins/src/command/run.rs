//! Starts the selected stand-in and stops it on a signal.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_standins::StandinHandle;
use tokio::signal::unix::{SignalKind, signal};

use super::{engine, platform, pool, service};

fn root() -> Command {
    Command::new("hollywheel-standin")
        .about("Stands in for a backend server or the platform")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("ledger-file")
                .long("ledger-file")
                .env("HOLLYWHEEL_STANDIN_LEDGER_FILE")
                .global(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File that the ledger is copied to, so that it outlives the process"),
        )
        .subcommand(engine::command())
        .subcommand(pool::command())
        .subcommand(service::command())
        .subcommand(platform::command())
}

async fn start(matches: &ArgMatches) -> io::Result<StandinHandle> {
    match matches.subcommand() {
        Some(("engine", matches)) => engine::start(matches).await,
        Some(("pool", matches)) => pool::start(matches).await,
        Some(("service", matches)) => service::start(matches).await,
        Some(("platform", matches)) => platform::start(matches).await,
        _ => Err(io::Error::other("no such command")),
    }
}

async fn serve(matches: ArgMatches) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = start(&matches).await?;
    if let Some(path) = matches.get_one::<PathBuf>("ledger-file") {
        handle.copy_ledger(File::create(path)?);
    }
    let mut output = io::stdout();
    writeln!(output, "listening {}", handle.address())?;
    output.flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop().await;
    Ok(())
}

/// Runs the command line.
pub(crate) fn run() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(io::stderr)
        .init();
    let matches = root().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let ended = runtime.and_then(|runtime| runtime.block_on(serve(matches)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollywheel-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
