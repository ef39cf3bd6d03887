//! Outlier ejection: failing and slow backend servers get no work until a trial request succeeds.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::detector::CusumCharts;

/// Number of consecutive failures that ejects a server.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Length of the first ejection; each further one lasts twice as long.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound on the length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// Time after which a trial that was chosen but not sent is abandoned.
const UNSENT_TRIAL_LIFETIME: Duration = Duration::from_secs(1);
/// Time after which a trial that was sent but whose outcome was not reported is abandoned.
const SENT_TRIAL_LIFETIME: Duration = Duration::from_secs(60);
/// Time in service after which the number of past ejections is reset.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(30);
/// Largest standardised latency of a trial that puts a server back in service.
const MAX_TRIAL_SAMPLE: f64 = 1.5;

/// Health state of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// The server gets work.
    Serving { since: MonoTime },
    /// The server gets no work; a trial request is due at `until`.
    Ejected { until: MonoTime },
    /// The server was chosen for a trial request, which has been sent or not.
    Trial { chosen_at: MonoTime, sent: bool },
}

/// Tracks the health of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    state: HealthState,
    consecutive_failures: u32,
    ejections: u32,
    charts: CusumCharts,
}

impl ServerHealth {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            state: HealthState::Serving { since: now },
            consecutive_failures: 0,
            ejections: 0,
            charts: CusumCharts::default(),
        }
    }

    pub(crate) const fn state(&self) -> HealthState {
        self.state
    }

    pub(crate) const fn is_serving(&self) -> bool {
        matches!(self.state, HealthState::Serving { .. })
    }

    /// Returns the number of consecutive failures, capped at the number that ejects a server.
    pub(crate) const fn consecutive_failures(&self) -> u32 {
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return self.consecutive_failures;
        }
        MAX_CONSECUTIVE_FAILURES
    }

    /// Returns whether a trial request may be sent now.
    pub(crate) fn is_trial_due(&self, now: MonoTime) -> bool {
        match self.state {
            HealthState::Serving { .. } => false,
            HealthState::Ejected { until } => now >= until,
            HealthState::Trial { chosen_at, sent } => {
                let lifetime = if sent {
                    SENT_TRIAL_LIFETIME
                } else {
                    UNSENT_TRIAL_LIFETIME
                };
                now.since(chosen_at) >= lifetime
            }
        }
    }

    /// Marks the server as chosen for a trial request.
    pub(crate) const fn choose_trial(&mut self, now: MonoTime) {
        self.state = HealthState::Trial {
            chosen_at: now,
            sent: false,
        };
    }

    /// Records that an attempt was sent and returns whether it is the trial request.
    pub(crate) const fn record_sent(&mut self) -> bool {
        if let HealthState::Trial { sent, .. } = &mut self.state
            && !*sent
        {
            *sent = true;
            return true;
        }
        false
    }

    /// Records a failed attempt and returns whether the server should be ejected.
    pub(crate) const fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records the standardised latency of an answer and returns whether the server should be
    /// ejected.
    pub(crate) fn record_answer(&mut self, latency_sample: Option<f64>) -> bool {
        self.consecutive_failures = 0;
        latency_sample.is_some_and(|latency_sample| self.charts.record(latency_sample))
    }

    /// Ejects the server for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: MonoTime) {
        if let HealthState::Serving { since } = self.state
            && now.since(since) > EJECTION_RESET_AFTER
        {
            self.ejections = 0;
        }
        let factor = 1u32 << self.ejections.min(8);
        let span = MIN_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
        self.charts.reset();
        self.state = HealthState::Ejected { until: now + span };
    }

    /// Records the outcome of a trial: `None` if it is inconclusive, otherwise whether it
    /// succeeded.
    pub(crate) fn end_trial(&mut self, now: MonoTime, is_good: Option<bool>) {
        match is_good {
            Some(true) => self.restore(now),
            Some(false) => self.eject(now),
            None => self.state = HealthState::Ejected { until: now },
        }
    }

    /// Returns whether the standardised latency of a trial is close enough to that of other
    /// servers.
    pub(crate) fn is_trial_good(latency_sample: Option<f64>) -> bool {
        latency_sample.is_none_or(|latency_sample| latency_sample <= MAX_TRIAL_SAMPLE)
    }

    /// Puts the server back in service.
    pub(crate) const fn restore(&mut self, now: MonoTime) {
        self.consecutive_failures = 0;
        self.charts.reset();
        self.state = HealthState::Serving { since: now };
    }
}
