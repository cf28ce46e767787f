//! Types that almost every module of this crate imports.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::rc::Rc;
pub use std::time::Duration;

pub use shallotpost_protocol::size::Size;

pub use crate::configuration::{Configuration, Queue};
pub use crate::job::{Job, JobId, Step, TaskId};
pub use crate::port::{CallId, Log, Output, RequestId, Uptime};
pub use crate::worker::WorkerId;
