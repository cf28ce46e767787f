//! Types shared by the daemon, the command-line tool and the stand-ins.
//!
//! Types that cross a process boundary derive `serde` traits. They are externally tagged and skip no field, so that the
//! same type serves JSON and `bincode`.

pub mod host;
pub mod identity;
pub mod interface;
pub mod key;
pub mod millis;
pub mod port;
pub mod prelude;
pub mod problem;
pub mod resource;
pub mod size;
pub mod table;
pub mod wire;
pub mod work;
pub mod worker;
pub mod worker_list;
