//! Workers: they run tasks under a lease, save progress, and list what runs and what has ended.
//!
//! The specification of a job is `run MS MS`: each of its tasks takes a time between these two, which depends on its name.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, serve};
use crate::json::{Json, number, object, text};
use crate::site::{CHECKPOINT_INTERVAL, HEARTBEAT, MAX_HOLD, RESTORE};
use crate::store::Store;

/// Most ends that a list holds.
const ENDS_LISTED: usize = 500;

/// Time after which the connection of a call without an answer is closed.
const UNANSWERED: Duration = Duration::from_secs(2);

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

/// An end of a run, and when it was taken note of.
#[derive(Clone)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    noted: Option<Instant>,
}

/// One life of a worker's process.
struct State {
    /// Number of the life.
    life: u64,
    /// Whether the process runs.
    up: bool,
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
    fn new(life: u64) -> State {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        State {
            life,
            up: true,
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

/// A run that the worker began.
#[derive(Clone, Debug)]
pub struct Begun {
    pub task: String,
    pub run: u64,
    pub fence: u64,
    pub start: Instant,
    pub end: Option<(Instant, &'static str)>,
}

pub struct Worker {
    pub id: String,
    pub cpu: u64,
    service: &'static str,
    pub zone: &'static str,
    kind: &'static str,
    rack: String,
    state: Mutex<State>,
    ended: Condvar,
    history: Mutex<Vec<Begun>>,
    /// Whether no path leads to the worker and from it.
    cut: AtomicBool,
    /// When the worker last answered a call for its lists.
    answered: Mutex<Instant>,
    /// Start of a job that gets no answer and is carried out when the second one is set.
    late: Mutex<Option<(String, Arc<AtomicBool>)>>,
}

impl Worker {
    pub fn start(
        store: &Arc<Store>,
        id: String,
        service: &'static str,
        zone: &'static str,
        kind: &'static str,
        rack: String,
        cpu: u64,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id,
            cpu,
            service,
            zone,
            kind,
            rack,
            state: Mutex::new(State::new(0)),
            ended: Condvar::new(),
            history: Mutex::default(),
            cut: AtomicBool::new(false),
            answered: Mutex::new(Instant::now()),
            late: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        let address = serve(move |request| served.receive(request));
        worker.state.lock().expect("poisoned").address = Some(address);
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || {
            let mut silent = 0;
            for sequence in 1.. {
                if let Some(entry) = beating.registration(sequence) {
                    store.put("servers", &beating.id, &entry);
                    silent = 0;
                } else {
                    // The entry is removed after three intervals of silence.
                    silent += 1;
                    if silent == 3 {
                        store.remove("servers", &beating.id);
                    }
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

    /// Returns all runs that began here so far.
    pub fn history(&self) -> Vec<Begun> {
        self.history.lock().expect("poisoned").clone()
    }

    /// Ends the process: what it runs, holds and knows is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("poisoned");
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, &task, "crashed");
        }
        let address = state.address;
        *state = State { up: false, address, ..State::new(state.life + 1) };
        drop(state);
        self.ended.notify_all();
    }

    /// Starts the process again under its identifier, at its address.
    pub fn restart(&self) {
        let mut state = self.state.lock().expect("poisoned");
        let address = state.address;
        *state = State { address, ..State::new(state.life + 1) };
    }

    /// Cuts the worker off, or ends that. It runs on meanwhile.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Leaves the next start of a job without an answer. It is carried out once `due` is set, by the process that runs then.
    pub fn delay_start(&self, job: &str, due: Arc<AtomicBool>) {
        *self.late.lock().expect("poisoned") = Some((job.to_owned(), due));
    }

    /// Answers all starts from now on.
    pub fn answer_starts(&self) {
        *self.late.lock().expect("poisoned") = None;
    }

    /// Returns whether a start was left without an answer.
    pub fn has_delayed(&self) -> bool {
        self.late.lock().expect("poisoned").is_none()
    }

    /// Returns the time since the last answer to a call for the lists.
    pub fn silence(&self) -> Duration {
        self.answered.lock().expect("poisoned").elapsed()
    }

    /// Returns the number of a job's tasks that run.
    pub fn running_of(&self, job: &str) -> usize {
        let state = self.state.lock().expect("poisoned");
        state.running.keys().filter(|task| task.starts_with(job)).count()
    }

    /// Returns the entry in the store.
    fn registration(&self, sequence: u64) -> Option<Json> {
        let state = self.state.lock().expect("poisoned");
        let address = state.address.filter(|_| state.up && !self.is_cut())?;
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
            ("labels", Json::List(vec![text(self.kind), text(&self.rack)])),
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
            self.end(&mut state, &task, how);
        }
        drop(state);
        self.ended.notify_all();
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Takes a call from the network. What is on its way when the worker is cut off is lost.
    fn receive(self: &Arc<Worker>, request: Request) -> Response {
        if self.is_cut() {
            self.wait_for_path();
            return None;
        }
        let delayed = {
            let mut late = self.late.lock().expect("poisoned");
            let task = request.body.get("task").text();
            let meant = request.path == "/v1/run-start";
            late.take_if(|(job, _)| meant && task.starts_with(job.as_str()))
        };
        if let Some((_, due)) = delayed {
            let worker = Arc::clone(self);
            thread::spawn(move || {
                while !due.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
                worker.handle(&request)
            });
            thread::sleep(UNANSWERED);
            return None;
        }
        let answer = self.handle(&request);
        if self.is_cut() {
            self.wait_for_path();
            return None;
        }
        if request.path == "/v1/hold" {
            *self.answered.lock().expect("poisoned") = Instant::now();
        }
        answer
    }

    fn wait_for_path(&self) {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let expected = request.header("Shallotpost-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Some((421, Json::Null));
        }
        let body = &request.body;
        let fence = body.get("fencing_token").number().unwrap_or(0);
        let mut state = self.state.lock().expect("poisoned");
        if !state.up {
            return None;
        }
        let life = state.life;
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
                    self.end(&mut state, &task, "stopped");
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
                let nothing = |state: &mut State| {
                    state.life == life && state.ends.iter().all(|end| end.noted.is_some())
                };
                let waited = self.ended.wait_timeout_while(state, wait, nothing);
                let state = waited.expect("poisoned").0;
                (state.life == life).then(|| (200, lists(&state)))
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
        let begun =
            Begun { task: task.clone(), run, fence: state.fence, start: Instant::now(), end: None };
        self.history.lock().expect("poisoned").push(begun);
        state.running.insert(task, running);
        (200, state.answer(Vec::new()))
    }

    /// Ends a run, and lists that unless the process has ended with it.
    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.end(task, how) else { return };
        let mut history = self.history.lock().expect("poisoned");
        let mut begun = history.iter_mut().rev();
        if let Some(begun) = begun.find(|begun| begun.task == task && begun.run == run) {
            begun.end = Some((Instant::now(), how));
        }
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
    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let running = self.running.remove(task)?;
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = running.run.max(*closed);
        let end = End {
            number: self.ends.len() as u64 + 1,
            task: task.to_owned(),
            run: running.run,
            how,
            saved: if how == "done" { String::new() } else { running.saved() },
            noted: None,
        };
        self.ends.push(end);
        Some(running.run)
    }
}
