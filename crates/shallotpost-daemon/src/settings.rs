//! The settings file of `shallotpostd`: a JSON document that is checked as a whole before anything starts.
//!
//! docs/operating.md explains every field. `examples/settings.json` is a complete file.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};
use shallotpost_control::settings as control;
use shallotpost_control::settings::{Fencing, Seed, surely_lapsed};
use shallotpost_protocol::identity::{Address, DataCentreId, HostId, NAME_LENGTH_MAX, is_name};
use shallotpost_protocol::port::Level;

/// Longest time between two heartbeat transactions of an entry host; docs/design.md, section 3.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeats that fit into one ownership lease, so that two lost ones do not cost the ownership.
pub const HEARTBEATS_PER_LEASE: u32 = 3;

/// The configuration lease must be longer than this: two polls of `config/head`, one of which may be lost.
pub const CONFIGURATION_LEASE_FLOOR: Duration = Duration::from_secs(2);

/// Time in which a new owner claims the workers after the old ownership lease has lapsed.
pub const TAKEOVER: Duration = Duration::from_secs(2);

/// Longest accepted duration; a longer one is most likely given in the wrong unit.
pub const DURATION_MAX: Duration = Duration::from_secs(3600);

/// Largest accepted queue or connection limit; a larger one would not fit into the 64 MB of an entry host.
pub const LIMIT_MAX: u64 = 100_000;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Everything that the daemon reads from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its HTTP interface listens.
    pub http_address: Address,
    /// Where its peer streams listen.
    pub peer_address: Address,
    /// Services of the platform.
    pub platform: Platform,
    /// Other entry hosts; this host's own entry is left out.
    pub seeds: Vec<Seed>,
    /// SHA-256 digest of the secret of the key `bootstrap`.
    pub bootstrap_digest: Option<String>,
    /// Whether workers refuse old epochs.
    pub fencing: Fencing,
    /// Leases.
    pub leases: Leases,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Limits.
    pub limits: Limits,
    /// Logs.
    pub log: Log,
}

/// Base URLs of the platform's services, of the form `http://<ip>:<port>[/<path>]`, without a slash at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Worker list.
    pub list: String,
}

/// Leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leases {
    /// How long an owner may act after its last successful transaction.
    pub ownership: Duration,
    /// How long a worker runs tasks without a call from the owner.
    pub task: Duration,
    /// How long a host may act on its configuration after it was last confirmed.
    pub configuration: Duration,
}

/// Timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout of a call to the table service.
    pub table: Duration,
    /// Timeout of a call to a worker, beyond the wait that the call asks for.
    pub worker: Duration,
    /// Longest wait that one `sync` call asks a worker for.
    pub sync_wait: Duration,
    /// Timeout of each read or write of an object stream.
    pub objects: Duration,
    /// Most time from a stop request to the exit.
    pub stop_bound: Duration,
}

/// Limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most submissions that wait for their commit.
    pub admission_queue: usize,
    /// Most HTTP requests that are open at once.
    pub open_requests: usize,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Most lines of one event name in each interval.
    pub repeat_limit: u32,
    /// Length of the interval.
    pub repeat_interval: Duration,
}

