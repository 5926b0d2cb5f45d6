use super::*;

#[test]
fn line_is_one_json_object_with_its_key_values() {
    let kvs = [("request", "a\"b\n")];
    let args = format_args!("refused");
    let record = Record::builder().args(args).level(Level::Info).key_values(&kvs).build();
    let line = format_line(&record);
    assert!(line.ends_with("}\n") && line.trim_end().lines().count() == 1);
    let parsed: serde_json::Value = serde_json::from_str(&line).expect("valid JSON");
    assert_eq!(parsed["msg"], "refused");
    assert_eq!(parsed["request"], "a\"b\n");
}

// The reader of standard output stops reading. Waiting for it would delay all requests, and
// buffering all lines would exhaust memory. Lines beyond the limit must be dropped, and the next
// buffered line must be preceded by a notice with their number.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let mut lines = LineBuffer::default();
    let line = format!("{}\n", "x".repeat(1_023));
    (0..1_000).for_each(|_| lines.push(&line));
    assert!(lines.buffer.len() <= MAX_BUFFERED_BYTES);
    let dropped = lines.dropped;
    assert_eq!(dropped, 1_000 - MAX_BUFFERED_BYTES as u64 / 1_024);
    lines.buffer.clear();
    lines.push(&line);
    let written: Vec<u8> = lines.buffer.into();
    let text = String::from_utf8(written).expect("ASCII");
    assert!(text.starts_with(&format!(
        "{{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"lines\":{dropped}}}"
    )));
}

#[test]
fn numbers_and_booleans_keep_their_json_types() {
    let pairs = [("share", Value::from(0.5)), ("known", Value::from(true))];
    let arguments = format_args!("told");
    let record = Record::builder().args(arguments).key_values(&pairs).build();
    let parsed: serde_json::Value = serde_json::from_str(&format_line(&record)).expect("JSON");
    assert_eq!((parsed["share"].as_f64(), parsed["known"].as_bool()), (Some(0.5), Some(true)));
}
