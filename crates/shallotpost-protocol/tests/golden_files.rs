//! Guards against a change of the encoding: data stored by one version, or frames of a host of another version, that the
//! next version cannot read.
//!
//! The frames themselves are tested in the crate of their codec, `shallotpost-edge`. The files in `golden/` hold one
//! sample a line. A file changes only together with a plan for the data and hosts that still use the old form.

use std::fmt::{Debug, Write as _};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::identity::{Shard, Task, WorkId};
use shallotpost_protocol::interface::{
    Call, HostState, Overview, Reply, Request, ShardState, WorkerState,
};
use shallotpost_protocol::problem::{Kind as ProblemKind, Problem};
use shallotpost_protocol::resource::{
    self, Availability, Change, DataCentre, Entry, Key, Kind, OnPartition, Policy, Propagation,
    Queue, RefusedChange, Resource, Right, Team,
};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::wire::{Load, Pong};
use shallotpost_protocol::work::{
    self, Class, Ending, Explanation, Loss, Object, Outcome, Phase, Record, Registration,
    Specification, State, Status, TaskStatus,
};
use shallotpost_protocol::{table, worker, worker_list};

macro_rules! golden {
    ($name:literal) => {
        ($name, include_str!(concat!("golden/", $name)))
    };
}

/// Checks that the JSON file holds exactly the encoded samples, and that it decodes to them.
fn check_json<T>((name, file): (&str, &str), samples: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let lines: Vec<String> =
        samples.iter().map(|sample| serde_json::to_string(sample).expect("encodes")).collect();
    assert_eq!(format!("[\n{}\n]\n", lines.join(",\n")), file, "encoding of {name}");
    check_decoding((name, file), samples);
}

/// Checks only that the JSON file decodes to the samples, for documents that leave fields out.
fn check_decoding<T>((name, file): (&str, &str), samples: &[T])
where
    T: DeserializeOwned + PartialEq + Debug,
{
    let decoded: Vec<T> = serde_json::from_str(file).expect(name);
    assert_eq!(decoded, samples, "decoding of {name}");
}

