//! Stand-ins and daemon processes of a deployment.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, ensure, eyre};
use serde_json::Value;
use shallotpost_cli::Error;
use shallotpost_cli::client::{Call, Client, Effect};
use shallotpost_cli::secret::Key as Credential;
use shallotpost_protocol::identity::{HostId, WorkerId};
use shallotpost_protocol::interface::{Overview, Reply};
use shallotpost_protocol::key;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::resource::{Availability, DataCentre, Key, Resource, Right, Team};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::work::{Class, Specification};
use shallotpost_standin::fault::Fault;
use shallotpost_standin::hub::Traffic;
use shallotpost_standin::settings::{Fleet, Settings as FleetSettings, WorkerSettings};
use ureq::http::Method;

use super::process::{Launcher, Process, Signal};

/// Size of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres, with the number of small and of large workers.
    pub data_centres: &'static [(&'static str, usize, usize)],
    /// Number of entry hosts per data centre.
    pub hosts: usize,
    /// Way to start the daemons.
    pub launcher: Launcher,
    /// Maximum time from a stop request to the exit.
    pub stop_bound: Duration,
}

/// Capacity of the workers of the intake service, of which a rack holds five.
const SMALL: Size =
    Size { processors_milli: 16_000, memory_mib: 65_536, accelerators: 0, slots: 8 };

/// Capacity of the workers of the inspection service, of which a rack holds three.
const LARGE: Size =
    Size { processors_milli: 32_000, memory_mib: 131_072, accelerators: 8, slots: 8 };

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of everything that is awaited.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Secret of the bootstrap key, which the operator uses.
const BOOTSTRAP_SECRET: &str = "recover";

/// Key of the submitting team.
pub const TEAM_KEY: &str = "laundry-key.laundry";

/// Cost of the control plane. Processor time and memory are the highest of all entry hosts, traffic is the mean per host,
/// and table operations are the total of all hosts.
pub struct Cost {
    /// Processor time, in percent of a core.
    pub processor_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// All loopback traffic per host, including that of callers and workers.
    pub traffic_kb_per_second: f64,
    /// Traffic between daemons and stand-ins per host, by type of call, without TCP and IP headers.
    pub calls_kb_per_second: Vec<(&'static str, f64)>,
    /// Transactions of the table service.
    pub writes_per_second: f64,
    /// Reads and scans of the table service.
    pub reads_per_second: f64,
}

/// A running deployment of stand-ins and daemons.
pub struct Cluster {
    plan: Plan,
    fleet: Fleet,
    hosts: BTreeMap<HostId, (Value, Process)>,
}

impl Cluster {
    /// Starts the stand-ins and the daemons, and creates the data centres, a team and its key.
    pub fn start(plan: Plan) -> eyre::Result<Cluster> {
        let fleet = Fleet::start(&fleet_settings(&plan)).wrap_err("stand-ins")?;
        let platform = fleet.platform.address();
        let mut hosts = BTreeMap::new();
        for (data_centre, _, _) in plan.data_centres {
            for index in 0..plan.hosts {
                let host = format!("{data_centre}-{index}");
                let settings = daemon_settings(&plan, &host, data_centre, platform);
                let process =
                    Process::start(&plan.launcher, &settings).wrap_err_with(|| host.clone())?;
                hosts.insert(host, (settings, process));
            }
        }
        let cluster = Cluster { plan, fleet, hosts };
        cluster.set_up()?;
        Ok(cluster)
    }

    /// Returns the HTTP URLs of the running entry hosts.
    pub fn servers(&self) -> Vec<String> {
        self.hosts.values().map(|(_, process)| format!("http://{}", process.http_address)).collect()
    }

    /// Returns the HTTP URL of a host.
    pub fn server(&self, host: &str) -> Option<String> {
        self.hosts.get(host).map(|(_, process)| format!("http://{}", process.http_address))
    }

