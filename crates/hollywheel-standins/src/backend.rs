//! State and calls that all backend servers share.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use hyper::body::Incoming;
use hyper::{Method, Request};
use tokio_util::sync::CancellationToken;

use crate::attempt::AttemptTable;
use crate::fault::{FaultOrder, FaultSwitch};
use crate::ledger::{Ledger, LedgerEntry, LedgerEvent, wall_micros};
use crate::load::{LoadHistory, LoadReport};
use crate::message::{CancelCall, RunAnswer, RunCall, RunRefusal, StateReply};
use crate::reply::{
    CutConnection, Reply, ReplyResult, json_reply, not_run_reply, read_json, text_reply,
};

/// Holds the state that is independent of the kind of work.
#[derive(Debug)]
pub(crate) struct BackendCore {
    pub(crate) name: String,
    pub(crate) ledger: Ledger,
    pub(crate) faults: FaultSwitch,
    pub(crate) attempts: AttemptTable,
    pub(crate) stop: CancellationToken,
    history: LoadHistory,
    load_lag: Duration,
    incarnation: AtomicU64,
    leaving: AtomicBool,
    answered: Mutex<Option<RunAnswer>>,
}

impl BackendCore {
    pub(crate) fn new(name: String, load_lag: Duration) -> Self {
        Self {
            name,
            ledger: Ledger::default(),
            faults: FaultSwitch::new(),
            attempts: AttemptTable::default(),
            stop: CancellationToken::new(),
            history: LoadHistory::default(),
            load_lag,
            incarnation: AtomicU64::new(wall_micros()),
            leaving: AtomicBool::new(false),
            answered: Mutex::new(None),
        }
    }

    pub(crate) fn set_faults(&self, order: FaultOrder) {
        if order.leaving {
            self.leaving.store(true, Ordering::SeqCst);
        }
        self.faults.set(order);
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns a report without load; the server fills in its load.
    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            server: self.name.clone(),
            incarnation: self.incarnation.load(Ordering::SeqCst),
            leaving: self.leaving(),
            ..LoadReport::default()
        }
    }

    pub(crate) fn sample(&self, report: LoadReport) {
        self.history.push(Instant::now(), report);
    }

    /// Returns the lag of load reports.
    pub(crate) fn lag(&self) -> Duration {
        match self.faults.get().lag_ms {
            Some(lag) => Duration::from_millis(lag),
            None => self.load_lag,
        }
    }

    pub(crate) fn record(&self, event: LedgerEvent, call: &RunCall) {
        self.ledger.record(LedgerEntry {
            request: call.request.clone(),
            attempt: call.attempt.clone(),
            stage: call.stage.clone(),
            work: call.work.clone(),
            workspace: call.workspace.clone(),
            idempotency_key: call.idempotency_key.clone().unwrap_or_default(),
            ..LedgerEntry::new(event)
        });
    }

    /// Applies the faults that take effect before a call is processed.
    pub(crate) async fn before_call(&self) -> Result<(), CutConnection> {
        self.faults.wait_unfrozen().await;
        if self.faults.take(|order| &mut order.cut_before) {
            return Err(CutConnection);
        }
        Ok(())
    }

    /// Returns the reason to refuse a call, apart from a full queue.
    pub(crate) fn refusal_reason(&self) -> Option<&'static str> {
        if self.leaving() {
            return Some("leaving");
        }
        self.faults.get().refuse.then_some("refused")
    }

    pub(crate) fn refuse(&self, call: &RunCall, reason: &'static str, load: LoadReport) -> Reply {
        self.record(LedgerEvent::Refused, call);
        let status = match reason {
            "leaving" | "model-not-loaded" => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::TOO_MANY_REQUESTS,
        };
        let body = RunRefusal {
            request: call.request.clone(),
            attempt: call.attempt.clone(),
            stage: call.stage.clone(),
            reason,
            retry_after_ms: self.faults.get().retry_after_ms,
            load,
        };
        not_run_reply(status, &body)
    }

    /// Applies the faults that take effect after a call was processed, before any byte of its
    /// answer is sent.
    ///
    /// Returns the status that replaces the answer, if there is one.
    pub(crate) fn after_call(&self) -> Result<Option<StatusCode>, CutConnection> {
        if self.faults.take(|order| &mut order.cut_after) {
            return Err(CutConnection);
        }
        let status = self.faults.get().fail_status;
        Ok(status.map(|code| StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)))
    }

    /// Returns the answer, or that of another call if the fault order says so.
    pub(crate) fn replace_answer(&self, answer: RunAnswer) -> RunAnswer {
        let crossed = self.faults.take(|order| &mut order.crossed);
        let mut answered = self.answered.lock().expect("no holder panics");
        let earlier = answered.replace(answer.clone());
        match earlier {
            Some(earlier) if crossed => earlier,
            None if crossed => RunAnswer {
                attempt: crossed_attempt(&answer.attempt),
                ..answer
            },
            _ => answer,
        }
    }

    /// Answers the calls that are independent of the kind of work; returns the request of any other.
    pub(crate) async fn call(
        &self,
        request: Request<Incoming>,
        live: LoadReport,
        stops_running: bool,
    ) -> Result<ReplyResult, Request<Incoming>> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/ledger") => Ok(Ok(self.ledger_reply(&request))),
            (&Method::POST, "/standin/faults") => Ok(Ok(self.faults_reply(request).await)),
            (&Method::POST, "/standin/restart") => Ok(Ok(self.restart_reply())),
            (&Method::GET, "/v1/load") => Ok(self.load_reply(live).await),
            (&Method::POST, "/v1/cancel") => Ok(self.cancel_reply(request, stops_running).await),
            _ => Err(request),
        }
    }

    fn ledger_reply(&self, request: &Request<Incoming>) -> Reply {
        let after = query_number(request, "after").unwrap_or(0);
        text_reply(StatusCode::OK, self.ledger.lines(after))
    }

    async fn faults_reply(&self, request: Request<Incoming>) -> Reply {
        match read_json(request.into_body()).await {
            Ok(order) => {
                self.set_faults(order);
                text_reply(StatusCode::OK, "")
            }
            Err(reply) => reply,
        }
    }

    fn restart_reply(&self) -> Reply {
        self.incarnation.store(wall_micros(), Ordering::SeqCst);
        self.leaving.store(false, Ordering::SeqCst);
        text_reply(StatusCode::OK, "")
    }

    async fn load_reply(&self, live: LoadReport) -> ReplyResult {
        self.faults.delay_answer().await;
        let lag = self.lag();
        let report = if lag.is_zero() {
            live
        } else {
            self.history.lagged(Instant::now(), lag).unwrap_or(live)
        };
        Ok(json_reply(StatusCode::OK, &report))
    }

    async fn cancel_reply(&self, request: Request<Incoming>, stops_running: bool) -> ReplyResult {
        self.before_call().await?;
        let call: CancelCall = match read_json(request.into_body()).await {
            Ok(call) => call,
            Err(reply) => return Ok(reply),
        };
        let state = self.attempts.cancel(&call.attempt, stops_running);
        let highest = None;
        Ok(json_reply(StatusCode::OK, &StateReply { state, highest }))
    }
}

/// Returns an attempt id that differs from the given one in its last digit.
pub(crate) fn crossed_attempt(attempt: &str) -> String {
    let mut other = attempt.to_owned();
    let last = other.pop();
    other.push(if last == Some('0') { '1' } else { '0' });
    other
}

/// Returns a number from the query string of a call.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let mut found = fields.filter(|(field, _)| *field == name);
    found.next().and_then(|(_, value)| value.parse().ok())
}
