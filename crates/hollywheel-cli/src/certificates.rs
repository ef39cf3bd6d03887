//! Creation of host certificates and of the certificate authority that signs them.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use hollywheel_types::HostId;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::error::CliError;

const AUTHORITY_CERTIFICATE: &str = "ca.pem";
const AUTHORITY_KEY: &str = "ca-key.pem";

/// Certificates are valid from this time before their creation, so that hosts whose clocks are
/// behind accept them.
const MAX_CLOCK_SKEW: Duration = Duration::hours(1);

/// The paths of a certificate and of its private key.
#[derive(Debug)]
pub(crate) struct KeyFiles {
    pub(crate) certificate: PathBuf,
    pub(crate) key: PathBuf,
}

/// Creates a certificate authority for hosts and writes its certificate and private key.
///
/// # Errors
///
/// Returns [`CliError`] if a file exists already or can't be written.
pub(crate) fn create_authority(directory: &Path, days: i64) -> Result<KeyFiles, CliError> {
    let mut params = base_params("hollywheel hosts", days);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().map_err(certificate_error)?;
    let certificate = params.self_signed(&key).map_err(certificate_error)?;
    let files = KeyFiles {
        certificate: directory.join(AUTHORITY_CERTIFICATE),
        key: directory.join(AUTHORITY_KEY),
    };
    write_new(&files.key, &key.serialize_pem())?;
    write_new(&files.certificate, &certificate.pem())?;
    Ok(files)
}

/// Creates a private key and a certificate for a host, signed by the certificate authority in a
/// directory.
///
/// # Errors
///
/// Returns [`CliError`] if the authority can't be read, or a file exists already or can't be
/// written.
pub(crate) fn create_host_key(
    directory: &Path,
    host: &HostId,
    days: i64,
) -> Result<KeyFiles, CliError> {
    let authority_key = read_text(&directory.join(AUTHORITY_KEY))?;
    let authority_certificate = read_text(&directory.join(AUTHORITY_CERTIFICATE))?;
    let authority_key = KeyPair::from_pem(&authority_key).map_err(certificate_error)?;
    let issuer = Issuer::from_ca_cert_pem(&authority_certificate, authority_key)
        .map_err(certificate_error)?;
    let key = KeyPair::generate().map_err(certificate_error)?;
    let certificate = host_params(host, days)?
        .signed_by(&key, &issuer)
        .map_err(certificate_error)?;
    let files = KeyFiles {
        certificate: directory.join(format!("{host}.pem")),
        key: directory.join(format!("{host}-key.pem")),
    };
    write_new(&files.key, &key.serialize_pem())?;
    write_new(&files.certificate, &certificate.pem())?;
    Ok(files)
}

fn host_params(host: &HostId, days: i64) -> Result<CertificateParams, CliError> {
    let mut params = base_params(host.as_str(), days);
    let name = host.as_str().try_into().map_err(certificate_error)?;
    params.subject_alt_names = vec![rcgen::SanType::DnsName(name)];
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ClientAuth,
        ExtendedKeyUsagePurpose::ServerAuth,
    ];
    Ok(params)
}

fn base_params(name: &str, days: i64) -> CertificateParams {
    let now = OffsetDateTime::now_utc();
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, name);
    params.not_before = now - MAX_CLOCK_SKEW;
    params.not_after = now + Duration::days(days);
    params
}

/// Writes a new file that only its owner may read; fails if the file exists.
fn write_new(path: &Path, text: &str) -> Result<(), CliError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(0o600);
    options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| file_error(path, &error))
}

fn read_text(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|error| file_error(path, &error))
}

fn file_error(path: &Path, error: &std::io::Error) -> CliError {
    CliError::File {
        path: path.to_owned(),
        message: error.to_string(),
    }
}

fn certificate_error(error: rcgen::Error) -> CliError {
    CliError::Argument(format!("the certificate can't be created: {error}"))
}
