//! What workers report: ends of runs, and the runs that are present.

use crate::job::StageId;
use crate::port::{Counter, Timing};
use crate::prelude::*;
use crate::progress::State;
use crate::scheduler::session::{Phase, Placement, WorkerKey};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Scheduler};
use crate::worker::{EndReason, EndedRun, Run};

/// Time for which reports of a job that is not known wait for it: the feed of jobs brings it within half a second, and a
/// slow store within a few.
const UNKNOWN_JOB_PATIENCE: Duration = Duration::from_secs(4);

/// The lowest task of a job, in the order of tasks.
fn first_task(job: JobId) -> TaskId {
    StageId { job, occurrence: 0, step: 0 }.task(0)
}

/// The highest task of a job.
fn last_task(job: JobId) -> TaskId {
    StageId { job, occurrence: u32::MAX, step: u16::MAX }.task(u32::MAX)
}

impl Scheduler {
    /// Processes the ends that are new.
    pub(super) fn process_ends(
        &mut self,
        worker: &WorkerKey,
        ended: Vec<EndedRun>,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.waiting_ends.clear();
        for (position, end) in ended.iter().enumerate() {
            let known = self.jobs.contains_key(&end.task.stage.job);
            let Some(session) = self.sessions.get_mut(worker) else { return };
            if end.sequence <= session.processed {
                continue;
            }
            if !known {
                // An earlier owner may have started a job that this one has not read yet. The end must not be noted before.
                let since = *session.waiting_since.get_or_insert(context.now);
                if context.now.saturating_sub(since) < UNKNOWN_JOB_PATIENCE {
                    session.waiting_ends = ended[position..].to_vec();
                    return;
                }
            }
            session.waiting_since = None;
            session.processed = end.sequence;
            self.process_end(worker, end, context);
        }
    }

