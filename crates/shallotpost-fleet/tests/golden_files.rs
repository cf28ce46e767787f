//! Golden files of stored rows and of messages between hosts. Guards against a version that cannot read the rows that an
//! earlier one stored, or the messages of a host that runs another version.
//!
//! Each line of a `.hex` file is one encoded value. No two neighbouring fields of one type have the same value in all
//! samples, and every variant of an enum occurs, so that exchanged fields or variants change the bytes.

mod support;

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallotpost_fleet::configuration::{
    Approval, Configuration, Limits, Pool, Queue, QueuePolicy, Team,
};
use shallotpost_fleet::host::{Freshness, Host, Settings};
use shallotpost_fleet::job::{Job, JobId, Schedule, StageId, Step, TaskId};
use shallotpost_fleet::message::{
    Heartbeat, Message, Query, QueryAnswer, WorkerCall, decode, encode,
};
use shallotpost_fleet::origin::{Address, Origin, digest};
use shallotpost_fleet::port::{
    Action, Answer, ApprovalError, ApprovalRequest, Content, Input, Output, Request, Row,
    StoreAnswer, StoreError, StoreRequest, Table, Ticket,
};
use shallotpost_fleet::progress::{
    Cause, Failure, Progress, StageProgress, State, StoredCrash, TaskCrashes,
};
use shallotpost_fleet::scheduler::{Bounds, StoredStart, UnreachableWorker};
use shallotpost_fleet::worker::{
    Call, EndReason, EndedRun, Error, Refusal, Registration, Report, Run, RunLists,
};
use shallotpost_protocol::size::Size;
use support::ms;
use support::store::Store;

/// Name and text of a golden file.
macro_rules! golden {
    ($name:literal) => {
        ($name, include_str!(concat!("golden/", $name)))
    };
}

type Golden = (&'static str, &'static str);

const JOB: JobId = 0x5c0e_7a21_d94b_36f8;

const STATES: [State; 5] =
    [State::Queued, State::Running, State::Completed, State::Failed, State::Cancelled];

const TABLES: [Table; 6] =
    [Table::Operator, Table::Workers, Table::Jobs, Table::Progress, Table::Ownership, Table::Hosts];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encoded values of a file.
fn values((name, text): Golden) -> Vec<Vec<u8>> {
    let byte = |line: &str, at: usize| u8::from_str_radix(&line[at..at + 2], 16).expect(name);
    text.lines().map(|line| (0..line.len()).step_by(2).map(|at| byte(line, at)).collect()).collect()
}

/// The only encoded value of a file.
fn value(golden: Golden) -> Vec<u8> {
    let mut values = values(golden);
    assert_eq!(values.len(), 1, "{}", golden.0);
    values.remove(0)
}

/// Asserts that the encoded values are those of the file.
fn check_bytes(golden: Golden, encoded: &[Vec<u8>]) {
    let (name, text) = golden;
    for (position, (bytes, line)) in encoded.iter().zip(text.lines()).enumerate() {
        assert_eq!(hex(bytes), line, "{name}, line {}", position + 1);
    }
    assert_eq!(encoded.len(), text.lines().count(), "number of values in {name}");
}

/// Asserts that the samples are encoded as the lines of the file, and the lines decoded as the samples.
fn check<T: Serialize + DeserializeOwned + Debug + PartialEq>(golden: Golden, samples: &[T]) {
    let encoded: Vec<Vec<u8>> =
        samples.iter().map(|sample| encode(sample).expect("it can be encoded")).collect();
    check_bytes(golden, &encoded);
    for (sample, bytes) in samples.iter().zip(values(golden)) {
        let decoded: T = decode(&bytes).expect(golden.0);
        assert_eq!(decoded, *sample, "{}", golden.0);
    }
}

fn text(value: &str) -> String {
    value.to_owned()
}

fn stage() -> StageId {
    StageId { job: JOB, occurrence: 2, step: 1 }
}

fn task(index: u32) -> TaskId {
    stage().task(index)
}

fn size() -> Size {
    Size { processors_milli: 1500, memory_mib: 300, accelerators: 2, slots: 1 }
}

fn approval() -> Approval {
    Approval { per_call: ms(21), per_worker: Duration::from_micros(300), validity: ms(2000) }
}

