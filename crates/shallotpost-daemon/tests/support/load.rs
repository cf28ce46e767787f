//! Submits jobs at a bounded rate and summarizes their outcomes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use shallotpost_cli::Error;
use shallotpost_cli::client::{Call, Client, Effect};
use shallotpost_cli::secret::Key as Credential;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::work::{Class, Ending, Outcome, Specification};

use super::cluster::{self, Cluster, TEAM_KEY, job, submission};

/// Number of threads that submit.
const SUBMITTER_THREADS: u32 = 16;

/// Timeout for the end of all accepted work after the end of the load.
const END_TIMEOUT: Duration = Duration::from_secs(40);

/// Commands of the short and the long jobs.
const COMMANDS: [&[&str]; 2] = [&["run", "100"], &["run", "1500"]];

/// Result of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmitResult {
    Accepted,
    /// Refused with `not_run`, or not sent.
    NotRun,
    /// Refused without `not_run`.
    Refused,
    /// The connection was lost before the answer.
    ConnectionLost,
}

impl SubmitResult {
    fn is_refusal(self) -> bool {
        matches!(self, SubmitResult::NotRun | SubmitResult::Refused)
    }
}

/// Summary of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Number of accepted submissions.
    pub accepted: usize,
    /// Accepted work that neither succeeded nor counts as `unknown`.
    pub lost: usize,
    /// Work that is not idempotent but was started more than once.
    pub started_twice: usize,
    /// Refused work that ran. Each id is submitted once, so no earlier submission can have admitted it.
    pub refused_but_run: usize,
    /// Accepted work that is not idempotent and whose outcome is unknown.
    pub unknown: usize,
    /// Number of refused submissions.
    pub refused: usize,
    /// Number of submissions whose connection was lost before the answer.
    pub connection_lost: usize,
}

/// Requests in flight at one entry host that wait for the end of work.
pub struct PendingRequests {
    threads: Vec<JoinHandle<Result<Reply, Error>>>,
    waiting: Arc<AtomicUsize>,
}

impl PendingRequests {
    /// Opens `count` requests. Each sends a short wait first, so that the host is known to answer, and then waits for `wait`.
    pub fn open(
        server: &str,
        work: &str,
        count: usize,
        wait: Duration,
    ) -> eyre::Result<PendingRequests> {
        let waiting = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        for _ in 0..count {
            let client = client(vec![server.to_owned()])?;
            let call = |wait| {
                let call = Call::get(format!("/v1/work/{work}/wait")).waiting(wait);
                // By default, the client reports a lost answer to a read like a request that was never sent.
                Call { effect: Effect::Idempotent, ..call }
            };
            let (first, second) = (call(Duration::from_millis(100)), call(wait));
            let waiting = Arc::clone(&waiting);
            threads.push(thread::spawn(move || {
                let _ = client.send(&first);
                waiting.fetch_add(1, Ordering::Relaxed);
                client.send(&second)
            }));
        }
        Ok(PendingRequests { threads, waiting })
    }

    /// Returns the number of requests that wait or are about to be sent.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose connection was lost before the answer, and the number of the others.
    pub fn finish(self) -> eyre::Result<(usize, usize)> {
        let (mut connection_lost, mut answered) = (0, 0);
        for thread in self.threads {
            match thread.join().map_err(|_| eyre!("a waiting thread has panicked"))? {
                Ok(_) | Err(Error::Problem { .. }) => answered += 1,
                Err(_) => connection_lost += 1,
            }
        }
        Ok((connection_lost, answered))
    }
}

/// Starts loads on a cluster.
pub struct Load {
    servers: Vec<String>,
}

/// A submitted service.
pub struct Service {
    id: String,
    replicas: u32,
}

/// A load that runs on background threads.
pub struct RunningLoad {
    threads: Vec<JoinHandle<Vec<(Specification, SubmitResult)>>>,
    stop: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
}

impl Load {
    /// Creates loads that use all hosts of the cluster.
    pub fn new(cluster: &Cluster) -> Load {
        Load { servers: cluster.servers() }
    }

    pub fn submit_service(&self, id: &str, replicas: u32) -> eyre::Result<Service> {
        let specification =
            Specification { class: Class::Service { replicas }, ..job(id, &["serve"], true) };
        let client = client(self.servers.clone())?;
        let call = submission(&specification);
        cluster::retry(|| client.send(&call))?;
        Ok(Service { id: id.to_owned(), replicas })
    }

    /// Starts to submit jobs for `period`, at `rate` per second over all threads. Half of the jobs are not idempotent.
    pub fn start(&mut self, label: &str, rate: u32, period: Duration) -> RunningLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let end = Instant::now() + period;
        let interval = Duration::from_secs(1) * SUBMITTER_THREADS / rate;
        let accepted = Arc::new(AtomicUsize::new(0));
        let threads = (0..SUBMITTER_THREADS).map(|thread| {
            let (label, servers) = (format!("{label}-{thread}"), self.servers.clone());
            let (stop, accepted) = (Arc::clone(&stop), Arc::clone(&accepted));
            let submitter = Submitter { label, thread: thread as usize, servers, interval, end };
            thread::spawn(move || submitter.submit_all(&stop, &accepted))
        });
        RunningLoad { threads: threads.collect(), stop, accepted }
    }
}

