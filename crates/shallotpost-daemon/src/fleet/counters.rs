//! Counters of the metrics page.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use shallotpost_fleet::port::Counter;

/// Counters since the start of the process.
#[derive(Default)]
pub struct Counters {
    values: RefCell<BTreeMap<Counter, u64>>,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        *self.values.borrow_mut().entry(counter).or_default() += amount;
    }

    /// The page, one counter a line.
    pub fn render(&self) -> String {
        let mut page = String::new();
        for (counter, value) in self.values.borrow().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(page, "shallotpost_{counter}_total {value}");
        }
        page
    }
}
