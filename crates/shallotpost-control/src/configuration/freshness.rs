//! What the answers of peers prove about the age of this host's configuration, and about changes in force.

use std::collections::BTreeSet;

use crate::membership::{Peer, PeerList};
use crate::prelude::*;
use crate::settings::lease_expiry_bound;

/// The latest moment at which `revision` was certainly the current one, as far as peers prove it. `in_flight` tells
/// whether this host has an update with an unknown outcome.
pub fn confirmed_by_peers(
    fleet: &PeerList,
    revision: Revision,
    in_flight: bool,
) -> Option<Instant> {
    passed_on(fleet, revision).max(agreed(fleet, revision, in_flight))
}

/// A peer at the same revision passes on its own freshness. Its age is counted from the moment at which the ping was
/// sent, which is not later than the moment at which the peer computed it.
fn passed_on(fleet: &PeerList, revision: Revision) -> Option<Instant> {
    let answers = fleet.peers.iter().filter_map(|peer| peer.last_pong.as_ref());
    let same = answers.filter(|(_, pong)| pong.revision == revision);
    same.filter_map(|(sent, pong)| sent.checked_sub(pong.freshness_age?)).max()
}

/// Every peer answered that it neither knows nor attempts a newer change, so none was committed before the first of
/// these pings was sent. A host that knows no peers proves nothing: it may not have learned of them yet.
fn agreed(fleet: &PeerList, revision: Revision, in_flight: bool) -> Option<Instant> {
    let moment = |peer: &Peer| {
        let (sent, pong) = peer.last_pong.as_ref()?;
        (pong.revision <= revision && !pong.update_in_flight).then_some(*sent)
    };
    let moments: Option<Vec<Instant>> = fleet.peers.iter().map(moment).collect();
    moments.filter(|_| !in_flight)?.into_iter().min()
}

/// Data centres of peers that may still act on a configuration older than `revision`, which was committed by the moment
/// `committed_by`.
pub fn pending_data_centres(
    fleet: &PeerList,
    revision: Revision,
    committed_by: Instant,
    now: Instant,
    lease: Duration,
) -> BTreeSet<DataCentreId> {
    let waiting = fleet.peers.iter().filter(|peer| {
        let pong = peer.last_pong.as_ref().map(|(_, pong)| pong.revision);
        pong.max(Some(peer.applied_revision)) < Some(revision)
            && !has_lapsed(peer, committed_by, now, lease)
    });
    waiting.map(|peer| peer.data_centre.clone()).collect()
}

/// Whether a peer that does not apply a change has lost its configuration lease. Nothing confirms an older revision
/// after the change was committed, but until the lease has lapsed since then, another host may still pass on an earlier
/// confirmation, whatever this host sees of the peer.
fn has_lapsed(peer: &Peer, committed_by: Instant, now: Instant, lease: Duration) -> bool {
    let lapsed = |since: Instant| now >= since + lease_expiry_bound(lease);
    let answered = peer.last_pong.as_ref().map(|(sent, _)| *sent);
    let is_silent = answered.max(peer.row_changed_at).is_none_or(lapsed);
    let admits_it = peer.last_pong.as_ref().is_some_and(|(sent, pong)| {
        *sent >= committed_by && pong.freshness_age.is_none_or(|age| age >= lease)
    });
    lapsed(committed_by) && (is_silent || admits_it)
}