impl Settings {
    /// Settings of the services. The caller draws `incarnation` and `random_seed` at random when the process starts.
    pub fn control(&self, incarnation: u64, random_seed: u64) -> control::Settings {
        control::Settings {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            peer_address: self.peer_address.clone(),
            http_address: self.http_address.clone(),
            incarnation,
            random_seed,
            seeds: self.seeds.clone(),
            bootstrap_digest: self.bootstrap_digest.clone(),
            ownership_lease: self.leases.ownership,
            task_lease: self.leases.task,
            configuration_lease: self.leases.configuration,
            fencing: self.fencing,
            table_timeout: self.timeouts.table,
            worker_timeout: self.timeouts.worker,
            sync_wait: self.timeouts.sync_wait,
            admission_queue_limit: self.limits.admission_queue,
            stop_bound: self.timeouts.stop_bound,
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {found}; expected {expected}. {remedy}")]
pub struct Fault {
    /// JSON path of the field; `$` is the whole file.
    pub path: String,
    /// What the file has there.
    pub found: String,
    /// What the field must be.
    pub expected: String,
    /// How to correct it.
    pub remedy: String,
}

/// Text of all faults, one a line, under a line that names the file.
pub fn listing(path: &Path, faults: &[Fault]) -> String {
    let plural = if faults.len() == 1 { "fault" } else { "faults" };
    let head = format!("{}: {} {plural}", path.display(), faults.len());
    faults.iter().fold(head, |text, fault| format!("{text}\n  {fault}"))
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every fault of the file, in the order of the fields.
pub fn check(path: &Path) -> Result<Settings, Vec<Fault>> {
    match fs::read_to_string(path) {
        Ok(text) => parse(&text),
        Err(error) => Err(vec![Fault {
            path: "$".to_owned(),
            found: format!("the file cannot be read ({error})"),
            expected: "a readable JSON file".to_owned(),
            remedy: format!("Check the path {} and its permissions.", path.display()),
        }]),
    }
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// Every fault of the text, in the order of the fields.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let document = serde_json::from_str(text).map_err(|error| {
        vec![Fault {
            path: "$".to_owned(),
            found: format!("the text is not JSON ({error})"),
            expected: "one JSON object".to_owned(),
            remedy: "Correct the syntax at the named line and column.".to_owned(),
        }]
    })?;
    let mut faults = Faults::default();
    let settings = read(&document, &mut faults);
    match settings {
        Some(settings) if faults.0.is_empty() => Ok(settings),
        _ => Err(faults.0),
    }
}

/// Reads the document; every fault is recorded, and the result counts only if there is none.
fn read(document: &Value, faults: &mut Faults) -> Option<Settings> {
    let mut root = Object::new("$".to_owned(), document, faults)?;
    let host = root.name("host", faults);
    let data_centre = root.name("data_centre", faults);
    let http_address = root.address("http_address", faults);
    let peer_address = root.address("peer_address", faults);
    let platform = platform(&mut root, faults);
    let seeds = seeds(&mut root, faults);
    let bootstrap_digest = root.digest("bootstrap_digest", faults);
    let fencing = root.choice("worker_fencing", Fencing::Epoch, &["epoch", "none"], faults);
    let leases = leases(&mut root, faults);
    let timeouts = timeouts(&mut root, faults);
    let limits = limits(&mut root, faults);
    let log = log(&mut root, faults);
    root.finish(faults);

    let mut settings = Settings {
        host,
        data_centre,
        http_address,
        peer_address,
        platform,
        seeds: Vec::new(),
        bootstrap_digest,
        fencing,
        leases,
        timeouts,
        limits,
        log,
    };
    check_addresses(&settings, &seeds, faults);
    let is_other = |seed: &Seed| seed.host != settings.host;
    settings.seeds = seeds.into_iter().flatten().filter(is_other).collect();
    check_leases(&settings, faults);
    check_timeouts(&settings, faults);
    Some(settings)
}

fn platform(root: &mut Object, faults: &mut Faults) -> Platform {
    let Some(mut object) = root.section("platform", true, faults) else {
        return Platform { table: String::new(), objects: String::new(), list: String::new() };
    };
    let platform = Platform {
        table: object.url("table", faults),
        objects: object.url("objects", faults),
        list: object.url("list", faults),
    };
    object.finish(faults);
    platform
}

/// Reads the seeds; an unreadable entry is `None`, so that later faults name the right index.
fn seeds(root: &mut Object, faults: &mut Faults) -> Vec<Option<Seed>> {
    let path = root.path_of("seeds");
    let entries = match root.take("seeds") {
        None => return Vec::new(),
        Some(Value::Array(entries)) => entries,
        Some(other) => {
            faults.add(
                &path,
                shown(other),
                "an array of entry hosts",
                "List the other entry hosts.",
            );
            return Vec::new();
        }
    };
    let mut seeds = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let Some(mut object) = Object::new(format!("{path}[{index}]"), entry, faults) else {
            seeds.push(None);
            continue;
        };
        seeds.push(Some(Seed {
            host: object.name("host", faults),
            data_centre: object.name("data_centre", faults),
            peer_address: object.address("peer_address", faults),
        }));
        object.finish(faults);
    }
    seeds
}

fn leases(root: &mut Object, faults: &mut Faults) -> Leases {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("leases", false, faults).unwrap_or_default();
    let leases = Leases {
        ownership: object.duration("ownership_lease_ms", defaults.ownership_lease, faults),
        task: object.duration("task_lease_ms", defaults.task_lease, faults),
        configuration: object.duration(
            "configuration_lease_ms",
            defaults.configuration_lease,
            faults,
        ),
    };
    object.finish(faults);
    leases
}

fn timeouts(root: &mut Object, faults: &mut Faults) -> Timeouts {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("timeouts", false, faults).unwrap_or_default();
    let timeouts = Timeouts {
        table: object.duration("table_timeout_ms", defaults.table_timeout, faults),
        worker: object.duration("worker_timeout_ms", defaults.worker_timeout, faults),
        sync_wait: object.duration("sync_wait_ms", defaults.sync_wait, faults),
        objects: object.duration("objects_timeout_ms", Duration::from_secs(10), faults),
        stop_bound: object.duration("stop_bound_ms", defaults.stop_bound, faults),
    };
    object.finish(faults);
    timeouts
}

fn limits(root: &mut Object, faults: &mut Faults) -> Limits {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("limits", false, faults).unwrap_or_default();
    let admission_queue = defaults.admission_queue_limit as u64;
    let limits = Limits {
        admission_queue: object.count("admission_queue", admission_queue, LIMIT_MAX, faults)
            as usize,
        open_requests: object.count("open_requests", 4096, LIMIT_MAX, faults) as usize,
    };
    object.finish(faults);
    limits
}

fn log(root: &mut Object, faults: &mut Faults) -> Log {
    let mut object = root.section("log", false, faults).unwrap_or_default();
    let names = ["error", "warn", "info", "debug"];
    let level = object.choice("level", LevelName(Level::Info), &names, faults);
    let log = Log {
        level: level.0,
        repeat_limit: object.count("repeat_limit", 10, 10_000, faults) as u32,
        repeat_interval: object.duration("repeat_interval_ms", Duration::from_secs(10), faults),
    };
    object.finish(faults);
    log
}

/// Addresses that other hosts use must be distinct, and this host's own seed must agree with its settings.
fn check_addresses(settings: &Settings, seeds: &[Option<Seed>], faults: &mut Faults) {
    if !settings.peer_address.is_empty() && settings.peer_address == settings.http_address {
        faults.add(
            "$.peer_address",
            format!("{} is also http_address", settings.peer_address),
            "an address of its own",
            "Give the peer streams another port.",
        );
    }
    let (mut hosts, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for (index, seed) in seeds.iter().enumerate() {
        let Some(seed) = seed else { continue };
        let path = format!("$.seeds[{index}]");
        if !seed.host.is_empty() && !hosts.insert(&seed.host) {
            let found = format!("{} is listed twice", seed.host);
            faults.add(&format!("{path}.host"), found, "each host once", "Remove one entry.");
        }
        if !seed.peer_address.is_empty() && !addresses.insert(&seed.peer_address) {
            let found = format!("{} is listed twice", seed.peer_address);
            let remedy = "Correct the address of one of the two hosts.";
            faults.add(&format!("{path}.peer_address"), found, "each address once", remedy);
        }
        if contradicts(seed, settings) {
            faults.add(
                &path,
                format!("the entry of this host, {}, differs from its settings", seed.host),
                "the data_centre and peer_address of this file",
                "Correct the entry, or leave this host out of its own seeds.",
            );
        }
    }
}

/// Whether the seed is this host's own and has another data centre or address. A faulty field, which is empty,
/// contradicts nothing, since it has a fault of its own.
fn contradicts(seed: &Seed, settings: &Settings) -> bool {
    let differ = |left: &str, right: &str| !left.is_empty() && !right.is_empty() && left != right;
    !seed.host.is_empty()
        && seed.host == settings.host
        && (differ(&seed.data_centre, &settings.data_centre)
            || differ(&seed.peer_address, &settings.peer_address))
}

fn check_leases(settings: &Settings, faults: &mut Faults) {
    let leases = &settings.leases;
    let ownership_least = HEARTBEAT_INTERVAL * HEARTBEATS_PER_LEASE;
    if leases.ownership < ownership_least {
        faults.add(
            "$.leases.ownership_lease_ms",
            milliseconds(leases.ownership),
            &format!(
                "at least {}, {HEARTBEATS_PER_LEASE} times the heartbeat interval",
                milliseconds(ownership_least)
            ),
            "Lengthen the lease; a shorter one is lost with a single late heartbeat.",
        );
    }
    if leases.configuration <= CONFIGURATION_LEASE_FLOOR {
        faults.add(
            "$.leases.configuration_lease_ms",
            milliseconds(leases.configuration),
            &format!("more than {}", milliseconds(CONFIGURATION_LEASE_FLOOR)),
            "Lengthen the lease; it must outlast a lost poll of the configuration.",
        );
    }
    let takeover = surely_lapsed(leases.ownership) + TAKEOVER;
    if leases.task <= takeover {
        faults.add(
            "$.leases.task_lease_ms",
            milliseconds(leases.task),
            &format!(
                "more than {}, the time until a new owner has claimed the workers",
                milliseconds(takeover)
            ),
            "Lengthen the task lease or shorten the ownership lease; otherwise a takeover ends running tasks.",
        );
    }
}

fn check_timeouts(settings: &Settings, faults: &mut Faults) {
    let (leases, timeouts) = (&settings.leases, &settings.timeouts);
    if timeouts.table >= leases.ownership {
        faults.add(
            "$.timeouts.table_timeout_ms",
            milliseconds(timeouts.table),
            &format!("less than ownership_lease_ms, {}", milliseconds(leases.ownership)),
            "Shorten the timeout; otherwise one lost response costs the ownership lease.",
        );
    }
    let sync = timeouts.sync_wait + timeouts.worker;
    if sync * 2 > leases.task {
        faults.add(
            "$.timeouts.sync_wait_ms",
            format!("{} together with worker_timeout_ms", milliseconds(sync)),
            &format!("at most half of task_lease_ms, {}", milliseconds(leases.task / 2)),
            "Shorten sync_wait_ms or worker_timeout_ms; otherwise one lost call ends running tasks.",
        );
    }
    let open_calls = timeouts.table + timeouts.worker;
    if timeouts.stop_bound <= open_calls {
        faults.add(
            "$.timeouts.stop_bound_ms",
            milliseconds(timeouts.stop_bound),
            &format!("more than {}, the timeouts of open calls", milliseconds(open_calls)),
            "Lengthen the bound; otherwise a planned stop interrupts open calls.",
        );
    }
}

/// Faults found so far.
#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: &str, found: impl Into<String>, expected: &str, remedy: &str) {
        self.0.push(Fault {
            path: path.to_owned(),
            found: found.into(),
            expected: expected.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

/// A JSON object whose fields are taken one by one; `finish` reports the fields that nobody took.
#[derive(Default)]
struct Object<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    taken: BTreeSet<&'static str>,
}

impl<'a> Object<'a> {
    fn new(path: String, value: &'a Value, faults: &mut Faults) -> Option<Object<'a>> {
        match value {
            Value::Object(fields) => {
                Some(Object { path, fields: Some(fields), taken: BTreeSet::new() })
            }
            other => {
                faults.add(&path, shown(other), "an object", "Write its fields in braces.");
                None
            }
        }
    }

    fn path_of(&self, field: &str) -> String {
        format!("{}.{field}", self.path)
    }

    fn take(&mut self, field: &'static str) -> Option<&'a Value> {
        self.taken.insert(field);
        self.fields.and_then(|fields| fields.get(field))
    }

    fn section(
        &mut self,
        field: &'static str,
        required: bool,
        faults: &mut Faults,
    ) -> Option<Object<'a>> {
        let path = self.path_of(field);
        match self.take(field) {
            Some(value) => Object::new(path, value, faults),
            None if required => {
                faults.add(&path, "the field is missing", "an object", "Add it.");
                None
            }
            None => None,
        }
    }

    /// Takes a required text that `accept` must approve; an empty text stands for a fault.
    fn text(
        &mut self,
        field: &'static str,
        expected: &str,
        remedy: &str,
        accept: impl Fn(&str) -> bool,
        faults: &mut Faults,
    ) -> String {
        let path = self.path_of(field);
        match self.take(field) {
            Some(Value::String(text)) if accept(text) => return text.clone(),
            Some(other) => faults.add(&path, shown(other), expected, remedy),
            None => faults.add(&path, "the field is missing", expected, remedy),
        }
        String::new()
    }

    fn name(&mut self, field: &'static str, faults: &mut Faults) -> String {
        let expected = format!(
            "1 to {NAME_LENGTH_MAX} letters, digits, '-', '_' or '.', not starting with a dot"
        );
        self.text(field, &expected, "Use the name that the deployment gives it.", is_name, faults)
    }

    fn address(&mut self, field: &'static str, faults: &mut Faults) -> String {
        self.text(
            field,
            "<ip>:<port> that other hosts can connect to, with a port other than 0",
            "Write the IP address itself, for example 10.0.0.1:8080; names are not resolved.",
            is_address,
            faults,
        )
    }

    fn url(&mut self, field: &'static str, faults: &mut Faults) -> String {
        let text = self.text(
            field,
            "http://<ip>:<port>, with an optional path",
            "Write the IP address itself, for example http://10.0.0.20:9000.",
            is_url,
            faults,
        );
        text.trim_end_matches('/').to_owned()
    }

    fn digest(&mut self, field: &'static str, faults: &mut Faults) -> Option<String> {
        let path = self.path_of(field);
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        match self.take(field) {
            None | Some(Value::Null) => None,
            Some(Value::String(text))
                if text.len() == DIGEST_DIGITS && text.bytes().all(is_digit) =>
            {
                Some(text.clone())
            }
            Some(_) => {
                // The text is not repeated: an operator may have written the secret itself.
                faults.add(
                    &path,
                    "the value is not a digest",
                    "64 lower-case hexadecimal digits, the SHA-256 digest of the secret",
                    "Compute it with `printf %s SECRET | sha256sum`; never write the secret here.",
                );
                None
            }
        }
    }

    fn choice<T: FromStr>(
        &mut self,
        field: &'static str,
        default: T,
        names: &[&str],
        faults: &mut Faults,
    ) -> T {
        let path = self.path_of(field);
        let Some(value) = self.take(field) else { return default };
        match value.as_str().and_then(|text| text.parse().ok()) {
            Some(choice) => choice,
            None => {
                let expected = format!("one of {}", names.join(", "));
                faults.add(&path, shown(value), &expected, "Choose one of the names.");
                default
            }
        }
    }

    fn duration(
        &mut self,
        field: &'static str,
        default: Duration,
        faults: &mut Faults,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let most = u64::try_from(DURATION_MAX.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.count(field, default, most, faults))
    }

    fn count(&mut self, field: &'static str, default: u64, most: u64, faults: &mut Faults) -> u64 {
        let path = self.path_of(field);
        let Some(value) = self.take(field) else { return default };
        match value.as_u64() {
            Some(count) if (1..=most).contains(&count) => count,
            _ => {
                let expected = format!("a whole number from 1 to {most}");
                let remedy = if field.ends_with("_ms") {
                    "Give the duration in milliseconds."
                } else {
                    "Choose a number in the range."
                };
                faults.add(&path, shown(value), &expected, remedy);
                default
            }
        }
    }

    fn finish(self, faults: &mut Faults) {
        let known = self.taken.iter().copied().collect::<Vec<_>>().join(", ");
        let unknown = |field: &&String| !self.taken.contains(field.as_str());
        for field in self.fields.into_iter().flat_map(Map::keys).filter(unknown) {
            faults.add(
                &format!("{}.{field}", self.path),
                "the field is not known",
                &format!("one of {known}"),
                "Correct the spelling or remove the field.",
            );
        }
    }
}

/// `Level` by name.
struct LevelName(Level);

impl FromStr for LevelName {
    type Err = ();

    fn from_str(text: &str) -> Result<LevelName, ()> {
        match text {
            "error" => Ok(LevelName(Level::Error)),
            "warn" => Ok(LevelName(Level::Warn)),
            "info" => Ok(LevelName(Level::Info)),
            "debug" => Ok(LevelName(Level::Debug)),
            _ => Err(()),
        }
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0 && !address.ip().is_unspecified())
}

fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else { return false };
    let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
    is_address(address)
        && path.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#".contains(&byte))
}

fn milliseconds(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

/// A value in a message, cut to a length that keeps the message readable.
fn shown(value: &Value) -> String {
    const LENGTH_MAX: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(LENGTH_MAX) {
        Some((end, _)) => format!("the value is {}...", &text[..end]),
        None => format!("the value is {text}"),
    }
}

impl fmt::Display for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "table {}, objects {}, list {}", self.table, self.objects, self.list)
    }
}
