//! Agents: entry hosts that call workers on behalf of the owner.
//!
//! One host cannot carry the connections of a large fleet. The owner therefore passes the calls of many workers, several
//! in one message, to a few hosts in the workers' data centre. It decides everything itself: an agent executes each
//! call once and returns its result. The owner calls the workers of a small fleet, and those without an agent, itself.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::host::Host;
use crate::message::{Message, WorkerCall};
use crate::port::{Connection, HostName};
use crate::prelude::*;
use crate::worker::{Error, Report};

/// Number of workers up to which the owner calls all of them itself.
const DIRECT_WORKERS_MAX: usize = 64;

/// Maximum number of agents in each data centre. More of them would carry fewer calls in each message.
const AGENTS_MAX: usize = 2;

/// Maximum age of an agent's last heartbeat. Heartbeats are sent every second.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Additional time for the result of a relayed call, beyond the timeout of the call itself.
const RELAY_SLACK: Duration = Duration::from_millis(150);

/// Time for which a host is not an agent after it has not returned a result.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// Time without any input after which a process counts as paused. Ticks come every few milliseconds, and an owner has given up
/// a relayed start after 850 ms.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Time after a pause within which a process reads what was sent to it meanwhile.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// Time for which the owner calls a worker itself after a relayed call to it has failed: the path between the agent and
/// the worker may be broken.
const BYPASS_TIME: Duration = Duration::from_secs(4);

/// Interval at which the agents are chosen again.
const SELECTION_INTERVAL: Duration = Duration::from_millis(200);

/// A call that an agent makes for this host.
#[derive(Debug)]
struct RelayedCall {
    agent: HostName,
    worker: WorkerId,
    /// Incarnation of the agent's process that received the call.
    incarnation: u64,
    expires: Uptime,
}

/// Agents of this host while it is the owner, and the calls that it makes as an agent of another host.
#[derive(Debug, Default)]
pub(super) struct Agents {
    /// Names of the agents, by data centre.
    selected: BTreeMap<String, Vec<HostName>>,
    next_selection: Uptime,
    calls: BTreeMap<CallId, RelayedCall>,
    /// Hosts that failed to return a result, with the time from which they may be agents again.
    paused: BTreeMap<HostName, Uptime>,
    /// Workers that the owner calls itself, with the time until which it does.
    bypassed: BTreeMap<WorkerId, Uptime>,
    /// Calls that this host makes for others: the host that asked, and its number for the call.
    accepted: BTreeMap<CallId, (HostName, CallId)>,
    /// When this process last handled an input.
    active: Uptime,
    /// When this process resumed after a pause; `None` if it was not paused.
    resumed: Option<Uptime>,
}

impl Agents {
    /// Records that the process handles an input.
    pub(super) fn note_input(&mut self, now: Uptime) {
        if now.saturating_sub(self.active) >= PAUSE_MIN {
            self.resumed = Some(now);
        }
        self.active = now;
    }

    /// Returns whether messages that arrive now may have been sent during a pause of this process.
    fn reads_backlog(&self, now: Uptime) -> bool {
        self.resumed.is_some_and(|resumed| now.saturating_sub(resumed) < RESUME_TIME)
    }

    /// Returns the agent for a worker: the one with the highest hash of both names, so that most workers keep their
    /// agents when the set of agents changes.
    fn agent(&self, data_centre: &str, worker: &str) -> Option<&HostName> {
        let weight = |agent: &&HostName| {
            let mut hasher = DefaultHasher::new();
            (agent, worker).hash(&mut hasher);
            hasher.finish()
        };
        self.selected.get(data_centre)?.iter().max_by_key(weight)
    }
}

impl Host {
    /// Chooses the agents of each data centre: the live hosts with the most processor capacity. Hosts with less than
    /// half of the owner's capacity are no agents.
    pub(super) fn select_agents(&mut self) {
        let now = self.now;
        if now < self.agents.next_selection {
            return;
        }
        self.agents.next_selection = now + SELECTION_INTERVAL;
        self.agents.selected.clear();
        self.agents.paused.retain(|_, until| *until > now);
        self.agents.bypassed.retain(|_, until| *until > now);
        let Some(owner) = &self.owner else { return };
        if owner.scheduler.worker_count() <= DIRECT_WORKERS_MAX {
            return;
        }
        let mut candidates: Vec<_> = self
            .peers
            .iter()
            .filter(|(name, peer)| {
                peer.heartbeat_age(now).is_some_and(|age| age < HEARTBEAT_AGE_MAX)
                    && !peer.heartbeat.stopping
                    && peer.processors_milli * 2 >= self.settings.processors_milli
                    && !self.agents.paused.contains_key(*name)
            })
            .collect();
        candidates.sort_by_key(|(name, peer)| (Reverse(peer.processors_milli), *name));
        for (name, peer) in candidates {
            let agents = self.agents.selected.entry(peer.data_centre.clone()).or_default();
            if agents.len() < AGENTS_MAX {
                agents.push(name.clone());
            }
        }
    }

