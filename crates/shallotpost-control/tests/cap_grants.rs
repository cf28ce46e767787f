//! Guards grants of team caps: single steps, and several shards that compete for one row.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use shallotpost_control::configuration::cap::CapRow;
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_control::scheduler::grants::{Demand, GrantState, HYSTERESIS, Plan};

const SECOND: Duration = Duration::from_secs(1);

fn shard(index: u32) -> Shard {
    Shard { data_centre: "north".to_owned(), index }
}

fn all(amount: u64) -> Size {
    Size::from_parts([amount; 4])
}

fn demand(booked: u64, waiting: u64, largest: u64) -> Demand {
    let target = all(u64::MAX);
    Demand { booked: all(booked), waiting: all(waiting), largest: all(largest), target }
}

fn row(cap: u64, grants: &[u64]) -> CapRow {
    let grants = grants.iter().zip(0..).filter(|(grant, _)| **grant > 0);
    let grants = grants.map(|(grant, index)| (shard(index), all(*grant))).collect();
    CapRow { cap: all(cap), grants, ..CapRow::default() }
}

/// Guards against a wrong step of shard 0 in each situation.
#[test]
fn single_steps() {
    let max = u64::MAX;
    // Name, cap, grants of the shards, demand, seconds since the acquisition, next own grant, lack, limit, stop.
    let cases = [
        ("raise with half as headroom", 100, vec![0, 10], demand(0, 20, 5), 0, 30, 0, 0, 0),
        ("headroom of the largest task", 100, vec![0, 10], demand(0, 20, 16), 0, 36, 0, 0, 0),
        ("raise within the cap", 100, vec![10, 85], demand(10, 20, 5), 0, 15, 16, 10, 0),
        ("no room", 100, vec![10, 90], demand(10, 20, 5), 0, 10, 32, 10, 0),
        ("no need", 100, vec![30, 10], demand(10, 20, 5), 0, 30, 0, 30, 0),
        ("unused, too early", 100, vec![60, 10], demand(10, 10, 5), 4, 60, 0, 60, 0),
        ("unused", 100, vec![60, 10], demand(10, 10, 5), 5, 30, 0, 30, 0),
        ("no demand", 100, vec![60, 10], demand(0, 0, 0), 5, 0, 0, 0, 0),
        ("cap lowered, part unused", 40, vec![50, 30], demand(10, 90, 5), 0, 20, 64, 20, 0),
        ("cap lowered, all booked", 40, vec![50, 30], demand(50, 0, 0), 0, 50, 0, 50, 30),
        ("cap lowered, below the fair part", 40, vec![10, 70], demand(10, 0, 0), 0, 10, 0, 10, 0),
        ("cap of zero", 0, vec![10, 5], demand(10, 5, 5), 0, 10, 0, 10, 10),
        ("runs without a grant", 40, vec![0, 30], demand(15, 0, 0), 0, 10, 8, 0, 5),
        ("no cap", max, vec![0, max], demand(0, 1, 1), 0, max, 0, 0, 0),
        ("no cap any more", max, vec![5, 5], demand(5, 5, 1), 0, max, 0, 5, 0),
        ("cap set", 10, vec![max, max], demand(3, 9, 1), 0, 5, 8, 5, 0),
    ];
    for (name, cap, grants, demand, age, grant, unmet, limit, stop) in cases {
        let start = Instant::now();
        let mut grant_state = GrantState::new(shard(0), start);
        grant_state.record_row(row(cap, &grants), 7);
        let plan = grant_state.plan(start, &demand);
        let plan = if age > 0 { grant_state.plan(start + SECOND * age, &demand) } else { plan };
        let next = plan.write.as_ref().map_or(row(cap, &grants), |change| change.row.clone());
        assert_eq!(next.grant(&shard(0)), all(grant), "{name}");
        assert_eq!(next.unmet.get(&shard(0)).copied().unwrap_or(Size::ZERO), all(unmet), "{name}");
        assert_eq!(next.grant(&shard(1)), all(grants[1]), "{name}: grant of another shard");
        assert_eq!((plan.limit, plan.stop), (all(limit), all(stop)), "{name}");
        assert!(plan.write.is_none_or(|change| change.version == 7), "{name}");
    }
}

