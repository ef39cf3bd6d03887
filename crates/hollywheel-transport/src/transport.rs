//! The transport of one host.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberMessage;
use hollywheel_types::{ConfigVersion, HostId};
use hollywheel_wire::{
    ForwardedRequest, HostAnswer, HostQuestion, MAX_FORWARD_BYTES, MAX_QUESTION_BYTES,
    decode_answer, encode_member, encode_question,
};
use quinn::{ClientConfig, Connection, Endpoint, SendDatagramError, VarInt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use crate::connections::{ConnectionTable, SendPlan};
use crate::error::TransportError;
use crate::identity::{LoadedIdentity, hosts_named_by};
use crate::incoming::{accept_connections, serve_connection};
use crate::quic::{client_config, endpoint_config, server_config};
use crate::request::{ForwardOutcome, HostRequest};
use crate::settings::{TransportIdentity, TransportSettings};

/// The TLS server name sent with every connection. Hosts are identified by their certificates
/// instead.
const TLS_SERVER_NAME: &str = "host.hollywheel.internal";

/// How long a shutdown waits for the close notifications to other hosts.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Traffic counters since the transport started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficCount {
    /// UDP payload bytes sent on connections that have ended.
    pub sent: u64,
    /// UDP payload bytes received on connections that have ended.
    pub received: u64,
    /// Messages and questions dropped because the queue was full or they could not be decoded.
    pub dropped: u64,
    /// Connections that are open or being established.
    pub connections: usize,
}

/// The state shared by the clones and tasks of a transport.
#[derive(Debug)]
pub(crate) struct TransportCore {
    pub settings: TransportSettings,
    pub endpoint: Endpoint,
    pub requests: mpsc::Sender<HostRequest>,
    client: Mutex<ClientConfig>,
    connections: Mutex<ConnectionTable>,
    sent: AtomicU64,
    received: AtomicU64,
    pub dropped: AtomicU64,
}

/// Exchanges messages and questions with other hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct HostTransport {
    core: Arc<TransportCore>,
}

