//! Configurations that give queues and teams other names, exchange the names, or remove queues and add them again. Guards
//! against accepted jobs that their callers can neither see nor cancel, that stop between two steps, or that other teams see.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::{Configuration, Pool};
use shallotpost_fleet::job::{Job, JobId, Step};
use shallotpost_fleet::message::{Message, decode, encode};
use shallotpost_fleet::port::{Action, Answer, Content, Table};
use shallotpost_fleet::progress::State;
use support::{Simulation, job, ms, step, task};

const ID: JobId = 0x5c0e;

/// Returns the configuration of these tests: `batch` uses the workers w0 and w1, `urgent` the worker w2 of another pool.
fn configuration(version: u64) -> Configuration {
    let mut next = Configuration { version, ..support::configuration() };
    next.pools.push(Pool { name: "press".to_owned(), spare: false });
    next.queues[1].policy.pool = "press".to_owned();
    next
}

fn settled() -> Simulation {
    let mut sim = Simulation::new(&["a", "b", "c"], 0);
    sim.sites.insert("w2".to_owned(), ("press".to_owned(), "kochi".to_owned()));
    sim.configure(configuration(2));
    for worker in ["w0", "w1", "w2"] {
        sim.add_worker(worker, 4000);
    }
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(2000));
    sim
}

/// Submits a job of two steps as team `a`. The tasks of the first one take 6 s.
fn submit(sim: &mut Simulation, queue: &str) {
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(6000));
    let second = Step { after: vec![0], ..step(2, 300) };
    let request = sim.submit("a", queue, ID, vec![step(2, 6000), second]);
    sim.run(ms(300));
    assert_eq!(sim.answers[&request], Answer::Accepted);
    assert_eq!(sim.starts_of_job(ID), 2);
}

fn apply(sim: &mut Simulation, configuration: Configuration) {
    sim.configure(configuration);
    sim.run(ms(2000));
}

fn ask(sim: &mut Simulation, host: &str, queue: &str, key: Option<&str>, action: Action) -> Answer {
    let request = sim.request(host, &format!("/{queue}/{ID:016x}"), key, action);
    sim.run(ms(600));
    sim.answers[&request].clone()
}

/// Asserts that every host tells team `a` the state of the job at a prefix, and hides the job from team `b`.
fn check_visible(sim: &mut Simulation, queue: &str, state: State) {
    let hosts: Vec<String> = sim.hosts.keys().cloned().collect();
    for host in &hosts {
        let own = ask(sim, host, queue, Some("key-a"), Action::Read);
        assert_eq!(own, Answer::State(state), "at {host}");
        for action in [Action::Read, Action::Cancel] {
            let foreign = ask(sim, host, queue, Some("key-b"), action);
            assert_eq!(foreign, Answer::NoJob, "team b at {host}");
        }
    }
}

/// Asserts that the second step starts on these workers and the job completes.
fn check_completes(sim: &mut Simulation, queue: &str, workers: &[&str]) {
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(300));
    let complete = |sim: &Simulation| !sim.is_open(ID);
    sim.run_until(Duration::from_secs(15), "the end of the job", complete);
    check_visible(sim, queue, State::Completed);
    assert_eq!(sim.starts_of_job(ID), 4);
    for (name, worker) in &sim.workers {
        assert!(worker.starts.is_empty() || workers.contains(&name.as_str()), "start on {name}");
    }
}

/// Asserts that a caller of team `a` cancels the job, and that its tasks end.
fn check_cancels(sim: &mut Simulation, queue: &str) {
    let host = any_host(sim);
    let answer = ask(sim, &host, queue, Some("key-a"), Action::Cancel);
    assert_eq!(answer, Answer::Cancelled);
    sim.run(ms(1000));
    assert!(sim.workers_of(ID).is_empty(), "tasks of a cancelled job run");
    check_visible(sim, queue, State::Cancelled);
}

