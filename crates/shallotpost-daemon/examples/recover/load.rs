//! A bounded load of submissions, and the account of what became of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use shallotpost_cli::Error;
use shallotpost_cli::client::{Call, Client};
use shallotpost_cli::secret::Key as Credential;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::work::{Class, Ending, Outcome, Specification};

use crate::cluster::{Cluster, TEAM_KEY, job, submission};

/// Threads that submit.
const THREADS: u32 = 16;

/// Time within which accepted work must have ended once the load is over.
const END_BOUND: Duration = Duration::from_secs(40);

/// Commands of the jobs: a short and a long one.
const COMMANDS: [&[&str]; 2] = [&["run", "100"], &["run", "1500"]];

/// What became of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    /// Refused with the statement that it was not run.
    NotRun,
    /// Refused or unreachable without such a statement.
    Refused,
    /// The connection broke before the answer.
    Cut,
}

/// The account of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Submissions that were accepted.
    pub accepted: usize,
    /// Accepted work without a known end.
    pub lost: usize,
    /// Non-idempotent work that was started more than once.
    pub doubled: usize,
    /// Work that ran although it was refused as not run.
    pub refused_but_run: usize,
    /// Accepted work that ended as unknown.
    pub unknown: usize,
    /// Requests whose connection broke before the answer.
    pub cut: usize,
}

/// Starts loads on a cluster.
pub struct Load {
    servers: Vec<String>,
}

/// A service that was submitted.
pub struct Service {
    id: String,
    replicas: u32,
}

/// A load that runs in the background.
pub struct Running {
    threads: Vec<JoinHandle<Vec<(Specification, Answer)>>>,
}

impl Load {
    /// Loads through all hosts that run now.
    pub fn new(cluster: &Cluster) -> Load {
        Load { servers: cluster.servers() }
    }

    /// Submits a service.
    pub fn submit_service(&self, id: &str, replicas: u32) -> eyre::Result<Service> {
        let specification =
            Specification { class: Class::Service { replicas }, ..job(id, &["serve"], true) };
        let client = client(self.servers.clone())?;
        let call = submission(&specification);
        crate::cluster::repeat(|| client.send(&call))?;
        Ok(Service { id: id.to_owned(), replicas })
    }

    /// Submits jobs at this rate for this long, half of them not idempotent.
    pub fn start(&mut self, label: &str, rate: u32, period: Duration) -> Running {
        let stop = Arc::new(AtomicBool::new(false));
        let end = Instant::now() + period;
        let pause = Duration::from_secs(1) * THREADS / rate;
        let threads = (0..THREADS).map(|thread| {
            let (label, servers, stop) =
                (format!("{label}-{thread}"), self.servers.clone(), Arc::clone(&stop));
            thread::spawn(move || submit_all(&label, thread as usize, &servers, pause, end, &stop))
        });
        Running { threads: threads.collect() }
    }
}

impl Service {
    /// Waits until every replica runs.
    pub fn await_running(&self, cluster: &Cluster, bound: Duration) -> eyre::Result<()> {
        let deadline = Instant::now() + bound;
        while cluster.running(&self.id) < self.replicas as usize {
            ensure!(
                Instant::now() < deadline,
                "{} of {} replicas run",
                cluster.running(&self.id),
                self.replicas
            );
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Running {
    /// Waits for the end of the load and of all accepted work.
    pub fn finish(self, cluster: &Cluster) -> eyre::Result<Summary> {
        let mut submissions = Vec::new();
        for thread in self.threads {
            submissions
                .extend(thread.join().map_err(|_| eyre!("a submitting thread has panicked"))?);
        }
        let client = cluster.client(TEAM_KEY)?;
        let deadline = Instant::now() + END_BOUND;
        let mut summary = Summary::default();
        for (specification, answer) in &submissions {
            match answer {
                Answer::Accepted => {
                    summary.accepted += 1;
                    let outcome = outcome(&client, specification, deadline);
                    match outcome.as_ref().map(|outcome| outcome.ending) {
                        Some(Ending::Succeeded) => {}
                        Some(Ending::Unknown) => summary.unknown += 1,
                        _ => summary.lost += 1,
                    }
                    if let Some(outcome) =
                        outcome.filter(|outcome| outcome.ending != Ending::Succeeded)
                    {
                        eprintln!("{}: {}: {}", specification.id, outcome.ending, outcome.detail);
                    }
                }
                Answer::Cut => summary.cut += 1,
                Answer::NotRun | Answer::Refused => {}
            }
        }
        let starts = cluster.starts();
        let started =
            |specification: &Specification| starts.get(&specification.id).copied().unwrap_or(0);
        for (specification, answer) in &submissions {
            summary.doubled += usize::from(!specification.idempotent && started(specification) > 1);
            summary.refused_but_run +=
                usize::from(*answer == Answer::NotRun && started(specification) > 0);
        }
        Ok(summary)
    }
}

fn client(servers: Vec<String>) -> eyre::Result<Client> {
    let credential = Credential::parse(TEAM_KEY).ok_or_else(|| eyre!("not a key"))?;
    Ok(Client::new(servers, Some(credential)))
}

fn submit_all(
    label: &str,
    thread: usize,
    servers: &[String],
    pause: Duration,
    end: Instant,
    stop: &AtomicBool,
) -> Vec<(Specification, Answer)> {
    let clients: Vec<Client> =
        servers.iter().filter_map(|server| client(vec![server.clone()]).ok()).collect();
    let mut submissions = Vec::new();
    let mut next = Instant::now();
    while Instant::now() < end && !stop.load(Ordering::Relaxed) {
        let count = submissions.len();
        let specification =
            job(&format!("{label}-{count}"), COMMANDS[count / 4 % 2], count.is_multiple_of(2));
        let answer = submit(&clients[(thread + count) % clients.len()], &specification);
        submissions.push((specification, answer));
        next += pause;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    submissions
}

fn submit(client: &Client, specification: &Specification) -> Answer {
    match client.send(&submission(specification)) {
        Ok(_) => Answer::Accepted,
        Err(Error::Problem { problem, .. }) if problem.not_run => Answer::NotRun,
        Err(Error::Problem { .. } | Error::Unreachable { .. }) => Answer::Refused,
        Err(_) => Answer::Cut,
    }
}

/// The outcome of the work; `None` where it has none before the deadline.
fn outcome(client: &Client, specification: &Specification, deadline: Instant) -> Option<Outcome> {
    let path = format!("/v1/work/{}/wait", specification.work_id());
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        match client.send(&Call::get(path.clone()).waiting(left.min(Duration::from_secs(5)))) {
            Ok(Reply::Outcome(outcome)) => return Some(outcome),
            Err(Error::Problem { problem, .. }) if problem.kind == Kind::NotFound => return None,
            _ if left.is_zero() => return None,
            _ => {}
        }
    }
}
