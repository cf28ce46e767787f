//! Guards moves of work to another home shard: drains, faults during a move, and balance between shards.
//!
//! The cluster checks after each tick that no worker is overcommitted, no task runs in two places, and no
//! non-idempotent work is started twice.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Record, Specification, Status};
use support::deployment::{
    CAPACITY, OPERATOR_KEY, RICE_KEY, data_centre, deploy, job, rice_work, service, try_put,
};
use support::test_cluster::TestCluster;

const SECOND: Duration = Duration::from_secs(1);

fn set(cluster: &mut TestCluster, name: &str, availability: Availability) {
    let answer = try_put(cluster, "a2", OPERATOR_KEY, name, data_centre(availability));
    assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
}

fn status(cluster: &mut TestCluster, host: &str, id: &str) -> Status {
    match cluster.ask(host, RICE_KEY, Request::Status(rice_work(id))) {
        Ok(Reply::Status(status)) => status,
        other => panic!("{id} at {host}: {other:?}"),
    }
}

fn gang(id: &str, parts: u32, millis: u64) -> Specification {
    Specification { class: Class::Gang { parts }, ..job(id, millis, true) }
}

/// Whether the work has this many tasks, all in the data centre.
fn runs_in(cluster: &TestCluster, id: &str, data_centre: &str, tasks: usize) -> bool {
    let places = cluster.placements(id);
    places.len() == tasks && places.iter().all(|(worker, _)| worker.starts_with(data_centre))
}

/// Keys of the rows of the work.
fn work_row_keys(cluster: &TestCluster, id: &str) -> Vec<String> {
    let keys = ["east", "west"].map(|name| format!("work/{name}/0/rice/{id}"));
    keys.into_iter().filter(|key| cluster.table.row(key).is_some()).collect()
}

fn owner(cluster: &TestCluster, name: &str) -> &'static str {
    let row = cluster.table.row(&format!("shards/{name}/0")).expect("a row");
    let hosts = ["a1", "a2", "b1", "b2"];
    let named = |host: &&str| row.value.contains(&format!("\"{host}\""));
    hosts.into_iter().find(named).expect("an owner")
}

/// A deployment whose work was all admitted to the east.
fn loaded() -> TestCluster {
    let mut cluster = deploy();
    let works = [service("intake", 2), gang("mesh", 2, 600_000), job("long", 55_000, true)];
    let requests: Vec<RequestId> = works
        .into_iter()
        .chain([job("once", 40_000, false)])
        .map(|work| cluster.request("a1", RICE_KEY, Request::Submit(work)))
        .collect();
    cluster.run(SECOND * 2);
    assert!(requests.iter().all(|id| matches!(cluster.answer(*id), Some(Ok(_)))));
    for (id, tasks) in [("intake", 2), ("mesh", 2), ("long", 1), ("once", 1)] {
        assert!(runs_in(&cluster, id, "east", tasks), "{id}: {:?}", cluster.placements(id));
        ["a1", "a2", "b1", "b2"].iter().for_each(|host| drop(status(&mut cluster, host, id)));
    }
    cluster
}

/// Guards against a drain that leaves idempotent work behind, restarts other work, or stops batch work before its grace
/// time, and against waits and requests that do not follow.
#[test]
fn drain_moves_movable_work() {
    let mut cluster = loaded();
    status(&mut cluster, "b2", "intake");
    let drained = cluster.elapsed();
    set(&mut cluster, "east", Availability::Drained);
    let moved = cluster.run_until(SECOND * 5, |cluster| {
        runs_in(cluster, "intake", "west", 2) && runs_in(cluster, "mesh", "west", 2)
    });
    assert!(moved, "{:?} {:?}", cluster.placements("intake"), cluster.placements("mesh"));
    for host in ["a1", "a2", "b1", "b2"] {
        assert_eq!(status(&mut cluster, host, "intake").shard.data_centre, "west", "at {host}");
    }
    cluster.run(SECOND * 28 - (cluster.elapsed() - drained));
    assert!(runs_in(&cluster, "long", "east", 1), "stopped within its grace time");
    let wait = Request::Wait { work: rice_work("long"), wait: SECOND * 60 };
    let waits = ["a1", "a2", "b1", "b2"].map(|host| cluster.request(host, RICE_KEY, wait.clone()));
    assert!(cluster.run_until(SECOND * 5, |cluster| runs_in(cluster, "long", "west", 1)));
    for id in ["intake", "mesh", "long"] {
        assert_eq!(work_row_keys(&cluster, id), [format!("work/west/0/rice/{id}")]);
    }
    assert!(runs_in(&cluster, "once", "east", 1));
    assert_eq!(cluster.outcome("b1", RICE_KEY, &rice_work("once")).ending, Ending::Succeeded);
    assert_eq!(cluster.starts("once"), 1);
    cluster.run(SECOND * 60);
    for id in waits {
        let answer = cluster.answer(id);
        assert!(matches!(answer, Some(Ok(Reply::Outcome(_)))), "{answer:?}");
    }
}