fn any_host(sim: &Simulation) -> String {
    sim.hosts.keys().next().expect("there is a host").clone()
}

fn replace_owner(sim: &mut Simulation) {
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(8), "the next owner", |sim| sim.owner().is_some());
    sim.run(ms(500));
}

fn renamed(version: u64) -> Configuration {
    let mut next = configuration(version);
    next.queues[0].name = "parcels".to_owned();
    next
}

fn exchanged(version: u64) -> Configuration {
    let mut next = configuration(version);
    next.queues[0].name = "urgent".to_owned();
    next.queues[1].name = "batch".to_owned();
    next
}

/// A queue gets another name. Guards against jobs that are looked for under the name of their admission.
#[test]
fn renamed_queue() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    apply(&mut sim, renamed(3));
    check_visible(&mut sim, "batch", State::Running);
    check_completes(&mut sim, "batch", &["w0", "w1"]);
}

/// A job of a renamed queue is cancelled, also after a change of owner.
#[test]
fn cancelled_after_rename() {
    for takeover in [false, true] {
        let mut sim = settled();
        submit(&mut sim, "batch");
        apply(&mut sim, renamed(3));
        if takeover {
            replace_owner(&mut sim);
        }
        check_cancels(&mut sim, "batch");
    }
}

/// A successor that knows only the new name goes on with the job. Guards against steps that wait for a queue of the old name.
#[test]
fn renamed_before_takeover() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    apply(&mut sim, renamed(3));
    replace_owner(&mut sim);
    check_visible(&mut sim, "batch", State::Running);
    check_completes(&mut sim, "batch", &["w0", "w1"]);
}

/// Two queues of different pools exchange their names. Guards against later steps that start in the other queue's pool, and
/// against jobs that are found at the other queue's prefix.
#[test]
fn exchanged_names() {
    for takeover in [false, true] {
        let mut sim = settled();
        submit(&mut sim, "batch");
        apply(&mut sim, exchanged(3));
        if takeover {
            replace_owner(&mut sim);
        }
        check_visible(&mut sim, "batch", State::Running);
        let host = any_host(&sim);
        for action in [Action::Read, Action::Cancel] {
            assert_eq!(ask(&mut sim, &host, "urgent", Some("key-a"), action), Answer::NoJob);
        }
        check_completes(&mut sim, "batch", &["w0", "w1"]);
    }
}

/// A queue is removed, and added again under another name, with a change of owner in between.
#[test]
fn removed_and_added() {
    for takeover in [false, true] {
        let mut sim = settled();
        submit(&mut sim, "batch");
        let mut without = configuration(3);
        without.queues.remove(0);
        apply(&mut sim, without);
        assert_eq!(ask(&mut sim, "a", "batch", Some("key-a"), Action::Read), Answer::NoQueue);
        if takeover {
            replace_owner(&mut sim);
        }
        apply(&mut sim, renamed(4));
        check_visible(&mut sim, "batch", State::Running);
        check_completes(&mut sim, "batch", &["w0", "w1"]);
    }
}

/// While its queue is removed, a job is still found if a shorter prefix takes the requests.
#[test]
fn shorter_prefix() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut shorter = configuration(3);
    shorter.queues[0].name = "rest".to_owned();
    shorter.queues[0].prefix = "/".to_owned();
    shorter.queues[0].allow_anonymous = true;
    apply(&mut sim, shorter);
    check_visible(&mut sim, "batch", State::Running);
    // The queue that takes the request needs no key, but the job's queue did.
    assert_eq!(ask(&mut sim, "a", "batch", None, Action::Read), Answer::NoJob);
    check_cancels(&mut sim, "batch");
}

/// A queue keeps its name and gets another prefix: its jobs are found there.
#[test]
fn moved_prefix() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut moved = configuration(3);
    moved.queues[0].prefix = "/parcels/".to_owned();
    apply(&mut sim, moved);
    check_visible(&mut sim, "parcels", State::Running);
    check_completes(&mut sim, "parcels", &["w0", "w1"]);
}

