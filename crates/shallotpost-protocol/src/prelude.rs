//! Common types, for glob import.

pub use std::time::{Duration, Instant, SystemTime};

pub use crate::identity::{
    Address, Attempt, CallId, DataCentreId, Epoch, HostId, RackId, RequestId, Revision, Shard,
    Task, TeamId, WorkId, WorkName, WorkerId,
};
pub use crate::problem::{Kind as ProblemKind, Problem};
pub use crate::size::Size;
