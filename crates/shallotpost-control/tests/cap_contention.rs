//! Caps of teams whose work waits in several shards at once.

mod support;

use std::collections::BTreeMap;

use shallotpost_control::configuration::cap::{CapRow, row_key};
use shallotpost_control::prelude::*;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Availability, Key, Resource, Right, Team};
use shallotpost_protocol::work::Specification;
use support::cell::{ADMIN, Cell};
use support::deployment::{CAPACITY, OPERATOR, RICE, data_centre, job, put};

/// Tasks that the cap of the team allows at first.
const CAP: usize = 8;

/// Longest time until every shard with waiting work has its fair part.
const FAIR_WITHIN: Duration = Duration::from_secs(20);

/// Longest time until all of the cap is in use again after a change.
const USED_WITHIN: Duration = Duration::from_secs(20);

const SITES: [&str; 4] = ["east", "west", "north", "south"];

/// A cap of this many tasks of one processor.
fn team(tasks: usize) -> Resource {
    let cap = Size { processors_milli: 1000 * tasks as u64, ..Size::from_parts([u64::MAX; 4]) };
    Resource::Team(Team { share: 1, cap })
}

/// Starts one shard per data centre, each with two hosts and four workers of four processors.
fn deploy(sites: &[&str]) -> Cell {
    let names: Vec<(String, &str)> = sites
        .iter()
        .flat_map(|site| (1..=2).map(move |index| (format!("{site}{index}"), *site)))
        .chain([("a1".to_owned(), "office")])
        .collect();
    let hosts: Vec<(&str, &str)> =
        names.iter().map(|(host, site)| (host.as_str(), *site)).collect();
    let mut cell = Cell::new(&hosts);
    sites.iter().for_each(|site| cell.add_workers(site, 4, CAPACITY));
    cell.run(Duration::from_secs(3));
    for site in sites {
        put(&mut cell, ADMIN, site, data_centre(Availability::Active));
    }
    put(&mut cell, ADMIN, "rice", team(CAP));
    let key = |right, secret: &[u8]| {
        Resource::Key(Key { right, digest: key::digest(secret), expires_unix_ms: None })
    };
    put(&mut cell, ADMIN, "rice-key", key(Right::Team("rice".to_owned()), b"rice"));
    put(&mut cell, ADMIN, "admin", key(Right::Operator, b"root"));
    cell.run(Duration::from_secs(5));
    cell
}

/// Queues jobs that run for this many milliseconds in the shard of a data centre.
fn fill(cell: &mut Cell, site: &str, count: usize, millis: u64) {
    for index in 0..count {
        let data_centres = vec![site.to_owned()];
        let specification =
            Specification { data_centres, ..job(&format!("{site}-{index}"), millis, true) };
        cell.submit(&format!("{site}1"), RICE, specification);
    }
}

/// Runs until the condition holds; the team must never have more than `cap` tasks running. Returns whether it held.
fn run_capped(
    cell: &mut Cell,
    cap: usize,
    limit: Duration,
    condition: impl Fn(&Cell) -> bool,
) -> bool {
    cell.run_until(limit, |cell| {
        let running = cell.running("rice");
        assert!(running <= cap, "{running} tasks run under a cap of {cap} at {:?}", cell.elapsed());
        condition(cell)
    })
}

fn parts(cell: &Cell, sites: &[&str]) -> BTreeMap<String, usize> {
    sites.iter().map(|site| ((*site).to_owned(), cell.running_in("rice", site))).collect()
}

fn row(cell: &Cell) -> CapRow {
    let row = cell.table.row(&row_key("rice")).expect("a row of the cap");
    serde_json::from_str(&row.value).expect("a cap")
}

fn granted(cell: &Cell, site: &str) -> u64 {
    let shard = Shard { data_centre: site.to_owned(), index: 0 };
    row(cell).grant(&shard).processors_milli / 1000
}

