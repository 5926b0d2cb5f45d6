use super::*;

#[test]
fn a_line_is_one_json_object_with_its_pairs() {
    let kvs = [("request", "a\"b\n")];
    let args = format_args!("refused");
    let record = Record::builder().args(args).level(Level::Info).key_values(&kvs).build();
    let line = compose(&record);
    assert!(line.ends_with("}\n") && line.trim_end().lines().count() == 1);
    let parsed: serde_json::Value = serde_json::from_str(&line).expect("valid JSON");
    assert_eq!(parsed["msg"], "refused");
    assert_eq!(parsed["request"], "a\"b\n");
}

// Whoever reads the log stops reading. Waiting for it would hold every request up; keeping all lines
// would fill the memory. Lines are dropped, and the first that gets through says how many.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let mut lines = Lines::default();
    let line = format!("{}\n", "x".repeat(1_023));
    (0..1_000).for_each(|_| lines.add(&line));
    assert!(lines.waiting.len() <= WAITING_MOST_BYTES);
    let dropped = lines.dropped;
    assert_eq!(dropped, 1_000 - WAITING_MOST_BYTES as u64 / 1_024);
    lines.waiting.clear();
    lines.add(&line);
    let written: Vec<u8> = lines.waiting.into();
    let text = String::from_utf8(written).expect("ASCII");
    assert!(text.starts_with(&format!(
        "{{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"lines\":{dropped}}}"
    )));
}

#[test]
fn numbers_and_truths_stay_what_they_are() {
    let pairs = [("share", Value::from(0.5)), ("known", Value::from(true))];
    let arguments = format_args!("told");
    let record = Record::builder().args(arguments).key_values(&pairs).build();
    let parsed: serde_json::Value = serde_json::from_str(&compose(&record)).expect("JSON");
    assert_eq!((parsed["share"].as_f64(), parsed["known"].as_bool()), (Some(0.5), Some(true)));
}