/// Guards against a fault during a move that loses the work, runs it twice or leaves it behind.
#[test]
fn faults_during_a_move() {
    type Action = fn(&mut TestCluster);
    let table: &[(&str, Action, Action)] = &[
        ("owner dies before the write", |cluster| kill_owner(cluster, "east"), |_| {}),
        (
            "owner dies after the write, answer lost",
            |cluster| {
                cluster.lose_table_answers = 1000;
                let done =
                    |cluster: &TestCluster| cluster.table.row("work/west/0/rice/intake").is_some();
                assert!(cluster.run_until(SECOND * 20, done));
                cluster.lose_table_answers = 0;
                kill_owner(cluster, "east");
            },
            |_| {},
        ),
        (
            "answers lost",
            |cluster| cluster.lose_table_answers = 20,
            |cluster| cluster.lose_table_answers = 0,
        ),
        (
            "notification lost",
            |cluster| cluster.partition("east", "west"),
            |cluster| cluster.partitions.clear(),
        ),
        ("table down", |cluster| cluster.table_down = true, |cluster| cluster.table_down = false),
        (
            "two owners in turn",
            |cluster| {
                let host = owner(cluster, "east");
                cluster.pause(host);
            },
            |cluster| ["a1", "a2"].into_iter().for_each(|host| cluster.resume(host)),
        ),
        ("receiving owner dies", |cluster| kill_owner(cluster, "west"), |_| {}),
        (
            "east cut from the platform",
            |cluster| cluster.partition("east", "platform"),
            |cluster| cluster.partitions.clear(),
        ),
    ];
    for (name, begin, end) in table {
        let mut cluster = loaded();
        set(&mut cluster, "east", Availability::Drained);
        begin(&mut cluster);
        cluster.run(SECOND * 8);
        end(&mut cluster);
        let moved = cluster.run_until(SECOND * 30, |cluster| {
            runs_in(cluster, "intake", "west", 2) && runs_in(cluster, "mesh", "west", 2)
        });
        assert!(
            moved,
            "{name}: {:?} {:?}",
            cluster.placements("intake"),
            cluster.placements("mesh")
        );
        // Every host has the old home in its cache. After a takeover, the new owner has never known the work.
        for host in [owner(&cluster, "east"), "b2"] {
            let home = status(&mut cluster, host, "mesh").shard.data_centre;
            assert_eq!(home, "west", "{name}: at {host}");
        }
        cluster.run(SECOND * 60);
        for id in ["intake", "mesh", "long"] {
            assert_eq!(work_row_keys(&cluster, id), [format!("work/west/0/rice/{id}")], "{name}");
        }
        let endings = [Ending::Succeeded, Ending::Unknown];
        let ending = cluster.outcome("b2", RICE_KEY, &rice_work("once")).ending;
        assert!(endings.contains(&ending), "{name}: {ending:?}");
        assert_eq!(
            cluster.outcome("b2", RICE_KEY, &rice_work("long")).ending,
            Ending::Succeeded,
            "{name}"
        );
    }
}

fn kill_owner(cluster: &mut TestCluster, name: &str) {
    let host = owner(cluster, name);
    cluster.kill(host);
}

/// Guards against work that is lost or stopped where no data centre may take it, and against moves after a restore.
#[test]
fn work_stays_without_an_eligible_data_centre() {
    let mut cluster = loaded();
    set(&mut cluster, "west", Availability::Drained);
    set(&mut cluster, "east", Availability::Drained);
    cluster.run(SECOND * 40);
    for id in ["intake", "mesh", "long"] {
        let places = cluster.placements(id);
        assert!(!places.is_empty() && runs_in(&cluster, id, "east", places.len()), "{id}");
        assert_eq!(work_row_keys(&cluster, id), [format!("work/east/0/rice/{id}")]);
    }
    match cluster.ask("b1", RICE_KEY, Request::Explain(rice_work("intake"))) {
        Ok(Reply::Explanation(explanation)) => {
            assert!(explanation.reasons[0].contains("no other data centre"), "{explanation:?}");
        }
        other => panic!("{other:?}"),
    }
    set(&mut cluster, "east", Availability::Active);
    set(&mut cluster, "west", Availability::Active);
    cluster.run(SECOND * 10);
    assert!(runs_in(&cluster, "intake", "east", 2) && runs_in(&cluster, "mesh", "east", 2));
    assert_eq!(cluster.starts("intake"), 2);
}

