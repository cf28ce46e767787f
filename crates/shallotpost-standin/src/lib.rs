//! Stand-ins for the platform and the workers, for tests and for evaluation.
//!
//! [`table`] and [`worker`] are state machines without I/O, which tests also use directly as fakes. A [`hub::Hub`] serves
//! them over HTTP: [`platform::Platform`] is the table service, the object store and the worker list, and [`host::Host`]
//! is one worker.

pub mod fault;
pub mod host;
pub mod hub;
pub mod list;
pub mod objects;
pub mod platform;
pub mod settings;
pub mod table;
pub mod worker;
