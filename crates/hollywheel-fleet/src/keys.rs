//! Creates the TLS keys of the hosts with the operator tool.

use std::path::{Path, PathBuf};

use tokio::process::Command;

use crate::error::FleetError;

/// The TLS certificates and private key of a host, PEM-encoded.
#[derive(Clone, Debug)]
pub(crate) struct HostKeys {
    pub(crate) authority: String,
    pub(crate) certificate: String,
    pub(crate) key: String,
}

/// Runs the operator tool and returns its standard output.
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

/// Creates a certificate authority in a directory.
pub(crate) async fn create_authority(programs: &Path, directory: &Path) -> Result<(), FleetError> {
    let path = directory.display().to_string();
    run_operator(programs, &["make-ca", &path], &[]).await?;
    Ok(())
}

/// Creates and reads the certificate and private key of a host.
pub(crate) async fn create_host_keys(
    programs: &Path,
    directory: &Path,
    host: &str,
) -> Result<HostKeys, FleetError> {
    let path = directory.display().to_string();
    run_operator(programs, &["make-host-key", &path, host], &[]).await?;
    Ok(HostKeys {
        authority: read_pem(directory.join("ca.pem"))?,
        certificate: read_pem(directory.join(format!("{host}.pem")))?,
        key: read_pem(directory.join(format!("{host}-key.pem")))?,
    })
}

fn read_pem(path: PathBuf) -> Result<String, FleetError> {
    std::fs::read_to_string(&path).map_err(|error| FleetError::file(path, &error))
}