/// Guards against work that is lost, or restarts more than once, when the drain ends while its tasks are stopped.
#[test]
fn restored_while_moving() {
    for ticks in 0..12 {
        let mut cluster = loaded();
        let drained = data_centre(Availability::Drained);
        cluster.request("a1", OPERATOR_KEY, put("east", drained));
        cluster.run(Duration::from_millis(1000 + 30 * ticks));
        cluster.request("a1", OPERATOR_KEY, put("east", data_centre(Availability::Active)));
        cluster.run(SECOND * 20);
        for id in ["intake", "mesh"] {
            assert_eq!(cluster.placements(id).len(), 2, "{ticks}: {id}");
            assert_eq!(work_row_keys(&cluster, id).len(), 1, "{ticks}: {id}");
            assert!(cluster.starts(id) <= 4, "{ticks}: {id}");
        }
    }
}

fn put(name: &str, resource: shallotpost_protocol::resource::Resource) -> Request {
    Request::Put { name: name.to_owned(), resource, revision: None, dry_run: false }
}

fn sized(id: &str, processors_milli: u64, idempotent: bool) -> Specification {
    let size = Size { processors_milli, ..CAPACITY };
    Specification {
        size: Size { slots: 1, memory_mib: 512, ..size },
        ..job(id, 20_000, idempotent)
    }
}

/// Guards against never-started work that stays in the queue of a drained data centre, and against urgent work that
/// waits beside a shard with room.
#[test]
fn waiting_work_moves() {
    for drain in [true, false] {
        let mut cluster = deploy();
        for index in 0..4 {
            let work = sized(&format!("fill-{index}"), 4000, false);
            cluster.request("a1", RICE_KEY, Request::Submit(work));
        }
        cluster.run(Duration::from_millis(100));
        let class = if drain { Class::Batch } else { Class::Urgent };
        let queued = Specification { class, ..job("queued", 100, false) };
        cluster.request("a1", RICE_KEY, Request::Submit(queued));
        cluster.run(Duration::from_millis(200));
        assert_eq!(work_row_keys(&cluster, "queued"), ["work/east/0/rice/queued"]);
        if drain {
            set(&mut cluster, "east", Availability::Drained);
        }
        let started = cluster.run_until(SECOND * 3, |cluster| cluster.starts("queued") == 1);
        assert!(
            started && work_row_keys(&cluster, "queued") == ["work/west/0/rice/queued"],
            "{drain}"
        );
        assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work("queued")).ending, Ending::Succeeded);
    }
}

/// Guards against a job that ends `NeverRunnable` after its shard lost the only worker for it and another shard has
/// one.
#[test]
fn unfit_work_moves() {
    let mut cluster = deploy();
    cluster.add_workers("east", 5, CAPACITY.times(2));
    cluster.add_workers("west", 5, CAPACITY.times(2));
    cluster.run(SECOND * 5);
    for index in 0..6 {
        cluster.request(
            "a1",
            RICE_KEY,
            Request::Submit(sized(&format!("large-{index}"), 8000, true)),
        );
    }
    cluster.run(Duration::from_millis(200));
    assert_eq!(work_row_keys(&cluster, "large-5"), ["work/east/0/rice/large-5"]);
    cluster.add_workers("east", 5, CAPACITY);
    let done = cluster.run_until(SECOND * 80, |cluster| cluster.starts_in("west") > 0);
    assert!(done, "{:?}", work_row_keys(&cluster, "large-5"));
    assert_eq!(cluster.outcome("b1", RICE_KEY, &rice_work("large-5")).ending, Ending::Succeeded);
}

