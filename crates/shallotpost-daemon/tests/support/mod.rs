//! Stand-ins, daemon processes and load for the process-level tests and the examples `recover` and `capacity`.

#![allow(dead_code, reason = "each program uses only a part")]

pub mod cluster;
pub mod fault_scenario;
pub mod load;
pub mod process;
