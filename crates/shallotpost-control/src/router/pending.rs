//! Requests that concern one piece of work, from the lookup of its home shard to the answer.

use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::table;
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::{self, State};

use super::{FORWARD_TIMEOUT, FORWARD_WAIT_MAX, RETRY_DELAY, Router, send_request};
use crate::prelude::*;

/// What a pending request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The registration row of the work.
    Registration,
    /// The row of the record, because the owner is unknown or does not know the work.
    Record,
    /// The scheduler of this host.
    Scheduler,
    /// The end of work of a shard that this host owns.
    WorkEnd,
    /// The answer of a peer to the current attempt.
    Peer {
        host: HostId,
        /// Time after which the answer counts as lost.
        until: Instant,
    },
    /// The retry of the lookup.
    Retry { until: Instant },
}

/// A request for one piece of work that has not been answered.
pub struct PendingRequest {
    pub origin: Origin,
    pub identity: Identity,
    /// The request with its API key, as it is forwarded.
    pub call: Call,
    pub work: WorkId,
    pub deadline: Instant,
    /// Number of the latest forwarding attempt; 0 before the first.
    pub attempt: Attempt,
    pub stage: Stage,
}

impl Router {
    /// Starts a request that times out after `timeout`.
    pub(super) fn open(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: Identity,
        call: Call,
        work: WorkId,
        timeout: Duration,
    ) {
        let deadline = context.now + timeout;
        let id = self.new_id();
        let stage = Stage::Registration;
        self.requests.insert(
            id,
            PendingRequest { origin, identity, call, work, deadline, attempt: 0, stage },
        );
        self.resolve(context, id);
    }

    /// Asks the owner of the work, or first looks up the home shard or the record.
    pub(super) fn resolve(&mut self, context: &mut Context, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let forwarded = matches!(pending.origin, Origin::Peer { .. });
        match self.homes.get(&pending.work).cloned() {
            None => self.look_up(context, id, Stage::Registration),
            Some(shard) => match self.owner(&shard) {
                Some(host) if host == self.settings.host => self.ask_scheduler(context, id),
                // A forwarded request is not forwarded again: the host that received it looks up the owner itself.
                Some(host) if !forwarded => self.forward(context, id, host),
                // Only a status can be answered from the row. For other requests, the host that forwarded them finds
                // the new home itself.
                Some(_) if !matches!(pending.call.request, Request::Status(_)) => {
                    let message = format!("The home of {} has moved.", pending.work);
                    let problem = Problem::new(ProblemKind::Unavailable, message);
                    // The home shard cached by this host may be outdated.
                    self.forget_home(id);
                    self.finish(context, id, Err(problem));
                }
                _ => self.look_up(context, id, Stage::Record),
            },
        }
    }