impl Service {
    /// Waits until every replica runs.
    pub fn await_running(&self, cluster: &Cluster, timeout: Duration) -> eyre::Result<()> {
        let deadline = Instant::now() + timeout;
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

impl RunningLoad {
    /// Returns the number of submissions accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Stops the load and waits for the end of all accepted work.
    pub fn stop(self, cluster: &Cluster) -> eyre::Result<Summary> {
        self.stop.store(true, Ordering::Relaxed);
        self.finish(cluster)
    }

    /// Waits for the end of the load and of all accepted work.
    pub fn finish(self, cluster: &Cluster) -> eyre::Result<Summary> {
        let mut submissions = Vec::new();
        for thread in self.threads {
            submissions
                .extend(thread.join().map_err(|_| eyre!("a submitting thread has panicked"))?);
        }
        let client = cluster.client(TEAM_KEY)?;
        let deadline = Instant::now() + END_TIMEOUT;
        let mut summary = Summary::default();
        for (specification, answer) in &submissions {
            match answer {
                SubmitResult::Accepted => {
                    summary.accepted += 1;
                    let outcome = await_outcome(&client, specification, deadline);
                    match outcome.as_ref().map(|outcome| outcome.ending) {
                        Some(Ending::Succeeded) => {}
                        Some(Ending::Unknown) if !specification.idempotent => summary.unknown += 1,
                        _ => summary.lost += 1,
                    }
                    if let Some(outcome) =
                        outcome.filter(|outcome| outcome.ending != Ending::Succeeded)
                    {
                        eprintln!("{}: {}: {}", specification.id, outcome.ending, outcome.detail);
                    }
                }
                SubmitResult::ConnectionLost => summary.connection_lost += 1,
                SubmitResult::NotRun | SubmitResult::Refused => summary.refused += 1,
            }
        }
        let starts = cluster.starts();
        let started =
            |specification: &Specification| starts.get(&specification.id).copied().unwrap_or(0);
        for (specification, answer) in &submissions {
            summary.started_twice +=
                usize::from(!specification.idempotent && started(specification) > 1);
            summary.refused_but_run +=
                usize::from(answer.is_refusal() && started(specification) > 0);
        }
        Ok(summary)
    }
}

fn client(servers: Vec<String>) -> eyre::Result<Client> {
    let credential = Credential::parse(TEAM_KEY).ok_or_else(|| eyre!("not a key"))?;
    Ok(Client::new(servers, Some(credential)))
}

/// State of one submitting thread.
struct Submitter {
    label: String,
    thread: usize,
    servers: Vec<String>,
    interval: Duration,
    end: Instant,
}

impl Submitter {
    fn submit_all(
        &self,
        stop: &AtomicBool,
        accepted: &AtomicUsize,
    ) -> Vec<(Specification, SubmitResult)> {
        let clients: Vec<Client> =
            self.servers.iter().filter_map(|server| client(vec![server.clone()]).ok()).collect();
        let mut submissions = Vec::new();
        let mut next_submission = Instant::now();
        while Instant::now() < self.end && !stop.load(Ordering::Relaxed) {
            let count = submissions.len();
            let id = format!("{}-{count}", self.label);
            let specification = job(&id, COMMANDS[count / 4 % 2], count.is_multiple_of(2));
            let answer = submit(&clients[(self.thread + count) % clients.len()], &specification);
            accepted.fetch_add(usize::from(answer == SubmitResult::Accepted), Ordering::Relaxed);
            submissions.push((specification, answer));
            next_submission += self.interval;
            thread::sleep(next_submission.saturating_duration_since(Instant::now()));
        }
        submissions
    }
}

fn submit(client: &Client, specification: &Specification) -> SubmitResult {
    match client.send(&submission(specification)) {
        Ok(_) => SubmitResult::Accepted,
        Err(Error::Problem { problem, .. }) if problem.not_run => SubmitResult::NotRun,
        Err(Error::Unreachable { .. }) => SubmitResult::NotRun,
        Err(Error::Problem { .. }) => SubmitResult::Refused,
        Err(_) => SubmitResult::ConnectionLost,
    }
}

/// Waits for the outcome of the work. Returns `None` if it has no outcome by the deadline or does not exist.
fn await_outcome(
    client: &Client,
    specification: &Specification,
    deadline: Instant,
) -> Option<Outcome> {
    let path = format!("/v1/work/{}/wait", specification.work_id());
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match client.send(&Call::get(path.clone()).waiting(remaining.min(Duration::from_secs(5)))) {
            Ok(Reply::Outcome(outcome)) => return Some(outcome),
            Err(Error::Problem { problem, .. }) if problem.kind == Kind::NotFound => return None,
            _ if remaining.is_zero() => return None,
            _ => {}
        }
    }
}
