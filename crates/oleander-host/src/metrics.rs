//! The process-wide metrics recorder and its Prometheus text.

use std::{fmt, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time;

/// Bounds of histogram buckets in seconds, for metrics named `*_seconds`.
const SECONDS_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.72, 1.0, 2.0, 5.0, 10.0, 30.0,
    60.0,
];

/// Interval at which recorded samples are folded into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Renders the recorded metrics.
#[derive(Debug, Clone)]
pub struct Metrics(PrometheusHandle);

/// Why the recorder can't be set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsError(String);

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't set up metrics: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

impl Metrics {
    /// Installs the process-wide recorder; once a process.
    ///
    /// # Errors
    ///
    /// Returns an error if a recorder is already installed.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = builder()?.build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).map_err(|e| MetricsError(e.to_string()))?;
        Ok(Self(handle))
    }

    /// A recorder's handle that is not installed, for tests.
    ///
    /// # Errors
    ///
    /// Returns an error if the recorder can't be built.
    pub fn detached() -> Result<Self, MetricsError> {
        Ok(Self(builder()?.build_recorder().handle()))
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Folds samples into the histograms at an interval, for as long as it is polled.
    pub async fn upkeep(self) {
        let mut interval = time::interval(UPKEEP_INTERVAL);
        loop {
            interval.tick().await;
            self.0.run_upkeep();
        }
    }
}

fn builder() -> Result<PrometheusBuilder, MetricsError> {
    PrometheusBuilder::new().set_buckets(SECONDS_BUCKETS).map_err(|e| MetricsError(e.to_string()))
}
