//! SIGKILL of the owner under load: guards against lost work, second starts and a shard that stays without an owner.

mod support;

use support::trial;

#[test]
fn owner_killed_under_load() {
    let (mut cluster, running) =
        trial::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) = cluster.owner(trial::DATA_CENTRE).expect("the shard has an owner");
    let epoch = cluster.epoch(&data_centre).expect("the owner has an epoch");
    cluster.kill(&owner).expect("the owner is killed");
    let taken_over = cluster.await_condition("a takeover", trial::STEP_BOUND, |cluster| {
        let (_, now) = cluster.owner(&data_centre)?;
        Ok(now != owner && cluster.epoch(&data_centre)? > epoch)
    });
    taken_over.expect("another host owns the shard");
    trial::await_progress(&cluster, &running);
    cluster.restart(&owner).expect("the killed host starts again");
    trial::settle(&cluster, running);
}
