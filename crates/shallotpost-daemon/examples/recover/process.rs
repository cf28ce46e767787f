//! Daemon processes: start, signals, processor time and memory.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{WrapErr, bail, eyre};
use shallotpost_daemon::daemon::Daemon;
use shallotpost_daemon::settings;
use signal_hook::consts::{SIGCONT, SIGKILL, SIGSTOP, SIGTERM};
use signal_hook::iterator::Signals;

use crate::DAEMON_ARGUMENT;

/// Clock ticks per second of `/proc/<pid>/stat`, fixed on Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal to a daemon.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Graceful shutdown.
    Stop,
    /// Pause the process.
    Pause,
    /// Resume it.
    Resume,
    /// End it at once.
    Kill,
}

/// One daemon process.
pub struct Process {
    child: Child,
    /// `ip:port` of its HTTP interface.
    pub http_address: String,
}

impl Process {
    /// Starts this program as a daemon and waits until it listens.
    pub fn start(settings: &str) -> eyre::Result<Process> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args([DAEMON_ARGUMENT, settings]).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let output = child.stdout.take().ok_or_else(|| eyre!("the daemon has no output"))?;
        let mut http_address = String::new();
        BufReader::new(output).read_line(&mut http_address)?;
        let http_address = http_address.trim().to_owned();
        match http_address.is_empty() {
            true => bail!("the daemon did not start: {:?}", child.wait()?),
            false => Ok(Process { child, http_address }),
        }
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) -> eyre::Result<()> {
        let number = match signal {
            Signal::Stop => SIGTERM,
            Signal::Pause => SIGSTOP,
            Signal::Resume => SIGCONT,
            Signal::Kill => SIGKILL,
        };
        let status = Command::new("kill")
            .args([format!("-{number}"), self.child.id().to_string()])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => bail!("{signal:?} could not be sent to process {}", self.child.id()),
        }
    }

    /// Waits for the exit of a killed process.
    pub fn reap(&mut self) -> eyre::Result<()> {
        self.child.wait().map(|_| ()).wrap_err("the process cannot be waited for")
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Processor time so far.
    pub fn processor_time(&self) -> eyre::Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
        // After the name, user and system time are fields 12 and 13 (proc(5) counts them as 14 and 15).
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
    }

    /// Resident memory, in MiB.
    pub fn memory_mib(&self) -> eyre::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kib.map(|kib| kib / 1024.0)
            .ok_or_else(|| eyre!("no resident size of process {}", self.child.id()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has exited already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs one daemon until SIGTERM; prints its HTTP address first.
pub fn run_daemon(text: &str) -> eyre::Result<()> {
    let mut settings = settings::parse(text).map_err(|faults| eyre!("{faults:#?}"))?;
    // A settings file may not name port 0, because peers could not connect; here the real port is announced.
    settings.http_address = "127.0.0.1:0".to_owned();
    settings.peer_address = "127.0.0.1:0".to_owned();
    let mut signals = Signals::new([SIGTERM])?;
    let daemon = Daemon::start(&settings)?;
    println!("{}", daemon.http_address());
    std::io::stdout().flush()?;
    let stopper = daemon.stopper();
    std::thread::spawn(move || signals.forever().for_each(|_| stopper()));
    daemon.join()
}
