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

fn read_text(text: &[u8], pass: impl FnMut(LogLine)) -> Reading {
    let mut reading = Reading::default();
    read(&mut BufReader::new(text), &mut reading, pass).expect("memory does not fail");
    reading
}

#[test]
fn what_was_lost_is_counted_by_cause_workspace_class_and_second() {
    let mut lost = Lost::default();
    let reading = read_text(LOG.as_bytes(), |line| lost.take(&line));
    assert_eq!(lost.counts(), (4, 3));
    let causes: Vec<_> = lost.causes().iter().map(|(cause, _)| (*cause).clone()).collect();
    let cause = |name: &str, workspace: &str, class: &str| Cause {
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
    let seconds: Vec<u64> = lost.by_second().iter().map(|(second, _)| *second).collect();
    assert_eq!(seconds, [0, 1]);
    assert_eq!(
        lost.programs().into_iter().collect::<Vec<_>>(),
        [("over_rate", 1), ("status 500", 1)]
    );
    assert_eq!((reading.lines, reading.broken, reading.first_broken), (6, 2, Some(8)));
}

#[test]
fn the_way_of_a_request_shows_what_its_entry_believed_and_how_it_ended() {
    let mut way = Way::open(Subject::Request("r2".into()));
    read_text(LOG.as_bytes(), |line| way.take(line));
    let text = way.text();
    assert!(text.contains("the store is not reached"), "{text}");
    assert!(text.contains("claim=\"call\""), "{text}");
    assert!(text.ends_with("ended: refused, over_rate; over the rate"), "{text}");
    assert!(!text.contains("entry-b"), "{text}");
}

#[test]
fn the_way_of_a_program_shows_its_requests_in_order() {
    let mut way = Way::open(Subject::Program("p2".into()));
    read_text(LOG.as_bytes(), |line| way.take(line));
    let lines = way.json()["lines"].as_array().map(Vec::len);
    assert_eq!(lines, Some(2));
    assert!(way.text().ends_with("ended: answered with status 500"), "{}", way.text());
}

#[test]
fn an_unknown_id_has_no_way() {
    let mut way = Way::open(Subject::Request("nobody".into()));
    read_text(LOG.as_bytes(), |line| way.take(line));
    assert!(way.is_empty());
}

// A collector joined a torn file to another: a line without an end is megabytes long. Read whole, it
// would fill the memory; and the lines behind it count.
#[test]
fn an_endless_line_is_passed_over() {
    let mut text = vec![b'{'; 1 << 20];
    text.extend_from_slice(LOG.as_bytes());
    let mut lines = 0;
    read_text(&text, |_| lines += 1);
    assert_eq!(lines, 6);
}

#[test]
fn a_plot_shows_each_cause() {
    let mut lost = Lost::default();
    read_text(LOG.as_bytes(), |line| lost.take(&line));
    let path = std::env::temp_dir().join(format!("trefoil-plot-{}.svg", std::process::id()));
    plot(&lost, &path).expect("it is written");
    let svg = std::fs::read_to_string(&path).expect("it is there");
    std::fs::remove_file(&path).expect("it is removed");
    for name in ["late", "over_rate", "status 500"] {
        assert!(svg.contains(name), "{name}");
    }
}

proptest! {
    // Logs are read from wherever a collector left them: whatever the bytes, nothing panics, and every
    // line is counted once.
    #[test]
    fn any_bytes_are_read(bytes in proptest::collection::vec(any::<u8>(), 0..2_000), cut in 0..900_usize) {
        let mut text = LOG.as_bytes()[..cut.min(LOG.len())].to_vec();
        text.extend(bytes);
        let mut lost = Lost::default();
        let mut way = Way::open(Subject::Program("p1".into()));
        let reading = read_text(&text, |line| {
            lost.take(&line);
            way.take(line);
        });
        let ends = text.iter().filter(|byte| **byte == b'\n').count() as u64;
        let open = u64::from(text.last().is_some_and(|byte| *byte != b'\n'));
        prop_assert_eq!(reading.lines + reading.without_object + reading.broken, ends + open);
        drop((lost.text(&reading), lost.json(&reading), way.text(), way.json()));
    }
}
