//! Runs one kernel in virtual time with fakes of the table, the workers and the peers, and meters each kind of message.
//!
//! Only the time inside the kernel and for encoding and decoding is measured, not the time of the fakes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use shallotpost_control::kernel::{Kernel, TICK};
use shallotpost_control::prelude::*;
use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::wire::{Frame, Load, Pong};
use shallotpost_protocol::{table, worker, worker_list};
use shallotpost_standin::table::Table;
use shallotpost_standin::worker::Worker;

use crate::deployment::{Deployment, settings, team};

/// Virtual time from an effect to its event.
const LATENCY: Duration = Duration::from_millis(1);

/// Interval at which a fake peer writes its host row.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950);

/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Counts, times and bytes of one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Number of messages.
    pub count: u64,
    /// Time inside the kernel.
    pub kernel: Duration,
    /// Time to encode sent messages and to decode received ones.
    pub codec: Duration,
    /// Bytes sent, without transport overhead.
    pub sent: u64,
    /// Bytes received, without transport overhead.
    pub received: u64,
}

impl Meter {
    /// Adds the counts of another period.
    pub fn add(&mut self, other: &Meter) {
        self.count += other.count;
        self.kernel += other.kernel;
        self.codec += other.codec;
        self.sent += other.sent;
        self.received += other.received;
    }

    /// Returns the minimum times of two runs of the same scenario. A run that was preempted has higher times.
    pub fn min_times(self, other: &Meter) -> Meter {
        Meter { kernel: self.kernel.min(other.kernel), codec: self.codec.min(other.codec), ..self }
    }

    /// Returns the kernel time per message, in microseconds.
    pub fn kernel_micros(&self) -> f64 {
        self.kernel.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }

    /// Returns the encoding and decoding time per message, in microseconds.
    pub fn codec_micros(&self) -> f64 {
        self.codec.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }

    /// Returns the bytes per message, in both directions.
    pub fn bytes(&self) -> f64 {
        (self.sent + self.received) as f64 / self.count.max(1) as f64
    }
}

/// A fake worker with its `Sync` call in flight.
struct FakeWorker {
    entry: worker_list::Worker,
    state: Worker,
    sync: Option<OpenSync>,
}

/// A `Sync` call in flight.
struct OpenSync {
    call: CallId,
    request: worker::Request,
    epoch: Epoch,
    until: Instant,
}

/// Other shards that write the cap rows.
struct CompetingWriters {
    teams: usize,
    /// Writes of each cap row per second.
    rate: usize,
    /// Number of due writes, in hundredths.
    due_hundredths: usize,
    written: usize,
    random: StdRng,
}

/// A fake entry host.
struct FakePeer {
    row: Host,
    shard: Shard,
    next_heartbeat: Instant,
    next_ping: Instant,
    interval: Duration,
}

/// The kernel with its fakes and meters.
pub struct Bench {
    kernel: Kernel,
    start: Instant,
    now: Instant,
    /// Fake of the table service.
    pub table: Table,
    workers: BTreeMap<WorkerId, FakeWorker>,
    peers: BTreeMap<HostId, FakePeer>,
    due: BTreeMap<(Instant, u64), (&'static str, Event)>,
    next_due: u64,
    next_request: RequestId,
    open: BTreeSet<RequestId>,
    refused: u64,
    meters: BTreeMap<&'static str, Meter>,
    competing_writers: Option<CompetingWriters>,
    table_down: bool,
}

impl Bench {
    /// Starts the kernel and runs until it owns its shards and every worker is claimed.
    pub fn new(deployment: &Deployment) -> Bench {
        let now = Instant::now();
        let settings = settings(deployment);
        let mut bench = Bench {
            kernel: Kernel::new(&settings, now, START_UNIX_MS),
            start: now,
            now,
            table: deployment.table(),
            workers: BTreeMap::new(),
            peers: BTreeMap::new(),
            due: BTreeMap::new(),
            next_due: 0,
            next_request: 0,
            open: BTreeSet::new(),
            refused: 0,
            meters: BTreeMap::new(),
            competing_writers: None,
            table_down: false,
        };
        for entry in deployment.workers() {
            let state = Worker::new(1, entry.capacity);
            bench.workers.insert(entry.worker.clone(), FakeWorker { entry, state, sync: None });
        }
        for (index, (row, shard)) in deployment.peers().into_iter().enumerate() {
            // Distributes the peers over the interval, like real hosts.
            let offset = Duration::from_millis(index as u64 * 37 % 950);
            let interval =
                Duration::from_millis(if shard.data_centre == "d0" { 500 } else { 1000 });
            let (next_heartbeat, next_ping) = (now + offset, now + offset);
            let peer = FakePeer { row, shard, next_heartbeat, next_ping, interval };
            bench.peers.insert(peer.row.host.clone(), peer);
        }
        bench.run(Duration::from_secs(12));
        bench
    }

