//! Stand-in of a worker, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server};
use crate::json::{self, Json, number, object, text};
use crate::record::Record;
use crate::store::Store;

/// Longest lease that a worker grants, `max_hold_ms`.
pub const HOLD_MAX_MS: u64 = 10_000;

/// Time between two checkpoints of a task that writes them, `checkpoint_interval_s`.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two entries that a worker writes, `heartbeat_ms`.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time after which a worker that crashed is back.
const CRASHED_FOR: Duration = Duration::from_secs(4);

/// Time for which a member of a gang waits for the others, `gang_timeout_ms`.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// Age at which a failing worker ends a run.
const FAIL_AFTER: Duration = Duration::from_millis(100);

/// Maximum number of ends that are listed at once.
const ENDS_MAX: usize = 500;

/// What a worker is and where it stands.
#[derive(Clone)]
pub struct Place {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub cpu: u64,
    pub memory_mb: u64,
}

struct Run {
    run: u64,
    started: Instant,
    duration: Duration,
    saves: bool,
    resumed: u64,
    gang: Option<Gang>,
    /// Work after which the run crashes its worker.
    crashes: Option<Duration>,
}

/// Run of a gang. All members share it, on whatever workers they are.
type Gang = Arc<Mutex<GangRun>>;

struct GangRun {
    members: usize,
    present: usize,
    first: Instant,
    /// When the last member arrived; the members work from then on.
    begun: Option<Instant>,
    /// A member has ended other than `done`.
    broken: bool,
}

/// Runs of gangs by step and number of the run.
#[derive(Clone, Default)]
pub struct Gangs {
    runs: Arc<Mutex<BTreeMap<(String, u64), Gang>>>,
}

impl Gangs {
    fn join(&self, step: &str, run: u64, members: usize) -> Gang {
        let mut runs = self.runs.lock().expect("no panic while locked");
        let new = || {
            let first = Instant::now();
            Arc::new(Mutex::new(GangRun { members, present: 0, first, begun: None, broken: false }))
        };
        let gang = Arc::clone(runs.entry((step.to_owned(), run)).or_insert_with(new));
        let mut state = gang.lock().expect("no panic while locked");
        state.present += 1;
        if state.present == state.members {
            state.begun = Some(Instant::now());
        }
        drop(state);
        gang
    }
}

/// An end in the list of a worker.
#[derive(Clone)]
struct End {
    sequence: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    listed: Option<Instant>,
}

#[derive(Default)]
struct State {
    born: u64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    sequence: u64,
    /// Number of entries that this life has written.
    pings: u64,
    /// Highest run of each task that was stopped or has ended here.
    old: BTreeMap<String, u64>,
    failing_until: Option<Instant>,
    up: bool,
}

/// When the end of a run was first listed, and when it was taken note of.
#[derive(Clone)]
pub struct ListedEnd {
    pub task: String,
    pub listed: Instant,
    pub noted: Option<Instant>,
}

#[derive(Clone)]
pub struct Worker {
    pub place: Place,
    state: Arc<(Mutex<State>, Condvar)>,
    noted: Arc<Mutex<Vec<ListedEnd>>>,
    server: Arc<Mutex<Option<Server>>>,
    started: Arc<Mutex<Instant>>,
    store: Store,
    record: Record,
    gangs: Gangs,
    late_order: LateOrder,
}

/// Order of the tasks whose names begin with `task` that a worker leaves unanswered and carries out late.
#[derive(Clone, Default)]
pub struct LateOrder {
    state: Arc<Mutex<Option<LateState>>>,
}

struct LateState {
    task: String,
    taken: Option<(String, Json, Instant)>,
}

impl LateOrder {
    /// Lets the worker that gets the first start of such a task leave it unanswered.
    pub fn expect(&self, task: &str) {
        let state = LateState { task: task.to_owned(), taken: None };
        *self.state.lock().expect("no panic while locked") = Some(state);
    }

    /// Returns the worker that keeps the order, and when it arrived.
    pub fn taken(&self) -> Option<(String, Instant)> {
        let state = self.state.lock().expect("no panic while locked");
        state.as_ref()?.taken.as_ref().map(|(worker, _, at)| (worker.clone(), *at))
    }

    fn take(&self, worker: &str, call: &Json) -> bool {
        let mut state = self.state.lock().expect("no panic while locked");
        let Some(state) = state.as_mut() else { return false };
        let keeps = state.taken.is_none() && call.get("task").text().starts_with(&state.task);
        if keeps {
            state.taken = Some((worker.to_owned(), call.clone(), Instant::now()));
        }
        keeps
    }

