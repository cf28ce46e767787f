//! Command line of the daemon `shallotpostd`.

use std::path::Path;
use std::process::ExitCode;

use eyre::{WrapErr, eyre};
use getopts::Options;
use shallotpost_daemon::daemon::Daemon;
use shallotpost_daemon::fleet;
use shallotpost_daemon::settings::{check, format_faults};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code if the settings file has faults.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("shallotpostd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file (JSON)", "FILE");
    options.optflag("", "fleet", "run an entry host of a job fleet on the prepared platform");
    options.optflag("c", "check", "check the settings file, list every fault, and exit");
    options.optflag("h", "help", "show this help");
    options
}

fn run(arguments: &[String]) -> eyre::Result<ExitCode> {
    let options = options();
    let matches = options.parse(arguments).wrap_err("see `shallotpostd --help`")?;
    if matches.opt_present("help") {
        let brief = "Usage: shallotpostd --settings FILE [--fleet] [--check]\n\nExample: shallotpostd --settings host-a.json";
        print!("{}", options.usage(brief));
        return Ok(ExitCode::SUCCESS);
    }
    let path = matches
        .opt_str("settings")
        .ok_or_else(|| eyre!("name a settings file with --settings FILE"))?;
    if matches.opt_present("fleet") {
        return run_fleet(Path::new(&path), matches.opt_present("check"));
    }
    match check(Path::new(&path)) {
        Err(faults) => {
            eprintln!("{}", format_faults(Path::new(&path), &faults));
            Ok(ExitCode::from(EXIT_INVALID_SETTINGS))
        }
        Ok(_) if matches.opt_present("check") => {
            println!("{path}: no faults");
            Ok(ExitCode::SUCCESS)
        }
        Ok(settings) => {
            let mut signals =
                Signals::new([SIGTERM, SIGINT]).wrap_err("the signal handlers cannot be set up")?;
            let daemon = Daemon::start(&settings)?;
            let handle = signals.handle();
            let stop_handle = daemon.stop_handle();
            std::thread::spawn(move || signals.forever().for_each(|_| stop_handle()));
            daemon.join()?;
            handle.close();
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_fleet(path: &Path, check_only: bool) -> eyre::Result<ExitCode> {
    match fleet::settings::read(path) {
        Err(faults) => {
            eprintln!("{}: {faults}", path.display());
            Ok(ExitCode::from(EXIT_INVALID_SETTINGS))
        }
        Ok(_) if check_only => {
            println!("{}: no faults", path.display());
            Ok(ExitCode::SUCCESS)
        }
        Ok(settings) => {
            fleet::run(settings)?;
            Ok(ExitCode::SUCCESS)
        }
    }
}
