//! Daemon processes: start, signals, processor time and memory.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, eyre};
use serde_json::Value;
use shallotpost_daemon::daemon::Daemon;
use shallotpost_daemon::settings;
use signal_hook::consts::{SIGCONT, SIGKILL, SIGSTOP, SIGTERM};
use signal_hook::iterator::Signals;

/// Argument that makes the example act as one daemon.
pub const DAEMON_ARGUMENT: &str = "--daemon";

/// Starts of a program whose port was taken between the choice and the start.
const PORT_TRIES: usize = 5;

/// Time in which a program must listen.
const START_BOUND: Duration = Duration::from_secs(10);

/// Interval at which a starting program is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a daemon is started.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// This program acts as the daemon; see [`run_daemon`].
    Own,
    /// The daemon program with a settings file in this folder.
    Program {
        /// The program.
        path: PathBuf,
        /// Folder of the settings files.
        folder: PathBuf,
    },
}

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
    /// Starts a daemon and waits until it listens. The addresses in the settings are replaced by free ones.
    pub fn start(launcher: &Launcher, settings: &Value) -> eyre::Result<Process> {
        match launcher {
            Launcher::Own => Process::start_own(settings),
            Launcher::Program { path, folder } => {
                let mut last = None;
                for _ in 0..PORT_TRIES {
                    match Process::start_program(path, folder, settings) {
                        Ok(process) => return Ok(process),
                        Err(error) => last = Some(error),
                    }
                }
                Err(last.unwrap_or_else(|| eyre!("the daemon was not started")))
            }
        }
    }

    fn start_own(settings: &Value) -> eyre::Result<Process> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args([DAEMON_ARGUMENT, &settings.to_string()]);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take().ok_or_else(|| eyre!("the daemon has no output"))?;
        let mut http_address = String::new();
        BufReader::new(output).read_line(&mut http_address)?;
        let http_address = http_address.trim().to_owned();
        match http_address.is_empty() {
            true => bail!("the daemon did not start: {:?}", child.wait()?),
            false => Ok(Process { child, http_address }),
        }
    }

    /// Starts the program on ports that were free a moment ago. It exits at once where one of them was taken meanwhile.
    fn start_program(path: &PathBuf, folder: &PathBuf, settings: &Value) -> eyre::Result<Process> {
        let (http_address, peer_address) = free_addresses()?;
        let mut settings = settings.clone();
        settings["http_address"] = http_address.clone().into();
        settings["peer_address"] = peer_address.into();
        fs::create_dir_all(folder)?;
        let name = settings["host"].as_str().unwrap_or("host");
        let file = folder.join(format!("{name}-{}.json", std::process::id()));
        fs::write(&file, settings.to_string())?;
        let child = Command::new(path).arg("--settings").arg(&file).stdin(Stdio::null()).spawn()?;
        let mut process = Process { child, http_address };
        let started = process.await_start();
        // The program has read the file or has exited.
        let _ = fs::remove_file(&file);
        started.map(|()| process)
    }

    /// Waits until this process, and no other one, answers at its address.
    fn await_start(&mut self) -> eyre::Result<()> {
        let deadline = Instant::now() + START_BOUND;
        loop {
            let answers = answers(&self.http_address);
            match self.exit_status()? {
                Some(status) => bail!("the daemon exited at once with {status}"),
                None if answers => return Ok(()),
                None if Instant::now() >= deadline => {
                    bail!("the daemon does not listen after {START_BOUND:?}")
                }
                None => std::thread::sleep(POLL_INTERVAL),
            }
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

    /// How the process has exited; `None` while it runs.
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
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

/// Two addresses that nobody listens at.
fn free_addresses() -> eyre::Result<(String, String)> {
    let listeners = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    Ok((listeners.0.local_addr()?.to_string(), listeners.1.local_addr()?.to_string()))
}

/// Whether a daemon answers `GET /healthz` with success at this address.
fn answers(address: &str) -> bool {
    let exchange = || -> std::io::Result<[u8; 12]> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(START_BOUND))?;
        write!(stream, "GET /healthz HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head)
    };
    exchange().is_ok_and(|head| head.ends_with(b" 200"))
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
