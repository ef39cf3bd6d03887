//! Tests of the transport on the loopback address.

mod keys;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::{ClaimAnswer, ClaimKey, ClaimQuestion};
use hollywheel_config::{ChangeBatch, ObjectSet, PublishedSet, read_toml};
use hollywheel_membership::{MemberMessage, MemberUpdate};
use hollywheel_transport::{
    ForwardOutcome, HostRequest, HostTransport, TransportError, TransportSettings,
};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ConfigVersion, HostId, RequestId, TokenCount, WallTime,
};
use hollywheel_wire::{ForwardAnswer, ForwardedRequest};
use keys::Authority;
use tokio::sync::mpsc::Receiver;

const MAX_WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

type BoundTransport = (HostTransport, Receiver<HostRequest>);

fn bind(settings: TransportSettings) -> BoundTransport {
    HostTransport::bind(settings).unwrap()
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn nack(sequence: u64) -> MemberMessage {
    let from = host("medeu-1");
    MemberMessage::Nack { sequence, from }
}

fn question() -> ClaimQuestion {
    ClaimQuestion {
        key: ClaimKey {
            workspace: "clerk-desk".parse().unwrap(),
            key: "order-17".parse().unwrap(),
        },
        nonce: AttemptNonce(7),
        digest: BodyDigest(9),
    }
}

/// Waits until a condition holds, for at most 10 s.
async fn wait_for<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait)
        .await
        .expect("the condition must hold in time");
}

/// Sends messages until one arrives; the transport may lose messages, as the membership protocol
/// expects.
async fn deliver_message(
    from: &HostTransport,
    to: SocketAddr,
    receiver: &mut Receiver<HostRequest>,
) {
    let mut sequence = 0;
    let wait = async {
        loop {
            sequence += 1;
            from.send(to, &nack(sequence));
            let next = tokio::time::timeout(POLL_INTERVAL * 5, receiver.recv()).await;
            if matches!(next, Ok(Some(HostRequest::Member { .. }))) {
                return;
            }
        }
    };
    tokio::time::timeout(MAX_WAIT, wait)
        .await
        .expect("a message must arrive in time");
}

#[tokio::test]
async fn messages_arrive_with_the_sender_named_by_its_certificate() {
    let authority = Authority::new();
    let (one, mut one_requests) = bind(authority.settings("medeu-1"));
    let (two, mut two_requests) = bind(authority.settings("alatau-2"));
    one.send(two.local_address(), &nack(1));
    let Some(HostRequest::Member {
        from,
        host,
        message,
    }) = two_requests.recv().await
    else {
        panic!("a message was expected");
    };
    assert_eq!(from, one.local_address());
    assert_eq!(host.as_str(), "medeu-1");
    assert_eq!(message, nack(1));
    two.send(from, &nack(2));
    let back = one_requests.recv().await;
    assert!(matches!(back, Some(HostRequest::Member { host, .. }) if host.as_str() == "alatau-2"));
    assert_eq!(one.traffic().connections, 1);
    assert_eq!(two.traffic().connections, 1);
}

#[tokio::test]
async fn message_too_large_for_a_datagram_is_sent_on_a_stream() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(authority.settings("medeu-1"));
    let (two, mut two_requests) = bind(authority.settings("alatau-2"));
    let news = |server| MemberUpdate::ServerLeaving {
        server: format!("{server:060}").parse().unwrap(),
        incarnation: Default::default(),
    };
    let large = MemberMessage::Gossip {
        from: host("medeu-1"),
        news: (0..50).map(news).collect(),
    };
    one.send(two.local_address(), &large);
    let got = two_requests.recv().await;
    assert!(matches!(got, Some(HostRequest::Member { message, .. }) if message == large));
}

#[tokio::test]
async fn questions_are_answered_or_time_out() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(TransportSettings {
        request_timeout: Duration::from_millis(300),
        ..authority.settings("medeu-1")
    });
    let (two, mut two_requests) = bind(authority.settings("alatau-2"));
    let to = two.local_address();
    let answers = tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Some(request) = two_requests.recv().await {
            match request {
                HostRequest::Claim {
                    question: asked,
                    reply,
                    ..
                } if asked == question() => {
                    reply.send(ClaimAnswer::Running).unwrap();
                }
                HostRequest::Claim { reply, .. } => kept.push(reply),
                HostRequest::Changes { reply, .. } => drop(reply),
                HostRequest::Member { .. } | HostRequest::Forward { .. } => {}
            }
        }
    });
    let asked = one.ask_claim(to, &host("alatau-2"), &question()).await;
    assert_eq!(asked, Some(ClaimAnswer::Running));
    let other = one.ask_claim(to, &host("alatau-3"), &question()).await;
    assert_eq!(other, None, "another host has the address");
    let silent = ClaimQuestion {
        nonce: AttemptNonce(8),
        ..question()
    };
    assert_eq!(one.ask_claim(to, &host("alatau-2"), &silent).await, None);
    assert_eq!(one.fetch_changes(to, ConfigVersion(1)).await, None);
    let unused_address = "127.0.0.1:9".parse().unwrap();
    assert_eq!(
        one.fetch_changes(unused_address, ConfigVersion(1)).await,
        None
    );
    answers.abort();
}

