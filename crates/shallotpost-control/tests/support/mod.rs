//! Helpers that several test files share.

#![allow(dead_code)]

pub mod deployment;
pub mod service_harness;
pub mod test_cluster;
