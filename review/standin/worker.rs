//! A worker: leases, fencing, runs and the list of ends, as the pages describe them.
//!
//! Specifications: `run MS` ends as done, `fail MS` ends as failed, `serve` runs until it is stopped. `POST
//! /control/cut?for_ms=N` cuts the worker off: for that time it answers nothing, does nothing that it is told and writes
//! nothing to the store, but its runs go on. `POST /control/crash?for_ms=N` ends the worker's life and begins another one
//! under the same identifier after that time: nothing runs there, no fencing token was seen, and all counts start anew.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{serve, Request, Response};
use crate::json::Value;
use crate::{record, unix_ms, write_row};

/// Interval at which the worker writes its entry (`heartbeat_ms`).
const PING_INTERVAL: Duration = Duration::from_millis(1500);

/// Maximum number of ends in one list.
const ENDS_MAX: usize = 500;

struct Run {
    number: u64,
    specification: String,
    /// When it ends by itself; `None` if it runs until it is stopped.
    ends: Option<Instant>,
    started: Instant,
}

/// One life of the worker.
struct Life {
    born: u64,
    start: Instant,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    ended: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Whether the lease has lapsed.
    lapsed: bool,
}

impl Life {
    fn new() -> Life {
        Life {
            born: unix_ms(),
            start: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lapsed: true,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn end(&mut self, worker: &str, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        record(&format!(
            "worker {worker} ends {task} run {} {how} (end {})",
            run.number, self.last_end
        ));
        self.ends.push((self.last_end, task.to_owned(), run.number, how));
        let ended = self.ended.entry(task.to_owned()).or_default();
        *ended = run.number.max(*ended);
    }

    /// Ends the runs that are over or whose lease has lapsed. Returns whether there were any.
    fn advance(&mut self, worker: &str) -> bool {
        let now = Instant::now();
        let over = self.runs.iter().filter(|(_, run)| run.ends.is_some_and(|ends| ends <= now));
        let over: Vec<(String, &'static str)> = over
            .map(|(task, run)| {
                (
                    task.clone(),
                    if run.specification.starts_with("fail") { "failed" } else { "done" },
                )
            })
            .collect();
        over.iter().for_each(|(task, how)| self.end(worker, task, how));
        let mut lapsed = Vec::new();
        if self.clock_ms() > self.lease_until_ms {
            if !self.lapsed {
                self.lapsed = true;
                record(&format!("worker {worker} lease lapses (last end {})", self.last_end));
            }
            lapsed = self.runs.keys().cloned().collect();
        }
        lapsed.iter().for_each(|task| self.end(worker, task, "lapsed"));
        !over.is_empty() || !lapsed.is_empty()
    }

    fn answer(&self, status: u16, reason: &str) -> Response {
        let mut fields = vec![("clock_ms", Value::number(self.clock_ms()))];
        if !reason.is_empty() {
            fields.push(("reason", Value::text(reason)));
        }
        Response::Answer(status, Value::object(fields).to_string())
    }

    fn extend_lease(&mut self, until_ms: Option<u64>, hold_max_ms: u64) {
        let until_ms = until_ms.unwrap_or(0).min(self.clock_ms() + hold_max_ms);
        self.lease_until_ms = until_ms.max(self.lease_until_ms);
        self.lapsed &= self.clock_ms() > self.lease_until_ms;
    }
}

struct Worker {
    id: String,
    settings: Value,
    life: Mutex<Life>,
    changed: Condvar,
    cut_until: Mutex<Option<Instant>>,
    down_until: Mutex<Option<Instant>>,
}

pub fn run(settings: &str) -> bool {
    let Some(settings) = Value::parse(settings) else { return false };
    let address = settings.str("address").to_owned();
    let worker = Arc::new(Worker {
        id: settings.str("id").to_owned(),
        settings,
        life: Mutex::new(Life::new()),
        changed: Condvar::new(),
        cut_until: Mutex::default(),
        down_until: Mutex::default(),
    });
    let (advancing, pinging) = (Arc::clone(&worker), Arc::clone(&worker));
    spawn(move || loop {
        sleep(Duration::from_millis(5));
        if advancing.life.lock().expect("life").advance(&advancing.id) {
            advancing.changed.notify_all();
        }
    });
    spawn(move || pinging.write_entries());
    serve(&address, move |request| worker.handle(&request))
}

impl Worker {
    fn is_down(&self) -> bool {
        self.down_until.lock().expect("down").is_some_and(|until| until > Instant::now())
    }

    fn cut_time_left(&self) -> Duration {
        let until = *self.cut_until.lock().expect("cut");
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    fn write_entries(&self) {
        let mut sequence = 0;
        let (mut born, mut written) = (0, Instant::now());
        loop {
            let life = self.life.lock().expect("life").born;
            let due = life != born || written.elapsed() >= PING_INTERVAL;
            if due && self.cut_time_left().is_zero() && !self.is_down() {
                sequence = if life == born { sequence + 1 } else { 1 };
                (born, written) = (life, Instant::now());
                let settings = &self.settings;
                let field = |name: &str| settings.get(name).cloned().unwrap_or(Value::Null);
                let entry = Value::object(vec![
                    ("service", field("service")),
                    ("address", field("address")),
                    ("zone", field("zone")),
                    ("version", Value::text("v1")),
                    ("slots", Value::number(8)),
                    ("state", Value::text("ready")),
                    ("cold_remaining_ms", Value::number(0)),
                    ("capacity", field("capacity")),
                    ("labels", field("labels")),
                    ("born", Value::number(born)),
                    ("sequence", Value::number(sequence)),
                ]);
                let value = Value::text(&crate::json::base64(entry.to_string().as_bytes()));
                write_row(settings.str("store"), "servers", &self.id, value);
            }
            sleep(Duration::from_millis(50));
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let time = Duration::from_millis(request.query("for_ms").parse().unwrap_or(0));
        match request.path() {
            "/control/cut" => {
                record(&format!("worker {} is cut off for {time:?}", self.id));
                *self.cut_until.lock().expect("cut") = Some(Instant::now() + time);
                return Response::Answer(200, "{}".to_owned());
            }
            "/control/crash" => {
                *self.down_until.lock().expect("down") = Some(Instant::now() + time);
                let mut life = self.life.lock().expect("life");
                record(&format!(
                    "worker {} crashes for {time:?} with {} runs",
                    self.id,
                    life.runs.len()
                ));
                *life = Life::new();
                return Response::Answer(200, "{}".to_owned());
            }
            _ => {}
        }
        if self.is_down() {
            return Response::Close;
        }
        let left = self.cut_time_left();
        if !left.is_zero() {
            sleep(left);
            return Response::Close;
        }
        let born = self.life.lock().expect("life").born;
        let response = self.execute(request);
        // A later life does not answer the calls to an earlier one, and nothing leaves a worker that is cut off.
        if self.life.lock().expect("life").born != born {
            return Response::Close;
        }
        let left = self.cut_time_left();
        if left.is_zero() {
            return response;
        }
        sleep(left);
        Response::Close
    }

    fn execute(&self, request: &Request) -> Response {
        if request.header("shallotpost-expected-instance") != self.id {
            return Response::Answer(421, "{}".to_owned());
        }
        let Some(body) = Value::parse(&request.body) else {
            return Response::Answer(400, "{}".to_owned());
        };
        let fence = body.u64("fencing_token").unwrap_or(0);
        let hold_max_ms = self.settings.u64("hold_max_ms").unwrap_or(6000);
        let mut life = self.life.lock().expect("life");
        life.advance(&self.id);
        if fence < life.fence {
            record(&format!(
                "worker {} refuses {} with fence {fence} (has {})",
                self.id,
                request.path(),
                life.fence
            ));
            return life.answer(409, "fence");
        }
        life.fence = fence;
        let (task, number) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
        match request.path() {
            "/v1/run-start" => {
                let until = body.u64("until_ms").unwrap_or(0);
                if until < life.clock_ms() {
                    return life.answer(409, "late");
                }
                life.extend_lease(Some(until), hold_max_ms);
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return life.answer(200, "");
                }
                let present = life.runs.get(&task).map_or(0, |run| run.number);
                let ended = life.ended.get(&task).copied().unwrap_or(0);
                if number <= present.max(ended) {
                    return life.answer(409, "old");
                }
                record(&format!("worker {} starts {task} run {number}", self.id));
                let specification = body.str("specification").to_owned();
                let duration = specification.split(' ').nth(1).and_then(|time| time.parse().ok());
                let started = Instant::now();
                let ends = duration.map(|time| started + Duration::from_millis(time));
                life.runs.insert(task, Run { number, specification, ends, started });
                life.answer(200, "")
            }
            "/v1/run-stop" => {
                if life.runs.get(&task).is_some_and(|run| run.number <= number) {
                    life.end(&self.id, &task, "stopped");
                    self.changed.notify_all();
                }
                let ended = life.ended.entry(task).or_default();
                *ended = number.max(*ended);
                life.answer(200, "")
            }
            "/v1/hold" => {
                let seen = body.u64("last_seen").unwrap_or(0);
                life.extend_lease(body.u64("until_ms"), hold_max_ms);
                if life.ends.first().is_some_and(|(end, ..)| *end <= seen) {
                    record(&format!("worker {} is told last_seen {seen}", self.id));
                }
                life.ends.retain(|(end, ..)| *end > seen);
                let wait = Duration::from_millis(body.u64("wait_ms").unwrap_or(0).min(2000));
                let (born, until) = (life.born, Instant::now() + wait);
                while life.born == born && life.ends.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    life = self.changed.wait_timeout(life, left).expect("life").0;
                }
                let runs = life.runs.iter().map(|(task, run)| {
                    let percent = run.ends.map_or(100, |ends| {
                        let whole = ends.duration_since(run.started).as_millis().max(1);
                        (run.started.elapsed().as_millis() * 100 / whole).min(100) as u64
                    });
                    Value::List(vec![
                        Value::text(task),
                        Value::number(run.number),
                        Value::text(""),
                        Value::number(percent),
                        Value::number(0),
                    ])
                });
                let ends = life.ends.iter().take(ENDS_MAX).map(|(end, task, number, how)| {
                    Value::List(vec![
                        Value::number(*end),
                        Value::text(task),
                        Value::number(*number),
                        Value::text(how),
                        Value::text(""),
                    ])
                });
                let answer = Value::object(vec![
                    ("clock_ms", Value::number(life.clock_ms())),
                    ("born", Value::number(life.born)),
                    ("running", Value::List(runs.collect())),
                    ("ended_runs", Value::List(ends.collect())),
                ]);
                Response::Answer(200, answer.to_string())
            }
            "/v1/pace" => life.answer(200, ""),
            _ => Response::Answer(404, "{}".to_owned()),
        }
    }
}
