//! Experiments on trefoilproxy's routing, scheduling, load shedding and rate limits. Each prints a table;
//! seeds are fixed.

mod dissemination;
mod engines;
mod policies;
mod programs;
mod random;
mod rates;
mod slopes;
mod tables;

use std::process::ExitCode;

const USAGE: &str =
    "Usage: trefoil-lab rates|programs|policies|overload|flood|dissemination|slopes";

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("rates") => rates::run(),
        Some("programs") => programs::run(),
        Some("policies") => tables::run(),
        Some("overload") => tables::overload(),
        Some("flood") => tables::flood(),
        Some("dissemination") => dissemination::run(),
        Some("slopes") => slopes::run(),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
