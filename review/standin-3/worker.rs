//! Workers: they run tasks under a lease, save progress, and list what runs and what has ended.
//!
//! The specification of a job is `run MS MS`: each of its tasks takes a time between these two, which depends on its name.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, serve};
use crate::json::{Json, number, object, text};
use crate::site::{CHECKPOINT_INTERVAL, HEARTBEAT, MAX_HOLD, RESTORE};
use crate::store::Store;

/// Most ends that a list holds.
const ENDS_LISTED: usize = 500;

#[derive(Clone)]
struct Running {
    run: u64,
    started: Instant,
    /// Work that a checkpoint saved before this run.
    resumed: Duration,
    duration: Duration,
}

impl Running {
    fn work(&self) -> Duration {
        let restore = if self.resumed.is_zero() { Duration::ZERO } else { RESTORE };
        self.resumed + self.started.elapsed().saturating_sub(restore)
    }

    fn saved(&self) -> String {
        let interval = CHECKPOINT_INTERVAL.as_millis();
        match self.work().as_millis() / interval * interval {
            0 => String::new(),
            saved => format!("{saved:016x}"),
        }
    }
}

/// An end of a run, and when it was listed first and taken note of.
#[derive(Clone)]
pub struct End {
    number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    saved: String,
    pub at: Instant,
    pub noted: Option<Instant>,
}

struct State {
    born: u64,
    start: Instant,
    address: Option<SocketAddr>,
    fence: u64,
    lease_until: u64,
    running: BTreeMap<String, Running>,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    ends: Vec<End>,
}

