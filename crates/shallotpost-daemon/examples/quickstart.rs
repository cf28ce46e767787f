//! Starts stand-ins and three daemons in one process, runs work of each class, and prints the results.
//!
//! Exits with 0 only if all work was placed and ended as expected.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, ensure, eyre};
use shallotpost_cli::client::{Call, Client, Effect};
use shallotpost_cli::secret::Key as Credential;
use shallotpost_daemon::daemon::Daemon;
use shallotpost_daemon::settings;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Availability, DataCentre, Key, Resource, Right, Team};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification, State, Status};
use shallotpost_standin::settings::{Fleet, Settings as FleetSettings, WorkerSettings};
use ureq::http::Method;

/// Timeout of the whole run.
const TIMEOUT: Duration = Duration::from_secs(50);

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of each worker.
const CAPACITY: Size =
    Size { processors_milli: 16_000, memory_mib: 65_536, accelerators: 2, slots: 8 };

/// Secret of the bootstrap key.
const BOOTSTRAP_SECRET: &str = "quickstart";

/// Row of the printed table.
struct Row {
    class: &'static str,
    id: String,
    shard: String,
    workers: String,
    end: String,
    duration: Duration,
}

fn main() -> ExitCode {
    match run() {
        Ok(rows) => {
            print(&rows);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quickstart: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<Vec<Row>> {
    let deadline = Instant::now() + TIMEOUT;
    let fleet = start_fleet().wrap_err("the stand-ins cannot be started")?;
    let platform = fleet.platform.address();
    let daemons = [("host-a", "kochi"), ("host-b", "kochi"), ("host-c", "thrissur")]
        .map(|(host, data_centre)| start_daemon(host, data_centre, platform));
    let daemons = daemons.into_iter().collect::<eyre::Result<Vec<Daemon>>>()?;
    let servers: Vec<String> =
        daemons.iter().map(|daemon| format!("http://{}", daemon.http_address())).collect();
    let operator = client(&servers, &format!("bootstrap.{BOOTSTRAP_SECRET}"))?;
    set_up(&operator, deadline)?;
    // Work is submitted through the first host and read through the last one.
    let submitter = client(&servers[..1], "laundry-key.laundry")?;
    let reader = client(&servers[2..], "laundry-key.laundry")?;
    let rows = specifications()
        .into_iter()
        .map(|specification| submit_and_await(&submitter, &reader, &specification, deadline))
        .collect::<eyre::Result<Vec<Row>>>()?;
    daemons.iter().for_each(Daemon::stop);
    daemons.into_iter().try_for_each(Daemon::join)?;
    Ok(rows)
}

fn start_fleet() -> std::io::Result<Fleet> {
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let worker = |data_centre: &str, index: usize| WorkerSettings {
        worker: format!("{data_centre}-{index}"),
        address: ephemeral,
        data_centre: data_centre.to_owned(),
        rack: format!("{data_centre}-rack-{}", index / 2),
        capacity: CAPACITY,
    };
    let workers = ["kochi", "thrissur"]
        .into_iter()
        .flat_map(|data_centre| (0..4).map(move |index| worker(data_centre, index)));
    Fleet::start(&FleetSettings { platform: ephemeral, list_lag_ms: 0, workers: workers.collect() })
}

fn start_daemon(host: &str, data_centre: &str, platform: SocketAddr) -> eyre::Result<Daemon> {
    let document = serde_json::json!({
        "host": host,
        "data_centre": data_centre,
        "http_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "platform": {
            "table": format!("http://{platform}/table"),
            "objects": format!("http://{platform}/objects"),
            "list": format!("http://{platform}/list"),
        },
        "bootstrap_digest": key::digest(BOOTSTRAP_SECRET.as_bytes()),
        "log": {"level": "error"},
    });
    let mut settings =
        settings::parse(&document.to_string()).map_err(|faults| eyre!("{faults:#?}"))?;
    // `parse` rejects port 0, because peers could not connect to it. Here the actual port is read from the daemon.
    settings.http_address = "127.0.0.1:0".to_owned();
    settings.peer_address = "127.0.0.1:0".to_owned();
    Daemon::start(&settings)
}

fn client(servers: &[String], presented: &str) -> eyre::Result<Client> {
    let credential =
        Credential::parse(presented).ok_or_else(|| eyre!("{presented:?} is not a key"))?;
    Ok(Client::new(servers.to_vec(), Some(credential)))
}

/// Creates two data centres, a team and its key.
fn set_up(operator: &Client, deadline: Instant) -> eyre::Result<()> {
    for name in ["kochi", "thrissur"] {
        let resource =
            Resource::DataCentre(DataCentre { availability: Availability::Active, shards: 1 });
        put(operator, name, &resource, deadline)?;
    }
    let team = Team { share: 1, cap: Size { slots: 40, ..Size::from_parts([u64::MAX; 4]) } };
    put(operator, "laundry", &Resource::Team(team), deadline)?;
    let right = Right::Team("laundry".to_owned());
    let key = Key { right, digest: key::digest(b"laundry"), expires_unix_ms: None };
    put(operator, "laundry-key", &Resource::Key(key), deadline)
}

/// Puts a resource. The call is retried, because the entry hosts may still be starting.
fn put(operator: &Client, name: &str, resource: &Resource, deadline: Instant) -> eyre::Result<()> {
    let path = format!("/v1/resources/{}/{name}", resource.kind());
    let call = Call::change(Method::PUT, path, Effect::Idempotent, String::new()).json(resource);
    retry(deadline, || operator.send(&call)).map(|_| ())
}

fn specifications() -> Vec<Specification> {
    let work = |id: &str, class: Class, command: &[&str]| Specification {
        id: id.to_owned(),
        team: "laundry".to_owned(),
        class,
        size: Size::from_parts([2000, 4096, 0, 1]),
        command: command.iter().map(|word| (*word).to_owned()).collect(),
        run_time: None,
        idempotent: true,
        deadline_unix_ms: None,
        data_centres: Vec::new(),
        queue: None,
        input: None,
        attempts: 3,
    };
    let invoice =
        Specification { idempotent: false, ..work("invoice", Class::Batch, &["run", "300"]) };
    let inspection = Specification {
        size: Size::from_parts([2000, 4096, 1, 1]),
        ..work("inspection", Class::Gang { parts: 4 }, &["run", "500"])
    };
    vec![
        work("intake", Class::Service { replicas: 3 }, &["serve"]),
        work("report", Class::Batch, &["run", "300"]),
        invoice,
        inspection,
        work("stain-alarm", Class::Urgent, &["run", "200"]),
    ]
}

fn submit_and_await(
    submitter: &Client,
    reader: &Client,
    specification: &Specification,
    deadline: Instant,
) -> eyre::Result<Row> {
    let begin = Instant::now();
    let work = specification.work_id();
    let call = Call::change(Method::POST, "/v1/work".to_owned(), Effect::Idempotent, String::new());
    let accepted = retry(deadline, || submitter.send(&call.clone().json(specification)))?;
    let Reply::Accepted { shard, .. } = accepted else { bail!("{work}: {accepted:?}") };
    let service = matches!(specification.class, Class::Service { .. });
    let status = format!("/v1/work/{work}");
    let workers = await_running(reader, &status, specification.class.tasks(), deadline)?;
    if service {
        let path = format!("/v1/work/{work}/cancel");
        let cancel = Call::change(Method::POST, path, Effect::Idempotent, String::new());
        retry(deadline, || submitter.send(&cancel))?;
    }
    let wait = Call::get(format!("/v1/work/{work}/wait")).waiting(Duration::from_secs(5));
    let reply = retry(deadline, || reader.send(&wait))?;
    let Reply::Outcome(outcome) = reply else { bail!("{work}: {reply:?}") };
    let expected = if service { Ending::Cancelled } else { Ending::Succeeded };
    ensure!(outcome.ending == expected, "{work} ended {outcome:?}, expected {expected}");
    Ok(Row {
        class: specification.class.name(),
        id: specification.id.clone(),
        shard: shard.to_string(),
        workers,
        end: outcome.ending.to_string(),
        duration: begin.elapsed(),
    })
}

/// Waits until every task runs or the work has ended. Returns the workers on which running tasks were seen.
fn await_running(
    reader: &Client,
    path: &str,
    tasks: u32,
    deadline: Instant,
) -> eyre::Result<String> {
    let mut seen: BTreeSet<String> = BTreeSet::new();
    loop {
        let reply = retry(deadline, || reader.send(&Call::get(path)))?;
        let Reply::Status(status) = reply else { bail!("{path}: {reply:?}") };
        let workers = running_workers(&status);
        seen.extend(workers.iter().cloned());
        if workers.len() as u32 == tasks || matches!(status.state, State::Ended(_)) {
            return Ok(Vec::from_iter(seen).join(" "));
        }
        ensure!(Instant::now() < deadline, "{path}: {} of {tasks} tasks run", workers.len());
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn running_workers(status: &Status) -> Vec<String> {
    let running = status.tasks.iter().filter(|task| task.phase == Phase::Running);
    running.filter_map(|task| task.worker.clone()).collect()
}

/// Retries a failed call until the deadline. Every call in this example is idempotent.
fn retry<T>(
    deadline: Instant,
    call: impl Fn() -> Result<T, shallotpost_cli::Error>,
) -> eyre::Result<T> {
    loop {
        match call() {
            Ok(reply) => return Ok(reply),
            Err(error) if Instant::now() >= deadline => return Err(error.into()),
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

fn print(rows: &[Row]) {
    println!("{:<8} {:<12} {:<12} {:<10} {:>8}  RAN ON", "CLASS", "ID", "SHARD", "END", "MS");
    for row in rows {
        println!(
            "{:<8} {:<12} {:<12} {:<10} {:>8}  {}",
            row.class,
            row.id,
            row.shard,
            row.end,
            row.duration.as_millis(),
            row.workers
        );
    }
}
