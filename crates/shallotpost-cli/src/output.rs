//! Formats replies as text: tables, lines and times.

use std::fmt::Write;

use shallotpost_protocol::interface::{Overview, WorkerState};
use shallotpost_protocol::resource::{
    Availability, Change, Entry, Propagation, RefusedChange, Resource, Right,
};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::work::{Class, Explanation, Outcome, State, Status};

/// Formats a table with a header line and two spaces between columns. Returns `none` if there are no rows.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() {
        return "none\n".to_owned();
    }
    let header: Vec<String> = header.iter().map(|title| title.to_uppercase()).collect();
    let width = |column: usize| {
        let cells = std::iter::once(&header).chain(rows).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Formats resources of one kind as a table.
pub fn entries(entries: &[Entry]) -> String {
    let row = |entry: &Entry| {
        vec![entry.name.clone(), entry.revision.to_string(), content(&entry.resource)]
    };
    table(&["name", "revision", "content"], &entries.iter().map(row).collect::<Vec<_>>())
}

/// Formats the content of a resource in one line.
pub fn content(resource: &Resource) -> String {
    match resource {
        Resource::Team(team) => format!("share {}, cap {}", team.share, size(&team.cap)),
        Resource::Key(key) => {
            let right = match &key.right {
                Right::Team(team) => format!("team {team}"),
                Right::Operator => "operator".to_owned(),
            };
            match key.expires_unix_ms {
                Some(expires) => format!("{right}, expires {}", time(expires)),
                None => right,
            }
        }
        Resource::DataCentre(data_centre) => {
            let drained = data_centre.availability == Availability::Drained;
            let note = if drained { " (starts no tasks)" } else { "" };
            format!("{}{note}, shards {}", data_centre.availability, data_centre.shards)
        }
        Resource::Queue(queue) => {
            format!("team {}, {}", queue.team, if queue.open { "open to all" } else { "closed" })
        }
        Resource::Policy(policy) => format!(
            "batch {}, urgent within {} ms, quarantine after {} failures, on cut: services {}, others {}",
            if policy.pack_batch { "packed" } else { "spread" },
            policy.urgent_bound.as_millis(),
            policy.quarantine_failures,
            policy.services_on_partition,
            policy.others_on_partition
        ),
    }
}

/// Formats a size. Unlimited amounts (`u64::MAX`) are left out.
pub fn size(size: &Size) -> String {
    let names = ["processors_milli", "memory_mib", "accelerators", "slots"];
    let limited = names.iter().zip(size.parts()).filter(|(_, amount)| *amount != u64::MAX);
    let parts: Vec<String> = limited.map(|(name, amount)| format!("{name} {amount}")).collect();
    if parts.is_empty() { "unlimited".to_owned() } else { parts.join(" ") }
}

/// Formats whether a revision is in force, and what it waits for if it is not.
pub fn propagation(propagation: &Propagation) -> String {
    if propagation.in_force {
        format!("revision {}: in force", propagation.revision)
    } else if propagation.waiting_for.is_empty() {
        format!("revision {}: pending", propagation.revision)
    } else {
        format!(
            "revision {}: pending, waits for {}",
            propagation.revision,
            propagation.waiting_for.join(", ")
        )
    }
}

/// Formats accepted changes as a table.
pub fn changes(changes: &[Change]) -> String {
    let row = |change: &Change| {
        vec![
            change.revision.to_string(),
            time(change.at_unix_ms),
            change.who.clone(),
            change.host.clone(),
            format!("{}/{}", change.kind, change.name),
            difference(change),
        ]
    };
    let header = ["revision", "time", "key", "host", "resource", "change"];
    table(&header, &changes.iter().map(row).collect::<Vec<_>>())
}

fn difference(change: &Change) -> String {
    match (&change.before, &change.after) {
        (None, Some(after)) => format!("created: {}", content(after)),
        (Some(before), Some(after)) => format!("{} -> {}", content(before), content(after)),
        (Some(before), None) => format!("deleted: {}", content(before)),
        (None, None) => "no content".to_owned(),
    }
}

/// Formats refused changes as a table.
pub fn refused(refused: &[RefusedChange]) -> String {
    let row = |change: &RefusedChange| {
        vec![
            time(change.at_unix_ms),
            change.who.clone(),
            change.host.clone(),
            format!("{}/{}", change.kind, change.name),
            change.reason.clone(),
        ]
    };
    let header = ["time", "key", "host", "resource", "reason"];
    table(&header, &refused.iter().map(row).collect::<Vec<_>>())
}

/// Formats the status of several pieces of work as a table.
pub fn work(entries: &[Status]) -> String {
    let row = |status: &Status| {
        vec![
            status.work.to_string(),
            class(status.class),
            status.shard.to_string(),
            state(&status.state),
            status.tasks.len().to_string(),
        ]
    };
    let header = ["work", "class", "shard", "state", "tasks"];
    table(&header, &entries.iter().map(row).collect::<Vec<_>>())
}

/// Formats workers as a table.
pub fn workers(entries: &[WorkerState]) -> String {
    let row = |state: &WorkerState| {
        let condition = match state {
            WorkerState { answers: false, .. } => "silent",
            WorkerState { leaving: true, .. } => "leaving",
            _ => "open",
        };
        vec![
            state.worker.clone(),
            state.shard.to_string(),
            state.rack.clone(),
            condition.to_owned(),
            size(&state.booked),
            size(&state.capacity),
        ]
    };
    let header = ["worker", "shard", "rack", "state", "booked", "capacity"];
    table(&header, &entries.iter().map(row).collect::<Vec<_>>())
}

/// Formats the status of one piece of work, followed by its outcome and its tasks.
pub fn status(status: &Status) -> String {
    let mut text = work(std::slice::from_ref(status));
    if let State::Ended(outcome) = &status.state {
        let _ = write!(text, "\n{}", self::outcome(outcome));
    }
    let row = |task: &shallotpost_protocol::work::TaskStatus| {
        vec![
            task.task.index.to_string(),
            task.phase.to_string(),
            task.worker.clone().unwrap_or_else(|| "-".to_owned()),
            task.attempt.to_string(),
        ]
    };
    if !status.tasks.is_empty() {
        let rows = status.tasks.iter().map(row).collect::<Vec<_>>();
        let _ = write!(text, "\n{}", table(&["task", "phase", "worker", "attempt"], &rows));
    }
    text
}

pub fn outcome(outcome: &Outcome) -> String {
    let mut text = format!("ending: {}\n", outcome.ending);
    if !outcome.detail.is_empty() {
        let _ = writeln!(text, "detail: {}", outcome.detail);
    }
    let _ = writeln!(text, "not run: {}", if outcome.not_run { "yes" } else { "no" });
    for (task, object) in &outcome.results {
        let _ = writeln!(
            text,
            "result of task {task}: {} ({} bytes, sha256 {})",
            object.name, object.length, object.digest
        );
    }
    text
}

/// Formats the reasons why work waits, and the remedies.
pub fn explanation(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}\n", explanation.work, explanation.phase);
    for reason in &explanation.reasons {
        let _ = writeln!(text, "reason: {reason}");
    }
    for remedy in &explanation.remedies {
        let _ = writeln!(text, "remedy: {remedy}");
    }
    text
}

