//! Simulated backend servers and table service.

use std::time::Duration;

use hollywheel_node::{AnswerEcho, AttemptCall, AttemptEvent, CallTicket, NodeInput};
use hollywheel_store::{StoreFailure, StoreRequest};
use hollywheel_types::{MonoTime, TokenCount, TokenIndex};

use super::backend::{LedgerEntry, LedgerEvent, call_output, call_token, streams};
use super::execute::ONE_WAY_US;
use super::inject::{CallFaults, PAST_DEADLINE, swap_attempt};
use super::queue::{ProcessRef, SceneEvent};
use super::run::FaultScene;

const SERVICE_US: u64 = 20_000;
const TOKEN_US: u64 = 10_000;
const LATE_EFFECT: Duration = Duration::from_millis(1800);
const RETRY_AFTER: Duration = Duration::from_millis(100);
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of tokens after which a stream is cut.
const CUT_AFTER_TOKENS: usize = 2;

impl FaultScene {
    pub(super) fn serve_call(&mut self, from: ProcessRef, call: &AttemptCall) {
        let leaving = self.leaving.contains(&call.server);
        let event = match leaving {
            true => LedgerEvent::Refused,
            false => LedgerEvent::Started,
        };
        self.log.ledger.push(LedgerEntry {
            at: self.now,
            server: call.server.clone(),
            event,
            request: call.request,
            nonce: call.nonce,
            stage: call.stage.clone(),
            key: call.idempotency_key.clone(),
        });
        let faults = self.take_call_faults(call);
        if leaving {
            let retry_after = RETRY_AFTER;
            let at = self.after(ONE_WAY_US);
            self.answer(
                at,
                from,
                call,
                AttemptEvent::Refused { retry_after },
                faults,
            );
            return;
        }
        self.answer_call(from, call, faults);
    }

    fn take_call_faults(&mut self, call: &AttemptCall) -> CallFaults {
        let mut faults = self.call_faults.iter();
        let at = faults.position(|(nonce, _)| *nonce == call.nonce);
        at.map_or_else(CallFaults::default, |at| self.call_faults.swap_remove(at).1)
    }

    fn answer_call(&mut self, from: ProcessRef, call: &AttemptCall, faults: CallFaults) {
        let mut events = match streams(call) {
            true => stream_events(call),
            false => vec![(SERVICE_US, unary_event(call))],
        };
        if faults.cut_after {
            let kept = events.len().saturating_sub(1).min(CUT_AFTER_TOKENS);
            let at = events[kept].0;
            events.truncate(kept);
            events.push((at, AttemptEvent::Broken));
        }
        if faults.crossed
            && let Some((_, event)) = events.first_mut()
        {
            swap_attempt(event);
        }
        for (micros, event) in events {
            let mut at = self.after(micros);
            if faults.slow {
                at = at + PAST_DEADLINE;
            }
            if faults.duplicate {
                self.answer(at, from, call, event.clone(), faults);
            }
            self.answer(at, from, call, event, faults);
        }
    }

    fn answer(
        &mut self,
        at: MonoTime,
        to: ProcessRef,
        call: &AttemptCall,
        event: AttemptEvent,
        faults: CallFaults,
    ) {
        let nonce = call.nonce;
        let input = NodeInput::Attempt { nonce, event };
        let stray = faults.stray;
        let seen = false;
        let event = SceneEvent::Input {
            to,
            input,
            stray,
            seen,
        };
        self.queue.push(at, event);
    }

    pub(super) fn serve_store(
        &mut self,
        from: ProcessRef,
        ticket: CallTicket,
        request: &StoreRequest,
        lost: bool,
    ) {
        if self.now < self.armed.store_silent {
            return;
        }
        let mut at = self.after(ONE_WAY_US);
        let is_write = matches!(request, StoreRequest::Txn { .. });
        let result = if self.now < self.armed.store_down {
            let retry_after = STORE_RETRY_AFTER;
            Err(StoreFailure::Refused { retry_after })
        } else if is_write && self.armed.late_effect > 0 {
            self.armed.late_effect -= 1;
            let late = SceneEvent::LateWrite(request.clone());
            self.queue.push(self.now + LATE_EFFECT, late);
            Err(StoreFailure::Unknown)
        } else {
            let reply = self.table.call(request);
            match lost {
                true => Err(StoreFailure::Unknown),
                false => Ok(reply),
            }
        };
        if is_write && self.armed.slow_store > 0 {
            self.armed.slow_store -= 1;
            at = at + PAST_DEADLINE;
        }
        self.push_input(at, from, NodeInput::Store { ticket, result });
    }
}

fn echo(call: &AttemptCall) -> AnswerEcho {
    AnswerEcho {
        request: call.request,
        stage: call.stage.clone(),
        nonce: call.nonce,
    }
}

fn unary_event(call: &AttemptCall) -> AttemptEvent {
    AttemptEvent::Answer {
        echo: echo(call),
        output: call_output(call),
    }
}

fn stream_events(call: &AttemptCall) -> Vec<(u64, AttemptEvent)> {
    let tokens = call.start_index.0..call.max_tokens.0;
    let mut events: Vec<(u64, AttemptEvent)> = tokens
        .map(|index| AttemptEvent::Token {
            nonce: call.nonce,
            index: TokenIndex(index),
            text: call_token(call, index),
        })
        .zip(1..)
        .map(|(event, place)| (place * TOKEN_US, event))
        .collect();
    let end = AttemptEvent::StreamEnd {
        echo: echo(call),
        tokens: TokenCount(call.max_tokens.0),
    };
    events.push(((events.len() as u64 + 1) * TOKEN_US, end));
    events
}
