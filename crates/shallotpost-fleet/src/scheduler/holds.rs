//! Checks that keep waiting stages from starting, for the log.

use strum::{Display, EnumIter, IntoEnumIterator};

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::{Context, Scheduler};

/// Time between two log lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of stages of each kind that a log line names.
const NAMED_MAX: usize = 3;

/// Check that keeps a stage with waiting tasks from starting them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Hold {
    /// An earlier owner may have left its tasks on workers that have not answered yet.
    Takeover,
    /// Preceding steps are still running.
    Turn,
    /// Stages before it have failed in this round, so it was not tried.
    Rank,
    /// The host has too many starts in flight.
    Processor,
    /// The quota of its team allows no further task.
    Quota,
    /// Its job is expired or beyond its team's share, and others wait for room.
    Yielding,
    /// No worker has capacity, or too few for a gang.
    Room,
    /// Only tasks wait that may crash their workers, and no worker can be set aside.
    Isolation,
    /// A call to the approval service is in flight.
    ApprovalCall,
    /// No host may call the approval service at present.
    ApprovalService,
    /// No worker with capacity is approved.
    Approval,
}

/// Waiting stages of one round by the check that holds them.
#[derive(Default)]
pub(super) struct Holds {
    stages: BTreeMap<Hold, (usize, Vec<StageId>)>,
}

impl Holds {
    pub(super) fn record(&mut self, hold: Hold, stage: StageId) {
        let (count, named) = self.stages.entry(hold).or_default();
        *count += 1;
        if named.len() < NAMED_MAX {
            named.push(stage);
        }
    }

    /// Returns the fields of the log line: the number of stages for each check, and the first ones by name.
    fn fields(&self) -> Vec<(&'static str, String)> {
        let counts = Hold::iter().filter_map(|hold| {
            let (count, _) = self.stages.get(&hold)?;
            Some(format!("{hold}:{count}"))
        });
        let named = self.stages.iter().flat_map(|(hold, (_, named))| {
            named.iter().map(move |stage| format!("{hold}:{stage}"))
        });
        let join = |parts: Vec<String>| parts.join(",");
        vec![("checks", join(counts.collect())), ("first", join(named.collect()))]
    }
}

impl Scheduler {
    /// Returns whether the next full round logs what holds the waiting stages.
    pub(super) fn is_holds_log_due(&self, now: Uptime) -> bool {
        now.saturating_sub(self.last_holds_log) >= INTERVAL
    }

    /// Logs what holds the waiting stages, if any is held.
    pub(super) fn log_holds(&mut self, holds: &Holds, context: &mut Context) {
        if !holds.stages.is_empty() {
            self.last_holds_log = context.now;
            self.log_awaited_workers(context);
            let mut fields = vec![("stages", self.waiting.len().to_string())];
            fields.extend(holds.fields());
            let load = self.load();
            fields.push(("open_stages", load.stages.to_string()));
            fields.push(("open_tasks", load.tasks.to_string()));
            fields.push(("overdue_jobs", self.count_overdue(context.unix_ms).to_string()));
            fields.push(("approval_calls", self.pending_approvals.len().to_string()));
            fields.push(("approval_pace", format!("{:.1}", self.approvers.slowest_pace())));
            context.log("held", fields);
        }
    }

    /// Returns what holds a stage that was tried and still has waiting tasks.
    pub(super) fn hold_of(
        &self,
        demand: &Demand,
        pool_workers: &[PoolWorker],
        round: &Round,
        now: Uptime,
    ) -> Hold {
        let Some(stage) = self.stage(demand.id) else { return Hold::Turn };
        let has_capacity =
            |worker: &&PoolWorker| self.count_fitting_on_worker(demand, worker, now) > 0;
        let is_approved = |worker: &PoolWorker| Self::has_ticket(demand, stage, worker, now);
        let mut fitting = pool_workers.iter().filter(has_capacity).peekable();
        match () {
            () if fitting.peek().is_none() => Hold::Room,
            () if !self.within_cap(demand, &demand.step().size, round) => Hold::Quota,
            () if self.only_suspects_wait(demand.id) => Hold::Isolation,
            () if fitting.any(is_approved) => Hold::Room,
            () if stage.approval_pending => Hold::ApprovalCall,
            () if !self.approvers.is_available(now) => Hold::ApprovalService,
            () => Hold::Approval,
        }
    }
}