impl State {
    fn new() -> State {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        State {
            born: born as u64,
            start: Instant::now(),
            address: None,
            fence: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn answer(&self, fields: Vec<(&str, Json)>) -> Json {
        let mut fields = fields;
        fields.push(("clock_ms", number(self.clock())));
        fields.push(("born", number(self.born)));
        object(fields)
    }

    fn refuse(&self, reason: &str) -> (u16, Json) {
        (409, self.answer(vec![("reason", text(reason))]))
    }
}

pub struct Worker {
    pub id: String,
    pub cpu: u64,
    service: &'static str,
    zone: &'static str,
    rack: String,
    state: Mutex<State>,
    ended: Condvar,
    starts: Mutex<Vec<(String, u64, Instant)>>,
}

impl Worker {
    pub fn start(
        store: &Arc<Store>,
        id: String,
        service: &'static str,
        zone: &'static str,
        rack: String,
        cpu: u64,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id,
            cpu,
            service,
            zone,
            rack,
            state: Mutex::new(State::new()),
            ended: Condvar::new(),
            starts: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        let address = serve(move |request| served.handle(&request));
        worker.state.lock().expect("poisoned").address = Some(address);
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || {
            for sequence in 1.. {
                if let Some(entry) = beating.registration(sequence) {
                    store.put("servers", &beating.id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.advance();
            }
        });
        worker
    }

    /// Returns all ends so far.
    pub fn ends(&self) -> Vec<End> {
        self.state.lock().expect("poisoned").ends.clone()
    }

    /// Returns all starts so far: task, run and time.
    pub fn starts(&self) -> Vec<(String, u64, Instant)> {
        self.starts.lock().expect("poisoned").clone()
    }

    /// Returns the jobs of which a task runs.
    pub fn running_jobs(&self) -> BTreeSet<String> {
        let state = self.state.lock().expect("poisoned");
        let jobs = state.running.keys().filter_map(|task| task.split('.').next());
        jobs.map(str::to_owned).collect()
    }

    /// Returns the number of a job's tasks that run.
    pub fn running_of(&self, job: &str) -> usize {
        let state = self.state.lock().expect("poisoned");
        state.running.keys().filter(|task| task.starts_with(job)).count()
    }

    /// Returns the entry in the store.
    fn registration(&self, sequence: u64) -> Option<Json> {
        let state = self.state.lock().expect("poisoned");
        let address = state.address?;
        Some(object(vec![
            ("service", text(self.service)),
            ("address", text(address.to_string())),
            ("zone", text(self.zone)),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            (
                "capacity",
                object(vec![
                    ("cpu", number(self.cpu)),
                    ("requested_memory_mb", number(self.cpu * 4)),
                    ("gpu", number(0)),
                ]),
            ),
            ("labels", Json::List(vec![text("a"), text(&self.rack)])),
            ("born", number(state.born)),
            ("clock_ms", number(state.clock())),
            ("sequence", number(sequence)),
        ]))
    }

    /// Ends the runs whose work is done, and all runs once the lease is over.
    fn advance(&self) {
        let mut state = self.state.lock().expect("poisoned");
        let lapsed = state.clock() > state.lease_until;
        let over = |run: &Running| run.work() >= run.duration;
        let ended = state.running.iter().filter(|(_, run)| lapsed || over(run));
        let ended: Vec<(String, &'static str)> = ended
            .map(|(task, run)| (task.clone(), if over(run) { "done" } else { "lapsed" }))
            .collect();
        for (task, how) in ended {
            state.end(&task, how);
        }
        drop(state);
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let expected = request.header("Shallotpost-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Some((421, Json::Null));
        }
        let body = &request.body;
        let fence = body.get("fencing_token").number().unwrap_or(0);
        let mut state = self.state.lock().expect("poisoned");
        if fence < state.fence {
            return Some(state.refuse("fence"));
        }
        state.fence = fence;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        match (request.path.as_str(), run) {
            ("/v1/run-start", Some(run)) => Some(self.run_start(&mut state, task, run, body)),
            ("/v1/run-stop", Some(run)) => {
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                if state.running.get(&task).is_some_and(|running| running.run <= run) {
                    state.end(&task, "stopped");
                    self.ended.notify_all();
                }
                Some((200, state.answer(Vec::new())))
            }
            ("/v1/pace", Some(_)) => Some((200, state.answer(Vec::new()))),
            ("/v1/hold", None) => {
                self.extend(&mut state, body);
                let seen = body.get("last_seen").number().unwrap_or(0);
                let noted = Some(Instant::now());
                for end in state.ends.iter_mut().filter(|end| end.number <= seen) {
                    end.noted = end.noted.or(noted);
                }
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let wait = Duration::from_millis(wait);
                let nothing = |state: &mut State| state.ends.iter().all(|end| end.noted.is_some());
                let waited = self.ended.wait_timeout_while(state, wait, nothing);
                let state = waited.expect("poisoned").0;
                Some((200, lists(&state)))
            }
            _ => Some((400, state.answer(Vec::new()))),
        }
    }

    fn run_start(&self, state: &mut State, task: String, run: u64, body: &Json) -> (u16, Json) {
        if body.get("until_ms").number().unwrap_or(0) <= state.clock() {
            return state.refuse("late");
        }
        self.extend(state, body);
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            return (200, state.answer(Vec::new()));
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return state.refuse("old");
        }
        let Some(duration) = duration(body.get("specification").text(), &task) else {
            return (400, state.answer(Vec::new()));
        };
        let saved = u64::from_str_radix(body.get("checkpoint").text(), 16).unwrap_or(0);
        let running = Running {
            run,
            started: Instant::now(),
            resumed: Duration::from_millis(saved),
            duration,
        };
        self.starts.lock().expect("poisoned").push((task.clone(), run, Instant::now()));
        state.running.insert(task, running);
        (200, state.answer(Vec::new()))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until) = body.get("until_ms").number() {
            let longest = state.clock() + MAX_HOLD.as_millis() as u64;
            state.lease_until = state.lease_until.max(until.min(longest));
        }
    }
}

/// Returns how long a task works; `None` for a specification that the worker does not understand.
fn duration(specification: &str, task: &str) -> Option<Duration> {
    let (least, most) = specification.strip_prefix("run ")?.split_once(' ')?;
    let (least, most): (u64, u64) = (least.parse().ok()?, most.parse().ok()?);
    let mut hasher = DefaultHasher::new();
    task.hash(&mut hasher);
    Some(Duration::from_millis(least + hasher.finish() % (most - least + 1)))
}

fn lists(state: &State) -> Json {
    let running = state.running.iter().map(|(task, run)| {
        let percent = run.work().as_secs_f64() / run.duration.as_secs_f64().max(1e-3) * 100.0;
        let percent = number(percent.min(100.0) as u64);
        Json::List(vec![text(task), number(run.run), text(run.saved()), percent])
    });
    let running = Json::List(running.collect());
    let ends = state.ends.iter().filter(|end| end.noted.is_none()).take(ENDS_LISTED);
    let ends = ends.map(|end| {
        let (number, run) = (number(end.number), number(end.run));
        Json::List(vec![number, text(&end.task), run, text(end.how), text(&end.saved)])
    });
    let ends = Json::List(ends.collect());
    state.answer(vec![("running", running), ("ended_runs", ends)])
}

impl State {
    fn end(&mut self, task: &str, how: &'static str) {
        let Some(running) = self.running.remove(task) else { return };
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = running.run.max(*closed);
        let end = End {
            number: self.ends.len() as u64 + 1,
            task: task.to_owned(),
            run: running.run,
            how,
            saved: if how == "done" { String::new() } else { running.saved() },
            at: Instant::now(),
            noted: None,
        };
        self.ends.push(end);
    }
}
