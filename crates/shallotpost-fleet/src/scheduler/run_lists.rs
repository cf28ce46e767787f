//! Processing of the lists that workers report: ended runs and present runs.

use crate::job::StageId;
use crate::port::{Counter, Timing};
use crate::prelude::*;
use crate::progress::{Cause, Failure, State};
use crate::scheduler::crashes::Loss;
use crate::scheduler::session::{FULL_SPEED_PERCENT, Phase, Placement, WorkerKey};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Scheduler};
use crate::worker::{EndReason, EndedRun, Run};

/// Time for which reports of an unknown job are kept: the feed of jobs delivers the job within half a second, and a slow
/// store within a few seconds.
const UNKNOWN_JOB_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the first task of a job in the order of task identifiers.
pub(super) fn first_task(job: JobId) -> TaskId {
    StageId { job, occurrence: 0, step: 0 }.task(0)
}

/// Returns the last possible task of a job in the order of task identifiers.
pub(super) fn last_task(job: JobId) -> TaskId {
    StageId { job, occurrence: u32::MAX, step: u16::MAX }.task(u32::MAX)
}

impl Scheduler {
    /// Processes the ended runs that are new, in the order of their sequence numbers.
    pub(super) fn process_ends(
        &mut self,
        worker: &WorkerKey,
        ended: Vec<EndedRun>,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.waiting_ends.clear();
        // The waits run at the same time, so that no end waits for more than one of them.
        for end in ended.iter().filter(|end| end.sequence > session.processed) {
            if !self.jobs.contains_key(&end.task.stage.job) {
                session.unknown_since.entry(end.sequence).or_insert(context.now);
            }
        }
        for (position, end) in ended.iter().enumerate() {
            let known = self.jobs.contains_key(&end.task.stage.job);
            let Some(session) = self.sessions.get_mut(worker) else { return };
            if end.sequence <= session.processed {
                continue;
            }
            if !known {
                // An earlier owner may have started a job that this one has not read yet. Its end must not be
                // acknowledged before the job is known.
                let since =
                    session.unknown_since.get(&end.sequence).copied().unwrap_or(context.now);
                // While reads of the jobs fail, the job may have been stored long before.
                let may_be_stored = context.jobs_known_until < since;
                if may_be_stored || context.now.saturating_sub(since) < UNKNOWN_JOB_TIMEOUT {
                    session.waiting_ends = ended[position..].to_vec();
                    return;
                }
            }
            session.unknown_since.remove(&end.sequence);
            let expected = session.processed + 1;
            let follows_known = session.processed > 0 || session.incarnation > 0;
            session.processed = end.sequence;
            if follows_known && end.sequence > expected {
                let fields = vec![
                    ("worker", worker.to_string()),
                    ("expected", expected.to_string()),
                    ("listed", end.sequence.to_string()),
                ];
                context.log("ends_skipped", fields);
            }
            self.process_end(worker, end, context);
        }
    }

