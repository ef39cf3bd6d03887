//! Ejection of failing and slow backend servers, and their way back.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::detector::CusumCharts;

/// Failures in a row that eject a server.
const MAX_FAILURES: u32 = 3;
/// The first ejection lasts so long; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// A trial that was chosen but never sent is given up after this time.
const TRIAL_LIFETIME: Duration = Duration::from_secs(1);
/// A trial whose end is not told is given up after this time.
const SENT_LIFETIME: Duration = Duration::from_secs(60);
/// The ejection count is forgotten after this time in service.
const GOOD_SPAN: Duration = Duration::from_secs(30);
/// The largest standardised time of a trial that brings a server back.
const TRIAL_LIMIT: f64 = 1.5;

/// Says whether a backend server takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthState {
    Serving { since: MonoTime },
    Ejected { until: MonoTime },
    Trial { chosen: MonoTime, sent: bool },
}

/// Holds what is known of the health of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
    charts: CusumCharts,
}

impl ServerHealth {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            state: HealthState::Serving { since: now },
            failures: 0,
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

    /// Returns the failures in a row, up to the number that ejects.
    pub(crate) const fn failures(&self) -> u32 {
        if self.failures < MAX_FAILURES {
            return self.failures;
        }
        MAX_FAILURES
    }

    /// Says whether a trial may be sent now.
    pub(crate) fn is_trial_due(&self, now: MonoTime) -> bool {
        match self.state {
            HealthState::Serving { .. } => false,
            HealthState::Ejected { until } => now >= until,
            HealthState::Trial { chosen, sent } => {
                let lifetime = if sent { SENT_LIFETIME } else { TRIAL_LIFETIME };
                now.since(chosen) >= lifetime
            }
        }
    }

    pub(crate) const fn choose_trial(&mut self, now: MonoTime) {
        self.state = HealthState::Trial {
            chosen: now,
            sent: false,
        };
    }

    /// Tells that an attempt was sent and says whether it is the trial.
    pub(crate) const fn note_sent(&mut self) -> bool {
        if let HealthState::Trial { sent, .. } = &mut self.state
            && !*sent
        {
            *sent = true;
            return true;
        }
        false
    }

    /// Takes a failed attempt and says whether the server should be ejected.
    pub(crate) const fn note_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= MAX_FAILURES
    }

    /// Takes the standardised time of an answer and says whether the server should be ejected.
    pub(crate) fn note_answer(&mut self, sample: Option<f64>) -> bool {
        self.failures = 0;
        sample.is_some_and(|sample| self.charts.record(sample))
    }

    pub(crate) fn eject(&mut self, now: MonoTime) {
        if let HealthState::Serving { since } = self.state
            && now.since(since) > GOOD_SPAN
        {
            self.ejections = 0;
        }
        let factor = 1u32 << self.ejections.min(8);
        let span = FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.charts.reset();
        self.state = HealthState::Ejected { until: now + span };
    }

    /// Takes the end of a trial: none if it says nothing, otherwise whether it went well.
    pub(crate) fn end_trial(&mut self, now: MonoTime, good: Option<bool>) {
        match good {
            Some(true) => self.restore(now),
            Some(false) => self.eject(now),
            None => self.state = HealthState::Ejected { until: now },
        }
    }

    /// Says whether the time of a trial is near enough to that of the peers.
    pub(crate) fn is_trial_good(sample: Option<f64>) -> bool {
        sample.is_none_or(|sample| sample <= TRIAL_LIMIT)
    }

    /// Puts the server back in service.
    pub(crate) const fn restore(&mut self, now: MonoTime) {
        self.failures = 0;
        self.charts.reset();
        self.state = HealthState::Serving { since: now };
    }
}
