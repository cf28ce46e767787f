//! What the pongs of peers prove: how fresh the configuration of this host is, and which changes are in force.

use std::collections::BTreeSet;

use crate::membership::{Peer, PeerList};
use crate::prelude::*;
use crate::settings::lease_expiry_bound;

/// Returns the latest time at which the peers prove that `revision` was current. `in_flight` is whether this host has
/// an update with an unknown outcome.
pub fn confirmed_by_peers(
    peer_list: &PeerList,
    revision: Revision,
    in_flight: bool,
) -> Option<Instant> {
    confirmed_by_any(peer_list, revision).max(confirmed_by_all(peer_list, revision, in_flight))
}

/// Freshness that a peer at the same revision reports. Its age is subtracted from the time at which the ping was sent,
/// which is not later than the time at which the peer computed the age.
fn confirmed_by_any(peer_list: &PeerList, revision: Revision) -> Option<Instant> {
    let pongs = peer_list.peers.iter().filter_map(|peer| peer.last_pong.as_ref());
    let same_revision = pongs.filter(|(_, pong)| pong.revision == revision);
    same_revision.filter_map(|(sent, pong)| sent.checked_sub(pong.freshness_age?)).max()
}

/// Every peer reported that it neither knows nor attempts a newer change, so none was committed before the
/// first of these pings was sent. Without known peers nothing is proven, because this host may not have learned of
/// them yet.
fn confirmed_by_all(peer_list: &PeerList, revision: Revision, in_flight: bool) -> Option<Instant> {
    let ping_time = |peer: &Peer| {
        let (sent, pong) = peer.last_pong.as_ref()?;
        (pong.revision <= revision && !pong.update_in_flight).then_some(*sent)
    };
    let ping_times: Option<Vec<Instant>> = peer_list.peers.iter().map(ping_time).collect();
    ping_times.filter(|_| !in_flight)?.into_iter().min()
}

/// Returns the data centres of the peers that may still act on a configuration older than `revision`. The change of
/// `revision` was committed at `committed_by` or earlier; `lease` is the configuration lease.
pub fn pending_data_centres(
    peer_list: &PeerList,
    revision: Revision,
    committed_by: Instant,
    now: Instant,
    lease: Duration,
) -> BTreeSet<DataCentreId> {
    let waiting = peer_list.peers.iter().filter(|peer| {
        let reported_revision = peer.last_pong.as_ref().map(|(_, pong)| pong.revision);
        reported_revision.max(Some(peer.applied_revision)) < Some(revision)
            && !has_expired(peer, committed_by, now, lease)
    });
    waiting.map(|peer| peer.data_centre.clone()).collect()
}

/// Whether a peer that does not apply a change has lost its configuration lease. Nothing confirms an older revision
/// after the change was committed. But until a lease has passed since the commit, the peer may still receive an earlier
/// confirmation from another host, whatever this host observes of the peer.
fn has_expired(peer: &Peer, committed_by: Instant, now: Instant, lease: Duration) -> bool {
    let lease_passed = |since: Instant| now >= since + lease_expiry_bound(lease);
    let last_ping = peer.last_pong.as_ref().map(|(sent, _)| *sent);
    let is_silent = last_ping.max(peer.row_changed_at).is_none_or(lease_passed);
    let reports_expiry = peer.last_pong.as_ref().is_some_and(|(sent, pong)| {
        *sent >= committed_by && pong.freshness_age.is_none_or(|age| age >= lease)
    });
    lease_passed(committed_by) && (is_silent || reports_expiry)
}
