//! `shallotpost`, the command-line tool of callers and operators.

use std::env;
use std::io;
use std::process::ExitCode;

use shallotpost_cli::{Environment, Error, execute};

fn main() -> ExitCode {
    let arguments: Vec<String> =
        env::args_os().skip(1).map(|argument| argument.to_string_lossy().into_owned()).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(&report, asks_for_json(&arguments)),
    }
}

fn run(arguments: &[String]) -> eyre::Result<()> {
    execute(arguments, &Environment::from_process(), &mut io::stdout().lock())?;
    Ok(())
}

/// Whether `--json` is given; the command of submitted work, after `--`, does not count.
fn asks_for_json(arguments: &[String]) -> bool {
    arguments.iter().take_while(|argument| *argument != "--").any(|argument| argument == "--json")
}

/// Prints the failure to standard error and selects the exit code by its kind.
fn fail(report: &eyre::Report, json: bool) -> ExitCode {
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
