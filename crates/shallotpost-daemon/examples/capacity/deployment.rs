//! Size of a measured deployment, its initial rows, and specifications of work.

use shallotpost_control::prelude::*;
use shallotpost_control::settings::Seed;
use shallotpost_protocol::host::Host;
use shallotpost_protocol::resource::{
    Availability, DataCentre, Entry, HEAD_KEY, Key, Resource, Right, Team, row_key,
};
use shallotpost_protocol::table::{Request, Write};
use shallotpost_protocol::work::{Class, Specification};
use shallotpost_protocol::{key, worker_list};
use shallotpost_standin::table::Table;

/// Name of the measured entry host.
pub const HOST: &str = "d0-h0";

/// Key with operator rights.
pub const OPERATOR: &str = "operator.operator";

/// Number of workers per rack.
const WORKERS_PER_RACK: usize = 5;

/// Capacity of a worker. At the target size, 18,000 workers have 36,000 accelerators.
const CAPACITY: Size =
    Size { processors_milli: 32_000, memory_mib: 131_072, accelerators: 2, slots: 8 };

/// Size of a measured deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of workers in the data centre of the measured host.
    pub workers: usize,
    /// Number of workers in other data centres, which are also in the worker list.
    pub listed_elsewhere: usize,
    /// Number of other entry hosts, all in other data centres.
    pub peers: usize,
    /// Number of teams, each with a key.
    pub teams: usize,
    /// Number of shards of the data centre of the measured host.
    pub shards: u32,
    /// Number of shards in other data centres that hold a grant of each team. If it is not zero, caps are divided into grants.
    pub granted_elsewhere: usize,
}

/// One host that owns one shard of the target size, without peers.
pub const SINGLE_SHARD: Deployment = Deployment {
    workers: 133,
    listed_elsewhere: 0,
    peers: 0,
    teams: 4,
    shards: 1,
    granted_elsewhere: 0,
};

impl Deployment {
    /// Creates a table with the configuration rows.
    pub fn table(&self) -> Table {
        let mut resources: Vec<(String, Resource)> = Vec::new();
        let data_centre = |shards| {
            Resource::DataCentre(DataCentre { availability: Availability::Active, shards })
        };
        resources.push(("d0".to_owned(), data_centre(self.shards)));
        if self.granted_elsewhere > 0 {
            resources.push(("d1".to_owned(), data_centre(1)));
        }
        let operator =
            Key { right: Right::Operator, digest: key::digest(b"operator"), expires_unix_ms: None };
        resources.push(("operator".to_owned(), Resource::Key(operator)));
        for index in 0..self.teams {
            let team = team(index);
            let cap = Size::from_parts([1 << 40; 4]);
            let digest = key::digest(team.as_bytes());
            let right = Right::Team(team.clone());
            let credential = Key { right, digest, expires_unix_ms: None };
            resources.push((format!("{team}-key"), Resource::Key(credential)));
            resources.push((team, Resource::Team(Team { share: 1, cap })));
        }
        let mut writes =
            vec![Write { key: HEAD_KEY.to_owned(), value: Some(resources.len().to_string()) }];
        if self.granted_elsewhere > 0 {
            writes.extend((0..self.teams).map(|index| self.cap_row(index)));
        }
        for (index, (name, resource)) in resources.into_iter().enumerate() {
            let key = row_key(resource.kind(), &name);
            let entry = Entry { name, revision: index as u64 + 1, resource };
            writes.push(Write { key, value: serde_json::to_string(&entry).ok() });
        }
        let mut table = Table::default();
        table.handle(&Request::Transact { checks: Vec::new(), writes });
        table
    }

    fn cap_row(&self, index: usize) -> Write {
        let grant = serde_json::json!(Size::from_parts([500_000, 1_048_576, 20, 100]));
        let shard = |index: usize| format!("d{}/{}", index / 9 + 1, index % 9);
        let grants: serde_json::Map<String, serde_json::Value> =
            (0..self.granted_elsewhere).map(|index| (shard(index), grant.clone())).collect();
        let cap = Size::from_parts([1 << 40; 4]);
        let row = serde_json::json!({"cap": cap, "grants": grants});
        Write { key: format!("caps/{}", team(index)), value: Some(row.to_string()) }
    }

    /// Returns the worker list.
    pub fn workers(&self) -> Vec<worker_list::Worker> {
        let own = (0..self.workers).map(|index| listed_worker("d0", index));
        let elsewhere = (0..self.listed_elsewhere).map(|index| listed_worker("d1", index));
        own.chain(elsewhere).collect()
    }

    /// Returns the other entry hosts, each with the shard that it owns.
    pub fn peers(&self) -> Vec<(Host, Shard)> {
        let peer = |index: usize| {
            let data_centre = format!("d{}", index / 9 + 1);
            let host = format!("{data_centre}-h{}", index % 9);
            let shard = Shard { data_centre: data_centre.clone(), index: (index % 9) as u32 };
            let row = Host {
                peer_address: format!("10.1.{index}.2:7001"),
                http_address: format!("10.1.{index}.2:7000"),
                host,
                data_centre,
                incarnation: 0x9e37_79b9_7f4a_7c15 ^ index as u64,
                sequence: 0,
                applied: 0,
                draining: false,
            };
            (row, shard)
        };
        (0..self.peers).map(peer).collect()
    }
}

fn listed_worker(data_centre: &str, index: usize) -> worker_list::Worker {
    let (high, low) = (index / 250, index % 250);
    worker_list::Worker {
        worker: format!("{data_centre}-w{index:05}"),
        address: format!("10.2.{high}.{low}:9000"),
        data_centre: data_centre.to_owned(),
        rack: format!("{data_centre}-r{:04}", index / WORKERS_PER_RACK),
        capacity: CAPACITY,
        leaving: false,
    }
}

/// Returns the name of a team.
pub fn team(index: usize) -> TeamId {
    format!("team-{index:04}")
}

/// Returns the key of a team.
pub fn team_key(index: usize) -> String {
    let team = team(index);
    format!("{team}-key.{team}")
}

/// Returns the settings of the measured host.
pub fn settings(deployment: &Deployment) -> Settings {
    let seeds = deployment.peers().into_iter().map(|(row, _)| Seed {
        host: row.host,
        data_centre: row.data_centre,
        peer_address: row.peer_address,
    });
    Settings {
        peer_address: "10.1.255.2:7001".to_owned(),
        http_address: "10.1.255.2:7000".to_owned(),
        seeds: seeds.collect(),
        ..Settings::new(HOST, "d0")
    }
}

/// Specification of a batch job that runs for `millis` in the data centre of the measured host.
pub fn job(team_index: usize, id: &str, millis: u64, size: Size) -> Specification {
    Specification {
        id: id.to_owned(),
        team: team(team_index),
        class: Class::Batch,
        size,
        command: vec!["run".to_owned(), millis.to_string()],
        run_time: Some(Duration::from_millis(millis)),
        idempotent: true,
        deadline_unix_ms: None,
        data_centres: vec!["d0".to_owned()],
        queue: None,
        input: None,
        attempts: 3,
    }
}

/// Specification of a service in the data centre of the measured host.
pub fn service(team_index: usize, id: &str, replicas: u32, size: Size) -> Specification {
    Specification {
        class: Class::Service { replicas },
        command: vec!["serve".to_owned()],
        run_time: None,
        ..job(team_index, id, 0, size)
    }
}
