use metrics_exporter_prometheus::PrometheusBuilder;

use super::fakes;
use crate::catalog::tests::{configuration, route};
use crate::catalog::{RepeatPolicy, Route};
use crate::gateway::observe::update_load_metrics;
use crate::gateway::operator_feed::apply_configuration;
use crate::prelude::*;
use crate::replicas::EndpointChange;
use crate::replicas::tests::announcement;

/// The metrics page of an entry that knows one endpoint of a service, with one request in flight.
fn metrics_page(attempts: u32) -> String {
    let gateway = fakes::gateway(fakes::FakeStore::default());
    let route = Route { repeat: RepeatPolicy::Stream, attempts, ..route("h", "/", "s") };
    apply_configuration(&gateway, configuration(1, vec![route]));
    let change = EndpointChange::Announcement("e".into(), announcement("s", 1, 1, 1));
    gateway.directory.borrow_mut().apply(TimeMs(0), change);
    let key = gateway.directory.borrow().find("e").expect("known");
    gateway.directory.borrow_mut().record_sent(TimeMs(0), key);
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
