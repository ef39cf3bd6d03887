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
use crate::identity::{LoadedIdentity, names_of};
use crate::incoming::{accept_callers, serve_connection};
use crate::quic::{client_config, endpoint_config, server_config};
use crate::request::{ForwardOutcome, HostRequest};
use crate::settings::{TransportIdentity, TransportSettings};

/// The name that calls state; hosts are told apart by their certificates instead.
const ANY_HOST: &str = "host.hollywheel.internal";

/// The longest time in which a shutdown tells other hosts.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts what the transport did since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficCount {
    /// The UDP payload bytes sent on connections that have ended.
    pub sent: u64,
    /// The UDP payload bytes received on connections that have ended.
    pub received: u64,
    /// The messages and questions dropped since a queue was full or they could not be read.
    pub dropped: u64,
    /// The connections that are open or being made.
    pub connections: usize,
}

/// Holds what the clones and tasks of a transport share.
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

/// Sends to other hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct HostTransport {
    core: Arc<TransportCore>,
}

impl HostTransport {
    /// Binds the address and starts to accept connections. Must run within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be used or the address can't be bound.
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
        let (requests, receiver) = mpsc::channel(settings.queue.max(1));
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
        tokio::spawn(accept_callers(Arc::downgrade(&core), core.endpoint.clone()));
        Ok((Self { core }, receiver))
    }

    /// Returns the address that is bound.
    pub fn local_address(&self) -> SocketAddr {
        let bound = self.core.endpoint.local_addr();
        bound.unwrap_or(self.core.settings.listen)
    }

    /// Returns what the transport did so far.
    pub fn traffic(&self) -> TrafficCount {
        TrafficCount {
            sent: self.core.sent.load(Ordering::Relaxed),
            received: self.core.received.load(Ordering::Relaxed),
            dropped: self.core.dropped.load(Ordering::Relaxed),
            connections: self.core.connections().len(),
        }
    }

    /// Sends a membership message without waiting; it is lost if the host is not reached. Must
    /// run within a runtime.
    pub fn send(&self, to: SocketAddr, message: &MemberMessage) {
        let bytes = Bytes::from(encode_member(message));
        let plan = self.core.connections().plan(to, &bytes);
        match plan {
            SendPlan::Wait => {}
            SendPlan::Send(connection) => send_bytes(&connection, bytes),
            SendPlan::Connect => {
                let core = Arc::clone(&self.core);
                tokio::spawn(async move { core.connect(to).await });
            }
        }
    }

    /// Asks a host about a claim; none if that host does not answer in time, also if another one
    /// has its address now.
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

    /// Fetches the changes that follow a version; none if the host does not answer in time.
    pub async fn fetch_changes(&self, to: SocketAddr, have: ConfigVersion) -> Option<ChangeBatch> {
        let question = HostQuestion::Changes(have);
        match self.ask(to, None, &question).await? {
            HostAnswer::Changes(batch) => Some(batch),
            _ => None,
        }
    }

    /// Hands a request to the host that issued its key and waits for the answer for as long as
    /// the request may take. A request with an input of more than 1 MiB is not sent.
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
        // From here on bytes may have left.
        let answer = timeout(limit, self.ask_on(&connection, to, &question)).await;
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
        let answer = timeout(limit, self.ask_now(to, host, question)).await;
        answer.ok().flatten()
    }

    async fn ask_now(
        &self,
        to: SocketAddr,
        host: Option<&HostId>,
        question: &HostQuestion,
    ) -> Option<HostAnswer> {
        let connection = self.connection(to, host).await?;
        self.ask_on(&connection, to, question).await
    }

    async fn connection(&self, to: SocketAddr, host: Option<&HostId>) -> Option<Connection> {
        let known = self.core.connections().get(to);
        let connection = match known {
            Some(connection) => connection,
            None => self.core.connect(to).await?,
        };
        let right = host.is_none() || host_of(&connection).as_ref() == host;
        right.then_some(connection)
    }

    async fn ask_on(
        &self,
        connection: &Connection,
        to: SocketAddr,
        question: &HostQuestion,
    ) -> Option<HostAnswer> {
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        send.write_all(&encode_question(question)).await.ok()?;
        send.finish().ok()?;
        let most = usize::try_from(self.core.settings.max_answer.0).unwrap_or(usize::MAX);
        let bytes = receive.read_to_end(most).await.ok()?;
        match decode_answer(&bytes, most) {
            Ok(answer) => Some(answer),
            Err(error) => {
                debug!(%to, %error, "answer refused");
                None
            }
        }
    }

    /// Replaces the keys. Connections that exist go on until they are idle; new messages and
    /// questions of this host take new connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be used; the old ones stay.
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

    /// Closes every connection and waits until the hosts have been told, within a bound.
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

    /// Connects to a host and serves the connection.
    async fn connect(self: &Arc<Self>, to: SocketAddr) -> Option<Connection> {
        let connection = self.handshake(to).await;
        let Some(connection) = connection else {
            self.connections().fail(to);
            return None;
        };
        self.adopt(&connection);
        tokio::spawn(serve_connection(Arc::clone(self), connection.clone()));
        Some(connection)
    }

    async fn handshake(&self, to: SocketAddr) -> Option<Connection> {
        let config = lock(&self.client).clone();
        let connecting = self.endpoint.connect_with(config, to, ANY_HOST).ok()?;
        match timeout(self.settings.request_timeout, connecting).await {
            Ok(Ok(connection)) => Some(connection),
            Ok(Err(error)) => {
                debug!(%to, %error, "connection failed");
                None
            }
            Err(_) => None,
        }
    }

    /// Uses a connection for what goes to its host from now on.
    pub(crate) fn adopt(&self, connection: &Connection) {
        let address = connection.remote_address();
        let waiting = self.connections().open(address, connection.clone());
        for bytes in waiting {
            send_bytes(connection, bytes);
        }
    }

    /// Forgets a connection that has ended and counts its bytes.
    pub(crate) fn forget(&self, connection: &Connection) {
        let stats = connection.stats();
        self.sent.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.received
            .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
        let address = connection.remote_address();
        self.connections().closed(address, connection.stable_id());
    }
}

/// Returns the host of a connection, by its certificate.
pub(crate) fn host_of(connection: &Connection) -> Option<HostId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>();
    names_of(chain.ok()?.first()?).into_iter().next()
}

/// Sends a message as a datagram, or on a stream of its own if it is too large.
fn send_bytes(connection: &Connection, bytes: Bytes) {
    match connection.send_datagram(bytes.clone()) {
        Err(SendDatagramError::TooLarge) => {
            let connection = connection.clone();
            tokio::spawn(async move { send_stream(&connection, &bytes).await });
        }
        Err(error) => debug!(%error, "message lost"),
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
