//! Changes of the home shard: drains, faults during a move, and balance between shards.
//!
//! The cell checks after each tick that no worker is overcommitted, no task runs in two places, and no non-idempotent work
//! is started twice.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Record, Specification, Status};
use support::cell::Cell;
use support::deployment::{
    CAPACITY, OPERATOR, RICE, data_centre, deploy, job, rice, service, try_put,
};

const SECOND: Duration = Duration::from_secs(1);

fn set(cell: &mut Cell, name: &str, availability: Availability) {
    let answer = try_put(cell, "a2", OPERATOR, name, data_centre(availability));
    assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
}

fn status(cell: &mut Cell, host: &str, id: &str) -> Status {
    match cell.ask(host, RICE, Request::Status(rice(id))) {
        Ok(Reply::Status(status)) => status,
        other => panic!("{id} at {host}: {other:?}"),
    }
}

fn gang(id: &str, parts: u32, millis: u64) -> Specification {
    Specification { class: Class::Gang { parts }, ..job(id, millis, true) }
}

/// Whether the work has this many tasks, all in the data centre.
fn runs_in(cell: &Cell, id: &str, data_centre: &str, tasks: usize) -> bool {
    let places = cell.places(id);
    places.len() == tasks && places.iter().all(|(worker, _)| worker.starts_with(data_centre))
}

/// Keys of the rows of the work.
fn homes(cell: &Cell, id: &str) -> Vec<String> {
    let keys = ["east", "west"].map(|name| format!("work/{name}/0/rice/{id}"));
    keys.into_iter().filter(|key| cell.table.row(key).is_some()).collect()
}

fn owner(cell: &Cell, name: &str) -> &'static str {
    let row = cell.table.row(&format!("shards/{name}/0")).expect("a row");
    let hosts = ["a1", "a2", "b1", "b2"];
    let named = |host: &&str| row.value.contains(&format!("\"{host}\""));
    hosts.into_iter().find(named).expect("an owner")
}

/// A deployment whose work was all admitted to the east.
fn loaded() -> Cell {
    let mut cell = deploy();
    let works = [service("intake", 2), gang("mesh", 2, 600_000), job("long", 55_000, true)];
    let requests: Vec<RequestId> = works
        .into_iter()
        .chain([job("once", 40_000, false)])
        .map(|work| cell.request("a1", RICE, Request::Submit(work)))
        .collect();
    cell.run(SECOND * 2);
    assert!(requests.iter().all(|id| matches!(cell.answer(*id), Some(Ok(_)))));
    for (id, tasks) in [("intake", 2), ("mesh", 2), ("long", 1), ("once", 1)] {
        assert!(runs_in(&cell, id, "east", tasks), "{id}: {:?}", cell.places(id));
        ["a1", "a2", "b1", "b2"].iter().for_each(|host| drop(status(&mut cell, host, id)));
    }
    cell
}

/// Guards against a drain that leaves idempotent work behind, restarts other work, or stops batch work before its grace
/// time, and against waits and requests that do not follow.
#[test]
fn drain_moves_what_may_move() {
    let mut cell = loaded();
    status(&mut cell, "b2", "intake");
    let drained = cell.elapsed();
    set(&mut cell, "east", Availability::Drained);
    let moved = cell.run_until(SECOND * 5, |cell| {
        runs_in(cell, "intake", "west", 2) && runs_in(cell, "mesh", "west", 2)
    });
    assert!(moved, "{:?} {:?}", cell.places("intake"), cell.places("mesh"));
    for host in ["a1", "a2", "b1", "b2"] {
        assert_eq!(status(&mut cell, host, "intake").shard.data_centre, "west", "at {host}");
    }
    cell.run(SECOND * 28 - (cell.elapsed() - drained));
    assert!(runs_in(&cell, "long", "east", 1), "stopped within its grace time");
    let wait = Request::Wait { work: rice("long"), wait: SECOND * 60 };
    let waits = ["a1", "a2", "b1", "b2"].map(|host| cell.request(host, RICE, wait.clone()));
    assert!(cell.run_until(SECOND * 5, |cell| runs_in(cell, "long", "west", 1)));
    for id in ["intake", "mesh", "long"] {
        assert_eq!(homes(&cell, id), [format!("work/west/0/rice/{id}")]);
    }
    assert!(runs_in(&cell, "once", "east", 1));
    assert_eq!(cell.outcome("b1", RICE, &rice("once")).ending, Ending::Succeeded);
    assert_eq!(cell.starts("once"), 1);
    cell.run(SECOND * 60);
    for id in waits {
        let answer = cell.answer(id);
        assert!(matches!(answer, Some(Ok(Reply::Outcome(_)))), "{answer:?}");
    }
}