fn policy(approval: Option<Approval>) -> QueuePolicy {
    QueuePolicy {
        pool: text("intake"),
        priority: 2,
        attempts_max: 3,
        stretch: 1.5,
        target: ms(250),
        approval,
    }
}

/// A step whose flags are one bit of their numbers; over three bits no two flags agree.
fn step(bit: u32) -> Step {
    let flag = |number: u32| number >> bit & 1 == 1;
    Step {
        tasks: 20 + bit,
        size: size(),
        estimate: ms(900),
        after: (0..bit as u16).collect(),
        checkpoints: flag(1),
        gang: flag(2),
        one_rack: flag(3),
        label: text("a"),
        data_rack: text("r1-3"),
        per_worker_max: 4,
        duplicates: flag(4),
        long_running: flag(5),
        image: text("image-7"),
        latency_target: ms(40),
        best_effort: flag(6),
        unavailable_max: 5,
    }
}

fn job() -> Job {
    Job {
        queue: text("batch"),
        team: Some(text("team-a")),
        specification: text("opaque"),
        steps: vec![step(0), step(1), step(2)],
        schedule: Some(Schedule {
            occurrences: 3,
            first_unix_ms: 1_700_000_000_000,
            interval: Duration::from_secs(60),
        }),
        policy: policy(Some(approval())),
        epoch: 7,
        origin: None,
    }
}

fn address() -> Address {
    Address { host: text("fleet.example"), prefix: text("/batch/") }
}

fn origin() -> Origin {
    Origin { address: address(), key: Some(digest("key-1")) }
}

fn job_without_options() -> Job {
    Job { team: None, steps: vec![step(0)], schedule: None, policy: policy(None), ..job() }
}

fn progress(state: State) -> Progress {
    Progress {
        state,
        occurrences_done: 2,
        stages: vec![
            StageProgress {
                occurrence: 3,
                step: 1,
                complete: false,
                done: vec![0, 4, 300],
                failures: vec![(5, vec![11, 12]), (6, Vec::new())],
                checkpoints: vec![(7, text("00000bb8"))],
            },
            StageProgress { occurrence: 4, step: 0, complete: true, ..StageProgress::default() },
        ],
        crashes: Vec::new(),
        failure: None,
    }
}

fn progress_with_crashes() -> Progress {
    let crash = |run, isolated| StoredCrash { run, age_ms: 10, isolated, certain: false };
    let crashes = vec![
        TaskCrashes { occurrence: 3, step: 1, index: 5, crashes: vec![crash(13, false)] },
        TaskCrashes { occurrence: 4, step: 2, index: 300, crashes: vec![crash(7, true)] },
    ];
    Progress { crashes, ..progress(State::Running) }
}

fn progress_of_failed_job() -> Progress {
    let task = TaskId { stage: StageId { job: 0xbba6, occurrence: 4, step: 2 }, index: 300 };
    let failure = Failure { cause: Cause::Crashes, task, runs: vec![7, 33_554_433] };
    Progress { failure: Some(failure), ..progress(State::Failed) }
}

fn registration() -> Registration {
    Registration {
        pool: text("intake"),
        address: text("10.1.0.9:8700"),
        data_centre: text("kochi"),
        draining: false,
        capacity: Size { processors_milli: 16000, memory_mib: 32768, accelerators: 8, slots: 0 },
        labels: vec![text("a"), text("r1")],
        started_unix_ms: 1_700_000_000_017,
        drain_remaining: None,
    }
}

fn draining_registration() -> Registration {
    Registration { draining: true, drain_remaining: Some(ms(4500)), ..registration() }
}

fn queue(allow_anonymous: bool, approval: Option<Approval>) -> Queue {
    Queue {
        name: text("batch"),
        host: text("fleet.example"),
        prefix: text("/batch/"),
        allow_anonymous,
        policy: policy(approval),
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 9,
        queues: vec![queue(true, None), queue(false, Some(approval()))],
        pools: vec![
            Pool { name: text("intake"), spare: false },
            Pool { name: text("reserve"), spare: true },
        ],
        teams: vec![Team {
            name: text("team-a"),
            keys: vec![text("key-1"), text("key-2")],
            weight: 12.5,
            cap: size(),
        }],
        limits: Limits {
            body_max: 262_144,
            header_max: 16_384,
            header_timeout: ms(3000),
            idle_timeout: ms(15_000),
        },
    }
}

fn row(table: Table, content: Content) -> Row {
    Row { table, key: text("key"), version: 412, content }
}

