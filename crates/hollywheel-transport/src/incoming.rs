//! What other hosts send.

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

/// Tells a caller that its certificate is for no host.
const NO_HOST: VarInt = VarInt::from_u32(2);

/// When a request that found the queue full should be handed over again.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Accepts callers until the transport is closed or dropped.
pub(crate) async fn accept_callers(core: Weak<TransportCore>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let Some(core) = core.upgrade() else {
            return;
        };
        tokio::spawn(accept_caller(core, incoming));
    }
}

async fn accept_caller(core: Arc<TransportCore>, incoming: Incoming) {
    let from = incoming.remote_address();
    let handshake = timeout(core.settings.request_timeout, incoming);
    match handshake.await {
        Ok(Ok(connection)) => {
            core.adopt(&connection);
            serve_connection(core, connection).await;
        }
        Ok(Err(error)) => debug!(%from, %error, "caller refused"),
        Err(_) => debug!(%from, "caller too slow"),
    }
}

/// Takes messages and questions from a connection until it ends.
pub(crate) async fn serve_connection(core: Arc<TransportCore>, connection: Connection) {
    let Some(host) = host_of(&connection) else {
        connection.close(NO_HOST, b"the certificate is for no host");
        core.forget(&connection);
        return;
    };
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => take_member(&core, &connection, &host, &bytes),
                Err(_) => break,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    let task = read_member(Arc::clone(&core), connection.clone(), host.clone(), stream);
                    tokio::spawn(task);
                }
                Err(_) => break,
            },
            streams = connection.accept_bi() => match streams {
                Ok((send, receive)) => {
                    tokio::spawn(answer(Arc::clone(&core), host.clone(), send, receive));
                }
                Err(_) => break,
            },
        }
    }
    core.forget(&connection);
}

async fn read_member(
    core: Arc<TransportCore>,
    connection: Connection,
    host: HostId,
    mut stream: RecvStream,
) {
    let limit = core.settings.request_timeout;
    match timeout(limit, stream.read_to_end(MAX_MEMBER_BYTES)).await {
        Ok(Ok(bytes)) => take_member(&core, &connection, &host, &bytes),
        _ => drop_one(&core),
    }
}

fn take_member(core: &TransportCore, connection: &Connection, host: &HostId, bytes: &[u8]) {
    let message = match decode_member(bytes) {
        Ok(message) => message,
        Err(error) => {
            debug!(%host, %error, "message refused");
            drop_one(core);
            return;
        }
    };
    let request = HostRequest::Member {
        from: connection.remote_address(),
        host: host.clone(),
        message,
    };
    if core.requests.try_send(request).is_err() {
        drop_one(core);
    }
}

fn drop_one(core: &TransportCore) {
    core.dropped.fetch_add(1, Ordering::Relaxed);
}

async fn answer(
    core: Arc<TransportCore>,
    host: HostId,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let limit = core.settings.request_timeout;
    let question = timeout(limit, read_question(&core, &host, &mut receive)).await;
    let answer = match question.ok().flatten() {
        Some(HostQuestion::Forward(request)) => run_forward(&core, host, request).await,
        Some(question) => {
            let answer = timeout(limit, find_answer(&core, host, question)).await;
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
            debug!(%host, %error, "question refused");
            drop_one(core);
            None
        }
    }
}

async fn find_answer(
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
            hand_over(core, request)?;
            answer.await.ok().map(HostAnswer::Claim)
        }
        HostQuestion::Changes(have) => {
            let (reply, answer) = oneshot::channel();
            hand_over(core, HostRequest::Changes { host, have, reply })?;
            answer.await.ok().map(HostAnswer::Changes)
        }
        HostQuestion::Forward(request) => run_forward(core, host, request).await,
    }
}

/// Lets the host run a request that it was handed, for as long as the request may take.
async fn run_forward(
    core: &TransportCore,
    host: HostId,
    request: ForwardedRequest,
) -> Option<HostAnswer> {
    let limit = request.timeout + core.settings.request_timeout;
    let (reply, answer) = oneshot::channel();
    let request = Box::new(request);
    let taken = hand_over(
        core,
        HostRequest::Forward {
            host,
            request,
            reply,
        },
    );
    if taken.is_none() {
        return Some(HostAnswer::Forward(ForwardAnswer::Refused {
            verdict: ExecutionVerdict::NotRun,
            reason: "overloaded".to_owned(),
            retry_after: Some(FULL_RETRY),
        }));
    }
    let answer = timeout(limit, answer).await.ok()?;
    answer.ok().map(HostAnswer::Forward)
}

fn hand_over(core: &TransportCore, request: HostRequest) -> Option<()> {
    let taken = core.requests.try_send(request).ok();
    if taken.is_none() {
        drop_one(core);
    }
    taken
}
