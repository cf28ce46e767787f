//! Guards shard ownership: claims, epochs and leases under faults.

#[path = "support/ownership_cluster.rs"]
mod ownership_cluster;

use ownership_cluster::{Loss, OwnershipCluster};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use shallotpost_control::ownership::CLAIM_DELAY;
use shallotpost_control::prelude::*;
use shallotpost_control::settings::{Fencing, lease_expiry_bound};

const SECOND: Duration = Duration::from_secs(1);

const FENCINGS: [Fencing; 2] = [Fencing::Epoch, Fencing::None];

/// A cluster with hosts `a` to `c` that has run for 20 s, and the node that owns shard 0.
fn settled(fencing: Fencing) -> (OwnershipCluster, usize) {
    let mut cluster = OwnershipCluster::new(&["a", "b", "c"], fencing);
    cluster.run(SECOND * 20);
    let owner = cluster.owner(0).expect("an owner");
    (cluster, owner)
}

/// Gives the hosts access to the table again, the owner last.
fn reconnect(cluster: &mut OwnershipCluster, owner: usize, owner_delay: Duration) {
    (0..cluster.nodes.len())
        .filter(|node| *node != owner)
        .for_each(|node| cluster.nodes[node].table_unreachable = false);
    cluster.run(owner_delay);
    cluster.nodes[owner].table_unreachable = false;
}

/// Injects a fault at the owner, given by its node index.
type OwnerFault = fn(&mut OwnershipCluster, usize);

fn pause(cluster: &mut OwnershipCluster, owner: usize, period_ms: u64) {
    cluster.nodes[owner].paused = true;
    cluster.run(Duration::from_millis(period_ms));
    cluster.nodes[owner].paused = false;
}

fn die_while_reads_are_slow(cluster: &mut OwnershipCluster, owner: usize) {
    cluster.shard_read_delay = Duration::from_millis(900);
    cluster.nodes[owner].running = false;
}

fn restart(cluster: &mut OwnershipCluster, owner: usize) {
    cluster.nodes[owner].running = false;
    cluster.join(["a", "b", "c"][owner], 2);
}

fn table_down_for_an_hour(cluster: &mut OwnershipCluster, owner: usize) {
    cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = true);
    cluster.run(SECOND * 3600);
    reconnect(cluster, owner, Duration::from_millis(3400));
}

fn table_down_for_moments(cluster: &mut OwnershipCluster, owner: usize) {
    for outage_ms in (1500..6000).step_by(100) {
        // Outages that are longer than the lease give the owner more time.
        let owner_ms = if outage_ms < 3600 { 700 } else { 3400 };
        cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = true);
        cluster.run(Duration::from_millis(outage_ms));
        reconnect(cluster, owner, Duration::from_millis(owner_ms));
        cluster.run(SECOND * 8);
    }
}

/// Guards against a shard without a live owner, with two owners, or taken from an owner that may still act. The cluster
/// checks after every tick that no epoch has two owners, that no epoch falls, and that without fencing no two act.
#[test]
fn each_fault_leaves_exactly_one_valid_owner() {
    let (both, epoch, none) = (&FENCINGS[..], &FENCINGS[..1], &FENCINGS[1..]);
    // Name, fencing, fault, whether the owner loses the shard to another process, whether the epoch rises.
    let cases: [(&str, &[Fencing], OwnerFault, bool, bool); 9] = [
        ("owner dies", both, |cluster, owner| cluster.nodes[owner].running = false, true, true),
        ("owner dies, slow reads", both, die_while_reads_are_slow, true, true),
        ("paused past its lease", both, |cluster, owner| pause(cluster, owner, 6000), true, true),
        ("paused, not yet lapsed", none, |cluster, owner| pause(cluster, owner, 3200), false, true),
        ("paused in its lease", both, |cluster, owner| pause(cluster, owner, 2000), false, false),
        ("replaced incarnation", both, restart, true, true),
        (
            "owner cut off",
            both,
            |cluster, owner| cluster.nodes[owner].table_unreachable = true,
            true,
            true,
        ),
        ("table down for an hour", epoch, table_down_for_an_hour, false, false),
        ("table down for moments", epoch, table_down_for_moments, false, false),
    ];
    for (name, fencings, fault, moves, rises) in cases {
        for fencing in fencings {
            let name = format!("{name}, fencing {fencing}");
            let (mut cluster, before) = settled(*fencing);
            let epoch = cluster.row(0).expect("a row").epoch;
            fault(&mut cluster, before);
            cluster.run(SECOND * 8);
            let row = cluster.row(0).expect("a row");
            let after = cluster.owner(0).unwrap_or_else(|| panic!("{name}: no single owner"));
            assert_eq!(after != before, moves, "{name}");
            assert_eq!(row.epoch, epoch + u64::from(rises), "{name}");
            assert_eq!(cluster.nodes[after].held_shards[&0], row.epoch, "{name}");
        }
    }
}

