//! In-memory store of versioned rows, with injected faults.

use std::collections::BTreeMap;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::{
    Content, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use shallotpost_fleet::progress::Progress;
use shallotpost_fleet::scheduler::{job_key, job_part};

/// Fault injected into transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Transactions are refused.
    Refused,
    /// Transactions take effect, but their answers are lost.
    AnswerLost,
}

#[derive(Default)]
pub struct Store {
    rows: BTreeMap<(Table, String), Row>,
    changes: Vec<Row>,
    version: RowVersion,
    pub fault: Fault,
    /// Whether all calls are refused.
    pub down: bool,
    /// Version before which feeds fail because the change history is lost.
    pub forgotten: RowVersion,
    /// Whether reads and feeds are refused, as when the store's rate is used up.
    pub reads_refused: bool,
    /// Number of the next reads of single tables to refuse.
    pub refused_reads: BTreeMap<Table, usize>,
    /// Number of reads to refuse among those of the pages of the workers' table after the first one.
    pub refused_pages: usize,
    /// Number of transactions that took effect.
    pub transactions: usize,
}

impl Store {
    pub fn put(&mut self, table: Table, key: &str, content: Content) {
        self.version += 1;
        self.set(table, key, content);
    }

    pub fn delete(&mut self, table: Table, key: &str) {
        self.version += 1;
        self.rows.remove(&(table, key.to_owned()));
        let row =
            Row { table, key: key.to_owned(), version: self.version, content: Content::Deleted };
        self.changes.push(row);
    }

    /// Discards the change history up to now.
    pub fn compact(&mut self) {
        self.forgotten = self.version;
    }

    pub fn has(&self, table: Table, key: &str) -> bool {
        self.rows.contains_key(&(table, key.to_owned()))
    }

    /// Returns the content of a row.
    pub fn content(&self, table: Table, key: &str) -> Option<Content> {
        self.rows.get(&(table, key.to_owned())).map(|row| row.content.clone())
    }

    /// Returns the stored progress of a job.
    pub fn progress(&self, id: JobId) -> Option<Progress> {
        match &self.rows.get(&(Table::Progress, job_key(id)))?.content {
            Content::Bytes(bytes) => Progress::from_bytes(bytes).ok(),
            _ => None,
        }
    }

    fn set(&mut self, table: Table, key: &str, content: Content) {
        let row = Row { table, key: key.to_owned(), version: self.version, content };
        self.changes.push(row.clone());
        self.rows.insert((table, key.to_owned()), row);
    }

    pub fn call(&mut self, request: &StoreRequest) -> Result<StoreAnswer, StoreError> {
        if self.down {
            return Err(StoreError::NotExecuted);
        }
        if self.reads_refused && !matches!(request, StoreRequest::Transact { .. }) {
            return Err(StoreError::NotExecuted);
        }
        if let StoreRequest::Read { table, .. } = request
            && let Some(refused) = self.refused_reads.get_mut(table).filter(|left| **left > 0)
        {
            *refused -= 1;
            return Err(StoreError::NotExecuted);
        }
        match request {
            StoreRequest::Transact { conditions, writes, deletes } => {
                self.transact(conditions, writes, deletes)
            }
            StoreRequest::Read { table: Table::Workers, from, .. }
                if !from.is_empty() && self.refused_pages > 0 =>
            {
                self.refused_pages -= 1;
                Err(StoreError::NotExecuted)
            }
            StoreRequest::Read { table, from, limit } => Ok(self.read(*table, from, *limit)),
            StoreRequest::Feed { after, .. } if *after < self.forgotten => {
                Err(StoreError::HistoryLost)
            }
            StoreRequest::Feed { table, after, .. } => {
                let first = self.changes.partition_point(|row| row.version <= *after);
                let new = self.changes[first..].iter().filter(|row| row.table == *table);
                let rows = new.cloned().collect();
                Ok(StoreAnswer { rows, more: false, version: self.version })
            }
        }
    }

    fn read(&self, table: Table, from: &str, limit: u32) -> StoreAnswer {
        // Jobs are partitioned by the first digits of the key, and a read covers one partition.
        let part = |key: &str| match table {
            Table::Jobs => job_part(key) == job_part(from),
            _ => true,
        };
        let mut rows: Vec<Row> = self
            .rows
            .range((table, from.to_owned())..)
            .take_while(|((of, key), _)| *of == table && part(key))
            .map(|(_, row)| row.clone())
            .collect();
        let more = rows.len() > limit as usize;
        rows.truncate(limit as usize);
        StoreAnswer { rows, more, version: self.version }
    }

    fn transact(
        &mut self,
        conditions: &[(Table, String, RowVersion)],
        writes: &[(Table, String, Vec<u8>)],
        deletes: &[(Table, String)],
    ) -> Result<StoreAnswer, StoreError> {
        if self.fault == Fault::Refused {
            return Err(StoreError::NotExecuted);
        }
        let row = |table: &Table, key: &String| self.rows.get(&(*table, key.clone()));
        let holds = conditions
            .iter()
            .all(|(table, key, version)| row(table, key).map_or(0, |row| row.version) == *version);
        if !holds {
            let rows = conditions.iter().filter_map(|(table, key, _)| row(table, key).cloned());
            return Err(StoreError::Conflict { rows: rows.collect() });
        }
        self.version += 1;
        self.transactions += 1;
        for (table, key, bytes) in writes {
            self.set(*table, key, Content::Bytes(bytes.clone()));
        }
        for (table, key) in deletes {
            self.rows.remove(&(*table, key.clone()));
        }
        match self.fault {
            Fault::AnswerLost => Err(StoreError::Unanswered),
            _ => Ok(StoreAnswer { version: self.version, ..StoreAnswer::default() }),
        }
    }
}