/// Guards against a wrong `not_run: true` for work that ran at its earlier home.
#[test]
fn moved_work_remembers_that_it_ran() {
    let mut cluster = loaded();
    set(&mut cluster, "east", Availability::Drained);
    assert!(cluster.run_until(SECOND * 9, |cluster| runs_in(cluster, "intake", "west", 2)));
    let row = cluster.table.row("work/west/0/rice/intake").expect("a row");
    let record: Record = serde_json::from_str(&row.value).expect("a record");
    assert!(record.attempt > 0 && record.shard.data_centre == "west", "{record:?}");
    assert!(cluster.ask("a1", RICE_KEY, Request::Cancel(rice_work("intake"))).is_ok());
    let outcome = cluster.outcome("a2", RICE_KEY, &rice_work("intake"));
    assert!(outcome.ending == Ending::Cancelled && !outcome.not_run, "{outcome:?}");
}

/// Guards against a queue that waits in one shard while another has free capacity, and against work that moves
/// repeatedly.
#[test]
fn queue_is_balanced_without_repeated_moves() {
    let mut cluster = deploy();
    // Sent within one load report, so the admission puts all of it in the east.
    for index in 0..60 {
        let work = job(&format!("job-{index}"), 40_000, true);
        cluster.request("a1", RICE_KEY, Request::Submit(work));
    }
    cluster.run(SECOND * 2);
    let (east, west) = (cluster.starts_in("east"), cluster.starts_in("west"));
    assert!(east >= 15 && west == 0, "{east} in the east, {west} in the west");
    cluster.run(SECOND * 10);
    let west = cluster.starts_in("west");
    assert!(west >= 10, "{west} in the west after 12 s");
    let moves = |cluster: &TestCluster| {
        let moved = |(_, log): &&(HostId, Log)| log.event.contains("moved to another shard");
        cluster.logs.iter().filter(moved).count()
    };
    let before = moves(&cluster);
    cluster.run(SECOND * 20);
    assert_eq!(moves(&cluster), before, "work moved again");
    assert!((10..=15).contains(&before), "{before} moves");
}

/// Guards against a drain that pauses all services at the same moment, or each for long.
#[test]
fn services_pause_a_few_at_a_time() {
    let mut cluster = deploy();
    let ids: Vec<String> = (0..14).map(|index| format!("service-{index}")).collect();
    for id in &ids {
        cluster.request("a1", RICE_KEY, Request::Submit(service(id, 1)));
    }
    cluster.run(SECOND * 2);
    assert!(ids.iter().all(|id| runs_in(&cluster, id, "east", 1)));
    cluster.request("a1", OPERATOR_KEY, put("east", data_centre(Availability::Drained)));
    let (mut most, mut down) = (0, vec![0; ids.len()]);
    for _ in 0..1000 {
        cluster.run(Duration::from_millis(10));
        let paused: Vec<usize> =
            (0..ids.len()).filter(|index| cluster.placements(&ids[*index]).is_empty()).collect();
        most = most.max(paused.len());
        paused.iter().for_each(|index| down[*index] += 10);
    }
    assert!(ids.iter().all(|id| runs_in(&cluster, id, "west", 1)));
    let (longest, sum) = (down.iter().max().expect("services"), down.iter().sum::<i32>());
    println!(
        "services paused: {most} of 14 at a time, {} ms on average, {longest} ms at most",
        sum / 14
    );
    assert!(most <= 4 && *longest <= 1000, "{most} at a time, {longest} ms");
}

/// Guards against a queue that does less work during an outage than it would where it may run elsewhere.
#[test]
fn outage_work_compared_with_staying() {
    let mut done = [true, false].map(|stays| {
        let mut cluster = deploy();
        for index in 0..40 {
            let data_centres = if stays { vec!["east".to_owned()] } else { Vec::new() };
            let work = Specification { data_centres, ..job(&format!("job-{index}"), 6000, true) };
            cluster.request("a1", RICE_KEY, Request::Submit(work));
        }
        cluster.run(Duration::from_millis(200));
        assert_eq!(cluster.starts_in("west"), 0);
        set(&mut cluster, "east", Availability::Drained);
        cluster.run(SECOND * 30);
        let ended = |index: &i32| {
            let key = |name| format!("work/{name}/0/rice/job-{index}");
            let row = cluster.table.row(&key("east")).or_else(|| cluster.table.row(&key("west")));
            row.is_some_and(|row| row.value.contains("succeeded"))
        };
        (0..40).filter(ended).count()
    });
    let [stay, leave] = &mut done;
    println!("jobs done in an outage of 30 s: {leave} with moves, {stay} without");
    assert!(*leave >= 2 * *stay, "{leave} with moves, {stay} without");
}