/// Rows of all tables, with all kinds of content.
fn rows() -> Vec<Row> {
    vec![
        row(Table::Operator, Content::Configuration(Box::new(configuration()))),
        row(Table::Operator, Content::Evacuation { data_centre: text("kochi") }),
        row(Table::Operator, Content::Other),
        row(Table::Workers, Content::Worker(Box::new(registration()))),
        row(Table::Workers, Content::Worker(Box::new(draining_registration()))),
        row(Table::Workers, Content::Unreadable),
        row(Table::Jobs, Content::Deleted),
        row(Table::Progress, Content::Bytes(vec![0, 1, 255])),
        row(Table::Ownership, Content::Bytes(Vec::new())),
        row(Table::Hosts, Content::Deleted),
    ]
}

fn absent() -> Vec<UnreachableWorker> {
    vec![
        UnreachableWorker {
            worker: text("w1"),
            tasks: Some(vec![task(0), task(300)]),
            lease_expires_in: ms(4100),
        },
        UnreachableWorker { worker: text("w2"), tasks: None, lease_expires_in: ms(5200) },
    ]
}

#[test]
fn jobs() {
    check(golden!("job.hex"), &[job(), job_without_options()]);
}

/// The origin of a job ends its row, so earlier versions skip it.
#[test]
fn jobs_with_origin() {
    let anonymous = Origin { key: None, ..origin() };
    let samples = [
        Job { origin: Some(origin()), ..job() },
        Job { origin: Some(anonymous), ..job_without_options() },
    ];
    check(golden!("job_with_origin.hex"), &samples);
    let rows = values(golden!("job_with_origin.hex")).into_iter();
    for (row, earlier) in rows.zip(values(golden!("job.hex"))) {
        assert!(row.starts_with(&earlier));
    }
}

#[test]
fn progress_rows() {
    check(golden!("progress.hex"), &STATES.map(progress));
    check(golden!("state.hex"), &STATES);
}

/// Crashes stand behind the fields of earlier versions, which skip them, and rows without them are read too.
#[test]
fn progress_with_crashes_of_workers() {
    let written = progress_with_crashes().to_bytes().expect("a row");
    check_bytes(golden!("progress_with_crashes.hex"), std::slice::from_ref(&written));
    assert_eq!(Progress::from_bytes(&written).expect("a row"), progress_with_crashes());
    let earlier: Progress = decode(&written).expect("a row that earlier versions read");
    assert_eq!(earlier, progress(State::Running));
    for (state, bytes) in STATES.into_iter().zip(values(golden!("progress.hex"))) {
        assert_eq!(Progress::from_bytes(&bytes).expect("a row"), progress(state));
    }
}

/// Whether a crash is certain stands behind the crashes, and rows of earlier versions hold no certain ones.
#[test]
fn progress_with_certain_crashes() {
    let mut progress = progress_with_crashes();
    progress.crashes[1].crashes[0].certain = true;
    let written = progress.to_bytes().expect("a row");
    check_bytes(golden!("progress_with_certain_crashes.hex"), std::slice::from_ref(&written));
    assert_eq!(Progress::from_bytes(&written).expect("a row"), progress);
    let earlier = value(golden!("progress_with_crashes.hex"));
    assert!(written.starts_with(&earlier));
}

/// The cause of a failure stands behind the crashes, and earlier versions skip it.
#[test]
fn progress_with_failure() {
    let causes = [Cause::FailedRuns, Cause::Crashes];
    check(golden!("cause.hex"), &causes);
    let written = progress_of_failed_job().to_bytes().expect("a row");
    check_bytes(golden!("progress_with_failure.hex"), std::slice::from_ref(&written));
    assert_eq!(Progress::from_bytes(&written).expect("a row"), progress_of_failed_job());
    let earlier: Progress = decode(&written).expect("a row that earlier versions read");
    assert_eq!(earlier, progress(State::Failed));
}

#[test]
fn configurations() {
    check(golden!("configuration.hex"), &[configuration(), Configuration::default()]);
}

#[test]
fn registrations() {
    check(golden!("registration.hex"), &[registration(), draining_registration()]);
}

#[test]
fn absent_workers() {
    check(golden!("absent.hex"), &absent());
}

#[test]
fn store_rows() {
    check(golden!("table.hex"), &TABLES);
    check(golden!("row.hex"), &rows());
}

