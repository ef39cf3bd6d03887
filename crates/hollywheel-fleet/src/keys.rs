//! Keys of the hosts of a fleet.

use std::path::{Path, PathBuf};

use tokio::process::Command;

use crate::error::FleetError;

/// Holds the keys of a host as PEM texts.
#[derive(Clone, Debug)]
pub(crate) struct HostKeys {
    pub(crate) authority: String,
    pub(crate) certificate: String,
    pub(crate) key: String,
}

/// Runs the operator tool and returns what it printed.
pub(crate) async fn run_operator(
    programs: &Path,
    args: &[&str],
    variables: &[(&str, &str)],
) -> Result<String, FleetError> {
    let program = programs.join("hollywheelctl");
    let output = Command::new(&program)
        .args(args)
        .envs(variables.iter().copied())
        .output()
        .await
        .map_err(|error| FleetError::Start {
            program,
            message: error.to_string(),
        })?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    Err(FleetError::Operator {
        command: format!("hollywheelctl {}", args.join(" ")),
        message: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// Makes an authority in a directory.
pub(crate) async fn make_authority(programs: &Path, directory: &Path) -> Result<(), FleetError> {
    let path = directory.display().to_string();
    run_operator(programs, &["make-ca", &path], &[]).await?;
    Ok(())
}

/// Makes the keys of a host.
pub(crate) async fn make_host_keys(
    programs: &Path,
    directory: &Path,
    host: &str,
) -> Result<HostKeys, FleetError> {
    let path = directory.display().to_string();
    run_operator(programs, &["make-host-key", &path, host], &[]).await?;
    Ok(HostKeys {
        authority: read(directory.join("ca.pem"))?,
        certificate: read(directory.join(format!("{host}.pem")))?,
        key: read(directory.join(format!("{host}-key.pem")))?,
    })
}

fn read(path: PathBuf) -> Result<String, FleetError> {
    std::fs::read_to_string(&path).map_err(|error| FleetError::file(path, &error))
}