    fn look_up(&mut self, context: &mut Context, id: RequestId, stage: Stage) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let key = match (&stage, self.homes.get(&pending.work)) {
            (Stage::Record, Some(shard)) => work::row_key(shard, &pending.work),
            _ => work::registration_key(&pending.work),
        };
        pending.stage = stage;
        let call = context
            .call_table(table::Request::Read { keys: vec![key] }, self.settings.table_timeout);
        self.lookups.insert(call, id);
    }

    fn ask_scheduler(&mut self, context: &mut Context, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.stage = Stage::Scheduler;
        let request = match &pending.call.request {
            Request::Wait { work, .. } => Request::Status(work.clone()),
            request => request.clone(),
        };
        send_request(
            context,
            ServiceName::Scheduler,
            Origin::Client(id),
            pending.identity.clone(),
            request,
        );
    }

    fn forward(&mut self, context: &mut Context, id: RequestId, host: HostId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.attempt += 1;
        let mut call = pending.call.clone();
        let mut until = context.now + FORWARD_TIMEOUT;
        if let Request::Wait { wait, .. } = &mut call.request {
            *wait = pending.deadline.saturating_duration_since(context.now).min(FORWARD_WAIT_MAX);
            until += *wait;
        }
        pending.stage = Stage::Peer { host: host.clone(), until };
        let frame = Frame::Forward { request: id, attempt: pending.attempt, call };
        context.send(ServiceName::Membership, Message::SendFrame { to: host, frame });
    }

    pub(super) fn on_scheduler_answer(
        &mut self,
        context: &mut Context,
        id: RequestId,
        result: Result<Reply, Problem>,
    ) {
        if self.listings.contains_key(&id) {
            let host = self.settings.host.clone();
            return self.on_host_part(context, id, &host, result);
        }
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let waits = matches!(pending.call.request, Request::Wait { .. });
        match result {
            Ok(Reply::Status(status)) if waits => match status.state {
                State::Ended(outcome) => self.finish(context, id, Ok(Reply::Outcome(outcome))),
                _ => {
                    pending.stage = Stage::WorkEnd;
                    self.waits.entry(status.work).or_default().push(id);
                }
            },
            Err(problem) if problem.kind == ProblemKind::NotFound => {
                self.look_up(context, id, Stage::Record)
            }
            // The work is moving, or its shard has just been taken over.
            Err(problem) if problem.kind == ProblemKind::Unavailable => {
                let work = pending.work.clone();
                self.homes.remove(&work);
                self.retry_later(context, id);
            }
            result => self.finish(context, id, result),
        }
    }

    /// Handles an answer of a peer. An answer to an earlier attempt is ignored.
    pub(super) fn on_forward_reply(
        &mut self,
        context: &mut Context,
        from: &HostId,
        id: RequestId,
        attempt: Attempt,
        result: Result<Reply, Problem>,
    ) {
        if self.listings.contains_key(&id) {
            return self.on_host_part(context, id, from, result);
        }
        let Some(pending) = self.requests.get(&id) else { return };
        let is_expected = matches!(&pending.stage, Stage::Peer { host, .. } if host == from);
        if !is_expected || pending.attempt != attempt {
            return;
        }
        match result {
            // The owner waited for its part of the total wait.
            Err(problem) if problem.kind == ProblemKind::TimedOut => self.resolve(context, id),
            // The peer cannot answer for the work at present; the retry looks up the owner again.
            Err(problem) if is_transient(problem.kind) => {
                self.homes.remove(&pending.work.clone());
                self.retry_later(context, id);
            }
            result => self.finish(context, id, result),
        }
    }

    /// Retries the lookup after [`RETRY_DELAY`].
    pub(super) fn retry_later(&mut self, context: &mut Context, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.stage = Stage::Retry { until: context.now + RETRY_DELAY };
        }
    }

    /// Answers a request and removes it.
    pub(super) fn finish(
        &mut self,
        context: &mut Context,
        id: RequestId,
        result: Result<Reply, Problem>,
    ) {
        if let Some(pending) = self.requests.remove(&id) {
            self.reply(context, &pending.origin, result);
        }
    }

    /// Times out late requests, and looks up the owner again for those that are due.
    pub(super) fn check_requests(&mut self, context: &mut Context) {
        let now = context.now;
        let expired = self.requests.iter().filter(|(_, pending)| now >= pending.deadline);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.time_out(context, id));
        let due = self.requests.iter().filter(|(_, pending)| match &pending.stage {
            Stage::Retry { until } => now >= *until,
            Stage::Peer { until, .. } => now >= *until,
            Stage::WorkEnd => self.homes.get(&pending.work).is_some_and(|shard| !self.owns(shard)),
            _ => false,
        });
        let due: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.forget_home(id);
            self.resolve(context, id);
        }
        let requests = &self.requests;
        self.waits.retain(|_, waiting| {
            waiting.retain(|id| {
                requests.get(id).is_some_and(|pending| pending.stage == Stage::WorkEnd)
            });
            !waiting.is_empty()
        });
    }

    /// Answers a request whose deadline has passed.
    pub(super) fn time_out(&mut self, context: &mut Context, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let work = &pending.work;
        let problem = match (&pending.call.request, &pending.stage) {
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

    /// Removes the home shard of the work from the cache after a failed attempt, because the work may have moved.
    fn forget_home(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get(&id) {
            self.homes.remove(&pending.work);
        }
    }

    fn owns(&self, shard: &Shard) -> bool {
        self.own_loads.iter().any(|load| load.shard == *shard)
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
