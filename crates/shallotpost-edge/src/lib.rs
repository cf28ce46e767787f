//! Adapters between the kernel and the network: HTTP API, clients for the table, the worker list, the workers and the
//! object store, and peer streams.
//!
//! The adapters only translate between protocols and the messages of [`shallotpost_protocol::port`]. [`Edge`] combines
//! them; the stand-ins also use [`proxy`], [`pool`] and [`io_thread`].

mod calls;
pub mod client;
pub mod edge;
pub mod http;
pub mod io_thread;
pub mod peer;
pub mod pool;
pub mod proxy;
pub mod settings;

pub use edge::{Edge, Error};
pub use http::MetricsRenderer;
pub use settings::Settings;
