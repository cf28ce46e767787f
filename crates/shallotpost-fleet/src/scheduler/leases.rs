//! Leases of workers and the long-poll calls that renew them.

use crate::port::Connection;
use crate::prelude::*;
use crate::scheduler::crashes::Loss;
use crate::scheduler::session::{Contact, Phase, Renewal, WorkerKey, milliseconds};
use crate::scheduler::{Context, Purpose, Scheduler};
use crate::worker::{Call, ENDED_RUNS_MAX, Error, Refusal, Report};

/// Maximum time for which a worker delays its answer to a renewal while no run ends. Four answers fit into the shortest
/// lease of the platform.
const POLL_WAIT: Duration = Duration::from_millis(1400);

/// The same delay for a worker with tasks that have a latency target; their gauge covers half a second.
const POLL_WAIT_LATENCY: Duration = Duration::from_millis(500);

/// The same delay for a worker with confirmed stops: the next list shows whether their resources are free.
const POLL_WAIT_STOPPING: Duration = Duration::from_millis(100);

/// The same delay for a worker whose lease cannot be extended in full at present, because a commit still names it as
/// unreachable, or because the ownership is being released or has not been renewed.
const POLL_WAIT_LIMITED: Duration = Duration::from_millis(100);

/// Timeout of a call, in addition to the delay of its answer. Answers take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of consecutive unanswered renewals after which a worker counts as silent. Single answers get lost on the
/// network.
const UNANSWERED_MAX: u32 = 2;

/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between renewals for a worker that keeps ended runs, as they cannot be stored or acknowledged at present: it answers
/// each renewal at once.
const KEPT_ENDS_PAUSE: Duration = Duration::from_millis(150);

/// Minimum length of a lease; a shorter one is not sent.
const LEASE_MIN: Duration = Duration::from_millis(300);

/// Time before the earliest departure of a draining worker at which its runs are stopped: the stop, and the list that shows
/// the end, must arrive before it.
const LEAVING_MARGIN: Duration = Duration::from_millis(400);

