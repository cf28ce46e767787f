//! Settings and limits of the edge.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotpost_protocol::identity::{DataCentreId, HostId};
use shallotpost_protocol::millis;

use crate::http::CONNECTION_IDLE_MAX;

/// Addresses, identity and pool sizes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host, sent to peers in `Hello`.
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Chosen at random when the process starts.
    #[serde(default)]
    pub incarnation: u64,
    /// Listening address of the HTTP API; port 0 for any.
    pub http_listen: SocketAddr,
    /// Address that peers connect to; port 0 for any.
    pub peer_listen: SocketAddr,
    /// URL of the table service, `http://ip:port/table`.
    pub table_url: String,
    /// URL of the object store, `http://ip:port/objects`; `/<team>/<name>` is appended.
    pub object_url: String,
    /// URL of the worker list, `http://ip:port/list`.
    pub list_url: String,
    /// Maximum number of concurrent table calls.
    #[serde(default = "table_threads")]
    pub table_threads: usize,
    /// Maximum number of concurrent reads of the worker list.
    #[serde(default = "list_threads")]
    pub list_threads: usize,
    /// Maximum number of concurrent worker calls; each open `sync` takes one for up to a second.
    #[serde(default = "worker_threads")]
    pub worker_threads: usize,
    /// Maximum number of concurrent calls to one worker, each on its own connection. A worker accepts 64 connections
    /// from all entry hosts together.
    #[serde(default = "worker_connections")]
    pub worker_connections: usize,
    /// Maximum number of requests that are being read or answered.
    #[serde(default = "http_threads")]
    pub http_threads: usize,
    /// Maximum number of objects that are being streamed.
    #[serde(default = "stream_threads")]
    pub stream_threads: usize,
    /// Maximum number of open requests; further ones are rejected.
    #[serde(default = "open_requests")]
    pub open_requests: usize,
    /// Timeout for the rest of a request body, except for an object. The connection is closed when it passes, so that
    /// an unresponsive client does not hold a thread.
    #[serde(rename = "body_timeout_ms", with = "millis", default = "body_timeout")]
    pub body_timeout: Duration,
    /// Maximum number of client connections; further ones are closed immediately.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Not read from settings files.
    #[serde(skip)]
    pub transfer: Transfer,
}

/// Limits on the progress of an object that is being streamed. Its total time is not limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Timeout for the next [`CHUNK_BYTES`](crate::http::CHUNK_BYTES) of the object.
    pub chunk_timeout: Duration,
    /// Timeout for the next bytes that the object store accepts or sends.
    pub store_timeout: Duration,
}

impl Default for Transfer {
    fn default() -> Transfer {
        Transfer { chunk_timeout: CONNECTION_IDLE_MAX, store_timeout: Duration::from_secs(10) }
    }
}

fn table_threads() -> usize {
    16
}

fn list_threads() -> usize {
    2
}

/// Threads for three shards of 133 workers, plus a third for starts and stops: an owner may have to take over two
/// shards in addition to its own. A waiting thread costs about ten KiB of resident memory.
fn worker_threads() -> usize {
    530
}

fn worker_connections() -> usize {
    16
}

fn http_threads() -> usize {
    32
}

fn stream_threads() -> usize {
    32
}

fn open_requests() -> usize {
    1024
}

fn body_timeout() -> Duration {
    Duration::from_secs(10)
}

fn connections() -> usize {
    2048
}

impl Settings {
    /// Returns settings with default sizes and free loopback ports; `platform` is the `ip:port` of all platform
    /// services.
    pub fn loopback(host: &str, data_centre: &str, platform: SocketAddr) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation: 1,
            http_listen: any_port,
            peer_listen: any_port,
            table_url: format!("http://{platform}/table"),
            object_url: format!("http://{platform}/objects"),
            list_url: format!("http://{platform}/list"),
            table_threads: table_threads(),
            list_threads: list_threads(),
            worker_threads: worker_threads(),
            worker_connections: worker_connections(),
            http_threads: http_threads(),
            stream_threads: stream_threads(),
            open_requests: open_requests(),
            body_timeout: body_timeout(),
            connections: connections(),
            transfer: Transfer::default(),
        }
    }
}