    /// Returns the order that a worker keeps, once.
    fn release(&self, worker: &str) -> Option<Json> {
        let mut state = self.state.lock().expect("no panic while locked");
        let kept = state.as_ref()?.taken.as_ref()?.0 == worker;
        let call = state.as_ref()?.taken.as_ref()?.1.clone();
        if kept {
            *state = None;
        }
        kept.then_some(call)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub fn start(
        place: Place,
        store: &Store,
        record: &Record,
        gangs: &Gangs,
        late_order: &LateOrder,
    ) -> Worker {
        let worker = Worker {
            place,
            state: Arc::default(),
            noted: Arc::default(),
            server: Arc::default(),
            started: Arc::new(Mutex::new(Instant::now())),
            store: store.clone(),
            record: record.clone(),
            gangs: gangs.clone(),
            late_order: late_order.clone(),
        };
        {
            let mut state = worker.lock();
            state.born = unix_ms();
            state.up = true;
        }
        let served = worker.clone();
        let server = Server::start(Arc::new(move |request| served.answer(&request)));
        *worker.server.lock().expect("no panic while locked") = Some(server);
        worker.register();
        let pinging = worker.clone();
        // The workers write at different times.
        let offset = pinging.place.id.bytes().map(u64::from).sum::<u64>() * 97 % 1_500;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(offset));
            loop {
                thread::sleep(PING_INTERVAL);
                if pinging.lock().up {
                    pinging.register();
                }
            }
        });
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.tick();
            }
        });
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic while locked")
    }

    fn clock_ms(&self) -> u64 {
        self.started.lock().expect("no panic while locked").elapsed().as_millis() as u64 + 1_000
    }

    fn describe(&self, state: &State) -> Json {
        let address = self.server.lock().expect("no panic while locked").clone();
        let address = address.map(|server| server.address().to_string()).unwrap_or_default();
        object(vec![
            ("service", text(&*self.place.service)),
            ("address", text(address)),
            ("zone", text(&*self.place.zone)),
            ("version", text("1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("sequence", number(state.pings)),
            (
                "capacity",
                object(vec![
                    ("cpu", number(self.place.cpu)),
                    ("requested_memory_mb", number(self.place.memory_mb)),
                ]),
            ),
            ("labels", Json::List(vec![text(&*self.place.kind), text(&*self.place.rack)])),
            ("born", number(state.born)),
        ])
    }

    fn register(&self) {
        let mut state = self.lock();
        state.pings += 1;
        let entry = self.describe(&state);
        drop(state);
        self.store.put("servers", &self.place.id, Some(&entry));
    }

    /// Crashes the process: everything on it ends, its port is closed, and it tells nobody.
    pub fn crash(&self) {
        if let Some(server) = &*self.server.lock().expect("no panic while locked") {
            server.end();
        }
        let mut state = self.lock();
        state.up = false;
        let running = state.running.len();
        for (task, run) in std::mem::take(&mut state.running) {
            run.break_gang();
            self.record.ended(&self.place.id, &task, "lost");
        }
        drop(state);
        self.record.line(&format!("worker {} crashes, {running} runs end with it", self.place.id));
    }

    /// Starts the process again under its identifier and address. It knows nothing of before. It registers, and then
    /// answers.
    pub fn restart(&self) {
        let mut state = self.lock();
        *state = State { born: unix_ms(), ..State::default() };
        *self.started.lock().expect("no panic while locked") = Instant::now();
        drop(state);
        self.register();
        self.lock().up = true;
        if let Some(call) = self.late_order.release(&self.place.id) {
            let answer = self.start_run(&call);
            self.record.line(&format!("{} carries out the late start: {answer:?}", self.place.id));
        }
        if let Some(server) = &*self.server.lock().expect("no panic while locked") {
            server.restart();
        }
        self.record.line(&format!("worker {} answers again", self.place.id));
    }

    /// Lets the worker fail everything that it runs or starts for a time, while it answers as before.
    pub fn fail_runs(&self, time: Duration) {
        self.lock().failing_until = Some(Instant::now() + time);
        self.record.line(&format!("worker {} fails its runs for {time:?}", self.place.id));
    }

    pub fn running(&self) -> Vec<String> {
        self.lock().running.keys().cloned().collect()
    }

    /// Returns the ends that were listed, those that were not taken note of last.
    pub fn listed_ends(&self) -> Vec<ListedEnd> {
        let state = self.lock();
        let mut ends = self.noted.lock().expect("no panic while locked").clone();
        let open = state.ends.iter().filter_map(|end| Some((end.task.clone(), end.listed?)));
        ends.extend(open.map(|(task, listed)| ListedEnd { task, listed, noted: None }));
        ends
    }

    fn tick(&self) {
        let clock = self.clock_ms();
        let mut state = self.lock();
        if !state.up {
            return;
        }
        let crashes = |run: &Run| run.crashes.is_some_and(|age| run.work() >= age);
        if state.running.values().any(crashes) {
            drop(state);
            self.crash();
            let worker = self.clone();
            thread::spawn(move || {
                thread::sleep(CRASHED_FOR);
                worker.restart();
            });
            return;
        }
        let lapsed = clock > state.lease_until_ms;
        let failing = state.failing_until.is_some_and(|until| Instant::now() < until);
        let over = |run: &Run| run.work() >= run.duration;
        let ended: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| match () {
                () if lapsed => Some((task.clone(), "lapsed")),
                () if failing && run.started.elapsed() >= FAIL_AFTER => {
                    Some((task.clone(), "failed"))
                }
                () if run.is_broken() => Some((task.clone(), "broken")),
                () if run.is_alone() => Some((task.clone(), "alone")),
                () if over(run) => Some((task.clone(), "done")),
                () => None,
            })
            .collect();
        for (task, how) in &ended {
            state.end_run(task, how);
            self.record.ended(&self.place.id, task, how);
        }
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let expected = request.header("shallotpost-expected-instance");
        let call = json::parse(&request.body).unwrap_or(Json::Null);
        if !expected.is_empty() && expected != self.place.id {
            return Some((421, object(vec![("clock_ms", number(self.clock_ms()))]).to_string()));
        }
        match request.path.as_str() {
            "/v1/run-start" if self.late_order.take(&self.place.id, &call) => {
                let task = call.get("task").text();
                self.record
                    .line(&format!("{} leaves the start of {task} unanswered", self.place.id));
                thread::sleep(Duration::from_secs(3));
                None
            }
            "/v1/run-start" => self.start_run(&call),
            "/v1/run-stop" => self.stop_run(&call),
            "/v1/hold" => self.hold(&call),
            "/v1/pace" => Some(self.reply(200, vec![])),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn reply(&self, status: u16, mut fields: Vec<(&str, Json)>) -> (u16, String) {
        fields.push(("clock_ms", number(self.clock_ms())));
        (status, object(fields).to_string())
    }

    fn refuse(&self, reason: &str) -> Option<(u16, String)> {
        Some(self.reply(409, vec![("reason", text(reason))]))
    }

    fn start_run(&self, call: &Json) -> Option<(u16, String)> {
        let (task, run) = (call.get("task").text(), call.get("run").number()?);
        let (token, until) = (call.get("fencing_token").number()?, call.get("until_ms").number()?);
        let clock = self.clock_ms();
        let mut state = self.lock();
        if !state.up {
            return None;
        }
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        if until <= clock {
            return self.refuse("late");
        }
        state.extend(until, clock);
        if let Some(known) = state.running.get(task) {
            return match known.run == run {
                true => Some(self.reply(200, vec![])),
                false => self.refuse("old"),
            };
        }
        if state.old.get(task).is_some_and(|old| run <= *old) {
            return self.refuse("old");
        }
        let specification = call.get("specification").text();
        let field = |name: &str| {
            let words = specification.split(' ').filter_map(|word| word.split_once('='));
            words.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
        };
        let resumed = u64::from_str_radix(call.get("checkpoint").text(), 16).unwrap_or(0);
        let duration = Duration::from_millis(field("ms").unwrap_or(500));
        let saves = field("saves") == Some(1);
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let gang = field("gang").map(|members| self.gangs.join(step, run, members as usize));
        let crashes = field("crash").map(Duration::from_millis);
        let run_state =
            Run { run, started: Instant::now(), duration, saves, resumed, gang, crashes };
        state.running.insert(task.to_owned(), run_state);
        drop(state);
        self.record.started(&self.place.id, task, run, call.get("checkpoint").text());
        Some(self.reply(200, vec![]))
    }

    fn stop_run(&self, call: &Json) -> Option<(u16, String)> {
        let (task, run) = (call.get("task").text(), call.get("run").number()?);
        let token = call.get("fencing_token").number()?;
        let mut state = self.lock();
        if !state.up {
            return None;
        }
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        let old = state.old.entry(task.to_owned()).or_default();
        *old = run.max(*old);
        if state.running.get(task).is_some_and(|known| known.run <= run) {
            state.end_run(task, "stopped");
            self.record.ended(&self.place.id, task, "stopped");
            self.state.1.notify_all();
        }
        drop(state);
        Some(self.reply(200, vec![]))
    }

    fn hold(&self, call: &Json) -> Option<(u16, String)> {
        let token = call.get("fencing_token").number()?;
        let wait = Duration::from_millis(call.get("wait_ms").number().unwrap_or(0).min(2_000));
        let seen = call.get("last_seen").number().unwrap_or(0);
        let end = Instant::now() + wait;
        let mut state = self.lock();
        if !state.up {
            return None;
        }
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        if let Some(until) = call.get("until_ms").number() {
            let clock = self.clock_ms();
            state.extend(until, clock);
        }
        let (forgotten, kept): (Vec<End>, Vec<End>) =
            state.ends.drain(..).partition(|end| end.sequence <= seen);
        state.ends = kept;
        self.note(&forgotten);
        let born = state.born;
        while state.up && state.born == born && state.ends.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).expect("no panic while locked").0;
        }
        if !state.up || state.born != born {
            return None;
        }
        let running = state.running.iter().map(|(task, run)| {
            let share = run.work().as_secs_f64() / run.duration.as_secs_f64().max(1e-3);
            let percent = (share * 100.0).min(99.0).floor();
            let load = Json::Number(0.0);
            Json::List(vec![
                text(&**task),
                number(run.run),
                text(run.saved()),
                Json::Number(percent),
                load,
            ])
        });
        let running = Json::List(running.collect());
        let mut listed = Vec::new();
        for end in state.ends.iter_mut().take(ENDS_MAX) {
            end.listed.get_or_insert_with(Instant::now);
            listed.push(Json::List(vec![
                number(end.sequence),
                text(&*end.task),
                number(end.run),
                text(end.how),
                text(&*end.saved),
            ]));
        }
        drop(state);
        let fields =
            vec![("born", number(born)), ("running", running), ("ended_runs", Json::List(listed))];
        Some(self.reply(200, fields))
    }

    /// Keeps when ends were listed and taken note of.
    fn note(&self, ends: &[End]) {
        let mut noted = self.noted.lock().expect("no panic while locked");
        for end in ends {
            let Some(listed) = end.listed else { continue };
            let task = end.task.clone();
            noted.push(ListedEnd { task, listed, noted: Some(Instant::now()) });
        }
    }
}

