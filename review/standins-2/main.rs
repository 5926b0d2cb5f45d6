//! Runs one case of the review: `review-2 CASE RECORD`, in the project's root. Without `TROUBLE=0`
//! the case's disruption happens. Exits with 1 if the rule was broken, with 0 if it held, and with 2
//! if the case couldn't run.

mod cases;
mod http;
mod json;
mod machine;
mod record;
mod replica;
mod store;
mod world;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::open(path) {
        Ok(record) => record,
        Err(fault) => {
            eprintln!("{path}: {fault}");
            return ExitCode::from(2);
        }
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = match case.as_str() {
        "lost-parent" => cases::lost_parent::run,
        "false-402" => cases::false_402::run,
        "innocent" => cases::innocent::run,
        "late-record" => cases::late_record::run,
        "poison" => cases::poison::run,
        _ => {
            eprintln!("{case}: no such case");
            return ExitCode::from(2);
        }
    };
    match run(record.clone(), is_disrupted) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(fault) => {
            record.say(&format!("the case could not run: {fault}"));
            ExitCode::from(2)
        }
    }
}
