//! Descriptions of attempts for the policy engine and for backend servers.

use std::net::SocketAddr;

use hollywheel_policy::{AttemptKind, SentAttempt};
use hollywheel_types::{AttemptNonce, ServerId};

use crate::output::AttemptCall;
use crate::run::RequestRun;

pub(crate) fn sent_attempt(
    run: &RequestRun,
    nonce: AttemptNonce,
    server: &ServerId,
    kind: AttemptKind,
) -> SentAttempt {
    SentAttempt {
        nonce,
        request: run.request.request,
        server: server.clone(),
        pool: run.stage().pool.clone(),
        stage: run.stage().name.clone(),
        workspace: run.request.workspace.clone(),
        class: run.class,
        kind,
    }
}

pub(crate) fn attempt_call(
    run: &RequestRun,
    nonce: AttemptNonce,
    server: ServerId,
    address: SocketAddr,
) -> AttemptCall {
    let stage = run.stage();
    let key = run.request.idempotency_key.clone();
    AttemptCall {
        nonce,
        request: run.request.request,
        workspace: run.request.workspace.clone(),
        class: run.class,
        server,
        address,
        stage: stage.name.clone(),
        work: stage.kind,
        deadline: run.deadline,
        input: run.request.input.clone(),
        previous: run.previous_output.clone(),
        idempotency_key: key.filter(|_| !stage.idempotent),
        model: stage.model.clone(),
        max_tokens: run.max_tokens(),
        start_index: run.progress.next_index,
        generated: run.progress.generated.clone(),
    }
}
