//! Tasks that an earlier owner may have left running.

use crate::prelude::*;
use crate::scheduler::stage::Place;
use crate::scheduler::session::{Contact, Session};
use crate::scheduler::{Context, Scheduler};
use crate::worker::Registration;

/// What a new owner does not know yet.
#[derive(Debug)]
pub(super) struct Takeover {
    /// After this moment no lease of an earlier owner can be in force.
    uncertain_until: Uptime,
    /// When the registry had been read as a whole and was complete.
    registry_complete: Option<Uptime>,
    settled: bool,
}

impl Takeover {
    pub(super) fn new(uncertain_until: Uptime) -> Takeover {
        Takeover { uncertain_until, registry_complete: None, settled: false }
    }
}

impl Scheduler {
    /// The registry has been read as a whole and holds all live workers from this moment on.
    pub fn set_registry_complete(&mut self, from: Uptime) {
        self.takeover.registry_complete.get_or_insert(from);
    }

    /// A worker that the previous owner could not reach and that need not be registered: it may run tasks.
    pub fn expect_absent(
        &mut self,
        worker: &str,
        registration: Registration,
        context: &mut Context,
    ) {
        self.set_registration(worker, Some(registration), context);
        self.set_registration(worker, None, context);
    }

    /// Workers that may run tasks and that a successor may not find in the registry, or not reach.
    pub fn absent(&self) -> Vec<(WorkerId, Registration)> {
        let absent = |session: &&Session| {
            let known = session.registered && session.contact == Contact::Live;
            let unheard = session.clock.is_none() && !self.takeover.settled;
            !known && (unheard || !session.placements.is_empty())
        };
        self.sessions
            .iter()
            .filter(|(_, session)| absent(session))
            .map(|(key, session)| (key.to_string(), session.registration.clone()))
            .collect()
    }

    /// Whether tasks may be running on workers that have not answered yet.
    pub(super) fn is_unsettled(&self) -> bool {
        !self.takeover.settled
    }

    /// An earlier owner has certainly ended, so its leases lapse by `until`.
    pub fn limit_uncertainty(&mut self, until: Uptime) {
        self.takeover.uncertain_until = self.takeover.uncertain_until.min(until);
    }

    /// Releases uncertain tasks once all workers that may run them have answered, or no lease can be left.
    pub(super) fn settle_takeover(&mut self, context: &mut Context) {
        if self.takeover.settled {
            return;
        }
        let complete = self.takeover.registry_complete.is_some_and(|from| from <= context.now);
        if !complete {
            return;
        }
        let lapsed = context.now >= self.takeover.uncertain_until;
        let unheard = |pool: &str| {
            self.sessions.values().any(|session| {
                session.clock.is_none() && session.registration.pool == pool
            })
        };
        let mut pending = false;
        let mut released = Vec::new();
        for id in &self.open {
            let Some(entry) = self.jobs.get(id) else { continue };
            if !entry.stages.values().any(super::Stage::is_uncertain) {
                continue;
            }
            let pool = &entry.job.terms.pool;
            let current = self.terms(*id, context.configuration);
            let other = current.map(|terms| terms.pool).filter(|current| current != pool);
            if !lapsed && (unheard(pool) || other.is_some_and(|pool| unheard(&pool))) {
                pending = true;
                continue;
            }
            released.push(*id);
        }
        for id in released {
            self.release_uncertain(id, context);
        }
        if !pending {
            self.takeover.settled = true;
            context.log("takeover_settled", vec![("lapsed", lapsed.to_string())]);
        }
    }

    fn release_uncertain(&mut self, id: JobId, context: &mut Context) {
        self.round_due = true;
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let mut broken = Vec::new();
        for ((occurrence, step), stage) in &mut entry.stages {
            let gang = entry.job.steps.get(usize::from(*step)).is_some_and(|step| step.gang);
            let uncertain = stage.is_uncertain();
            for task in &mut stage.tasks {
                if task.place == Place::Uncertain {
                    task.place = Place::Waiting;
                }
            }
            if gang && uncertain {
                let stage = crate::job::StageId { job: id, occurrence: *occurrence, step: *step };
                broken.push(stage.task(0));
            }
        }
        for task in broken {
            self.break_gang(task, context);
        }
    }
}
