//! Judge of the rule TWICE: no task has two runs at the same time on workers that are up, and none starts after one of
//! its runs has ended done, if that end is acknowledged then or later. An end does not count if the worker's lease lapsed
//! between the end and the acknowledgement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotpost_fleet::job::TaskId;
use shallotpost_fleet::worker::EndReason;

use super::worker::{Change, Record};

/// Returns the violations in what workers did with their runs, in the order of time.
pub fn violations<'a>(workers: impl Iterator<Item = (&'a str, &'a [Record])>) -> Vec<String> {
    let mut records: Vec<(&str, &Record)> = Vec::new();
    for (worker, of_worker) in workers {
        records.extend(of_worker.iter().map(|record| (worker, record)));
    }
    let starts: BTreeSet<(Duration, &str, TaskId, u64)> = records
        .iter()
        .filter(|(_, record)| record.change == Change::Started)
        .map(|(worker, record)| (record.at, *worker, record.task, record.number))
        .collect();
    // Ends come before starts of the same time, as calls take longer than that, except the end of a run that has just
    // started.
    records.sort_by_key(|(worker, record)| {
        let own_start = (record.at, *worker, record.task, record.number);
        let rank = match record.change {
            Change::Started => 1,
            _ if starts.contains(&own_start) => 2,
            _ => 0,
        };
        (record.at, rank)
    });
    let acknowledged: BTreeMap<(&str, u64, u64), bool> = records
        .iter()
        .filter_map(|(worker, record)| match record.change {
            Change::Acknowledged { sequence, lapsed: false } => {
                Some(((*worker, record.life, sequence), record.late))
            }
            _ => None,
        })
        .collect();
    // An owner can't know of a start that its worker executes late although a former life has executed the stop.
    let barred: BTreeSet<(&str, TaskId, u64)> = records
        .iter()
        .filter(|(_, record)| record.change == Change::Barred)
        .map(|(worker, record)| (*worker, record.task, record.number))
        .collect();
    let note = |worker: &str, run: &Record| match run.late {
        true if barred.contains(&(worker, run.task, run.number)) => " (late, stopped before)",
        true => " (late)",
        false => "",
    };
    let mut running: BTreeMap<TaskId, Vec<(&str, &Record)>> = BTreeMap::new();
    let mut done: BTreeMap<TaskId, (&str, &Record, bool)> = BTreeMap::new();
    let mut found = Vec::new();
    for (worker, record) in records {
        let task = record.task;
        let runs = running.entry(task).or_default();
        match record.change {
            Change::Started => {
                let late = note(worker, record);
                let start =
                    format!("{:?}: {task} run {}{late} on {worker}", record.at, record.number);
                for (other, run) in runs.iter() {
                    let (number, at) = (run.number, run.at);
                    let late = note(other, run);
                    found
                        .push(format!("{start} beside run {number}{late} on {other} since {at:?}"));
                }
                if let Some((other, end, late)) = done.get(&task) {
                    let (number, at) = (end.number, end.at);
                    let late = if *late { ", noted by a late call" } else { "" };
                    let end = format!("run {number} done on {other} at {at:?}{late}");
                    found.push(format!("{start} after {end}"));
                }
                runs.push((worker, record));
            }
            Change::Ended(reason, sequence) => {
                runs.retain(|(of, run)| (*of, run.number) != (worker, record.number));
                if reason == EndReason::Done
                    && let Some(late) = acknowledged.get(&(worker, record.life, sequence))
                {
                    done.entry(task).or_insert((worker, record, *late));
                }
            }
            Change::Lost => runs.retain(|(of, run)| (*of, run.number) != (worker, record.number)),
            Change::Barred | Change::Acknowledged { .. } => {}
        }
    }
    found
}
