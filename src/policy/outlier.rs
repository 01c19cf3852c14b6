//! When an agent sets its target aside, and how it tries the target again.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// Policy for targets that fail requests while they report that they are well. Durations
/// are in milliseconds in the settings file.
///
/// Acts only on requests whose needs the configuration states.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutlierPolicy {
    /// Whether targets are set aside at all.
    pub enabled: bool,
    /// Least weight of the failures that set a target aside. One or two may be the fault of
    /// a caller or of a link; at three, all tries of one request may have failed here.
    #[serde(rename = "failures")]
    pub min_failures: u32,
    /// Least share of failures among the outcomes of `window`. Failures since the last
    /// success count whatever their share. At 0.3, a request that may not be repeated is
    /// lost three times in ten, while it would be served by another target.
    #[serde(rename = "share")]
    pub min_share: f64,
    /// How long an outcome counts.
    #[serde(with = "millis")]
    pub window: Duration,
    /// Least silence after a request that counts as a failure. A caller's packet that is
    /// lost on its way to the target is repeated after 0.2 and 0.6 s.
    #[serde(with = "millis")]
    pub silence: Duration,
    /// The same as a multiple of the usual time of such requests. A target that is five times
    /// as slow as usual is not set aside.
    pub silence_ratio: f64,
    /// Silence after an open that counts as a failure. A handshake takes 0.3 ms, and a lost
    /// SYN is repeated after 0.2 s.
    #[serde(with = "millis")]
    pub silent_open: Duration,
    /// Time before the first trial of a target that is set aside, and between trials.
    #[serde(rename = "trial", with = "millis")]
    pub trial_interval: Duration,
    /// Time from the first success until the target is back in full, at the latest.
    #[serde(rename = "ramp", with = "millis")]
    pub ramp_time: Duration,
    /// How long a target stays aside while no request may be tried at it. A service whose
    /// requests may not be repeated would lose it for good otherwise.
    #[serde(rename = "longest", with = "millis")]
    pub max_untried: Duration,
}

impl Default for OutlierPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            min_failures: 3,
            min_share: 0.3,
            window: Duration::from_millis(1_000),
            silence: Duration::from_millis(1_000),
            silence_ratio: 8.0,
            silent_open: Duration::from_millis(300),
            trial_interval: Duration::from_millis(250),
            ramp_time: Duration::from_millis(1_000),
            max_untried: Duration::from_millis(10_000),
        }
    }
}

impl OutlierPolicy {
    pub(super) fn check(&self) -> anyhow::Result<()> {
        if self.min_failures == 0 {
            bail!("field `policy.hold.outlier.failures`: must be at least 1");
        }
        if !(self.min_share > 0.0 && self.min_share <= 1.0) {
            bail!("field `policy.hold.outlier.share`: must be above 0 and at most 1");
        }
        if !(1.0..1e6).contains(&self.silence_ratio) {
            bail!("field `policy.hold.outlier.silence_ratio`: must be at least 1");
        }
        let spans = [
            ("window", self.window),
            ("silence", self.silence),
            ("silent_open", self.silent_open),
            ("trial", self.trial_interval),
        ];
        for (field, span) in spans {
            if span.is_zero() {
                bail!("field `policy.hold.outlier.{field}`: must be at least 1");
            }
        }
        Ok(())
    }
}
