//! SIGKILL of the owner under load: guards against lost work, work that is started twice and a shard that remains without
//! an owner.

mod support;

use support::fault_scenario;

#[test]
fn owner_killed_under_load() {
    let (mut cluster, running) =
        fault_scenario::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) =
        cluster.owner(fault_scenario::DATA_CENTRE).expect("the shard has an owner");
    let epoch = cluster.epoch(&data_centre).expect("the owner has an epoch");
    cluster.kill(&owner).expect("the owner is killed");
    let taken_over =
        cluster.await_condition("a takeover", fault_scenario::STEP_TIMEOUT, |cluster| {
            let (_, current) = cluster.owner(&data_centre)?;
            Ok(current != owner && cluster.epoch(&data_centre)? > epoch)
        });
    taken_over.expect("another host owns the shard");
    fault_scenario::await_progress(&cluster, &running);
    cluster.restart(&owner).expect("the killed host starts again");
    fault_scenario::finish_and_check(&cluster, running);
}
