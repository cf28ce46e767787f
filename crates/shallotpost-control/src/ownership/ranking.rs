//! Rendezvous hashing: every host derives the same order of owners for a shard without communication, and a host that
//! joins or leaves moves only its own shards.

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Returns the hosts in the order in which they should own the shard, the preferred one first.
pub fn rank<'a>(shard: &Shard, hosts: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(Vec<u8>, &str)> =
        hosts.map(|host| (Sha256::digest(format!("{shard} {host}")).to_vec(), host)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, host)| host).collect()
}
