//! Tests of the outcomes of attempts at backend servers.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollywheel_config::StageKind;
use hollywheel_daemon::HostClock;
use hollywheel_daemon::backend::{BackendCaller, BackendSettings, LoadReportTracker};
use hollywheel_daemon::core::{CoreMessage, core_channel};
use hollywheel_node::{AttemptCall, AttemptEvent, NodeInput};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId, TokenCount, TokenIndex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// Reaction of the listener to a request.
#[derive(Clone, Debug)]
enum Reaction {
    Answer(String),
    AnswerThenCut(String),
    Cut,
}

struct Backend {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut buffer = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part).await {
            Ok(read) if read > 0 => buffer.extend_from_slice(&part[..read]),
            _ => return false,
        }
        // The body of each attempt is a JSON object, which ends with its last brace.
        if buffer.windows(4).any(|w| w == b"\r\n\r\n") && buffer.ends_with(b"}") {
            return true;
        }
    }
}

async fn start_backend(reactions: Vec<Reaction>) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reactions = reactions.clone();
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    let at = count.fetch_add(1, Ordering::SeqCst);
                    let reaction = reactions.get(at).cloned().unwrap_or(Reaction::Cut);
                    match reaction {
                        Reaction::Answer(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                        Reaction::AnswerThenCut(text) => {
                            stream.write_all(text.as_bytes()).await.unwrap();
                            return;
                        }
                        Reaction::Cut => return,
                    }
                }
            });
        }
    });
    Backend { address, received }
}

fn call_to(address: SocketAddr, work: StageKind, deadline: MonoTime) -> AttemptCall {
    AttemptCall {
        nonce: AttemptNonce(7),
        request: RequestId(9),
        workspace: "w".parse().unwrap(),
        class: RequestClass::Transaction,
        server: "service-1".parse().unwrap(),
        address,
        stage: "pay".parse().unwrap(),
        work,
        deadline,
        input: "x".to_owned(),
        previous: String::new(),
        idempotency_key: None,
        model: None,
        max_tokens: TokenCount(4),
        start_index: TokenIndex(0),
        generated: String::new(),
    }
}

struct Caller {
    caller: BackendCaller,
    clock: HostClock,
    core: hollywheel_daemon::core::CoreHandle,
    receiver: mpsc::Receiver<CoreMessage>,
}

impl Caller {
    fn new() -> Self {
        let clock = HostClock::start();
        let (core, receiver) = core_channel();
        let reports = Arc::new(LoadReportTracker::new(clock, support::lone_peers()));
        Self {
            caller: BackendCaller::new(BackendSettings::default(), clock, reports, Arc::default()),
            clock,
            core,
            receiver,
        }
    }

    fn soon(&self) -> MonoTime {
        self.clock.now() + Duration::from_secs(5)
    }

    /// Executes an attempt and returns its events in order.
    async fn run(&mut self, call: AttemptCall) -> Vec<AttemptEvent> {
        let run = self.caller.run_attempt(call, &self.core);
        tokio::time::timeout(Duration::from_secs(10), run)
            .await
            .unwrap();
        let mut events = Vec::new();
        while let Ok(message) = self.receiver.try_recv() {
            if let CoreMessage::Input(NodeInput::Attempt { event, .. }) = message {
                events.push(event);
            }
        }
        events
    }
}

fn answer(status: &str, extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

const ECHO: &str = r#""request":"00000000000000000000000000000009","attempt":"00000000000000000000000000000007","stage":"pay""#;
const NOT_RUN: &str = "hollywheel-not-run: true\r\n";

#[tokio::test]
async fn each_answer_is_told_apart() {
    let whole = format!(r#"{{{ECHO},"output":"done"}}"#);
    let refusal = format!(r#"{{{ECHO},"reason":"full","retry_after_ms":250}}"#);
    let crossed = refusal.replace("07\"", "08\"");
    let cases = [
        ("whole", answer("200 OK", "", &whole)),
        (
            "torn",
            answer("200 OK", "", &whole).replace("done\"}", "do"),
        ),
        ("not JSON", answer("200 OK", "", "done")),
        ("refused", answer("503 Busy", NOT_RUN, &refusal)),
        ("refused with 429", answer("429 Busy", NOT_RUN, &refusal)),
        (
            "refused without the header",
            answer("503 Busy", "", &refusal),
        ),
        (
            "refused for another attempt",
            answer("503 Busy", NOT_RUN, &crossed),
        ),
        ("refused without a body", answer("503 Busy", NOT_RUN, "")),
        (
            "failed with the header",
            answer("500 Oops", NOT_RUN, &refusal),
        ),
    ];
    let mut lines = Vec::new();
    for (name, text) in cases {
        let backend = start_backend(vec![Reaction::AnswerThenCut(text)]).await;
        let mut caller = Caller::new();
        let call = call_to(backend.address, StageKind::Call, caller.soon());
        lines.push(format!("{name}: {:?}", caller.run(call).await));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_stream_is_whole_only_with_its_end() {
    let token = r#"{"attempt":"7","index":0,"text":"a "}"#;
    let end = format!(r#"{{{ECHO},"end":true,"tokens":1}}"#);
    let cases = [
        ("whole", format!("{token}\n{end}\n")),
        ("no end", format!("{token}\n")),
        (
            "end without echo",
            format!("{token}\n{{\"attempt\":\"7\",\"end\":true}}\n"),
        ),
        ("not JSON", format!("{token}\nxyz\n")),
        ("last line torn", format!("{token}\n{end}")),
    ];
    let mut lines = Vec::new();
    for (name, text) in cases {
        let text = answer("200 OK", "", &text);
        let backend = start_backend(vec![Reaction::AnswerThenCut(text)]).await;
        let mut caller = Caller::new();
        let call = call_to(backend.address, StageKind::Generate, caller.soon());
        lines.push(format!("{name}: {:?}", caller.run(call).await));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_reused_connection_that_dies_is_not_resent() {
    let whole = answer("200 OK", "", &format!(r#"{{{ECHO},"output":"done"}}"#));
    let backend = start_backend(vec![Reaction::Answer(whole), Reaction::Cut]).await;
    let mut caller = Caller::new();
    let call = call_to(backend.address, StageKind::Call, caller.soon());
    let first = caller.run(call.clone()).await;
    assert!(matches!(first[..], [AttemptEvent::Answer { .. }]));
    let second = caller.run(call).await;
    assert_eq!(second, [AttemptEvent::Broken]);
    assert_eq!(backend.received.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn nothing_is_sent_after_the_deadline_or_without_a_connection() {
    let backend = start_backend(Vec::new()).await;
    let mut caller = Caller::new();
    let late = call_to(backend.address, StageKind::Call, caller.clock.now());
    assert_eq!(caller.run(late).await, [AttemptEvent::NotSent]);
    assert_eq!(backend.received.load(Ordering::SeqCst), 0);
    // A socket that does not listen refuses connections and keeps its port from other tests.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = closed.local_addr().unwrap();
    assert!(TcpListener::bind(address).await.is_err());
    let call = call_to(address, StageKind::Call, caller.soon());
    assert_eq!(caller.run(call).await, [AttemptEvent::NotSent]);
}
