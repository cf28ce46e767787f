//! Ends of tasks and of work.

use shallotpost_policy::planner::ReleaseCause;
use shallotpost_protocol::work::{Class, Ending, State};
use shallotpost_protocol::worker::{AttemptOutcome, StopMode};

use crate::prelude::*;
use crate::scheduler::entry::{Closing, Phase};
use crate::scheduler::shard::Owned;

impl Owned {
    /// Frees the booking of a task. `cause` is `None` where the planner has already forgotten the booking.
    pub fn free(&mut self, context: &mut Context, task: &Task, cause: Option<ReleaseCause>) {
        let Some(state) = self.task_mut(task) else { return };
        let worker = state.worker.take();
        state.phase = Phase::Free;
        state.stop = None;
        let adopted = self.works.get(&task.work).is_some_and(|entry| entry.submitted);
        if let Some(worker) = worker
            && let Some(session) = self.sessions.get_mut(&worker)
        {
            session.tasks.remove(task);
            self.publish_worker(context, &worker);
        }
        match cause {
            Some(cause) if adopted => self.planner.release(context.now, task, cause),
            _ => {}
        }
    }

    /// Handles the end of the attempt that is booked for `task` on `worker`.
    pub fn on_task_end(
        &mut self,
        context: &mut Context,
        task: &Task,
        attempt: Attempt,
        worker: &WorkerId,
        end: AttemptOutcome,
    ) {
        let cause = match &end {
            AttemptOutcome::Succeeded { .. } => ReleaseCause::Succeeded,
            AttemptOutcome::Failed { .. } => ReleaseCause::Failed,
            AttemptOutcome::Stopped | AttemptOutcome::Checkpointed => ReleaseCause::Stopped,
            AttemptOutcome::LeaseLapsed => ReleaseCause::Lost,
        };
        self.free(context, task, Some(cause));
        self.note_end(context, task, attempt, worker, end);
    }

    /// Decides how the work goes on after the end of an attempt that holds no capacity any more.
    pub fn note_end(
        &mut self,
        context: &mut Context,
        task: &Task,
        attempt: Attempt,
        worker: &WorkerId,
        end: AttemptOutcome,
    ) {
        let key = (task.clone(), attempt);
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        let index = task.index as usize;
        let hold = match &end {
            _ if entry.closing == Some(Closing::Retry) => false,
            _ if matches!(entry.closing, Some(Closing::End(_))) => true,
            AttemptOutcome::Succeeded { .. } => !service,
            _ => !entry.is_idempotent(),
        };
        match hold {
            true => entry.held.push((worker.clone(), task.clone(), attempt)),
            false => self.acknowledge(worker, key),
        }
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        match end {
            AttemptOutcome::Succeeded { result } if !service => {
                entry.tasks[index].phase = Phase::Done(result);
                self.after_success(context, &task.work);
            }
            _ if entry.closing.is_some() => self.close(context, &task.work),
            AttemptOutcome::Succeeded { .. } => {
                self.queue_later(context, task, Owned::restart_delay(1))
            }
            AttemptOutcome::Failed { detail } => self.after_failure(context, task, &detail),
            AttemptOutcome::Stopped | AttemptOutcome::Checkpointed => {
                self.after_stop(context, task)
            }
            AttemptOutcome::LeaseLapsed => self.after_loss(context, task),
        }
    }

    fn after_success(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let done = entry.tasks.iter().all(|task| matches!(task.phase, Phase::Done(_)));
        match entry.closing {
            Some(_) => self.close(context, work),
            None if done => self.end(context, work, Ending::Succeeded, "all tasks succeeded"),
            None => {}
        }
    }

    fn after_failure(&mut self, context: &mut Context, task: &Task, detail: &str) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        entry.failures = entry.failures.saturating_add(1);
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        let allowed = entry.is_idempotent()
            && (service || entry.failures < entry.record.specification.attempts.max(1));
        let failures = entry.failures;
        match () {
            _ if !allowed => {
                let detail = format!("task {} failed: {detail}", task.index);
                self.end(context, &task.work, Ending::Failed, &detail);
            }
            _ if entry.is_gang() => {
                entry.closing = Some(Closing::Retry);
                self.close(context, &task.work);
            }
            _ => self.queue_later(context, task, Owned::restart_delay(failures)),
        }
    }

    fn after_stop(&mut self, context: &mut Context, task: &Task) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        match () {
            _ if !entry.is_idempotent() => {
                self.end(context, &task.work, Ending::Failed, "the task was stopped")
            }
            _ if entry.is_gang() => {
                entry.closing = Some(Closing::Retry);
                self.close(context, &task.work);
            }
            _ => self.queue_later(context, task, Duration::ZERO),
        }
    }

    /// Decides how the work goes on after a task was lost with its worker.
    pub fn after_loss(&mut self, context: &mut Context, task: &Task) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        match () {
            _ if entry.closing.is_some() => self.close(context, &task.work),
            _ if !entry.is_idempotent() => {
                let detail = "it was started, and its worker lost it";
                self.end(context, &task.work, Ending::Unknown, detail);
            }
            _ if entry.is_gang() => {
                entry.closing = Some(Closing::Retry);
                self.close(context, &task.work);
            }
            _ => self.queue_later(context, task, Duration::ZERO),
        }
    }

    /// Stops what still runs of closing work, and completes the closing once nothing is booked.
    pub fn close(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let mut planned = Vec::new();
        for (index, state) in entry.tasks.iter_mut().enumerate() {
            match state.phase {
                Phase::Waiting | Phase::Backoff => state.phase = Phase::Free,
                Phase::Planned => planned.push(Task { work: work.clone(), index: index as u32 }),
                _ => {}
            }
        }
        planned.iter().for_each(|task| self.free(context, task, Some(ReleaseCause::Refused)));
        self.stop_tasks(work, StopMode::Stop);
        let Some(entry) = self.works.get_mut(work) else { return };
        if entry.is_booked() || entry.is_unplaced() {
            return;
        }
        match entry.closing.clone() {
            Some(Closing::End(outcome)) => {
                let outcome = entry.outcome(outcome.ending, outcome.detail);
                let ended = entry.has_ended();
                entry.submitted = false;
                self.planner.finish(work);
                self.unplaced.remove(work);
                self.unfit.remove(work);
                match ended {
                    true => self.on_durable(context, work),
                    false => self.want(work, State::Ended(outcome)),
                }
            }
            Some(Closing::Retry) => self.retry(context, work),
            Some(Closing::Move) => self.on_stopped_for_move(context, work),
            None => {}
        }
    }

    /// Queues all parts of a gang again.
    fn retry(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.closing = None;
        let delay = Owned::restart_delay(entry.failures);
        entry.held.clear();
        let count = entry.tasks.len() as u32;
        for index in 0..count {
            self.queue_later(context, &Task { work: work.clone(), index }, delay);
        }
    }

    /// Lets the worker forget an ended attempt.
    pub fn acknowledge(&mut self, worker: &WorkerId, key: (Task, Attempt)) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.acknowledge.insert(key);
        }
    }
}
