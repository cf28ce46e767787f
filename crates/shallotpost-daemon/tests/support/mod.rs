//! Stand-ins, daemon processes and load for the process-level tests and for the example `recover`.

#![allow(dead_code, reason = "each program uses a part of it")]

pub mod cluster;
pub mod load;
pub mod process;
pub mod trial;
