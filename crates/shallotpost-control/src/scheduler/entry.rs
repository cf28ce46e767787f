//! In-memory state of one work record and its tasks.

use shallotpost_protocol::table::Version;
use shallotpost_protocol::work::{
    self, Class, Ending, Loss, Object, Outcome, Record, State, Status, TaskStatus,
};
use shallotpost_protocol::worker::StopMode;

use crate::prelude::*;
use crate::scheduler::moves::Move;

/// Sequence number of a worker call within its shard. It orders worker snapshots relative to starts and stops.
pub type Sequence = u64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// An earlier owner may have started the task, and a worker that has not answered yet may run it.
    Unlocated,
    /// Queued in the planner.
    Waiting,
    /// Booked on a worker; no start has been sent.
    Planned,
    /// The start call is open.
    Starting(CallId),
    /// The outcome of the start call is unknown. The next snapshot tells whether the worker has the task.
    Unconfirmed,
    /// The worker does not have a task whose start is unconfirmed. A stop is sent so that the start has no effect if it
    /// arrives late. The call is `None` until the stop is sent.
    RevokingStart(Option<CallId>),
    /// The stop is confirmed. If the next snapshot lacks the task, the start had no effect.
    StartRevoked,
    Running,
    /// A stop was requested. The call is `None` before it is sent and after it is answered.
    Stopping(StopMode, Option<CallId>),
    /// Waits for a delay before it is queued again.
    Backoff,
    /// Holds no capacity and is not queued.
    Idle,
    /// Succeeded, with its result object if it has one.
    Done(Option<Object>),
}

impl Phase {
    /// Returns whether a worker may have the task.
    pub fn is_sent(&self) -> bool {
        let in_doubt =
            matches!(self, Phase::Unconfirmed | Phase::RevokingStart(_) | Phase::StartRevoked);
        in_doubt || matches!(self, Phase::Starting(_) | Phase::Running | Phase::Stopping(..))
    }

    /// Returns whether the planner holds capacity for the task.
    pub fn is_booked(&self) -> bool {
        *self == Phase::Planned || self.is_sent()
    }
}

#[derive(Clone, Debug)]
pub struct TaskEntry {
    pub phase: Phase,
    /// Latest attempt that was booked or reported by a worker.
    pub attempt: Attempt,
    /// Worker on which the task is booked; `None` otherwise.
    pub worker: Option<WorkerId>,
    /// Only a snapshot that was requested after this call tells whether the worker has the task.
    pub conclusive_after: Sequence,
    /// Whether the task is in the planner's queue.
    pub queued: bool,
    /// Stop that was requested before the task was known to run; sent once it runs.
    pub deferred_stop: Option<StopMode>,
    /// Whether a worker is known to have run an attempt.
    pub started: bool,
    /// Incarnation of the worker before the start was sent; `None` if workers do not reject late starts (no fencing).
    pub incarnation: Option<u64>,
    /// When the present attempt was sent, or found on its worker.
    pub started_at: Option<Instant>,
    /// Incarnation of the worker at that time.
    pub ran_in: Option<u64>,
}

impl TaskEntry {
    /// Returns whether a stop or checkpoint was requested and is not confirmed yet.
    pub fn is_stopping(&self) -> bool {
        let requested = matches!(self.deferred_stop, Some(StopMode::Stop | StopMode::Checkpoint));
        requested || matches!(self.phase, Phase::Stopping(..))
    }

    /// Returns whether a worker may have the task and no stop was requested.
    pub fn can_stop(&self) -> bool {
        self.phase.is_sent() && !self.is_stopping()
    }
}

/// Next step once all tasks of closing work have released their bookings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closing {
    End(Outcome),
    /// All tasks of the gang are queued again.
    Retry,
    Move,
}

/// State of one work record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Record as last read from or written to the table.
    pub record: Record,
    /// Version of the record's row.
    pub version: Version,
    /// Tasks by index; empty once the end is durable.
    pub tasks: Vec<TaskEntry>,
    /// Set while tasks are stopped before the work ends, restarts or moves.
    pub closing: Option<Closing>,
    /// Whether a start was sent, or may have been sent by an earlier owner.
    pub may_have_run: bool,
    /// Number of failed attempts.
    pub failures: Attempt,
    /// Lost runs of which the tasks have not been cleared. Newer than those in `record`.
    pub losses: Vec<Loss>,
    /// Whether the planner holds the job.
    pub submitted: bool,
    /// State to write next.
    pub pending_state: Option<State>,
    /// State whose write is in flight.
    pub writing: Option<(Tag, State)>,
    /// Earliest time of the next write, after a failed one.
    pub write_after: Option<Instant>,
    /// Ended attempts that are not acknowledged until the record is durable, so that the workers keep their results.
    pub deferred_acknowledgements: Vec<(WorkerId, Task, Attempt)>,
    /// Cancel requests to answer once the cancellation is durable.
    pub cancels: Vec<Origin>,
    /// Set while a move to another shard is written.
    pub moving: Option<Move>,
    /// Why the work stays in its drained data centre; `None` if it can leave or the data centre is not drained.
    pub stay_reason: Option<&'static str>,
}

