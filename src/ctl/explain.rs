use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

use crate::ctl::{CtlError, Output};
use crate::explain::{LogLine, Lost, Reading, Subject, Way, plot, read};

/// Shows what logs tell of a request or a program, or what was lost. Logs are read once, a line at a time.
pub(super) fn explain(
    subject: Option<&Subject>,
    logs: &[String],
    plot_path: Option<&str>,
) -> Result<Output, CtlError> {
    match subject {
        Some(subject) => way(subject, logs),
        None => lost(logs, plot_path),
    }
}

fn way(subject: &Subject, logs: &[String]) -> Result<Output, CtlError> {
    let mut way = Way::open(subject.clone());
    let reading = read_all(logs, |line| way.take(line))?;
    if way.is_empty() {
        let (Subject::Request(id) | Subject::Program(id)) = subject;
        return Err(CtlError::NotInLogs { id: id.clone(), lines: reading.lines });
    }
    Ok(Output { text: way.text(), json: way.json() })
}

fn lost(logs: &[String], plot_path: Option<&str>) -> Result<Output, CtlError> {
    let mut lost = Lost::default();
    let reading = read_all(logs, |line| lost.take(&line))?;
    if let Some(path) = plot_path {
        plot(&lost, Path::new(path)).map_err(CtlError::Plot)?;
    }
    Ok(Output { text: lost.text(&reading), json: lost.json(&reading) })
}

fn read_all(logs: &[String], mut pass: impl FnMut(LogLine)) -> Result<Reading, CtlError> {
    let mut reading = Reading::default();
    let failed = |path: &str, fault: io::Error| CtlError::File {
        path: path.to_string(),
        fault: fault.kind(),
    };
    if logs.is_empty() {
        let mut input = io::stdin().lock();
        read(&mut input, &mut reading, &mut pass)
            .map_err(|fault| failed("standard input", fault))?;
    }
    for path in logs {
        let file = File::open(path).map_err(|fault| failed(path, fault))?;
        read(&mut BufReader::new(file), &mut reading, &mut pass)
            .map_err(|fault| failed(path, fault))?;
    }
    Ok(reading)
}