    /// Applies to a newly added job what workers listed of it before.
    pub(super) fn apply_early_reports(&mut self, id: JobId, context: &mut Context) {
        let range = first_task(id)..=last_task(id);
        let workers: BTreeSet<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| !session.waiting_ends.is_empty())
            .map(|(key, _)| Rc::clone(key))
            .chain(self.runs(range.clone()).map(|(key, _, _)| Rc::clone(key)))
            .collect();
        for worker in workers {
            let Some(session) = self.sessions.get_mut(&worker) else { continue };
            let runs: Vec<TaskId> =
                session.placements.range(range.clone()).map(|(task, _)| *task).collect();
            let ends = std::mem::take(&mut session.waiting_ends);
            for task in runs {
                self.mark_started(id, context);
                self.begin_listed_occurrence(task.stage, context);
                if let Some(stage) = self.stage_mut(task.stage)
                    && let Some(state) = stage.task_mut(task.index)
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
        self.release_decided_start(worker, task, end.number);
        let current = self.sessions.get(worker).and_then(|session| session.placements.get(&task));
        let was_current = current.is_some_and(|run| run.number == end.number);
        let stop_requested = current.is_some_and(|run| run.phase == Phase::Stopping);
        let started = current.map(|run| run.started);
        if was_current {
            self.release(worker, &task);
        }
        let fields = vec![
            ("task", task.to_string()),
            ("run", end.number.to_string()),
            ("worker", worker.to_string()),
            ("ending", end.reason.to_string()),
            ("ordered", stop_requested.to_string()),
        ];
        context.log("run_ended", fields);
        if matches!(end.reason, EndReason::Done | EndReason::Failed)
            && let Some(session) = self.sessions.get_mut(worker)
        {
            session.record_outcome(end.reason == EndReason::Failed, context.now);
        }
        if end.reason == EndReason::Done
            && let Some(started) = started.filter(|_| was_current)
        {
            self.record_duration(worker, task, context.now.saturating_sub(started), context.now);
        }
        let Some(step) = self.step(task.stage) else { return };
        let (gang, long_running) = (step.gang, step.long_running);
        self.dirty.insert(task.stage.job);
        self.begin_listed_occurrence(task.stage, context);
        self.acquit(task, end.number);
        match end.reason {
            EndReason::Done if !long_running => {
                self.hold_end(worker, end, context.now);
                self.complete(task, gang, context);
            }
            EndReason::Failed if !long_running => {
                self.record_failure(worker, end, gang, context);
                // The last attempt: a later start would be one too many.
                if !self.unfinished.contains(&task.stage.job) {
                    self.hold_end(worker, end, context.now);
                }
                self.requeue_ended(worker, end, was_current, context);
            }
            _ => self.requeue_ended(worker, end, was_current, context),
        }
    }

    /// Takes the duration of a completed run into account in the speeds of its queue and its worker. Runs of gangs wait
    /// for each other, and runs from a checkpoint are shorter.
    fn record_duration(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        duration: Duration,
        now: Uptime,
    ) {
        let Some(entry) = self.jobs.get(&task.stage.job) else { return };
        let Some(step) = entry.job.steps.get(usize::from(task.stage.step)) else { return };
        let resumed = self
            .stage(task.stage)
            .and_then(|stage| stage.task(task.index))
            .is_none_or(|state| !state.checkpoint.is_empty());
        if step.gang || step.long_running || resumed {
            return;
        }
        let (estimate, profile) = (step.estimate, entry.job.profile());
        let difference = self.queue_speeds.entry(profile).or_default().observe(estimate, duration);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.slowness.record(difference, now);
        }
    }

    /// Completes a task. One ended run completes all members of a gang.
    fn complete(&mut self, task: TaskId, gang: bool, context: &mut Context) {
        let Some(stage) = self.stage_mut(task.stage) else { return };
        match gang {
            true => stage.complete_all(),
            false => _ = stage.complete(task.index),
        }
        if stage.unfinished == 0 {
            self.mark_successors(task.stage);
        }
        if !gang {
            self.stop_other_runs(task, context);
        }
        self.round_due = true;
        self.check_completion(task.stage.job, context.now);
    }

    /// Records that the stages which wait for a completed one may be placeable.
    fn mark_successors(&mut self, done: StageId) {
        let Some(entry) = self.jobs.get(&done.job) else { return };
        let successors = entry.job.steps.iter().zip(0u16..);
        for (_, step) in successors.filter(|(step, _)| step.after.contains(&done.step)) {
            self.fresh.insert(StageId { step, ..done });
        }
    }

    /// Stops other runs of a completed task.
    fn stop_other_runs(&mut self, task: TaskId, context: &mut Context) {
        let others: Vec<(WorkerKey, u64)> = self
            .runs(task..=task)
            .filter(|(_, _, run)| !matches!(run.phase, Phase::Stopping | Phase::Undecided { .. }))
            .map(|(key, _, run)| (Rc::clone(key), run.number))
            .collect();
        for (worker, number) in others {
            self.send_stop(&worker, task, number, context);
        }
    }

    /// Counts a failed run against the maximum number of attempts of its task or gang. Each run counts once.
    fn record_failure(
        &mut self,
        worker: &WorkerKey,
        end: &EndedRun,
        gang: bool,
        context: &mut Context,
    ) {
        let id = end.task.stage;
        let attempts_max = self.policy(id.job).map(|policy| policy.attempts_max);
        let Some(stage) = self.stage_mut(id) else { return };
        let index = if gang { 0 } else { end.task.index };
        let Some(task) = stage.task_mut(index) else { return };
        if task.place == Place::Done || task.failed_runs.contains(&end.number) {
            return;
        }
        task.failed_runs.push(end.number);
        task.failed_on = Some(Rc::clone(worker));
        let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
        if failures < attempts_max.unwrap_or(1).max(1) {
            return;
        }
        let runs = task.failed_runs.clone();
        let Some(entry) = self.jobs.get(&id.job) else { return };
        if !entry.state.is_final() {
            self.fail_job(Failure { cause: Cause::FailedRuns, task: end.task, runs }, context.now);
            context.outputs.push(Output::Count { counter: Counter::JobsFailed, amount: 1 });
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
            // A checkpoint of any member is valid for the whole gang, and all members must start from the same one.
            let members = match gang {
                true => 0..stage.count(),
                false => end.task.index..end.task.index.saturating_add(1),
            };
            for index in members {
                if let Some(task) = stage.task_mut(index) {
                    task.checkpoint.clone_from(&end.checkpoint);
                }
            }
        }
        if was_current {
            self.requeue(end.task, worker);
            self.break_gang(end.task, context);
        }
    }

