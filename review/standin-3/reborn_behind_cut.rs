//! A worker is cut off and starts again behind the cut, and its new process carries out a start that was meant for the former one.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, number, object, text};
use crate::site::{Record, SPECIAL, Site, configuration, route, tenant};

const KEY: &str = "key-of-hule930";
const JOB: &str = "5c0e7a21d94b36f8";

/// Duration of the only task.
const TASK_MS: u64 = 25_000;

/// Time from the start without an answer until the worker is cut off, at least.
const CUT_AFTER: Duration = Duration::from_secs(3);

/// Age of the worker's last answer when it is cut off. It answers every 1.4 s.
const SILENCE: Duration = Duration::from_millis(1_100);

/// When the worker crashes, is up again and carries the start out, and when the cut ends, counted from its beginning.
const CRASH: Duration = Duration::from_millis(300);
const RESTART: Duration = Duration::from_millis(800);
const LATE: Duration = Duration::from_millis(1_500);
const CUT: Duration = Duration::from_millis(5_500);

/// Time for which the case goes on after the cut.
const AFTER: Duration = Duration::from_secs(12);

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Option<bool> {
    let tenants = vec![tenant("hule930", KEY)];
    let site = Site::start(
        folder,
        record,
        &configuration(7, vec![route("r-1", "/lohu930/", 1)], tenants),
    )?;
    thread::sleep(Duration::from_secs(4));
    let special = &site.workers[..SPECIAL];
    let due = Arc::new(AtomicBool::new(false));
    if trouble {
        special.iter().for_each(|worker| worker.delay_start(JOB, Arc::clone(&due)));
    }
    // One of the two workers of the kind that the task needs gets the start.
    let step = object(vec![
        ("count", number(1)),
        ("cpu", number(1_000)),
        ("requested_memory_mb", number(256)),
        ("estimated_ms", number(TASK_MS)),
        ("required_label", text("b")),
    ]);
    let specification = text(format!("run {TASK_MS} {TASK_MS}"));
    let body = object(vec![("specification", specification), ("steps", Json::List(vec![step]))]);
    let path = format!("/lohu930/{JOB}");
    let answer = site.request(0, "POST", &path, KEY, Some(&body));
    if answer.is_none_or(|(status, _)| status != 200) {
        return None;
    }
    let sent = Instant::now();
    if trouble {
        let deadline = sent + Duration::from_secs(5);
        let got = || special.iter().find(|worker| worker.has_delayed());
        while got().is_none() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        let worker = got()?;
        // Only one start is left without an answer.
        special.iter().for_each(|worker| worker.answer_starts());
        record.line(&format!("worker {} leaves the start without an answer", worker.id));
        thread::sleep(CUT_AFTER);
        while worker.silence() < SILENCE || !site.runs(JOB, &worker.id) {
            thread::sleep(Duration::from_millis(5));
            if sent.elapsed() > Duration::from_secs(8) {
                record.line("the task does not run on the worker again");
                return None;
            }
        }
        let cut = Instant::now();
        let until = |after: Duration| {
            thread::sleep((cut + after).saturating_duration_since(Instant::now()))
        };
        worker.set_cut(true);
        record.line(&format!(
            "worker {} is cut off, {:.3} s after its last answer",
            worker.id,
            worker.silence().as_secs_f64()
        ));
        until(CRASH);
        worker.crash();
        until(RESTART);
        worker.restart();
        record.line("it has started again behind the cut");
        until(LATE);
        due.store(true, Ordering::SeqCst);
        record.line(&format!(
            "it carries the start out, {:.3} s after the job was sent",
            sent.elapsed().as_secs_f64()
        ));
        until(CUT);
        worker.set_cut(false);
        record.line("the cut has ended");
        thread::sleep(AFTER);
    } else {
        thread::sleep(CUT_AFTER + CUT + AFTER);
    }
    let begun = site.workers.iter().flat_map(|worker| {
        let runs = worker.history().into_iter().filter(|begun| begun.task.starts_with(JOB));
        runs.map(|begun| (worker.id.clone(), begun)).collect::<Vec<_>>()
    });
    let begun: Vec<_> = begun.collect();
    let at = |time: Instant| time.saturating_duration_since(sent).as_secs_f64();
    for (worker, run) in &begun {
        let end =
            run.end.map_or("runs".to_owned(), |(end, how)| format!("{how} at {:.3}", at(end)));
        record.line(&format!(
            "run {} of {} on {worker}: from {:.3}, {end}",
            run.run,
            run.task,
            at(run.start)
        ));
    }
    let mut overlaps = 0;
    for (position, (_, one)) in begun.iter().enumerate() {
        for (_, other) in &begun[position + 1..] {
            let from = one.start.max(other.start);
            let to = [one, other].into_iter().filter_map(|run| run.end).map(|(end, _)| end).min();
            let to = to.unwrap_or_else(Instant::now);
            if one.task == other.task && to > from {
                overlaps += 1;
                record.line(&format!(
                    "runs {} and {} of {} at the same time, for {:.3} s",
                    one.run,
                    other.run,
                    one.task,
                    (to - from).as_secs_f64()
                ));
            }
        }
    }
    (!begun.is_empty()).then_some(overlaps == 0)
}