#[test]
fn beats_and_announcements() {
    let beat = Heartbeat {
        incarnation: 77,
        address: text("10.1.0.5:7180"),
        operator_version: 412,
        epoch: 5,
        owner: true,
        store_age: ms(120),
        commit_age: ms(350),
        stopping: false,
        processors_milli: 250,
    };
    let other = Heartbeat {
        owner: false,
        store_age: Duration::MAX,
        commit_age: Duration::MAX,
        stopping: true,
        ..beat.clone()
    };
    let messages = [
        Message::Heartbeat(beat),
        Message::Heartbeat(other),
        Message::GetOperatorRows,
        Message::OperatorRows { version: 412, rows: rows() },
        Message::Submitted { id: JOB, job: Box::new(job()) },
        Message::Submitted { id: JOB, job: Box::new(job_without_options()) },
        Message::Cancelled { id: JOB },
    ];
    check(golden!("message_announcements.hex"), &messages);
}

#[test]
fn questions_and_answers() {
    let ask = |query| Message::Query { call: 31, query };
    let tell = |answer| Message::QueryAnswer { call: 32, answer };
    let known =
        |state, team| QueryAnswer::State { state, team, queue: text("batch"), origin: None };
    let mut messages = vec![
        ask(Query::State { id: JOB }),
        ask(Query::Waiting { queue: text("batch"), address: None }),
        tell(known(State::Queued, Some(text("team-a")))),
        tell(QueryAnswer::Waiting(12)),
        tell(QueryAnswer::Unknown),
        tell(QueryAnswer::NotOwner),
    ];
    messages.extend(STATES.map(|state| tell(known(state, None))));
    check(golden!("message_questions.hex"), &messages);
}

/// The origin of a job and the address of a queue end the messages, so earlier versions skip them.
#[test]
fn origins_in_messages() {
    let samples = |origin: Option<Origin>, address| {
        let (state, team, queue) = (State::Running, Some(text("team-a")), text("batch"));
        let job = Box::new(Job { origin: origin.clone(), ..job() });
        [
            Message::Submitted { id: JOB, job },
            Message::Query { call: 31, query: Query::Waiting { queue: queue.clone(), address } },
            Message::QueryAnswer {
                call: 32,
                answer: QueryAnswer::State { state, team, queue, origin },
            },
        ]
    };
    check(golden!("message_origins.hex"), &samples(Some(origin()), Some(address())));
    for (earlier, bytes) in samples(None, None).iter().zip(values(golden!("message_origins.hex"))) {
        assert!(bytes.starts_with(&encode(earlier).expect("it can be encoded")));
    }
}

#[test]
fn relayed_store_calls() {
    let call = |request| Message::StoreCall { call: 33, request, timeout: ms(1200) };
    let result = |result| Message::StoreResult { call: 34, result };
    let mut messages = vec![
        call(StoreRequest::Transact {
            conditions: vec![(Table::Ownership, text("owner"), 8)],
            writes: vec![(Table::Progress, text("a1"), vec![1, 2])],
            deletes: vec![(Table::Jobs, text("a2"))],
        }),
        call(StoreRequest::Feed { table: Table::Jobs, after: 9, wait: ms(1500) }),
        result(Ok(StoreAnswer { rows: rows(), more: true, version: 413 })),
        result(Ok(StoreAnswer::default())),
        result(Err(StoreError::Conflict { rows: rows() })),
        result(Err(StoreError::NotExecuted)),
        result(Err(StoreError::Unanswered)),
        result(Err(StoreError::HistoryLost)),
        result(Err(StoreError::Rejected)),
    ];
    messages.extend(
        TABLES.map(|table| call(StoreRequest::Read { table, from: text("a1"), limit: 400 })),
    );
    check(golden!("message_store.hex"), &messages);
}

#[test]
fn relayed_approvals() {
    let request = ApprovalRequest { stage: stage(), workers: vec![text("w1"), text("w2")] };
    let ticket = Ticket { worker: text("w1"), ticket: text("c81e") };
    let messages = [
        Message::ApprovalCall { call: 35, request, timeout: ms(700) },
        Message::ApprovalResult { call: 36, result: Ok(vec![ticket]) },
        Message::ApprovalResult { call: 36, result: Err(ApprovalError::Busy) },
        Message::ApprovalResult { call: 36, result: Err(ApprovalError::Unanswered) },
    ];
    check(golden!("message_approval.hex"), &messages);
}

