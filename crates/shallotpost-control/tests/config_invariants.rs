//! Guards the configuration invariants of three hosts under random table and network faults, with fixed seeds.

#[path = "support/config_cluster.rs"]
mod config_cluster;

use std::collections::BTreeMap;
use std::rc::Rc;

use config_cluster::{ConfigCluster, Fault, STEP, pong, put, settings, team};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::prelude::*;
use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{Change, LOG_PREFIX, Resource};

const HOSTS: usize = 3;

/// State that a host has reported in its messages so far.
#[derive(Clone, Default)]
struct HostView {
    revision: Revision,
    fresh_until: Option<Instant>,
    reported: (Revision, Option<Instant>, bool),
}

struct Run {
    cluster: ConfigCluster,
    random: StdRng,
    seen: Vec<HostView>,
    peers: Vec<Vec<Peer>>,
    /// Version of each host row that each host saw last.
    versions: BTreeMap<(usize, usize), u64>,
    /// Whether hosts reach each other.
    links: [[bool; HOSTS]; HOSTS],
    answers: BTreeMap<u64, Result<Reply, Problem>>,
    /// Highest revision that was reported to be in force.
    in_force: Revision,
}

impl Run {
    fn new(seed: u64) -> Run {
        let peer = |index: usize| {
            let Settings { host, data_centre, .. } = settings(index);
            Peer { host, data_centre, ..config_cluster::peer() }
        };
        let others = |own| (0..HOSTS).filter(move |index| *index != own);
        Run {
            cluster: ConfigCluster::new(HOSTS, true),
            random: StdRng::seed_from_u64(seed),
            seen: vec![HostView::default(); HOSTS],
            peers: (0..HOSTS).map(|own| others(own).map(peer).collect()).collect(),
            versions: BTreeMap::new(),
            links: [[true; HOSTS]; HOSTS],
            answers: BTreeMap::new(),
            in_force: 0,
        }
    }

    /// Injects or ends a random fault of the table or of a link.
    fn inject_fault(&mut self) {
        let node = self.random.random_range(0..HOSTS);
        let state = &mut self.cluster.nodes[node];
        match self.random.random_range(0..10) {
            0 => state.outage = Some(Fault::NotSent),
            1 => state.outage = Some(Fault::LostBefore),
            2 => state.outage = Some(Fault::Slow(Duration::from_millis(700))),
            3 => state.faults.push_back(("config/head", Fault::LostAfter)),
            4 => state.faults.push_back(("config/head", Fault::LostBefore)),
            5 => {
                let delay = Duration::from_millis(self.random.random_range(0..9000));
                state.faults.push_back(("config/head", Fault::Late(delay)));
            }
            6 => {
                let other = self.random.random_range(0..HOSTS);
                let is_up = self.random.random();
                (self.links[node][other], self.links[other][node]) = (is_up, is_up);
            }
            7 => {
                self.cluster.nodes.iter_mut().for_each(|node| node.outage = Some(Fault::LostBefore))
            }
            _ => self.cluster.nodes.iter_mut().for_each(|node| node.outage = None),
        }
    }

    fn step(&mut self) {
        self.cluster.step();
        for node in 0..HOSTS {
            self.read_messages(node);
        }
        for node in 0..HOSTS {
            if self.random.random_range(0..20) == 0 {
                self.ping(node);
            }
        }
        let now = self.cluster.now;
        let is_stale = |seen: &HostView| {
            seen.revision < self.in_force && seen.fresh_until.is_some_and(|until| until > now)
        };
        assert!(!self.seen.iter().any(is_stale), "fresh at a revision before {}", self.in_force);
    }

    fn read_messages(&mut self, node: usize) {
        for (_, _, message) in std::mem::take(&mut self.cluster.nodes[node].sent) {
            match message {
                Message::Snapshot(snapshot) => {
                    assert!(snapshot.revision >= self.seen[node].revision, "went back");
                    self.seen[node].revision = snapshot.revision;
                }
                Message::ConfigurationLease { until } => self.seen[node].fresh_until = Some(until),
                Message::ConfigurationStatus { revision, confirmed, update_in_flight } => {
                    self.seen[node].reported = (revision, confirmed, update_in_flight)
                }
                Message::Answer { origin: Origin::Client(number), result } => {
                    if let Ok(Reply::Changed { propagation, .. } | Reply::Propagation(propagation)) =
                        &result
                        && propagation.in_force
                    {
                        self.in_force = self.in_force.max(propagation.revision);
                    }
                    assert!(self.answers.insert(number, result).is_none(), "answered twice");
                }
                Message::SendFrame { to, frame } => {
                    let receiver = (0..HOSTS).find(|index| settings(*index).host == to);
                    if let Some(receiver) = receiver.filter(|to| self.links[node][*to]) {
                        let from = settings(node).host;
                        let message = Message::PeerFrame { from, frame };
                        self.cluster.deliver(receiver, ServiceName::Configuration, message);
                    }
                }
                _ => {}
            }
        }
    }

