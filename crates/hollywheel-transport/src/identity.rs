//! Reading of keys and certificates.

use std::sync::Arc;

use hollywheel_types::HostId;
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::error::TransportError;
use crate::settings::TransportIdentity;

/// Holds the keys of a host in the form that the TLS library takes.
#[derive(Debug)]
pub(crate) struct LoadedIdentity {
    /// The authorities that are accepted.
    pub roots: Arc<RootCertStore>,
    /// The certificate of the host and intermediate ones.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
}

impl LoadedIdentity {
    /// Reads the PEM texts and checks that the certificate is that of the host.
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
        if !names_of(&chain[0]).contains(host) {
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

/// Returns the hosts that a certificate is for.
pub(crate) fn names_of(certificate: &CertificateDer<'_>) -> Vec<HostId> {
    let Ok(parsed) = webpki::EndEntityCert::try_from(certificate) else {
        return Vec::new();
    };
    parsed
        .valid_dns_names()
        .filter_map(|name| name.parse().ok())
        .collect()
}

fn certificates(
    what: &'static str,
    pem: &str,
) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let list: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let list = list.map_err(|error| bad_pem(what, &error))?;
    if list.is_empty() {
        return Err(TransportError::BadPem {
            what,
            message: "holds no certificate; expected PEM text".to_owned(),
        });
    }
    Ok(list)
}

pub(crate) fn bad_pem(what: &'static str, error: &impl ToString) -> TransportError {
    TransportError::BadPem {
        what,
        message: error.to_string(),
    }
}
