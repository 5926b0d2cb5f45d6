use std::io::Read as _;

use super::*;

/// More than a pipe holds.
const BYTES_BEFORE_EXIT: usize = 256 * 1024;

/// Lines up to [`BYTES_BEFORE_EXIT`].
fn lines_before_exit() -> LineBuffer {
    let mut lines = LineBuffer::default();
    let line = format!("{}\n", "x".repeat(1_023));
    (0..BYTES_BEFORE_EXIT / line.len()).for_each(|_| lines.push(&line));
    lines
}

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

// The reader of standard output was behind when a process exited. What the pipe did not hold was lost, the
// line among it that tells which requests the process left unanswered.
#[test]
fn all_lines_are_written_before_the_exit_if_the_reader_takes_them() {
    let (mut reader, mut writer) = std::io::pipe().expect("a pipe");
    let mut lines = lines_before_exit();
    lines.dropped = 3;
    lines.write(&mut writer);
    assert!(!lines.buffer.is_empty(), "the pipe is full");
    let reading = std::thread::spawn(move || {
        let mut read = Vec::new();
        reader.read_to_end(&mut read).map(|_| read)
    });
    lines.write_all(&mut writer, Duration::from_secs(60));
    drop(writer);
    let read = reading.join().expect("no panic").expect("read");
    assert!(read.len() > BYTES_BEFORE_EXIT, "{} bytes", read.len());
    assert!(read.ends_with(b"\"lines\":3}\n"), "the number of dropped lines is the last line");
}

// An exit must not wait for a reader that takes nothing: the process would be killed.
#[test]
fn an_exit_does_not_wait_long_for_a_reader_that_takes_nothing() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    let mut lines = lines_before_exit();
    lines.write_all(&mut writer, Duration::from_millis(20));
    assert!(!lines.buffer.is_empty());
}