impl Run {
    /// Returns for how long the run has worked.
    fn work(&self) -> Duration {
        let Some(gang) = &self.gang else { return self.started.elapsed() };
        let gang = gang.lock().expect("no panic while locked");
        gang.begun.map_or(Duration::ZERO, |begun| begun.elapsed())
    }

    fn is_broken(&self) -> bool {
        let gang = self.gang.as_ref();
        gang.is_some_and(|gang| gang.lock().expect("no panic while locked").broken)
    }

    fn is_alone(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| {
            let gang = gang.lock().expect("no panic while locked");
            gang.begun.is_none() && gang.first.elapsed() > GANG_TIMEOUT
        })
    }

    /// Records that this member of a gang has ended other than `done`.
    fn break_gang(&self) {
        if let Some(gang) = &self.gang {
            gang.lock().expect("no panic while locked").broken = true;
        }
    }

    /// Returns the newest checkpoint: sixteen digits, the number of intervals of work.
    fn saved(&self) -> String {
        let intervals = self.work().as_millis() / CHECKPOINT_INTERVAL.as_millis();
        match self.saves && intervals > 0 {
            true => format!("{:016x}", self.resumed + intervals as u64),
            false => String::new(),
        }
    }
}

impl State {
    fn extend(&mut self, until_ms: u64, clock_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
    }

    fn end_run(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else { return };
        let old = self.old.entry(task.to_owned()).or_default();
        *old = run.run.max(*old);
        self.sequence += 1;
        if how != "done" {
            run.break_gang();
        }
        let saved = if how == "done" { String::new() } else { run.saved() };
        self.ends.push(End {
            sequence: self.sequence,
            task: task.to_owned(),
            run: run.run,
            how,
            saved,
            listed: None,
        });
    }
}
