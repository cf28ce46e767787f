//! Leases of workers and the calls that extend them.

use crate::prelude::*;
use crate::scheduler::session::{Contact, Phase, WorkerKey, milliseconds};
use crate::scheduler::{Context, Purpose, Scheduler};
use crate::worker::{Call, Error, Refusal, Report};

/// How long a worker waits for an end before it answers. Four answers fit into the shortest lease of the platform.
const WAIT: Duration = Duration::from_millis(1400);

/// The same for a worker with tasks whose latency is watched; the gauge covers half a second.
const WAIT_WATCHED: Duration = Duration::from_millis(500);

/// The same for a worker with stops that are confirmed: the list shows when the room is free.
const WAIT_SETTLING: Duration = Duration::from_millis(100);

/// Time for the answer beyond the wait. Answers take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls in a row without an answer after which a worker counts as silent. Single answers are lost on the way.
const UNANSWERED_MAX: u32 = 2;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between reads of a worker whose ends cannot be stored at present: it answers at once each time.
const UNSTORED_PAUSE: Duration = Duration::from_millis(150);

/// A lease shorter than this is not worth extending.
const LEASE_MIN: Duration = Duration::from_millis(300);

/// A run that was confirmed and is missing from a list was lost by the worker; lists may be this much older than they seem.
const LIST_AGE: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Sends the calls that are due.
    pub(super) fn send_holds(&mut self, context: &mut Context) {
        let due: Vec<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.hold.is_none() && session.next_hold <= context.now)
            .map(|(key, _)| Rc::clone(key))
            .collect();
        for worker in due {
            self.send_hold(&worker, context);
        }
    }

    fn send_hold(&mut self, worker: &WorkerKey, context: &mut Context) {
        let now = context.now;
        let hold_max = self.bounds.lease_max;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        // The first call of a session reads the clock and the lists; only then is a lease possible.
        let lease = context.latest_lease_end.saturating_sub(now).min(hold_max);
        let until_ms = session
            .clock_now(now)
            .filter(|_| lease >= LEASE_MIN)
            // A call without an answer may still extend the lease, and then the lease of a lost worker never lapses.
            .filter(|_| session.contact != Contact::Silent)
            .map(|clock| clock + milliseconds(lease));
        session.lease_until = session.lease_until.max(until_ms.unwrap_or_default());
        let watched = session.placements.values().any(|run| run.target.is_some());
        let settling = session.placements.values().any(|run| run.stop_confirmed);
        let wait = match session.contact {
            Contact::Live if until_ms.is_none() => Duration::ZERO,
            Contact::Live if session.unanswered > 0 => Duration::ZERO,
            Contact::Live if settling => WAIT_SETTLING,
            Contact::Live if watched => WAIT_WATCHED,
            Contact::Live => WAIT,
            Contact::Joining | Contact::Silent => Duration::ZERO,
        };
        let call = context.allocate_call();
        session.hold = Some((call, now));
        context.outputs.push(Output::Worker {
            call,
            address: session.registration.address.clone(),
            worker: worker.to_string(),
            fence: session.fence,
            request: Call::RenewLease { until_ms, acknowledged: session.seen, wait },
            timeout: wait + ANSWER_TIMEOUT,
        });
        self.calls.insert(call, (Rc::clone(worker), session.life, Purpose::Hold(now)));
    }

    /// A call that extends a lease has ended.
    pub(super) fn hold_result(
        &mut self,
        worker: &WorkerKey,
        sent: Uptime,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.hold = None;
        let report = match result {
            Ok(report) => report,
            Err(Error::Unanswered) if session.unanswered + 1 < UNANSWERED_MAX => {
                session.unanswered += 1;
                session.next_hold = now;
                return;
            }
            Err(error) => {
                session.next_hold = now + RETRY_PAUSE;
                self.lose_contact(worker, error, context);
                return;
            }
        };
        session.unanswered = 0;
        session.clock = Some((report.clock_ms, now));
        let joined = session.contact != Contact::Live;
        session.contact = Contact::Live;
        session.next_hold = now;
        if joined {
            context.log("worker_contact", vec![("worker", worker.to_string())]);
            self.round_due = true;
        }
        if let Some(lists) = report.lists {
            self.process_ends(worker, lists.ended, context);
            self.process_runs(worker, sent.saturating_sub(LIST_AGE), lists.running, context);
        }
        if let Some(session) = self.sessions.get_mut(worker)
            && session.processed > session.seen
        {
            // The commit that stores these ends makes the next call due.
            session.next_hold = now + UNSTORED_PAUSE;
        }
    }

    /// Contact with a worker is lost, or never was.
    pub(super) fn lose_contact(&mut self, worker: &WorkerKey, error: Error, context: &mut Context) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        context
            .outputs
            .push(Output::Count { counter: crate::port::Counter::WorkerFailures, amount: 1 });
        if session.contact == Contact::Live {
            session.contact = Contact::Silent;
            let fields = vec![("worker", worker.to_string()), ("error", error.to_string())];
            context.log("worker_silent", fields);
        }
        if error == Error::Refused(Refusal::Fence) {
            context.log("fenced", vec![("worker", worker.to_string())]);
        }
    }

    /// Gives up the runs of silent workers whose leases have lapsed for certain.
    pub(super) fn check_leases(&mut self, context: &mut Context) {
        let lapsed: Vec<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.contact != Contact::Live)
            .filter(|(_, session)| !session.placements.is_empty())
            .filter(|(_, session)| session.lease_lapsed(context.now))
            .map(|(key, _)| Rc::clone(key))
            .collect();
        for worker in lapsed {
            self.forget_runs(&worker, "lease_lapsed", context);
        }
    }

    /// Repeats stops that were not confirmed.
    pub(super) fn repeat_stops(&mut self, context: &mut Context) {
        let patience = self.bounds.stop_timeout + ANSWER_TIMEOUT;
        let mut due = Vec::new();
        for (worker, session) in &self.sessions {
            if session.contact != Contact::Live {
                continue;
            }
            for (task, run) in &session.placements {
                let stops = matches!(run.phase, Phase::Stopping | Phase::Doubtful);
                // A confirmed stop needs no repetition: the next list shows whether the run is gone.
                if stops
                    && !run.stop_confirmed
                    && context.now.saturating_sub(run.changed) > patience
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