/// Guards against booking beyond a lowered grant while the outcome of the write is open, and against losing the write.
#[test]
fn limit_follows_the_outcome_of_a_lowering_write() {
    let unknown = || Err(WriteFailure::Unknown);
    let conflict = || Err(WriteFailure::Conflict(Vec::new()));
    // Name, outcome, version and own grant of the read that follows, limit before and after the read, whether the same
    // write follows.
    let cases = [
        ("open", None, None, 30, 30, false),
        ("open, newer read", None, Some((8, 60)), 30, 30, false),
        ("done", Some(Ok(())), None, 30, 30, false),
        ("done, older read", Some(Ok(())), Some((7, 60)), 30, 30, false),
        ("unknown", Some(unknown()), None, 30, 30, false),
        ("unknown, not yet written", Some(unknown()), Some((7, 60)), 30, 30, true),
        ("unknown, written", Some(unknown()), Some((8, 30)), 30, 30, false),
        ("unknown, overtaken", Some(unknown()), Some((8, 60)), 30, 60, false),
        ("expired", Some(Err(WriteFailure::Expired)), None, 60, 60, false),
        ("conflict", Some(conflict()), Some((8, 60)), 60, 60, false),
    ];
    for (name, outcome, read, before, after, repeats) in cases {
        let start = Instant::now();
        let mut grant_state = GrantState::new(shard(0), start);
        grant_state.record_row(row(100, &[60, 10]), 7);
        grant_state.plan(start, &demand(10, 10, 5));
        let lowering = grant_state.plan(start + HYSTERESIS, &demand(10, 10, 5)).write;
        assert_eq!(lowering.as_ref().map(|change| change.row.grant(&shard(0))), Some(all(30)));
        if let Some(outcome) = &outcome {
            grant_state.record_write_result(outcome.as_ref().copied());
        }
        let risen = demand(10, 50, 5);
        let stale = grant_state.needs_read();
        let plan = grant_state.plan(start + HYSTERESIS, &risen);
        assert_eq!(plan.limit, all(before), "{name}: limit before the read");
        assert!(!stale || plan.write.is_none(), "{name}: write without a read");
        if let Some((version, own)) = read {
            grant_state.record_row(row(100, &[own, 10]), version);
        }
        let plan = grant_state.plan(start + HYSTERESIS, &risen);
        assert_eq!(plan.limit, all(after), "{name}: limit after the read");
        assert_eq!(plan.write.is_some() && plan.write == lowering, repeats, "{name}");
    }
}

/// Guards against an answer that brings back a row older than one that was read, and against starts above a lowered cap
/// while the write that returns the grant cannot be sent.
#[test]
fn newer_rows_and_lowered_caps_count_at_once() {
    let start = Instant::now();
    let mut grant_state = GrantState::new(shard(0), start);
    grant_state.record_row(row(100, &[0, 10]), 7);
    let raise = grant_state.plan(start, &demand(0, 20, 5)).write.expect("a raise");
    let mut lowered = raise.row;
    lowered.cap = all(20);
    grant_state.record_row(lowered, 9);
    grant_state.record_write_result(Ok(()));
    let plan = grant_state.plan(start, &demand(0, 20, 5));
    assert_eq!((plan.limit, plan.write.map(|change| change.version)), (all(10), Some(9)));
    grant_state.record_write_result(Err(&WriteFailure::Conflict(Vec::new())));
    let plan = grant_state.plan(start, &demand(0, 20, 5));
    assert_eq!((plan.limit, plan.write), (all(10), None));
}

/// Guards against shards that each hold a fraction of the capacity for one task, too small to use.
#[test]
fn idle_shard_takes_room_for_a_whole_task_only() {
    for (room, taken) in [(2, 0), (4, 4)] {
        let start = Instant::now();
        let mut contended = row(8, &[0, 8 - room]);
        contended.unmet.insert(shard(1), all(4));
        let mut grant_state = GrantState::new(shard(0), start);
        grant_state.record_row(contended, 7);
        let change = grant_state.plan(start, &demand(0, 8, 4)).write.expect("a change");
        assert_eq!(change.row.grant(&shard(0)), all(taken), "room of {room}");
    }
}