fn forwarded_request(input: &str) -> ForwardedRequest {
    ForwardedRequest {
        request: RequestId(7),
        workspace: "clerks".parse().unwrap(),
        pipeline: "payment".parse().unwrap(),
        input: input.to_owned(),
        key: "issue:alatau-2:1:00".parse().unwrap(),
        timeout: Duration::from_secs(2),
        max_tokens: None,
        received_at: WallTime(0),
    }
}

#[tokio::test]
async fn forwarding_distinguishes_answers_lost_answers_and_unsent_requests() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(authority.settings("medeu-1"));
    let (two, mut two_requests) = bind(authority.settings("alatau-2"));
    let to = two.local_address();
    let answer = ForwardAnswer::Complete {
        output: "paid".to_owned(),
        tokens: TokenCount(0),
        replayed: false,
    };
    let sent = answer.clone();
    let answers = tokio::spawn(async move {
        while let Some(request) = two_requests.recv().await {
            if let HostRequest::Forward { request, reply, .. } = request
                && request.input == "pay"
            {
                reply.send(sent.clone()).unwrap();
            }
        }
    });
    let target = host("alatau-2");
    let paid = one.forward(to, &target, forwarded_request("pay")).await;
    assert_eq!(paid, ForwardOutcome::Answer(answer));
    let lost = one.forward(to, &target, forwarded_request("drop")).await;
    assert_eq!(lost, ForwardOutcome::Lost);
    let other = one
        .forward(to, &host("alatau-3"), forwarded_request("pay"))
        .await;
    assert_eq!(other, ForwardOutcome::NotSent);
    let large = forwarded_request(&"x".repeat(1024 * 1024 + 1));
    let large = one.forward(to, &target, large).await;
    assert_eq!(large, ForwardOutcome::NotSent);
    let unused_address = "127.0.0.1:9".parse().unwrap();
    let unused_address = one
        .forward(unused_address, &target, forwarded_request("pay"))
        .await;
    assert_eq!(unused_address, ForwardOutcome::NotSent);
    answers.abort();
}

fn large_set() -> ObjectSet {
    let mut text = "format = 1\n".to_owned();
    for at in 0..4800 {
        text.push_str(&format!(
            "[[workspace]]\nname = \"workspace-{at}\"\nkey_hashes = [\"{at:064x}\"]\n"
        ));
    }
    read_toml("set", &text).unwrap()
}

#[tokio::test]
async fn configuration_of_4800_workspaces_is_fetched() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(authority.settings("medeu-1"));
    let (two, mut two_requests) = bind(authority.settings("alatau-2"));
    let set = PublishedSet {
        version: ConfigVersion(5),
        set: large_set(),
        ..PublishedSet::default()
    };
    let batch = ChangeBatch {
        snapshot: Some(Arc::new(set)),
        ..ChangeBatch::default()
    };
    let sent = batch.clone();
    tokio::spawn(async move {
        if let Some(HostRequest::Changes { reply, .. }) = two_requests.recv().await {
            reply.send(sent).unwrap();
        }
    });
    let got = one
        .fetch_changes(two.local_address(), ConfigVersion(0))
        .await;
    assert_eq!(got, Some(batch));
}

#[tokio::test]
async fn hosts_with_certificates_of_another_authority_are_rejected() {
    let (ours, foreign) = (Authority::new(), Authority::new());
    let (one, mut one_requests) = bind(ours.settings("medeu-1"));
    let (stranger, mut stranger_requests) = bind(TransportSettings {
        request_timeout: Duration::from_millis(500),
        ..foreign.settings("medeu-1")
    });
    // The stranger trusts our authority, but its certificate is signed by another one.
    let mut identity = foreign.identity("medeu-1");
    identity.authority_pem = ours.pem();
    stranger.replace_identity(&identity).unwrap();
    let to = one.local_address();
    stranger.send(to, &nack(1));
    assert_eq!(stranger.fetch_changes(to, ConfigVersion(0)).await, None);
    assert!(one_requests.try_recv().is_err());
    // Our host does not send to the stranger either.
    one.send(stranger.local_address(), &nack(1));
    assert_eq!(
        one.fetch_changes(stranger.local_address(), ConfigVersion(0))
            .await,
        None
    );
    assert!(stranger_requests.try_recv().is_err());
}

