//! Requests for one piece of work, from the lookup of its home to the answer.

use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::table;
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::{self, State};

use super::{FORWARD_TIMEOUT, FORWARD_WAIT, RETRY_PAUSE, Router, ask};
use crate::prelude::*;

/// What a ticket waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The row that registers the id.
    Registration,
    /// The record's row, because the owner does not know the work.
    Record,
    /// The scheduler of this host.
    Scheduler,
    /// The end of work of an owned shard.
    Ending,
    /// A peer's answer to this attempt.
    Peer {
        /// The peer.
        host: HostId,
        /// Moment after which the answer counts as lost.
        until: Instant,
    },
    /// The next try of the lookup.
    Pause {
        /// Moment of the next try.
        until: Instant,
    },
}

/// An open request for one piece of work.
pub struct Ticket {
    /// Where the answer goes.
    pub origin: Origin,
    /// Who asks.
    pub identity: Identity,
    /// The request with its key, as it is forwarded.
    pub call: Call,
    /// The work.
    pub work: WorkId,
    /// Moment at which the request is answered with a timeout.
    pub deadline: Instant,
    /// Counts the forwards.
    pub attempt: Attempt,
    /// What it waits for.
    pub stage: Stage,
}

impl Router {
    /// Opens a ticket that is answered within `bound`.
    pub(super) fn open(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: Identity,
        call: Call,
        work: WorkId,
        bound: Duration,
    ) {
        let deadline = context.now + bound;
        let id = self.new_id();
        let stage = Stage::Registration;
        self.tickets
            .insert(id, Ticket { origin, identity, call, work, deadline, attempt: 0, stage });
        self.resolve(context, id);
    }

    /// Asks the owner of the work, or looks up the home shard first.
    pub(super) fn resolve(&mut self, context: &mut Context, id: RequestId) {
        let Some(ticket) = self.tickets.get(&id) else { return };
        let forwarded = matches!(ticket.origin, Origin::Peer { .. });
        match self.homes.get(&ticket.work).cloned() {
            None => self.look_up(context, id, Stage::Registration),
            Some(shard) => match self.owner(&shard) {
                Some(host) if host == self.settings.host => self.ask_scheduler(context, id),
                // A forwarded request is not forwarded again: the asker looks up the owner anew.
                Some(host) if !forwarded => self.forward(context, id, host),
                // The asker finds the new home itself; only a status can be answered from the row.
                Some(_) if !matches!(ticket.call.request, Request::Status(_)) => {
                    let message = format!("The home of {} has moved.", ticket.work);
                    let problem = Problem::new(ProblemKind::Unavailable, message);
                    // The cached home of this host may be the old one.
                    self.forget_home(id);
                    self.finish(context, id, Err(problem));
                }
                _ => self.look_up(context, id, Stage::Record),
            },
        }
    }

    fn look_up(&mut self, context: &mut Context, id: RequestId, stage: Stage) {
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        let key = match (&stage, self.homes.get(&ticket.work)) {
            (Stage::Record, Some(shard)) => work::row_key(shard, &ticket.work),
            _ => work::registration_key(&ticket.work),
        };
        ticket.stage = stage;
        let call = context
            .call_table(table::Request::Read { keys: vec![key] }, self.settings.table_timeout);
        self.lookups.insert(call, id);
    }

    fn ask_scheduler(&mut self, context: &mut Context, id: RequestId) {
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        ticket.stage = Stage::Scheduler;
        let request = match &ticket.call.request {
            Request::Wait { work, .. } => Request::Status(work.clone()),
            request => request.clone(),
        };
        ask(context, ServiceName::Scheduler, Origin::Client(id), ticket.identity.clone(), request);
    }

    fn forward(&mut self, context: &mut Context, id: RequestId, host: HostId) {
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        ticket.attempt += 1;
        let mut call = ticket.call.clone();
        let mut until = context.now + FORWARD_TIMEOUT;
        if let Request::Wait { wait, .. } = &mut call.request {
            *wait = ticket.deadline.saturating_duration_since(context.now).min(FORWARD_WAIT);
            until += *wait;
        }
        ticket.stage = Stage::Peer { host: host.clone(), until };
        let frame = Frame::Forward { request: id, attempt: ticket.attempt, call };
        context.send(ServiceName::Membership, Message::SendFrame { to: host, frame });
    }

