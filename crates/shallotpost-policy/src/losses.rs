//! Verdict on a task whose runs were lost with their workers.
//!
//! Pattern: a task crashes each worker that starts it. All runs of the worker are lost with it, and workers also crash,
//! restart or are cut off for reasons of their own, so a loss alone says little. Only crashes that are certain, and of
//! workers that ran nothing else, give a task up.

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Loss;

/// Time for which a worker must have run before a task starts on it, so that its crash counts as a crash alone. A worker
/// that crashes again and again by itself never counts.
const STEADY_TIME: Duration = Duration::from_secs(30);

/// The same for a worker that counts already: where no other worker can hold the task, a worker that crashes every few minutes by
/// itself must not give it up.
const REPEAT_STEADY_TIME: Duration = Duration::from_secs(300);

/// Age at which a run clears its task of all losses. A worker of a long-running task restarts at times without a fault of
/// the task.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(600);

/// Losses after which a task starts only on a worker that runs nothing else.
const SUSPECT_LOSSES: usize = 2;

/// Certain crashes after which a task is given up.
const DEADLY_CRASHES: usize = 3;

/// Number of these crashes that must be of workers that ran nothing else.
const DEADLY_CRASHES_ALONE: usize = 2;

/// Time by which a run must outlive the longest lost one before other work may start on its worker.
const ISOLATION_MARGIN: Duration = Duration::from_secs(2);

/// Delay before the next start of a suspect task; it doubles with each further loss. Machines that do not return show only later
/// whether they crashed.
const RESTART_DELAY: Duration = Duration::from_secs(10);

const RESTART_DELAY_MAX: Duration = Duration::from_secs(600);

/// Maximum number of losses that are kept of one task.
const LOSSES_KEPT: usize = 8;

/// What is to be done with a task after the losses of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may start on any worker.
    Sound,
    /// It may start only on a worker that runs nothing else.
    Suspect,
    /// It crashes its workers and is not started again.
    Deadly,
}

/// Returns the verdict on a task from all losses of its work; those of other tasks do not count.
pub fn verdict(losses: &[Loss], index: u32) -> Verdict {
    let own = losses.iter().filter(|loss| loss.index == index);
    let crashes = own.clone().filter(|loss| loss.certain);
    let alone = crashes.clone().filter(|loss| loss.alone);
    match () {
        () if crashes.count() >= DEADLY_CRASHES && alone.count() >= DEADLY_CRASHES_ALONE => {
            Verdict::Deadly
        }
        () if own.count() >= SUSPECT_LOSSES => Verdict::Suspect,
        () => Verdict::Sound,
    }
}

/// Returns the workers that crashed while they ran nothing else than the task.
pub fn crashed_alone(losses: &[Loss], index: u32) -> Vec<WorkerId> {
    let alone = losses.iter().filter(|loss| loss.index == index && loss.alone);
    alone.map(|loss| loss.worker.clone()).collect()
}

/// Returns for how long a worker must have run before a task starts there, so that its crash counts. `crashed` tells whether
/// it crashed alone with the task before.
pub fn steady_time(crashed: bool) -> Duration {
    if crashed { REPEAT_STEADY_TIME } else { STEADY_TIME }
}

/// Returns the age at which the runs of suspect work have outlived all its losses, so that their workers may run other
/// work again.
pub fn isolation_time(losses: &[Loss]) -> Duration {
    let longest = losses.iter().map(|loss| loss.age).max().unwrap_or_default();
    (longest + ISOLATION_MARGIN).min(SURVIVAL_TIME)
}

/// Returns the delay before the next start of a task after its losses.
pub fn restart_delay(losses: &[Loss], index: u32) -> Duration {
    let own = losses.iter().filter(|loss| loss.index == index).count();
    match own.checked_sub(SUSPECT_LOSSES) {
        Some(further) => (RESTART_DELAY * (1 << further.min(8))).min(RESTART_DELAY_MAX),
        None => Duration::ZERO,
    }
}

/// Records a loss. Each process of a worker counts once; attempts do not tell runs apart, since each owner counts its own. Of
/// many losses of one task, uncertain ones are dropped first.
pub fn record(losses: &mut Vec<Loss>, loss: Loss) {
    let index = loss.index;
    let process = |loss: &Loss| (loss.index, loss.worker.clone(), loss.incarnation);
    if losses.iter().any(|known| process(known) == process(&loss)) {
        return;
    }
    losses.push(loss);
    let own = |loss: &Loss| loss.index == index;
    if losses.iter().filter(|loss| own(loss)).count() > LOSSES_KEPT {
        let uncertain = losses.iter().position(|loss| own(loss) && !loss.certain);
        if let Some(dropped) = uncertain.or_else(|| losses.iter().position(own)) {
            losses.remove(dropped);
        }
    }
}

/// Decides about the uncertain losses on a worker once the incarnation of its process is known: with another incarnation
/// they were crashes, with the same one the worker was only out of reach. Returns whether any loss changed.
pub fn resolve(losses: &mut Vec<Loss>, worker: &str, incarnation: u64) -> bool {
    let open = |loss: &Loss| !loss.certain && loss.worker == worker;
    let changed = losses.iter().any(open);
    losses.retain(|loss| !open(loss) || loss.incarnation != incarnation);
    losses.iter_mut().filter(|loss| open(loss)).for_each(|loss| loss.certain = true);
    changed
}
