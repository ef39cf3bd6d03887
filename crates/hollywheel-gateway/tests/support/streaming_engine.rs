//! Stand-ins for model engines that stream events and crash as processes do: all their connections end,
//! nothing listens for a while, and they come back as another incarnation.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::support::RawRequest;
use crate::support::raw::read_request;
use crate::support::store::StoreStandin;

/// Time until a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// Time until an engine answers.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(30);

/// Where an engine crashes in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPoint {
    /// Before it has sent anything.
    BeforeAnswer,
    /// After so many events of this run, all of them included.
    AfterEvents(u64),
    /// A time after the first event.
    AfterTime(Duration),
}

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFraming {
    Chunks,
    Connection,
}

/// Describes the answers of engines.
#[derive(Clone, Copy)]
pub struct EnginePlan {
    /// The number of events of an answer.
    pub events: u64,
    /// The time between two events.
    pub interval: Duration,
    pub framing: AnswerFraming,
    /// Returns whether a request crashes the engine.
    pub is_crashing: fn(&RawRequest) -> bool,
    /// Where such a request crashes the engine.
    pub crash_point: CrashPoint,
}

/// Times of crashes, and of arrivals of requests that crash engines.
#[derive(Default)]
pub struct CrashReport {
    pub crashes: Mutex<Vec<Instant>>,
    pub arrivals: Mutex<Vec<Instant>>,
    /// Number of other answers that crashes have ended.
    pub cut_answers: Mutex<usize>,
}

/// Writes the entry of an engine, which takes more requests at once than other stand-ins.
fn register(store: &StoreStandin, name: &str, address: SocketAddr, born: u64) {
    let entry = format!(
        r#"{{"service":"model","address":"{address}","zone":"a","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
    );
    store.set_odd_server(name, entry.as_bytes());
}

/// Starts an engine that registers itself in the pool `model`.
pub async fn start_engine(
    number: usize,
    plan: EnginePlan,
    store: Arc<StoreStandin>,
    report: Arc<CrashReport>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    register(&store, &format!("m{number}-0"), address, 1);
    tokio::spawn(async move {
        let mut listener = Some(listener);
        for start in 1_u64.. {
            let bound = match listener.take() {
                Some(listener) => listener,
                None => bind_again(address).await,
            };
            serve_until_crash(bound, plan, &report).await;
            sleep(DOWN_TIME).await;
            store.remove_server(&format!("m{number}-{}", start - 1));
            register(&store, &format!("m{number}-{start}"), address, start + 1);
        }
    });
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Accepts connections until a request crashes the engine, which ends all of them.
async fn serve_until_crash(listener: TcpListener, plan: EnginePlan, report: &Arc<CrashReport>) {
    let (crash, mut crashed) = watch::channel(false);
    let crash = Arc::new(crash);
    loop {
        let stream = tokio::select! {
            _ = crashed.changed() => return,
            accepted = listener.accept() => accepted.unwrap().0,
        };
        let (crash, mut ended, report) = (Arc::clone(&crash), crashed.clone(), Arc::clone(report));
        tokio::spawn(async move {
            let is_answering = Mutex::new(false);
            let serving = serve_connection(stream, plan, &crash, &report, &is_answering);
            tokio::select! {
                biased;
                _ = ended.changed() => {
                    *report.cut_answers.lock().unwrap() += usize::from(*is_answering.lock().unwrap());
                }
                _ = serving => {}
            }
        });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    plan: EnginePlan,
    crash: &watch::Sender<bool>,
    report: &CrashReport,
    is_answering: &Mutex<bool>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut index = 0;
    while let Some(request) = read_request(&mut stream, index).await {
        index += 1;
        let crash_point = (plan.is_crashing)(&request).then_some(plan.crash_point);
        if crash_point.is_some() {
            report.arrivals.lock().unwrap().push(Instant::now());
        }
        *is_answering.lock().unwrap() = true;
        let crashes = send_answer(&mut stream, &request, plan, crash_point).await?;
        *is_answering.lock().unwrap() = false;
        if crashes {
            report.crashes.lock().unwrap().push(Instant::now());
            crash.send_replace(true);
            return None;
        }
        if plan.framing == AnswerFraming::Connection {
            return None;
        }
    }
    None
}

/// Sends the events that a request lacks; returns whether the engine crashes instead of ending the answer.
async fn send_answer(
    stream: &mut TcpStream,
    request: &RawRequest,
    plan: EnginePlan,
    crash_point: Option<CrashPoint>,
) -> Option<bool> {
    sleep(FIRST_EVENT_TIME).await;
    if crash_point == Some(CrashPoint::BeforeAnswer) {
        return Some(true);
    }
    let attempt = request.header("attempt-id");
    let framing = match plan.framing {
        AnswerFraming::Chunks => "transfer-encoding: chunked\r\n",
        AnswerFraming::Connection => "",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let begun = Instant::now();
    let received: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for event in received + 1..=plan.events {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        let bytes = match plan.framing {
            AnswerFraming::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            AnswerFraming::Connection => text,
        };
        stream.write_all(bytes.as_bytes()).await.ok()?;
        let is_due = match crash_point {
            Some(CrashPoint::AfterEvents(count)) => event - received == count,
            Some(CrashPoint::AfterTime(time)) => begun.elapsed() + plan.interval > time,
            Some(CrashPoint::BeforeAnswer) | None => false,
        };
        if is_due {
            sleep(Duration::from_millis(10)).await;
            return Some(true);
        }
        sleep(plan.interval).await;
    }
    if crash_point.is_some() {
        return Some(true);
    }
    if plan.framing == AnswerFraming::Chunks {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    Some(false)
}