impl Entry {
    /// Creates an entry whose tasks hold no capacity and are not queued.
    pub fn new(record: Record, version: Version) -> Entry {
        let task = TaskEntry {
            phase: Phase::Idle,
            attempt: record.attempt,
            worker: None,
            conclusive_after: 0,
            queued: false,
            deferred_stop: None,
            started: false,
            incarnation: None,
            started_at: None,
            ran_in: None,
        };
        let ran_before = record.attempt > 0;
        let count = record.specification.class.tasks() as usize;
        Entry {
            record,
            version,
            tasks: vec![task; count],
            closing: None,
            may_have_run: ran_before,
            failures: 0,
            losses: Vec::new(),
            submitted: false,
            pending_state: None,
            writing: None,
            write_after: None,
            deferred_acknowledgements: Vec::new(),
            cancels: Vec::new(),
            moving: None,
            stay_reason: None,
        }
    }

    pub fn work(&self) -> WorkId {
        self.record.specification.work_id()
    }

    /// Returns whether a task may be started again. Services are always restarted, so they count as idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.record.specification.idempotent
            || matches!(self.record.specification.class, Class::Service { .. })
    }

    pub fn is_gang(&self) -> bool {
        matches!(self.record.specification.class, Class::Gang { .. })
    }

    /// Returns whether the end is durable.
    pub fn has_ended(&self) -> bool {
        matches!(self.record.state, State::Ended(_))
    }

    /// Returns whether the work has ended, or its end is decided.
    pub fn is_ending(&self) -> bool {
        self.has_ended()
            || matches!(self.pending_state, Some(State::Ended(_)))
            || matches!(self.writing, Some((_, State::Ended(_))))
            || matches!(self.closing, Some(Closing::End(_)))
    }

    pub fn is_booked(&self) -> bool {
        self.tasks.iter().any(|task| task.phase.is_booked())
    }

    /// Returns whether any task may be on a worker that has not answered yet.
    pub fn is_unlocated(&self) -> bool {
        self.tasks.iter().any(|task| task.phase == Phase::Unlocated)
    }

    /// Builds an outcome with the results of the tasks that have succeeded so far.
    pub fn outcome(&self, ending: Ending, detail: impl Into<String>) -> Outcome {
        let results = self.tasks.iter().enumerate().filter_map(|(index, task)| match &task.phase {
            Phase::Done(Some(object)) => Some((index as u32, object.clone())),
            _ => None,
        });
        Outcome {
            ending,
            detail: detail.into(),
            not_run: !self.may_have_run,
            results: results.collect(),
        }
    }

    /// Returns the status that clients see.
    pub fn status(&self) -> Status {
        let work = self.work();
        let state = self.record.state.clone();
        let tasks = match state {
            State::Ended(_) => Vec::new(),
            _ => (0..self.tasks.len()).map(|index| self.task_status(&work, index)).collect(),
        };
        Status {
            work,
            class: self.record.specification.class,
            shard: self.record.shard.clone(),
            state,
            tasks,
        }
    }

    fn task_status(&self, work: &WorkId, index: usize) -> TaskStatus {
        let entry = &self.tasks[index];
        TaskStatus {
            task: Task { work: work.clone(), index: index as u32 },
            phase: match entry.phase {
                Phase::Unlocated | Phase::Waiting | Phase::Backoff => work::Phase::Waiting,
                Phase::Planned | Phase::Starting(_) => work::Phase::Starting,
                Phase::Unconfirmed | Phase::RevokingStart(_) | Phase::StartRevoked => {
                    work::Phase::Starting
                }
                Phase::Running => work::Phase::Running,
                Phase::Stopping(..) => work::Phase::Stopping,
                Phase::Idle | Phase::Done(_) => work::Phase::Ended,
            },
            worker: entry.worker.clone(),
            attempt: entry.attempt,
        }
    }
}
