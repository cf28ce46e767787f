//! Placement policy of one shard.
//!
//! The caller reports events (workers, teams, jobs, starts, ends) and the current time to [`planner::Planner`], which
//! returns actions. The planner reads no clock, no socket and no global random source.
//!
//! Each round filters and scores workers (`search`), preempts tasks for urgent work and for teams below their fair
//! share (`preemption`), reserves capacity for tasks and gangs that have waited for long (`reservation`), starts tasks that
//! may crash their workers apart from others (`isolation`), and commits starts (`round`). `fleet` indexes free capacity and `queue` indexes waiting tasks, so no decision scans all of
//! either.
//!
//! Equal events give equal actions: a `HashMap` serves look-ups only and is never iterated.

mod engine;
mod explain;
mod failures;
mod fleet;
mod health;
mod index;
mod isolation;
mod jobs;
mod predict;
mod preemption;
mod queue;
mod reservation;
mod round;
mod search;
mod sum;
mod teams;

pub mod approval;
pub mod approval_pace;
pub mod crash;
pub mod first_fit;
pub mod losses;
pub mod planner;
pub mod slowness;
