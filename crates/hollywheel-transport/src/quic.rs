//! Configuration of the QUIC library.

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

/// The ALPN name of the protocol between hosts.
const ALPN_PROTOCOL: &[u8] = b"hollywheel/1";

/// Maximum number of open questions per connection.
const MAX_QUESTIONS: u32 = 32;

/// Maximum number of open streams per connection for messages too large for a datagram.
const MAX_MESSAGE_STREAMS: u32 = 16;

/// Maximum size of the datagrams buffered per connection and direction in bytes.
const DATAGRAM_BUFFER: usize = 64 * 1024;

/// Maximum number of unread bytes received per connection.
const RECEIVE_WINDOW: u32 = 1024 * 1024;

/// The round-trip time assumed before the first measurement.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// Maximum number of incoming connections waiting for their handshake.
const MAX_INCOMING: usize = 256;

/// Length of a connection id in bytes.
const CONNECTION_ID_BYTES: usize = 8;

/// Generates random connection ids. Packets with ids of an earlier process are thus answered with a
/// stateless reset, so that peers of a restarted host reconnect at once.
#[derive(Debug)]
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut bytes = [0; CONNECTION_ID_BYTES];
        rand::rng().fill(&mut bytes);
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Returns the configuration of the endpoint. The key for stateless resets is derived from the
/// private key of the host, so that a process that restarts after a crash derives the same one.
pub(crate) fn endpoint_config(settings: &TransportSettings) -> EndpointConfig {
    let secret = settings.identity.key_pem.as_bytes();
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, secret);
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(|| Box::new(RandomConnectionIds));
    config
}

/// Returns the configuration for incoming connections.
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
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let tls = QuicServerConfig::try_from(tls).map_err(|error| bad_pem("host key", &error))?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(transport_config(settings));
    config.max_incoming(MAX_INCOMING);
    Ok(config)
}

/// Returns the configuration for outgoing connections.
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
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
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
    let idle_timeout = IdleTimeout::try_from(settings.idle_timeout).ok();
    config
        .max_idle_timeout(idle_timeout)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_QUESTIONS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_MESSAGE_STREAMS))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .receive_window(VarInt::from_u32(RECEIVE_WINDOW))
        .stream_receive_window(VarInt::from_u32(RECEIVE_WINDOW))
        .initial_rtt(INITIAL_RTT)
        // MTU probes would cost more bytes than the messages themselves.
        .mtu_discovery_config(None);
    Arc::new(config)
}
