//! SIGSTOP of the owner past its lease, then SIGCONT: guards against a resumed owner that acts under its old epoch.

mod support;

use support::process::Signal;
use support::trial;

#[test]
fn owner_paused_past_lease() {
    let (mut cluster, running) =
        trial::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) = cluster.owner(trial::DATA_CENTRE).expect("the shard has an owner");
    let epoch = cluster.epoch(&data_centre).expect("the owner has an epoch");
    cluster.signal(&owner, Signal::Pause).expect("the owner is paused");
    // A takeover is possible only once the lease of the paused host has lapsed.
    let taken_over = cluster.await_condition("a takeover", trial::STEP_BOUND, |cluster| {
        let (_, now) = cluster.owner(&data_centre)?;
        Ok(now != owner && cluster.epoch(&data_centre)? > epoch)
    });
    cluster.signal(&owner, Signal::Resume).expect("the owner is resumed");
    taken_over.expect("another host owns the shard");
    cluster
        .await_condition("the resumed host answers", trial::STEP_BOUND, |cluster| {
            Ok(cluster.is_ready(&owner))
        })
        .expect("the resumed host takes requests");
    trial::await_progress(&cluster, &running);
    trial::settle(&cluster, running);
}
