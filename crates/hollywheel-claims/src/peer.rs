//! Questions between hosts about claims.

use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime};

use crate::entry::{ClaimHolder, ClaimPhase};
use crate::message::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
use crate::output::{ClaimOutput, ClaimTicket};
use crate::row::read_request;
use crate::table::ClaimTable;

/// Number of consecutive unanswered questions after which the claim is denied.
const MAX_ASK_FAILURES: u32 = 3;

impl ClaimTable {
    /// Answers the question of another host about a claim that this host made.
    pub fn host_asks(&self, question: &ClaimQuestion) -> ClaimAnswer {
        let entry = self.entries.get(&question.key);
        if let Some(entry) = entry.filter(|entry| entry.identity.nonce == question.nonce) {
            return match &entry.phase {
                ClaimPhase::Settle {
                    verdict, output, ..
                } => ClaimAnswer::Ended {
                    verdict: *verdict,
                    answer: output.clone().map(|output| StoredAnswer {
                        digest: entry.identity.digest,
                        output,
                    }),
                },
                _ => ClaimAnswer::Running,
            };
        }
        let id = (question.key.clone(), question.nonce);
        match self.releases.contains_key(&id) {
            true => ClaimAnswer::Released,
            false => ClaimAnswer::Unknown,
        }
    }

    /// Starts asking the host that holds a claim about its state.
    pub(crate) fn start_asking(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        holder: ClaimHolder,
        nonce: AttemptNonce,
        revision: u64,
        out: &mut Vec<ClaimOutput>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Asking {
            holder,
            nonce,
            revision,
            failures: 0,
            ticket: None,
            wake: now,
        };
        self.ask_holder(now, key, out);
    }

    /// Asks the holder, or counts a failure if the previous question timed out.
    pub(crate) fn ask_holder(&mut self, now: MonoTime, key: &ClaimKey, out: &mut Vec<ClaimOutput>) {
        let next_ticket = self.allocate_ticket();
        let timeout = self.settings.store_timeout;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let ClaimPhase::Asking {
            holder,
            nonce,
            ticket,
            wake,
            ..
        } = &mut entry.phase
        else {
            return;
        };
        if ticket.is_some() {
            self.ask_failed(now, key, out);
            return;
        }
        if !self.peers.contains(holder) {
            self.deny_taken(now, key, out);
            return;
        }
        *ticket = Some(next_ticket);
        *wake = now + timeout;
        out.push(ClaimOutput::AskHost {
            ticket: next_ticket,
            host: holder.host.clone(),
            incarnation: holder.incarnation,
            question: ClaimQuestion {
                key: key.clone(),
                nonce: *nonce,
                digest: entry.identity.digest,
            },
        });
    }

    fn ask_failed(&mut self, now: MonoTime, key: &ClaimKey, out: &mut Vec<ClaimOutput>) {
        let interval = self.settings.ask_interval;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let ClaimPhase::Asking {
            failures,
            ticket,
            wake,
            ..
        } = &mut entry.phase
        else {
            return;
        };
        *failures += 1;
        *ticket = None;
        *wake = now + interval;
        if *failures >= MAX_ASK_FAILURES {
            self.deny_taken(now, key, out);
        }
    }

    /// Handles the answer to a question, `None` if the host was not reached.
    pub fn host_answered(
        &mut self,
        now: MonoTime,
        question: ClaimTicket,
        answer: Option<ClaimAnswer>,
    ) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        let found = self
            .entries
            .iter()
            .find_map(|(key, entry)| match entry.phase {
                ClaimPhase::Asking {
                    nonce,
                    revision,
                    ticket: Some(ticket),
                    ..
                } if ticket == question => Some((key.clone(), nonce, revision)),
                _ => None,
            });
        if let Some((key, nonce, revision)) = found {
            self.apply_answer(now, &key, nonce, revision, answer, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    fn apply_answer(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        nonce: AttemptNonce,
        revision: u64,
        answer: Option<ClaimAnswer>,
        out: &mut Vec<ClaimOutput>,
    ) {
        match answer {
            None => self.ask_failed(now, key, out),
            Some(ClaimAnswer::Running) => self.schedule_ask(now, key),
            Some(ClaimAnswer::Unknown) => self.reread_row(now, key, nonce, out),
            Some(
                ClaimAnswer::Released
                | ClaimAnswer::Ended {
                    verdict: ExecutionVerdict::NotRun,
                    ..
                },
            ) => self.retry_insert(now, key, Some(revision)),
            Some(ClaimAnswer::Ended { verdict, answer }) => {
                self.report_ended(now, key, verdict, answer, out);
            }
        }
    }

    fn schedule_ask(&mut self, now: MonoTime, key: &ClaimKey) {
        let interval = self.settings.ask_interval;
        if let Some(entry) = self.entries.get_mut(key)
            && let ClaimPhase::Asking {
                failures,
                ticket,
                wake,
                ..
            } = &mut entry.phase
        {
            *failures = 0;
            *ticket = None;
            *wake = now + interval;
        }
    }

    pub(crate) fn reread_row(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        nonce: AttemptNonce,
        out: &mut Vec<ClaimOutput>,
    ) {
        let ticket = self.allocate_ticket();
        let wake = now + self.settings.store_timeout;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Reread {
            nonce,
            ticket,
            wake,
        };
        out.push(ClaimOutput::Store {
            ticket,
            request: read_request(key),
        });
    }
}
