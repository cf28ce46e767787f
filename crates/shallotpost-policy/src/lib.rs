//! Placement decisions of one shard.
//!
//! The [`planner::Planner`] gets facts (workers, teams, jobs, starts, ends) and the time, and returns actions. It reads no
//! clock, no socket and no global random source.
//!
//! One round of decisions filters and scores the workers (`search`), reserves room for what has waited (`reserve`) and for
//! teams below their share (`claim`), and commits starts (`decide`). `fleet` and `queue` index free capacity and waiting tasks, so
//! that no decision scans either. `HashMap` serves look-ups only; nothing iterates one, so that equal events give equal
//! actions.

mod claim;
mod decide;
mod engine;
mod evidence;
mod explain;
mod fleet;
mod health;
mod index;
mod jobs;
mod predict;
mod queue;
mod reserve;
mod search;
mod sum;
mod teams;

pub mod first_fit;
pub mod planner;