#[tokio::test]
async fn certificates_are_replaced_without_a_restart() {
    let (old, new) = (Authority::new(), Authority::new());
    let (one, _one_requests) = bind(old.settings("medeu-1"));
    let (two, mut two_requests) = bind(old.settings("alatau-2"));
    deliver_message(&one, two.local_address(), &mut two_requests).await;
    // Both hosts first trust both authorities, then switch to the new certificates.
    let both = format!("{}{}", old.pem(), new.pem());
    for (transport, name) in [(&one, "medeu-1"), (&two, "alatau-2")] {
        let mut identity = old.identity(name);
        identity.authority_pem.clone_from(&both);
        transport.replace_identity(&identity).unwrap();
    }
    for (transport, name) in [(&one, "medeu-1"), (&two, "alatau-2")] {
        let mut identity = new.identity(name);
        identity.authority_pem.clone_from(&both);
        transport.replace_identity(&identity).unwrap();
        deliver_message(&one, two.local_address(), &mut two_requests).await;
    }
    for (transport, name) in [(&one, "medeu-1"), (&two, "alatau-2")] {
        transport.replace_identity(&new.identity(name)).unwrap();
    }
    deliver_message(&one, two.local_address(), &mut two_requests).await;
    let mut wrong = new.identity("other");
    assert!(matches!(
        one.replace_identity(&wrong),
        Err(TransportError::WrongName { .. })
    ));
    wrong.key_pem.clear();
    assert!(one.replace_identity(&wrong).is_err());
    deliver_message(&one, two.local_address(), &mut two_requests).await;
}

#[tokio::test]
async fn restarted_host_is_reached_again_before_the_idle_timeout() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(authority.settings("medeu-1"));
    let mut settings = authority.settings("alatau-2");
    let other = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = settings.clone();
    let (two, mut two_requests) = other.spawn(async move { bind(first) }).await.unwrap();
    settings.listen = two.local_address();
    deliver_message(&one, settings.listen, &mut two_requests).await;
    other.shutdown_background();
    let rebound = async {
        loop {
            if let Ok(bound) = HostTransport::bind(settings.clone()) {
                return bound;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    drop(two);
    let (_two, mut two_requests) = tokio::time::timeout(MAX_WAIT, rebound).await.unwrap();
    let start = std::time::Instant::now();
    deliver_message(&one, settings.listen, &mut two_requests).await;
    let took = start.elapsed();
    println!("reached again after {} ms", took.as_millis());
    assert!(took < Duration::from_secs(5), "the idle timeout is 30 s");
}

#[tokio::test]
async fn idle_and_excess_connections_are_closed() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(TransportSettings {
        idle_timeout: Duration::from_millis(300),
        max_connections: 2,
        ..authority.settings("medeu-1")
    });
    let mut others = Vec::new();
    for at in 0..4 {
        let (other, mut receiver) = bind(authority.settings(&format!("alatau-{at}")));
        deliver_message(&one, other.local_address(), &mut receiver).await;
        assert!(one.traffic().connections <= 2);
        others.push((other, receiver));
    }
    wait_for(|| async { one.traffic().connections == 0 }).await;
    assert!(one.traffic().sent > 0);
}

#[tokio::test]
async fn messages_that_find_the_queue_full_are_dropped_and_counted() {
    let authority = Authority::new();
    let (one, _one_requests) = bind(authority.settings("medeu-1"));
    let (two, _two_requests) = bind(TransportSettings {
        queue_capacity: 2,
        ..authority.settings("alatau-2")
    });
    let to = two.local_address();
    wait_for(|| async {
        one.send(to, &nack(1));
        two.traffic().dropped > 0
    })
    .await;
}

#[tokio::test]
async fn bind_errors_name_the_faulty_item() {
    let authority = Authority::new();
    let mut errors = Vec::new();
    let mut collect_error = |change: fn(&mut TransportSettings)| {
        let mut settings = authority.settings("medeu-1");
        change(&mut settings);
        let error = HostTransport::bind(settings).map(|_| ()).unwrap_err();
        errors.push(error.to_string());
    };
    collect_error(|settings| settings.host = "other".parse().unwrap());
    collect_error(|settings| settings.identity.certificate_pem.clear());
    collect_error(|settings| settings.identity.key_pem.clear());
    collect_error(|settings| settings.identity.authority_pem = "no PEM".to_owned());
    insta::assert_snapshot!(errors.join("\n"));
}