    /// Runs for `period` and returns the meters by kind of message.
    pub fn measure(&mut self, period: Duration) -> BTreeMap<&'static str, Meter> {
        let end = self.now + period;
        while self.now < end {
            self.step();
        }
        std::mem::take(&mut self.meters)
    }

    /// Runs for `period` and discards the meters.
    pub fn run(&mut self, period: Duration) {
        self.measure(period);
    }

    /// Runs until the condition holds, and discards the meters. Returns false if it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Bench) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !condition(self) {
            self.step();
        }
        self.meters.clear();
        condition(self)
    }

    /// Sends a request, which is metered as `kind`.
    pub fn request(&mut self, kind: &'static str, key: &str, request: Request) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        self.open.insert(id);
        let call = Call { key: key.to_owned(), request };
        let _: Option<Call> = self.json(kind, &call, false);
        self.schedule(Duration::ZERO, kind, Event::Request { request: id, call });
        id
    }

    /// Makes other shards write the cap row of each of the first `teams` teams `rate` times per second on average.
    pub fn set_competing_writers(&mut self, teams: usize, rate: usize) {
        let random = StdRng::seed_from_u64(1);
        self.competing_writers =
            Some(CompetingWriters { teams, rate, due_hundredths: 0, written: 0, random });
    }

    /// Makes every call to the table fail immediately, or succeed again.
    pub fn set_table_down(&mut self, down: bool) {
        self.table_down = down;
    }

    /// Returns the number of unanswered requests.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.workers.values().map(|fake| fake.state.running().len()).sum()
    }

    /// Returns the number of task starts so far.
    pub fn starts(&self) -> usize {
        self.workers.values().map(|fake| fake.state.starts.len()).sum()
    }

    /// Returns a copy of the fakes, from which their memory can be measured.
    pub fn copy_fakes(&self) -> (Table, Vec<(worker_list::Worker, Worker)>) {
        let workers = self.workers.values();
        let copies = workers.map(|fake| (fake.entry.clone(), fake.state.clone()));
        (self.table.clone(), copies.collect())
    }

    fn step(&mut self) {
        self.now += TICK;
        self.run_peers();
        self.run_competing_writers();
        self.run_workers();
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (kind, event) = entry.remove();
            let (now, unix_ms) = (self.now, self.unix_ms());
            self.time_kernel(kind, |kernel| kernel.deliver(now, unix_ms, event));
        }
        let (now, unix_ms) = (self.now, self.unix_ms());
        self.time_kernel("tick", |kernel| kernel.advance(now, unix_ms));
    }

    fn time_kernel(&mut self, kind: &'static str, action: impl FnOnce(&mut Kernel)) {
        let begin = Instant::now();
        action(&mut self.kernel);
        let effects = self.kernel.take_effects();
        let meter = self.meters.entry(kind).or_default();
        meter.kernel += begin.elapsed();
        meter.count += 1;
        effects.into_iter().for_each(|effect| self.execute(effect));
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { request, result } => {
                self.open.remove(&request);
                self.refused += u64::from(result.is_err());
                if let Ok(reply) = result {
                    let _: Option<Reply> = self.json("answer", &reply, true);
                    self.meters.entry("answer").or_default().count += 1;
                }
            }
            Effect::Table { call, request, .. } => self.call_table(call, &request),
            Effect::WorkerList { call, .. } => {
                let entries: Vec<worker_list::Worker> =
                    self.workers.values().map(|fake| fake.entry.clone()).collect();
                let decoded: Option<Vec<worker_list::Worker>> = self.json("list", &entries, false);
                let event = Event::WorkerList { call, result: Ok(decoded.unwrap_or_default()) };
                self.schedule(LATENCY, "list", event);
            }
            Effect::Worker { call, worker, request, .. } => {
                self.call_worker(call, &worker, request)
            }
            Effect::Peer { to, frame, .. } => self.receive(&to, &frame),
            Effect::Log(_) | Effect::Observe(_) | Effect::Stopped => {}
        }
    }

    fn call_table(&mut self, call: CallId, request: &table::Request) {
        let kind = table_call_kind(request);
        let _: Option<table::Request> = self.json(kind, request, true);
        if self.table_down {
            let event = Event::Table { call, result: Err(Failure::NotSent) };
            return self.schedule(LATENCY, kind, event);
        }
        let reply = self.table.handle(request);
        if matches!(reply, table::Reply::Conflict { .. }) {
            self.meters.entry("table_conflict").or_default().count += 1;
        }
        let reply = self.json(kind, &reply, false).unwrap_or(reply);
        self.schedule(LATENCY, kind, Event::Table { call, result: Ok(reply) });
    }

    fn call_worker(&mut self, call: CallId, id: &str, request: worker::Request) {
        let kind = match &request {
            worker::Request::Claim { .. } => "claim",
            worker::Request::Start { .. } => "start",
            worker::Request::Stop { .. } => "stop",
            worker::Request::Sync { .. } => "sync",
        };
        let now = self.now;
        let Some(fake) = self.workers.get_mut(id) else { return };
        match (&request, fake.state.renew(now, &request)) {
            (worker::Request::Sync { epoch, wait, .. }, None) => {
                let (epoch, until) = (*epoch, now + *wait);
                fake.sync = Some(OpenSync { call, request, epoch, until });
            }
            _ => {
                let reply = fake.state.handle(now, &request);
                self.answer_worker(kind, call, &request, reply);
            }
        }
    }

    fn answer_worker(
        &mut self,
        kind: &'static str,
        call: CallId,
        request: &worker::Request,
        reply: worker::Reply,
    ) {
        let _: Option<worker::Request> = self.json(kind, request, true);
        let reply = self.json(kind, &reply, false).unwrap_or(reply);
        self.schedule(LATENCY, kind, Event::Worker { call, result: Ok(reply) });
    }

    fn run_workers(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for fake in self.workers.values_mut() {
            fake.state.advance(now);
            let changed = fake.state.has_unreported_change();
            if let Some(sync) = fake.sync.take_if(|sync| changed || now >= sync.until) {
                let reply = fake.state.report(now, sync.epoch);
                answers.push((if changed { "sync_change" } else { "sync" }, sync, reply));
            }
        }
        for (kind, sync, reply) in answers {
            self.answer_worker(kind, sync.call, &sync.request, reply);
        }
    }

    /// Handles a frame sent to a fake peer.
    fn receive(&mut self, to: &str, frame: &Frame) {
        let kind = match frame {
            Frame::Ping { .. } => "ping_sent",
            Frame::Pong(_) => "pong_sent",
            _ => "frame_sent",
        };
        self.bincode(kind, frame, true);
        self.meters.entry(kind).or_default().count += 1;
        let revision = self.revision();
        let (Frame::Ping { number }, Some(peer)) = (frame, self.peers.get(to)) else { return };
        let pong = Frame::Pong(Pong {
            number: *number,
            incarnation: peer.row.incarnation,
            revision,
            freshness_age: Some(Duration::from_millis(500)),
            update_in_flight: false,
            draining: false,
            shards: vec![load(&peer.shard)],
        });
        self.bincode("pong", &pong, false);
        let event = Event::Peer { from: to.to_owned(), frame: pong };
        self.schedule(LATENCY, "pong", event);
    }

    fn run_peers(&mut self) {
        let (now, revision) = (self.now, self.revision());
        let mut pings = Vec::new();
        for peer in self.peers.values_mut() {
            if now >= peer.next_heartbeat {
                peer.next_heartbeat = now + HEARTBEAT_INTERVAL;
                peer.row.sequence += 1;
                peer.row.applied = revision;
                let key = host::row_key(&peer.row.data_centre, &peer.row.host);
                let write = table::Write { key, value: serde_json::to_string(&peer.row).ok() };
                self.table
                    .handle(&table::Request::Transact { checks: Vec::new(), writes: vec![write] });
            }
            if now >= peer.next_ping {
                peer.next_ping = now + peer.interval;
                pings.push((peer.row.host.clone(), peer.row.sequence));
            }
        }
        for (from, number) in pings {
            let frame = Frame::Ping { number };
            self.bincode("ping", &frame, false);
            self.schedule(LATENCY, "ping", Event::Peer { from, frame });
        }
    }

    fn run_competing_writers(&mut self) {
        let Some(writers) = &mut self.competing_writers else { return };
        writers.due_hundredths += writers.teams * writers.rate;
        // One step is a hundredth of a second.
        while writers.due_hundredths >= 100 {
            writers.due_hundredths -= 100;
            let key = format!("caps/{}", team(writers.random.random_range(0..writers.teams)));
            let shard = format!("d1/{}", writers.random.random_range(0..9));
            writers.written += 1;
            let Some(row) = self.table.row(&key) else { continue };
            let Ok(mut value) = serde_json::from_str::<serde_json::Value>(&row.value) else {
                continue;
            };
            value["grants"][shard] =
                serde_json::json!(Size::from_parts([writers.written as u64, 1, 0, 1]));
            let write = table::Write { key, value: Some(value.to_string()) };
            self.table
                .handle(&table::Request::Transact { checks: Vec::new(), writes: vec![write] });
        }
    }

    fn revision(&self) -> Revision {
        let row = self.table.row(shallotpost_protocol::resource::HEAD_KEY);
        row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or(0)
    }

    /// Meters an encoded message. Times the encoding if the host sends it and the decoding if the host receives it. Returns
    /// the decoded copy of a received message.
    fn json<T: Serialize + DeserializeOwned>(
        &mut self,
        kind: &'static str,
        message: &T,
        sent: bool,
    ) -> Option<T> {
        let begin = Instant::now();
        let bytes = serde_json::to_vec(message).unwrap_or_default();
        let encoded = begin.elapsed();
        let decoded = if sent { None } else { serde_json::from_slice(&bytes).ok() };
        let meter = self.meters.entry(kind).or_default();
        match sent {
            true => {
                meter.sent += bytes.len() as u64;
                meter.codec += encoded;
            }
            false => {
                meter.received += bytes.len() as u64;
                meter.codec += begin.elapsed() - encoded;
            }
        }
        decoded
    }

    fn bincode(&mut self, kind: &'static str, frame: &Frame, sent: bool) {
        let configuration = bincode::config::standard();
        let begin = Instant::now();
        let bytes = bincode::serde::encode_to_vec(frame, configuration).unwrap_or_default();
        let encoded = begin.elapsed();
        let meter = self.meters.entry(kind).or_default();
        if sent {
            meter.sent += bytes.len() as u64;
            meter.codec += encoded;
            return;
        }
        let begin = Instant::now();
        let decoded: Result<(Frame, usize), _> =
            bincode::serde::decode_from_slice(&bytes, configuration);
        meter.received += bytes.len() as u64;
        meter.codec += begin.elapsed();
        debug_assert!(decoded.is_ok());
    }

    fn schedule(&mut self, delay: Duration, kind: &'static str, event: Event) {
        self.next_due += 1;
        self.due.insert((self.now + delay, self.next_due), (kind, event));
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + u64::try_from((self.now - self.start).as_millis()).unwrap_or(0)
    }
}

