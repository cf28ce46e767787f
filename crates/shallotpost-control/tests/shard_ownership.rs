//! Ownership: claims, epochs and leases under faults.

#[path = "support/ownership_site.rs"]
mod ownership_site;

use ownership_site::{Loss, Site};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use shallotpost_control::ownership::CLAIM_DELAY;
use shallotpost_control::prelude::*;
use shallotpost_control::settings::{Fencing, lease_expiry_bound};

const SECOND: Duration = Duration::from_secs(1);

const FENCINGS: [Fencing; 2] = [Fencing::Epoch, Fencing::None];

/// A site with hosts `a` to `c` that has run for 20 s, and the node that owns shard 0.
fn settled(fencing: Fencing) -> (Site, usize) {
    let mut site = Site::new(&["a", "b", "c"], fencing);
    site.pass(SECOND * 20);
    let owner = site.owner(0).expect("an owner");
    (site, owner)
}

/// Gives the hosts access to the table again, the owner last.
fn reconnect(site: &mut Site, owner: usize, owner_delay: Duration) {
    (0..site.nodes.len())
        .filter(|node| *node != owner)
        .for_each(|node| site.nodes[node].cut = false);
    site.pass(owner_delay);
    site.nodes[owner].cut = false;
}

/// A fault at the owner, a node.
type OwnerFault = fn(&mut Site, usize);

fn pause(site: &mut Site, owner: usize, period_ms: u64) {
    site.nodes[owner].paused = true;
    site.pass(Duration::from_millis(period_ms));
    site.nodes[owner].paused = false;
}

fn die_while_reads_are_slow(site: &mut Site, owner: usize) {
    site.shard_read_delay = Duration::from_millis(900);
    site.nodes[owner].running = false;
}

fn restart(site: &mut Site, owner: usize) {
    site.nodes[owner].running = false;
    site.join(["a", "b", "c"][owner], 2);
}

fn table_down_for_an_hour(site: &mut Site, owner: usize) {
    site.nodes.iter_mut().for_each(|node| node.cut = true);
    site.pass(SECOND * 3600);
    reconnect(site, owner, Duration::from_millis(3400));
}

fn table_down_for_moments(site: &mut Site, owner: usize) {
    for outage_ms in (1500..6000).step_by(100) {
        // Outages that are longer than the lease give the owner more time.
        let owner_ms = if outage_ms < 3600 { 700 } else { 3400 };
        site.nodes.iter_mut().for_each(|node| node.cut = true);
        site.pass(Duration::from_millis(outage_ms));
        reconnect(site, owner, Duration::from_millis(owner_ms));
        site.pass(SECOND * 8);
    }
}

/// Guards against a shard without a live owner, with two owners, or taken from an owner that may still act. The site
/// checks after every tick that no epoch has two owners, that no epoch falls, and that without fencing no two act.
#[test]
fn each_fault_leaves_exactly_one_rightful_owner() {
    let (both, epoch, none) = (&FENCINGS[..], &FENCINGS[..1], &FENCINGS[1..]);
    // Name, fencing, fault, whether the owner loses the shard to another process, whether the epoch rises.
    let cases: [(&str, &[Fencing], OwnerFault, bool, bool); 9] = [
        ("owner dies", both, |site, owner| site.nodes[owner].running = false, true, true),
        ("owner dies, slow reads", both, die_while_reads_are_slow, true, true),
        ("paused past its lease", both, |site, owner| pause(site, owner, 6000), true, true),
        ("paused, not yet lapsed", none, |site, owner| pause(site, owner, 3200), false, true),
        ("paused in its lease", both, |site, owner| pause(site, owner, 2000), false, false),
        ("replaced incarnation", both, restart, true, true),
        ("owner cut off", both, |site, owner| site.nodes[owner].cut = true, true, true),
        ("table down for an hour", epoch, table_down_for_an_hour, false, false),
        ("table down for moments", epoch, table_down_for_moments, false, false),
    ];
    for (name, fencings, fault, moves, rises) in cases {
        for fencing in fencings {
            let name = format!("{name}, fencing {fencing}");
            let (mut site, before) = settled(*fencing);
            let epoch = site.row(0).expect("a row").epoch;
            fault(&mut site, before);
            site.pass(SECOND * 8);
            let row = site.row(0).expect("a row");
            let after = site.owner(0).unwrap_or_else(|| panic!("{name}: no single owner"));
            assert_eq!(after != before, moves, "{name}");
            assert_eq!(row.epoch, epoch + u64::from(rises), "{name}");
            assert_eq!(site.nodes[after].held[&0], row.epoch, "{name}");
        }
    }
}