    /// The answer of the local scheduler.
    pub(super) fn internal_answer(
        &mut self,
        context: &mut Context,
        id: RequestId,
        result: Result<Reply, Problem>,
    ) {
        if self.listings.contains_key(&id) {
            let host = self.settings.host.clone();
            return self.listed(context, id, &host, result);
        }
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        let waits = matches!(ticket.call.request, Request::Wait { .. });
        match result {
            Ok(Reply::Status(status)) if waits => match status.state {
                State::Ended(outcome) => self.finish(context, id, Ok(Reply::Outcome(outcome))),
                _ => {
                    ticket.stage = Stage::Ending;
                    self.waits.entry(status.work).or_default().push(id);
                }
            },
            Err(problem) if problem.kind == ProblemKind::NotFound => {
                self.look_up(context, id, Stage::Record)
            }
            // The work is moving, or its shard was just taken over.
            Err(problem) if problem.kind == ProblemKind::Unavailable => {
                let work = ticket.work.clone();
                self.homes.remove(&work);
                self.pause(context, id);
            }
            result => self.finish(context, id, result),
        }
    }

    /// A peer's answer; one to another attempt is late and dropped.
    pub(super) fn forwarded(
        &mut self,
        context: &mut Context,
        from: &HostId,
        id: RequestId,
        attempt: Attempt,
        result: Result<Reply, Problem>,
    ) {
        if self.listings.contains_key(&id) {
            return self.listed(context, id, from, result);
        }
        let Some(ticket) = self.tickets.get(&id) else { return };
        let expected = matches!(&ticket.stage, Stage::Peer { host, .. } if host == from);
        if !expected || ticket.attempt != attempt {
            return;
        }
        match result {
            // The part of the wait that was left to the owner is over.
            Err(problem) if problem.kind == ProblemKind::TimedOut => self.resolve(context, id),
            // The peer cannot answer for the work now; the next lookup finds its owner of then.
            Err(problem) if is_transient(problem.kind) => {
                self.homes.remove(&ticket.work.clone());
                self.pause(context, id);
            }
            result => self.finish(context, id, result),
        }
    }

    /// Tries again after a pause.
    pub(super) fn pause(&mut self, context: &mut Context, id: RequestId) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.stage = Stage::Pause { until: context.now + RETRY_PAUSE };
        }
    }

    /// Answers and closes a ticket.
    pub(super) fn finish(
        &mut self,
        context: &mut Context,
        id: RequestId,
        result: Result<Reply, Problem>,
    ) {
        if let Some(ticket) = self.tickets.remove(&id) {
            self.reply(context, &ticket.origin, result);
        }
    }

    pub(super) fn check_tickets(&mut self, context: &mut Context) {
        let now = context.now;
        let late = self.tickets.iter().filter(|(_, ticket)| now >= ticket.deadline);
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.time_out(context, id));
        let due = self.tickets.iter().filter(|(_, ticket)| match &ticket.stage {
            Stage::Pause { until } => now >= *until,
            Stage::Peer { until, .. } => now >= *until,
            Stage::Ending => self.homes.get(&ticket.work).is_some_and(|shard| !self.owns(shard)),
            _ => false,
        });
        let due: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.forget_home(id);
            self.resolve(context, id);
        }
        let tickets = &self.tickets;
        self.waits.retain(|_, waiting| {
            waiting
                .retain(|id| tickets.get(id).is_some_and(|ticket| ticket.stage == Stage::Ending));
            !waiting.is_empty()
        });
    }

    /// Answers a request whose time is over.
    pub(super) fn time_out(&mut self, context: &mut Context, id: RequestId) {
        let Some(ticket) = self.tickets.get(&id) else { return };
        let work = &ticket.work;
        let problem = match (&ticket.call.request, &ticket.stage) {
            (Request::Wait { .. }, _) => {
                Problem::new(ProblemKind::TimedOut, format!("The work {work} has not ended yet."))
            }
            (Request::Cancel(_), Stage::Peer { .. } | Stage::Scheduler) => {
                let message =
                    format!("The owner of {work} did not confirm the cancellation in time.");
                Problem::new(ProblemKind::Unknown, message)
            }
            (_, Stage::Registration | Stage::Record) => {
                Problem::new(ProblemKind::Unavailable, "The table service did not answer in time.")
            }
            _ => {
                let message =
                    format!("No entry host answered for the home shard of {work} in time.");
                Problem::new(ProblemKind::Unavailable, message)
            }
        };
        self.finish(context, id, Err(problem));
    }

    /// Drops the cached home after a failed try, since the work may have moved.
    fn forget_home(&mut self, id: RequestId) {
        if let Some(ticket) = self.tickets.get(&id) {
            self.homes.remove(&ticket.work);
        }
    }

    fn owns(&self, shard: &Shard) -> bool {
        self.loads.iter().any(|load| load.shard == *shard)
    }
}

fn is_transient(kind: ProblemKind) -> bool {
    matches!(
        kind,
        ProblemKind::Unavailable
            | ProblemKind::StaleConfiguration
            | ProblemKind::Draining
            | ProblemKind::Overloaded
    )
}