/// Guards against a claim whose answer is lost being dropped or repeated blindly.
#[test]
fn lost_answers_of_claims_are_resolved_by_a_read() {
    for loss in [Loss::After, Loss::Before] {
        let mut cluster = OwnershipCluster::new(&["a"], Fencing::Epoch);
        cluster.nodes[0].loss = Some(loss);
        let took = cluster.run_until(SECOND * 10, |cluster| cluster.owner(0).is_some());
        assert!(took < SECOND / 2, "{loss:?}: {took:?}");
        assert_eq!(cluster.row(0).map(|row| row.epoch), Some(1), "{loss:?}");
        assert_eq!(cluster.nodes[0].loss, None, "{loss:?}: a claim was sent");
    }
}

/// Guards against two hosts that start at once and claim the same shard both owning it.
#[test]
fn colliding_claims_leave_one_owner() {
    let mut cluster = OwnershipCluster::new(&["a", "b"], Fencing::Epoch);
    cluster.run(SECOND * 3);
    assert!(cluster.conflicts > 0, "the claims did not collide");
    assert!(cluster.owner(0).is_some());
    assert_eq!(cluster.row(0).map(|row| row.epoch), Some(1));
}

/// Guards against a takeover before the lease has surely lapsed, and against an idle shard for long after.
#[test]
fn takeover_follows_the_lapse_of_the_lease() {
    for phase_ms in (0..1000).step_by(100) {
        let (mut cluster, owner) = settled(Fencing::Epoch);
        cluster.run(Duration::from_millis(phase_ms));
        cluster.nodes[owner].running = false;
        let heartbeat = cluster.nodes[owner].heartbeat.expect("a heartbeat");
        cluster.run_until(SECOND * 20, |cluster| cluster.owner(0).is_some());
        // The first read that shows the last heartbeat comes up to a read interval after it.
        let bound = lease_expiry_bound(SECOND * 3) + SECOND + CLAIM_DELAY + SECOND / 10;
        assert!(
            cluster.now <= heartbeat + bound,
            "phase {phase_ms}: {:?}",
            cluster.now - heartbeat
        );
    }
}

/// Guards against taking a shard from a restarted owner because the host rows at hand are older than its claim.
#[test]
fn restarted_owner_keeps_the_shard_while_host_reads_are_slow() {
    for phase_ms in (0..1200).step_by(100) {
        let (mut cluster, owner) = settled(Fencing::Epoch);
        let epoch = cluster.row(0).expect("a row").epoch;
        cluster.host_read_delay = Duration::from_millis(1100);
        cluster.run(SECOND * 3 + Duration::from_millis(phase_ms));
        cluster.nodes[owner].running = false;
        cluster.join(["a", "b", "c"][owner], 2);
        cluster.run(SECOND * 6);
        assert_eq!(cluster.row(0).map(|row| row.epoch), Some(epoch + 1), "phase {phase_ms}");
    }
}

/// Guards against taking a shard from an owner that wakes just before the claim, and against repeating the refused
/// claim at once.
#[test]
fn owner_that_wakes_before_the_claim_keeps_the_shard() {
    let mut refused = 0;
    for pause_ms in (3000..4800).step_by(20) {
        let (mut cluster, owner) = settled(Fencing::Epoch);
        let before = cluster.conflicts;
        cluster.nodes[owner].paused = true;
        cluster.run(Duration::from_millis(pause_ms));
        cluster.nodes[owner].paused = false;
        cluster.run(SECOND * 3);
        let conflicts = cluster.conflicts - before;
        assert!(conflicts <= 2, "pause of {pause_ms} ms: {conflicts} conflicts");
        refused += conflicts;
    }
    assert!(refused > 0, "no claim met a renewed lease");
}

