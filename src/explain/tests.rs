mod load_control;

use std::io::BufReader;

use proptest::prelude::*;

use super::*;

const LOG: &str = r#"
  0.1000 entry-a {"unix_ms":1000,"level":"WARN","msg":"the store is not reached","from":"x","fault":"timeout"}
  0.2000 entry-a {"unix_ms":1200,"level":"INFO","msg":"answered","request":"r1","status":200,"took_ms":40,"target_ms":200,"class":"turn","program":"p1","workspace":"w1"}
  0.3000 entry-a {"unix_ms":1300,"level":"INFO","msg":"over the rate","request":"r2","workspace":"w1","claim":"call"}
  0.3000 entry-a {"unix_ms":1300,"level":"INFO","msg":"refused","request":"r2","refusal":"over_rate","took_ms":0,"class":"idempotent","program":"p1","workspace":"w1"}
entry-b {"unix_ms":2500,"level":"INFO","msg":"answered","request":"r3","status":200,"took_ms":900,"target_ms":200,"class":"turn","program":"p2","workspace":"w2"}
entry-b {"unix_ms":2600,"level":"INFO","msg":"answered","request":"r4","status":500,"took_ms":9,"target_ms":200,"class":"idempotent","program":"p2","workspace":"w2"}
{"unix_ms":2700,"level":"INFO","msg":"answe
a line of another program
{"level":"INFO","msg":"no time"}
"#;

fn read_text(text: &[u8], on_line: impl FnMut(LogLine)) -> ReadStats {
    let mut stats = ReadStats::default();
    read_lines(&mut BufReader::new(text), &mut stats, on_line)
        .expect("reading from memory does not fail");
    stats
}

#[test]
fn lost_requests_are_counted_by_cause_workspace_class_and_second() {
    let mut report = LossReport::default();
    let stats = read_text(LOG.as_bytes(), |line| report.record(&line));
    assert_eq!(report.counts(), (4, 3));
    let causes: Vec<_> = report.causes().iter().map(|(cause, _)| (*cause).clone()).collect();
    let cause = |name: &str, workspace: &str, class: &str| LossCause {
        name: name.into(),
        workspace: workspace.into(),
        class: class.into(),
    };
    let expected = [
        cause("late", "w2", "turn"),
        cause("over_rate", "w1", "idempotent"),
        cause("status 500", "w2", "idempotent"),
    ];
    assert_eq!(causes, expected);
    let seconds: Vec<u64> = report.by_second().iter().map(|(second, _)| *second).collect();
    assert_eq!(seconds, [0, 1]);
    assert_eq!(
        report.programs().into_iter().collect::<Vec<_>>(),
        [("over_rate", 1), ("status 500", 1)]
    );
    assert_eq!((stats.lines, stats.broken, stats.first_broken), (6, 2, Some(8)));
}

#[test]
fn a_request_timeline_shows_its_entrys_context_and_its_outcome() {
    let mut timeline = Timeline::new(Subject::Request("r2".into()));
    read_text(LOG.as_bytes(), |line| timeline.record(line));
    let text = timeline.text();
    assert!(text.contains("the store is not reached"), "{text}");
    assert!(text.contains("claim=\"call\""), "{text}");
    assert!(text.ends_with("ended: refused, over_rate; over the rate"), "{text}");
    assert!(!text.contains("entry-b"), "{text}");
}

#[test]
fn a_program_timeline_shows_its_requests_in_order() {
    let mut timeline = Timeline::new(Subject::Program("p2".into()));
    read_text(LOG.as_bytes(), |line| timeline.record(line));
    let lines = timeline.json()["lines"].as_array().map(Vec::len);
    assert_eq!(lines, Some(2));
    assert!(timeline.text().ends_with("ended: answered with status 500"), "{}", timeline.text());
}

#[test]
fn an_unknown_id_has_an_empty_timeline() {
    let mut timeline = Timeline::new(Subject::Request("nobody".into()));
    read_text(LOG.as_bytes(), |line| timeline.record(line));
    assert!(timeline.is_empty());
}

// A log collector that joins a truncated file to another produces a line of megabytes. It must not be
// buffered whole, and the lines after it still count.
#[test]
fn a_line_that_is_too_long_is_skipped() {
    let mut text = vec![b'{'; 1 << 20];
    text.extend_from_slice(LOG.as_bytes());
    let mut lines = 0;
    read_text(&text, |_| lines += 1);
    assert_eq!(lines, 6);
}

#[test]
fn a_plot_shows_each_cause() {
    let mut report = LossReport::default();
    read_text(LOG.as_bytes(), |line| report.record(&line));
    let path = std::env::temp_dir().join(format!("trefoil-plot-{}.svg", std::process::id()));
    plot(&report, &path).expect("the plot is written");
    let svg = std::fs::read_to_string(&path).expect("the plot is readable");
    std::fs::remove_file(&path).expect("the plot is removed");
    for name in ["late", "over_rate", "status 500"] {
        assert!(svg.contains(name), "{name}");
    }
}

proptest! {
    // Logs come from collectors in any condition: no input may cause a panic, and every line is counted
    // exactly once.
    #[test]
    fn any_bytes_are_read(bytes in proptest::collection::vec(any::<u8>(), 0..2_000), cut in 0..4_000_usize) {
        let mut text = [LOG, load_control::LOAD_LOG].concat().into_bytes();
        text.truncate(cut);
        text.extend(bytes);
        let mut report = LossReport::default();
        let mut timeline = Timeline::new(Subject::Program("p1".into()));
        let stats = read_text(&text, |line| {
            report.record(&line);
            timeline.record(line);
        });
        let ends = text.iter().filter(|byte| **byte == b'\n').count() as u64;
        let open = u64::from(text.last().is_some_and(|byte| *byte != b'\n'));
        prop_assert_eq!(stats.lines + stats.without_object + stats.broken, ends + open);
        drop((report.text(&stats), report.json(&stats), timeline.text(), timeline.json()));
    }
}