/// Guards against incompatible changes of the stored row format.
#[test]
fn row_keeps_its_published_form() {
    let text = r#"{"cap":{"processors_milli":9,"memory_mib":9,"accelerators":9,"slots":9},"grants":{"north/0":{"processors_milli":4,"memory_mib":4,"accelerators":4,"slots":4}}}"#;
    assert_eq!(serde_json::from_str::<CapRow>(text).expect("a row"), row(9, &[4]));
    assert_eq!(serde_json::to_string(&row(9, &[4])).expect("text"), text);
}

/// The owner of one shard, with the amounts of its tasks.
struct Owner {
    grant_state: GrantState,
    booked: u64,
    waiting: u64,
    task: u64,
    last: Option<Plan>,
}

/// Several shards that share one cap row.
struct GrantSimulation {
    now: Instant,
    row: CapRow,
    version: u64,
    owners: Vec<Owner>,
    /// Whether the cap was lowered below the sum of grants and the sum has not come within it yet.
    over_cap: bool,
}

impl GrantSimulation {
    fn new(cap: u64, tasks: &[u64]) -> GrantSimulation {
        let now = Instant::now();
        let owner = |(index, task): (u32, &u64)| {
            let grant_state = GrantState::new(shard(index), now);
            Owner { grant_state, booked: 0, waiting: 0, task: *task, last: None }
        };
        let owners = (0..).zip(tasks).map(owner).collect();
        GrantSimulation { now, row: row(cap, &[]), version: 1, owners, over_cap: false }
    }

    /// Sum of the grants; saturates, since grants without a cap are unlimited.
    fn sum(&self) -> u64 {
        self.row.grants.values().fold(0, |sum, grant| grant.slots.saturating_add(sum))
    }

    fn set_cap(&mut self, cap: u64) {
        self.row.cap = all(cap);
        self.version += 1;
        self.over_cap = self.sum() > cap;
    }

    /// Plans a shard's next step and returns its write.
    fn plan(&mut self, index: usize) -> Option<shallotpost_control::scheduler::grants::GrantWrite> {
        let owner = &mut self.owners[index];
        let demand = demand(owner.booked, owner.waiting, owner.task.min(owner.waiting));
        let mut plan = owner.grant_state.plan(self.now, &demand);
        let write = plan.write.take();
        owner.last = Some(plan);
        write
    }

    fn read(&mut self, index: usize) {
        self.owners[index].grant_state.record_row(self.row.clone(), self.version);
    }

    fn apply(&mut self, change: &shallotpost_control::scheduler::grants::GrantWrite) -> bool {
        let applied = change.version == self.version;
        if applied {
            let before = self.sum();
            self.row = change.row.clone();
            self.version += 1;
            let cap = self.row.cap.slots;
            assert!(
                self.sum() <= cap || (self.over_cap && self.sum() <= before),
                "sum over the cap"
            );
            self.over_cap &= self.sum() > cap;
        }
        applied
    }

    /// Starts what fits into the limit of the last plan, at most `max_tasks` tasks.
    fn start(&mut self, index: usize, max_tasks: u64) {
        let owner = &mut self.owners[index];
        let limit = owner.last.as_ref().map_or(0, |plan| plan.limit.slots);
        let fits = limit.saturating_sub(owner.booked) / owner.task;
        let count = fits.min(owner.waiting / owner.task).min(max_tasks);
        owner.booked += count * owner.task;
        owner.waiting -= count * owner.task;
        self.check();
    }

    fn check(&self) {
        for (owner, index) in self.owners.iter().zip(0..) {
            assert!(owner.booked <= self.row.grant(&shard(index)).slots, "booked beyond the grant");
        }
    }

    /// Reads, plans and starts for one shard, and plans again with what it started.
    fn step(&mut self, index: usize) {
        for start in [true, false] {
            self.read(index);
            if let Some(change) = self.plan(index) {
                assert!(self.apply(&change));
                self.owners[index].grant_state.record_write_result(Ok(()));
                // Plans again for the limit that follows from the write; a further write is not sent.
                if self.plan(index).is_some() {
                    self.owners[index].grant_state.record_write_result(Err(&WriteFailure::Expired));
                }
            }
            if start {
                self.start(index, u64::MAX);
            }
        }
    }

