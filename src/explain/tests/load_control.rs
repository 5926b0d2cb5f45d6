//! What is told of load control and of the limits on slow readers.

use super::{LOG, read_text};
use crate::explain::{LossReport, Subject, Timeline};

pub(super) const LOAD_LOG: &str = r#"
entry-a {"unix_ms":1000,"msg":"service has no capacity for a further program; first turn refused","request":"r1","program":"p1","service":"llm","workspace":"w1","rank":4,"place":12,"retry_after_ms":900,"slots":258,"in_flight":260,"share":0.034,"over_share":true,"hears_half":true}
entry-b {"unix_ms":1001,"msg":"refused","request":"r1","refusal":"unavailable","took_ms":3,"class":"turn","program":"p1","workspace":"w1"}
entry-a {"unix_ms":2300,"msg":"program held until its service has capacity","request":"r2","program":"p1","service":"llm","rank":4,"wait_ms":30,"slots":258,"in_flight":259}
entry-a {"unix_ms":2330,"msg":"program admitted from the waiting list","request":"r2","program":"p1","service":"llm","rank":4,"waited_ms":1330,"refusals":1,"slots":258,"in_flight":250}
entry-a {"unix_ms":2900,"msg":"limit for buffered bytes reached; disconnecting the response held for the longest","request":"r2","workspace":"w1","bytes":70000,"held_ms":480,"held_bytes":900000}
entry-b {"unix_ms":2640,"msg":"answered","request":"r2","status":200,"took_ms":340,"target_ms":250,"class":"turn","program":"p1","workspace":"w1"}
entry-c {"unix_ms":3000,"msg":"limit for buffered bytes reached; refusing new requests","held_bytes":910000}
entry-c {"unix_ms":3001,"msg":"refused","request":"r3","refusal":"unavailable","took_ms":0,"program":"p2"}
entry-c {"unix_ms":3500,"msg":"buffered bytes below their limit; accepting requests again","held_bytes":600000,"refused":1}
entry-c {"unix_ms":3501,"msg":"refused","request":"r4","refusal":"unavailable","took_ms":0,"program":"p3"}
"#;

fn timeline(subject: Subject) -> Timeline {
    let mut timeline = Timeline::new(subject);
    read_text(LOAD_LOG.as_bytes(), |line| timeline.record(line));
    timeline
}

// Without these values an operator can't tell a service that is too small from a workspace that
// sends too much.
#[test]
fn a_refusal_for_lack_of_capacity_is_explained() {
    let text = timeline(Subject::Request("r1".into())).text();
    let refusal = "refused for lack of capacity: decided by entry-a; rank 4; 260 requests in \
        flight at 258 slots of llm; place 12 in the waiting list; told to return after 900 ms; \
        workspace w1 over its share\n";
    assert!(text.contains(refusal), "{text}");
}

// The lines of a program are spread over two entries, and one of them does not name the program.
#[test]
fn a_program_timeline_tells_its_wait_and_its_slow_reader() {
    let timeline = timeline(Subject::Program("p1".into()));
    let text = timeline.text();
    let start = "start: refused once; held once for 30 ms in all; started 1330 ms after its first \
        refusal; returned 400 ms later than told; first answer late (340 ms, target 250 ms); 1 of \
        1 answers late\n";
    assert!(text.contains(start), "{text}");
    assert!(text.contains("disconnected by entry-a: its caller had left 70000 bytes"), "{text}");
    let json = timeline.json();
    assert_eq!(json["start"]["late"], true);
    assert_eq!(json["start"]["refusals"][0]["entry"], "entry-a");
    assert_eq!(json["slow_readers"]["disconnected"][0]["request"], "r2");
}

// A request refused at the limit for buffered bytes has no line of its own that says so. Later
// refusals of the same entry have other causes.
#[test]
fn a_refusal_at_the_limit_for_buffered_bytes_is_explained_only_while_it_lasts() {
    let json = |request: &str| timeline(Subject::Request(request.into())).json();
    assert_eq!(json("r3")["slow_readers"]["refused"][0]["held_bytes"], 910_000);
    assert!(json("r4").get("slow_readers").is_none());
}

// Scripts read the output for logs without load control.
#[test]
fn output_for_logs_without_load_control_has_no_new_keys() {
    let mut timeline = Timeline::new(Subject::Program("p1".into()));
    let mut report = LossReport::default();
    let stats = read_text(LOG.as_bytes(), |line| {
        report.record(&line);
        timeline.record(line);
    });
    let keys = |value: serde_json::Value| -> Vec<String> {
        value.as_object().expect("an object").keys().cloned().collect()
    };
    assert_eq!(keys(timeline.json()), ["ended", "left_out", "lines"]);
    let expected = "broken causes lines lost programs programs_uncounted requests seconds \
        without_object";
    assert_eq!(keys(report.json(&stats)).join(" "), expected);
}

#[test]
fn a_loss_report_counts_decisions_by_service_and_rank() {
    let mut report = LossReport::default();
    let stats = read_text(LOAD_LOG.as_bytes(), |line| report.record(&line));
    let json = report.json(&stats);
    let counts = &json["admissions"][0];
    let names = ["rank", "refused", "over_share", "held", "admitted_from_list"];
    assert_eq!(names.map(|name| counts[name].as_u64()), [4, 1, 1, 1, 1].map(Some));
    assert_eq!(json["slow_readers_disconnected"]["w1"], 1);
}
