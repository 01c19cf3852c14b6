//! How long agents take to answer, as the field estimates retransmission
//! timeouts: a smoothed mean and deviation.

use std::time::Duration;

/// Weight of a new sample in the mean and in the deviation.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Deviations above the mean after which an answer is taken as missing.
const DEVIATIONS: f64 = 4.0;

/// The estimate, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RttEstimator {
    mean: Option<f64>,
    deviation: f64,
}

impl RttEstimator {
    /// Notes that an answer took `sample`.
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

    /// After how long an answer is taken as missing.
    #[must_use]
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        let mean = self.mean.unwrap_or_default();
        Duration::from_secs_f64(mean + DEVIATIONS * self.deviation).clamp(least, most.max(least))
    }
}
