//! Questions between hosts about claims.

use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime};

use crate::entry::{ClaimHolder, ClaimPhase};
use crate::message::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
use crate::output::{ClaimOutput, ClaimTicket};
use crate::row::read_request;
use crate::table::ClaimTable;

/// Bounds the questions in a row that are not answered.
const MAX_ASK_FAILURES: u32 = 3;

impl ClaimTable {
    /// Answers another host about a claim that it found in the table.
    pub fn host_asks(&self, question: &ClaimQuestion) -> ClaimAnswer {
        let entry = self.entries.get(&question.key);
        if let Some(entry) = entry.filter(|entry| entry.words.nonce == question.nonce) {
            return match &entry.phase {
                ClaimPhase::Settle {
                    verdict, output, ..
                } => ClaimAnswer::Ended {
                    verdict: *verdict,
                    answer: output.clone().map(|output| StoredAnswer {
                        digest: entry.words.digest,
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

    /// Begins to ask the host that made a claim.
    pub(crate) fn ask(
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
        entry.phase = ClaimPhase::Ask {
            holder,
            nonce,
            revision,
            failures: 0,
            ticket: None,
            wake: now,
        };
        self.ask_due(now, key, out);
    }

    /// Asks, or notes that the question was not answered in time.
    pub(crate) fn ask_due(&mut self, now: MonoTime, key: &ClaimKey, out: &mut Vec<ClaimOutput>) {
        let next = self.take_ticket();
        let timeout = self.settings.store_timeout;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let ClaimPhase::Ask {
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
        *ticket = Some(next);
        *wake = now + timeout;
        out.push(ClaimOutput::AskHost {
            ticket: next,
            host: holder.host.clone(),
            incarnation: holder.incarnation,
            question: ClaimQuestion {
                key: key.clone(),
                nonce: *nonce,
                digest: entry.words.digest,
            },
        });
    }

    fn ask_failed(&mut self, now: MonoTime, key: &ClaimKey, out: &mut Vec<ClaimOutput>) {
        let interval = self.settings.ask_interval;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let ClaimPhase::Ask {
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

    /// Takes the answer to a question; none if the host was not reached.
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
                ClaimPhase::Ask {
                    nonce,
                    revision,
                    ticket: Some(ticket),
                    ..
                } if ticket == question => Some((key.clone(), nonce, revision)),
                _ => None,
            });
        if let Some((key, nonce, revision)) = found {
            self.take_answer(now, &key, nonce, revision, answer, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    fn take_answer(
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
            Some(ClaimAnswer::Running) => self.ask_later(now, key),
            Some(ClaimAnswer::Unknown) => self.read_again(now, key, nonce, out),
            Some(
                ClaimAnswer::Released
                | ClaimAnswer::Ended {
                    verdict: ExecutionVerdict::NotRun,
                    ..
                },
            ) => self.insert_again(now, key, Some(revision)),
            Some(ClaimAnswer::Ended { verdict, answer }) => {
                self.tell_ended(now, key, verdict, answer, out);
            }
        }
    }

    fn ask_later(&mut self, now: MonoTime, key: &ClaimKey) {
        let interval = self.settings.ask_interval;
        if let Some(entry) = self.entries.get_mut(key)
            && let ClaimPhase::Ask {
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

    pub(crate) fn read_again(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        nonce: AttemptNonce,
        out: &mut Vec<ClaimOutput>,
    ) {
        let ticket = self.take_ticket();
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