    /// Reconciles the placements of a worker with the runs that it lists, once its ended runs are processed. Placements
    /// that changed after `as_of` are left alone.
    pub(super) fn process_runs(
        &mut self,
        worker: &WorkerKey,
        as_of: Uptime,
        running: Vec<Run>,
        context: &mut Context,
    ) {
        let present: BTreeSet<TaskId> = running.iter().map(|run| run.task).collect();
        self.match_undecided(worker, &running);
        for run in running {
            self.process_run(worker, as_of, run, context);
        }
        // The end of a run that is missing may not have been listed yet.
        let Some(session) = self.sessions.get(worker).filter(|session| !session.ends_missing)
        else {
            return;
        };
        let undecided = session
            .placements
            .iter()
            .filter(|(_, run)| matches!(run.phase, Phase::Undecided { .. }));
        let not_taken: Vec<TaskId> =
            undecided.filter(|(task, _)| !present.contains(task)).map(|(task, _)| *task).collect();
        let missing: Vec<TaskId> = session
            .placements
            .iter()
            .filter(|(task, _)| !present.contains(task))
            .filter(|(_, run)| run.changed < as_of)
            .filter(|(_, run)| match run.phase {
                Phase::Running => true,
                Phase::Starting | Phase::Undecided { .. } => false,
                Phase::StartUnanswered | Phase::Stopping => run.stop_confirmed,
            })
            .map(|(task, _)| *task)
            .collect();
        let not_taken = self.release_lost(worker, &not_taken, Loss::Restarted, context);
        let not_taken_tasks: Vec<TaskId> = not_taken.iter().map(|(task, _)| *task).collect();
        self.requeue_lost(worker, not_taken, context);
        for task in not_taken_tasks {
            self.give_up_if_deadly(task, context);
        }
        for task in missing {
            self.release(worker, &task);
            self.requeue(task, worker);
            self.break_gang(task, context);
        }
    }

