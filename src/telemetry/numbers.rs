use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms, in milliseconds.
const BUCKETS_MS: &[f64] = &[
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0,
    30_000.0, 120_000.0,
];

/// The metrics of this process.
#[derive(Clone)]
pub struct Metrics(PrometheusHandle);

impl Metrics {
    /// All metrics, in the text format that scrapers read.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Empties the recorder's buffers; to be called every few seconds.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Starts to record metrics.
pub fn start_metrics() -> Result<Metrics, BuildError> {
    PrometheusBuilder::new().set_buckets(BUCKETS_MS)?.install_recorder().map(Metrics)
}
