//! Helpers that several test files share.

#![allow(dead_code)]

pub mod cell;
pub mod deployment;
pub mod requests;
