//! Common interface of the policy and the baseline, so that the same events can drive both.

use shallotpost_policy::first_fit::FirstFit;
use shallotpost_policy::planner::{Action, Infeasible, Job, Planner, ReleaseCause, Team, Worker};
use shallotpost_protocol::prelude::*;

/// Planner of one data centre. The methods are those of `Planner`.
pub trait Driver {
    fn set_worker(&mut self, now: Instant, worker: Worker);
    fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task>;
    fn set_team(&mut self, now: Instant, team: Team);
    fn submit(&mut self, now: Instant, job: Job) -> Result<(), Infeasible>;
    fn release(&mut self, now: Instant, task: &Task, cause: ReleaseCause);
    fn requeue(&mut self, now: Instant, task: &Task);
    fn finish(&mut self, work: &WorkId);
    fn set_starts_enabled(&mut self, now: Instant, enabled: bool);
    fn plan(&mut self, now: Instant, limit: usize) -> Vec<Action>;
    fn booked(&self, team: &TeamId) -> Size;
    fn waiting(&self, team: &TeamId) -> Size;
}

macro_rules! drive {
    ($type:ty) => {
        impl Driver for $type {
            fn set_worker(&mut self, now: Instant, worker: Worker) {
                self.set_worker(now, worker);
            }
            fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task> {
                self.remove_worker(now, worker)
            }
            fn set_team(&mut self, now: Instant, team: Team) {
                self.set_team(now, team);
            }
            fn submit(&mut self, now: Instant, job: Job) -> Result<(), Infeasible> {
                self.submit(now, job)
            }
            fn release(&mut self, now: Instant, task: &Task, cause: ReleaseCause) {
                self.release(now, task, cause);
            }
            fn requeue(&mut self, now: Instant, task: &Task) {
                self.requeue(now, task);
            }
            fn finish(&mut self, work: &WorkId) {
                self.finish(work);
            }
            fn set_starts_enabled(&mut self, now: Instant, enabled: bool) {
                self.set_starts_enabled(now, enabled);
            }
            fn plan(&mut self, now: Instant, limit: usize) -> Vec<Action> {
                self.plan(now, limit)
            }
            fn booked(&self, team: &TeamId) -> Size {
                self.booked(team)
            }
            fn waiting(&self, team: &TeamId) -> Size {
                self.waiting(team)
            }
        }
    };
}

drive!(Planner);
drive!(FirstFit);
