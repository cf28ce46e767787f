//! Harnesses and builders shared by several test files.

#![allow(dead_code)]

pub mod deployment;
pub mod service_harness;
pub mod test_cluster;