/// Guards against a data centre without the table losing its owner despite fencing, and keeping it without.
#[test]
fn data_centre_cut_from_the_table() {
    for (fencing, kept) in [(Fencing::Epoch, true), (Fencing::None, false)] {
        let (mut cluster, owner) = settled(fencing);
        cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = true);
        let lost = |cluster: &OwnershipCluster| cluster.nodes[owner].held_shards.is_empty();
        let took = cluster.run_until(SECOND * 60, lost);
        assert_eq!(took == SECOND * 60, kept, "{fencing}");
        assert!(kept || took <= SECOND * 3, "{fencing}: {took:?}");
        let epoch = cluster.row(0).map(|row| row.epoch);
        cluster.run(SECOND);
        assert!(cluster.nodes[owner].batches.is_empty(), "{fencing}: claims without a lease");
        cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = false);
        cluster.run(SECOND * 5);
        assert_eq!(cluster.owner(0), Some(owner), "{fencing}");
        assert_eq!(cluster.row(0).map(|row| row.epoch) == epoch, kept, "{fencing}");
    }
}

/// Guards against an owner that acts on after a worker saw a higher epoch, and against a claim that stays below it.
#[test]
fn fenced_owner_loses_the_shard_at_once() {
    for (above, lost) in [(0, false), (3, true)] {
        let (mut cluster, owner) = settled(Fencing::Epoch);
        let own = cluster.row(0).expect("a row").epoch;
        let seen = own + above;
        let shard = Shard { data_centre: "north".to_owned(), index: 0 };
        cluster.deliver(owner, ServiceName::Ownership, Message::ShardFenced { shard, epoch: seen });
        assert_eq!(cluster.nodes[owner].held_shards.is_empty(), lost, "epoch {seen}");
        cluster.run(SECOND * 3);
        let expected = if lost { seen + 1 } else { own };
        assert_eq!(cluster.row(0).map(|row| row.epoch), Some(expected), "epoch {seen}");
        assert!(cluster.owner(0).is_some());
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Die(usize),
    Restart(usize),
    Pause(usize),
    DisconnectTable(usize),
    Lose(usize, Loss),
    SlowShardReads(u64),
    SlowHostReads(u64),
}

fn fault() -> impl Strategy<Value = (Fault, u64)> {
    let node = || 0..3usize;
    let loss = prop_oneof![Just(Loss::After), Just(Loss::Before)];
    let fault = prop_oneof![
        node().prop_map(Fault::Die),
        node().prop_map(Fault::Restart),
        node().prop_map(Fault::Pause),
        node().prop_map(Fault::DisconnectTable),
        (node(), loss).prop_map(|(node, loss)| Fault::Lose(node, loss)),
        (20..1500u64).prop_map(Fault::SlowShardReads),
        (20..1500u64).prop_map(Fault::SlowHostReads),
    ];
    (fault, 0..5000u64)
}

/// Guards against two owners of an epoch, a falling epoch, two acting hosts without fencing, a takeover within the
/// lease, and a shard that stays without an owner, under random sequences of faults. `Pause` and `DisconnectTable`
/// toggle.
#[test]
fn random_faults_leave_one_owner() {
    for fencing in FENCINGS {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
        let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let faults = proptest::collection::vec(fault(), 1..20);
        let result = runner.run(&faults, |faults| {
            let mut cluster = OwnershipCluster::new(&["a", "b", "c"], fencing);
            let mut current = [0, 1, 2];
            for (fault, wait_ms) in faults {
                match fault {
                    Fault::Die(node) => cluster.nodes[current[node]].running = false,
                    Fault::Restart(node) => {
                        let incarnation = cluster.nodes.len() as u64;
                        cluster.nodes[current[node]].running = false;
                        cluster.join(["a", "b", "c"][node], incarnation);
                        current[node] = cluster.nodes.len() - 1;
                    }
                    Fault::Pause(node) => cluster.nodes[current[node]].paused ^= true,
                    Fault::DisconnectTable(node) => {
                        cluster.nodes[current[node]].table_unreachable ^= true
                    }
                    Fault::Lose(node, loss) => cluster.nodes[current[node]].loss = Some(loss),
                    Fault::SlowShardReads(ms) => {
                        cluster.shard_read_delay = Duration::from_millis(ms)
                    }
                    Fault::SlowHostReads(ms) => cluster.host_read_delay = Duration::from_millis(ms),
                }
                cluster.run(Duration::from_millis(wait_ms));
            }
            for node in &mut cluster.nodes {
                (node.paused, node.table_unreachable, node.loss) = (false, false, None);
            }
            if !cluster.nodes.iter().any(|node| node.running) {
                cluster.join("a", 100);
            }
            cluster.run(SECOND * 20);
            let owner = cluster.owner(0);
            prop_assert!(owner.is_some(), "no single owner");
            let epoch = owner.and_then(|owner| cluster.nodes[owner].held_shards.get(&0).copied());
            prop_assert_eq!(epoch, cluster.row(0).map(|row| row.epoch));
            Ok(())
        });
        assert!(result.is_ok(), "{fencing}: {result:?}");
    }
}
