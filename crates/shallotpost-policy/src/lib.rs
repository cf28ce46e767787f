//! Placement decisions of one shard.
//!
//! The [`planner::Planner`] gets facts (workers, teams, jobs, starts, ends) and the time, and returns actions. It reads no
//! clock, no socket and no global random source.

pub mod first_fit;
pub mod planner;
