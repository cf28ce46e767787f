//! Thread pool that grows up to a limit and rejects jobs beyond it.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Idle threads end after this time, so that a burst does not keep its threads.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Unit of work. A job that the pool rejects is dropped without being called.
///
/// A job that reports its result to someone who may then submit the next job drops the [`Slot`] before the report, and
/// does not block after that. Otherwise the next job can be rejected while the thread is on its way back to the pool.
pub type Job = Box<dyn FnOnce(Slot) + Send>;

/// Place of an admitted job in the pool's limits; released when dropped.
pub struct Slot(Arc<Shared>);

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub max_threads: usize,
    /// Maximum number of jobs that wait for a thread.
    pub max_queued: usize,
    /// Stack size of each thread, in bytes.
    pub stack_bytes: usize,
}

/// A bounded pool whose threads are started on demand. Dropping it closes it.
pub struct ThreadPool {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    limits: Limits,
    state: Mutex<State>,
    job_available: Condvar,
    thread_ended: Condvar,
}

#[derive(Default)]
struct State {
    queue: VecDeque<Job>,
    threads: usize,
    /// Jobs that are queued or hold their [`Slot`]. Idle threads are not counted instead, because a thread is not idle
    /// until some time after its job has reported, and until some time after it is started.
    admitted: usize,
    closed: bool,
}

impl ThreadPool {
    /// Creates an empty pool; its threads are named `name`.
    pub fn new(name: &'static str, limits: Limits) -> ThreadPool {
        let (state, job_available, thread_ended) = Default::default();
        ThreadPool { shared: Arc::new(Shared { name, limits, state, job_available, thread_ended }) }
    }

    /// Runs the job on an idle or a new thread, or queues it. Returns false, dropping the job, if the pool is full or
    /// closed.
    pub fn execute(&self, job: Job) -> bool {
        let rejected = self.try_enqueue(job);
        // The job is dropped here, after the lock is released, because its destructor may take other locks.
        rejected.is_none()
    }

    /// Lets the threads end after their current jobs and rejects new jobs. Queued jobs still run.
    pub fn close(&self) {
        self.shared.lock().closed = true;
        self.shared.job_available.notify_all();
    }

    /// Waits until all threads of a closed pool have ended or `deadline` has passed. Returns whether they have ended.
    pub fn join(&self, deadline: Instant) -> bool {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let state = self.shared.lock();
        let waited = self
            .shared
            .thread_ended
            .wait_timeout_while(state, remaining, |state| state.threads > 0);
        waited.unwrap_or_else(PoisonError::into_inner).0.threads == 0
    }

    fn try_enqueue(&self, job: Job) -> Option<Job> {
        let mut state = self.shared.lock();
        let limits = self.shared.limits;
        match () {
            _ if state.closed => return Some(job),
            _ if state.admitted < state.threads => {}
            _ if state.threads < limits.max_threads && self.shared.spawn() => state.threads += 1,
            _ if state.threads > 0 && state.admitted < state.threads + limits.max_queued => {}
            _ => return Some(job),
        }
        state.admitted += 1;
        state.queue.push_back(job);
        self.shared.job_available.notify_one();
        None
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn spawn(self: &Arc<Shared>) -> bool {
        let shared = Arc::clone(self);
        let builder = thread::Builder::new().name(self.name.to_owned());
        builder.stack_size(self.limits.stack_bytes).spawn(move || shared.run_jobs()).is_ok()
    }

    fn run_jobs(self: &Arc<Shared>) {
        while let Some(job) = self.next_job() {
            let slot = Slot(Arc::clone(self));
            // A panic in one job must not end a thread of the pool; the job reports the failure itself when it is
            // dropped.
            let _ = catch_unwind(AssertUnwindSafe(|| job(slot)));
        }
    }

    fn next_job(&self) -> Option<Job> {
        let waits = |state: &mut State| state.queue.is_empty() && !state.closed;
        let (mut state, _) = self
            .job_available
            .wait_timeout_while(self.lock(), THREAD_IDLE_TIMEOUT, waits)
            .unwrap_or_else(PoisonError::into_inner);
        let job = state.queue.pop_front();
        if job.is_none() {
            state.threads -= 1;
            self.thread_ended.notify_all();
        }
        job
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().admitted -= 1;
    }
}
