//! Guards against a change of the stored rows: data stored by one version that the next version cannot read.
//!
//! Each file in `golden/` holds one sample a line.

#[path = "support/config_cluster.rs"]
mod config_cluster;
mod support;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::rc::Rc;

use config_cluster::{ConfigCluster, put, team};
use serde::Serialize;
use serde::de::DeserializeOwned;
use shallotpost_control::configuration::audit::REFUSED_PREFIX;
use shallotpost_control::configuration::cap::{self, CapRow};
use shallotpost_control::ownership::row::{self, ShardRow};
use shallotpost_control::prelude::*;
use shallotpost_control::settings::Fencing;
use shallotpost_protocol::host::Host;
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::resource::{Change, Entry, Kind, Queue, RefusedChange, Resource};
use shallotpost_protocol::table;
use shallotpost_protocol::work::{Record, Registration};
use support::deployment::{RICE_KEY, deploy, job};

macro_rules! golden {
    ($name:literal) => {
        ($name, include_str!(concat!("golden/", $name)))
    };
}

/// Checks that the file holds exactly the encoded samples, and that it decodes to them.
fn check_json<T>((name, file): (&str, &str), samples: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let lines: Vec<String> =
        samples.iter().map(|sample| serde_json::to_string(sample).expect("encodes")).collect();
    assert_eq!(format!("[\n{}\n]\n", lines.join(",\n")), file, "encoding of {name}");
    let decoded: Vec<T> = serde_json::from_str(file).expect(name);
    assert_eq!(decoded, samples, "decoding of {name}");
}

fn shard(index: u32) -> Shard {
    Shard { data_centre: "kochi".to_owned(), index }
}

fn size() -> Size {
    Size { processors_milli: 1500, memory_mib: 70_000, accelerators: 2, slots: 1 }
}

#[test]
fn shard_rows() {
    let sample = |released| ShardRow {
        owner: "kochi-1".to_owned(),
        incarnation: u64::MAX,
        epoch: 70,
        released,
    };
    let samples = [sample(false), sample(true)];
    check_json(golden!("shard_rows.json"), &samples);
    assert_eq!(row::prefix("kochi"), "shards/kochi/");
    assert_eq!(row::row_key(&shard(12)), "shards/kochi/12");
    for sample in samples {
        let value = serde_json::to_string(&sample).expect("encodes");
        let stored = table::Row { key: "shards/kochi/12".to_owned(), value, version: 3 };
        assert_eq!(row::parse("kochi", &stored), Some((12, sample)));
    }
}

#[test]
fn cap_rows() {
    let plain = CapRow { cap: size(), ..CapRow::default() };
    let full = CapRow {
        cap: size().times(4),
        grants: BTreeMap::from([(shard(0), size()), (shard(12), Size::ZERO)]),
        unmet: BTreeMap::from([(shard(1), size().times(2))]),
        unknown_fields: BTreeMap::from([("later".to_owned(), serde_json::json!({"a": [1, null]}))]),
    };
    check_json(golden!("cap_rows.json"), &[plain.clone(), full]);
    assert_eq!(cap::row_key("mango"), "caps/mango");
    let (name, file) = golden!("cap_rows_short.json");
    let decoded: Vec<CapRow> = serde_json::from_str(file).expect(name);
    assert_eq!(decoded, [plain]);
}

/// The rows that the service writes for changes that create, replace and delete a resource, and for a refused change.
#[test]
fn configuration_rows() {
    let mut cluster = ConfigCluster::new(1, true);
    cluster.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::default()));
    cluster.run(Duration::from_millis(100));
    let queue = |team: &str| Resource::Queue(Queue { team: team.to_owned(), open: true });
    let delete = Request::Delete {
        kind: Kind::Queue,
        name: "open".to_owned(),
        revision: None,
        dry_run: false,
    };
    let requests = [
        (put("mango", team(1, 5), None), true),
        (put("mango", team(2, 6), None), true),
        (put("open", queue("mango"), None), true),
        (delete, true),
        (put("closed", queue("missing"), None), false),
    ];
    for (number, (request, accepted)) in (1..).zip(requests) {
        let answer = cluster.answer(0, number, request);
        assert_eq!(answer.is_ok(), accepted, "{answer:?}");
    }
    cluster.run(Duration::from_secs(2));

    let prefixes = ["config/", "caps/", "audit/"];
    let rows = prefixes.iter().flat_map(|prefix| cluster.table.rows(prefix));
    let mut rows: Vec<_> = rows.map(|row| (row.key, row.value)).collect();
    rows.iter().for_each(|(key, value)| check_row(key, value));

    // The message in the reason is a text for people and may change.
    for (_, value) in rows.iter_mut().filter(|(key, _)| key.starts_with(REFUSED_PREFIX)) {
        let mut refused: RefusedChange = serde_json::from_str(value).expect("decodes");
        assert!(refused.reason.starts_with("malformed: "), "{}", refused.reason);
        refused.reason = "malformed: message".to_owned();
        *value = serde_json::to_string(&refused).expect("encodes");
    }
    check_json(golden!("configuration_rows.json"), &rows);
}

/// All rows that the services write are of types that this file or that of `shallotpost-protocol` has samples of.
#[test]
fn rows_of_all_services() {
    let mut cell = deploy();
    for specification in [job("batch", 500, true), job("once", 500, false)] {
        let work = specification.work_id();
        cell.submit("a1", RICE_KEY, specification);
        cell.run(Duration::from_millis(300));
        cell.table.rows("").iter().for_each(|row| check_row(&row.key, &row.value));
        cell.outcome("b2", RICE_KEY, &work);
    }
    let rows = cell.table.rows("");
    rows.iter().for_each(|row| check_row(&row.key, &row.value));
    for prefix in ["hosts/", "shards/", "work/", "ids/", "config/", "caps/"] {
        assert!(rows.iter().any(|row| row.key.starts_with(prefix)), "no row {prefix}");
    }
}

/// Checks that the row decodes to the type of its key, and that the type has no other encoding.
fn check_row(key: &str, value: &str) {
    let encoded = match key.split('/').take(2).collect::<Vec<_>>()[..] {
        ["config", "head"] => encoded_again::<Revision>(value),
        ["config", "resource"] => encoded_again::<Entry>(value),
        ["config", "log"] => encoded_again::<Change>(value),
        ["caps", _] => encoded_again::<CapRow>(value),
        ["audit", "refused"] => encoded_again::<RefusedChange>(value),
        ["hosts", _] => encoded_again::<Host>(value),
        ["shards", _] => encoded_again::<ShardRow>(value),
        ["work", _] => encoded_again::<Record>(value),
        ["ids", _] => encoded_again::<Registration>(value),
        _ => panic!("unexpected row {key}"),
    };
    assert_eq!(encoded, value, "{key}");
}

fn encoded_again<T: Serialize + DeserializeOwned>(value: &str) -> String {
    let decoded: T = serde_json::from_str(value).expect(value);
    serde_json::to_string(&decoded).expect("encodes")
}

/// The settings file names the fencing by this text.
#[test]
fn fencing() {
    let samples = [Fencing::Epoch, Fencing::None];
    check_json(golden!("fencing.json"), &samples.map(|fencing| fencing.to_string()));
    for fencing in samples {
        assert_eq!(fencing.to_string().parse(), Ok(fencing));
    }
}
