use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

use crate::ctl::{CtlError, Output};
use crate::explain::{LogLine, LossReport, ReadStats, Subject, Timeline, plot, read_lines};

/// Reads logs (standard input if none is given) once, line by line, and shows the timeline of a
/// request or program, or the report of lost requests.
pub(super) fn explain(
    subject: Option<&Subject>,
    logs: &[String],
    plot_path: Option<&str>,
) -> Result<Output, CtlError> {
    match subject {
        Some(subject) => timeline(subject, logs),
        None => lost_requests(logs, plot_path),
    }
}

fn timeline(subject: &Subject, logs: &[String]) -> Result<Output, CtlError> {
    let mut timeline = Timeline::new(subject.clone());
    let stats = read_all(logs, |line| timeline.record(line))?;
    if timeline.is_empty() {
        let (Subject::Request(id) | Subject::Program(id)) = subject;
        return Err(CtlError::NotInLogs { id: id.clone(), lines: stats.lines });
    }
    Ok(Output { text: timeline.text(), json: timeline.json() })
}

fn lost_requests(logs: &[String], plot_path: Option<&str>) -> Result<Output, CtlError> {
    let mut report = LossReport::default();
    let stats = read_all(logs, |line| report.record(&line))?;
    if let Some(path) = plot_path {
        plot(&report, Path::new(path)).map_err(CtlError::Plot)?;
    }
    Ok(Output { text: report.text(&stats), json: report.json(&stats) })
}

fn read_all(logs: &[String], mut on_line: impl FnMut(LogLine)) -> Result<ReadStats, CtlError> {
    let mut stats = ReadStats::default();
    let read_error = |path: &str, fault: io::Error| CtlError::File {
        path: path.to_string(),
        fault: fault.kind(),
    };
    if logs.is_empty() {
        let mut input = io::stdin().lock();
        read_lines(&mut input, &mut stats, &mut on_line)
            .map_err(|fault| read_error("standard input", fault))?;
    }
    for path in logs {
        let file = File::open(path).map_err(|fault| read_error(path, fault))?;
        read_lines(&mut BufReader::new(file), &mut stats, &mut on_line)
            .map_err(|fault| read_error(path, fault))?;
    }
    Ok(stats)
}