    /// A job has become known: what workers listed of it before applies now.
    pub(super) fn apply_early_reports(&mut self, id: JobId, context: &mut Context) {
        let range = first_task(id)..=last_task(id);
        let workers: Vec<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                !session.waiting_ends.is_empty()
                    || session.placements.range(range.clone()).next().is_some()
            })
            .map(|(key, _)| Rc::clone(key))
            .collect();
        for worker in workers {
            let Some(session) = self.sessions.get_mut(&worker) else { continue };
            let runs: Vec<TaskId> =
                session.placements.range(range.clone()).map(|(task, _)| *task).collect();
            let ends = std::mem::take(&mut session.waiting_ends);
            for task in runs {
                self.note_started(id, context);
                if let Some(stage) = self.stage_mut(task.stage)
                    && let Some(state) = stage.tasks.get_mut(task.index as usize)
                {
                    state.place = Place::Placed(Rc::clone(&worker));
                }
            }
            self.process_ends(&worker, ends, context);
        }
    }

    fn process_end(&mut self, worker: &WorkerKey, end: &EndedRun, context: &mut Context) {
        context.outputs.push(Output::Count { counter: Counter::Ends, amount: 1 });
        let task = end.task;
        let current = self.sessions.get(worker).and_then(|session| session.placements.get(&task));
        let was_current = current.is_some_and(|run| run.number == end.number);
        let ordered = current.is_some_and(|run| run.phase == Phase::Stopping);
        if was_current {
            self.release(worker, &task);
        }
        let fields = vec![
            ("task", task.to_string()),
            ("run", end.number.to_string()),
            ("worker", worker.to_string()),
            ("ending", end.reason.to_string()),
            ("ordered", ordered.to_string()),
        ];
        context.log("run_ended", fields);
        if matches!(end.reason, EndReason::Done | EndReason::Failed)
            && let Some(session) = self.sessions.get_mut(worker)
        {
            session.record_outcome(end.reason == EndReason::Failed, context.now);
        }
        let Some(step) = self.step(task.stage) else { return };
        let (gang, long_running) = (step.gang, step.long_running);
        self.dirty.insert(task.stage.job);
        match end.reason {
            EndReason::Done if !long_running => self.complete(task, gang, context),
            EndReason::Failed if !long_running => {
                self.fail(worker, end, gang, context);
                self.requeue_ended(worker, end, was_current, context);
            }
            _ => self.requeue_ended(worker, end, was_current, context),
        }
    }

    /// A task is done; one end stands for all members of a gang.
    fn complete(&mut self, task: TaskId, gang: bool, context: &mut Context) {
        let Some(stage) = self.stage_mut(task.stage) else { return };
        let members: Vec<u32> = match gang {
            true => (0..u32::try_from(stage.tasks.len()).unwrap_or(u32::MAX)).collect(),
            false => vec![task.index],
        };
        for index in members {
            stage.complete(index);
        }
        if !gang {
            self.stop_elsewhere(task, context);
        }
        self.round_due = true;
        self.check_completion(task.stage, context);
    }

    /// Stops further runs of a task that is done.
    fn stop_elsewhere(&mut self, task: TaskId, context: &mut Context) {
        let others: Vec<(WorkerKey, u64)> = self
            .sessions
            .iter()
            .filter_map(|(key, session)| {
                let run = session.placements.get(&task)?;
                (run.phase != Phase::Stopping).then(|| (Rc::clone(key), run.number))
            })
            .collect();
        for (worker, number) in others {
            self.send_stop(&worker, task, number, context);
        }
    }

    fn check_completion(&mut self, stage: StageId, context: &mut Context) {
        let Some(entry) = self.jobs.get_mut(&stage.job) else { return };
        if entry.state.is_final() {
            return;
        }
        while entry.occurrences_done < entry.occurrences_begun {
            let occurrence = entry.occurrences_done;
            let range = (occurrence, 0)..=(occurrence, u16::MAX);
            if entry.stages.range(range.clone()).any(|(_, stage)| stage.open > 0) {
                break;
            }
            let keys: Vec<(u32, u16)> = entry.stages.range(range).map(|(key, _)| *key).collect();
            keys.iter().for_each(|key| drop(entry.stages.remove(key)));
            entry.occurrences_done += 1;
        }
        if entry.occurrences_done >= entry.job.occurrences() {
            entry.state = State::Completed;
            entry.finished = Some(context.now);
            self.open.remove(&stage.job);
        }
    }

    /// Counts a failed run against the attempts of its task or gang.
    fn fail(&mut self, worker: &WorkerKey, end: &EndedRun, gang: bool, context: &mut Context) {
        let id = end.task.stage;
        let attempts_max = self.terms(id.job).map(|terms| terms.attempts_max);
        let Some(stage) = self.stage_mut(id) else { return };
        let index = if gang { 0 } else { end.task.index as usize };
        let Some(task) = stage.tasks.get_mut(index) else { return };
        if task.place == Place::Done || task.failed_runs.contains(&end.number) {
            return;
        }
        task.failed_runs.push(end.number);
        task.failed_on = Some(Rc::clone(worker));
        let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
        if failures < attempts_max.unwrap_or(1).max(1) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        if !entry.state.is_final() {
            entry.state = State::Failed;
            entry.finished = Some(context.now);
            self.open.remove(&id.job);
            let fields = vec![("task", end.task.to_string()), ("failures", failures.to_string())];
            context.log("job_failed", fields);
            self.stop_job(id.job, context);
        }
    }

    fn requeue_ended(
        &mut self,
        worker: &WorkerKey,
        end: &EndedRun,
        was_current: bool,
        context: &mut Context,
    ) {
        let gang = self.step(end.task.stage).is_some_and(|step| step.gang);
        if let Some(stage) = self.stage_mut(end.task.stage)
            && !end.checkpoint.is_empty()
        {
            // The value of any member is valid for the whole gang, and all must carry the same one.
            let members = match gang {
                true => &mut stage.tasks[..],
                false => stage
                    .tasks
                    .get_mut(end.task.index as usize..=end.task.index as usize)
                    .unwrap_or_default(),
            };
            members.iter_mut().for_each(|task| task.checkpoint.clone_from(&end.checkpoint));
        }
        if was_current {
            self.requeue(end.task, worker);
            self.break_gang(end.task, context);
        }
    }

    /// Compares the runs that a worker lists with its bookings. Bookings that changed after `asked` are left alone.
    pub(super) fn process_runs(
        &mut self,
        worker: &WorkerKey,
        asked: Uptime,
        running: Vec<Run>,
        context: &mut Context,
    ) {
        let present: BTreeSet<TaskId> = running.iter().map(|run| run.task).collect();
        for run in running {
            self.process_run(worker, run, context);
        }
        let Some(session) = self.sessions.get(worker) else { return };
        let missing: Vec<TaskId> = session
            .placements
            .iter()
            .filter(|(task, _)| !present.contains(task))
            .filter(|(_, run)| run.changed < asked)
            .filter(|(_, run)| match run.phase {
                Phase::Running => true,
                Phase::Starting => false,
                Phase::Doubtful | Phase::Stopping => run.stop_confirmed,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.release(worker, &task);
            self.requeue(task, worker);
            self.break_gang(task, context);
        }
    }

    fn process_run(&mut self, worker: &WorkerKey, run: Run, context: &mut Context) {
        let now = context.now;
        let known = self.jobs.contains_key(&run.task.stage.job);
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Some(placement) = session.placements.get_mut(&run.task) else {
            self.adopt(worker, run, context);
            return;
        };
        if !known
            && placement.phase == Phase::Running
            && now.saturating_sub(placement.since) > UNKNOWN_JOB_PATIENCE
        {
            self.send_stop(worker, run.task, run.number, context);
            return;
        }
        if placement.number != run.number {
            let newer = placement.number > run.number;
            if newer {
                self.rule_out(worker, run.task, run.number, context);
            }
            return;
        }
        if placement.phase == Phase::Starting {
            placement.phase = Phase::Running;
            placement.changed = now;
        }
        placement.percent = run.percent;
        placement.gauge = run.gauge;
        self.note_started(run.task.stage.job, context);
        if let Some(stage) = self.stage_mut(run.task.stage)
            && let Some(task) = stage.tasks.get_mut(run.task.index as usize)
            && !run.checkpoint.is_empty()
        {
            task.checkpoint = run.checkpoint;
        }
    }

    /// A task of the job has started.
    pub(super) fn note_started(&mut self, id: JobId, context: &mut Context) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && entry.state == State::Queued
        {
            entry.state = State::Running;
            let duration = context.now.saturating_sub(entry.admitted);
            context.outputs.push(Output::Time { timing: Timing::JobStart, duration });
        }
    }

    /// Books a run that a worker lists and this owner did not start, or stops it where it is not wanted.
    fn adopt(&mut self, worker: &WorkerKey, run: Run, context: &mut Context) {
        let id = run.task.stage;
        let priority = self.terms(id.job).map_or(0, |terms| terms.priority);
        let wanted = self.open.contains(&id.job)
            && self
                .stage(id)
                .and_then(|stage| stage.tasks.get(run.task.index as usize))
                .is_some_and(|task| matches!(task.place, Place::Waiting | Place::Uncertain))
            && self.fits_gang(run.task, run.number);
        let entry = self.jobs.get(&id.job);
        let team = entry.and_then(|entry| entry.team.clone());
        let step = self.step(id).cloned().unwrap_or_default();
        let placement = Placement {
            percent: run.percent,
            gauge: run.gauge,
            phase: Phase::Running,
            ..new_placement(&step, run.number, team, priority, context.now)
        };
        self.book(worker, run.task, placement);
        if !self.jobs.contains_key(&id.job) {
            // It holds its room until the job is known. A job that does not become known is stopped.
            context.log("run_of_unknown_job", vec![("task", run.task.to_string())]);
            return;
        }
        if !wanted {
            self.send_stop(worker, run.task, run.number, context);
            return;
        }
        let fields = vec![("task", run.task.to_string()), ("worker", worker.to_string())];
        context.log("run_adopted", fields);
        self.note_started(id.job, context);
        if let Some(stage) = self.stage_mut(id)
            && let Some(task) = stage.tasks.get_mut(run.task.index as usize)
        {
            task.place = Place::Placed(Rc::clone(worker));
            if !run.checkpoint.is_empty() {
                task.checkpoint = run.checkpoint;
            }
        }
    }

    /// Whether a run has the number of the other members of its gang.
    fn fits_gang(&self, task: TaskId, number: u64) -> bool {
        if !self.step(task.stage).is_some_and(|step| step.gang) {
            return true;
        }
        let range = task.stage.task(0)..=task.stage.task(u32::MAX);
        self.sessions
            .values()
            .flat_map(|session| session.placements.range(range.clone()))
            .all(|(_, run)| run.number == number)
    }
}

/// A booking for a run of this step.
pub(super) fn new_placement(
    step: &Step,
    number: u64,
    team: Option<Rc<str>>,
    priority: u32,
    now: Uptime,
) -> Placement {
    Placement {
        number,
        booking: step.booking(),
        size: step.size,
        team,
        priority,
        phase: Phase::Starting,
        since: now,
        changed: now,
        stop_confirmed: false,
        percent: 0.0,
        checkpoints: step.checkpoints,
        preemptible: !step.gang && !step.long_running,
        target: (step.latency_target > Duration::ZERO).then_some(step.latency_target),
        fills: step.best_effort,
        pace: 100,
        paced: Uptime::ZERO,
        gauge: None,
    }
}
