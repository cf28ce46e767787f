//! Validation rules that involve several fields.

use std::collections::BTreeSet;

use shallotpost_control::settings::{Seed, lease_expiry_bound};

use super::object::{Faults, format_milliseconds};
use super::{
    CONFIGURATION_LEASE_FLOOR, HEARTBEAT_INTERVAL, HEARTBEATS_PER_LEASE, Settings,
    TAKEOVER_DURATION,
};

/// Checks that the addresses used by other hosts are distinct, and that the seed of this host agrees with its settings.
pub(super) fn check_addresses(settings: &Settings, seeds: &[Option<Seed>], faults: &mut Faults) {
    if !settings.peer_address.is_empty() && settings.peer_address == settings.http_address {
        faults.add(
            "$.peer_address",
            format!("{} is also http_address", settings.peer_address),
            "an address of its own",
            "Give the peer streams another port.",
        );
    }
    let (mut hosts, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for (index, seed) in seeds.iter().enumerate() {
        let Some(seed) = seed else { continue };
        let path = format!("$.seeds[{index}]");
        if !seed.host.is_empty() && !hosts.insert(&seed.host) {
            let found = format!("{} is listed twice", seed.host);
            faults.add(&format!("{path}.host"), found, "each host once", "Remove one entry.");
        }
        if !seed.peer_address.is_empty() && !addresses.insert(&seed.peer_address) {
            let found = format!("{} is listed twice", seed.peer_address);
            let remedy = "Correct the address of one of the two hosts.";
            faults.add(&format!("{path}.peer_address"), found, "each address once", remedy);
        }
        if contradicts_settings(seed, settings) {
            faults.add(
                &path,
                format!("the entry of this host, {}, differs from its settings", seed.host),
                "the data_centre and peer_address of this file",
                "Correct the entry, or leave this host out of its own seeds.",
            );
        }
    }
}

/// Returns whether the seed is that of this host but has another data centre or address. An empty field already has a
/// fault and is ignored.
pub(super) fn contradicts_settings(seed: &Seed, settings: &Settings) -> bool {
    let differ = |left: &str, right: &str| !left.is_empty() && !right.is_empty() && left != right;
    !seed.host.is_empty()
        && seed.host == settings.host
        && (differ(&seed.data_centre, &settings.data_centre)
            || differ(&seed.peer_address, &settings.peer_address))
}

pub(super) fn check_leases(settings: &Settings, faults: &mut Faults) {
    let leases = &settings.leases;
    let ownership_min = HEARTBEAT_INTERVAL * HEARTBEATS_PER_LEASE;
    if leases.ownership < ownership_min {
        faults.add(
            "$.leases.ownership_lease_ms",
            format_milliseconds(leases.ownership),
            &format!(
                "at least {}, {HEARTBEATS_PER_LEASE} times the heartbeat interval",
                format_milliseconds(ownership_min)
            ),
            "Lengthen the lease; a shorter one is lost with a single late heartbeat.",
        );
    }
    if leases.configuration <= CONFIGURATION_LEASE_FLOOR {
        faults.add(
            "$.leases.configuration_lease_ms",
            format_milliseconds(leases.configuration),
            &format!("more than {}", format_milliseconds(CONFIGURATION_LEASE_FLOOR)),
            "Lengthen the lease; it must outlast a lost poll of the configuration.",
        );
    }
    let takeover = lease_expiry_bound(leases.ownership) + TAKEOVER_DURATION;
    if leases.task <= takeover {
        faults.add(
            "$.leases.task_lease_ms",
            format_milliseconds(leases.task),
            &format!(
                "more than {}, the time until a new owner has claimed the workers",
                format_milliseconds(takeover)
            ),
            "Lengthen the task lease or shorten the ownership lease; otherwise a takeover ends running tasks.",
        );
    }
}

pub(super) fn check_timeouts(settings: &Settings, faults: &mut Faults) {
    let (leases, timeouts) = (&settings.leases, &settings.timeouts);
    if timeouts.table >= leases.ownership {
        faults.add(
            "$.timeouts.table_timeout_ms",
            format_milliseconds(timeouts.table),
            &format!("less than ownership_lease_ms, {}", format_milliseconds(leases.ownership)),
            "Shorten the timeout; otherwise one lost response costs the ownership lease.",
        );
    }
    let sync = timeouts.sync_wait + timeouts.worker;
    if sync * 2 > leases.task {
        faults.add(
            "$.timeouts.sync_wait_ms",
            format!("{} together with worker_timeout_ms", format_milliseconds(sync)),
            &format!("at most half of task_lease_ms, {}", format_milliseconds(leases.task / 2)),
            "Shorten sync_wait_ms or worker_timeout_ms; otherwise one lost call ends running tasks.",
        );
    }
    let open_calls = timeouts.table + timeouts.worker;
    if timeouts.stop_bound <= open_calls {
        faults.add(
            "$.timeouts.stop_bound_ms",
            format_milliseconds(timeouts.stop_bound),
            &format!("more than {}, the timeouts of open calls", format_milliseconds(open_calls)),
            "Lengthen the bound; otherwise a planned stop interrupts open calls.",
        );
    }
}