    /// Delivers the pongs of the reachable peers, to pings sent up to 300 ms ago, and their host rows.
    fn ping(&mut self, node: usize) {
        let now = self.cluster.now;
        let others = (0..HOSTS).filter(|index| *index != node);
        for (peer, other) in self.peers[node].iter_mut().zip(others) {
            if self.links[node][other] {
                let (revision, confirmed, update_in_flight) = self.seen[other].reported;
                let sent = now - Duration::from_millis(self.random.random_range(0..300));
                let age = confirmed.map(|confirmed| now - confirmed);
                let pong = pong(revision, age, update_in_flight);
                if peer.last_pong.as_ref().is_none_or(|(last, _)| *last < sent) {
                    peer.last_pong = Some((sent, pong));
                }
            }
            let settings = settings(other);
            let row = self.cluster.table.row(&host::row_key(&settings.data_centre, &settings.host));
            let row = row.filter(|_| self.cluster.nodes[node].outage.is_none());
            if let Some(row) = row
                && self.versions.insert((node, other), row.version) != Some(row.version)
            {
                let host: Host = serde_json::from_str(&row.value).expect("host");
                (peer.applied_revision, peer.row_changed_at) = (host.applied, Some(now));
            }
        }
        let peer_list = Rc::new(PeerList { peers: self.peers[node].clone() });
        self.cluster.deliver(
            node,
            ServiceName::Configuration,
            Message::PeerList(Rc::clone(&peer_list)),
        );
        self.cluster.deliver(node, ServiceName::Commit, Message::PeerList(peer_list));
    }
}

/// Guards against wrong answers, against hosts that act on a configuration that a change in force has replaced, and
/// against state that does not converge after the faults end.
#[test]
fn random_faults_break_no_invariant() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut run = Run::new(seed);
        for number in 0..40 {
            for _ in 0..run.random.random_range(1..120) {
                run.step();
            }
            run.inject_fault();
            let node = run.random.random_range(0..HOSTS);
            // The cap identifies the change.
            run.cluster.ask(node, number, put("ants", team(1, number + 10), None));
            let other = run.random.random_range(0..HOSTS);
            let revision = run.seen[other].revision.max(1);
            run.cluster.ask(other, 1000 + number, Request::Propagation(revision));
        }
        run.cluster.nodes.iter_mut().for_each(|node| (node.outage = None, node.faults.clear()).0);
        run.links = [[true; HOSTS]; HOSTS];
        (0..(30_000 / STEP.as_millis())).for_each(|_| run.step());
        let rows = run.cluster.table.rows(LOG_PREFIX);
        let log: Vec<Change> =
            rows.iter().map(|row| serde_json::from_str(&row.value).expect("change")).collect();
        let by_cap = |number: u64| -> Vec<Revision> {
            let own = log.iter().filter(|change| {
                matches!(&change.after, Some(Resource::Team(team)) if team.cap.slots == number + 10)
            });
            own.map(|change| change.revision).collect()
        };
        assert!(log.iter().zip(1..).all(|(change, revision)| change.revision == revision));
        for number in 0..40 {
            match (&run.answers[&number], &by_cap(number)[..]) {
                (Ok(Reply::Changed { revision, .. }), [found]) if found == revision => {}
                (Err(problem), [] | [_]) if problem.kind == ProblemKind::Unknown => {}
                (Err(problem), []) if problem.kind != ProblemKind::Unknown => {}
                (answer, found) => panic!("{number}: {answer:?} but {found:?}"),
            }
        }
        for seen in &run.seen {
            assert_eq!(seen.reported.0, log.len() as Revision, "applied everywhere");
            assert!(!seen.reported.2, "no update is in flight");
            assert!(seen.fresh_until > Some(run.cluster.now + Duration::from_secs(4)), "fresh");
        }
        assert!(run.in_force > 0 && log.len() > 3, "{} changes", log.len());
    }
}

fn seeds() -> std::ops::Range<u64> {
    match std::env::var("SEEDS").ok().and_then(|count| count.parse().ok()) {
        Some(count) => 0..count,
        None => 0..10,
    }
}
