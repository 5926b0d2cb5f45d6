//! The operators' tool: see `trefoilctl --help`.

use std::process::ExitCode;

use trefoilproxy::ctl::{CtlError, Invocation, run, usage};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let invocation = match Invocation::parse(&args, |name| std::env::var(name).ok()) {
        Ok(Some(invocation)) => invocation,
        Ok(None) => {
            println!("{}", usage());
            return ExitCode::SUCCESS;
        }
        Err(fault) => return fail(&fault, false),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("trefoilctl: cannot start the async runtime: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&invocation, || std::io::read_to_string(std::io::stdin()))) {
        Ok(output) if invocation.json => println!("{}", output.json),
        Ok(output) => println!("{}", output.text),
        Err(fault) => return fail(&fault, invocation.json),
    }
    ExitCode::SUCCESS
}

fn fail(fault: &CtlError, json: bool) -> ExitCode {
    if json {
        let error = serde_json::json!({ "code": fault.code(), "message": fault.to_string() });
        println!("{}", serde_json::json!({ "error": error }));
    } else {
        eprintln!("trefoilctl: {fault}");
    }
    ExitCode::from(fault.exit_code())
}
