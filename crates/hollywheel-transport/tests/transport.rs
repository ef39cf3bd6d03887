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

const LONG: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(10);

type Bound = (HostTransport, Receiver<HostRequest>);

fn bind(settings: TransportSettings) -> Bound {
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

/// Waits for a condition within a bound.
async fn wait_for<F: Future<Output = bool>>(mut test: impl FnMut() -> F) {
    let wait = async {
        while !test().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(LONG, wait)
        .await
        .expect("the condition holds in time");
}

/// Sends until a message arrives, as the membership machine does.
async fn delivers(from: &HostTransport, to: SocketAddr, receiver: &mut Receiver<HostRequest>) {
    let mut sequence = 0;
    let wait = async {
        loop {
            sequence += 1;
            from.send(to, &nack(sequence));
            let next = tokio::time::timeout(PAUSE * 5, receiver.recv()).await;
            if matches!(next, Ok(Some(HostRequest::Member { .. }))) {
                return;
            }
        }
    };
    tokio::time::timeout(LONG, wait)
        .await
        .expect("a message arrives in time");
}

#[tokio::test]
async fn messages_arrive_with_the_host_of_the_certificate() {
    let authority = Authority::new();
    let (one, mut at_one) = bind(authority.settings("medeu-1"));
    let (two, mut at_two) = bind(authority.settings("alatau-2"));
    one.send(two.local_address(), &nack(1));
    let Some(HostRequest::Member {
        from,
        host,
        message,
    }) = at_two.recv().await
    else {
        panic!("a message was expected");
    };
    assert_eq!(from, one.local_address());
    assert_eq!(host.as_str(), "medeu-1");
    assert_eq!(message, nack(1));
    two.send(from, &nack(2));
    let back = at_one.recv().await;
    assert!(matches!(back, Some(HostRequest::Member { host, .. }) if host.as_str() == "alatau-2"));
    assert_eq!(one.traffic().connections, 1);
    assert_eq!(two.traffic().connections, 1);
}

#[tokio::test]
async fn message_too_large_for_a_datagram_takes_a_stream() {
    let authority = Authority::new();
    let (one, _at_one) = bind(authority.settings("medeu-1"));
    let (two, mut at_two) = bind(authority.settings("alatau-2"));
    let news = |server| MemberUpdate::ServerLeaving {
        server: format!("{server:060}").parse().unwrap(),
        incarnation: Default::default(),
    };
    let large = MemberMessage::Gossip {
        from: host("medeu-1"),
        news: (0..50).map(news).collect(),
    };
    one.send(two.local_address(), &large);
    let got = at_two.recv().await;
    assert!(matches!(got, Some(HostRequest::Member { message, .. }) if message == large));
}

#[tokio::test]
async fn questions_are_answered_or_end_in_time() {
    let authority = Authority::new();
    let (one, _at_one) = bind(TransportSettings {
        request_timeout: Duration::from_millis(300),
        ..authority.settings("medeu-1")
    });
    let (two, mut at_two) = bind(authority.settings("alatau-2"));
    let to = two.local_address();
    let answers = tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Some(request) = at_two.recv().await {
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
    let nobody = "127.0.0.1:9".parse().unwrap();
    assert_eq!(one.fetch_changes(nobody, ConfigVersion(1)).await, None);
    answers.abort();
}

fn handed_over(input: &str) -> ForwardedRequest {
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
async fn requests_are_handed_over_and_a_lost_answer_is_told_apart() {
    let authority = Authority::new();
    let (one, _at_one) = bind(authority.settings("medeu-1"));
    let (two, mut at_two) = bind(authority.settings("alatau-2"));
    let to = two.local_address();
    let answer = ForwardAnswer::Complete {
        output: "paid".to_owned(),
        tokens: TokenCount(0),
        replayed: false,
    };
    let sent = answer.clone();
    let answers = tokio::spawn(async move {
        while let Some(request) = at_two.recv().await {
            if let HostRequest::Forward { request, reply, .. } = request
                && request.input == "pay"
            {
                reply.send(sent.clone()).unwrap();
            }
        }
    });
    let target = host("alatau-2");
    let paid = one.forward(to, &target, handed_over("pay")).await;
    assert_eq!(paid, ForwardOutcome::Answer(answer));
    let lost = one.forward(to, &target, handed_over("drop")).await;
    assert_eq!(lost, ForwardOutcome::Lost);
    let other = one.forward(to, &host("alatau-3"), handed_over("pay")).await;
    assert_eq!(other, ForwardOutcome::NotSent);
    let large = handed_over(&"x".repeat(1024 * 1024 + 1));
    let large = one.forward(to, &target, large).await;
    assert_eq!(large, ForwardOutcome::NotSent);
    let nobody = "127.0.0.1:9".parse().unwrap();
    let nobody = one.forward(nobody, &target, handed_over("pay")).await;
    assert_eq!(nobody, ForwardOutcome::NotSent);
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
async fn whole_set_of_4800_workspaces_is_fetched() {
    let authority = Authority::new();
    let (one, _at_one) = bind(authority.settings("medeu-1"));
    let (two, mut at_two) = bind(authority.settings("alatau-2"));
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
        if let Some(HostRequest::Changes { reply, .. }) = at_two.recv().await {
            reply.send(sent).unwrap();
        }
    });
    let got = one
        .fetch_changes(two.local_address(), ConfigVersion(0))
        .await;
    assert_eq!(got, Some(batch));
}

#[tokio::test]
async fn hosts_of_another_authority_are_refused() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    let (one, mut at_one) = bind(ours.settings("medeu-1"));
    let (stranger, mut at_stranger) = bind(TransportSettings {
        request_timeout: Duration::from_millis(500),
        ..theirs.settings("medeu-1")
    });
    // The stranger accepts our authority, yet holds a certificate of another.
    let mut identity = theirs.identity("medeu-1");
    identity.authority_pem = ours.pem();
    stranger.replace_identity(&identity).unwrap();
    let to = one.local_address();
    stranger.send(to, &nack(1));
    assert_eq!(stranger.fetch_changes(to, ConfigVersion(0)).await, None);
    assert!(at_one.try_recv().is_err());
    // Nor does ours talk to it.
    one.send(stranger.local_address(), &nack(1));
    assert_eq!(
        one.fetch_changes(stranger.local_address(), ConfigVersion(0))
            .await,
        None
    );
    assert!(at_stranger.try_recv().is_err());
}

#[tokio::test]
async fn keys_are_replaced_without_a_restart() {
    let (old, new) = (Authority::new(), Authority::new());
    let (one, _at_one) = bind(old.settings("medeu-1"));
    let (two, mut at_two) = bind(old.settings("alatau-2"));
    delivers(&one, two.local_address(), &mut at_two).await;
    // First both accept both authorities, then they take the new certificates.
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
        delivers(&one, two.local_address(), &mut at_two).await;
    }
    for (transport, name) in [(&one, "medeu-1"), (&two, "alatau-2")] {
        transport.replace_identity(&new.identity(name)).unwrap();
    }
    delivers(&one, two.local_address(), &mut at_two).await;
    let mut wrong = new.identity("other");
    assert!(matches!(
        one.replace_identity(&wrong),
        Err(TransportError::WrongName { .. })
    ));
    wrong.key_pem.clear();
    assert!(one.replace_identity(&wrong).is_err());
    delivers(&one, two.local_address(), &mut at_two).await;
}

#[tokio::test]
async fn host_that_crashed_is_reached_again_at_once() {
    let authority = Authority::new();
    let (one, _at_one) = bind(authority.settings("medeu-1"));
    let mut settings = authority.settings("alatau-2");
    let other = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = settings.clone();
    let (two, mut at_two) = other.spawn(async move { bind(first) }).await.unwrap();
    settings.listen = two.local_address();
    delivers(&one, settings.listen, &mut at_two).await;
    other.shutdown_background();
    let rebound = async {
        loop {
            if let Ok(bound) = HostTransport::bind(settings.clone()) {
                return bound;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    drop(two);
    let (_two, mut at_two) = tokio::time::timeout(LONG, rebound).await.unwrap();
    let start = std::time::Instant::now();
    delivers(&one, settings.listen, &mut at_two).await;
    let took = start.elapsed();
    println!("reached again after {} ms", took.as_millis());
    assert!(took < Duration::from_secs(5), "the idle timeout is 30 s");
}

#[tokio::test]
async fn idle_and_surplus_connections_are_closed() {
    let authority = Authority::new();
    let (one, _at_one) = bind(TransportSettings {
        idle_timeout: Duration::from_millis(300),
        max_connections: 2,
        ..authority.settings("medeu-1")
    });
    let mut others = Vec::new();
    for at in 0..4 {
        let (other, mut receiver) = bind(authority.settings(&format!("alatau-{at}")));
        delivers(&one, other.local_address(), &mut receiver).await;
        assert!(one.traffic().connections <= 2);
        others.push((other, receiver));
    }
    wait_for(|| async { one.traffic().connections == 0 }).await;
    assert!(one.traffic().sent > 0);
}

#[tokio::test]
async fn full_queue_drops_and_counts() {
    let authority = Authority::new();
    let (one, _at_one) = bind(authority.settings("medeu-1"));
    let (two, _at_two) = bind(TransportSettings {
        queue: 2,
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
async fn errors_say_what_to_do() {
    let authority = Authority::new();
    let mut errors = Vec::new();
    let mut refuse = |change: fn(&mut TransportSettings)| {
        let mut settings = authority.settings("medeu-1");
        change(&mut settings);
        let error = HostTransport::bind(settings).map(|_| ()).unwrap_err();
        errors.push(error.to_string());
    };
    refuse(|settings| settings.host = "other".parse().unwrap());
    refuse(|settings| settings.identity.certificate_pem.clear());
    refuse(|settings| settings.identity.key_pem.clear());
    refuse(|settings| settings.identity.authority_pem = "no PEM".to_owned());
    insta::assert_snapshot!(errors.join("\n"));
}
