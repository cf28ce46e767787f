//! Admission of submissions: validation, choice of the home shard, and the commit of the record.

mod home;
pub(crate) use home::{Requirement, can_hold, choose_other_home, known_owner, latest_loads};
mod validation;

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::table::{self, Check, Write};
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::work::{self, Record, Registration, Specification, State};

use crate::configuration::Snapshot;
use crate::membership::PeerList;
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;

/// Time after which a submission that is not committed is refused.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// A submission that waits for its commit, or for the registration row of an earlier submission with the same id.
struct Submission {
    origin: Origin,
    record: Rc<Record>,
    /// Whether a write of this submission has an unknown outcome.
    outcome_unknown: bool,
    deadline: Instant,
}

/// Service that admits submitted work.
pub struct Admission {
    host: HostId,
    data_centre: DataCentreId,
    queue_limit: usize,
    table_timeout: Duration,
    random: StdRng,
    snapshot: Rc<Snapshot>,
    peer_list: Rc<PeerList>,
    own_loads: Vec<Load>,
    draining: bool,
    next_tag: Tag,
    /// Submissions whose write is in flight.
    committing: BTreeMap<Tag, Submission>,
    /// Submissions whose registration row is being read.
    reading: BTreeMap<CallId, Submission>,
}

impl Admission {
    pub fn new(settings: &Settings) -> Admission {
        Admission {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            queue_limit: settings.admission_queue_limit,
            table_timeout: settings.table_timeout,
            random: StdRng::seed_from_u64(settings.random_seed),
            snapshot: Rc::default(),
            peer_list: Rc::default(),
            own_loads: Vec::new(),
            draining: false,
            next_tag: 0,
            committing: BTreeMap::new(),
            reading: BTreeMap::new(),
        }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Snapshot(snapshot) => self.snapshot = snapshot,
            Message::PeerList(peer_list) => self.peer_list = peer_list,
            Message::ShardLoads(loads) => self.own_loads = loads,
            Message::Stop => self.draining = true,
            Message::AuthenticatedRequest {
                origin,
                identity,
                request: Request::Submit(specification),
            } => {
                self.submit(context, origin, &identity, specification);
            }
            Message::WriteResult { tag, result } => self.on_write_result(context, tag, result),
            Message::TableResult { call, result } => {
                self.on_registration_read(context, call, result)
            }
            _ => {}
        }
    }

    fn submit(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: &Identity,
        specification: Specification,
    ) {
        match self.admit(context, identity, specification) {
            Ok(record) => {
                let deadline = context.now + COMMIT_TIMEOUT;
                self.write(
                    context,
                    Submission {
                        origin,
                        record: Rc::new(record),
                        outcome_unknown: false,
                        deadline,
                    },
                );
            }
            Err(problem) => context.answer(origin, Err(problem)),
        }
    }

    fn admit(
        &mut self,
        context: &Context,
        identity: &Identity,
        specification: Specification,
    ) -> Result<Record, Problem> {
        if self.draining {
            return Err(Problem::new(ProblemKind::Draining, "This entry host is shutting down."));
        }
        if self.committing.len() + self.reading.len() >= self.queue_limit {
            let message = format!("{} submissions wait for their commit.", self.queue_limit);
            return Err(Problem::new(ProblemKind::Overloaded, message));
        }
        validation::check(&self.snapshot, identity, &specification, context.unix_ms)?;
        let loads = home::latest_loads(&self.peer_list, &self.own_loads);
        let shard = home::choose_home(
            &specification,
            &self.snapshot,
            &loads,
            &self.data_centre,
            &mut self.random,
        )?;
        let admitted_unix_ms = context.unix_ms;
        Ok(Record {
            submitter: identity.key.clone(),
            specification,
            shard,
            state: State::Admitted,
            admitted_unix_ms,
            attempt: 0,
            moved_unix_ms: 0,
            losses: Vec::new(),
        })
    }

    fn write(&mut self, context: &mut Context, submission: Submission) {
        let record = &submission.record;
        let work = record.specification.work_id();
        let registration =
            Registration { shard: record.shard.clone(), digest: record.specification.digest() };
        self.next_tag += 1;
        let batch = Batch {
            reply_to: ServiceName::Admission,
            tag: self.next_tag,
            checks: vec![Check { key: work::registration_key(&work), version: None }],
            writes: vec![
                row(work::registration_key(&work), &registration),
                row(work::row_key(&record.shard, &work), record.as_ref()),
            ],
            expires: Some(submission.deadline),
        };
        self.committing.insert(self.next_tag, submission);
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    fn on_write_result(
        &mut self,
        context: &mut Context,
        tag: Tag,
        result: Result<(), WriteFailure>,
    ) {
        let Some(mut submission) = self.committing.remove(&tag) else { return };
        match result {
            Ok(()) => self.accept(context, submission),
            Err(WriteFailure::Conflict(_)) => self.read_registration(context, submission),
            Err(WriteFailure::Unknown) => {
                submission.outcome_unknown = true;
                self.read_registration(context, submission);
            }
            Err(WriteFailure::Overloaded) => {
                let problem = Problem::new(
                    ProblemKind::Overloaded,
                    "Too many changes wait for their commit.",
                );
                context.answer(submission.origin, Err(problem));
            }
            Err(WriteFailure::Expired) => {
                context.answer(submission.origin, Err(table_unavailable()))
            }
        }
    }

    fn accept(&mut self, context: &mut Context, submission: Submission) {
        let record = submission.record;
        let (shard, work) = (record.shard.clone(), record.specification.work_id());
        self.notify_owner(context, &shard, &work, Some(record));
        context.answer(submission.origin, Ok(Reply::Accepted { work, shard, repeated: false }));
    }

    /// Notifies the owner of an admitted record. A lost notification only delays the work until the owner's next scan.
    fn notify_owner(
        &self,
        context: &mut Context,
        shard: &Shard,
        work: &WorkId,
        record: Option<Rc<Record>>,
    ) {
        let (shard, work) = (shard.clone(), work.clone());
        match home::known_owner(&self.peer_list, &self.own_loads, &self.host, &shard) {
            Some(host) if host == self.host => {
                context.send(ServiceName::Scheduler, Message::WorkAdmitted { record, shard, work });
            }
            Some(host) => {
                let frame = Frame::Admitted { shard, work };
                context.send(ServiceName::Membership, Message::SendFrame { to: host, frame });
            }
            None => {}
        }
    }

    fn read_registration(&mut self, context: &mut Context, submission: Submission) {
        let key = work::registration_key(&submission.record.specification.work_id());
        let call = context.call_table(table::Request::Read { keys: vec![key] }, self.table_timeout);
        self.reading.insert(call, submission);
    }

    fn on_registration_read(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<table::Reply, Failure>,
    ) {
        let Some(submission) = self.reading.remove(&call) else { return };
        match result {
            Ok(table::Reply::Rows { rows, .. }) => {
                let registration =
                    rows.first().and_then(|row| serde_json::from_str(&row.value).ok());
                self.resolve(context, submission, registration);
            }
            _ if context.now < submission.deadline => self.read_registration(context, submission),
            _ if submission.outcome_unknown => {
                context.answer(submission.origin, Err(outcome_unknown()))
            }
            _ => context.answer(submission.origin, Err(table_unavailable())),
        }
    }

    fn resolve(
        &mut self,
        context: &mut Context,
        submission: Submission,
        found: Option<Registration>,
    ) {
        let specification = &submission.record.specification;
        match found {
            Some(registration) if registration.digest == specification.digest() => {
                let (work, shard) = (specification.work_id(), registration.shard);
                // The notification of the earlier submission may have been lost. No record is sent: the work may have
                // moved since this read, so the owner reads the row.
                self.notify_owner(context, &shard, &work, None);
                context
                    .answer(submission.origin, Ok(Reply::Accepted { work, shard, repeated: true }));
            }
            Some(_) => {
                let message = format!("The id {} is used for other work.", specification.work_id());
                context
                    .answer(submission.origin, Err(Problem::new(ProblemKind::IdReused, message)));
            }
            None if submission.outcome_unknown => {
                context.answer(submission.origin, Err(outcome_unknown()))
            }
            None if context.now < submission.deadline => self.write(context, submission),
            None => context.answer(submission.origin, Err(table_unavailable())),
        }
    }
}

fn row<V: serde::Serialize>(key: String, value: &V) -> Write {
    Write { key, value: serde_json::to_string(value).ok() }
}

fn table_unavailable() -> Problem {
    let message =
        "The table service did not take the submission in time; this request admitted nothing.";
    Problem::new(ProblemKind::Unavailable, message)
}

fn outcome_unknown() -> Problem {
    Problem::new(
        ProblemKind::Unknown,
        "The table service did not confirm whether the submission was admitted.",
    )
}
