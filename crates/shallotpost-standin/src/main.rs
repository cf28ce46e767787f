//! `shallotpost-standin`: the platform and any number of workers in one process.

use std::env;
use std::fs;

use eyre::{Result, WrapErr, eyre};
use getopts::Options;
use shallotpost_standin::settings::{Fleet, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const EXAMPLE: &str = r#"
Example settings file:
  {
    "platform": "127.0.0.1:7100",
    "list_lag_ms": 2000,
    "workers": [
      {"worker": "kochi-1", "address": "127.0.0.1:7201", "data_centre": "kochi", "rack": "r1",
       "capacity": {"processors_milli": 16000, "memory_mib": 65536, "accelerators": 0, "slots": 8}}
    ]
  }

Example:
  shallotpost-standin --settings standin.json
  curl -d '{"leaving": true}' http://127.0.0.1:7201/fault
  curl -d '{"lose_after_effect": 3}' http://127.0.0.1:7100/fault
"#;

fn main() -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file in JSON", "FILE");
    options.optflag("h", "help", "print this help");
    let arguments = options.parse(env::args().skip(1))?;
    if arguments.opt_present("help") {
        let brief = "Usage: shallotpost-standin --settings FILE\n\nEmulates the platform and the workers until SIGINT or SIGTERM.";
        println!("{}{EXAMPLE}", options.usage(brief));
        return Ok(());
    }
    let path = arguments.opt_str("settings").ok_or_else(|| {
        eyre!("no settings file is given; use --settings, see --help for an example")
    })?;
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let settings: Settings = serde_json::from_str(&text)
        .wrap_err_with(|| format!("cannot parse {path}; see --help for an example"))?;
    // The signal handlers are installed before anything listens, so that an early signal is not lost.
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let fleet = Fleet::start(&settings).wrap_err("cannot listen on an address of the settings")?;
    println!("platform {}", fleet.platform.address());
    fleet.workers.iter().for_each(|worker| println!("worker {}", worker.address()));
    signals.forever().next();
    Ok(())
}
