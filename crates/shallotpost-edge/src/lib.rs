//! Adapters between the kernel and the outside: HTTP interface, table, list, worker and object clients, peer streams.
//!
//! The adapters only translate between protocols and the messages of [`shallotpost_protocol::port`]. [`edge::Edge`] is the
//! whole; [`gate`], [`pool`] and [`driver`] also serve the stand-ins.

mod calls;
pub mod client;
pub mod driver;
pub mod edge;
pub mod gate;
pub mod http;
pub mod peer;
pub mod pool;
pub mod settings;

pub use edge::{Edge, Error};
pub use http::Metrics;
pub use settings::Settings;