    /// Simulates one second: each shard ends `ends` tasks, stops what the plan demands, and makes a step.
    fn round(&mut self, ends: impl Fn(usize) -> u64) {
        for index in 0..self.owners.len() {
            let owner = &mut self.owners[index];
            let stop = owner.last.as_ref().map_or(0, |plan| plan.stop.slots);
            owner.booked =
                owner.booked.saturating_sub(ends(index) * owner.task).saturating_sub(stop);
            self.step(index);
        }
        self.now += SECOND;
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit(usize, u64),
    End(usize),
    Start(usize),
    Read(usize),
    /// A write of the shard and how it is delivered; 3 s pass first if the flag is set.
    Write(usize, Delivery, bool),
    Cap(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Answered,
    LostAfter,
    LostBefore,
    Delayed,
}

fn step() -> impl Strategy<Value = Step> {
    let delivery = prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::LostAfter),
        1 => Just(Delivery::LostBefore),
        1 => Just(Delivery::Delayed),
    ];
    prop_oneof![
        3 => (0..3usize, 1..40u64).prop_map(|(index, count)| Step::Submit(index, count)),
        3 => (0..3usize).prop_map(Step::End),
        4 => (0..3usize).prop_map(Step::Start),
        4 => (0..3usize).prop_map(Step::Read),
        6 => (0..3usize, delivery, any::<bool>()).prop_map(|(index, delivery, slow)| Step::Write(index, delivery, slow)),
        1 => prop_oneof![0..80u64, Just(u64::MAX)].prop_map(Step::Cap),
    ]
}

