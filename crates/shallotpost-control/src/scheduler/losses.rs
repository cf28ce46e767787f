//! Runs that were lost with their workers: their evidence in the records, and tasks that are isolated or given up for it.

use shallotpost_policy::crash::is_common_cause;
use shallotpost_policy::losses::{self, SURVIVAL_TIME, Verdict};
use shallotpost_protocol::work::{Ending, Loss, Record};

use crate::prelude::*;
use crate::scheduler::entry::{Entry, Phase};
use crate::scheduler::session::{Process, Session, Silence};
use crate::scheduler::shard::OwnedShard;

/// Time within which workers count as silent together.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(10);

/// Interval at which running tasks with losses are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl OwnedShard {
    /// Records that the process of a worker has ended, and with whose tasks.
    pub fn note_process(&mut self, context: &mut Context, worker: &WorkerId, incarnation: u64) {
        let ended = self.process(context.now, worker);
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let before = session.incarnation.replace(incarnation);
        if before == Some(incarnation) {
            return;
        }
        session.since = Some(context.now);
        self.planner.note_process(context.now, worker);
        if before.is_some() {
            // The new incarnation has no earlier attempts. They are missing from its snapshot, which releases their
            // bookings.
            session.to_acknowledge.clear();
            session.ended = ended;
            context.log(Level::Info, "worker restarted", vec![("worker", worker.clone())]);
        }
    }

    /// Returns what is known of the process that a worker runs, or ran until it stopped answering.
    pub fn process(&self, now: Instant, worker: &WorkerId) -> Option<Process> {
        let session = self.sessions.get(worker)?;
        let sent = session.tasks.iter().filter(|task| {
            let entry = self.works.get(&task.work);
            let state = entry.and_then(|entry| entry.tasks.get(task.index as usize));
            state.is_some_and(|state| state.phase.is_sent())
        });
        let mut works: Vec<&WorkId> = sent.map(|task| &task.work).collect();
        works.dedup();
        let leaving = session.leaving || session.listing.leaving || !session.listed;
        Some(Process {
            incarnation: session.incarnation?,
            since: session.since?,
            ended_at: session.silence.map_or(now, |silence| silence.since),
            single_work: works.len() == 1,
            other_cause: leaving || self.is_common_silence(session),
        })
    }

    /// Returns whether many workers stopped answering at the same time as this one. Those that ran suspect tasks do not count:
    /// several deadly tasks of one job crash their workers at the same time.
    fn is_common_silence(&self, session: &Session) -> bool {
        let Some(Silence { since, .. }) = session.silence else { return false };
        let together = self.sessions.values().filter(|other| {
            other.silence.is_some_and(|other| {
                let between = other.since.max(since) - other.since.min(since);
                !other.ran_suspect && between <= COMMON_CAUSE_TIME
            })
        });
        is_common_cause(together.count(), self.sessions.len())
    }

    /// Records that a call to a worker failed.
    pub fn note_silence(&mut self, now: Instant, worker: &WorkerId) {
        let Some(session) = self.sessions.get(worker).filter(|session| session.silence.is_none())
        else {
            return;
        };
        let ran_suspect = session.tasks.iter().any(|task| {
            let entry = self.works.get(&task.work);
            entry.is_some_and(|entry| losses::verdict(&entry.losses, task.index) != Verdict::Sound)
        });
        if let Some(session) = self.sessions.get_mut(worker) {
            session.silence = Some(Silence { since: now, ran_suspect });
        }
    }

    /// Returns the loss of the present run of a task, if it ran in this process.
    pub fn loss(&self, task: &Task, process: &Process, certain: bool) -> Option<Loss> {
        let entry = self.works.get(&task.work).filter(|entry| entry.is_idempotent())?;
        let state = entry.tasks.get(task.index as usize)?;
        let started = state.started_at?;
        let worker = state.worker.clone()?;
        (state.ran_in == Some(process.incarnation)).then_some(())?;
        let again = losses::crashed_alone(&entry.losses, task.index).contains(&worker);
        let steady = started >= process.since + losses::steady_time(again);
        Some(Loss {
            index: task.index,
            attempt: state.attempt,
            worker,
            incarnation: process.incarnation,
            age: process.ended_at.saturating_duration_since(started),
            alone: process.single_work && steady && !process.other_cause,
            certain,
        })
    }

    /// Keeps the loss of a run in the record of its work.
    pub fn record_loss(&mut self, context: &mut Context, work: &WorkId, loss: Loss) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let fields = vec![
            ("task", Task { work: work.clone(), index: loss.index }.to_string()),
            ("attempt", loss.attempt.to_string()),
            ("worker", loss.worker.clone()),
            ("age_ms", loss.age.as_millis().to_string()),
            ("alone", loss.alone.to_string()),
            ("certain", loss.certain.to_string()),
        ];
        context.log(Level::Warn, "run lost with its worker", fields);
        losses::record(&mut entry.losses, loss);
        self.index_losses(work);
        self.mark_suspects(context, work);
        self.write_losses(work);
    }

    /// Adds the losses of a record that was read.
    pub fn add_losses(&mut self, context: &mut Context, record: &Record) {
        let work = record.specification.work_id();
        let Some(entry) = self.works.get_mut(&work).filter(|_| !record.losses.is_empty()) else {
            return;
        };
        for loss in &record.losses {
            losses::record(&mut entry.losses, loss.clone());
        }
        self.index_losses(&work);
        self.mark_suspects(context, &work);
    }

    fn index_losses(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work).filter(|entry| !entry.has_ended()) else { return };
        if !entry.losses.is_empty() {
            self.with_losses.insert(work.clone());
        }
        for loss in entry.losses.iter().filter(|loss| !loss.certain) {
            self.uncertain.entry(loss.worker.clone()).or_default().insert(work.clone());
        }
    }

    /// Tells the planner which tasks of the work are suspect.
    pub fn mark_suspects(&mut self, context: &Context, work: &WorkId) {
        if !self.with_losses.contains(work) {
            return;
        }
        let Some(entry) = self.works.get(work) else { return };
        for index in 0..entry.tasks.len() as u32 {
            let task = Task { work: work.clone(), index };
            match losses::verdict(&entry.losses, index) {
                Verdict::Sound => self.planner.clear_suspect(context.now, &task),
                Verdict::Suspect | Verdict::Deadly => {
                    let crashed = losses::crashed_alone(&entry.losses, index);
                    self.planner.set_suspect(context.now, &task, &crashed);
                }
            }
        }
    }

    /// Ends work of which a task has crashed too many workers. Returns whether it ends.
    pub fn give_up_deadly(&mut self, context: &mut Context, work: &WorkId) -> bool {
        let Some(entry) = self.works.get(work).filter(|entry| entry.is_idempotent()) else {
            return false;
        };
        let indices = 0..entry.tasks.len() as u32;
        let deadly = |index: &u32| losses::verdict(&entry.losses, *index) == Verdict::Deadly;
        let Some(index) = indices.into_iter().find(deadly) else { return false };
        let detail = deadly_detail(entry, index);
        let fields = vec![("work", work.to_string()), ("detail", detail.clone())];
        context.log(Level::Warn, "work given up", fields);
        self.end(context, work, Ending::Failed, &detail);
        true
    }

    /// Decides about the uncertain losses on a worker that answers.
    pub fn resolve_losses(&mut self, context: &mut Context, worker: &WorkerId) {
        let incarnation = self.sessions.get(worker).and_then(|session| session.incarnation);
        let Some(incarnation) = incarnation else { return };
        for work in self.uncertain.remove(worker).unwrap_or_default() {
            let Some(entry) = self.works.get_mut(&work).filter(|entry| !entry.is_ending()) else {
                continue;
            };
            if losses::resolve(&mut entry.losses, worker, incarnation) {
                self.mark_suspects(context, &work);
                self.write_losses(&work);
                self.give_up_deadly(context, &work);
            }
        }
    }

    /// Ends the isolation of tasks that have outlived their losses, and clears those that have run for long.
    pub fn check_survivors(&mut self, context: &mut Context) {
        if context.now < self.next_survivors {
            return;
        }
        self.next_survivors = context.now + CHECK_INTERVAL;
        for work in self.with_losses.iter().cloned().collect::<Vec<_>>() {
            let Some(entry) = self.works.get(&work) else {
                self.with_losses.remove(&work);
                continue;
            };
            if entry.losses.is_empty() || entry.is_ending() {
                self.with_losses.remove(&work);
                continue;
            }
            let isolation_time = losses::isolation_time(&entry.losses);
            let ages: Vec<(u32, Duration)> = self.running_ages(entry).collect();
            for (index, age) in ages {
                match () {
                    () if age >= SURVIVAL_TIME => self.clear_losses(context, &work, index),
                    () if age >= isolation_time => {
                        self.planner.end_isolation(&Task { work: work.clone(), index })
                    }
                    () => {}
                }
            }
        }
    }

    /// Returns the running tasks of the work whose workers answer, with the time for which they have certainly run.
    fn running_ages(&self, entry: &Entry) -> impl Iterator<Item = (u32, Duration)> {
        (0u32..).zip(&entry.tasks).filter_map(|(index, state)| {
            let session = self.sessions.get(state.worker.as_ref()?)?;
            let running = state.phase == Phase::Running && session.answering;
            let started = state.started_at.filter(|_| running)?;
            Some((index, session.renewed.saturating_duration_since(started)))
        })
    }

    fn clear_losses(&mut self, context: &mut Context, work: &WorkId, index: u32) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let before = entry.losses.len();
        entry.losses.retain(|loss| loss.index != index);
        if entry.losses.len() < before {
            self.planner.end_isolation(&Task { work: work.clone(), index });
            self.mark_suspects(context, work);
            self.write_losses(work);
        }
    }

    /// Schedules a write of the losses, together with the state that the record has or gets next.
    fn write_losses(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        if entry.is_ending() || entry.moving.is_some() || entry.pending_state.is_some() {
            return;
        }
        let writing = entry.writing.as_ref().map(|(_, state)| state);
        let state = writing.unwrap_or(&entry.record.state).clone();
        self.set_pending_state(work, state);
    }
}

fn deadly_detail(entry: &Entry, index: u32) -> String {
    let crashes = entry.losses.iter().filter(|loss| loss.index == index && loss.certain);
    let alone = crashes.clone().filter(|loss| loss.alone).count();
    let workers: Vec<&str> = crashes.map(|loss| loss.worker.as_str()).collect();
    format!(
        "task {index} crashed its worker {} times ({}), {alone} times while nothing else ran there; correct the task, then submit it under a new id",
        workers.len(),
        workers.join(", ")
    )
}
