//! A bounded load of submissions, and the account of what became of them.

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
    /// Refused with the statement that it was not run, or not sent at all.
    NotRun,
    /// Refused without such a statement.
    Refused,
    /// The connection broke before the answer.
    Cut,
}

impl Answer {
    fn is_refusal(self) -> bool {
        matches!(self, Answer::NotRun | Answer::Refused)
    }
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
    /// Work that ran although it was refused. Each id is submitted once, so no earlier submission can have admitted it.
    pub refused_but_run: usize,
    /// Accepted work that is not idempotent and ended as unknown.
    pub unknown: usize,
    /// Submissions that were refused.
    pub refused: usize,
    /// Requests whose connection broke before the answer.
    pub cut: usize,
}

/// Requests that wait for the end of work at one entry host.
pub struct Held {
    threads: Vec<JoinHandle<Result<Reply, Error>>>,
    waiting: Arc<AtomicUsize>,
}

impl Held {
    /// Opens `count` requests. Each first waits for a moment, so that its host is known to answer, and then for `wait`.
    pub fn open(server: &str, work: &str, count: usize, wait: Duration) -> eyre::Result<Held> {
        let waiting = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        for _ in 0..count {
            let client = client(vec![server.to_owned()])?;
            let call = |wait| {
                let call = Call::get(format!("/v1/work/{work}/wait")).waiting(wait);
                // A lost answer to a read would look like a request that was never sent.
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
        Ok(Held { threads, waiting })
    }

    /// Number of requests that wait, or are about to be sent.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Number of requests whose connection broke before the answer, and the number of the others.
    pub fn finish(self) -> eyre::Result<(usize, usize)> {
        let (mut cut, mut answered) = (0, 0);
        for thread in self.threads {
            match thread.join().map_err(|_| eyre!("a waiting thread has panicked"))? {
                Ok(_) | Err(Error::Problem { .. }) => answered += 1,
                Err(_) => cut += 1,
            }
        }
        Ok((cut, answered))
    }
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
    stop: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
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
        cluster::repeat(|| client.send(&call))?;
        Ok(Service { id: id.to_owned(), replicas })
    }

    /// Submits jobs at this rate for this long, half of them not idempotent.
    pub fn start(&mut self, label: &str, rate: u32, period: Duration) -> Running {
        let stop = Arc::new(AtomicBool::new(false));
        let end = Instant::now() + period;
        let pause = Duration::from_secs(1) * THREADS / rate;
        let accepted = Arc::new(AtomicUsize::new(0));
        let threads = (0..THREADS).map(|thread| {
            let (label, servers) = (format!("{label}-{thread}"), self.servers.clone());
            let (stop, accepted) = (Arc::clone(&stop), Arc::clone(&accepted));
            let submitter = Submitter { label, thread: thread as usize, servers, pause, end };
            thread::spawn(move || submitter.submit_all(&stop, &accepted))
        });
        Running { threads: threads.collect(), stop, accepted }
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
    /// Number of submissions that were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Ends the load now, and waits for the end of all accepted work.
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
        let deadline = Instant::now() + END_BOUND;
        let mut summary = Summary::default();
        for (specification, answer) in &submissions {
            match answer {
                Answer::Accepted => {
                    summary.accepted += 1;
                    let outcome = outcome(&client, specification, deadline);
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
                Answer::Cut => summary.cut += 1,
                Answer::NotRun | Answer::Refused => summary.refused += 1,
            }
        }
        let starts = cluster.starts();
        let started =
            |specification: &Specification| starts.get(&specification.id).copied().unwrap_or(0);
        for (specification, answer) in &submissions {
            summary.doubled += usize::from(!specification.idempotent && started(specification) > 1);
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

/// One thread that submits.
struct Submitter {
    label: String,
    thread: usize,
    servers: Vec<String>,
    pause: Duration,
    end: Instant,
}

impl Submitter {
    fn submit_all(
        &self,
        stop: &AtomicBool,
        accepted: &AtomicUsize,
    ) -> Vec<(Specification, Answer)> {
        let clients: Vec<Client> =
            self.servers.iter().filter_map(|server| client(vec![server.clone()]).ok()).collect();
        let mut submissions = Vec::new();
        let mut next = Instant::now();
        while Instant::now() < self.end && !stop.load(Ordering::Relaxed) {
            let count = submissions.len();
            let id = format!("{}-{count}", self.label);
            let specification = job(&id, COMMANDS[count / 4 % 2], count.is_multiple_of(2));
            let answer = submit(&clients[(self.thread + count) % clients.len()], &specification);
            accepted.fetch_add(usize::from(answer == Answer::Accepted), Ordering::Relaxed);
            submissions.push((specification, answer));
            next += self.pause;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        submissions
    }
}

fn submit(client: &Client, specification: &Specification) -> Answer {
    match client.send(&submission(specification)) {
        Ok(_) => Answer::Accepted,
        Err(Error::Problem { problem, .. }) if problem.not_run => Answer::NotRun,
        Err(Error::Unreachable { .. }) => Answer::NotRun,
        Err(Error::Problem { .. }) => Answer::Refused,
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