#[test]
fn relayed_worker_calls() {
    let call = WorkerCall {
        call: 37,
        address: text("10.1.4.2:8080"),
        worker: text("w1"),
        fence: 5121,
        request: Call::Stop { task: task(17), number: 3 },
        timeout: ms(700),
    };
    let report = Report { clock_ms: 482_113, started_unix_ms: Some(17), lists: None };
    let results = vec![
        (38, Ok(report)),
        (39, Err(Error::Refused(Refusal::Fence))),
        (40, Err(Error::OtherWorker)),
        (41, Err(Error::Unhealthy)),
        (42, Err(Error::Unreachable)),
        (43, Err(Error::Unanswered)),
    ];
    let messages = [Message::WorkerCalls(vec![call]), Message::WorkerResults(results)];
    check(golden!("message_worker.hex"), &messages);
}

#[test]
fn worker_calls() {
    let start = |checkpoint: &str, ticket| Call::Start {
        task: task(17),
        number: 2,
        specification: text("opaque"),
        until_ms: 486_000,
        checkpoint: text(checkpoint),
        ticket,
    };
    let calls = [
        start("00000bb8", Some(text("c81e"))),
        start("", None),
        Call::Stop { task: task(17), number: 3 },
        Call::RenewLease { until_ms: Some(9), acknowledged: 57, wait: ms(1000) },
        Call::RenewLease { until_ms: None, acknowledged: 57, wait: Duration::ZERO },
        Call::Throttle { task: task(17), number: 4, percent: 40 },
    ];
    check(golden!("worker_call.hex"), &calls);
}

#[test]
fn worker_reports() {
    let endings = [
        EndReason::Done,
        EndReason::Failed,
        EndReason::Stopped,
        EndReason::LeaseExpired,
        EndReason::GangBroken,
        EndReason::GangTimeout,
    ];
    let end = |(sequence, reason): (u64, EndReason)| EndedRun {
        sequence,
        task: task(9),
        number: 80,
        reason,
        checkpoint: text("00000bb8"),
    };
    let run = |gauge| Run { task: task(8), number: 5, checkpoint: text("x"), percent: 41.5, gauge };
    let lists = RunLists {
        running: vec![run(Some(12.5)), run(None)],
        ended: (58..).zip(endings).map(end).collect(),
    };
    let reports = [
        Report { clock_ms: 482_113, started_unix_ms: Some(17), lists: Some(lists) },
        Report { clock_ms: 482_113, started_unix_ms: None, lists: None },
    ];
    check(golden!("worker_report.hex"), &reports);
    let refusals = [
        Refusal::Fence,
        Refusal::StaleRun,
        Refusal::LeaseExpired,
        Refusal::NoCapacity,
        Refusal::Ticket,
    ];
    check(golden!("refusal.hex"), &refusals);
}

const TICK: Duration = Duration::from_millis(20);

/// The host `a` with a store that answers at the next tick. Workers cannot be reached.
struct Scene {
    host: Host,
    now: Duration,
    store: Store,
    /// Answers for the next tick.
    inputs: VecDeque<Input>,
    writes: Vec<(Table, String, Vec<u8>)>,
    /// Addresses of peers and workers that the host has called.
    called: Vec<String>,
    answers: Vec<Answer>,
}