/// Guards against a fault during a move that loses the work, runs it twice or leaves it behind.
#[test]
fn faults_during_a_move() {
    type Step = fn(&mut Cell);
    let table: &[(&str, Step, Step)] = &[
        ("owner dies before the write", |cell| kill_owner(cell, "east"), |_| {}),
        (
            "owner dies after the write, answer lost",
            |cell| {
                cell.lose_table_answers = 1000;
                let done = |cell: &Cell| cell.table.row("work/west/0/rice/intake").is_some();
                assert!(cell.run_until(SECOND * 20, done));
                cell.lose_table_answers = 0;
                kill_owner(cell, "east");
            },
            |_| {},
        ),
        ("answers lost", |cell| cell.lose_table_answers = 20, |cell| cell.lose_table_answers = 0),
        ("notification lost", |cell| cell.cut("east", "west"), |cell| cell.cuts.clear()),
        ("table down", |cell| cell.table_down = true, |cell| cell.table_down = false),
        (
            "two owners in turn",
            |cell| {
                let host = owner(cell, "east");
                cell.pause(host);
            },
            |cell| ["a1", "a2"].into_iter().for_each(|host| cell.resume(host)),
        ),
        ("receiving owner dies", |cell| kill_owner(cell, "west"), |_| {}),
        (
            "east cut from the platform",
            |cell| cell.cut("east", "platform"),
            |cell| cell.cuts.clear(),
        ),
    ];
    for (name, begin, end) in table {
        let mut cell = loaded();
        set(&mut cell, "east", Availability::Drained);
        begin(&mut cell);
        cell.run(SECOND * 8);
        end(&mut cell);
        let moved = cell.run_until(SECOND * 30, |cell| {
            runs_in(cell, "intake", "west", 2) && runs_in(cell, "mesh", "west", 2)
        });
        assert!(moved, "{name}: {:?} {:?}", cell.places("intake"), cell.places("mesh"));
        // Every host has the old home in its cache. After a takeover, the new owner has never known the work.
        for host in [owner(&cell, "east"), "b2"] {
            let home = status(&mut cell, host, "mesh").shard.data_centre;
            assert_eq!(home, "west", "{name}: at {host}");
        }
        cell.run(SECOND * 60);
        for id in ["intake", "mesh", "long"] {
            assert_eq!(homes(&cell, id), [format!("work/west/0/rice/{id}")], "{name}");
        }
        let endings = [Ending::Succeeded, Ending::Unknown];
        let ending = cell.outcome("b2", RICE, &rice("once")).ending;
        assert!(endings.contains(&ending), "{name}: {ending:?}");
        assert_eq!(cell.outcome("b2", RICE, &rice("long")).ending, Ending::Succeeded, "{name}");
    }
}

fn kill_owner(cell: &mut Cell, name: &str) {
    let host = owner(cell, name);
    cell.kill(host);
}

