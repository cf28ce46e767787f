//! Polling of the platform's worker list.

use std::rc::Rc;

use shallotpost_protocol::worker_list::Worker;

use crate::prelude::*;

/// Interval between reads of the worker list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the worker list periodically and keeps the last one, with at most one call in flight.
#[derive(Debug)]
pub struct WorkerListPoller {
    data_centre: DataCentreId,
    next_call: Option<Instant>,
    in_flight: Option<(CallId, Instant)>,
    last_list: Option<Vec<Worker>>,
}

impl WorkerListPoller {
    /// Returns a poller without a list, whose first call is due immediately.
    pub fn new(data_centre: &str) -> WorkerListPoller {
        WorkerListPoller {
            data_centre: data_centre.to_owned(),
            next_call: None,
            in_flight: None,
            last_list: None,
        }
    }

    /// Calls the worker list if a call is due and none is in flight.
    pub fn poll(&mut self, context: &mut Context) {
        let now = context.now;
        self.in_flight.take_if(|(_, sent)| now >= *sent + LIST_TIMEOUT * 2);
        if self.in_flight.is_some() || self.next_call.is_some_and(|next| now < next) {
            return;
        }
        self.next_call = Some(now + LIST_INTERVAL);
        self.in_flight = Some((context.call_worker_list(LIST_TIMEOUT), now));
    }

    /// Handles the result of a call. Sends the workers of this data centre to `scheduler` if they changed.
    pub fn on_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<Vec<Worker>, Failure>,
    ) {
        if self.in_flight.take_if(|(current, _)| *current == call).is_none() {
            return;
        }
        let Ok(mut workers) = result else { return };
        workers.retain(|worker| worker.data_centre == self.data_centre);
        workers.sort_by(|left, right| left.worker.cmp(&right.worker));
        workers.dedup_by(|left, right| left.worker == right.worker);
        if self.last_list.as_ref() != Some(&workers) {
            context.send(ServiceName::Scheduler, Message::WorkerList(Rc::new(workers.clone())));
            self.last_list = Some(workers);
        }
    }
}
