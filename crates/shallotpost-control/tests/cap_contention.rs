//! Guards team caps while work waits in several shards at once.

mod support;

use std::collections::BTreeMap;

use shallotpost_control::configuration::cap::{CapRow, row_key};
use shallotpost_control::prelude::*;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Availability, Key, Resource, Right, Team};
use shallotpost_protocol::work::Specification;
use support::deployment::{CAPACITY, OPERATOR_KEY, RICE_KEY, data_centre, job, put};
use support::test_cluster::{BOOTSTRAP_KEY, TestCluster};

/// Tasks that the cap of the team allows at first.
const CAP: usize = 8;

/// Maximum time until every shard with waiting work has its fair share.
const FAIR_WITHIN: Duration = Duration::from_secs(20);

/// Maximum time until the whole cap is in use again after a change.
const USED_WITHIN: Duration = Duration::from_secs(20);

const SITES: [&str; 4] = ["east", "west", "north", "south"];

/// A cap of this many tasks of one processor.
fn team(tasks: usize) -> Resource {
    let cap = Size { processors_milli: 1000 * tasks as u64, ..Size::from_parts([u64::MAX; 4]) };
    Resource::Team(Team { share: 1, cap })
}

/// Starts one shard per data centre, each with two hosts and four workers of four processors.
fn deploy(sites: &[&str]) -> TestCluster {
    let names: Vec<(String, &str)> = sites
        .iter()
        .flat_map(|site| (1..=2).map(move |index| (format!("{site}{index}"), *site)))
        .chain([("a1".to_owned(), "office")])
        .collect();
    let hosts: Vec<(&str, &str)> =
        names.iter().map(|(host, site)| (host.as_str(), *site)).collect();
    let mut cluster = TestCluster::new(&hosts);
    sites.iter().for_each(|site| cluster.add_workers(site, 4, CAPACITY));
    cluster.run(Duration::from_secs(3));
    for site in sites {
        put(&mut cluster, BOOTSTRAP_KEY, site, data_centre(Availability::Active));
    }
    put(&mut cluster, BOOTSTRAP_KEY, "rice", team(CAP));
    let key = |right, secret: &[u8]| {
        Resource::Key(Key { right, digest: key::digest(secret), expires_unix_ms: None })
    };
    put(&mut cluster, BOOTSTRAP_KEY, "rice-key", key(Right::Team("rice".to_owned()), b"rice"));
    put(&mut cluster, BOOTSTRAP_KEY, "admin", key(Right::Operator, b"root"));
    cluster.run(Duration::from_secs(5));
    cluster
}

/// Queues jobs that run for this many milliseconds in the shard of a data centre.
fn fill(cluster: &mut TestCluster, site: &str, count: usize, millis: u64) {
    for index in 0..count {
        let data_centres = vec![site.to_owned()];
        let specification =
            Specification { data_centres, ..job(&format!("{site}-{index}"), millis, true) };
        cluster.submit(&format!("{site}1"), RICE_KEY, specification);
    }
}

/// Runs until the condition holds; the team must never have more than `cap` tasks running. Returns whether it held.
fn run_capped(
    cluster: &mut TestCluster,
    cap: usize,
    limit: Duration,
    condition: impl Fn(&TestCluster) -> bool,
) -> bool {
    cluster.run_until(limit, |cluster| {
        let running = cluster.running("rice");
        assert!(
            running <= cap,
            "{running} tasks run under a cap of {cap} at {:?}",
            cluster.elapsed()
        );
        condition(cluster)
    })
}

fn running_by_data_centre(cluster: &TestCluster, sites: &[&str]) -> BTreeMap<String, usize> {
    sites.iter().map(|site| ((*site).to_owned(), cluster.running_in("rice", site))).collect()
}

fn row(cluster: &TestCluster) -> CapRow {
    let row = cluster.table.row(&row_key("rice")).expect("a row of the cap");
    serde_json::from_str(&row.value).expect("a cap")
}

fn granted(cluster: &TestCluster, site: &str) -> u64 {
    let shard = Shard { data_centre: site.to_owned(), index: 0 };
    row(cluster).grant(&shard).processors_milli / 1000
}

