//! Requests of callers.

use crate::host::Host;
use crate::host::store::Purpose;
use crate::job::parse_job_id;
use crate::message::{Message, Query, QueryAnswer, decode, encode};
use crate::port::{
    Action, Answer, Content, Counter, Request, Row, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::scheduler::{cancellation_key, job_key};

/// Time for an answer of the owner; beyond it the store is read.
const OWNER_TIMEOUT: Duration = Duration::from_millis(350);

/// Part of the caller's patience in which an unanswered write is repeated.
const PATIENCE_SHARE: f64 = 0.8;

/// Pause before a request that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time after which a caller whose job was not admitted may try again; the store's short outages last seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Most open requests; further ones are refused at once. Each takes up to 50 KB until the store answers.
pub const OPEN_REQUESTS_MAX: usize = 1000;

/// Longest row, in bytes, before the platform's encoding.
const ROW_MAX: usize = 48 << 10;

/// An open request.
struct Pending {
    deadline: Uptime,
    id: JobId,
    kind: Kind,
    /// When to try again; `None` while an answer is awaited.
    again: Option<Uptime>,
}

enum Kind {
    Submit { job: Box<Job>, bytes: Vec<u8>, unanswered: bool, attempts: u32 },
    Cancel { team: Option<String>, queue: String },
    State { team: Option<String>, queue: String, found: Option<bool> },
}

/// Open requests and queries to the owner.
#[derive(Default)]
pub(super) struct Gateway {
    pending: BTreeMap<RequestId, Pending>,
    queries: BTreeMap<CallId, (RequestId, Uptime, Subject)>,
}

/// What a query to the owner was about.
#[derive(Clone, Debug)]
enum Subject {
    State { id: JobId, team: Option<String>, queue: String },
    Waiting,
}

impl Host {
    pub(super) fn request(&mut self, request: RequestId, body: Request) {
        if self.gateway.pending.len() >= OPEN_REQUESTS_MAX {
            return self.refuse(request, body.path, "too many open requests");
        }
        let Some(configuration) = &self.operator.configuration else {
            return self.refuse(request, body.path, "no configuration yet");
        };
        let version = configuration.version;
        let Some(queue) = configuration.route(&body.host, &body.path).cloned() else {
            return self.reject(request, &body.path, version, Answer::NoQueue);
        };
        let team = body.key.as_deref().and_then(|key| configuration.team_of_key(key));
        let team = team.map(|team| team.name.clone());
        let rest = body.path.get(queue.prefix.len()..).unwrap_or_default().to_owned();
        let counts = body.action == Action::Read && rest.is_empty();
        // A key that is shown must be known everywhere; queues that are open need none, nor does a count.
        let keyless = body.key.is_none() && (queue.allow_anonymous || counts);
        if team.is_none() && !keyless {
            return self.reject(request, &body.path, version, Answer::BadKey);
        }
        let deadline = self.now + body.timeout.mul_f64(PATIENCE_SHARE);
        match (body.action, parse_job_id(&rest)) {
            (Action::Read, _) if rest.is_empty() => self.count(request, &queue, deadline),
            (Action::Submit(Ok(job)), Some(id)) => {
                self.submit(request, id, *job, &queue, team, deadline);
            }
            (Action::Submit(Err(fault)), _) => {
                self.reject(request, &body.path, version, Answer::Malformed(fault));
            }
            (Action::Submit(_), None) => {
                let fault = "name the job with 16 lower-case hexadecimal digits".to_owned();
                self.reject(request, &body.path, version, Answer::Malformed(fault));
            }
            (Action::Read, Some(id)) => self.read_state(request, id, team, queue.name, deadline),
            (Action::Cancel, Some(id)) => {
                let kind = Kind::Cancel { team, queue: queue.name };
                self.gateway.pending.insert(request, Pending { deadline, id, kind, again: None });
                self.attempt_cancel(request, id);
            }
            (Action::Read | Action::Cancel, None) => self.answer(request, Answer::NoJob),
        }
    }

    /// Refuses a request for what the caller sent, under this version of the configuration.
    fn reject(&mut self, request: RequestId, path: &str, version: u64, answer: Answer) {
        let fields = vec![
            ("request", request.to_string()),
            ("path", path.to_owned()),
            ("answer", format!("{answer:?}")),
            ("configuration", version.to_string()),
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

    /// Refuses a request, for a job or a path, for a reason of this host; nothing was done.
    fn refuse(&mut self, request: RequestId, subject: String, cause: &'static str) {
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

    fn submit(
        &mut self,
        request: RequestId,
        id: JobId,
        mut job: Job,
        queue: &Queue,
        team: Option<String>,
        deadline: Uptime,
    ) {
        if let Some(fault) = job.validation_error() {
            return self.answer(request, Answer::Malformed(fault.to_owned()));
        }
        job.queue.clone_from(&queue.name);
        job.team = team;
        job.policy = queue.policy.clone();
        job.epoch = self.highest_epoch();
        let bytes = match encode(&job) {
            Ok(bytes) if bytes.len() <= ROW_MAX => bytes,
            _ => {
                let fault = "the job is too large; shorten its specification".to_owned();
                return self.answer(request, Answer::Malformed(fault));
            }
        };
        let kind = Kind::Submit { job: Box::new(job), bytes, unanswered: false, attempts: 0 };
        self.gateway.pending.insert(request, Pending { deadline, id, kind, again: None });
        self.attempt_submit(request);
    }

    fn attempt_submit(&mut self, request: RequestId) {
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        let key = job_key(pending.id);
        let Kind::Submit { bytes, attempts, .. } = &mut pending.kind else { return };
        *attempts += 1;
        let store = StoreRequest::Transact {
            conditions: vec![(Table::Jobs, key.clone(), 0)],
            writes: vec![(Table::Jobs, key, bytes.clone())],
            deletes: Vec::new(),
        };
        self.call_store(Purpose::Submit(request), store, Duration::ZERO);
    }

    pub(super) fn submit_result(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let now = self.now;
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        let Kind::Submit { unanswered, attempts, .. } = &mut pending.kind else { return };
        let late = now + RETRY_PAUSE >= pending.deadline;
        let job = job_key(pending.id);
        match result {
            Ok(_) => self.admitted(request, true),
            // The job was stored before, here or elsewhere; the owner knows it or reads it from the feed.
            Err(StoreError::Conflict { .. }) => self.admitted(request, false),
            Err(StoreError::Unanswered) => {
                *unanswered = true;
                if late {
                    self.answer(request, Answer::Unknown);
                } else {
                    // The condition prevents that the job is stored twice.
                    pending.again = Some(now);
                }
            }
            Err(_) if *unanswered => {
                if late {
                    self.answer(request, Answer::Unknown);
                } else {
                    pending.again = Some(now + RETRY_PAUSE);
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
        } else if let Some(owner) = self.fresh_owner() {
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
        let Kind::Cancel { team, queue } = &pending.kind else { return };
        let id = pending.id;
        match result {
            Ok(answer) if !holds(&answer.rows, id, team.as_deref(), queue) => {
                self.answer(request, Answer::NoJob);
            }
            Ok(_) => {
                let write = StoreRequest::Transact {
                    conditions: Vec::new(),
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
        } else if let Some(owner) = self.fresh_owner() {
            self.send(&owner, Message::Cancelled { id });
        }
    }

    fn retry_later(&mut self, request: RequestId) {
        let now = self.now;
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        if now + RETRY_PAUSE >= pending.deadline {
            self.answer(request, Answer::Unknown);
        } else {
            pending.again = Some(now + RETRY_PAUSE);
        }
    }

    /// Tries requests again whose time has come, and gives up on queries to the owner.
    pub(super) fn retry_requests(&mut self) {
        let now = self.now;
        let due: Vec<(RequestId, JobId)> = self
            .gateway
            .pending
            .iter()
            .filter(|(_, pending)| pending.again.is_some_and(|again| again <= now))
            .map(|(request, pending)| (*request, pending.id))
            .collect();
        for (request, id) in due {
            let Some(pending) = self.gateway.pending.get_mut(&request) else { continue };
            pending.again = None;
            match pending.kind {
                Kind::Submit { .. } => self.attempt_submit(request),
                Kind::Cancel { .. } => self.attempt_cancel(request, id),
                Kind::State { .. } => self.attempt_state(request, id),
            }
        }
        let silent: Vec<CallId> = self
            .gateway
            .queries
            .iter()
            .filter(|(_, (_, until, _))| *until <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in silent {
            self.told(call, QueryAnswer::NotOwner);
        }
    }

    fn read_state(
        &mut self,
        request: RequestId,
        id: JobId,
        team: Option<String>,
        queue: String,
        deadline: Uptime,
    ) {
        let kind = Kind::State { team: team.clone(), queue: queue.clone(), found: None };
        self.gateway.pending.insert(request, Pending { deadline, id, kind, again: None });
        self.query(request, Query::State { id }, Subject::State { id, team, queue });
    }

    fn count(&mut self, request: RequestId, queue: &Queue, deadline: Uptime) {
        let kind = Kind::State { team: None, queue: queue.name.clone(), found: None };
        self.gateway.pending.insert(request, Pending { deadline, id: 0, kind, again: None });
        let query = Query::Waiting { queue: queue.name.clone() };
        self.query(request, query, Subject::Waiting);
    }

    /// Asks the owner, which may be this host.
    fn query(&mut self, request: RequestId, query: Query, subject: Subject) {
        let call = self.allocate_call();
        let until = self.now + OWNER_TIMEOUT;
        self.gateway.queries.insert(call, (request, until, subject));
        match self.fresh_owner() {
            Some(owner) if self.owner.is_none() => {
                self.send(&owner, Message::Query { call, query });
            }
            _ => {
                let answer = self.knowledge(&query);
                self.told(call, answer);
            }
        }
    }

    /// What this host knows as the owner.
    pub(super) fn knowledge(&self, query: &Query) -> QueryAnswer {
        let Some(owner) = self.owner.as_ref().filter(|owner| owner.is_loaded()) else {
            return QueryAnswer::NotOwner;
        };
        match query {
            Query::State { id } => match owner.scheduler.state(*id) {
                Some((state, team, queue)) => QueryAnswer::State {
                    state,
                    team: team.map(str::to_owned),
                    queue: queue.to_owned(),
                },
                None => QueryAnswer::Unknown,
            },
            Query::Waiting { queue } => QueryAnswer::Waiting(owner.scheduler.waiting(queue)),
        }
    }

    pub(super) fn told(&mut self, call: CallId, answer: QueryAnswer) {
        let Some((request, _, subject)) = self.gateway.queries.remove(&call) else { return };
        match (subject, answer) {
            (Subject::Waiting, QueryAnswer::Waiting(jobs)) => {
                self.answer(request, Answer::Waiting(jobs));
            }
            (Subject::Waiting, _) => {
                self.refuse(request, "queue".to_owned(), "the owner is not known");
            }
            (
                Subject::State { team, queue, .. },
                QueryAnswer::State { state, team: of_job, queue: of },
            ) => {
                let own = of == queue && (of_job.is_none() || of_job == team);
                let answer = if own { Answer::State(state) } else { Answer::NoJob };
                self.answer(request, answer);
            }
            // The owner may not have heard of the job yet, or there may be no owner at present.
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
        let Some(pending) = self.gateway.pending.get_mut(&request) else { return };
        let id = pending.id;
        let Kind::State { team, queue, found } = &mut pending.kind else { return };
        match result {
            Ok(answer) if !holds(&answer.rows, id, team.as_deref(), queue) => {
                self.answer(request, Answer::NoJob);
            }
            Ok(answer) => {
                let cancellation = cancellation_key(id);
                *found = Some(answer.rows.iter().any(|row| row.key == cancellation));
                let read =
                    StoreRequest::Read { table: Table::Progress, from: job_key(id), limit: 1 };
                self.call_store(Purpose::ProgressOf(request), read, Duration::ZERO);
            }
            Err(_) => self.retry_later(request),
        }
    }

    pub(super) fn progress_of(
        &mut self,
        request: RequestId,
        result: Result<StoreAnswer, StoreError>,
    ) {
        let Some(pending) = self.gateway.pending.get(&request) else { return };
        let Kind::State { found: Some(cancelled), .. } = pending.kind else { return };
        let id = pending.id;
        let Ok(answer) = result else { return self.retry_later(request) };
        let key = job_key(id);
        let stored =
            answer.rows.iter().find(|row| row.key == key).and_then(|row| match &row.content {
                Content::Bytes(bytes) => decode::<Progress>(bytes).ok(),
                _ => None,
            });
        let state = match stored.map(|progress| progress.state) {
            Some(state) if state.is_final() => state,
            _ if cancelled => State::Cancelled,
            Some(state) => state,
            None => State::Queued,
        };
        self.answer(request, Answer::State(state));
    }
}

/// Whether the rows hold the job, and it belongs to the queue and to the caller's team.
fn holds(rows: &[Row], id: JobId, team: Option<&str>, queue: &str) -> bool {
    let key = job_key(id);
    let row = rows.iter().find(|row| row.key == key);
    row.is_some_and(|row| match &row.content {
        Content::Bytes(bytes) => decode::<Job>(bytes).is_ok_and(|job| {
            job.queue == queue && (job.team.is_none() || job.team.as_deref() == team)
        }),
        _ => false,
    })
}
