//! Starts daemon processes, sends signals to them, and reads their processor time and memory.

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

/// Argument that makes an example run as a daemon; see [`run_daemon`].
pub const DAEMON_ARGUMENT: &str = "--daemon";

/// Maximum number of attempts to start a program. A chosen port may be taken before the program binds it.
const START_ATTEMPTS_MAX: usize = 5;

/// Timeout for a started program to answer.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Polling interval while a program starts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Way to start a daemon.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// Runs the current executable with [`DAEMON_ARGUMENT`].
    CurrentExecutable,
    /// Runs the daemon program with a settings file.
    Program {
        path: PathBuf,
        /// Folder in which the settings files are written.
        folder: PathBuf,
    },
}

/// Clock ticks per second of `/proc/<pid>/stat`, fixed on Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal to a daemon.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM: starts a graceful shutdown.
    Stop,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGKILL.
    Kill,
}

/// A daemon process, which is killed on drop.
pub struct Process {
    child: Child,
    /// Address of the HTTP interface, `ip:port`.
    pub http_address: String,
}

impl Process {
    /// Starts a daemon and waits until it listens. The addresses in the settings are replaced with free ones.
    pub fn start(launcher: &Launcher, settings: &Value) -> eyre::Result<Process> {
        match launcher {
            Launcher::CurrentExecutable => Process::start_current_executable(settings),
            Launcher::Program { path, folder } => {
                let mut last_error = None;
                for _ in 0..START_ATTEMPTS_MAX {
                    match Process::start_program(path, folder, settings) {
                        Ok(process) => return Ok(process),
                        Err(error) => last_error = Some(error),
                    }
                }
                Err(last_error.unwrap_or_else(|| eyre!("the daemon was not started")))
            }
        }
    }

    fn start_current_executable(settings: &Value) -> eyre::Result<Process> {
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

    /// Starts the program on ports that were free when chosen. The program exits immediately if a port has been taken since.
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
        let start_result = process.await_start();
        // By now the program has read the file or exited.
        let _ = fs::remove_file(&file);
        start_result.map(|()| process)
    }

    /// Waits until the process answers at its address. The exit status is checked after each probe, so that an answer of
    /// another process on the same port does not count.
    fn await_start(&mut self) -> eyre::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let healthy = is_healthy(&self.http_address);
            match self.exit_status()? {
                Some(status) => bail!("the daemon exited at once with {status}"),
                None if healthy => return Ok(()),
                None if Instant::now() >= deadline => {
                    bail!("the daemon does not listen after {START_TIMEOUT:?}")
                }
                None => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    pub fn signal(&mut self, signal: Signal) -> eyre::Result<()> {
        let signal_number = match signal {
            Signal::Stop => SIGTERM,
            Signal::Pause => SIGSTOP,
            Signal::Resume => SIGCONT,
            Signal::Kill => SIGKILL,
        };
        let status = Command::new("kill")
            .args([format!("-{signal_number}"), self.child.id().to_string()])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => bail!("{signal:?} could not be sent to process {}", self.child.id()),
        }
    }

    /// Waits until a killed process has exited.
    pub fn reap(&mut self) -> eyre::Result<()> {
        self.child.wait().map(|_| ()).wrap_err("the process cannot be waited for")
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Returns the processor time that the process has used.
    pub fn processor_time(&self) -> eyre::Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
        // User and system time are fields 12 and 13 after the name (14 and 15 in proc(5)).
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
    }

    /// Returns the resident memory, in MiB.
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
        // Both calls fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns two loopback addresses with unused ports.
fn free_addresses() -> eyre::Result<(String, String)> {
    let listeners = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    Ok((listeners.0.local_addr()?.to_string(), listeners.1.local_addr()?.to_string()))
}

/// Returns whether `GET /healthz` succeeds at this address.
fn is_healthy(address: &str) -> bool {
    let exchange = || -> std::io::Result<[u8; 12]> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(START_TIMEOUT))?;
        write!(stream, "GET /healthz HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head)
    };
    exchange().is_ok_and(|head| head.ends_with(b" 200"))
}

/// Prints the HTTP address of a daemon and runs it until SIGTERM.
pub fn run_daemon(text: &str) -> eyre::Result<()> {
    let mut settings = settings::parse(text).map_err(|faults| eyre!("{faults:#?}"))?;
    // `parse` rejects port 0, because peers could not connect to it. Here the actual port is printed.
    settings.http_address = "127.0.0.1:0".to_owned();
    settings.peer_address = "127.0.0.1:0".to_owned();
    let mut signals = Signals::new([SIGTERM])?;
    let daemon = Daemon::start(&settings)?;
    println!("{}", daemon.http_address());
    std::io::stdout().flush()?;
    let stop_handle = daemon.stop_handle();
    std::thread::spawn(move || signals.forever().for_each(|_| stop_handle()));
    daemon.join()
}
