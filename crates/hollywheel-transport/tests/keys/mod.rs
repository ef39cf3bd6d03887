//! Certificate authorities and host certificates for tests.

use hollywheel_transport::{TransportIdentity, TransportSettings};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, SanType,
};

pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        Self { issuer }
    }

    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    pub fn identity(&self, host: &str) -> TransportIdentity {
        let mut params = CertificateParams::default();
        params.subject_alt_names = vec![SanType::DnsName(host.try_into().unwrap())];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ClientAuth,
            ExtendedKeyUsagePurpose::ServerAuth,
        ];
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TransportIdentity {
            authority_pem: self.pem(),
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        }
    }

    pub fn settings(&self, host: &str) -> TransportSettings {
        let listen = "127.0.0.1:0".parse().unwrap();
        TransportSettings::new(host.parse().unwrap(), listen, self.identity(host))
    }
}
