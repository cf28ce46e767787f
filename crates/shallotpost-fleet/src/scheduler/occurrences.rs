//! Occurrences of jobs: which have begun, and how many of them are held in memory.
//!
//! A job may ask for any number of occurrences, and all of them may be due. Only those that run or can start soon are held;
//! the others begin, in their order, as these end.

use std::ops::RangeInclusive;

use crate::job::{StageId, TASKS_MAX, TaskId};
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::scheduler::stage::{Place, Stage};
use crate::scheduler::{Context, JobEntry, Scheduler};

/// Number of occurrences of a job with nothing on a worker up to which further ones begin. They refill what becomes free
/// between two ticks.
const IDLE_MAX: usize = 32;

/// Number of waiting stages of all jobs up to which a job begins further occurrences while one of its own waits.
const WAITING_STAGES_MAX: usize = 256;

/// Number of stages without a run up to which further occurrences of a job begin. The stages of a complete occurrence are
/// held, and stored, until all earlier ones are complete.
const RESTING_STAGES_MAX: usize = 1024;

/// Number of tasks with a state of their own, but no run, up to which further occurrences of a job begin.
const RESTING_TASKS_MAX: usize = 1024;

/// Number of stages up to which further occurrences of a job begin; if all but one end, their progress has to fit into a row
/// of the store.
const OPEN_STAGES_MAX: usize = 3072;

/// Number of tasks with a state of their own up to which further occurrences of a job begin, for the same reason.
const OPEN_TASKS_MAX: usize = 4096;

/// The begun occurrences of a job that are held.
#[derive(Clone, Copy, Debug, Default)]
struct Open {
    unfinished: usize,
    /// Unfinished ones with nothing on a worker.
    idle: usize,
    stages: usize,
    /// Stages with nothing on a worker.
    resting_stages: usize,
    /// Tasks with a state of their own.
    tasks: usize,
    /// Those of them that are on no worker.
    resting_tasks: usize,
}

impl JobEntry {
    /// Returns whether there is another occurrence and it is due.
    fn has_due_occurrence(&self, unix_ms: u64) -> bool {
        self.occurrences_begun < self.job.occurrences()
            && self
                .job
                .schedule
                .is_none_or(|schedule| schedule.due_unix_ms(self.occurrences_begun) <= unix_ms)
    }

    /// Returns the number of occurrences that are due and have not begun.
    pub(super) fn count_due_unbegun(&self, unix_ms: u64) -> u32 {
        let due = self.job.schedule.map_or(1, |schedule| schedule.count_due(unix_ms));
        due.saturating_sub(self.occurrences_begun)
    }

    /// Returns the range of all possible tasks of the occurrences that have not begun.
    pub(super) fn unbegun_tasks(&self) -> RangeInclusive<TaskId> {
        let stage = |occurrence, step| StageId { job: self.id, occurrence, step };
        stage(self.occurrences_begun, 0).task(0)..=stage(u32::MAX, u16::MAX).task(u32::MAX)
    }

    /// Returns whether the stage is held.
    pub(super) fn has_stage(&self, stage: StageId) -> bool {
        self.stages.contains_key(&(stage.occurrence, stage.step))
    }

    fn open_occurrences(&self) -> Open {
        let mut open = Open::default();
        let stages: Vec<(u32, &Stage)> =
            self.stages.iter().map(|((occurrence, _), stage)| (*occurrence, stage)).collect();
        for occurrence in stages.chunk_by(|one, next| one.0 == next.0) {
            let unfinished = occurrence.iter().any(|(_, stage)| stage.unfinished > 0);
            let placed = occurrence.iter().filter(|(_, stage)| stage.has_placed()).count();
            open.unfinished += usize::from(unfinished);
            open.idle += usize::from(unfinished && placed == 0);
            open.stages += occurrence.len();
            open.resting_stages += occurrence.len() - placed;
            for (_, task) in occurrence.iter().flat_map(|(_, stage)| stage.touched()) {
                open.tasks += 1;
                open.resting_tasks += usize::from(!task.is_placed());
            }
        }
        open
    }

    /// Returns whether another occurrence may begin beside the open ones.
    fn admits_occurrence(&self, open: &Open, waiting_stages: usize) -> bool {
        let steps = self.job.steps.len();
        let (stages_max, tasks_max) = match self.job.long_running() {
            // Occurrences that last until the job is cancelled all run at the same time.
            true => (TASKS_MAX as usize, TASKS_MAX as usize),
            false => (OPEN_STAGES_MAX, OPEN_TASKS_MAX),
        };
        open.unfinished == 0
            || open.idle < IDLE_MAX
                && (open.idle == 0 || waiting_stages < WAITING_STAGES_MAX)
                && open.stages + steps <= stages_max
                && open.resting_stages + steps <= RESTING_STAGES_MAX
                && open.tasks < tasks_max
                && open.resting_tasks < RESTING_TASKS_MAX
    }

    /// Creates the stages of an occurrence, except those that exist.
    fn create_stages(&mut self, occurrence: u32, place: &Place) {
        for (step, position) in self.job.steps.iter().zip(0u16..) {
            self.stages
                .entry((occurrence, position))
                .or_insert_with(|| Stage::new(step.tasks, place.clone()));
        }
    }

    /// Creates the stages of an occurrence that an earlier owner has begun, which may be far ahead of those that this one has.
    /// Its tasks are uncertain. Returns whether it was missing.
    fn begin_ahead(&mut self, occurrence: u32) -> bool {
        let missing = occurrence >= self.occurrences_begun
            && occurrence < self.job.occurrences()
            && !self.stages.contains_key(&(occurrence, 0));
        if missing {
            self.create_stages(occurrence, &Place::Uncertain);
        }
        missing
    }

