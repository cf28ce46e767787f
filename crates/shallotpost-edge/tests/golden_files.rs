//! Guards against incompatible changes of the frames between hosts of different versions.
//!
//! The variants of the requests, replies, problems and changes inside the frames are tested in `shallotpost-protocol`.

use std::time::Duration;

use shallotpost_edge::peer::codec::{Decoder, encode};
use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::{Change, Kind, Queue, Resource};
use shallotpost_protocol::wire::{Frame, Load, Pong};

/// One frame per line with its length prefix, in hexadecimal digits.
const FILE: &str = include_str!("golden/frames.hex");

fn shard() -> Shard {
    Shard { data_centre: "kochi".to_owned(), index: 2 }
}

fn work_id() -> WorkId {
    WorkId { team: "mango".to_owned(), name: "night-run.7".to_owned() }
}

fn pong(freshness_age: Option<Duration>, shards: Vec<Load>) -> Frame {
    Frame::Pong(Pong {
        number: 5,
        incarnation: u64::MAX,
        revision: 301,
        freshness_age,
        update_in_flight: freshness_age.is_none(),
        draining: freshness_age.is_some(),
        shards,
    })
}

fn frames() -> Vec<Frame> {
    let size = Size { processors_milli: 1500, memory_mib: 70_000, accelerators: 2, slots: 1 };
    let load = Load {
        shard: shard(),
        epoch: 70,
        capacity: size.times(4),
        booked: size,
        waiting: size.times(2),
        largest: size.times(3),
        waiting_tasks: 1,
        running_tasks: 2,
        workers: 300,
        silent_workers: 4,
    };
    let problem = Problem {
        kind: ProblemKind::NotFound,
        message: "what happened".to_owned(),
        remedy: "what to do".to_owned(),
        not_run: true,
    };
    let queue = |open| Some(Resource::Queue(Queue { team: "mango".to_owned(), open }));
    let change = |before, after| Change {
        revision: 301,
        who: "operator-1".to_owned(),
        host: "kochi-1".to_owned(),
        at_unix_ms: 1_700_000_000_003,
        kind: Kind::Queue,
        name: "open".to_owned(),
        before,
        after,
    };
    vec![
        Frame::Hello {
            host: "kochi-1".to_owned(),
            data_centre: "kochi".to_owned(),
            incarnation: u64::MAX,
        },
        Frame::Ping { number: 5 },
        pong(Some(Duration::new(2, 5_000_000)), vec![load]),
        pong(None, Vec::new()),
        Frame::Admitted { shard: shard(), work: work_id() },
        Frame::Forward {
            request: 70_000,
            attempt: 2,
            call: Call { key: "mango-ci.secret".to_owned(), request: Request::Cancel(work_id()) },
        },
        Frame::ForwardReply { request: 70_000, attempt: 2, result: Ok(Reply::Cancelling) },
        Frame::ForwardReply { request: 70_000, attempt: 2, result: Err(problem) },
        Frame::Fleet(vec![0, 1, 254, 255]),
        Frame::AskChanges { from: 300 },
        Frame::Changes {
            changes: vec![
                change(None, queue(true)),
                change(queue(true), queue(false)),
                change(queue(false), None),
            ],
        },
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn encoding() {
    let line = |frame| hexadecimal(&encode(frame).expect("encodes")) + "\n";
    let text: String = frames().iter().map(line).collect();
    assert_eq!(text, FILE);
}

#[test]
fn decoding() {
    let mut decoder = Decoder::default();
    FILE.lines().for_each(|line| decoder.push(&bytes(line)));
    for frame in frames() {
        assert_eq!(decoder.next_frame().expect("decodes"), Some(frame));
    }
    assert_eq!(decoder.next_frame().expect("decodes"), None);
}
