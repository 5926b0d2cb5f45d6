use metrics_exporter_prometheus::PrometheusBuilder;

use super::fakes;
use crate::gateway::observe::update_load_metrics;

/// The metrics page of an entry that knows one endpoint of a service, with one request in flight.
fn metrics_page(attempts: u32) -> String {
    let (gateway, _) = fakes::gateway_with_endpoint(attempts, 1);
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || update_load_metrics(&gateway));
    recorder.handle().render()
}

// An operator can't tell how full a service is otherwise. Deployments without load control must not
// get further metrics.
#[tokio::test]
async fn the_load_of_services_under_load_control_is_shown() {
    let page = metrics_page(1);
    for gauge in ["trefoil_service_slots", "trefoil_service_in_flight", "trefoil_programs_waiting"]
    {
        assert!(page.contains(&format!("{gauge}{{service=\"s\"}}")), "{gauge}: {page}");
    }
    assert_eq!(metrics_page(2), "");
}
