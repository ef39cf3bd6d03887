//! Parsing of certificates and keys.

use std::sync::Arc;

use hollywheel_types::HostId;
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::error::TransportError;
use crate::settings::TransportIdentity;

/// The certificates and the private key of a host, parsed for the TLS library.
#[derive(Debug)]
pub(crate) struct LoadedIdentity {
    /// The trusted authorities.
    pub roots: Arc<RootCertStore>,
    /// The certificate of the host and any intermediate certificates.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
}

impl LoadedIdentity {
    /// Parses the PEM texts and checks that the certificate names the host.
    pub fn load(host: &HostId, identity: &TransportIdentity) -> Result<Self, TransportError> {
        let mut roots = RootCertStore::empty();
        for authority in certificates("authority certificate", &identity.authority_pem)? {
            roots
                .add(authority)
                .map_err(|error| bad_pem("authority certificate", &error))?;
        }
        let chain = certificates("host certificate", &identity.certificate_pem)?;
        let key = PrivateKeyDer::from_pem_slice(identity.key_pem.as_bytes())
            .map_err(|error| bad_pem("host key", &error))?;
        if !hosts_named_by(&chain[0]).contains(host) {
            return Err(TransportError::WrongName {
                host: host.to_string(),
            });
        }
        Ok(Self {
            roots: Arc::new(roots),
            chain,
            key,
        })
    }
}

/// Returns the hosts that a certificate names.
pub(crate) fn hosts_named_by(certificate: &CertificateDer<'_>) -> Vec<HostId> {
    let Ok(parsed) = webpki::EndEntityCert::try_from(certificate) else {
        return Vec::new();
    };
    parsed
        .valid_dns_names()
        .filter_map(|name| name.parse().ok())
        .collect()
}

fn certificates(
    item: &'static str,
    pem: &str,
) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let list: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let list = list.map_err(|error| bad_pem(item, &error))?;
    if list.is_empty() {
        return Err(TransportError::BadPem {
            item,
            message: "contains no certificate; expected PEM text".to_owned(),
        });
    }
    Ok(list)
}

pub(crate) fn bad_pem(item: &'static str, error: &impl ToString) -> TransportError {
    TransportError::BadPem {
        item,
        message: error.to_string(),
    }
}
