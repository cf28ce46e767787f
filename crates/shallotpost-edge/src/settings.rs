//! Settings and limits of the edge.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotpost_protocol::identity::{DataCentreId, HostId};
use shallotpost_protocol::millis;

/// Addresses, identity and pool sizes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host, sent in `Hello`.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Drawn at random when the process starts.
    #[serde(default)]
    pub incarnation: u64,
    /// Where the HTTP interface listens; port 0 for any.
    pub http_listen: SocketAddr,
    /// Where peers connect; port 0 for any.
    pub peer_listen: SocketAddr,
    /// URL of the table service, `http://ip:port/table`.
    pub table_url: String,
    /// URL of the object store, `http://ip:port/objects`; `/<team>/<name>` is appended.
    pub object_url: String,
    /// URL of the worker list, `http://ip:port/list`.
    pub list_url: String,
    /// Most table calls at once.
    #[serde(default = "table_threads")]
    pub table_threads: usize,
    /// Most reads of the worker list at once.
    #[serde(default = "list_threads")]
    pub list_threads: usize,
    /// Most worker calls at once; each open `sync` takes one for up to a second.
    #[serde(default = "worker_threads")]
    pub worker_threads: usize,
    /// Most calls to one worker at once, each on its own connection. A worker takes 64 connections over all entry hosts.
    #[serde(default = "worker_connections")]
    pub worker_connections: usize,
    /// Most requests that are being read or answered at once.
    #[serde(default = "http_threads")]
    pub http_threads: usize,
    /// Most objects that are streamed at once.
    #[serde(default = "stream_threads")]
    pub stream_threads: usize,
    /// Most open requests of callers; further ones are refused.
    #[serde(default = "open_requests")]
    pub open_requests: usize,
    /// The rest of a request's body must arrive within this time, except for an object; else the connection is closed. A
    /// caller that went silent must not hold a thread.
    #[serde(rename = "body_timeout_ms", with = "millis", default = "body_timeout")]
    pub body_timeout: Duration,
    /// Most connections of callers; further ones are closed at once.
    #[serde(default = "connections")]
    pub connections: usize,
}

fn table_threads() -> usize {
    16
}

fn list_threads() -> usize {
    2
}

/// Three shards of 133 workers, since an owner may have to take over two shards beside its own, with a third to spare
/// for starts and stops. A waiting thread costs some ten KiB of resident memory.
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
    /// Settings with default sizes and free loopback ports; `platform` is the `ip:port` of all three platform services.
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
        }
    }
}
