//! Starting of stand-ins.

use std::net::SocketAddr;
use std::path::Path;

use hollywheel_config::{PoolKind, PoolObject, ServerEntry};

use crate::error::FleetError;
use crate::process::FleetProcess;
use crate::record::StandinRecord;

/// Holds a stand-in and its record.
#[derive(Debug)]
pub(crate) struct StandinProcess {
    pub(crate) process: FleetProcess,
    pub(crate) record: StandinRecord,
}

/// Starts the stand-in of a backend server on a port that the system gives.
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
    let address = listening(&mut process).await?;
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
    let mut all = vec!["platform".to_owned()];
    all.extend(args.iter().cloned());
    let log = directory.join("platform.log");
    let mut process = FleetProcess::start(&program, &all, &[], &log)?;
    let address = listening(&mut process).await?;
    Ok((process, address))
}

async fn listening(process: &mut FleetProcess) -> Result<SocketAddr, FleetError> {
    let text = process.first_line("listening").await?;
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
    let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    flag("name", server.name.to_string());
    flag("slots", pool.slots.to_string());
    if let Some(work) = work {
        flag("work", work.to_owned());
    }
    if pool.kind == PoolKind::Engine {
        flag("fencing", pool.fencing.to_string());
        flag("weights", platform.to_string());
        for placement in &pool.models {
            flag("model", placement.model.to_string());
        }
    }
    args
}
