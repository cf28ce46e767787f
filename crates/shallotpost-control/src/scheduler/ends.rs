//! Handles ended tasks: releases bookings, restarts tasks and ends work.

use shallotpost_policy::losses;
use shallotpost_policy::planner::ReleaseCause;
use shallotpost_protocol::work::{Class, Ending, State};
use shallotpost_protocol::worker::{AttemptOutcome, StopMode};

use crate::prelude::*;
use crate::scheduler::entry::{Closing, Phase};
use crate::scheduler::shard::OwnedShard;

impl OwnedShard {
    /// Releases the booking of a task. `cause` is `None` if the planner has already dropped the booking.
    pub fn release_booking(
        &mut self,
        context: &mut Context,
        task: &Task,
        cause: Option<ReleaseCause>,
    ) {
        let Some(state) = self.task_mut(task) else { return };
        let worker = state.worker.take();
        state.phase = Phase::Idle;
        state.deferred_stop = None;
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

    /// Handles the end of an attempt that is booked on `worker`.
    pub fn on_task_end(
        &mut self,
        context: &mut Context,
        task: &Task,
        attempt: Attempt,
        worker: &WorkerId,
        outcome: AttemptOutcome,
    ) {
        let cause = match &outcome {
            AttemptOutcome::Succeeded { .. } => ReleaseCause::Succeeded,
            AttemptOutcome::Failed { .. } => ReleaseCause::Failed,
            AttemptOutcome::Stopped | AttemptOutcome::Checkpointed => ReleaseCause::Stopped,
            AttemptOutcome::LeaseLapsed => ReleaseCause::Lost,
        };
        self.release_booking(context, task, Some(cause));
        self.note_end(context, task, attempt, worker, outcome);
    }

    /// Restarts the task or ends its work after an attempt whose booking is released.
    ///
    /// An end that the record does not show yet and that a restart cannot replace is acknowledged only once the record is
    /// durable.
    pub fn note_end(
        &mut self,
        context: &mut Context,
        task: &Task,
        attempt: Attempt,
        worker: &WorkerId,
        outcome: AttemptOutcome,
    ) {
        let key = (task.clone(), attempt);
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        let index = task.index as usize;
        let defer = match &outcome {
            _ if entry.closing == Some(Closing::Retry) => false,
            _ if matches!(entry.closing, Some(Closing::End(_))) => true,
            AttemptOutcome::Succeeded { .. } => !service,
            _ => !entry.is_idempotent(),
        };
        match defer {
            true => entry.deferred_acknowledgements.push((worker.clone(), task.clone(), attempt)),
            false => self.acknowledge(worker, key),
        }
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        match outcome {
            AttemptOutcome::Succeeded { result } if !service => {
                entry.tasks[index].phase = Phase::Done(result);
                self.after_success(context, &task.work);
            }
            _ if entry.closing.is_some() => self.close(context, &task.work),
            AttemptOutcome::Succeeded { .. } => {
                self.queue_later(context, task, OwnedShard::restart_delay(1))
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
            _ => self.queue_later(context, task, OwnedShard::restart_delay(failures)),
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

    /// Restarts the task or ends its work after the task was lost with its worker.
    pub fn after_loss(&mut self, context: &mut Context, task: &Task) {
        let Some(entry) = self.works.get(&task.work) else { return };
        let gang = entry.is_gang();
        let delay = losses::restart_delay(&entry.losses, task.index);
        match () {
            _ if entry.closing.is_some() => self.close(context, &task.work),
            _ if !entry.is_idempotent() => {
                let detail = "it was started, and its worker lost it";
                self.end(context, &task.work, Ending::Unknown, detail);
            }
            _ if self.give_up_deadly(context, &task.work) => {}
            _ if gang => {
                self.set_closing(&task.work, Closing::Retry);
                self.close(context, &task.work);
            }
            _ => self.queue_later(context, task, delay),
        }
    }

    /// Stops the running tasks of closing work, and takes the next step once nothing is booked.
    pub fn close(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let mut planned = Vec::new();
        for (index, state) in entry.tasks.iter_mut().enumerate() {
            match state.phase {
                Phase::Waiting | Phase::Backoff => state.phase = Phase::Idle,
                Phase::Planned => planned.push(Task { work: work.clone(), index: index as u32 }),
                _ => {}
            }
        }
        planned
            .iter()
            .for_each(|task| self.release_booking(context, task, Some(ReleaseCause::Refused)));
        self.stop_tasks(work, StopMode::Stop);
        let Some(entry) = self.works.get_mut(work) else { return };
        if entry.is_booked() || entry.is_unlocated() {
            return;
        }
        match entry.closing.clone() {
            Some(Closing::End(outcome)) => {
                let outcome = entry.outcome(outcome.ending, outcome.detail);
                let ended = entry.has_ended();
                entry.submitted = false;
                self.planner.finish(work);
                self.unlocated.remove(work);
                self.infeasible.remove(work);
                match ended {
                    true => self.on_durable(context, work),
                    false => self.set_pending_state(work, State::Ended(outcome)),
                }
            }
            Some(Closing::Retry) => self.retry(context, work),
            Some(Closing::Move) => self.on_stopped_for_move(context, work),
            None => {}
        }
    }

    /// Queues all tasks of a gang again after a backoff.
    fn retry(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.closing = None;
        if self.give_up_deadly(context, work) {
            return;
        }
        let Some(entry) = self.works.get_mut(work) else { return };
        let tasks = 0..entry.tasks.len() as u32;
        let after_losses = tasks.map(|index| losses::restart_delay(&entry.losses, index)).max();
        let delay = OwnedShard::restart_delay(entry.failures).max(after_losses.unwrap_or_default());
        entry.deferred_acknowledgements.clear();
        let count = entry.tasks.len() as u32;
        for index in 0..count {
            self.queue_later(context, &Task { work: work.clone(), index }, delay);
        }
    }

    fn set_closing(&mut self, work: &WorkId, closing: Closing) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.closing = Some(closing);
        }
    }

    /// Acknowledges an ended attempt with the next `sync`, after which the worker forgets it.
    pub fn acknowledge(&mut self, worker: &WorkerId, key: (Task, Attempt)) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.to_acknowledge.insert(key);
        }
    }
}