    /// Gives undecided runs the numbers under which a worker lists their tasks. Its present incarnation may have taken an
    /// earlier start of the task than the last one.
    fn match_undecided(&mut self, worker: &WorkerKey, running: &[Run]) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        for run in running {
            let listed = |number| {
                running.iter().any(|other| other.task == run.task && other.number == number)
            };
            if let Some(placement) = session.placements.get_mut(&run.task)
                && matches!(placement.phase, Phase::Undecided { .. })
                && !listed(placement.number)
            {
                placement.number = run.number;
            }
        }
    }

    fn process_run(&mut self, worker: &WorkerKey, as_of: Uptime, run: Run, context: &mut Context) {
        let now = context.now;
        if self.late_starts.contains(&run.task) {
            self.release_decided_start(worker, run.task, run.number);
        }
        let known = self.jobs.contains_key(&run.task.stage.job);
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Some(placement) = session.placements.get_mut(&run.task) else {
            self.adopt(worker, run, context);
            return;
        };
        if !known
            && placement.phase == Phase::Running
            && now.saturating_sub(placement.started) > UNKNOWN_JOB_TIMEOUT
            && context.jobs_known_until >= placement.started
        {
            self.send_stop(worker, run.task, run.number, context);
            return;
        }
        if placement.number != run.number {
            let newer = placement.number > run.number;
            if newer {
                self.stop_stale_run(worker, run.task, run.number, context);
            }
            return;
        }
        if matches!(placement.phase, Phase::Starting | Phase::Undecided { .. }) {
            let undecided = placement.phase != Phase::Starting;
            placement.phase = Phase::Running;
            placement.changed = now;
            if undecided && !self.keeps_undecided(worker, run.task, context) {
                self.send_stop(worker, run.task, run.number, context);
                return;
            }
        }
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Some(placement) = session.placements.get_mut(&run.task) else { return };
        placement.listed = true;
        let age = as_of.saturating_sub(placement.started);
        placement.progress_percent = run.percent;
        placement.gauge = run.gauge;
        self.acquit(run.task, run.number);
        // A gang survives only if all of its members do.
        if !self.step(run.task.stage).is_some_and(|step| step.gang) {
            self.record_survival(run.task, age);
        }
        self.mark_started(run.task.stage.job, context);
        if let Some(stage) = self.stage_mut(run.task.stage)
            && let Some(task) = stage.task_mut(run.task.index)
            && !run.checkpoint.is_empty()
        {
            task.checkpoint = run.checkpoint;
        }
    }

    /// Returns whether a run goes on that a new incarnation of its worker has taken from a former one. A gang has lost
    /// members with the former one.
    fn keeps_undecided(&self, worker: &WorkerKey, task: TaskId, context: &mut Context) -> bool {
        let stage = self.stage(task.stage);
        let state = stage.and_then(|stage| stage.task(task.index));
        let wanted = self.unfinished.contains(&task.stage.job)
            && state.is_some_and(|state| state.place == Place::Placed(Rc::clone(worker)))
            && !self.step(task.stage).is_some_and(|step| step.gang);
        let fields = vec![
            ("task", task.to_string()),
            ("worker", worker.to_string()),
            ("wanted", wanted.to_string()),
        ];
        context.log("run_taken", fields);
        wanted
    }

    /// Records that a task of the job has started.
    pub(super) fn mark_started(&mut self, id: JobId, context: &mut Context) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && entry.state == State::Queued
        {
            entry.state = State::Running;
            let duration = context.now.saturating_sub(entry.admitted);
            context.outputs.push(Output::Time { timing: Timing::JobStart, duration });
        }
    }

    /// Places a run that a worker lists and this owner did not start, or stops it if it is not needed.
    fn adopt(&mut self, worker: &WorkerKey, run: Run, context: &mut Context) {
        let id = run.task.stage;
        self.begin_listed_occurrence(id, context);
        let priority = self.policy(id.job).map_or(0, |policy| policy.priority);
        let wanted = self.unfinished.contains(&id.job)
            && self.stage(id).and_then(|stage| stage.task(run.task.index)).is_some_and(|task| {
                match task.place {
                    // The other members have been stopped, or were never started under this number.
                    Place::Waiting => !self.step(id).is_some_and(|step| step.gang),
                    Place::Uncertain => true,
                    Place::Placed(_) | Place::Done => false,
                }
            })
            && self.matches_gang(run.task, run.number);
        let entry = self.jobs.get(&id.job);
        let team = entry.and_then(|entry| entry.team.clone());
        let step = self.step(id).cloned().unwrap_or_default();
        let placement = Placement {
            progress_percent: run.percent,
            gauge: run.gauge,
            phase: Phase::Running,
            adopted: true,
            listed: true,
            ..new_placement(&step, run.number, team, priority, context.now)
        };
        self.record_adopted(placement.team.as_ref(), &placement.size);
        self.book(worker, run.task, placement);
        if !self.jobs.contains_key(&id.job) {
            // The run keeps its resources booked until its job is known. It is stopped if the job does not become
            // known.
            context.log("run_of_unknown_job", vec![("task", run.task.to_string())]);
            return;
        }
        if !wanted {
            self.send_stop(worker, run.task, run.number, context);
            return;
        }
        let fields = vec![("task", run.task.to_string()), ("worker", worker.to_string())];
        context.log("run_adopted", fields);
        self.mark_started(id.job, context);
        if let Some(stage) = self.stage_mut(id)
            && let Some(task) = stage.task_mut(run.task.index)
        {
            task.place = Place::Placed(Rc::clone(worker));
            if !run.checkpoint.is_empty() {
                task.checkpoint = run.checkpoint;
            }
        }
    }

    /// Returns whether a run has the same number as the other members of its gang. Other runs always match.
    fn matches_gang(&self, task: TaskId, number: u64) -> bool {
        if !self.step(task.stage).is_some_and(|step| step.gang) {
            return true;
        }
        self.runs(task.stage.tasks()).all(|(_, _, run)| run.number == number)
    }
}

/// Creates the placement of a new run of a step.
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
        started: now,
        changed: now,
        stop_confirmed: false,
        adopted: false,
        listed: false,
        foreign_clock: false,
        on_trial: false,
        progress_percent: 0.0,
        checkpoints: step.checkpoints,
        preemptible: !step.gang && !step.long_running,
        latency_target: (step.latency_target > Duration::ZERO).then_some(step.latency_target),
        best_effort: step.best_effort,
        speed_percent: FULL_SPEED_PERCENT,
        speed_changed: Uptime::ZERO,
        gauge: None,
    }
}