/// Guards against a claim whose answer is lost being dropped or repeated blindly.
#[test]
fn lost_answers_of_claims_are_resolved_by_a_read() {
    for loss in [Loss::After, Loss::Before] {
        let mut site = Site::new(&["a"], Fencing::Epoch);
        site.nodes[0].loss = Some(loss);
        let took = site.pass_until(SECOND * 10, |site| site.owner(0).is_some());
        assert!(took < SECOND / 2, "{loss:?}: {took:?}");
        assert_eq!(site.row(0).map(|row| row.epoch), Some(1), "{loss:?}");
        assert_eq!(site.nodes[0].loss, None, "{loss:?}: a claim was sent");
    }
}

/// Guards against two hosts that start at once and claim the same shard both owning it.
#[test]
fn colliding_claims_leave_one_owner() {
    let mut site = Site::new(&["a", "b"], Fencing::Epoch);
    site.pass(SECOND * 3);
    assert!(site.conflicts > 0, "the claims did not collide");
    assert!(site.owner(0).is_some());
    assert_eq!(site.row(0).map(|row| row.epoch), Some(1));
}

/// Guards against a takeover before the lease has surely lapsed, and against an idle shard for long after.
#[test]
fn takeover_follows_the_lapse_of_the_lease() {
    for phase_ms in (0..1000).step_by(100) {
        let (mut site, owner) = settled(Fencing::Epoch);
        site.pass(Duration::from_millis(phase_ms));
        site.nodes[owner].running = false;
        let heartbeat = site.nodes[owner].heartbeat.expect("a heartbeat");
        site.pass_until(SECOND * 20, |site| site.owner(0).is_some());
        // The first read that shows the last heartbeat comes up to a read interval after it.
        let bound = lease_expiry_bound(SECOND * 3) + SECOND + CLAIM_DELAY + SECOND / 10;
        assert!(site.now <= heartbeat + bound, "phase {phase_ms}: {:?}", site.now - heartbeat);
    }
}

/// Guards against taking a shard from a restarted owner because the host rows at hand are older than its claim.
#[test]
fn restarted_owner_keeps_the_shard_while_host_reads_are_slow() {
    for phase_ms in (0..1200).step_by(100) {
        let (mut site, owner) = settled(Fencing::Epoch);
        let epoch = site.row(0).expect("a row").epoch;
        site.host_read_delay = Duration::from_millis(1100);
        site.pass(SECOND * 3 + Duration::from_millis(phase_ms));
        site.nodes[owner].running = false;
        site.join(["a", "b", "c"][owner], 2);
        site.pass(SECOND * 6);
        assert_eq!(site.row(0).map(|row| row.epoch), Some(epoch + 1), "phase {phase_ms}");
    }
}

/// Guards against taking a shard from an owner that wakes just before the claim, and against repeating the refused claim
/// at once.
#[test]
fn owner_that_wakes_before_the_claim_keeps_the_shard() {
    let mut refused = 0;
    for pause_ms in (3000..4800).step_by(20) {
        let (mut site, owner) = settled(Fencing::Epoch);
        let before = site.conflicts;
        site.nodes[owner].paused = true;
        site.pass(Duration::from_millis(pause_ms));
        site.nodes[owner].paused = false;
        site.pass(SECOND * 3);
        let conflicts = site.conflicts - before;
        assert!(conflicts <= 2, "pause of {pause_ms} ms: {conflicts} conflicts");
        refused += conflicts;
    }
    assert!(refused > 0, "no claim met a renewed lease");
}