impl Scene {
    fn new() -> Scene {
        let host = Host::new(Settings {
            host: text("a"),
            data_centre: text("kochi"),
            address: text("10.1.0.5:7180"),
            processors_milli: 250,
            incarnation: 77,
            bounds: Bounds {
                lease_max: ms(6000),
                hold_max: ms(10_000),
                stop_timeout: ms(200),
                retention: Duration::from_secs(120),
            },
            freshness: Freshness::default(),
        });
        let mut store = Store::default();
        let content = Content::Configuration(Box::new(configuration()));
        store.put(Table::Operator, "config", content);
        Scene {
            host,
            now: Duration::ZERO,
            store,
            inputs: VecDeque::new(),
            writes: Vec::new(),
            called: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn put(&mut self, table: Table, key: &str, bytes: Vec<u8>) {
        self.store.put(table, key, Content::Bytes(bytes));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.inputs.push_back(Input::Tick);
            for input in std::mem::take(&mut self.inputs) {
                for output in self.host.handle(self.now, 1_700_000_000_000, input) {
                    self.execute(output);
                }
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Store { call, request, .. } => {
                if let StoreRequest::Transact { writes, .. } = &request {
                    self.writes.extend(writes.iter().cloned());
                }
                let result = self.store.call(&request);
                self.inputs.push_back(Input::Store { call, result });
            }
            Output::Worker { call, address, .. } => {
                self.called.push(address);
                self.inputs.push_back(Input::Worker { call, result: Err(Error::Unreachable) });
            }
            Output::Peer { address, .. } => self.called.push(address),
            Output::Answer { answer, .. } => self.answers.push(answer),
            _ => {}
        }
    }

    /// Sends a request of a caller of the queue `batch` about the job.
    fn request(&mut self, request: u64, action: Action) {
        let body = Request {
            host: text("fleet.example"),
            path: format!("/batch/{JOB:016x}"),
            key: Some(text("key-1")),
            action,
            timeout: ms(2000),
        };
        self.inputs.push_back(Input::Request { request, body });
    }

    /// Values written to a row, in order.
    fn written(&self, table: Table, key: &str) -> Vec<Vec<u8>> {
        let of_row = |write: &&(Table, String, Vec<u8>)| write.0 == table && write.1 == key;
        self.writes.iter().filter(of_row).map(|(_, _, bytes)| bytes.clone()).collect()
    }
}

/// Fields of the ownership row, which is private: host, incarnation, epoch, sequence, released, absent workers.
type OwnerRow = (String, u64, u64, u64, bool, Vec<UnreachableWorker>);

/// The row of another host as this host reads it: the next epoch follows its epoch and keeps its absent workers, and a
/// released row is claimed without a wait.
#[test]
fn owner_row_of_another_host() {
    let held: OwnerRow = (text("z"), 66, 4, 9, false, absent());
    let released: OwnerRow = (text("z"), 66, 4, 9, true, Vec::new());
    check(golden!("owner_row_read.hex"), &[held, released]);
    let claims: Vec<Vec<u8>> = values(golden!("owner_row_read.hex"))
        .into_iter()
        .zip([ms(1300), Duration::ZERO])
        .map(|(bytes, wait)| {
            let mut scene = Scene::new();
            scene.put(Table::Ownership, "owner", bytes);
            scene.run(wait);
            assert!(scene.written(Table::Ownership, "owner").is_empty(), "claimed too early");
            scene.run(ms(400));
            scene.written(Table::Ownership, "owner").remove(0)
        })
        .collect();
    check_bytes(golden!("owner_row_claimed.hex"), &claims);
    let expected: [OwnerRow; 2] =
        [(text("a"), 77, 5, 0, false, absent()), (text("a"), 77, 5, 0, false, Vec::new())];
    check(golden!("owner_row_claimed.hex"), &expected);
}

/// The next epoch also keeps the unanswered starts of the last owner. They end the row, so earlier versions skip them.
#[test]
fn owner_row_with_late_starts() {
    type Row = (String, u64, u64, u64, bool, Vec<UnreachableWorker>, Vec<StoredStart>);
    let late_starts = vec![
        StoredStart { task: task(4), worker: text("w1"), number: 21, age: ms(900), outlived: true },
        StoredStart {
            task: task(300),
            worker: text("w2"),
            number: 22,
            age: ms(0),
            outlived: false,
        },
    ];
    let read: Row = (text("z"), 66, 4, 9, true, absent(), late_starts.clone());
    check(golden!("owner_row_with_late_starts.hex"), &[read]);
    let bytes = value(golden!("owner_row_with_late_starts.hex"));
    let earlier: OwnerRow = decode(&bytes).expect("a row that earlier versions read");
    assert_eq!(earlier, (text("z"), 66, 4, 9, true, absent()));
    let mut scene = Scene::new();
    scene.put(Table::Ownership, "owner", bytes);
    scene.run(ms(400));
    let claimed: Row = decode(&scene.written(Table::Ownership, "owner")[0]).expect("a row");
    assert_eq!(claimed, (text("a"), 77, 5, 0, false, absent(), late_starts));
}

/// The rows of an owner that releases its ownership.
#[test]
fn owner_row_released() {
    let mut scene = Scene::new();
    scene.run(ms(3000));
    assert!(scene.host.is_owner());
    scene.inputs.push_back(Input::Stop);
    scene.run(ms(3000));
    let last = scene.written(Table::Ownership, "owner").pop().expect("a row");
    let (host, incarnation, epoch, sequence, released, absent): OwnerRow =
        decode(&last).expect("a row of these fields");
    assert_eq!((host.as_str(), incarnation, epoch, released), ("a", 77, 1, true));
    assert!(sequence > 0 && absent.is_empty());
    check_bytes(golden!("owner_row_released.hex"), &[last]);
}

/// The roster is written with all registered workers, and a successor calls the workers of the stored roster.
#[test]
fn roster() {
    let rosters = [vec![(text("w1"), registration()), (text("w2"), draining_registration())]];
    check(golden!("roster.hex"), &rosters);
    let mut scene = Scene::new();
    for (name, registration) in &rosters[0] {
        let content = Content::Worker(Box::new(registration.clone()));
        scene.store.put(Table::Workers, name, content);
    }
    scene.run(ms(3000));
    let written = scene.written(Table::Ownership, "roster").pop().expect("a roster");
    assert_eq!(hex(&written), hex(&value(golden!("roster.hex"))));

    let mut successor = Scene::new();
    successor.put(Table::Ownership, "roster", written);
    successor.run(ms(3000));
    assert!(successor.called.contains(&registration().address), "{:?}", successor.called);
}

/// The row of this host as it is written, and the row of another one as it is read.
#[test]
fn host_rows() {
    // Address, data centre, incarnation, thousandths of a core.
    let own = (text("10.1.0.5:7180"), text("kochi"), 77_u64, 250_u64);
    let other = (text("10.1.0.6:7180"), text("pune"), 78_u64, 1000_u64);
    check(golden!("host_row.hex"), &[own, other.clone()]);
    let rows = values(golden!("host_row.hex"));
    let mut scene = Scene::new();
    scene.put(Table::Hosts, "b", rows[1].clone());
    scene.run(ms(1000));
    assert_eq!(scene.written(Table::Hosts, "a"), rows[..1]);
    assert!(scene.called.contains(&other.0), "{:?}", scene.called);
}

/// The rows that a host writes for a job that is submitted and cancelled: the job with the queue, team and terms that the
/// host filled in, the cancellation, and the progress.
#[test]
fn rows_of_a_job() {
    let mut scene = Scene::new();
    scene.run(ms(3000));
    let submitted =
        Job { queue: String::new(), team: None, policy: QueuePolicy::default(), ..job() };
    scene.request(1, Action::Submit(Ok(Box::new(submitted))));
    scene.run(ms(500));
    scene.request(2, Action::Cancel);
    scene.run(ms(1000));
    assert_eq!(scene.answers, [Answer::Accepted, Answer::Cancelled]);
    let key = format!("{JOB:016x}");
    let mut jobs = scene.written(Table::Jobs, &key);
    jobs.extend(scene.written(Table::Jobs, &format!("{key}.cancel")));
    check_bytes(golden!("job_rows_with_origin.hex"), &jobs);
    // Rows of earlier versions end before the origin.
    let earlier = values(golden!("job_rows_written.hex"));
    assert!(jobs[0].starts_with(&earlier[0]));
    assert_eq!(jobs[1..], earlier[1..]);
    let stored: Job = decode(&jobs[0]).expect("a job");
    assert_eq!(stored, Job { epoch: 1, origin: Some(origin()), ..job() });
    let progress = scene.written(Table::Progress, &key);
    check_bytes(golden!("progress_rows_written.hex"), &progress);
    let last: Progress = decode(progress.last().expect("a row")).expect("a row of progress");
    assert_eq!(last, Progress { state: State::Cancelled, ..Progress::default() });
}

/// An owner restores the state of a job from its stored rows.
#[test]
fn state_from_rows() {
    let job = values(golden!("job.hex")).remove(0);
    for (state, bytes) in STATES.into_iter().zip(values(golden!("progress.hex"))) {
        let mut scene = Scene::new();
        let key = format!("{JOB:016x}");
        scene.put(Table::Jobs, &key, job.clone());
        scene.put(Table::Progress, &key, bytes);
        scene.run(ms(3000));
        assert!(scene.host.is_owner());
        scene.request(1, Action::Read);
        scene.run(ms(1000));
        assert_eq!(scene.answers, [Answer::State(state)]);
    }
}
