use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms, in milliseconds.
const BUCKETS_MS: &[f64] = &[
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0,
    30_000.0, 120_000.0,
];

/// Handle of the metrics of this process.
#[derive(Clone)]
pub struct Metrics(PrometheusHandle);

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Drains the recorder's sample buffers, which otherwise grow. To be called every few seconds.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the metrics recorder of the process.
pub fn start_metrics() -> Result<Metrics, BuildError> {
    PrometheusBuilder::new().set_buckets(BUCKETS_MS)?.install_recorder().map(Metrics)
}
