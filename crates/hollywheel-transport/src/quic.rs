//! Settings of the QUIC library.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, ServerConfig,
    TransportConfig, VarInt,
};
use rand::RngExt;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;

use crate::error::TransportError;
use crate::identity::{LoadedIdentity, bad_pem};
use crate::settings::TransportSettings;
use crate::verifier::HostVerifier;

/// Names the protocol between hosts.
const PROTOCOL: &[u8] = b"hollywheel/1";

/// The most questions that a host may have open on one connection.
const MAX_QUESTIONS: u32 = 32;

/// The most messages too large for a datagram that are open on one connection.
const MAX_STREAMS: u32 = 16;

/// The most bytes of datagrams that wait on one connection, each way.
const DATAGRAM_BUFFER: usize = 64 * 1024;

/// The most bytes that are received on one connection before they are read.
const RECEIVE_WINDOW: u32 = 1024 * 1024;

/// The round-trip time assumed before one was measured.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// The most handshakes of callers that wait.
const MAX_INCOMING: usize = 256;

/// The bytes of a connection id.
const ID_BYTES: usize = 8;

/// Draws connection ids at random. Ids of an earlier process are answered with a reset, so that
/// callers of a host that crashed and is back find out at once.
#[derive(Debug)]
struct RandomIds;

impl ConnectionIdGenerator for RandomIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut bytes = [0; ID_BYTES];
        rand::rng().fill(&mut bytes);
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Returns the settings of the endpoint. Resets are signed with a key that a process of the same
/// host after a crash derives again.
pub(crate) fn endpoint_config(settings: &TransportSettings) -> EndpointConfig {
    let secret = settings.identity.key_pem.as_bytes();
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, secret);
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(|| Box::new(RandomIds));
    config
}

/// Returns the settings for callers.
pub(crate) fn server_config(
    settings: &TransportSettings,
    identity: &LoadedIdentity,
) -> Result<ServerConfig, TransportError> {
    let provider = provider();
    let roots = Arc::clone(&identity.roots);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
        .build()
        .map_err(|error| bad_pem("authority certificate", &error))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| bad_pem("host key", &error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|error| bad_pem("host certificate", &error))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls = QuicServerConfig::try_from(tls).map_err(|error| bad_pem("host key", &error))?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(transport_config(settings));
    config.max_incoming(MAX_INCOMING);
    Ok(config)
}

/// Returns the settings for calls.
pub(crate) fn client_config(
    settings: &TransportSettings,
    identity: &LoadedIdentity,
) -> Result<ClientConfig, TransportError> {
    let provider = provider();
    let algorithms = provider.signature_verification_algorithms;
    let verifier = HostVerifier::new(Arc::clone(&identity.roots), algorithms);
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| bad_pem("host key", &error))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier))
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|error| bad_pem("host certificate", &error))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls = QuicClientConfig::try_from(tls).map_err(|error| bad_pem("host key", &error))?;
    let mut config = ClientConfig::new(Arc::new(tls));
    config.transport_config(transport_config(settings));
    Ok(config)
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport_config(settings: &TransportSettings) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let idle = IdleTimeout::try_from(settings.idle_timeout).ok();
    config
        .max_idle_timeout(idle)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_QUESTIONS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .receive_window(VarInt::from_u32(RECEIVE_WINDOW))
        .stream_receive_window(VarInt::from_u32(RECEIVE_WINDOW))
        .initial_rtt(INITIAL_RTT)
        // Probes for a larger packet size would cost more than the messages.
        .mtu_discovery_config(None);
    Arc::new(config)
}
