//! A repeated scan of all table rows with one prefix.

use rand::Rng;
use rand::rngs::StdRng;
use shallotpost_protocol::table::{Reply, Request, Row, SCAN_LIMIT_MAX};

use crate::prelude::*;

/// A scan that reads every page of its prefix, with at most one call open.
#[derive(Debug)]
pub struct Scan {
    prefix: String,
    interval: Duration,
    timeout: Duration,
    next: Option<Instant>,
    open: Option<Open>,
}

#[derive(Debug)]
struct Open {
    call: CallId,
    sent: Instant,
    page_sent: Instant,
    rows: Vec<Row>,
}

/// All rows of a prefix.
#[derive(Debug)]
pub struct CompletedScan {
    /// Moment at which the first page was requested; writes that took effect before it are visible.
    pub started: Instant,
    /// The rows, in key order.
    pub rows: Vec<Row>,
}

impl Scan {
    /// A scan that is due at once and then every `interval`. `timeout` bounds each page.
    pub fn new(prefix: String, interval: Duration, timeout: Duration) -> Scan {
        Scan { prefix, interval, timeout, next: None, open: None }
    }

    /// Sends the first page where the scan is due. `jitter` lengthens the interval by up to a fifth.
    pub fn poll(&mut self, context: &mut Context, jitter: Option<&mut StdRng>) {
        let now = context.now;
        self.open.take_if(|open| now >= open.page_sent + self.timeout * 2);
        if self.open.is_some() || self.next.is_some_and(|next| now < next) {
            return;
        }
        let extra = jitter
            .map_or(Duration::ZERO, |random| self.interval.mul_f64(random.random_range(0.0..0.2)));
        self.next = Some(now + self.interval + extra);
        let call = self.call(context, String::new());
        self.open = Some(Open { call, sent: now, page_sent: now, rows: Vec::new() });
    }

    /// Makes the scan due at `moment` where it would be later.
    pub fn run_by(&mut self, moment: Instant) {
        self.next = self.next.map(|next| next.min(moment));
    }

    /// Whether `call` is the open call of this scan.
    pub fn is_current_call(&self, call: CallId) -> bool {
        self.open.as_ref().is_some_and(|open| open.call == call)
    }

    /// Takes the answer of the open call; returns the rows once the last page is there. A failed page ends the scan.
    pub fn on_result(
        &mut self,
        context: &mut Context,
        result: Result<Reply, Failure>,
    ) -> Option<CompletedScan> {
        let mut open = self.open.take()?;
        let Ok(Reply::Rows { rows, more }) = result else { return None };
        let after = rows.last().map(|row| row.key.clone());
        open.rows.extend(rows);
        match after.filter(|_| more) {
            Some(after) => {
                open.call = self.call(context, after);
                open.page_sent = context.now;
                self.open = Some(open);
                None
            }
            None => Some(CompletedScan { started: open.sent, rows: open.rows }),
        }
    }

    fn call(&self, context: &mut Context, after: String) -> CallId {
        let request = Request::Scan { prefix: self.prefix.clone(), after, limit: SCAN_LIMIT_MAX };
        context.call_table(request, self.timeout)
    }
}
