//! The daemon. Its first argument selects the role: an entry, or the process that runs beside an
//! endpoint.

use std::process::ExitCode;

use trefoilproxy::daemon::DaemonError;
use trefoilproxy::settings::{EndpointSettings, EntrySettings, Reader, SettingsError};
use trefoilproxy::telemetry::{WriteMode, start_logs, start_metrics};
use trefoilproxy::{endpoint, entry};

const EXIT_USAGE: u8 = 2;
const BRIEF: &str = "Usage: trefoilproxyd entry|endpoint [--FLAG VALUE ...]\n\nEach flag can also \
                     be set by an environment variable: --vm-list by TREFOIL_VM_LIST.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (role, flags) = match args.split_first() {
        Some((role, flags)) => (role.as_str(), flags),
        None => ("", &[][..]),
    };
    let help = flags.iter().any(|flag| flag == "--help" || flag == "-h");
    match role {
        "entry" if help => print_and_exit(&Reader::usage(EntrySettings::ALL, BRIEF)),
        "endpoint" if help => print_and_exit(&Reader::usage(EndpointSettings::ALL, BRIEF)),
        "entry" => match EntrySettings::read(flags, env) {
            Ok(settings) => {
                run(settings.process.log_level, |metrics| entry::run(settings, metrics))
            }
            Err(fault) => usage_error(&fault),
        },
        "endpoint" => match EndpointSettings::read(flags, env) {
            Ok(settings) => {
                run(settings.process.log_level, |metrics| endpoint::run(settings, metrics))
            }
            Err(fault) => usage_error(&fault),
        },
        "--version" => print_and_exit(env!("CARGO_PKG_VERSION")),
        "--help" | "-h" => print_and_exit(BRIEF),
        _ => {
            eprintln!("trefoilproxyd: the role must be entry or endpoint, got {role:?}");
            eprintln!("{BRIEF}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn print_and_exit(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn usage_error(fault: &SettingsError) -> ExitCode {
    eprintln!("trefoilproxyd: {fault}");
    ExitCode::from(EXIT_USAGE)
}

fn run<F>(
    log_level: &str,
    start_role: impl FnOnce(trefoilproxy::telemetry::Metrics) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), DaemonError>>,
{
    if let Err(fault) = start_logs(log_level, WriteMode::EachLine) {
        eprintln!("trefoilproxyd: cannot start logging: {fault}");
        return ExitCode::FAILURE;
    }
    let metrics = match start_metrics() {
        Ok(metrics) => metrics,
        Err(fault) => return fail(&fault),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(fault) => return fail(&fault),
    };
    match runtime.block_on(start_role(metrics)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault),
    }
}

fn fail(fault: &dyn std::error::Error) -> ExitCode {
    log::error!("{fault}");
    ExitCode::FAILURE
}