    /// Drops the stages of the leading occurrences that are complete. Returns whether all occurrences are.
    fn drop_complete(&mut self) -> bool {
        while self.occurrences_done < self.occurrences_begun {
            let occurrence = self.occurrences_done;
            let range = (occurrence, 0)..=(occurrence, u16::MAX);
            if self.stages.range(range.clone()).any(|(_, stage)| stage.unfinished > 0) {
                break;
            }
            let keys: Vec<(u32, u16)> = self.stages.range(range).map(|(key, _)| *key).collect();
            keys.iter().for_each(|key| drop(self.stages.remove(key)));
            self.occurrences_done += 1;
        }
        self.occurrences_done >= self.job.occurrences()
    }

    /// Drops the stages of a job that has ended, except those that say how its last runs are to be treated.
    pub(super) fn drop_stages(&mut self) {
        self.stages.retain(|_, stage| stage.has_bound() || stage.has_crashes());
    }

    /// Applies stored progress.
    pub(super) fn restore(&mut self, progress: &Progress, now: Uptime) {
        self.state = progress.state;
        self.stored_state = progress.state;
        self.occurrences_done = progress.occurrences_done;
        let done = progress.occurrences_done;
        self.occurrences_begun = self.occurrences_begun.max(done);
        self.stages.retain(|(occurrence, _), _| *occurrence >= done);
        for stored in &progress.stages {
            self.begin_ahead(stored.occurrence);
            if let Some(stage) = self.stages.get_mut(&(stored.occurrence, stored.step)) {
                stage.restore(stored);
            }
        }
        for stored in &progress.crashes {
            self.begin_ahead(stored.occurrence);
            if let Some(stage) = self.stages.get_mut(&(stored.occurrence, stored.step)) {
                stage.restore_crashes(stored);
            }
        }
        if progress.state.is_final() {
            self.failure.clone_from(&progress.failure);
            self.finished = Some(now);
            self.drop_stages();
        }
    }
}

impl Scheduler {
    /// Begins occurrences that are due, as far as they can start soon.
    pub(super) fn begin_due_occurrences(&mut self, context: &mut Context) {
        let due: Vec<JobId> = self
            .unfinished
            .iter()
            .filter(|id| {
                self.jobs.get(id).is_some_and(|entry| entry.has_due_occurrence(context.unix_ms))
            })
            .copied()
            .collect();
        let mut uncertain = false;
        for id in due {
            // An earlier owner may have begun the occurrence: by its time of day, or while it was cut off.
            let epoch = self.jobs.get(&id).map_or(self.epoch, |entry| entry.job.epoch);
            let inherited = epoch < self.epoch && self.may_have_earlier_runs();
            let place = if inherited { Place::Uncertain } else { Place::Waiting };
            uncertain |= self.begin_occurrences(id, &place, context) && inherited;
        }
        // Before the takeover is settled, the tasks are released with all others.
        if uncertain && !self.is_unsettled() {
            self.release_uncertain(context);
        }
    }

    /// Returns the number of jobs with due occurrences that wait for earlier ones.
    pub(super) fn count_overdue(&self, unix_ms: u64) -> usize {
        let entries = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        entries.filter(|entry| entry.has_due_occurrence(unix_ms)).count()
    }

    /// Begins occurrences of a job that are due, as far as they can start soon. Returns whether there were any.
    pub(super) fn begin_occurrences(
        &mut self,
        id: JobId,
        place: &Place,
        context: &mut Context,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(&id) else { return false };
        let begun = entry.occurrences_begun;
        let steps = entry.job.steps.len();
        let mut open = entry.open_occurrences();
        while entry.has_due_occurrence(context.unix_ms)
            && entry.admits_occurrence(&open, self.waiting.len())
        {
            let occurrence = entry.occurrences_begun;
            entry.create_stages(occurrence, place);
            entry.occurrences_begun += 1;
            open.unfinished += 1;
            open.idle += 1;
            open.stages += steps;
            open.resting_stages += steps;
            if *place == Place::Waiting {
                for (_, step) in (0..steps).zip(0u16..) {
                    let stage = StageId { job: id, occurrence, step };
                    self.waiting.insert(stage);
                    self.fresh.insert(stage);
                }
            }
        }
        let has_begun = entry.occurrences_begun > begun;
        if has_begun {
            self.round_due = true;
            // What an earlier owner has begun ahead of the others may be complete.
            self.check_completion(id, context.now);
        }
        has_begun
    }

    /// Creates the stages of an occurrence of which a worker lists a run or an end. It may not be due by the time of day
    /// of this host.
    pub(super) fn begin_listed_occurrence(&mut self, stage: StageId, context: &mut Context) {
        let unfinished = self.unfinished.contains(&stage.job);
        let Some(entry) = self.jobs.get_mut(&stage.job).filter(|_| unfinished) else { return };
        // Before the takeover is settled, the tasks are released with all others.
        if entry.begin_ahead(stage.occurrence) && !self.is_unsettled() {
            self.release_uncertain(context);
        }
    }

    /// Completes a job if all of its occurrences are complete.
    pub(super) fn check_completion(&mut self, id: JobId, now: Uptime) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if !entry.state.is_final() && entry.drop_complete() {
            entry.state = State::Completed;
            entry.finished = Some(now);
            self.unfinished.remove(&id);
            self.dirty.insert(id);
        }
    }
}