/// Maximum age of a list relative to the time at which its call was sent. A confirmed run that is missing from a newer
/// list was lost by the worker.
const LIST_AGE_MAX: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Sends the lease renewals that are due.
    pub(super) fn send_renewals(&mut self, context: &mut Context) {
        let due: Vec<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.renewal.is_none() && session.next_renewal <= context.now)
            .map(|(key, _)| Rc::clone(key))
            .collect();
        for worker in due {
            self.send_renewal(&worker, context);
        }
    }

    fn send_renewal(&mut self, worker: &WorkerKey, context: &mut Context) {
        let now = context.now;
        let lease_max = self.bounds.lease_max;
        let recorded = self.recorded_lease_end(worker);
        let Some(session) = self.sessions.get_mut(worker) else { return };
        // The first call of a session reads the clock and the lists; a lease can only be granted after that.
        let lease = context.latest_lease_end.min(session.heard + lease_max).saturating_sub(now);
        let until_ms = session
            .clock_now(now)
            .filter(|_| lease >= LEASE_MIN)
            // An unanswered call may still renew the lease, so the leases of an unreachable worker would never expire.
            .filter(|_| session.contact != Contact::Silent)
            .map(|clock| clock.saturating_add(milliseconds(lease)))
            // A successor relies on the end that the last commit recorded.
            .map(|until_ms| match recorded.and_then(|end| session.least_clock_at(end)) {
                Some(end_ms) => until_ms.min(end_ms),
                None => until_ms,
            });
        session.lease_until_ms = session.lease_until_ms.max(until_ms.unwrap_or_default());
        if until_ms.is_some() {
            session.lease_sent = now;
        }
        let latency_tracked = session.placements.values().any(|run| run.latency_target.is_some());
        let stopping = session.placements.values().any(|run| run.stop_confirmed);
        let acknowledged = session.acknowledgement(now);
        let wait = match session.contact {
            // Starts wait for the answer, as they can't get a higher fencing token.
            _ if acknowledged > 0 && !session.can_raise_fence() => Duration::ZERO,
            Contact::Live if recorded.is_some() && !session.placements.is_empty() => {
                POLL_WAIT_LIMITED
            }
            Contact::Live if until_ms.is_none() => POLL_WAIT_LIMITED,
            Contact::Live if session.unanswered > 0 => Duration::ZERO,
            Contact::Live if stopping => POLL_WAIT_STOPPING,
            Contact::Live if latency_tracked => POLL_WAIT_LATENCY,
            Contact::Live => POLL_WAIT,
            Contact::Joining | Contact::Silent => Duration::ZERO,
        };
        let (call, fence) = (context.allocate_call(), session.fence);
        let renewal = Renewal { call, fence, acknowledged, is_question: false };
        self.send_list_call(worker, renewal, until_ms, wait, context);
    }

    /// Asks at once which incarnation of a worker answers, in place of the renewal in flight.
    ///
    /// The incarnation that answers refuses all earlier calls, as this one has a higher fencing token, unless the token can't
    /// be raised any more. The call carries nothing that another incarnation than the one of the session must not take.
    pub(super) fn ask_incarnation(&mut self, worker: &WorkerKey, context: &mut Context) {
        let renewal = self.sessions.get(worker).and_then(|session| session.renewal);
        if renewal.is_some_and(|renewal| renewal.is_question) {
            return;
        }
        self.raise_fence(worker);
        let Some(session) = self.sessions.get(worker) else { return };
        let (call, fence) = (context.allocate_call(), session.fence);
        let renewal = Renewal { call, fence, acknowledged: 0, is_question: true };
        self.send_list_call(worker, renewal, None, Duration::ZERO, context);
    }

    /// Sends a call that returns the lists of a worker.
    fn send_list_call(
        &mut self,
        worker: &WorkerKey,
        renewal: Renewal,
        until_ms: Option<u64>,
        wait: Duration,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Renewal { call, fence, acknowledged, is_question } = renewal;
        session.renewal = Some(renewal);
        // Connections to the former process may be silent, and calls on them are lost without an answer. Calls on a new one are
        // not relayed, and the agent may reach a worker that this host does not reach.
        let restarted = session.former_started_unix_ms.is_some()
            && session.clock.is_none()
            && session.broken.is_none();
        let connection = match restarted || is_question {
            true => Connection::New,
            false => Connection::Pooled,
        };
        context.outputs.push(Output::Worker {
            call,
            address: session.registration.address.clone(),
            worker: worker.to_string(),
            fence,
            request: Call::RenewLease { until_ms, acknowledged, wait },
            connection,
            timeout: wait + ANSWER_TIMEOUT,
        });
        let purpose = Purpose::RenewLease(context.now);
        self.calls.insert(call, (Rc::clone(worker), session.incarnation, purpose));
    }

    /// Handles the result of a lease renewal.
    pub(super) fn renewal_result(
        &mut self,
        worker: &WorkerKey,
        sent: Uptime,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let renewal = session.renewal.take();
        let acknowledged = renewal.map_or(0, |renewal| renewal.acknowledged);
        let overtaken = renewal.is_some_and(|renewal| renewal.fence < session.fence);
        if result.is_err() && acknowledged > 0 {
            self.raise_fence(worker);
        }
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let report = match result {
            Ok(report) => report,
            // Another call of this session arrived first.
            Err(Error::Refused(Refusal::Fence)) if overtaken => {
                session.next_renewal = now;
                return;
            }
            Err(Error::Unanswered) if session.unanswered + 1 < UNANSWERED_MAX => {
                session.unanswered += 1;
                session.next_renewal = now;
                return;
            }
            Err(error) => {
                session.next_renewal = now + RETRY_PAUSE;
                self.lose_contact(worker, error, context);
                return;
            }
        };
        session.unanswered = 0;
        session.acknowledgement_answered = session.acknowledgement_answered.max(acknowledged);
        session.read_clock(report.clock_ms, now);
        let joined = session.contact != Contact::Live;
        session.contact = Contact::Live;
        session.next_renewal = now;
        if joined {
            let fields =
                vec![("worker", worker.to_string()), ("clock_ms", report.clock_ms.to_string())];
            context.log("worker_contact", fields);
            self.round_due = true;
        }
        if let Some(lists) = report.lists {
            let full = lists.ended.len() >= ENDED_RUNS_MAX;
            self.process_ends(worker, lists.ended, context);
            // Only a list can end this state: ends that were deferred may be followed by others that are not listed yet.
            if let Some(session) = self.sessions.get_mut(worker) {
                session.ends_missing = full || !session.waiting_ends.is_empty();
            }
            self.process_runs(worker, sent.saturating_sub(LIST_AGE_MAX), lists.running, context);
        }
        if let Some(session) = self.sessions.get_mut(worker)
            && (session.processed > session.acknowledged || session.withholds_acknowledgement(now))
        {
            // The commit that stores these ends makes the next renewal due earlier.
            session.next_renewal = now + KEPT_ENDS_PAUSE;
        }
    }

    /// Records a failed call after which the worker counts as unreachable. A worker that was in contact becomes silent.
    pub(super) fn lose_contact(&mut self, worker: &WorkerKey, error: Error, context: &mut Context) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        context
            .outputs
            .push(Output::Count { counter: crate::port::Counter::WorkerFailures, amount: 1 });
        let fence = session.fence;
        if session.contact == Contact::Live {
            session.contact = Contact::Silent;
            let fields = vec![("worker", worker.to_string()), ("error", error.to_string())];
            context.log("worker_silent", fields);
            self.record_silence(worker, context);
        }
        if error == Error::Refused(Refusal::Fence) {
            let fields = vec![("worker", worker.to_string()), ("fence", fence.to_string())];
            context.log("fenced", fields);
        }
    }

    /// Requeues the runs of unreachable workers that have certainly ended.
    pub(super) fn check_leases(&mut self, context: &mut Context) {
        let mut expired: Vec<(WorkerKey, Vec<TaskId>)> = Vec::new();
        for (key, session) in &self.sessions {
            if session.contact == Contact::Live {
                continue;
            }
            let runs = session.placements.iter();
            let ended = runs.filter(|(_, run)| session.run_ends(run) < context.now);
            let ended: Vec<TaskId> = ended.map(|(task, _)| *task).collect();
            if !ended.is_empty() {
                expired.push((Rc::clone(key), ended));
            }
        }
        for (worker, tasks) in expired {
            self.forget_runs(&worker, &tasks, Loss::LeaseExpired, context);
        }
    }

    /// Stops the runs on workers that may leave at any moment. If a run ends while its worker leaves, the answer that lists
    /// the end may be lost with the connection, and the task would start again although it was done. Runs that are lost with
    /// the worker would wait for its lease.
    pub(super) fn stop_on_leaving_workers(&mut self, context: &mut Context) {
        let mut due = Vec::new();
        for (worker, session) in &self.sessions {
            let leaving = |leaves| context.now + LEAVING_MARGIN >= leaves;
            if session.contact == Contact::Live && session.leaves.is_some_and(leaving) {
                let runs = session.placements.iter();
                let running = runs.filter(|(_, run)| run.phase == Phase::Running);
                due.extend(running.map(|(task, run)| (Rc::clone(worker), *task, run.number)));
            }
        }
        for (worker, task, number) in due {
            self.send_stop(&worker, task, number, context);
        }
    }

    /// Repeats stops that were not confirmed in time.
    pub(super) fn repeat_stops(&mut self, context: &mut Context) {
        let repeat_after = self.bounds.stop_timeout + ANSWER_TIMEOUT;
        let mut due = Vec::new();
        for (worker, session) in &self.sessions {
            if session.contact != Contact::Live {
                continue;
            }
            for (task, run) in &session.placements {
                let stops = matches!(run.phase, Phase::Stopping | Phase::StartUnanswered);
                // A confirmed stop needs no repetition: the next list shows whether the run is gone.
                if stops
                    && !run.stop_confirmed
                    && context.now.saturating_sub(run.changed) > repeat_after
                {
                    due.push((Rc::clone(worker), *task, run.number));
                }
            }
        }
        for (worker, task, number) in due {
            self.send_stop(&worker, task, number, context);
        }
    }
}