    /// Passes the worker calls among the outputs to the agents, in one message for each.
    pub(super) fn relay_worker_calls(&mut self) {
        if self.agents.selected.is_empty() || self.owner.is_none() {
            return;
        }
        let is_call = |output: &Output| matches!(output, Output::Worker { .. });
        if !self.outputs.iter().any(is_call) {
            return;
        }
        let mut messages: BTreeMap<HostName, Vec<WorkerCall>> = BTreeMap::new();
        for output in std::mem::take(&mut self.outputs) {
            match (self.agent_for(&output), output) {
                (
                    Some(agent),
                    Output::Worker { call, address, worker, fence, request, timeout, .. },
                ) => {
                    let incarnation =
                        self.peers.get(&agent).map_or(0, |peer| peer.heartbeat.incarnation);
                    let expires = self.now + timeout + RELAY_SLACK;
                    let relayed = RelayedCall {
                        agent: agent.clone(),
                        worker: worker.clone(),
                        incarnation,
                        expires,
                    };
                    self.agents.calls.insert(call, relayed);
                    let relayed = WorkerCall { call, address, worker, fence, request, timeout };
                    messages.entry(agent).or_default().push(relayed);
                }
                (_, output) => self.outputs.push(output),
            }
        }
        for (agent, calls) in messages {
            self.send(&agent, Message::WorkerCalls(calls));
        }
    }

    /// Returns the agent that carries out an output; `None` if this host does.
    fn agent_for(&self, output: &Output) -> Option<HostName> {
        let Output::Worker { call, worker, connection: Connection::Pooled, .. } = output else {
            return None;
        };
        if self.agents.accepted.contains_key(call) || self.agents.bypassed.contains_key(worker) {
            return None;
        }
        let data_centre = self.owner.as_ref()?.scheduler.data_centre_of(worker)?;
        self.agents.agent(data_centre, worker).cloned()
    }

    /// Makes the calls that another host has passed to this one, unless they may have been sent while this process was paused.
    /// That host has given them up then, and a later process of a worker would take a start that nobody expects any more.
    pub(super) fn accept_worker_calls(&mut self, from: &HostName, calls: Vec<WorkerCall>) {
        if self.agents.reads_backlog(self.now) {
            let fields = vec![("owner", from.clone()), ("calls", calls.len().to_string())];
            self.log("relayed_calls_dropped", fields);
            let results = calls.into_iter().map(|call| (call.call, Err(Error::Unanswered)));
            return self.send(from, Message::WorkerResults(results.collect()));
        }
        for WorkerCall { call, address, worker, fence, request, timeout } in calls {
            let own = self.allocate_call();
            self.agents.accepted.insert(own, (from.clone(), call));
            self.outputs.push(Output::Worker {
                call: own,
                address,
                worker,
                fence,
                request,
                connection: Connection::Pooled,
                timeout,
            });
        }
    }

    /// Returns the result of a call to the host that passed it to this one, or handles the result of an own call.
    pub(super) fn worker_result(&mut self, call: CallId, result: Result<Report, Error>) {
        match self.agents.accepted.remove(&call) {
            Some((host, call)) => self.send(&host, Message::WorkerResults(vec![(call, result)])),
            None => self.with_scheduler(|scheduler, context| {
                scheduler.worker_result(call, result, context);
                scheduler.run_round(context);
            }),
        }
    }

    /// Handles results from an agent. Results of calls that have expired are ignored.
    pub(super) fn relayed_results(&mut self, results: Vec<(CallId, Result<Report, Error>)>) {
        let mut current = Vec::with_capacity(results.len());
        for (call, result) in results {
            let Some(relayed) = self.agents.calls.remove(&call) else { continue };
            if matches!(result, Err(Error::Unreachable | Error::Unanswered)) {
                self.agents.bypassed.insert(relayed.worker, self.now + BYPASS_TIME);
            }
            current.push((call, result));
        }
        self.with_scheduler(|scheduler, context| {
            for (call, result) in current {
                scheduler.worker_result(call, result, context);
            }
            scheduler.run_round(context);
        });
    }

    /// Ends the calls of agents that return no result, or whose process has ended. They may have been executed.
    pub(super) fn expire_relayed_calls(&mut self) {
        let now = self.now;
        if self.owner.is_none() {
            self.agents.calls.clear();
            return;
        }
        let mut lost = BTreeSet::new();
        let mut ended = Vec::new();
        for (call, relayed) in &self.agents.calls {
            let peer = self.peers.get(&relayed.agent);
            let silent = peer.is_none_or(|peer| {
                peer.heartbeat.incarnation != relayed.incarnation
                    || peer.heartbeat_age(now).is_none_or(|age| age >= HEARTBEAT_AGE_MAX)
            });
            if silent || relayed.expires <= now {
                ended.push(*call);
                lost.insert(relayed.agent.clone());
            }
        }
        if ended.is_empty() {
            return;
        }
        for agent in lost {
            self.log("agent_lost", vec![("agent", agent.clone())]);
            self.agents.paused.insert(agent, now + FAILURE_PAUSE);
        }
        // The workers of a lost agent get their next calls from another host.
        self.agents.next_selection = now;
        self.select_agents();
        for call in &ended {
            self.agents.calls.remove(call);
        }
        self.with_scheduler(|scheduler, context| {
            for call in ended {
                scheduler.worker_result(call, Err(Error::Unanswered), context);
            }
            scheduler.run_round(context);
        });
    }
}