/// Guards against a sum of grants above the cap and against work beyond the own grant, over random interleavings of
/// three shards with lost and late answers. The checks are in `apply` and `check`.
#[test]
fn grants_never_exceed_the_cap() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..150);
    let result = runner.run(&steps, |steps| {
        let mut simulation = GrantSimulation::new(50, &[1, 3, 7]);
        let mut late = [None, None, None];
        for step in steps {
            match step {
                Step::Submit(index, count) => {
                    simulation.owners[index].waiting += count * simulation.owners[index].task;
                }
                Step::End(index) => {
                    let owner = &mut simulation.owners[index];
                    owner.booked = owner.booked.saturating_sub(owner.task);
                }
                Step::Start(index) => {
                    // Plans first, as the scheduler does; the write expires in the queue.
                    if simulation.plan(index).is_some() {
                        simulation.owners[index]
                            .grant_state
                            .record_write_result(Err(&WriteFailure::Expired));
                    }
                    simulation.start(index, 3);
                }
                Step::Read(index) => simulation.read(index),
                Step::Write(index, delivery, slow) => {
                    simulation.now += if slow { SECOND * 3 } else { Duration::ZERO };
                    let change = simulation.plan(index);
                    // A delayed write arrives before the next one of the same shard is sent.
                    if let Some(earlier) = late[index].take() {
                        simulation.apply(&earlier);
                    }
                    let Some(change) = change else { continue };
                    let outcome = match delivery {
                        Delivery::Answered if simulation.apply(&change) => Ok(()),
                        Delivery::Answered => Err(WriteFailure::Conflict(Vec::new())),
                        Delivery::LostAfter => {
                            simulation.apply(&change);
                            Err(WriteFailure::Unknown)
                        }
                        Delivery::LostBefore => Err(WriteFailure::Unknown),
                        Delivery::Delayed => {
                            late[index] = Some(change);
                            Err(WriteFailure::Unknown)
                        }
                    };
                    simulation.owners[index]
                        .grant_state
                        .record_write_result(outcome.as_ref().copied());
                }
                Step::Cap(cap) => simulation.set_cap(cap),
            }
            simulation.check();
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against a shard that gets nothing while another one keeps the whole cap with an endless queue, also where the
/// fair share is smaller than one task, and against a cap that is left unused.
#[test]
fn every_shard_gets_a_part_under_contention() {
    // Name, cap, task sizes, rounds that a task runs, least use in percent.
    let cases = [
        ("small tasks", 12, vec![1, 1, 1], 3, 95),
        ("short tasks", 12, vec![1, 1, 1], 1, 95),
        ("cap that cannot be divided", 5, vec![1, 1, 1], 3, 95),
        ("different tasks", 24, vec![1, 3, 6], 4, 75),
        ("fair part below a task", 8, vec![4, 4, 4], 7, 75),
        ("one task at a time", 4, vec![4, 4], 7, 50),
        ("one long task at a time", 4, vec![4, 4], 19, 50),
    ];
    for (name, cap, tasks, runs, percent) in cases {
        for eager in 0..tasks.len() {
            let mut simulation = GrantSimulation::new(cap, &tasks);
            let mut ends = 0..;
            let mut round = |simulation: &mut GrantSimulation| {
                let ending = ends.next().is_some_and(|round| round % runs == 0);
                simulation.round(|_| u64::from(ending) * 1000);
                // One shard acts more often than the others.
                (0..2).for_each(|_| simulation.step(eager));
            };
            simulation.owners[eager].waiting = 1_000_000 * tasks[eager];
            (0..20).for_each(|_| round(&mut simulation));
            simulation.owners.iter_mut().for_each(|owner| owner.waiting = 1_000_000 * owner.task);
            let mut used = vec![0; tasks.len()];
            for _ in 0..400 {
                round(&mut simulation);
                for (used, owner) in used.iter_mut().zip(&simulation.owners) {
                    *used += owner.booked;
                }
            }
            let total: u64 = used.iter().sum();
            let least = used.iter().min().copied().unwrap_or(0);
            assert!(least * 2 * tasks.len() as u64 >= total, "{name}, {eager} eager: {used:?}");
            assert!(total * 100 >= cap * 400 * percent, "{name}, {eager} eager: {total} used");
        }
    }
}

/// Guards against grants that stay above a lowered cap, with and without contention before, and against stopping more
/// than necessary.
#[test]
fn lowered_cap_is_reached() {
    for (before, after) in [(90, 30), (90, 0), (u64::MAX, 30), (30, 29)] {
        let mut simulation = GrantSimulation::new(before, &[1, 3, 5]);
        simulation.owners.iter_mut().for_each(|owner| owner.waiting = 60 * owner.task);
        (0..20).for_each(|_| simulation.round(|_| 0));
        let booked = |simulation: &GrantSimulation| {
            simulation.owners.iter().map(|owner| owner.booked).sum::<u64>()
        };
        assert!(booked(&simulation) >= before.min(60) - 8);
        simulation.set_cap(after);
        (0..3).for_each(|_| simulation.round(|_| 0));
        assert!(simulation.sum() <= after, "{before} to {after}: {:?}", simulation.row);
        assert!(
            booked(&simulation) <= after && booked(&simulation) + 12 >= after,
            "{before} to {after}"
        );
    }
}

/// Guards against a grant that an idle shard keeps from a shard that lacks it.
#[test]
fn unused_grants_return_within_the_hysteresis() {
    let mut simulation = GrantSimulation::new(30, &[1, 1]);
    simulation.owners[0].waiting = 30;
    (0..3).for_each(|_| simulation.round(|_| 0));
    assert_eq!(simulation.owners[0].booked, 30);
    simulation.owners[0].booked = 0;
    simulation.owners[1].waiting = 30;
    let rounds = HYSTERESIS.as_secs() + 2;
    (0..rounds).for_each(|_| simulation.round(|_| 0));
    assert_eq!(simulation.owners[1].booked, 30);
    assert!(!simulation.row.grants.contains_key(&shard(0)));
}

/// Guards against a team that gets no grant any more after its row was deleted and created again.
#[test]
fn recreated_row() {
    let start = Instant::now();
    let mut grant_state = GrantState::new(shard(0), start);
    grant_state.record_row(row(100, &[10]), 40);
    assert!(grant_state.plan(start, &demand(10, 20, 5)).write.is_some());
    grant_state.record_write_result(Err(&WriteFailure::Conflict(Vec::new())));
    grant_state.record_row(row(20, &[]), 1);
    let change = grant_state.plan(start, &demand(0, 10, 5)).write.expect("a raise");
    assert_eq!((change.version, change.row.grant(&shard(0))), (1, all(15)));
}
