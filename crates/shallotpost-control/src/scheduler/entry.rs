//! One work record and its tasks, as the owner of its shard sees them.

use shallotpost_protocol::table::Version;
use shallotpost_protocol::work::{
    self, Class, Ending, Object, Outcome, Record, State, Status, TaskStatus,
};
use shallotpost_protocol::worker::StopMode;

use crate::prelude::*;
use crate::scheduler::moves::Move;

/// Position of a call in the sequence of calls of a shard; orders worker snapshots and starts.
pub type Sequence = u64;

/// What a task does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// An earlier owner may have started it; workers that have not answered yet may run it.
    Unplaced,
    /// It waits in the planner.
    Waiting,
    /// It is booked; no start was sent.
    Planned,
    /// A start call is open.
    Starting(CallId),
    /// The answer of the start call was lost; the next snapshot tells whether the worker has the task.
    Doubtful,
    /// The worker does not have the task whose start is in doubt, and a stop is sent to rule out that the start arrives
    /// late. The call is `None` before it is sent.
    RulingOut(Option<CallId>),
    /// The stop was confirmed. If the next snapshot lacks the task, the start had no effect.
    RuledOut,
    /// The worker runs it.
    Running,
    /// A stop was requested. The call is `None` once it was answered.
    Stopping(StopMode, Option<CallId>),
    /// It waits to be queued again.
    Backoff,
    /// It holds no capacity and is not queued.
    Free,
    /// It succeeded.
    Done(Option<Object>),
}

impl Phase {
    /// Whether a worker may have the task.
    pub fn is_sent(&self) -> bool {
        let in_doubt = matches!(self, Phase::Doubtful | Phase::RulingOut(_) | Phase::RuledOut);
        in_doubt || matches!(self, Phase::Starting(_) | Phase::Running | Phase::Stopping(..))
    }

    /// Whether the planner has booked capacity for it.
    pub fn is_booked(&self) -> bool {
        *self == Phase::Planned || self.is_sent()
    }
}

/// One task.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// What it does.
    pub phase: Phase,
    /// Latest attempt that was booked or seen on a worker.
    pub attempt: Attempt,
    /// The worker, while the task is booked.
    pub worker: Option<WorkerId>,
    /// A snapshot requested after this tells whether the worker has the task.
    pub settled: Sequence,
    /// Whether the planner has it in its queue.
    pub queued: bool,
    /// Stop that was requested while the start was open.
    pub stop: Option<StopMode>,
    /// Whether a worker is known to have run an attempt of it.
    pub started: bool,
    /// Incarnation of the worker before the start was sent; `None` where workers do not rule out late starts.
    pub incarnation: Option<u64>,
}

impl TaskEntry {
    /// Whether a stop was requested and is not confirmed yet.
    pub fn is_stopping(&self) -> bool {
        let requested = matches!(self.stop, Some(StopMode::Stop | StopMode::Checkpoint));
        requested || matches!(self.phase, Phase::Stopping(..))
    }

    /// Whether a worker may have the task, and no stop was requested.
    pub fn can_stop(&self) -> bool {
        self.phase.is_sent() && !self.is_stopping()
    }
}

/// What happens once no task is booked any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The work ends.
    End(Outcome),
    /// All parts of the gang start again.
    Retry,
    /// The work moves to another shard.
    Move,
}

/// One work record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Durable record, as last read or written.
    pub record: Record,
    /// Version of its row.
    pub version: Version,
    /// Its tasks, by index.
    pub tasks: Vec<TaskEntry>,
    /// Set while tasks are stopped before the work ends or starts again.
    pub closing: Option<Closing>,
    /// Whether a start was sent, or may have been sent by an earlier owner.
    pub may_have_run: bool,
    /// Failed attempts.
    pub failures: Attempt,
    /// Whether the planner knows the job.
    pub submitted: bool,
    /// State that must be written next.
    pub wanted: Option<State>,
    /// State that is being written.
    pub writing: Option<(Tag, State)>,
    /// Time before which the next write is not tried.
    pub write_after: Option<Instant>,
    /// Ends that the workers keep until the record is durable.
    pub held: Vec<(WorkerId, Task, Attempt)>,
    /// Requests that are answered when the cancellation is durable.
    pub cancels: Vec<Origin>,
    /// Set while a change of the home shard is written.
    pub moving: Option<Move>,
    /// Why it does not leave the drained data centre.
    pub stays: Option<&'static str>,
}

impl Entry {
    /// An entry whose tasks were not started.
    pub fn new(record: Record, version: Version) -> Entry {
        let task = TaskEntry {
            phase: Phase::Free,
            attempt: record.attempt,
            worker: None,
            settled: 0,
            queued: false,
            stop: None,
            started: false,
            incarnation: None,
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
            submitted: false,
            wanted: None,
            writing: None,
            write_after: None,
            held: Vec::new(),
            cancels: Vec::new(),
            moving: None,
            stays: None,
        }
    }

    /// Its id.
    pub fn work(&self) -> WorkId {
        self.record.specification.work_id()
    }

    /// Whether a task may be started again. Services are always restarted, so they count as idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.record.specification.idempotent
            || matches!(self.record.specification.class, Class::Service { .. })
    }

    /// Whether it is a gang.
    pub fn is_gang(&self) -> bool {
        matches!(self.record.specification.class, Class::Gang { .. })
    }

    /// Whether its end is durable.
    pub fn has_ended(&self) -> bool {
        matches!(self.record.state, State::Ended(_))
    }

    /// Whether it ends, or has ended.
    pub fn is_ending(&self) -> bool {
        self.has_ended()
            || matches!(self.wanted, Some(State::Ended(_)))
            || matches!(self.writing, Some((_, State::Ended(_))))
            || matches!(self.closing, Some(Closing::End(_)))
    }

    /// Whether any task is booked.
    pub fn is_booked(&self) -> bool {
        self.tasks.iter().any(|task| task.phase.is_booked())
    }

    /// Whether any task may be on a worker that has not answered yet.
    pub fn is_unplaced(&self) -> bool {
        self.tasks.iter().any(|task| task.phase == Phase::Unplaced)
    }

    /// An outcome of this work.
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

    /// Status for callers.
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
                Phase::Unplaced | Phase::Waiting | Phase::Backoff => work::Phase::Waiting,
                Phase::Planned | Phase::Starting(_) => work::Phase::Starting,
                Phase::Doubtful | Phase::RulingOut(_) | Phase::RuledOut => work::Phase::Starting,
                Phase::Running => work::Phase::Running,
                Phase::Stopping(..) => work::Phase::Stopping,
                Phase::Free | Phase::Done(_) => work::Phase::Ended,
            },
            worker: entry.worker.clone(),
            attempt: entry.attempt,
        }
    }
}