/// A queue of another pool takes the prefix of a removed one: jobs stay in their pool.
#[test]
fn replaced_queue() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut replaced = renamed(3);
    replaced.queues[0].policy.pool = "press".to_owned();
    apply(&mut sim, replaced);
    check_visible(&mut sim, "batch", State::Running);
    check_completes(&mut sim, "batch", &["w0", "w1"]);
}

/// A queue gets another pool and then another name. Guards against tasks that wait for workers of a pool that is gone.
#[test]
fn pool_and_name() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut next = renamed(3);
    next.pools.retain(|pool| pool.name == "press");
    next.queues.iter_mut().for_each(|queue| queue.policy.pool = "press".to_owned());
    apply(&mut sim, next);
    replace_owner(&mut sim);
    check_completes(&mut sim, "batch", &["w0", "w1", "w2"]);
    assert_eq!(sim.workers["w2"].starts.len(), 2);
}

/// A queue that is opened to callers without a key shows them the jobs that were accepted before.
#[test]
fn opened_queue() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    assert_eq!(ask(&mut sim, "a", "batch", None, Action::Read), Answer::BadKey);
    let mut opened = renamed(3);
    opened.queues[0].allow_anonymous = true;
    apply(&mut sim, opened);
    for host in ["a", "b", "c"] {
        let answer = ask(&mut sim, host, "batch", None, Action::Read);
        assert_eq!(answer, Answer::State(State::Running));
    }
    check_visible(&mut sim, "batch", State::Running);
    assert_eq!(ask(&mut sim, "b", "batch", None, Action::Cancel), Answer::Cancelled);
}

/// Jobs count as waiting at the prefix of their queue after two queues have exchanged their names.
#[test]
fn waiting_count() {
    let mut sim = settled();
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    for id in 0..5 {
        sim.submit("a", "batch", 0x70 + id, vec![step(4, 60_000)]);
        sim.run(ms(200));
    }
    let waiting = |sim: &mut Simulation, host: &str, queue: &str| {
        let request = sim.request(host, &format!("/{queue}/"), Some("key-a"), Action::Read);
        sim.run(ms(200));
        sim.answers[&request].clone()
    };
    assert_eq!(waiting(&mut sim, "b", "batch"), Answer::Waiting(3));
    apply(&mut sim, exchanged(3));
    for host in ["a", "b", "c"] {
        assert_eq!(waiting(&mut sim, host, "batch"), Answer::Waiting(3));
        assert_eq!(waiting(&mut sim, host, "urgent"), Answer::Waiting(0));
    }
}

/// Stores a job as an earlier version did, and tells the owner of it.
fn store_earlier(sim: &mut Simulation) {
    let second = Step { after: vec![0], ..step(2, 300) };
    let stored = Job {
        queue: "batch".to_owned(),
        team: Some("a".to_owned()),
        policy: configuration(2).queues[0].policy.clone(),
        epoch: 1,
        ..job(vec![step(2, 6000), second])
    };
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(6000));
    let bytes = encode(&stored).expect("it can be encoded");
    sim.store.put(Table::Jobs, &format!("{ID:016x}"), Content::Bytes(bytes));
    let owner = sim.owner().expect("there is an owner");
    let peer = if owner == "a" { "b" } else { "a" };
    sim.send_message(&owner, peer, Message::Submitted { id: ID, job: Box::new(stored) });
    sim.run(ms(500));
    assert_eq!(sim.starts_of_job(ID), 2);
}

