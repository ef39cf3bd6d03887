//! Handling of incoming connections, messages and questions.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use hollywheel_types::{ExecutionVerdict, HostId};
use hollywheel_wire::{
    ForwardAnswer, ForwardedRequest, HostAnswer, HostQuestion, MAX_FORWARD_BYTES, MAX_MEMBER_BYTES,
    decode_member, decode_question, encode_answer,
};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::debug;

use crate::request::HostRequest;
use crate::transport::{TransportCore, host_of};

/// Close code for a peer whose certificate names no host.
const CERTIFICATE_WITHOUT_HOST: VarInt = VarInt::from_u32(2);

/// Retry delay returned for a forwarded request that found the queue full.
const QUEUE_FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Accepts incoming connections until the transport is closed or dropped.
pub(crate) async fn accept_connections(core: Weak<TransportCore>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let Some(core) = core.upgrade() else {
            return;
        };
        tokio::spawn(accept_connection(core, incoming));
    }
}

async fn accept_connection(core: Arc<TransportCore>, incoming: Incoming) {
    let from = incoming.remote_address();
    let handshake = timeout(core.settings.request_timeout, incoming);
    match handshake.await {
        Ok(Ok(connection)) => {
            core.register(&connection);
            serve_connection(core, connection).await;
        }
        Ok(Err(error)) => debug!(%from, %error, "incoming connection rejected"),
        Err(_) => debug!(%from, "handshake of an incoming connection timed out"),
    }
}

/// Serves the messages and questions that arrive on a connection until it ends.
pub(crate) async fn serve_connection(core: Arc<TransportCore>, connection: Connection) {
    let Some(host) = host_of(&connection) else {
        connection.close(CERTIFICATE_WITHOUT_HOST, b"the certificate is for no host");
        core.unregister(&connection);
        return;
    };
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => handle_member_message(&core, &connection, &host, &bytes),
                Err(_) => break,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    let task = read_member_stream(Arc::clone(&core), connection.clone(), host.clone(), stream);
                    tokio::spawn(task);
                }
                Err(_) => break,
            },
            streams = connection.accept_bi() => match streams {
                Ok((send, receive)) => {
                    tokio::spawn(answer_question(Arc::clone(&core), host.clone(), send, receive));
                }
                Err(_) => break,
            },
        }
    }
    core.unregister(&connection);
}

async fn read_member_stream(
    core: Arc<TransportCore>,
    connection: Connection,
    host: HostId,
    mut stream: RecvStream,
) {
    let limit = core.settings.request_timeout;
    match timeout(limit, stream.read_to_end(MAX_MEMBER_BYTES)).await {
        Ok(Ok(bytes)) => handle_member_message(&core, &connection, &host, &bytes),
        _ => count_dropped(&core),
    }
}

fn handle_member_message(
    core: &TransportCore,
    connection: &Connection,
    host: &HostId,
    bytes: &[u8],
) {
    let message = match decode_member(bytes) {
        Ok(message) => message,
        Err(error) => {
            debug!(%host, %error, "malformed membership message dropped");
            count_dropped(core);
            return;
        }
    };
    let request = HostRequest::Member {
        from: connection.remote_address(),
        host: host.clone(),
        message,
    };
    if core.requests.try_send(request).is_err() {
        count_dropped(core);
    }
}

fn count_dropped(core: &TransportCore) {
    core.dropped.fetch_add(1, Ordering::Relaxed);
}

async fn answer_question(
    core: Arc<TransportCore>,
    host: HostId,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let limit = core.settings.request_timeout;
    let question = timeout(limit, read_question(&core, &host, &mut receive)).await;
    let answer = match question.ok().flatten() {
        Some(HostQuestion::Forward(request)) => await_forward_answer(&core, host, request).await,
        Some(question) => {
            let answer = timeout(limit, await_answer(&core, host, question)).await;
            answer.ok().flatten()
        }
        None => None,
    };
    let answer = answer.unwrap_or(HostAnswer::None);
    if send.write_all(&encode_answer(&answer)).await.is_ok() {
        let _ = send.finish();
    }
}

async fn read_question(
    core: &TransportCore,
    host: &HostId,
    receive: &mut RecvStream,
) -> Option<HostQuestion> {
    let bytes = receive.read_to_end(MAX_FORWARD_BYTES).await.ok()?;
    match decode_question(&bytes) {
        Ok(question) => Some(question),
        Err(error) => {
            debug!(%host, %error, "malformed question rejected");
            count_dropped(core);
            None
        }
    }
}

async fn await_answer(
    core: &TransportCore,
    host: HostId,
    question: HostQuestion,
) -> Option<HostAnswer> {
    match question {
        HostQuestion::Claim(question) => {
            let (reply, answer) = oneshot::channel();
            let request = HostRequest::Claim {
                host,
                question,
                reply,
            };
            enqueue_request(core, request)?;
            answer.await.ok().map(HostAnswer::Claim)
        }
        HostQuestion::Changes(have) => {
            let (reply, answer) = oneshot::channel();
            enqueue_request(core, HostRequest::Changes { host, have, reply })?;
            answer.await.ok().map(HostAnswer::Changes)
        }
        HostQuestion::Forward(request) => await_forward_answer(core, host, request).await,
    }
}

/// Passes a forwarded request to the host and waits for the answer for as long as the request may
/// take.
async fn await_forward_answer(
    core: &TransportCore,
    host: HostId,
    request: ForwardedRequest,
) -> Option<HostAnswer> {
    let limit = request.timeout + core.settings.request_timeout;
    let (reply, answer) = oneshot::channel();
    let request = Box::new(request);
    let queued = enqueue_request(
        core,
        HostRequest::Forward {
            host,
            request,
            reply,
        },
    );
    if queued.is_none() {
        return Some(HostAnswer::Forward(ForwardAnswer::Refused {
            verdict: ExecutionVerdict::NotRun,
            reason: "overloaded".to_owned(),
            retry_after: Some(QUEUE_FULL_RETRY_DELAY),
        }));
    }
    let answer = timeout(limit, answer).await.ok()?;
    answer.ok().map(HostAnswer::Forward)
}

fn enqueue_request(core: &TransportCore, request: HostRequest) -> Option<()> {
    let queued = core.requests.try_send(request).ok();
    if queued.is_none() {
        count_dropped(core);
    }
    queued
}