impl HostTransport {
    /// Binds the address and starts to accept connections. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates or the key can't be used or the address can't be bound.
    pub fn bind(
        settings: TransportSettings,
    ) -> Result<(Self, mpsc::Receiver<HostRequest>), TransportError> {
        let identity = LoadedIdentity::load(&settings.host, &settings.identity)?;
        let server = server_config(&settings, &identity)?;
        let client = client_config(&settings, &identity)?;
        let bind_error = |source| TransportError::Bind {
            address: settings.listen,
            source,
        };
        let socket = UdpSocket::bind(settings.listen).map_err(bind_error)?;
        let runtime = Arc::new(quinn::TokioRuntime);
        let config = endpoint_config(&settings);
        let endpoint = Endpoint::new(config, Some(server), socket, runtime).map_err(bind_error)?;
        let (requests, receiver) = mpsc::channel(settings.queue_capacity.max(1));
        let core = Arc::new(TransportCore {
            connections: Mutex::new(ConnectionTable::new(settings.max_connections)),
            client: Mutex::new(client),
            settings,
            endpoint,
            requests,
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        tokio::spawn(accept_connections(
            Arc::downgrade(&core),
            core.endpoint.clone(),
        ));
        Ok((Self { core }, receiver))
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> SocketAddr {
        let bound = self.core.endpoint.local_addr();
        bound.unwrap_or(self.core.settings.listen)
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> TrafficCount {
        TrafficCount {
            sent: self.core.sent.load(Ordering::Relaxed),
            received: self.core.received.load(Ordering::Relaxed),
            dropped: self.core.dropped.load(Ordering::Relaxed),
            connections: self.core.connections().len(),
        }
    }

    /// Sends a membership message without waiting; it is lost if the host can't be reached. Must be
    /// called within a Tokio runtime.
    pub fn send(&self, to: SocketAddr, message: &MemberMessage) {
        let bytes = Bytes::from(encode_member(message));
        let plan = self.core.connections().plan(to, &bytes);
        match plan {
            SendPlan::Queued => {}
            SendPlan::Send(connection) => send_bytes(&connection, bytes),
            SendPlan::Connect => {
                let core = Arc::clone(&self.core);
                tokio::spawn(async move { core.connect(to).await });
            }
        }
    }

    /// Asks a host about a claim. Returns `None` if the host does not answer in time or another host
    /// now has its address.
    pub async fn ask_claim(
        &self,
        to: SocketAddr,
        host: &HostId,
        question: &ClaimQuestion,
    ) -> Option<ClaimAnswer> {
        let question = HostQuestion::Claim(question.clone());
        match self.ask(to, Some(host), &question).await? {
            HostAnswer::Claim(answer) => Some(answer),
            _ => None,
        }
    }

    /// Fetches the configuration changes that follow a version. Returns `None` if the host does not
    /// answer in time.
    pub async fn fetch_changes(&self, to: SocketAddr, have: ConfigVersion) -> Option<ChangeBatch> {
        let question = HostQuestion::Changes(have);
        match self.ask(to, None, &question).await? {
            HostAnswer::Changes(batch) => Some(batch),
            _ => None,
        }
    }

    /// Forwards a request to the host that issued its idempotency key and waits for the answer for
    /// as long as the request may take. A request with an input of more than 1 MiB is not sent.
    pub async fn forward(
        &self,
        to: SocketAddr,
        host: &HostId,
        request: ForwardedRequest,
    ) -> ForwardOutcome {
        if request.input.len() > MAX_FORWARD_BYTES - MAX_QUESTION_BYTES {
            return ForwardOutcome::NotSent;
        }
        let limit = request.timeout;
        let connection = timeout(limit, self.connection(to, Some(host))).await;
        let Some(connection) = connection.ok().flatten() else {
            return ForwardOutcome::NotSent;
        };
        let question = HostQuestion::Forward(request);
        // From here on part of the request may have been sent.
        let answer = timeout(limit, self.ask_on_connection(&connection, to, &question)).await;
        match answer.ok().flatten() {
            Some(HostAnswer::Forward(answer)) => ForwardOutcome::Answer(answer),
            _ => ForwardOutcome::Lost,
        }
    }

    async fn ask(
        &self,
        to: SocketAddr,
        host: Option<&HostId>,
        question: &HostQuestion,
    ) -> Option<HostAnswer> {
        let limit = self.core.settings.request_timeout;
        let answer = timeout(limit, self.ask_without_timeout(to, host, question)).await;
        answer.ok().flatten()
    }

    async fn ask_without_timeout(
        &self,
        to: SocketAddr,
        host: Option<&HostId>,
        question: &HostQuestion,
    ) -> Option<HostAnswer> {
        let connection = self.connection(to, host).await?;
        self.ask_on_connection(&connection, to, question).await
    }

    async fn connection(&self, to: SocketAddr, host: Option<&HostId>) -> Option<Connection> {
        let known = self.core.connections().get(to);
        let connection = match known {
            Some(connection) => connection,
            None => self.core.connect(to).await?,
        };
        let host_matches = host.is_none() || host_of(&connection).as_ref() == host;
        host_matches.then_some(connection)
    }

    async fn ask_on_connection(
        &self,
        connection: &Connection,
        to: SocketAddr,
        question: &HostQuestion,
    ) -> Option<HostAnswer> {
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        send.write_all(&encode_question(question)).await.ok()?;
        send.finish().ok()?;
        let limit = usize::try_from(self.core.settings.max_answer.0).unwrap_or(usize::MAX);
        let bytes = receive.read_to_end(limit).await.ok()?;
        match decode_answer(&bytes, limit) {
            Ok(answer) => Some(answer),
            Err(error) => {
                debug!(%to, %error, "malformed answer discarded");
                None
            }
        }
    }

    /// Replaces the certificates and the key. Existing connections stay open until they are idle;
    /// new messages and questions of this host use new connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates or the key can't be used; the old ones stay in use.
    pub fn replace_identity(&self, identity: &TransportIdentity) -> Result<(), TransportError> {
        let settings = &self.core.settings;
        let identity = LoadedIdentity::load(&settings.host, identity)?;
        let server = server_config(settings, &identity)?;
        let client = client_config(settings, &identity)?;
        self.core.endpoint.set_server_config(Some(server));
        *lock(&self.core.client) = client;
        self.core.connections().clear();
        Ok(())
    }

    /// Closes all connections and waits for a bounded time until the peers are notified.
    pub async fn close(&self) {
        let endpoint = &self.core.endpoint;
        endpoint.close(VarInt::from_u32(0), b"shutting down");
        let _ = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
    }
}

impl TransportCore {
    pub(crate) fn connections(&self) -> MutexGuard<'_, ConnectionTable> {
        lock(&self.connections)
    }

    /// Connects to a host and serves the connection in a task.
    async fn connect(self: &Arc<Self>, to: SocketAddr) -> Option<Connection> {
        let connection = self.handshake(to).await;
        let Some(connection) = connection else {
            self.connections().remove_connecting(to);
            return None;
        };
        self.register(&connection);
        tokio::spawn(serve_connection(Arc::clone(self), connection.clone()));
        Some(connection)
    }

    async fn handshake(&self, to: SocketAddr) -> Option<Connection> {
        let config = lock(&self.client).clone();
        let connecting = self
            .endpoint
            .connect_with(config, to, TLS_SERVER_NAME)
            .ok()?;
        match timeout(self.settings.request_timeout, connecting).await {
            Ok(Ok(connection)) => Some(connection),
            Ok(Err(error)) => {
                debug!(%to, %error, "connection failed");
                None
            }
            Err(_) => None,
        }
    }

    /// Makes a connection the one that is used to send to its address, and sends the messages queued
    /// for it.
    pub(crate) fn register(&self, connection: &Connection) {
        let address = connection.remote_address();
        let queued = self.connections().insert_open(address, connection.clone());
        for bytes in queued {
            send_bytes(connection, bytes);
        }
    }

    /// Removes a connection that has ended and adds its bytes to the counters.
    pub(crate) fn unregister(&self, connection: &Connection) {
        let stats = connection.stats();
        self.sent.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.received
            .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
        let address = connection.remote_address();
        self.connections()
            .remove_closed(address, connection.stable_id());
    }
}

/// Returns the host at the other end of a connection according to its certificate.
pub(crate) fn host_of(connection: &Connection) -> Option<HostId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>();
    hosts_named_by(chain.ok()?.first()?).into_iter().next()
}

/// Sends a message as a datagram, or on its own stream if it is too large for one.
fn send_bytes(connection: &Connection, bytes: Bytes) {
    match connection.send_datagram(bytes.clone()) {
        Err(SendDatagramError::TooLarge) => {
            let connection = connection.clone();
            tokio::spawn(async move { send_stream(&connection, &bytes).await });
        }
        Err(error) => debug!(%error, "message could not be sent"),
        Ok(()) => {}
    }
}

async fn send_stream(connection: &Connection, bytes: &[u8]) -> Option<()> {
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(bytes).await.ok()?;
    stream.finish().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