    /// Returns the data centre and the host that owns its shard.
    pub fn owner(&self, data_centre: &str) -> eyre::Result<(String, HostId)> {
        let value = self.shard_row(data_centre)?;
        let owner = value["owner"].as_str().ok_or_else(|| eyre!("no owner in {value}"))?;
        Ok((data_centre.to_owned(), owner.to_owned()))
    }

    /// Returns the epoch of the owner of the data centre's shard.
    pub fn epoch(&self, data_centre: &str) -> eyre::Result<u64> {
        let value = self.shard_row(data_centre)?;
        value["epoch"].as_u64().ok_or_else(|| eyre!("no epoch in {value}"))
    }

    fn shard_row(&self, data_centre: &str) -> eyre::Result<Value> {
        let row = self.fleet.platform.table().row(&format!("shards/{data_centre}/0"));
        let row = row.ok_or_else(|| eyre!("the shard of {data_centre} has no row"))?;
        Ok(serde_json::from_str(&row.value)?)
    }

    /// Polls until the condition holds. `description` appears in the error after the timeout.
    pub fn await_condition(
        &self,
        description: &str,
        timeout: Duration,
        condition: impl Fn(&Cluster) -> eyre::Result<bool>,
    ) -> eyre::Result<()> {
        let deadline = Instant::now() + timeout;
        while !condition(self)? {
            ensure!(Instant::now() < deadline, "{description}: not within {timeout:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns whether the host answers a status request.
    pub fn is_ready(&self, host: &str) -> bool {
        self.overview(host).is_some()
    }

    /// Returns whether the host reports the table service as reachable; `None` if the host does not answer.
    pub fn reaches_table(&self, host: &str) -> Option<bool> {
        self.overview(host).map(|overview| overview.table_reachable)
    }

    /// Returns the overview of a host; `None` if the host does not answer.
    pub fn overview(&self, host: &str) -> Option<Overview> {
        let (_, process) = self.hosts.get(host)?;
        let credential = Credential::parse(&operator_key())?;
        let client =
            Client::new(vec![format!("http://{}", process.http_address)], Some(credential));
        match client.send(&Call::get("/v1/status")) {
            Ok(Reply::Overview(overview)) => Some(overview),
            _ => None,
        }
    }

    /// Returns the number of submissions that are durable in the table.
    pub fn registered_submissions(&self) -> usize {
        self.fleet.platform.table().rows("ids/").len()
    }

    /// Returns the names of the running hosts.
    pub fn hosts(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    /// Kills a host and waits for its exit.
    pub fn kill(&mut self, host: &str) -> eyre::Result<()> {
        self.signal(host, Signal::Kill)?;
        self.host(host)?.1.reap()
    }

    /// Starts a host that has exited.
    pub fn restart(&mut self, host: &str) -> eyre::Result<()> {
        let launcher = self.plan.launcher.clone();
        let (settings, process) = self.host(host)?;
        *process = Process::start(&launcher, settings)?;
        Ok(())
    }

    /// Sends a signal to a host.
    pub fn signal(&mut self, host: &str, signal: Signal) -> eyre::Result<()> {
        self.host(host)?.1.signal(signal)
    }

    /// Waits for a host to exit, removes it from the cluster and returns its exit status. Returns `None` after the timeout.
    pub fn await_exit(
        &mut self,
        host: &str,
        timeout: Duration,
    ) -> eyre::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.host(host)?.1.exit_status()? {
                self.hosts.remove(host);
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Makes the table service unavailable, or available again.
    pub fn set_table_down(&self, down: bool) {
        self.fleet.platform.fault(&Fault { down: Some(down), ..Fault::default() });
    }

    /// Submits an urgent job that only this data centre may run, and returns the time until it has started.
    pub fn time_to_start(&self, id: &str, data_centre: &str) -> eyre::Result<Duration> {
        let specification = Specification {
            class: Class::Urgent,
            data_centres: vec![data_centre.to_owned()],
            ..job(id, &["run", "50"], true)
        };
        let begin = Instant::now();
        self.submit(&specification)?;
        while !self.starts().contains_key(id) {
            ensure!(begin.elapsed() < TIMEOUT, "{id} did not start within {TIMEOUT:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(begin.elapsed())
    }

    /// Submits work through any host and retries until it is accepted.
    pub fn submit(&self, specification: &Specification) -> eyre::Result<()> {
        let client = self.client(TEAM_KEY)?;
        let call = submission(specification);
        retry(|| client.send(&call)).map(|_| ())
    }

    /// Creates a client of all running hosts.
    pub fn client(&self, presented: &str) -> eyre::Result<Client> {
        let credential =
            Credential::parse(presented).ok_or_else(|| eyre!("not a key: {presented}"))?;
        Ok(Client::new(self.servers(), Some(credential)))
    }

    /// Returns the number of task starts so far, by name of the work.
    pub fn starts(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for worker in &self.fleet.workers {
            worker.with(|worker| {
                let names = worker.starts.iter().map(|(task, _)| task.work.name.clone());
                names.for_each(|name| *starts.entry(name).or_default() += 1);
            });
        }
        starts
    }

    /// Returns the number of running tasks of the work with this name.
    pub fn running(&self, name: &str) -> usize {
        let running = |worker: &mut shallotpost_standin::worker::Worker| {
            worker.running().iter().filter(|task| task.work.name == name).count()
        };
        self.fleet.workers.iter().map(|worker| worker.with(running)).sum()
    }

    /// Measures the cost over a period.
    pub fn measure_cost(&self, period: Duration) -> eyre::Result<Cost> {
        let begin = Instant::now();
        let before = self.counters()?;
        std::thread::sleep(period);
        let after = self.counters()?;
        let seconds = begin.elapsed().as_secs_f64();
        let processor_seconds = after.processor.iter().map(|(host, time)| {
            time.saturating_sub(before.processor.get(host).copied().unwrap_or(*time)).as_secs_f64()
        });
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
        let calls = after.calls.iter().map(|(cause, bytes)| {
            let before = before.calls.get(cause).copied().unwrap_or(0);
            (*cause, rate(before, *bytes) / 1000.0 / self.hosts.len() as f64)
        });
        Ok(Cost {
            processor_percent: 100.0 * processor_seconds.fold(0.0, f64::max) / seconds,
            memory_mib: after.memory_mib,
            traffic_kb_per_second: rate(before.bytes, after.bytes)
                / 1000.0
                / self.hosts.len() as f64,
            calls_kb_per_second: calls.collect(),
            writes_per_second: rate(before.writes, after.writes),
            reads_per_second: rate(before.reads, after.reads),
        })
    }

    fn counters(&self) -> eyre::Result<Counters> {
        let (reads, writes) = {
            let table = self.fleet.platform.table();
            (table.reads, table.writes)
        };
        let mut counters =
            Counters { reads, writes, bytes: loopback_bytes()?, ..Counters::default() };
        let workers = self.fleet.workers.iter().map(|worker| worker.traffic());
        for traffic in workers.chain([self.fleet.platform.traffic()]) {
            for (cause, bytes) in traffic {
                *counters.calls.entry(cause).or_default() += bytes;
            }
        }
        for (host, (_, process)) in &self.hosts {
            counters.processor.insert(host.clone(), process.processor_time()?);
            counters.memory_mib = counters.memory_mib.max(process.memory_mib()?);
        }
        Ok(counters)
    }

    fn set_up(&self) -> eyre::Result<()> {
        let operator = self.client(&operator_key())?;
        for (name, _, _) in self.plan.data_centres {
            let content = DataCentre { availability: Availability::Active, shards: 1 };
            put(&operator, name, &Resource::DataCentre(content))?;
        }
        let cap = Size::from_parts([u64::MAX; 4]);
        put(&operator, "laundry", &Resource::Team(Team { share: 1, cap }))?;
        let right = Right::Team("laundry".to_owned());
        let content = Key { right, digest: key::digest(b"laundry"), expires_unix_ms: None };
        put(&operator, "laundry-key", &Resource::Key(content))?;
        let owned = || {
            let rows = self.fleet.platform.table().rows("shards/");
            rows.iter().map(|row| row.key.clone()).collect::<BTreeSet<_>>().len()
                == self.plan.data_centres.len()
        };
        let deadline = Instant::now() + TIMEOUT;
        while !owned() {
            ensure!(Instant::now() < deadline, "not every shard has an owner after {TIMEOUT:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
        self.await_condition("every host knows the team's key", TIMEOUT, |cluster| {
            Ok(cluster.servers().iter().all(|server| cluster.accepts_team_key(server)))
        })
    }

    /// Returns whether the entry host accepts the key of the team.
    fn accepts_team_key(&self, server: &str) -> bool {
        let client = Client::new(vec![server.to_owned()], Credential::parse(TEAM_KEY));
        let answer = client.send(&Call::get("/v1/work/laundry/none"));
        matches!(answer, Err(Error::Problem { problem, .. }) if problem.kind == Kind::NotFound)
    }

    fn host(&mut self, host: &str) -> eyre::Result<&mut (Value, Process)> {
        self.hosts.get_mut(host).ok_or_else(|| eyre!("no host {host}"))
    }
}

#[derive(Default)]
struct Counters {
    reads: u64,
    writes: u64,
    bytes: u64,
    calls: Traffic,
    processor: BTreeMap<HostId, Duration>,
    memory_mib: f64,
}

/// Specification of a batch job of the team.
pub fn job(id: &str, command: &[&str], idempotent: bool) -> Specification {
    Specification {
        id: id.to_owned(),
        team: "laundry".to_owned(),
        class: Class::Batch,
        size: Size::from_parts([500, 512, 0, 1]),
        command: command.iter().map(|word| (*word).to_owned()).collect(),
        run_time: None,
        idempotent,
        deadline_unix_ms: None,
        data_centres: Vec::new(),
        queue: None,
        input: None,
        attempts: 3,
    }
}

/// Builds the request that submits this work.
pub fn submission(specification: &Specification) -> Call {
    let call = Call::change(Method::POST, "/v1/work".to_owned(), Effect::Idempotent, String::new());
    call.json(specification)
}

/// Retries a call until it succeeds or [`TIMEOUT`] has passed.
pub fn retry(call: impl Fn() -> Result<Reply, Error>) -> eyre::Result<Reply> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match call() {
            Ok(reply) => return Ok(reply),
            Err(error) if Instant::now() >= deadline => {
                bail!("no success within {TIMEOUT:?}: {error}")
            }
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

fn put(operator: &Client, name: &str, resource: &Resource) -> eyre::Result<()> {
    let path = format!("/v1/resources/{}/{name}", resource.kind());
    let call = Call::change(Method::PUT, path, Effect::Idempotent, String::new()).json(resource);
    retry(|| operator.send(&call)).map(|_| ())
}

fn operator_key() -> String {
    format!("bootstrap.{BOOTSTRAP_SECRET}")
}

fn fleet_settings(plan: &Plan) -> FleetSettings {
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut workers = Vec::new();
    for &(data_centre, small, large) in plan.data_centres {
        let mut add = |kind: &str, count: usize, per_rack: usize, capacity: Size| {
            workers.extend((0..count).map(|index| WorkerSettings {
                worker: WorkerId::from(format!("{data_centre}-{kind}-{index}")),
                address: ephemeral,
                data_centre: data_centre.to_owned(),
                rack: format!("{data_centre}-{kind}-rack-{}", index / per_rack),
                capacity,
            }));
        };
        add("small", small, 5, SMALL);
        add("large", large, 3, LARGE);
    }
    FleetSettings { platform: ephemeral, list_lag_ms: 1000, workers }
}

fn daemon_settings(plan: &Plan, host: &str, data_centre: &str, platform: SocketAddr) -> Value {
    serde_json::json!({
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
        "timeouts": {"stop_bound_ms": plan.stop_bound.as_millis() as u64},
        "log": {"level": "error"},
    })
}

/// Returns the number of bytes received on loopback since the machine started. Each byte is counted once.
fn loopback_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| eyre!("no loopback device in /proc/net/dev"))
}
