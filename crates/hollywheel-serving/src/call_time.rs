//! Learned execution times of calls that contain pieces of several kinds.

use std::time::Duration;

use hollywheel_types::SortedMap;

/// The fraction of the estimation error that each call corrects. With 0.1 the estimate follows a
/// change within about ten calls.
const LEARNING_RATE: f64 = 0.1;
/// Bounds of the learned time of a piece, as multiples of the configured time.
const PIECE_BOUNDS: (f64, f64) = (0.05, 3.0);

/// Estimates the time of a call as a fixed time plus a time for each piece, which depends on the
/// kind of work.
///
/// The configured time of a piece is a mean over the kinds of work. The estimate of each kind
/// is corrected by the error of each call (normalised least mean squares).
#[derive(Clone, Debug)]
pub struct CallTimes {
    /// The configured fixed time of a call, in seconds.
    call_time: f64,
    /// The configured time of a piece, in seconds.
    piece_time: f64,
    /// The learned time of a piece of each kind of work, in seconds.
    kinds: SortedMap<String, f64>,
}

impl CallTimes {
    /// Creates the estimates from the configured times.
    pub fn new(call_time: Duration, piece_time: Duration) -> Self {
        Self {
            call_time: call_time.as_secs_f64(),
            piece_time: piece_time.as_secs_f64(),
            kinds: SortedMap::new(),
        }
    }

    /// Returns the expected time of one piece.
    pub fn piece(&self, kind: &str) -> Duration {
        Duration::from_secs_f64(self.piece_seconds(kind))
    }

    /// Returns the expected time of a call with the given number of pieces of each kind.
    pub fn call<'a>(&self, pieces: impl IntoIterator<Item = (&'a str, usize)>) -> Duration {
        let pieces = pieces.into_iter();
        let sum: f64 = pieces
            .map(|(kind, count)| self.piece_seconds(kind) * count as f64)
            .sum();
        Duration::from_secs_f64(self.call_time + sum)
    }

    /// Corrects the estimates by the time of a call on a server of normal speed.
    pub fn learn(&mut self, pieces: &[(String, usize)], taken: Duration) {
        let expected = self.call(pieces.iter().map(|(kind, count)| (kind.as_str(), *count)));
        let error = taken.as_secs_f64() - expected.as_secs_f64();
        let norm: f64 = pieces
            .iter()
            .map(|(_, count)| (*count as f64).powi(2))
            .sum();
        if norm == 0.0 {
            return;
        }
        let bounds = (
            self.piece_time * PIECE_BOUNDS.0,
            self.piece_time * PIECE_BOUNDS.1,
        );
        for (kind, count) in pieces {
            let step = LEARNING_RATE * error * *count as f64 / norm;
            let initial = self.piece_time;
            let time = self.kinds.get_or_insert_with(kind.clone(), || initial);
            *time = (*time + step).clamp(bounds.0, bounds.1);
        }
    }

    fn piece_seconds(&self, kind: &str) -> f64 {
        self.kinds.get(kind).copied().unwrap_or(self.piece_time)
    }
}