/// Jobs that an earlier version stored, which tell no prefix, are found after their queue has got another name or has
/// exchanged it, and go on in their pool.
#[test]
fn earlier_versions() {
    for next in [renamed(3), exchanged(3)] {
        for takeover in [false, true] {
            let mut sim = settled();
            store_earlier(&mut sim);
            check_visible(&mut sim, "batch", State::Running);
            apply(&mut sim, next.clone());
            if takeover {
                replace_owner(&mut sim);
            }
            check_visible(&mut sim, "batch", State::Running);
            check_completes(&mut sim, "batch", &["w0", "w1"]);
        }
        let mut sim = settled();
        store_earlier(&mut sim);
        apply(&mut sim, next.clone());
        check_cancels(&mut sim, "batch");
    }
}

/// A team gets another name and keeps its key. Its callers see their jobs, and its quota holds for the runs from before.
#[test]
fn renamed_team() {
    for takeover in [false, true] {
        let mut sim = settled();
        sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
        let action = || Action::Submit(Ok(Box::new(job(vec![step(4, 60_000)]))));
        assert_eq!(ask(&mut sim, "a", "batch", Some("key-b"), action()), Answer::Accepted);
        assert_eq!(sim.starts_of_job(ID), 3, "the quota is three cores");
        let mut next = configuration(3);
        next.teams[1].name = "z".to_owned();
        apply(&mut sim, next);
        if takeover {
            replace_owner(&mut sim);
        }
        for host in sim.hosts.keys().cloned().collect::<Vec<_>>() {
            let own = ask(&mut sim, &host, "batch", Some("key-b"), Action::Read);
            assert_eq!(own, Answer::State(State::Running));
            let foreign = ask(&mut sim, &host, "batch", Some("key-a"), Action::Read);
            assert_eq!(foreign, Answer::NoJob);
        }
        let host = any_host(&sim);
        let second = sim.request(&host, "/batch/0000000000000071", Some("key-b"), action());
        sim.run(ms(8000));
        assert!(sim.answers.contains_key(&second));
        assert_eq!(sim.starts_of_job(ID) + sim.starts_of_job(0x71), 3);
        let cancelled = ask(&mut sim, &host, "batch", Some("key-b"), Action::Cancel);
        assert_eq!(cancelled, Answer::Cancelled);
    }
}

/// Two teams exchange their names. Guards against a team that sees and cancels the jobs of the other one.
#[test]
fn exchanged_teams() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut next = configuration(3);
    next.teams[0].name = "b".to_owned();
    next.teams[1].name = "a".to_owned();
    apply(&mut sim, next);
    check_visible(&mut sim, "batch", State::Running);
    replace_owner(&mut sim);
    check_visible(&mut sim, "batch", State::Running);
}

/// A team replaces its key. Its callers see the jobs that were submitted with the old one.
#[test]
fn replaced_key() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let mut next = renamed(3);
    next.teams[0].keys = vec!["key-c".to_owned()];
    apply(&mut sim, next);
    let own = ask(&mut sim, "b", "batch", Some("key-c"), Action::Read);
    assert_eq!(own, Answer::State(State::Running));
    assert_eq!(ask(&mut sim, "b", "batch", Some("key-b"), Action::Cancel), Answer::NoJob);
}

/// What a host stores and tells about a job ends with its origin, which the decoder of an earlier version does not read.
#[test]
fn origin_of_stored_job() {
    let mut sim = settled();
    submit(&mut sim, "batch");
    let Some(Content::Bytes(bytes)) = sim.store.content(Table::Jobs, &format!("{ID:016x}")) else {
        panic!("the job is not stored");
    };
    let stored: Job = decode(&bytes).expect("a job");
    let origin = stored.origin.clone().expect("the row has an origin");
    assert_eq!(origin.address.prefix, "/batch/");
    assert!(!bytes.windows(5).any(|window| window == b"key-a"), "the row contains the key");
    let earlier = encode(&Job { origin: None, ..stored }).expect("it can be encoded");
    assert!(bytes.starts_with(&earlier));
    assert_eq!(decode::<Job>(&earlier).expect("a job of an earlier version").origin, None);
    assert_eq!(sim.starts(task(ID, 0, 0)), 1);
}
