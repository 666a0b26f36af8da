//! The process-wide metrics recorder and its rendering as Prometheus text.

use std::{fmt, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time;

/// Upper bounds of the histogram buckets, in seconds; all histograms are named `*_seconds`.
const SECONDS_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.72, 1.0, 2.0, 5.0, 10.0, 30.0,
    60.0,
];

/// Interval at which recorded samples are moved into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Handle to a metrics recorder; renders what it recorded.
#[derive(Debug, Clone)]
pub struct Metrics(PrometheusHandle);

/// Why the recorder can't be installed or built.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsError(String);

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't set up metrics: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

impl Metrics {
    /// Installs the process-wide recorder; call once per process.
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

    /// Handle to a recorder that is not installed, for tests.
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

    /// Moves recorded samples into the histograms at an interval; never returns.
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