/// Guards against a shard that takes all of a cap because its work was queued first, and against a cap that is exceeded
/// or left unused.
#[test]
fn fair_shares() {
    for sites in [&SITES[..2], &SITES[..]] {
        let mut cluster = deploy(sites);
        let fair = CAP / sites.len();
        fill(&mut cluster, sites[0], 24, 3000);
        assert!(
            run_capped(&mut cluster, CAP, USED_WITHIN, |cluster| cluster.running("rice") == CAP)
        );
        sites[1..].iter().for_each(|site| fill(&mut cluster, site, 24, 3000));
        let has_fair_share =
            |cluster: &TestCluster, site: &&str| cluster.running_in("rice", site) >= fair;
        let held = run_capped(&mut cluster, CAP, FAIR_WITHIN, |cluster| {
            sites.iter().all(|site| has_fair_share(cluster, site))
        });
        assert!(held, "{:?}", running_by_data_centre(&cluster, sites));
        assert_eq!(cluster.running("rice"), CAP);
    }
}

/// Guards against a lowered cap that is enforced on one shard only or stops too much, and against a raised one that is
/// not used.
#[test]
fn cap_changes_during_contention() {
    let sites = &SITES[..2];
    let mut cluster = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cluster, site, 80, 3000));
    let shared = |tasks: usize| {
        move |cluster: &TestCluster| {
            sites.iter().all(|site| cluster.running_in("rice", site) == tasks / 2)
        }
    };
    assert!(
        run_capped(&mut cluster, CAP, FAIR_WITHIN, shared(CAP)),
        "{:?}",
        running_by_data_centre(&cluster, sites)
    );
    put(&mut cluster, OPERATOR_KEY, "rice", team(CAP / 2));
    let lowered = run_capped(&mut cluster, CAP, Duration::from_secs(9), |cluster| {
        cluster.running("rice") <= CAP / 2
    });
    assert!(lowered, "{:?}", running_by_data_centre(&cluster, sites));
    let limit = FAIR_WITHIN;
    let half = run_capped(&mut cluster, CAP / 2, limit, shared(CAP / 2));
    assert!(half, "{:?}", running_by_data_centre(&cluster, sites));
    put(&mut cluster, OPERATOR_KEY, "rice", team(CAP));
    assert!(
        run_capped(&mut cluster, CAP, FAIR_WITHIN, shared(CAP)),
        "{:?}",
        running_by_data_centre(&cluster, sites)
    );
}

/// Guards against a successor that starts work beside the tasks of its predecessor, or that does not use its grant.
#[test]
fn owner_dies_with_a_grant() {
    let sites = &SITES[..2];
    let mut cluster = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cluster, site, 80, 3000));
    let fair = |cluster: &TestCluster| {
        sites.iter().all(|site| cluster.running_in("rice", site) == CAP / 2)
    };
    assert!(
        run_capped(&mut cluster, CAP, FAIR_WITHIN, fair),
        "{:?}",
        running_by_data_centre(&cluster, sites)
    );
    cluster.kill("east1");
    cluster.kill("west1");
    run_capped(&mut cluster, CAP, Duration::from_secs(8), |_| false);
    assert!(
        run_capped(&mut cluster, CAP, FAIR_WITHIN, fair),
        "{:?}",
        running_by_data_centre(&cluster, sites)
    );
}

/// Guards against reuse of the grant of a dead data centre: no outside host can know what still runs there, so the
/// grant stays reserved until one of its hosts is back.
#[test]
fn grant_of_a_dead_data_centre() {
    let sites = &SITES[..2];
    let mut cluster = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cluster, site, 80, 3000));
    let fair = |cluster: &TestCluster| {
        sites.iter().all(|site| cluster.running_in("rice", site) == CAP / 2)
    };
    assert!(
        run_capped(&mut cluster, CAP, FAIR_WITHIN, fair),
        "{:?}",
        running_by_data_centre(&cluster, sites)
    );
    let held = granted(&cluster, "west");
    assert!(held >= 1);
    cluster.kill("west1");
    cluster.kill("west2");
    run_capped(&mut cluster, CAP, Duration::from_secs(12), |_| false);
    assert_eq!(cluster.running_in("rice", "west"), 0, "the task leases have lapsed");
    assert_eq!((granted(&cluster, "west"), granted(&cluster, "east")), (held, CAP as u64 - held));
    cluster.restart("west1");
    let used = run_capped(&mut cluster, CAP, Duration::from_secs(40), |cluster| {
        cluster.running_in("rice", "west") >= 1 && cluster.running("rice") == CAP
    });
    assert!(used, "{:?}", running_by_data_centre(&cluster, sites));
}