/// Guards against work that is lost or stopped where no data centre may take it, and against moves after a restore.
#[test]
fn work_stays_without_a_place_to_go() {
    let mut cell = loaded();
    set(&mut cell, "west", Availability::Drained);
    set(&mut cell, "east", Availability::Drained);
    cell.run(SECOND * 40);
    for id in ["intake", "mesh", "long"] {
        let places = cell.places(id);
        assert!(!places.is_empty() && runs_in(&cell, id, "east", places.len()), "{id}");
        assert_eq!(homes(&cell, id), [format!("work/east/0/rice/{id}")]);
    }
    match cell.ask("b1", RICE, Request::Explain(rice("intake"))) {
        Ok(Reply::Explanation(explanation)) => {
            assert!(explanation.reasons[0].contains("no other data centre"), "{explanation:?}");
        }
        other => panic!("{other:?}"),
    }
    set(&mut cell, "east", Availability::Active);
    set(&mut cell, "west", Availability::Active);
    cell.run(SECOND * 10);
    assert!(runs_in(&cell, "intake", "east", 2) && runs_in(&cell, "mesh", "east", 2));
    assert_eq!(cell.starts("intake"), 2);
}

/// Guards against work that is lost, or restarts more than once, when the drain ends while its tasks are stopped.
#[test]
fn restored_while_moving() {
    for ticks in 0..12 {
        let mut cell = loaded();
        let drained = data_centre(Availability::Drained);
        cell.request("a1", OPERATOR, put("east", drained));
        cell.run(Duration::from_millis(1000 + 30 * ticks));
        cell.request("a1", OPERATOR, put("east", data_centre(Availability::Active)));
        cell.run(SECOND * 20);
        for id in ["intake", "mesh"] {
            assert_eq!(cell.places(id).len(), 2, "{ticks}: {id}");
            assert_eq!(homes(&cell, id).len(), 1, "{ticks}: {id}");
            assert!(cell.starts(id) <= 4, "{ticks}: {id}");
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

/// Guards against never-started work that stays in the queue of a drained data centre, and against urgent work that waits
/// beside a shard with room.
#[test]
fn waiting_work_moves() {
    for drain in [true, false] {
        let mut cell = deploy();
        for index in 0..4 {
            let work = sized(&format!("fill-{index}"), 4000, false);
            cell.request("a1", RICE, Request::Submit(work));
        }
        cell.run(Duration::from_millis(100));
        let class = if drain { Class::Batch } else { Class::Urgent };
        let queued = Specification { class, ..job("queued", 100, false) };
        cell.request("a1", RICE, Request::Submit(queued));
        cell.run(Duration::from_millis(200));
        assert_eq!(homes(&cell, "queued"), ["work/east/0/rice/queued"]);
        if drain {
            set(&mut cell, "east", Availability::Drained);
        }
        let started = cell.run_until(SECOND * 3, |cell| cell.starts("queued") == 1);
        assert!(started && homes(&cell, "queued") == ["work/west/0/rice/queued"], "{drain}");
        assert_eq!(cell.outcome("a1", RICE, &rice("queued")).ending, Ending::Succeeded);
    }
}

/// Guards against a job that ends `NeverRunnable` after its shard lost the only worker for it and another shard has one.
#[test]
fn unfit_work_moves() {
    let mut cell = deploy();
    cell.add_workers("east", 5, CAPACITY.times(2));
    cell.add_workers("west", 5, CAPACITY.times(2));
    cell.run(SECOND * 5);
    for index in 0..6 {
        cell.request("a1", RICE, Request::Submit(sized(&format!("large-{index}"), 8000, true)));
    }
    cell.run(Duration::from_millis(200));
    assert_eq!(homes(&cell, "large-5"), ["work/east/0/rice/large-5"]);
    cell.add_workers("east", 5, CAPACITY);
    let done = cell.run_until(SECOND * 80, |cell| cell.starts_in("west") > 0);
    assert!(done, "{:?}", homes(&cell, "large-5"));
    assert_eq!(cell.outcome("b1", RICE, &rice("large-5")).ending, Ending::Succeeded);
}

/// Guards against a wrong `not_run: true` for work that ran at its earlier home.
#[test]
fn moved_work_remembers_that_it_ran() {
    let mut cell = loaded();
    set(&mut cell, "east", Availability::Drained);
    assert!(cell.run_until(SECOND * 9, |cell| runs_in(cell, "intake", "west", 2)));
    let row = cell.table.row("work/west/0/rice/intake").expect("a row");
    let record: Record = serde_json::from_str(&row.value).expect("a record");
    assert!(record.attempt > 0 && record.shard.data_centre == "west", "{record:?}");
    assert!(cell.ask("a1", RICE, Request::Cancel(rice("intake"))).is_ok());
    let outcome = cell.outcome("a2", RICE, &rice("intake"));
    assert!(outcome.ending == Ending::Cancelled && !outcome.not_run, "{outcome:?}");
}

/// Guards against a queue that waits in one shard beside free capacity in another one, and against work that bounces.
#[test]
fn queue_evens_out_and_does_not_bounce() {
    let mut cell = deploy();
    // Sent within one load report, so the admission puts all of it in the east.
    for index in 0..60 {
        let work = job(&format!("job-{index}"), 40_000, true);
        cell.request("a1", RICE, Request::Submit(work));
    }
    cell.run(SECOND * 2);
    let (east, west) = (cell.starts_in("east"), cell.starts_in("west"));
    assert!(east >= 15 && west == 0, "{east} in the east, {west} in the west");
    cell.run(SECOND * 10);
    let west = cell.starts_in("west");
    assert!(west >= 10, "{west} in the west after 12 s");
    let moves = |cell: &Cell| {
        let moved = |(_, log): &&(HostId, Log)| log.event.contains("moved to another shard");
        cell.logs.iter().filter(moved).count()
    };
    let before = moves(&cell);
    cell.run(SECOND * 20);
    assert_eq!(moves(&cell), before, "work moved again");
    assert!((10..=15).contains(&before), "{before} moves");
}

/// Guards against a drain that pauses all services at the same moment, or each for long.
#[test]
fn services_pause_a_few_at_a_time() {
    let mut cell = deploy();
    let ids: Vec<String> = (0..14).map(|index| format!("service-{index}")).collect();
    for id in &ids {
        cell.request("a1", RICE, Request::Submit(service(id, 1)));
    }
    cell.run(SECOND * 2);
    assert!(ids.iter().all(|id| runs_in(&cell, id, "east", 1)));
    cell.request("a1", OPERATOR, put("east", data_centre(Availability::Drained)));
    let (mut most, mut down) = (0, vec![0; ids.len()]);
    for _ in 0..1000 {
        cell.run(Duration::from_millis(10));
        let paused: Vec<usize> =
            (0..ids.len()).filter(|index| cell.places(&ids[*index]).is_empty()).collect();
        most = most.max(paused.len());
        paused.iter().for_each(|index| down[*index] += 10);
    }
    assert!(ids.iter().all(|id| runs_in(&cell, id, "west", 1)));
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
        let mut cell = deploy();
        for index in 0..40 {
            let data_centres = if stays { vec!["east".to_owned()] } else { Vec::new() };
            let work = Specification { data_centres, ..job(&format!("job-{index}"), 6000, true) };
            cell.request("a1", RICE, Request::Submit(work));
        }
        cell.run(Duration::from_millis(200));
        assert_eq!(cell.starts_in("west"), 0);
        set(&mut cell, "east", Availability::Drained);
        cell.run(SECOND * 30);
        let ended = |index: &i32| {
            let key = |name| format!("work/{name}/0/rice/job-{index}");
            let row = cell.table.row(&key("east")).or_else(|| cell.table.row(&key("west")));
            row.is_some_and(|row| row.value.contains("succeeded"))
        };
        (0..40).filter(ended).count()
    });
    let [stay, leave] = &mut done;
    println!("jobs done in an outage of 30 s: {leave} with moves, {stay} without");
    assert!(*leave >= 2 * *stay, "{leave} with moves, {stay} without");
}
