//! Jobs that are submitted again under their identifier after their retention. Guards against rows of the former job, and late
//! deletions of them, that are taken for those of the present one.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::Table;
use shallotpost_fleet::progress::State;
use support::store::Fault;
use support::{Simulation, ms, step};

const ID: JobId = 0x1000;

/// Time within which the rows of an ended job are deleted.
const DELETED: Duration = Duration::from_secs(140);

fn has_row(sim: &Simulation, table: Table) -> bool {
    sim.store.has(table, &format!("{ID:016x}"))
}

/// Runs a job and lets time pass until its row is deleted.
fn deleted() -> Simulation {
    let mut sim = Simulation::settled(2);
    sim.submit("a", "batch", ID, vec![step(2, 300)]);
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.state("a", "batch", ID), Some(State::Completed));
    sim.run_until(DELETED, "the deletion", |sim| !has_row(sim, Table::Jobs));
    sim
}

/// Submits the job again and lets its two tasks start.
fn submit_again(sim: &mut Simulation) {
    sim.submit_lasting("batch", ID, vec![step(2, 20_000)], Duration::from_secs(20));
    sim.wait_for_start(ID, 2);
}

/// Kills the owner, starts its process again once there is a new one, and returns the new owner.
fn replace_owner(sim: &mut Simulation) -> String {
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
    sim.start_host(&owner);
    sim.run(Duration::from_secs(1));
    sim.owner().expect("there is an owner")
}

/// The answer to the deletion was lost. The owner took the present job for the former one, and deleted its row when it tried
/// again.
#[test]
fn repeated_deletion() {
    let mut sim = Simulation::settled(2);
    sim.submit("a", "batch", ID, vec![step(2, 300)]);
    sim.run(Duration::from_secs(120));
    sim.store.fault = Fault::AnswerLost;
    for _ in 0..1000 {
        if has_row(&sim, Table::Jobs) {
            sim.run(ms(10));
        }
    }
    sim.run(ms(5));
    sim.store.fault = Fault::None;
    assert!(!has_row(&sim, Table::Jobs), "the row is deleted");
    sim.submit_lasting("batch", ID, vec![step(2, 20_000)], Duration::from_secs(20));
    sim.run(Duration::from_secs(12));
    assert!(has_row(&sim, Table::Jobs), "the row of the present job");
    assert_eq!(sim.starts_of_job(ID), 4, "starts of both jobs");
    assert_eq!(sim.state("a", "batch", ID), Some(State::Running));
}

/// The owner ended between the deletion of a job and that of its progress, which stayed for good. After the next change of
/// owner, the present job was shown as completed and ran no more.
#[test]
fn progress_without_a_job() {
    let mut sim = deleted();
    replace_owner(&mut sim);
    sim.run(Duration::from_secs(2));
    assert!(!has_row(&sim, Table::Progress), "the progress of a deleted job");
    submit_again(&mut sim);
    let host = replace_owner(&mut sim);
    assert_eq!(sim.state(&host, "batch", ID), Some(State::Running));
}

/// The progress of many jobs waited for its deletion. When it was the turn of a job that had been submitted again, that of the
/// present job was deleted, and the next owner started its tasks again.
#[test]
fn submitted_before_the_progress_is_deleted() {
    let mut sim = Simulation::settled(8);
    let ids: Vec<JobId> = (0..64).map(|part| part << 58 | ID).collect();
    for id in &ids {
        sim.submit("a", "batch", *id, vec![step(1, 300)]);
    }
    let key = |id: &JobId| format!("{id:016x}");
    let last = ids.last().expect("an identifier");
    sim.run(Duration::from_secs(10));
    sim.run_until(DELETED, "the deletion", |sim| !sim.store.has(Table::Jobs, &key(last)));
    sim.run(ms(5));
    assert!(sim.store.has(Table::Progress, &key(last)), "the progress is still there");
    sim.submit("a", "batch", *last, vec![step(1, 300)]);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.starts_of_job(*last), 2, "starts of both jobs");
    let host = replace_owner(&mut sim);
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.state(&host, "batch", *last), Some(State::Completed));
    assert_eq!(sim.starts_of_job(*last), 2, "starts of both jobs after a takeover");
}