/// Guards against a data centre without the table losing its owner despite fencing, and keeping it without.
#[test]
fn data_centre_cut_from_the_table() {
    for (fencing, kept) in [(Fencing::Epoch, true), (Fencing::None, false)] {
        let (mut site, owner) = settled(fencing);
        site.nodes.iter_mut().for_each(|node| node.cut = true);
        let lost = |site: &Site| site.nodes[owner].held.is_empty();
        let took = site.pass_until(SECOND * 60, lost);
        assert_eq!(took == SECOND * 60, kept, "{fencing}");
        assert!(kept || took <= SECOND * 3, "{fencing}: {took:?}");
        let epoch = site.row(0).map(|row| row.epoch);
        site.pass(SECOND);
        assert!(site.nodes[owner].batches.is_empty(), "{fencing}: claims without a lease");
        site.nodes.iter_mut().for_each(|node| node.cut = false);
        site.pass(SECOND * 5);
        assert_eq!(site.owner(0), Some(owner), "{fencing}");
        assert_eq!(site.row(0).map(|row| row.epoch) == epoch, kept, "{fencing}");
    }
}

/// Guards against an owner that acts on after a worker saw a higher epoch, and against a claim that stays below it.
#[test]
fn fenced_owner_loses_the_shard_at_once() {
    for (above, lost) in [(0, false), (3, true)] {
        let (mut site, owner) = settled(Fencing::Epoch);
        let own = site.row(0).expect("a row").epoch;
        let seen = own + above;
        let shard = Shard { data_centre: "north".to_owned(), index: 0 };
        site.deliver(owner, ServiceName::Ownership, Message::ShardFenced { shard, epoch: seen });
        assert_eq!(site.nodes[owner].held.is_empty(), lost, "epoch {seen}");
        site.pass(SECOND * 3);
        let expected = if lost { seen + 1 } else { own };
        assert_eq!(site.row(0).map(|row| row.epoch), Some(expected), "epoch {seen}");
        assert!(site.owner(0).is_some());
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Die(usize),
    Restart(usize),
    Pause(usize),
    Cut(usize),
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
        node().prop_map(Fault::Cut),
        (node(), loss).prop_map(|(node, loss)| Fault::Lose(node, loss)),
        (20..1500u64).prop_map(Fault::SlowShardReads),
        (20..1500u64).prop_map(Fault::SlowHostReads),
    ];
    (fault, 0..5000u64)
}

/// Guards against two owners of an epoch, a falling epoch, two acting hosts without fencing, a takeover within the lease,
/// and a shard that stays without an owner, under random sequences of faults. `Pause` and `Cut` toggle.
#[test]
fn random_faults_leave_one_owner() {
    for fencing in FENCINGS {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
        let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let faults = proptest::collection::vec(fault(), 1..20);
        let result = runner.run(&faults, |faults| {
            let mut site = Site::new(&["a", "b", "c"], fencing);
            let mut current = [0, 1, 2];
            for (fault, wait_ms) in faults {
                match fault {
                    Fault::Die(node) => site.nodes[current[node]].running = false,
                    Fault::Restart(node) => {
                        let incarnation = site.nodes.len() as u64;
                        site.nodes[current[node]].running = false;
                        site.join(["a", "b", "c"][node], incarnation);
                        current[node] = site.nodes.len() - 1;
                    }
                    Fault::Pause(node) => site.nodes[current[node]].paused ^= true,
                    Fault::Cut(node) => site.nodes[current[node]].cut ^= true,
                    Fault::Lose(node, loss) => site.nodes[current[node]].loss = Some(loss),
                    Fault::SlowShardReads(ms) => site.shard_read_delay = Duration::from_millis(ms),
                    Fault::SlowHostReads(ms) => site.host_read_delay = Duration::from_millis(ms),
                }
                site.pass(Duration::from_millis(wait_ms));
            }
            for node in &mut site.nodes {
                (node.paused, node.cut, node.loss) = (false, false, None);
            }
            if !site.nodes.iter().any(|node| node.running) {
                site.join("a", 100);
            }
            site.pass(SECOND * 20);
            let owner = site.owner(0);
            prop_assert!(owner.is_some(), "no single owner");
            let epoch = owner.and_then(|owner| site.nodes[owner].held.get(&0).copied());
            prop_assert_eq!(epoch, site.row(0).map(|row| row.epoch));
            Ok(())
        });
        assert!(result.is_ok(), "{fencing}: {result:?}");
    }
}