/// Returns the load that a fake peer reports for its shard.
fn load(shard: &Shard) -> Load {
    let capacity = Size::from_parts([4_256_000, 17_039_360, 266, 1064]);
    Load {
        shard: shard.clone(),
        epoch: 3,
        capacity,
        booked: capacity,
        waiting: capacity,
        largest: Size::from_parts([32_000, 131_072, 2, 8]),
        waiting_tasks: 500,
        running_tasks: 667,
        workers: 133,
        silent_workers: 1,
    }
}

/// Returns the meter name of a table call.
fn table_call_kind(request: &table::Request) -> &'static str {
    let first = match request {
        table::Request::Read { keys } => keys.first().map_or("", String::as_str),
        table::Request::Scan { prefix, .. } => prefix.as_str(),
        table::Request::Transact { writes, .. } if writes.len() == 1 => return "table_heartbeat",
        table::Request::Transact { .. } => return "table_commit",
    };
    match (request, first) {
        (table::Request::Scan { .. }, "hosts/") => "table_scan_all_hosts",
        (table::Request::Scan { .. }, key) if key.starts_with("hosts/") => "table_scan_own_hosts",
        (table::Request::Scan { .. }, key) if key.starts_with("shards/") => "table_scan_shards",
        (table::Request::Scan { .. }, key) if key.starts_with("work/") => "table_scan_work",
        (table::Request::Scan { .. }, key) if key.starts_with("config/") => "table_scan_config",
        (table::Request::Scan { .. }, _) => "table_scan_other",
        (_, key) if key.starts_with("hosts/") => "table_read_own_row",
        (_, key) if key.starts_with("work/") => "table_read_work",
        (_, key) if key.starts_with("ids/") => "table_read_ids",
        (_, key) if key.starts_with("caps/") => "table_read_caps",
        (_, key) if key.starts_with("config/") => "table_read_head",
        _ => "table_read_other",
    }
}
