use crate::ctl::load::{GatewayAnswer, output};
use crate::ctl::{Invocation, run};
use crate::gateway::GatewayStatus;
use crate::http::CallError;

/// A gateway with one service, as it answers in JSON.
const STATUS: &str = r#"{ "vm": "edge-1", "draining": false, "store_reachable": true, "held_bytes": 4096, "services": [{
    "service": "engine", "slots": 258, "in_flight": 240, "own_in_flight": 9, "limit_slots": 232.2,
    "share": 0.0416, "hears_half": true, "waiting": 7, "waiting_by_rank": { "0": 2, "3": 5 }, "learned": {
        "prefill_ms_per_1000_tokens": 13.8, "event_ms": 2.1, "fastest_pace": 0.7, "slowest_pace": 1.7 }}]}"#;

const TEXT: &str = "\
address     vm      state    store      held_bytes  service  slots  in_flight  limit  share  hears_half  waiting  by_rank  prefill_ms/1000  event_ms  pace
10.0.0.1:1  edge-1  serving  reachable  4096        engine   258    240        232.2  0.042  yes         7        0:2,3:5  13.80            2.10      0.70-1.70
10.0.0.1:2  edge-1  serving  reachable  4096        -        -      -          -      -      -           -        -        -                -         -
10.0.0.1:3: no status: response has status 503 instead of 200";

// Columns were shifted against their headers, or a gateway without services was left out.
#[test]
fn the_table_has_a_row_for_each_service_and_a_line_for_each_gateway_without_answer() {
    let busy: GatewayStatus = serde_json::from_str(STATUS).expect("valid");
    let idle = GatewayStatus { services: vec![], ..busy.clone() };
    let answers = (1..).zip([Ok(busy), Ok(idle), Err(CallError::Status(503))]);
    let answers = answers.map(|(port, status)| {
        let address = ([10, 0, 0, 1], port).into();
        GatewayAnswer { address, status }
    });
    assert_eq!(output(&answers.collect::<Vec<_>>()).text, TEXT);
}

// Scripts took a failed call for an idle service, or a host name was passed over.
#[tokio::test]
async fn load_fails_without_an_answer_and_without_addresses() {
    let parse = |args: &str| {
        let args: Vec<String> = args.split(' ').map(str::to_string).collect();
        Invocation::parse(&args, |_| None)
    };
    let invocation = parse("load 127.0.0.1:1").ok().flatten().expect("valid");
    let fault = run(&invocation, || Ok(String::new())).await.err().expect("nothing listens there");
    assert_eq!((fault.exit_code(), fault.code()), (1, "gateways"));
    assert!(fault.to_string().contains("127.0.0.1:1: connection could not be opened"), "{fault}");
    for wrong in ["load", "load edge-1:9"] {
        assert_eq!(parse(wrong).err().map(|fault| fault.exit_code()), Some(2));
    }
}