/// Guards against a shard that takes all of a cap because its work was queued first, and against a cap that is exceeded
/// or left unused.
#[test]
fn fair_parts() {
    for sites in [&SITES[..2], &SITES[..]] {
        let mut cell = deploy(sites);
        let fair = CAP / sites.len();
        fill(&mut cell, sites[0], 24, 3000);
        assert!(run_capped(&mut cell, CAP, USED_WITHIN, |cell| cell.running("rice") == CAP));
        sites[1..].iter().for_each(|site| fill(&mut cell, site, 24, 3000));
        let has_part = |cell: &Cell, site: &&str| cell.running_in("rice", site) >= fair;
        let held = run_capped(&mut cell, CAP, FAIR_WITHIN, |cell| {
            sites.iter().all(|site| has_part(cell, site))
        });
        assert!(held, "{:?}", parts(&cell, sites));
        assert_eq!(cell.running("rice"), CAP);
    }
}

/// Guards against a lowered cap that is enforced on one shard only or stops too much, and against a raised one that is
/// not used.
#[test]
fn cap_changes_during_contention() {
    let sites = &SITES[..2];
    let mut cell = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cell, site, 80, 3000));
    let shared = |tasks: usize| {
        move |cell: &Cell| sites.iter().all(|site| cell.running_in("rice", site) == tasks / 2)
    };
    assert!(run_capped(&mut cell, CAP, FAIR_WITHIN, shared(CAP)), "{:?}", parts(&cell, sites));
    put(&mut cell, OPERATOR, "rice", team(CAP / 2));
    let lowered =
        run_capped(&mut cell, CAP, Duration::from_secs(9), |cell| cell.running("rice") <= CAP / 2);
    assert!(lowered, "{:?}", parts(&cell, sites));
    let limit = FAIR_WITHIN;
    let half = run_capped(&mut cell, CAP / 2, limit, shared(CAP / 2));
    assert!(half, "{:?}", parts(&cell, sites));
    put(&mut cell, OPERATOR, "rice", team(CAP));
    assert!(run_capped(&mut cell, CAP, FAIR_WITHIN, shared(CAP)), "{:?}", parts(&cell, sites));
}

/// Guards against a successor that starts work beside the tasks of its predecessor, or that does not use its grant.
#[test]
fn owner_dies_with_a_grant() {
    let sites = &SITES[..2];
    let mut cell = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cell, site, 80, 3000));
    let fair = |cell: &Cell| sites.iter().all(|site| cell.running_in("rice", site) == CAP / 2);
    assert!(run_capped(&mut cell, CAP, FAIR_WITHIN, fair), "{:?}", parts(&cell, sites));
    cell.kill("east1");
    cell.kill("west1");
    run_capped(&mut cell, CAP, Duration::from_secs(8), |_| false);
    assert!(run_capped(&mut cell, CAP, FAIR_WITHIN, fair), "{:?}", parts(&cell, sites));
}

/// Guards against the use of a grant that nobody can return: no host outside a data centre can know what still runs
/// there, so its grant stays reserved until one of its hosts is back.
#[test]
fn grant_of_a_dead_data_centre() {
    let sites = &SITES[..2];
    let mut cell = deploy(sites);
    sites.iter().for_each(|site| fill(&mut cell, site, 80, 3000));
    let fair = |cell: &Cell| sites.iter().all(|site| cell.running_in("rice", site) == CAP / 2);
    assert!(run_capped(&mut cell, CAP, FAIR_WITHIN, fair), "{:?}", parts(&cell, sites));
    let held = granted(&cell, "west");
    assert!(held >= 1);
    cell.kill("west1");
    cell.kill("west2");
    run_capped(&mut cell, CAP, Duration::from_secs(12), |_| false);
    assert_eq!(cell.running_in("rice", "west"), 0, "the task leases have lapsed");
    assert_eq!((granted(&cell, "west"), granted(&cell, "east")), (held, CAP as u64 - held));
    cell.restart("west1");
    let used = run_capped(&mut cell, CAP, Duration::from_secs(40), |cell| {
        cell.running_in("rice", "west") >= 1 && cell.running("rice") == CAP
    });
    assert!(used, "{:?}", parts(&cell, sites));
}
