//! SIGSTOP of the owner until its lease has expired, then SIGCONT: guards against a resumed owner that acts under its
//! previous epoch.

mod support;

use support::fault_scenario;
use support::process::Signal;

#[test]
fn owner_paused_past_lease() {
    let (mut cluster, running) =
        fault_scenario::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) =
        cluster.owner(fault_scenario::DATA_CENTRE).expect("the shard has an owner");
    let epoch = cluster.epoch(&data_centre).expect("the owner has an epoch");
    cluster.signal(&owner, Signal::Pause).expect("the owner is paused");
    // A takeover is possible only after the lease of the paused host has expired.
    let taken_over =
        cluster.await_condition("a takeover", fault_scenario::STEP_TIMEOUT, |cluster| {
            let (_, current) = cluster.owner(&data_centre)?;
            Ok(current != owner && cluster.epoch(&data_centre)? > epoch)
        });
    cluster.signal(&owner, Signal::Resume).expect("the owner is resumed");
    taken_over.expect("another host owns the shard");
    cluster
        .await_condition("the resumed host answers", fault_scenario::STEP_TIMEOUT, |cluster| {
            Ok(cluster.is_ready(&owner))
        })
        .expect("the resumed host takes requests");
    fault_scenario::await_progress(&cluster, &running);
    fault_scenario::finish_and_check(&cluster, running);
}
