//! The worker list of the platform.

use std::rc::Rc;

use shallotpost_protocol::worker_list::Worker;

use crate::prelude::*;

/// Interval of the calls.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time until a call counts as failed.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The last list, and the open call.
#[derive(Debug)]
pub struct Workers {
    data_centre: DataCentreId,
    next: Option<Instant>,
    open: Option<(CallId, Instant)>,
    last: Option<Vec<Worker>>,
}

impl Workers {
    /// No list yet; the first call is due at once.
    pub fn new(data_centre: &str) -> Workers {
        Workers { data_centre: data_centre.to_owned(), next: None, open: None, last: None }
    }

    /// Calls the list where that is due and no call is open.
    pub fn poll(&mut self, context: &mut Context) {
        let now = context.now;
        self.open.take_if(|(_, sent)| now >= *sent + LIST_TIMEOUT * 2);
        if self.open.is_some() || self.next.is_some_and(|next| now < next) {
            return;
        }
        self.next = Some(now + LIST_INTERVAL);
        self.open = Some((context.call_worker_list(LIST_TIMEOUT), now));
    }

    /// Takes an answer and sends the workers of this data centre to `scheduler` where they changed.
    pub fn answer(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<Vec<Worker>, Failure>,
    ) {
        if self.open.take_if(|(open, _)| *open == call).is_none() {
            return;
        }
        let Ok(mut workers) = result else { return };
        workers.retain(|worker| worker.data_centre == self.data_centre);
        workers.sort_by(|left, right| left.worker.cmp(&right.worker));
        workers.dedup_by(|left, right| left.worker == right.worker);
        if self.last.as_ref() != Some(&workers) {
            context.send(ServiceName::Scheduler, Message::WorkerList(Rc::new(workers.clone())));
            self.last = Some(workers);
        }
    }
}
