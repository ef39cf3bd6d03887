//! Verification of the certificates of the hosts that this host connects to.

use std::sync::Arc;

use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::verify_server_cert_signed_by_trust_anchor;
use rustls::crypto::{WebPkiSupportedAlgorithms, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::ParsedCertificate;
use rustls::{
    CertificateError, DigitallySignedStruct, Error, OtherError, RootCertStore, SignatureScheme,
};

use crate::identity::hosts_named_by;

/// Accepts every host whose certificate is signed by a trusted authority.
///
/// Hosts connect to one another by IP address, so there is no name to check during the handshake.
/// Callers that need the answer of a certain host compare the name in the certificate afterwards.
#[derive(Debug)]
pub(crate) struct HostVerifier {
    roots: Arc<RootCertStore>,
    algorithms: WebPkiSupportedAlgorithms,
}

impl HostVerifier {
    /// Creates a verifier that trusts `roots`.
    pub const fn new(roots: Arc<RootCertStore>, algorithms: WebPkiSupportedAlgorithms) -> Self {
        Self { roots, algorithms }
    }
}

impl ServerCertVerifier for HostVerifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let parsed = ParsedCertificate::try_from(certificate)?;
        verify_server_cert_signed_by_trust_anchor(
            &parsed,
            &self.roots,
            intermediates,
            now,
            self.algorithms.all,
        )?;
        if hosts_named_by(certificate).is_empty() {
            let error = Arc::new(NamelessCertificate);
            return Err(CertificateError::Other(OtherError(error)).into());
        }
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls12_signature(message, certificate, signature, &self.algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature(message, certificate, signature, &self.algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }
}

/// The error for a certificate without a DNS name that is a valid host name.
#[derive(Debug)]
struct NamelessCertificate;

impl std::fmt::Display for NamelessCertificate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the certificate holds no DNS name that is a host")
    }
}

impl std::error::Error for NamelessCertificate {}