/// Formats the overview: hosts, shards, what is cut off and which revisions are pending.
pub fn overview(overview: &Overview) -> String {
    let yes_or_no = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    let hosts: Vec<Vec<String>> = overview
        .hosts
        .iter()
        .map(|host| {
            vec![
                host.host.clone(),
                host.data_centre.clone(),
                yes_or_no(host.reachable),
                yes_or_no(host.draining),
                host.revision.to_string(),
            ]
        })
        .collect();
    let shards: Vec<Vec<String>> = overview
        .shards
        .iter()
        .map(|shard| {
            vec![
                shard.shard.to_string(),
                shard.owner.clone().unwrap_or_else(|| "-".to_owned()),
                shard.epoch.to_string(),
                shard.waiting.to_string(),
                shard.running.to_string(),
                shard.workers.to_string(),
                shard.silent_workers.to_string(),
            ]
        })
        .collect();
    let mut text = format!("configuration revision {}\n\n", overview.revision);
    let header = ["host", "data centre", "reachable", "draining", "revision"];
    let _ = writeln!(text, "{}", table(&header, &hosts));
    let header = ["shard", "owner", "epoch", "waiting", "running", "workers", "silent"];
    let _ = writeln!(text, "{}", table(&header, &shards));
    let _ = writeln!(text, "cut off:\n{}", list(&cut_off(overview)));
    let pending: Vec<String> = overview.pending.iter().map(propagation).collect();
    let _ = write!(text, "pending:\n{}", list(&pending));
    text
}

