//! Starts the stand-ins of backend servers and of the platform.

use std::net::SocketAddr;
use std::path::Path;

use hollywheel_config::{PoolKind, PoolObject, ServerEntry};

use crate::error::FleetError;
use crate::process::FleetProcess;
use crate::record::StandinRecord;

/// The stand-in process of a backend server with its record.
#[derive(Debug)]
pub(crate) struct StandinProcess {
    pub(crate) process: FleetProcess,
    pub(crate) record: StandinRecord,
}

/// Starts the stand-in of a backend server on a port that the operating system assigns.
pub(crate) async fn start_server(
    programs: &Path,
    directory: &Path,
    platform: SocketAddr,
    pool: &PoolObject,
    server: &ServerEntry,
) -> Result<StandinProcess, FleetError> {
    let mut args = server_arguments(platform, pool, server);
    let ledger = directory.join(format!("{}.ledger", server.name));
    args.extend(["--ledger-file".to_owned(), ledger.display().to_string()]);
    let log = directory.join(format!("{}.log", server.name));
    let program = programs.join("hollywheel-standin");
    let mut process = FleetProcess::start(&program, &args, &[], &log)?;
    let address = read_listen_address(&mut process).await?;
    let record = StandinRecord {
        name: server.name.to_string(),
        pool: pool.name.to_string(),
        domain: server.domain.to_string(),
        address,
        ledger,
        pid: process.pid(),
    };
    Ok(StandinProcess { process, record })
}

/// Starts the stand-in of the platform.
pub(crate) async fn start_platform(
    programs: &Path,
    directory: &Path,
    args: &[String],
) -> Result<(FleetProcess, SocketAddr), FleetError> {
    let program = programs.join("hollywheel-standin");
    let mut all_args = vec!["platform".to_owned()];
    all_args.extend(args.iter().cloned());
    let log = directory.join("platform.log");
    let mut process = FleetProcess::start(&program, &all_args, &[], &log)?;
    let address = read_listen_address(&mut process).await?;
    Ok((process, address))
}

async fn read_listen_address(process: &mut FleetProcess) -> Result<SocketAddr, FleetError> {
    let text = process.wait_for_line("listening").await?;
    text.parse().map_err(|_| FleetError::NotReady {
        name: text,
        log: process.log().to_owned(),
    })
}

fn server_arguments(platform: SocketAddr, pool: &PoolObject, server: &ServerEntry) -> Vec<String> {
    let (command, work) = match pool.kind {
        PoolKind::Engine => ("engine", None),
        PoolKind::Encoder => ("pool", Some("encoder")),
        PoolKind::Retriever => ("pool", Some("retriever")),
        PoolKind::Reranker => ("pool", Some("reranker")),
        PoolKind::Service => ("service", None),
    };
    let mut args = vec![command.to_owned()];
    let mut add_flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    add_flag("name", server.name.to_string());
    add_flag("slots", pool.slots.to_string());
    if let Some(work) = work {
        add_flag("work", work.to_owned());
    }
    if pool.kind == PoolKind::Engine {
        add_flag("fencing", pool.fencing.to_string());
        add_flag("weights", platform.to_string());
        for placement in &pool.models {
            add_flag("model", placement.model.to_string());
        }
    }
    args
}
