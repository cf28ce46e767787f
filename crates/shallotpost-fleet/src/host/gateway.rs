//! Requests of callers: admission, cancellation and queries.

use crate::host::Host;
use crate::host::deferral::Deferred;
use crate::host::store::{Path, Purpose};
use crate::message::{Message, Query, QueryAnswer, decode, encode};
use crate::origin::{Caller, Origin, digest, split_path};
use crate::port::{
    Action, Answer, Content, Counter, Request, Row, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::progress::{Failure, Progress, State};
use crate::scheduler::{cancellation_key, job_key};

/// Timeout of queries to the owner, after which the store is read instead.
const OWNER_TIMEOUT: Duration = Duration::from_millis(350);

/// Share of the caller's timeout within which a request is retried.
const CALLER_TIMEOUT_SHARE: f64 = 0.8;

/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time after which a caller whose job was not admitted may retry. Short outages of the store last seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of open requests; further ones are refused at once. Each takes up to 50 KB until the store answers.
pub const OPEN_REQUESTS_MAX: usize = 1000;

/// Maximum size of a job's row in bytes, before the platform's encoding.
const ROW_MAX: usize = 48 << 10;

struct PendingRequest {
    deadline: Uptime,
    id: JobId,
    kind: Kind,
    /// Time of the next attempt; `None` while a call is in flight.
    retry_at: Option<Uptime>,
}

enum Kind {
    /// `unanswered` is set if an earlier attempt may have taken effect.
    Submit {
        job: Box<Job>,
        bytes: Vec<u8>,
        unanswered: bool,
        attempts: u32,
        /// Time of the last attempt.
        sent: Uptime,
        /// Whether the last attempt was repeated through a peer.
        hedged: bool,
    },
    Cancel {
        caller: Caller,
    },
    State {
        caller: Caller,
        /// State that the owner told, if only the job's row can tell whether the caller may see it.
        told: Option<State>,
        /// Whether a cancellation is stored; `None` until the store was read.
        cancelled: Option<bool>,
    },
    WaitingCount,
}

/// Open requests, and queries to the owner with their deadlines.
#[derive(Default)]
pub(super) struct Gateway {
    pending: BTreeMap<RequestId, PendingRequest>,
    queries: BTreeMap<CallId, (RequestId, Uptime, Subject)>,
    /// Requests that wait until the operator's settings are known to be current, in the order of their arrival.
    pub(super) deferred: Vec<Deferred>,
}

/// What a query to the owner is for.
#[derive(Clone, Debug)]
enum Subject {
    State { id: JobId, caller: Caller },
    Waiting,
}

impl Host {
    pub(super) fn request(&mut self, request: RequestId, body: Request) {
        if self.gateway.pending.len() + self.gateway.deferred.len() >= OPEN_REQUESTS_MAX {
            return self.refuse(request, body.path, "too many open requests");
        }
        if self.operator.configuration.is_none() {
            return self.refuse(request, body.path, "no configuration yet");
        }
        let deadline = self.now + body.timeout.mul_f64(CALLER_TIMEOUT_SHARE);
        match self.has_current_settings() {
            true => self.decide(request, body, deadline),
            false => self.defer(request, body, deadline),
        }
    }

    /// Returns the queue and the team of a request, or the answer that rejects it.
    pub(super) fn authorize(&self, body: &Request) -> Result<(Queue, Option<String>), Answer> {
        let configuration = self.operator.configuration.as_ref().ok_or(Answer::NoQueue)?;
        let queue = configuration.route(&body.host, &body.path).ok_or(Answer::NoQueue)?;
        let team = body.key.as_deref().and_then(|key| configuration.team_of_key(key));
        let names_no_job = body.path.len() == queue.prefix.len();
        let reads_waiting_count = body.action == Action::Read && names_no_job;
        // A key that is sent must be valid for every queue. Queues that allow anonymous requests need none, and neither
        // does reading the number of waiting jobs.
        let anonymous = body.key.is_none() && (queue.allow_anonymous || reads_waiting_count);
        match team {
            None if !anonymous => Err(Answer::BadKey),
            team => Ok((queue.clone(), team.map(|team| team.name.clone()))),
        }
    }

    /// Handles a request as the known settings say.
    pub(super) fn decide(&mut self, request: RequestId, body: Request, deadline: Uptime) {
        let version = self.operator.configuration.as_ref().map_or(0, |current| current.version);
        let (queue, team) = match self.authorize(&body) {
            Ok(authorized) => authorized,
            Err(answer) => return self.reject(request, &body.path, version, answer),
        };
        let rest = body.path.get(queue.prefix.len()..).unwrap_or_default();
        let job = split_path(&body.path).map(|(prefix, id)| {
            (id, Caller { host: body.host.clone(), prefix: prefix.to_owned(), team: team.clone() })
        });
        match (body.action, job) {
            (Action::Read, _) if rest.is_empty() => {
                self.read_waiting_count(request, &queue, deadline)
            }
            (Action::Submit(Ok(mut job)), Some((id, caller))) if caller.prefix == queue.prefix => {
                job.queue.clone_from(&queue.name);
                job.team = team;
                job.policy = queue.policy.clone();
                let key = body.key.as_deref().map(digest);
                job.origin = Some(Origin { address: queue.address(), key });
                self.submit(request, id, *job, deadline);
            }
            (Action::Submit(Err(reason)), _) => {
                self.reject(request, &body.path, version, Answer::Malformed(reason));
            }
            (Action::Submit(_), _) => {
                let reason = "name the job with 16 lower-case hexadecimal digits".to_owned();
                self.reject(request, &body.path, version, Answer::Malformed(reason));
            }
            (Action::Read, Some((id, caller))) => {
                self.read_state(request, id, caller, deadline);
            }
            (Action::Cancel, Some((id, caller))) => {
                let kind = Kind::Cancel { caller };
                self.gateway
                    .pending
                    .insert(request, PendingRequest { deadline, id, kind, retry_at: None });
                self.attempt_cancel(request, id);
            }
            (Action::Read | Action::Cancel, None) => self.answer(request, Answer::NoJob),
        }
    }

    /// Answers a request that is invalid under this version of the configuration, and logs it.
    fn reject(&mut self, request: RequestId, path: &str, version: u64, answer: Answer) {
        let fields = vec![
            ("request", request.to_string()),
            ("path", path.to_owned()),
            ("answer", format!("{answer:?}")),
            ("configuration", version.to_string()),
            ("settings_age_ms", self.operator.watch.age(self.now).as_millis().to_string()),
        ];
        self.log("rejected", fields);
        self.answer(request, answer);
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        let pending = self.gateway.pending.remove(&request);
        if let Some(pending) = pending
            && matches!(answer, Answer::NoJob | Answer::Unknown | Answer::Malformed(_))
        {
            let fields = vec![
                ("request", request.to_string()),
                ("job", job_key(pending.id)),
                ("answer", format!("{answer:?}")),
                ("store_age_ms", self.store_age().as_millis().to_string()),
            ];
            self.log("unserved", fields);
        }
        self.outputs.push(Output::Answer { request, answer });
    }

    /// Refuses a request for a cause on the host's side. The request had no effect. `subject` is the job or the path.
    pub(super) fn refuse(&mut self, request: RequestId, subject: String, cause: &'static str) {
        self.outputs.push(Output::Count { counter: Counter::JobsRefused, amount: 1 });
        let fields = vec![
            ("request", request.to_string()),
            ("subject", subject),
            ("cause", cause.to_owned()),
            ("store_age_ms", self.store_age().as_millis().to_string()),
        ];
        self.log("refused", fields);
        self.answer(request, Answer::NotAdmitted { retry_after: RETRY_AFTER });
    }

    fn submit(&mut self, request: RequestId, id: JobId, mut job: Job, deadline: Uptime) {
        if let Some(reason) = job.validation_error() {
            return self.answer(request, Answer::Malformed(reason.to_owned()));
        }
        job.epoch = self.highest_epoch();
        let bytes = match encode(&job) {
            Ok(bytes) if bytes.len() <= ROW_MAX => bytes,
            _ => {
                let reason = "the job is too large; shorten its specification".to_owned();
                return self.answer(request, Answer::Malformed(reason));
            }
        };
        let kind = Kind::Submit {
            job: Box::new(job),
            bytes,
            unanswered: false,
            attempts: 0,
            sent: self.now,
            hedged: false,
        };
        self.gateway.pending.insert(request, PendingRequest { deadline, id, kind, retry_at: None });
        self.attempt_submit(request);
    }

    fn attempt_submit(&mut self, request: RequestId) {
        let now = self.now;
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        let Kind::Submit { bytes, attempts, sent, hedged, .. } = &mut pending.kind else { return };
        *attempts += 1;
        (*sent, *hedged) = (now, false);
        let store = insertion(pending.id, bytes);
        self.call_store(Purpose::Submit(request), store, Duration::ZERO);
    }

    /// Repeats submissions through a peer if the store no longer answers this host.
    fn hedge_submissions(&mut self) {
        let waiting: Vec<(RequestId, Uptime)> = self
            .gateway
            .pending
            .iter()
            .filter_map(|(request, pending)| match &pending.kind {
                Kind::Submit { sent, hedged: false, .. } if pending.retry_at.is_none() => {
                    Some((*request, *sent))
                }
                _ => None,
            })
            .collect();
        for (request, sent) in waiting {
            let Some(relay) = self.hedge_host(sent) else { continue };
            let Some(pending) = self.gateway.pending.get_mut(&request) else { continue };
            let Kind::Submit { bytes, unanswered, hedged, .. } = &mut pending.kind else {
                continue;
            };
            (*hedged, *unanswered) = (true, true);
            let store = insertion(pending.id, bytes);
            let path = Path::Relayed(relay);
            self.call_store_on(path, Purpose::Submit(request), store, Duration::ZERO);
        }
    }

    pub(super) fn submit_result(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let now = self.now;
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        let Kind::Submit { bytes, unanswered, attempts, .. } = &mut pending.kind else { return };
        let late = now + RETRY_DELAY >= pending.deadline;
        let job = job_key(pending.id);
        match result {
            Ok(_) => self.admitted(request, true),
            // The job was stored by an earlier attempt or by an earlier request to this or another host. In the second case
            // the owner knows it or reads it from the feed.
            Err(StoreError::Conflict { rows }) => {
                let stored =
                    |row: &Row| matches!(&row.content, Content::Bytes(stored) if stored == bytes);
                let own = *unanswered && rows.iter().any(stored);
                self.admitted(request, own);
            }
            Err(StoreError::Unanswered) => {
                *unanswered = true;
                if late {
                    self.answer(request, Answer::Unknown);
                } else {
                    // The condition keeps the job from being stored twice.
                    pending.retry_at = Some(now);
                }
            }
            Err(_) if *unanswered => {
                if late {
                    self.answer(request, Answer::Unknown);
                } else {
                    pending.retry_at = Some(now + RETRY_DELAY);
                }
            }
            Err(_) if *attempts < 2 && self.store_has_relay() => {
                self.prefer_relay();
                self.attempt_submit(request);
            }
            Err(_) => {
                self.refuse(request, job, "the store is not available");
            }
        }
    }

    /// Answers a submission whose job is stored. `new` tells whether this request stored it; then the owner is
    /// notified.
    fn admitted(&mut self, request: RequestId, new: bool) {
        let Some(pending) = self.gateway.pending.remove(&request) else { return };
        self.answer(request, Answer::Accepted);
        let Kind::Submit { job, .. } = pending.kind else { return };
        let id = pending.id;
        let fields = vec![
            ("request", request.to_string()),
            ("job", job_key(id)),
            ("queue", job.queue.clone()),
            ("team", job.team.clone().unwrap_or_default()),
        ];
        self.log("admitted", fields);
        self.outputs.push(Output::Count { counter: Counter::JobsAdmitted, amount: 1 });
        if !new {
            return;
        }
        if self.owner.is_some() {
            self.with_scheduler(|scheduler, context| {
                scheduler.add_job(id, *job, context);
                scheduler.run_round(context);
            });
        } else if let Some(owner) = self.live_owner() {
            self.send(&owner, Message::Submitted { id, job });
        }
    }

    fn attempt_cancel(&mut self, request: RequestId, id: JobId) {
        let read = StoreRequest::Read { table: Table::Jobs, from: job_key(id), limit: 2 };
        self.call_store(Purpose::CancelRead(request), read, Duration::ZERO);
    }

    pub(super) fn cancel_read(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let Some(pending) = self.gateway.pending.get(&request) else { return };
        let Kind::Cancel { caller } = &pending.kind else { return };
        let id = pending.id;
        match result {
            Ok(answer) if !self.contains_visible_job(&answer.rows, id, caller) => {
                self.answer(request, Answer::NoJob);
            }
            Ok(answer) => {
                // The store may carry out the write late, when another job was submitted under the identifier.
                let key = job_key(id);
                let row = answer.rows.into_iter().find(|row| row.key == key);
                let version = row.map_or(0, |row| row.version);
                let write = StoreRequest::Transact {
                    conditions: vec![(Table::Jobs, key, version)],
                    writes: vec![(Table::Jobs, cancellation_key(id), vec![1])],
                    deletes: Vec::new(),
                };
                self.call_store(Purpose::CancelWrite(request), write, Duration::ZERO);
            }
            Err(_) => self.retry_later(request),
        }
    }

    pub(super) fn cancel_written(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let Some(id) = self.gateway.pending.get(&request).map(|pending| pending.id) else { return };
        if result.is_err() {
            return self.retry_later(request);
        }
        self.log("cancelled", vec![("request", request.to_string()), ("job", job_key(id))]);
        self.answer(request, Answer::Cancelled);
        if self.owner.is_some() {
            self.with_scheduler(|scheduler, context| scheduler.cancel(id, context));
        } else if let Some(owner) = self.live_owner() {
            self.send(&owner, Message::Cancelled { id });
        }
    }

    fn retry_later(&mut self, request: RequestId) {
        let now = self.now;
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        if now + RETRY_DELAY >= pending.deadline {
            self.answer(request, Answer::Unknown);
        } else {
            pending.retry_at = Some(now + RETRY_DELAY);
        }
    }

    /// Retries requests that are due, and ends queries to the owner that have timed out.
    pub(super) fn retry_requests(&mut self) {
        let now = self.now;
        self.hedge_submissions();
        let due: Vec<(RequestId, JobId)> = self
            .gateway
            .pending
            .iter()
            .filter(|(_, pending)| pending.retry_at.is_some_and(|retry_at| retry_at <= now))
            .map(|(request, pending)| (*request, pending.id))
            .collect();
        for (request, id) in due {
            let Some(pending) = self.gateway.pending.get_mut(&request) else { continue };
            pending.retry_at = None;
            match pending.kind {
                Kind::Submit { .. } => self.attempt_submit(request),
                Kind::Cancel { .. } => self.attempt_cancel(request, id),
                Kind::State { .. } => self.attempt_state(request, id),
                Kind::WaitingCount => {}
            }
        }
        let expired: Vec<CallId> = self
            .gateway
            .queries
            .iter()
            .filter(|(_, (_, expires, _))| *expires <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.query_answered(call, QueryAnswer::NotOwner);
        }
    }

    fn read_state(&mut self, request: RequestId, id: JobId, caller: Caller, deadline: Uptime) {
        let kind = Kind::State { caller: caller.clone(), told: None, cancelled: None };
        self.gateway.pending.insert(request, PendingRequest { deadline, id, kind, retry_at: None });
        self.query(request, Query::State { id }, Subject::State { id, caller });
    }

    fn read_waiting_count(&mut self, request: RequestId, queue: &Queue, deadline: Uptime) {
        let kind = Kind::WaitingCount;
        self.gateway
            .pending
            .insert(request, PendingRequest { deadline, id: 0, kind, retry_at: None });
        let query = Query::Waiting { queue: queue.name.clone(), address: Some(queue.address()) };
        self.query(request, query, Subject::Waiting);
    }

    /// Sends a query to the owner, or answers it here if this host is the owner or knows none.
    fn query(&mut self, request: RequestId, query: Query, subject: Subject) {
        let call = self.allocate_call();
        let expires = self.now + OWNER_TIMEOUT;
        self.gateway.queries.insert(call, (request, expires, subject));
        match self.live_owner() {
            Some(owner) if self.owner.is_none() => {
                self.send(&owner, Message::Query { call, query });
            }
            _ => {
                let answer = self.answer_query(&query);
                self.query_answered(call, answer);
            }
        }
    }

    /// Returns the answer to a query; [`QueryAnswer::NotOwner`] unless this host is the owner and has loaded the jobs.
    pub(super) fn answer_query(&mut self, query: &Query) -> QueryAnswer {
        let Some(owner) = self.owner.as_ref().filter(|owner| owner.is_loaded()) else {
            return QueryAnswer::NotOwner;
        };
        if let Query::State { id } = query
            && let Some((State::Failed, ..)) = owner.scheduler.state(*id)
        {
            let failure = owner.scheduler.failure(*id).cloned();
            self.log_failure(*id, failure.as_ref(), "owner");
        }
        let Some(owner) = &self.owner else { return QueryAnswer::NotOwner };
        match query {
            Query::State { id } => match owner.scheduler.state(*id) {
                Some((state, job)) => QueryAnswer::State {
                    state,
                    team: job.team.clone(),
                    queue: job.queue.clone(),
                    origin: job.origin.clone(),
                },
                None => QueryAnswer::Unknown,
            },
            Query::Waiting { queue, address } => {
                QueryAnswer::Waiting(owner.scheduler.waiting(queue, address.as_ref()))
            }
        }
    }

    pub(super) fn query_answered(&mut self, call: CallId, answer: QueryAnswer) {
        let Some((request, _, subject)) = self.gateway.queries.remove(&call) else { return };
        match (subject, answer) {
            (Subject::Waiting, QueryAnswer::Waiting(jobs)) => {
                self.answer(request, Answer::Waiting(jobs));
            }
            (Subject::Waiting, _) => {
                self.refuse(request, "queue".to_owned(), "the owner is not known");
            }
            (
                Subject::State { caller, .. },
                QueryAnswer::State { state, team, origin: Some(origin), .. },
            ) if self.operator.configuration.as_ref().is_some_and(|configuration| {
                configuration.shows_at_origin(team.as_deref(), &origin, &caller)
            }) =>
            {
                self.answer(request, Answer::State(state));
            }
            (Subject::State { id, .. }, QueryAnswer::State { state, .. }) => {
                if let Some(PendingRequest { kind: Kind::State { told, .. }, .. }) =
                    self.gateway.pending.get_mut(&request)
                {
                    *told = Some(state);
                }
                self.attempt_state(request, id);
            }
            // The owner may not know the job yet, or there may be no owner at present.
            (Subject::State { id, .. }, _) => self.attempt_state(request, id),
        }
    }

    fn attempt_state(&mut self, request: RequestId, id: JobId) {
        let read = StoreRequest::Read { table: Table::Jobs, from: job_key(id), limit: 2 };
        self.call_store(Purpose::StateRead(request), read, Duration::ZERO);
    }

    pub(super) fn state_read(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let Some(pending) = self.gateway.pending.get(&request) else { return };
        let id = pending.id;
        let Kind::State { caller, told, .. } = &pending.kind else { return };
        match (result, *told) {
            (Ok(answer), _) if !self.contains_visible_job(&answer.rows, id, caller) => {
                self.answer(request, Answer::NoJob);
            }
            (Ok(_), Some(state)) => self.answer(request, Answer::State(state)),
            (Ok(answer), None) => {
                let cancellation = cancellation_key(id);
                let stored = answer.rows.iter().any(|row| row.key == cancellation);
                if let Some(PendingRequest { kind: Kind::State { cancelled, .. }, .. }) =
                    self.gateway.pending.get_mut(&request)
                {
                    *cancelled = Some(stored);
                }
                let read =
                    StoreRequest::Read { table: Table::Progress, from: job_key(id), limit: 1 };
                self.call_store(Purpose::JobProgressRead(request), read, Duration::ZERO);
            }
            (Err(_), _) => self.retry_later(request),
        }
    }

    pub(super) fn job_progress_read(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let Some(pending) = self.gateway.pending.get(&request) else { return };
        let Kind::State { cancelled: Some(cancelled), .. } = pending.kind else { return };
        let id = pending.id;
        let Ok(answer) = result else { return self.retry_later(request) };
        let key = job_key(id);
        let stored =
            answer.rows.iter().find(|row| row.key == key).and_then(|row| match &row.content {
                Content::Bytes(bytes) => Progress::from_bytes(bytes).ok(),
                _ => None,
            });
        if let Some(progress) = &stored
            && progress.state == State::Failed
        {
            self.log_failure(id, progress.failure.as_ref(), "store");
        }
        let state = match stored.map(|progress| progress.state) {
            Some(state) if state.is_final() => state,
            _ if cancelled => State::Cancelled,
            Some(state) => state,
            None => State::Queued,
        };
        self.answer(request, Answer::State(state));
    }
}

impl Host {
    /// Returns whether the rows contain the job and the caller may see it.
    fn contains_visible_job(&self, rows: &[Row], id: JobId, caller: &Caller) -> bool {
        let Some(configuration) = &self.operator.configuration else { return false };
        let key = job_key(id);
        let row = rows.iter().find(|row| row.key == key);
        row.is_some_and(|row| match &row.content {
            Content::Bytes(bytes) => {
                decode::<Job>(bytes).is_ok_and(|job| configuration.shows(&job, caller))
            }
            _ => false,
        })
    }

    /// Logs why a job is shown as failed. The lines of the failure itself may be long gone by then.
    fn log_failure(&mut self, id: JobId, failure: Option<&Failure>, source: &'static str) {
        let mut fields = vec![("job", job_key(id)), ("source", source.to_owned())];
        match failure {
            Some(failure) => fields.extend([
                ("cause", failure.cause.to_string()),
                ("task", failure.task.to_string()),
                ("runs", format!("{:?}", failure.runs)),
            ]),
            None => fields.push(("cause", "unknown".to_owned())),
        }
        self.log("failure_shown", fields);
    }
}

/// Returns the transaction that stores a new job.
fn insertion(id: JobId, bytes: &[u8]) -> StoreRequest {
    StoreRequest::Transact {
        conditions: vec![(Table::Jobs, job_key(id), 0)],
        writes: vec![(Table::Jobs, job_key(id), bytes.to_vec())],
        deletes: Vec::new(),
    }
}