/// Checks the same for `bincode` in the configuration of the frame codec; each line of the file is hexadecimal.
fn check_bincode<T>((name, file): (&str, &str), samples: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let config = bincode::config::standard();
    let encode = |sample| bincode::serde::encode_to_vec(sample, config).expect("encodes");
    let text: String = samples.iter().map(|sample| hexadecimal(&encode(sample)) + "\n").collect();
    assert_eq!(text, file, "encoding of {name}");
    for (line, sample) in file.lines().zip(samples) {
        let bytes = bytes(line);
        let (decoded, used): (T, usize) =
            bincode::serde::decode_from_slice(&bytes, config).expect(name);
        assert_eq!((&decoded, used), (sample, bytes.len()), "decoding of {name}");
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn shard() -> Shard {
    Shard { data_centre: "kochi".to_owned(), index: 2 }
}

fn work_id() -> WorkId {
    WorkId { team: "mango".to_owned(), name: "night-run.7".to_owned() }
}

fn task() -> Task {
    Task { work: work_id(), index: 3 }
}

fn size() -> Size {
    Size { processors_milli: 1500, memory_mib: 70_000, accelerators: 2, slots: 1 }
}

fn object() -> Object {
    Object { name: "mango/input".to_owned(), length: 5_000_000_000, digest: "0a1b".to_owned() }
}

fn classes() -> [Class; 4] {
    [Class::Service { replicas: 3 }, Class::Batch, Class::Gang { parts: 8 }, Class::Urgent]
}

fn endings() -> [Ending; 6] {
    [
        Ending::Succeeded,
        Ending::Failed,
        Ending::Cancelled,
        Ending::NeverRunnable,
        Ending::Expired,
        Ending::Unknown,
    ]
}

fn phases() -> [Phase; 5] {
    [Phase::Waiting, Phase::Starting, Phase::Running, Phase::Stopping, Phase::Ended]
}

fn kinds() -> [Kind; 5] {
    [Kind::Team, Kind::Key, Kind::DataCentre, Kind::Queue, Kind::Policy]
}

/// A specification with every optional field set.
fn full_specification(class: Class) -> Specification {
    Specification {
        id: "night-run.7".to_owned(),
        team: "mango".to_owned(),
        class,
        size: size(),
        command: vec!["/bin/run".to_owned(), "--quick \"é\"".to_owned()],
        run_time: Some(Duration::from_millis(90_500)),
        idempotent: false,
        deadline_unix_ms: Some(1_700_000_000_123),
        data_centres: vec!["kochi".to_owned(), "thrissur".to_owned()],
        queue: Some("open".to_owned()),
        input: Some(object()),
        attempts: 5,
    }
}

/// A specification with the defaults of all optional fields.
fn plain_specification() -> Specification {
    Specification {
        id: "a".to_owned(),
        team: "mango".to_owned(),
        class: Class::Batch,
        size: Size { processors_milli: 0, memory_mib: 0, accelerators: 0, slots: 1 },
        command: Vec::new(),
        run_time: None,
        idempotent: true,
        deadline_unix_ms: None,
        data_centres: Vec::new(),
        queue: None,
        input: None,
        attempts: 3,
    }
}

fn specifications() -> Vec<Specification> {
    let mut samples: Vec<_> = classes().into_iter().map(full_specification).collect();
    samples.push(plain_specification());
    samples
}

fn outcomes() -> Vec<Outcome> {
    let outcome = |ending| Outcome {
        ending,
        detail: "exit status 1".to_owned(),
        not_run: ending == Ending::Expired,
        results: vec![(0, object()), (300, object())],
    };
    endings().into_iter().map(outcome).collect()
}

fn states() -> Vec<State> {
    let starting = State::Starting { workers: vec!["w1".to_owned(), "w2".to_owned()], epoch: 70 };
    let mut samples = vec![State::Admitted, State::Cancelling, starting];
    samples.extend(outcomes().into_iter().map(State::Ended));
    samples
}

fn records() -> Vec<Record> {
    let record = |state| Record {
        specification: full_specification(Class::Gang { parts: 2 }),
        shard: shard(),
        state,
        admitted_unix_ms: 1_700_000_000_001,
        submitter: "mango-ci".to_owned(),
        attempt: 4,
        moved_unix_ms: 1_700_000_000_002,
        losses: Vec::new(),
    };
    let mut samples: Vec<_> = states().into_iter().map(record).collect();
    samples.push(plain_record());
    samples
}

fn plain_record() -> Record {
    Record {
        specification: plain_specification(),
        shard: shard(),
        state: State::Admitted,
        admitted_unix_ms: 1_700_000_000_001,
        submitter: String::new(),
        attempt: 0,
        moved_unix_ms: 0,
        losses: Vec::new(),
    }
}

/// A record with a loss of each kind.
fn record_with_losses() -> Record {
    let crash = Loss {
        index: 0,
        attempt: 2,
        worker: "w1".to_owned(),
        incarnation: 70,
        age: Duration::from_millis(1500),
        alone: true,
        certain: true,
    };
    let silence = Loss {
        index: 300,
        attempt: 1,
        worker: "w2".to_owned(),
        incarnation: u64::MAX,
        age: Duration::ZERO,
        alone: false,
        certain: false,
    };
    Record { losses: vec![crash, silence], ..plain_record() }
}

fn statuses() -> Vec<Status> {
    let place = |phase| TaskStatus {
        task: task(),
        phase,
        worker: (phase != Phase::Waiting).then(|| "w1".to_owned()),
        attempt: 2,
    };
    let status =
        |class, state, tasks| Status { work: work_id(), class, shard: shard(), state, tasks };
    let mut samples = vec![status(
        Class::Service { replicas: 5 },
        State::Admitted,
        phases().into_iter().map(place).collect(),
    )];
    samples.extend(classes().into_iter().map(|class| status(class, State::Cancelling, Vec::new())));
    samples.extend(states().into_iter().map(|state| status(Class::Batch, state, Vec::new())));
    samples
}

fn explanations() -> Vec<Explanation> {
    let explanation = |phase| Explanation {
        work: work_id(),
        phase,
        reasons: vec!["no worker has room".to_owned(), "the cap is reached".to_owned()],
        remedies: vec!["raise the cap".to_owned()],
    };
    phases().into_iter().map(explanation).collect()
}

fn policy(services_on_partition: OnPartition, others_on_partition: OnPartition) -> Policy {
    Policy {
        pack_batch: false,
        gang_reservation: Duration::from_millis(61_001),
        urgent_bound: Duration::from_millis(6201),
        quarantine_failures: 4,
        quarantine: Duration::from_millis(30_002),
        return_starts_per_second: 5,
        services_on_partition,
        others_on_partition,
    }
}

fn key(right: Right, expires_unix_ms: Option<u64>) -> Resource {
    Resource::Key(Key { right, digest: "0a1b".to_owned(), expires_unix_ms })
}

fn resources() -> Vec<Resource> {
    vec![
        Resource::Team(Team { share: 7, cap: size() }),
        Resource::Team(Team { share: 1, cap: Size::from_parts([u64::MAX; 4]) }),
        key(Right::Team("mango".to_owned()), Some(1_800_000_000_000)),
        key(Right::Operator, None),
        Resource::DataCentre(DataCentre { availability: Availability::Active, shards: 3 }),
        Resource::DataCentre(DataCentre { availability: Availability::Drained, shards: 1 }),
        Resource::Queue(Queue { team: "mango".to_owned(), open: true }),
        Resource::Queue(Queue { team: "mango".to_owned(), open: false }),
        Resource::Policy(policy(OnPartition::KeepRunning, OnPartition::Stop)),
        Resource::Policy(policy(OnPartition::Stop, OnPartition::KeepRunning)),
    ]
}

fn entries() -> Vec<Entry> {
    let entry = |resource| Entry { name: "default".to_owned(), revision: 300, resource };
    resources().into_iter().map(entry).collect()
}

fn change(kind: Kind, before: Option<Resource>, after: Option<Resource>) -> Change {
    Change {
        revision: 301,
        who: "operator-1".to_owned(),
        host: "kochi-1".to_owned(),
        at_unix_ms: 1_700_000_000_003,
        kind,
        name: "default".to_owned(),
        before,
        after,
    }
}

/// Each resource as created and as deleted, and one that was replaced.
fn changes() -> Vec<Change> {
    let mut samples = Vec::new();
    for resource in resources() {
        samples.push(change(resource.kind(), None, Some(resource.clone())));
        samples.push(change(resource.kind(), Some(resource), None));
    }
    let teams = [1, 2].map(|share| Some(Resource::Team(Team { share, cap: size() })));
    let [before, after] = teams;
    samples.push(change(Kind::Team, before, after));
    samples
}

fn refused() -> Vec<RefusedChange> {
    let refused = |kind| RefusedChange {
        who: String::new(),
        host: "kochi-1".to_owned(),
        at_unix_ms: 1_700_000_000_004,
        kind,
        name: "default".to_owned(),
        reason: "the key is unknown".to_owned(),
    };
    kinds().into_iter().map(refused).collect()
}

fn force() -> [Propagation; 2] {
    let waiting_for = vec!["kochi".to_owned(), "thrissur".to_owned()];
    [
        Propagation { revision: 301, in_force: false, waiting_for },
        Propagation { revision: 302, in_force: true, waiting_for: Vec::new() },
    ]
}

fn problems() -> Vec<Problem> {
    let kinds = [
        ProblemKind::Malformed,
        ProblemKind::TooLarge,
        ProblemKind::Unauthorized,
        ProblemKind::Forbidden,
        ProblemKind::NotFound,
        ProblemKind::Conflict,
        ProblemKind::IdReused,
        ProblemKind::NeverRunnable,
        ProblemKind::Expired,
        ProblemKind::Overloaded,
        ProblemKind::Unavailable,
        ProblemKind::StaleConfiguration,
        ProblemKind::Draining,
        ProblemKind::RevisionTooOld,
        ProblemKind::Unknown,
        ProblemKind::TimedOut,
    ];
    // The remedies are texts for people and may change, so the samples have a fixed one.
    let problem = |kind| Problem {
        kind,
        message: "what happened".to_owned(),
        remedy: "what to do".to_owned(),
        not_run: kind == ProblemKind::Overloaded,
    };
    kinds.into_iter().map(problem).collect()
}

fn requests() -> Vec<Request> {
    let wait = Duration::from_millis(1250);
    let name = || "default".to_owned();
    let after = || "m".to_owned();
    let mut samples: Vec<_> = specifications().into_iter().map(Request::Submit).collect();
    samples.extend([
        Request::Status(work_id()),
        Request::Wait { work: work_id(), wait },
        Request::Cancel(work_id()),
        Request::Explain(work_id()),
        Request::List { team: "mango".to_owned(), after: after(), limit: 300 },
        Request::Object { name: "mango/input".to_owned(), write: true },
    ]);
    samples.extend(kinds().map(|kind| Request::Get { kind, name: name() }));
    samples.push(Request::Resources {
        kind: Kind::Queue,
        prefix: "o".to_owned(),
        after: after(),
        limit: 300,
    });
    let put = |resource| Request::Put { name: name(), resource, revision: Some(0), dry_run: true };
    samples.extend(resources().into_iter().map(put));
    samples.extend([
        Request::Put {
            name: name(),
            resource: Resource::Queue(Queue { team: "mango".to_owned(), open: true }),
            revision: None,
            dry_run: false,
        },
        Request::Delete { kind: Kind::Key, name: name(), revision: Some(300), dry_run: false },
        Request::Delete { kind: Kind::Team, name: name(), revision: None, dry_run: true },
        Request::Watch { from: 300, wait },
        Request::Propagation(301),
        Request::Audit { from: 300, limit: 400 },
        Request::Overview,
        Request::Workers { after: after(), limit: 300 },
        Request::Ready,
    ]);
    samples
}

fn calls() -> Vec<Call> {
    let call = |request| Call { key: "mango-ci.secret".to_owned(), request };
    requests().into_iter().map(call).collect()
}

fn overview() -> Overview {
    let shard_state = |owner| ShardState {
        shard: shard(),
        owner,
        epoch: 70,
        waiting: 1,
        running: 2,
        workers: 300,
        silent_workers: 4,
    };
    Overview {
        hosts: vec![HostState {
            host: "kochi-1".to_owned(),
            data_centre: "kochi".to_owned(),
            reachable: true,
            draining: false,
            revision: 301,
        }],
        shards: vec![shard_state(Some("kochi-1".to_owned())), shard_state(None)],
        revision: 302,
        pending: force().to_vec(),
        table_reachable: true,
    }
}

fn worker_state() -> WorkerState {
    WorkerState {
        worker: "w1".to_owned(),
        shard: shard(),
        rack: "r4".to_owned(),
        capacity: size().times(4),
        booked: size(),
        leaving: true,
        answers: false,
    }
}

fn replies() -> Vec<Reply> {
    let mut samples = vec![Reply::Accepted { work: work_id(), shard: shard(), repeated: true }];
    samples.extend(statuses().into_iter().map(Reply::Status));
    samples.extend(outcomes().into_iter().map(Reply::Outcome));
    samples.push(Reply::Cancelling);
    samples.extend(explanations().into_iter().map(Reply::Explanation));
    samples.push(Reply::Work { entries: statuses(), more: true });
    samples.push(Reply::Allowed);
    samples.extend(entries().into_iter().map(Reply::Entry));
    samples.push(Reply::Entries { entries: entries(), revision: 300, more: false });
    samples.extend(force().map(|propagation| Reply::Changed { revision: 301, propagation }));
    samples.push(Reply::Changes { changes: changes(), next: 302 });
    samples.extend(force().map(Reply::Propagation));
    samples.push(Reply::Audit { changes: changes(), refused: refused() });
    samples.push(Reply::Overview(overview()));
    samples.push(Reply::Workers { entries: vec![worker_state()], more: true });
    samples.push(Reply::Ready);
    samples
}

#[test]
fn interface_calls() {
    check_json(golden!("calls.json"), &calls());
    check_bincode(golden!("calls.hex"), &calls());
}

#[test]
fn interface_replies() {
    check_json(golden!("replies.json"), &replies());
    check_bincode(golden!("replies.hex"), &replies());
}

#[test]
fn problem_kinds() {
    check_json(golden!("problems.json"), &problems());
    check_bincode(golden!("problems.hex"), &problems());
}

/// The HTTP interface sends some parts of a reply by themselves.
#[test]
fn interface_parts() {
    check_json(golden!("statuses.json"), &statuses());
    check_json(golden!("explanations.json"), &explanations());
    check_json(golden!("overview.json"), &[overview(), Overview::default()]);
    check_json(golden!("worker_states.json"), &[worker_state()]);
    check_json(golden!("force.json"), &force());
}

#[test]
fn configuration() {
    check_json(golden!("resources.json"), &resources());
    check_json(golden!("entries.json"), &entries());
    check_json(golden!("changes.json"), &changes());
    check_bincode(golden!("changes.hex"), &changes());
    check_json(golden!("refused.json"), &refused());
}

#[test]
fn work_rows() {
    check_json(golden!("specifications.json"), &specifications());
    check_json(golden!("records.json"), &records());
    check_json(golden!("records_losses.json"), &[record_with_losses()]);
    check_json(golden!("outcomes.json"), &outcomes());
    let registration = Registration { shard: shard(), digest: "0a1b".to_owned() };
    check_json(golden!("registrations.json"), &[registration]);
}

/// A registration stores the digest, so the digest of a specification must stay the same too.
#[test]
fn specification_digests() {
    let digests: Vec<_> = specifications().iter().map(Specification::digest).collect();
    check_json(golden!("specification_digests.json"), &digests);
}

/// Callers and earlier versions leave these fields out.
#[test]
fn fields_left_out() {
    check_decoding(golden!("specifications_short.json"), &[plain_specification()]);
    check_decoding(golden!("records_short.json"), &[plain_record()]);
    let problem = Problem {
        kind: ProblemKind::NotFound,
        message: "what happened".to_owned(),
        remedy: "what to do".to_owned(),
        not_run: false,
    };
    check_decoding(golden!("problems_short.json"), &[problem]);
    let resources = [
        Resource::Team(Team { share: 1, cap: Size::from_parts([u64::MAX; 4]) }),
        key(Right::Operator, None),
        Resource::DataCentre(DataCentre { availability: Availability::Drained, shards: 1 }),
        Resource::Queue(Queue { team: "mango".to_owned(), open: false }),
        Resource::Policy(Policy {
            pack_batch: true,
            gang_reservation: Duration::from_secs(60),
            urgent_bound: Duration::from_millis(6200),
            quarantine_failures: 3,
            quarantine: Duration::from_secs(30),
            return_starts_per_second: 4,
            services_on_partition: OnPartition::KeepRunning,
            others_on_partition: OnPartition::KeepRunning,
        }),
    ];
    check_decoding(golden!("resources_short.json"), &resources);
}

#[test]
fn host_rows() {
    let host = |draining| Host {
        host: "kochi-1".to_owned(),
        data_centre: "kochi".to_owned(),
        incarnation: u64::MAX,
        peer_address: "10.1.0.11:8081".to_owned(),
        http_address: "10.1.0.11:8080".to_owned(),
        sequence: 70_000,
        applied: 301,
        draining,
    };
    check_json(golden!("hosts.json"), &[host(false), host(true)]);
}

#[test]
fn row_keys() {
    let mut keys: Vec<_> = kinds().map(|kind| resource::row_key(kind, "default")).to_vec();
    keys.extend([
        resource::HEAD_KEY.to_owned(),
        resource::RESOURCE_PREFIX.to_owned(),
        resource::LOG_PREFIX.to_owned(),
        resource::log_key(301),
        resource::log_key(u64::MAX),
        work::prefix(&shard()),
        work::row_key(&shard(), &work_id()),
        work::registration_key(&work_id()),
        host::prefix("kochi"),
        host::row_key("kochi", "kochi-1"),
    ]);
    check_json(golden!("row_keys.json"), &keys);
}

#[test]
fn table_calls() {
    let keys = || vec!["hosts/kochi/kochi-1".to_owned(), "config/head".to_owned()];
    let check = |version| table::Check { key: "config/head".to_owned(), version };
    let write = |value| table::Write { key: "config/head".to_owned(), value };
    let requests = [
        table::Request::Read { keys: keys() },
        table::Request::Scan { prefix: "hosts/".to_owned(), after: "h".to_owned(), limit: 1000 },
        table::Request::Transact {
            checks: vec![check(Some(3)), check(None)],
            writes: vec![write(Some("{\"a\":1}".to_owned())), write(None)],
        },
    ];
    check_json(golden!("table_requests.json"), &requests);
    let row =
        table::Row { key: "config/head".to_owned(), value: "301".to_owned(), version: 70_000 };
    let replies = [
        table::Reply::Rows { rows: vec![row], more: true },
        table::Reply::Committed,
        table::Reply::Conflict { keys: keys() },
    ];
    check_json(golden!("table_replies.json"), &replies);
}

#[test]
fn worker_list() {
    let worker = |leaving| worker_list::Worker {
        worker: "w1".to_owned(),
        address: "10.1.1.1:7000".to_owned(),
        data_centre: "kochi".to_owned(),
        rack: "r4".to_owned(),
        capacity: size(),
        leaving,
    };
    check_json(golden!("worker_list.json"), &[worker(false), worker(true)]);
    let (_, text) = golden!("worker_list.json");
    let read: worker_list::List = serde_json::from_str(text).expect("a list");
    assert_eq!(read.0, [worker(false), worker(true)]);
}

#[test]
fn worker_requests() {
    let lease = Duration::from_millis(8001);
    let start = |input| worker::Request::Start {
        epoch: 70,
        assignment: worker::Assignment {
            task: task(),
            attempt: 2,
            size: size(),
            command: vec!["/bin/run".to_owned()],
            input,
        },
    };
    let stop = |mode| worker::Request::Stop { epoch: 70, task: task(), attempt: 2, mode };
    let modes = [
        worker::StopMode::Checkpoint,
        worker::StopMode::Throttle,
        worker::StopMode::Resume,
        worker::StopMode::Stop,
    ];
    let mut requests = vec![
        worker::Request::Claim { shard: shard(), epoch: 70, lease },
        start(Some(object())),
        start(None),
    ];
    requests.extend(modes.map(stop));
    requests.push(worker::Request::Sync {
        epoch: 70,
        lease,
        acknowledged: vec![(task(), 2)],
        wait: Duration::from_millis(1002),
    });
    check_json(golden!("worker_requests.json"), &requests);
}

#[test]
fn worker_replies() {
    let states = [
        worker::TaskState::Running { throttled: true },
        worker::TaskState::Running { throttled: false },
        worker::TaskState::Ended(worker::AttemptOutcome::Succeeded { result: Some(object()) }),
        worker::TaskState::Ended(worker::AttemptOutcome::Succeeded { result: None }),
        worker::TaskState::Ended(worker::AttemptOutcome::Failed {
            detail: "exit status 1".to_owned(),
        }),
        worker::TaskState::Ended(worker::AttemptOutcome::Stopped),
        worker::TaskState::Ended(worker::AttemptOutcome::Checkpointed),
        worker::TaskState::Ended(worker::AttemptOutcome::LeaseLapsed),
    ];
    let report = |state: worker::TaskState| {
        let usage = matches!(state, worker::TaskState::Running { throttled: true }).then(size);
        worker::Report { task: task(), attempt: 2, size: size(), state, usage }
    };
    let mut replies = vec![
        worker::Reply::State(worker::Snapshot {
            incarnation: u64::MAX,
            capacity: size(),
            leaving: true,
            tasks: states.map(report).to_vec(),
        }),
        worker::Reply::Done,
    ];
    let refusals = [
        worker::Refusal::StaleEpoch { current: 71 },
        worker::Refusal::Full,
        worker::Refusal::Leaving,
        worker::Refusal::NotClaimed,
        worker::Refusal::NoSuchTask,
    ];
    replies.extend(refusals.map(worker::Reply::Refused));
    check_json(golden!("worker_replies.json"), &replies);
}

/// Parts of a `Pong` frame.
#[test]
fn loads() {
    let load = Load {
        shard: shard(),
        epoch: 70,
        capacity: size().times(4),
        booked: size(),
        waiting: size().times(2),
        largest: size().times(3),
        waiting_tasks: 1,
        running_tasks: 2,
        workers: 300,
        silent_workers: 4,
    };
    let pong = |freshness_age, flag| Pong {
        number: 5,
        incarnation: u64::MAX,
        revision: 301,
        freshness_age,
        update_in_flight: flag,
        draining: !flag,
        shards: vec![load.clone()],
    };
    let pongs = [pong(Some(Duration::new(2, 5_000_000)), true), pong(None, false)];
    check_bincode(golden!("pongs.hex"), &pongs);
}
