//! Drives one `Membership` service with a simulated table, worker list and peers in virtual time.

use std::rc::Rc;

use shallotpost_control::kernel::TICK;
use shallotpost_control::membership::{Membership, Peer, PeerList};
use shallotpost_control::prelude::*;
use shallotpost_protocol::host::{Host, row_key};
use shallotpost_protocol::table::{Request, Write};
use shallotpost_protocol::wire::{Frame, Pong};
use shallotpost_protocol::worker_list;
use shallotpost_standin::table::Table;

/// The service with its simulated table and worker list, which answer one tick after the call.
pub struct MembershipHarness {
    pub now: Instant,
    pub table: Table,
    pub table_down: bool,
    /// Whether answers of the table and the worker list are held back.
    pub hold_answers: bool,
    pub listed_workers: Result<Vec<worker_list::Worker>, Failure>,
    pub peer_lists: Vec<(Instant, Rc<PeerList>)>,
    pub worker_lists: Vec<Rc<Vec<worker_list::Worker>>>,
    service: Membership,
    next_call: u64,
    frames: Vec<(HostId, Address, Frame)>,
    answers: Vec<Message>,
}

impl MembershipHarness {
    pub fn new(settings: Settings) -> MembershipHarness {
        MembershipHarness {
            now: Instant::now(),
            table: Table::default(),
            table_down: false,
            hold_answers: false,
            listed_workers: Ok(Vec::new()),
            peer_lists: Vec::new(),
            worker_lists: Vec::new(),
            service: Membership::new(&settings),
            next_call: 0,
            frames: Vec::new(),
            answers: Vec::new(),
        }
    }

    pub fn handle(&mut self, message: Message) {
        let mut context = Context::new(ServiceName::Membership, self.now, 0, self.next_call);
        self.service.handle(&mut context, message);
        self.next_call = context.next_call();
        for effect in context.effects {
            match effect {
                Effect::Table { call, request, .. } => {
                    let down = Err(Failure::Ambiguous);
                    let result =
                        if self.table_down { down } else { Ok(self.table.handle(&request)) };
                    self.answers.push(Message::TableResult { call, result });
                }
                Effect::WorkerList { call, .. } => {
                    self.answers.push(Message::WorkerListResult {
                        call,
                        result: self.listed_workers.clone(),
                    });
                }
                Effect::Peer { to, address, frame } => self.frames.push((to, address, frame)),
                _ => {}
            }
        }
        for message in context.messages {
            match message {
                (ServiceName::Router, Message::PeerList(peer_list)) => {
                    self.peer_lists.push((self.now, peer_list))
                }
                (ServiceName::Scheduler, Message::WorkerList(workers)) => {
                    self.worker_lists.push(workers)
                }
                (ServiceName::Commit, Message::Write(batch)) if !self.table_down => {
                    let (checks, writes) = (batch.checks, batch.writes);
                    self.table.handle(&Request::Transact { checks, writes });
                }
                _ => {}
            }
        }
    }

    pub fn tick(&mut self) {
        if !self.hold_answers {
            std::mem::take(&mut self.answers).into_iter().for_each(|answer| self.handle(answer));
        }
        self.handle(Message::Tick);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
    }

    pub fn put(&mut self, host: &Host) {
        let key = row_key(&host.data_centre, &host.host);
        let value = serde_json::to_string(host).expect("serialises");
        let writes = vec![Write { key, value: Some(value) }];
        self.table.handle(&Request::Transact { checks: vec![], writes });
    }

    /// Numbers of all pings to a peer so far.
    pub fn pings(&self, to: &str) -> Vec<u64> {
        let frames = self.frames.iter().filter(|(host, _, _)| host == to);
        frames.filter_map(|(_, _, frame)| ping_number(frame)).collect()
    }

    pub fn answer_ping(&mut self, from: &str, incarnation: u64) {
        if let Some(number) = self.pings(from).pop() {
            let frame = Frame::Pong(pong(number, incarnation));
            self.handle(Message::PeerFrame { from: from.to_owned(), frame });
        }
    }

    pub fn peer_frames(&self) -> Vec<(HostId, Address, Frame)> {
        self.frames.clone()
    }

    /// The peer in the latest `PeerList`.
    pub fn peer(&self, host: &str) -> Option<Peer> {
        let (_, peer_list) = self.peer_lists.last()?;
        peer_list.peers.iter().find(|peer| peer.host == host).cloned()
    }
}

fn ping_number(frame: &Frame) -> Option<u64> {
    match frame {
        Frame::Ping { number } => Some(*number),
        _ => None,
    }
}

pub fn pong(number: u64, incarnation: u64) -> Pong {
    Pong {
        number,
        incarnation,
        revision: 1,
        freshness_age: None,
        update_in_flight: false,
        draining: false,
        shards: Vec::new(),
    }
}

pub fn host_row(
    host: &str,
    data_centre: &str,
    incarnation: u64,
    sequence: u64,
    draining: bool,
) -> Host {
    Host {
        host: host.to_owned(),
        data_centre: data_centre.to_owned(),
        incarnation,
        peer_address: format!("{host}:1"),
        http_address: format!("{host}:2"),
        sequence,
        applied: 1,
        draining,
    }
}

pub fn worker(name: &str, data_centre: &str) -> worker_list::Worker {
    worker_list::Worker {
        worker: name.to_owned(),
        address: format!("{name}:1"),
        data_centre: data_centre.to_owned(),
        rack: "r".to_owned(),
        capacity: Size::from_parts([1000, 1000, 0, 8]),
        leaving: false,
    }
}
