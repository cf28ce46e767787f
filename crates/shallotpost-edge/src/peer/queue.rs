//! Bounded queue of frames for one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, timeout};

/// Maximum number of queued frames for a peer.
pub const QUEUE_FRAMES_MAX: usize = 1024;

/// Maximum number of queued bytes for a peer; one frame of maximum length always fits.
pub const QUEUE_BYTES_MAX: usize = 8 << 20;

/// Frames queued for longer are dropped, because their sender no longer waits for the result.
pub const FRAME_AGE_MAX: Duration = Duration::from_secs(5);

/// Frames for one peer; beyond the limits, the oldest are dropped first.
#[derive(Debug, Default)]
pub struct FrameQueue {
    state: Mutex<State>,
    pushed: Notify,
}

#[derive(Debug, Default)]
struct State {
    frames: VecDeque<(Instant, Bytes)>,
    bytes: usize,
    /// No further frames are accepted.
    finishing: bool,
    /// The sending task has ended.
    closed: bool,
}

impl FrameQueue {
    /// Appends a frame and drops the oldest ones beyond the limits. Returns false if the queue is finished or closed.
    pub fn push(&self, frame: Bytes) -> bool {
        let mut state = self.lock();
        if state.closed || state.finishing {
            return false;
        }
        state.bytes += frame.len();
        state.frames.push_back((Instant::now(), frame));
        while state.frames.len() > QUEUE_FRAMES_MAX || state.bytes > QUEUE_BYTES_MAX {
            state.drop_oldest();
        }
        drop(state);
        self.pushed.notify_one();
        true
    }

    /// Takes the oldest frame, waiting for one if necessary. Returns `None` after the last frame of a finished queue.
    pub async fn pop(&self) -> Option<Bytes> {
        loop {
            match self.try_pop() {
                Some(frame) => return Some(frame),
                None if self.lock().finishing => return None,
                None => self.pushed.notified().await,
            }
        }
    }

    /// Rejects further frames and lets the sending task end after the queued ones.
    pub fn finish(&self) {
        self.lock().finishing = true;
        self.pushed.notify_one();
    }

    /// Waits until there is a frame. If none comes within `idle`, closes the queue and returns false.
    pub async fn wait_for_frame(&self, idle: Duration) -> bool {
        let filled = async {
            while self.is_waiting() {
                self.pushed.notified().await;
            }
        };
        let _ = timeout(idle, filled).await;
        let mut state = self.lock();
        state.closed = state.frames.is_empty();
        !state.closed
    }

    fn is_waiting(&self) -> bool {
        let state = self.lock();
        state.frames.is_empty() && !state.finishing
    }

    fn try_pop(&self) -> Option<Bytes> {
        let mut state = self.lock();
        while state.frames.front().is_some_and(|(queued_at, _)| queued_at.elapsed() > FRAME_AGE_MAX)
        {
            state.drop_oldest();
        }
        let (_, frame) = state.frames.pop_front()?;
        state.bytes -= frame.len();
        Some(frame)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn drop_oldest(&mut self) {
        if let Some((_, frame)) = self.frames.pop_front() {
            self.bytes -= frame.len();
        }
    }
}
