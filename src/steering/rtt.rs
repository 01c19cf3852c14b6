//! Adaptive response timeout from a smoothed mean and deviation, as in RFC 6298.

use std::time::Duration;

/// Weight of a new sample in the mean and in the deviation (RFC 6298 alpha and beta).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Deviations that the timeout lies above the mean.
const DEVIATIONS: f64 = 4.0;

/// Estimator of round-trip times, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RttEstimator {
    mean: Option<f64>,
    deviation: f64,
}

impl RttEstimator {
    /// Adds a measured round-trip time.
    pub fn record_sample(&mut self, sample: Duration) {
        let x = sample.as_secs_f64();
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(x), x / 2.0),
            Some(mean) => {
                self.deviation += ((x - *mean).abs() - self.deviation) * DEVIATION_GAIN;
                *mean += (x - *mean) * MEAN_GAIN;
            }
        }
    }

    /// The response timeout, within `min` and `max`.
    #[must_use]
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let mean = self.mean.unwrap_or_default();
        Duration::from_secs_f64(mean + DEVIATIONS * self.deviation).clamp(min, max.max(min))
    }
}
