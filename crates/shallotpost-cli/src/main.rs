//! `shallotpost`, the command-line tool for callers and operators.

use std::env;
use std::io;
use std::process::ExitCode;

use shallotpost_cli::{Environment, Error, execute};

fn main() -> ExitCode {
    let arguments: Vec<String> =
        env::args_os().skip(1).map(|argument| argument.to_string_lossy().into_owned()).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => print_failure(&report, is_json_requested(&arguments)),
    }
}

fn run(arguments: &[String]) -> eyre::Result<()> {
    execute(arguments, &Environment::from_process(), &mut io::stdout().lock())?;
    Ok(())
}

/// Returns whether `--json` is given. Arguments after `--` belong to the command of submitted work and do not count.
fn is_json_requested(arguments: &[String]) -> bool {
    arguments.iter().take_while(|argument| *argument != "--").any(|argument| argument == "--json")
}

/// Prints the failure to standard error and returns the exit code for its kind.
fn print_failure(report: &eyre::Report, json: bool) -> ExitCode {
    match report.downcast_ref::<Error>() {
        Some(error) => {
            eprintln!("{}", error.render(json));
            ExitCode::from(error.exit_code())
        }
        None => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