/// Lists what does not answer, in the order table service, data centres, shards.
pub fn cut_off(overview: &Overview) -> Vec<String> {
    let mut lines = Vec::new();
    if !overview.table_reachable {
        lines.push("table service: new submissions and changes are refused".to_owned());
    }
    let mut data_centres: Vec<&str> =
        overview.hosts.iter().map(|host| host.data_centre.as_str()).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    for data_centre in data_centres {
        let hosts = || overview.hosts.iter().filter(|host| host.data_centre == data_centre);
        let unreachable: Vec<&str> =
            hosts().filter(|host| !host.reachable).map(|host| host.host.as_str()).collect();
        if unreachable.len() == hosts().count() {
            lines.push(format!("data centre {data_centre}: no entry host answers"));
        } else if !unreachable.is_empty() {
            lines.push(format!(
                "data centre {data_centre}: no answer from {}",
                unreachable.join(", ")
            ));
        }
    }
    for shard in &overview.shards {
        if shard.owner.is_none() {
            lines.push(format!("shard {}: no owner", shard.shard));
        }
        if shard.silent_workers > 0 {
            lines.push(format!(
                "shard {}: {} of {} workers do not answer",
                shard.shard, shard.silent_workers, shard.workers
            ));
        }
    }
    lines
}

fn list(lines: &[String]) -> String {
    if lines.is_empty() {
        return "  none\n".to_owned();
    }
    lines.iter().map(|line| format!("  {line}\n")).collect()
}

fn class(class: Class) -> String {
    match class {
        Class::Service { replicas: tasks } | Class::Gang { parts: tasks } => {
            format!("{} of {tasks}", class.name())
        }
        Class::Batch | Class::Urgent => class.name().to_owned(),
    }
}

fn state(state: &State) -> String {
    match state {
        State::Admitted => "admitted".to_owned(),
        State::Cancelling => "cancelling".to_owned(),
        State::Starting { workers, .. } => format!("starting on {}", workers.join(", ")),
        State::Ended(outcome) => format!("ended: {}", outcome.ending),
    }
}

/// Formats a time in milliseconds since the Unix epoch as `YYYY-MM-DDThh:mm:ss.mmmZ`.
pub fn time(unix_ms: u64) -> String {
    const DAY_MS: u64 = 86_400_000;
    let (day, rest) = (unix_ms / DAY_MS, unix_ms % DAY_MS);
    let (year, month, day_of_month) = civil_from_days(day);
    let (seconds, milliseconds) = (rest / 1000, rest % 1000);
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!(
        "{year:04}-{month:02}-{day_of_month:02}T{hour:02}:{minute:02}:{second:02}.{milliseconds:03}Z"
    )
}

/// Converts days since 1970-01-01 to year, month and day of the month in the Gregorian calendar.
///
/// The calculation starts years in March, so that the leap day is the last day of a year.
fn civil_from_days(day: u64) -> (u64, u64, u64) {
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let day = day + DAYS_TO_EPOCH;
    let (era, day_of_era) = (day / DAYS_PER_ERA, day % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day_of_month)
}
