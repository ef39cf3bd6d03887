//! Support for hosts with certificates.

use std::net::SocketAddr;

use hollywheel_daemon::settings::{DaemonSettings, SecretSettings, SecretText, TlsSettings};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
};

use super::{Started, TestHost, VIEWER, host_settings, start_host};

/// Certificate authority for hosts.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self {
            issuer: CertifiedIssuer::self_signed(params, key).unwrap(),
        }
    }

    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    pub fn keys_of(&self, host: &str) -> TlsSettings {
        let mut params = CertificateParams::new(vec![host.to_owned()]).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsSettings {
            certificate: certificate.pem(),
            key: SecretText::new(key.serialize_pem()),
            authority: self.issuer.pem(),
        }
    }
}

/// Starts a host that shares the stand-ins of another one.
pub fn start_named(
    host: &TestHost,
    authority: &Authority,
    name: &str,
    seeds: &[SocketAddr],
) -> Started {
    start_with_keys(host, authority.keys_of(name), name, seeds)
}

/// Starts a host with keys.
pub fn start_with_keys(
    host: &TestHost,
    keys: TlsSettings,
    name: &str,
    seeds: &[SocketAddr],
) -> Started {
    let settings = host_settings(host.platform.address());
    start_host(DaemonSettings {
        host: name.parse().unwrap(),
        seed_hosts: seeds.to_vec(),
        secrets: SecretSettings {
            tls: Some(keys),
            ..settings.secrets.clone()
        },
        ..settings
    })
}

/// Returns the hosts that a host knows and their states.
pub async fn states(host: &Started) -> Vec<String> {
    let list = host.admin("GET", "/admin/hosts", Some(VIEWER), "").await;
    let list = list.json();
    let hosts = list["hosts"].as_array().unwrap().clone();
    hosts
        .iter()
        .map(|entry| format!("{}:{}", entry["host"], entry["state"]).replace('"', ""))
        .collect()
}

/// Returns the configuration versions of the hosts that a host knows.
pub async fn versions(host: &Started) -> Vec<u64> {
    let list = host.admin("GET", "/admin/hosts", Some(VIEWER), "").await;
    let list = list.json();
    let hosts = list["hosts"].as_array().unwrap();
    hosts
        .iter()
        .filter_map(|entry| entry["config_version"].as_u64())
        .collect()
}
