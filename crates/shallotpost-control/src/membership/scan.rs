//! A periodic scan of all table rows with one prefix.

use rand::Rng;
use rand::rngs::StdRng;
use shallotpost_protocol::table::{Reply, Request, Row, SCAN_LIMIT_MAX};

use crate::prelude::*;

/// Reads all rows with a prefix, page by page, with at most one call in flight.
#[derive(Debug)]
pub struct Scan {
    prefix: String,
    interval: Duration,
    timeout: Duration,
    next: Option<Instant>,
    in_flight: Option<InFlight>,
}

/// A scan that has started and is not complete.
#[derive(Debug)]
struct InFlight {
    call: CallId,
    started: Instant,
    page_sent: Instant,
    rows: Vec<Row>,
}

/// All rows with a prefix, as of one scan.
#[derive(Debug)]
pub struct CompletedScan {
    /// When the first page was requested. Writes that took effect before are visible.
    pub started: Instant,
    /// Sorted by key.
    pub rows: Vec<Row>,
}

impl Scan {
    /// Returns a scan that is due immediately and then every `interval`. `timeout` applies to each page.
    pub fn new(prefix: String, interval: Duration, timeout: Duration) -> Scan {
        Scan { prefix, interval, timeout, next: None, in_flight: None }
    }

    /// Requests the first page if the scan is due. With `jitter`, the next interval is up to a fifth longer.
    pub fn poll(&mut self, context: &mut Context, jitter: Option<&mut StdRng>) {
        let now = context.now;
        self.in_flight.take_if(|scan| now >= scan.page_sent + self.timeout * 2);
        if self.in_flight.is_some() || self.next.is_some_and(|next| now < next) {
            return;
        }
        let extra = jitter
            .map_or(Duration::ZERO, |random| self.interval.mul_f64(random.random_range(0.0..0.2)));
        self.next = Some(now + self.interval + extra);
        let call = self.call(context, String::new());
        self.in_flight = Some(InFlight { call, started: now, page_sent: now, rows: Vec::new() });
    }

    /// Moves the next scan forward to `moment` if it is due later.
    pub fn run_by(&mut self, moment: Instant) {
        self.next = self.next.map(|next| next.min(moment));
    }

    /// Whether `call` is the call in flight of this scan.
    pub fn is_current_call(&self, call: CallId) -> bool {
        self.in_flight.as_ref().is_some_and(|scan| scan.call == call)
    }

    /// Handles the result of the call in flight. Returns the rows after the last page. A failed page ends the scan.
    pub fn on_result(
        &mut self,
        context: &mut Context,
        result: Result<Reply, Failure>,
    ) -> Option<CompletedScan> {
        let mut scan = self.in_flight.take()?;
        let Ok(Reply::Rows { rows, more }) = result else { return None };
        let after = rows.last().map(|row| row.key.clone());
        scan.rows.extend(rows);
        match after.filter(|_| more) {
            Some(after) => {
                scan.call = self.call(context, after);
                scan.page_sent = context.now;
                self.in_flight = Some(scan);
                None
            }
            None => Some(CompletedScan { started: scan.started, rows: scan.rows }),
        }
    }

    fn call(&self, context: &mut Context, after: String) -> CallId {
        let request = Request::Scan { prefix: self.prefix.clone(), after, limit: SCAN_LIMIT_MAX };
        context.call_table(request, self.timeout)
    }
}
