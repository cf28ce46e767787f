//! Client requests about the work and workers of the owned shards.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply, Request, WorkerState};
use shallotpost_protocol::resource::Right;
use shallotpost_protocol::work::{Ending, Explanation, Phase, State, Status};

use crate::prelude::*;
use crate::scheduler::entry::{Entry, Phase as TaskPhase};
use crate::scheduler::shard::OwnedShard;

/// Answers a request, or keeps its origin until the effect is durable.
pub fn handle(
    shards: &mut BTreeMap<Shard, OwnedShard>,
    context: &mut Context,
    origin: Origin,
    identity: &Identity,
    request: Request,
) {
    if let Request::Workers { after, limit } = &request {
        return context.answer(origin, Ok(workers(shards, after, *limit)));
    }
    let team = match &request {
        Request::Status(work) | Request::Cancel(work) | Request::Explain(work) => &work.team,
        Request::List { team, .. } => team,
        _ => {
            let problem = Problem::new(ProblemKind::Malformed, "the scheduler does not serve this");
            return context.answer(origin, Err(problem));
        }
    };
    let may_access_team = match &identity.right {
        Right::Operator => true,
        Right::Team(own) => own == team,
    };
    let forbidden = || {
        let message = format!("the key has no right to this work of team {team}");
        Problem::new(ProblemKind::Forbidden, message)
    };
    if let Request::List { team, after, limit } = &request {
        let result = match may_access_team {
            true => Ok(list(shards, team, after, *limit)),
            false => Err(forbidden()),
        };
        return context.answer(origin, result);
    }
    let (Request::Status(work) | Request::Cancel(work) | Request::Explain(work)) = &request else {
        return;
    };
    let is_moving =
        |shard: &OwnedShard| shard.works.get(work).is_some_and(|entry| entry.moving.is_some());
    let incomplete =
        shards.values().any(|shard| !shard.rows.loaded || shard.fenced || is_moving(shard));
    let mut owned = shards.values_mut().filter(|shard| !shard.fenced);
    let Some(shard) = owned.find(|shard| shard.works.contains_key(work) && !is_moving(shard))
    else {
        let problem = match incomplete {
            true => Problem::new(
                ProblemKind::Unavailable,
                "a shard was just taken over or lost, or the work is moving",
            ),
            false => Problem::new(ProblemKind::NotFound, format!("no work {work}")),
        };
        return context.answer(origin, Err(problem));
    };
    if !may_access_team && shard.works[work].record.submitter != identity.key {
        return context.answer(origin, Err(forbidden()));
    }
    match request {
        Request::Cancel(work) => shard.cancel(context, origin, &work),
        Request::Explain(work) => {
            let explanation = shard.explain(context.now, &work);
            context.answer(origin, Ok(Reply::Explanation(explanation)));
        }
        _ => {
            let status = shard.works[work].status();
            context.answer(origin, Ok(Reply::Status(status)));
        }
    }
}

fn workers(shards: &BTreeMap<Shard, OwnedShard>, after: &str, limit: usize) -> Reply {
    let limit = limit.clamp(1, PAGE_LIMIT_MAX);
    let states = shards.values().flat_map(OwnedShard::worker_states);
    let mut entries: Vec<WorkerState> =
        states.filter(|state| state.worker.as_str() > after).collect();
    entries.sort_by(|left, right| left.worker.cmp(&right.worker));
    let more = entries.len() > limit;
    entries.truncate(limit);
    Reply::Workers { entries, more }
}

fn list(shards: &BTreeMap<Shard, OwnedShard>, team: &str, after: &str, limit: usize) -> Reply {
    let limit = limit.clamp(1, PAGE_LIMIT_MAX);
    let first = WorkId { team: team.to_owned(), name: after.to_owned() };
    let mut entries: Vec<Status> = Vec::new();
    for shard in shards.values() {
        let range = shard.works.range(first.clone()..).skip_while(|(work, _)| **work == first);
        let of_team = range.take_while(|(work, _)| work.team == team);
        let open = of_team.filter(|(_, entry)| !entry.has_ended() && entry.moving.is_none());
        entries.extend(open.take(limit + 1).map(|(_, entry)| entry.status()));
    }
    entries.sort_by(|left, right| left.work.cmp(&right.work));
    let more = entries.len() > limit;
    entries.truncate(limit);
    Reply::Work { entries, more }
}

impl OwnedShard {
    fn worker_states(&self) -> impl Iterator<Item = WorkerState> {
        self.sessions.iter().map(|(worker, session)| {
            let tasks = session.tasks.iter().filter_map(|task| self.works.get(&task.work));
            let sizes = tasks.map(|entry| entry.record.specification.size);
            WorkerState {
                worker: worker.clone(),
                shard: self.id.clone(),
                rack: session.listing.rack.clone(),
                capacity: session.listing.capacity,
                booked: sizes.fold(Size::ZERO, |sum, size| sum.plus(&size)),
                leaving: session.leaving || session.listing.leaving,
                answers: session.claimed && !session.silent,
            }
        })
    }

    /// Cancels work. The request is answered once the cancellation is durable.
    fn cancel(&mut self, context: &mut Context, origin: Origin, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        if let State::Ended(outcome) = &entry.record.state {
            let reply = Reply::Outcome(outcome.clone());
            return context.answer(origin, Ok(reply));
        }
        if entry.record.state == State::Cancelling {
            return context.answer(origin, Ok(Reply::Cancelling));
        }
        entry.cancels.push(origin);
        if entry.is_ending() {
            return;
        }
        // If no task was sent, the work ends at once, and its end replaces this state before it is written.
        self.set_pending_state(work, State::Cancelling);
        self.end(context, work, Ending::Cancelled, "cancelled");
    }

    /// Explains the phase of work and what its owner can do.
    fn explain(&self, now: Instant, work: &WorkId) -> Explanation {
        let entry = &self.works[work];
        let own = |phase: Phase, reason: &str, remedy: &str| Explanation {
            work: work.clone(),
            phase,
            reasons: vec![reason.to_owned()],
            remedies: vec![remedy.to_owned()],
        };
        match () {
            _ if entry.is_ending() && !entry.is_booked() => {
                own(Phase::Ended, "it ended", "read its status")
            }
            _ if entry.is_ending() => {
                own(Phase::Stopping, "its tasks are being stopped", "wait for the workers' answers")
            }
            _ if entry.is_unlocated() => own(
                Phase::Waiting,
                "a worker that may run it has not answered since the takeover of its shard",
                "wait until the worker answers or its task lease has lapsed",
            ),
            _ if entry.tasks.iter().any(|task| task.phase == TaskPhase::Backoff) => {
                own(Phase::Waiting, "it waits to be started again", "wait for the next attempt")
            }
            _ if entry.stay_reason.is_some() => own(
                phase_of(entry),
                &format!("its data centre is drained; {}", entry.stay_reason.unwrap_or_default()),
                "restore the data centre, or let another one run it",
            ),
            _ => self.planner.explain(now, work).unwrap_or_else(|| {
                own(phase_of(entry), "no worker of the shard can hold it now", "lower its size")
            }),
        }
    }
}

fn phase_of(entry: &Entry) -> Phase {
    match entry.is_booked() {
        true => Phase::Running,
        false => Phase::Waiting,
    }
}
