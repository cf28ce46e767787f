//! Thread that runs all asynchronous I/O.

use std::future::Future;
use std::io;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A single-threaded runtime on its own thread. Dropping it ends the thread and all its tasks.
pub struct IoThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
}

impl IoThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or the thread cannot be created.
    pub fn start(name: &str) -> io::Result<IoThread> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
        })?;
        Ok(IoThread { handle, stop: Some(stop) })
    }

    /// Returns the handle with which tasks are spawned on the thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs `future` on the thread and waits for its result. Must not be called from the thread itself.
    ///
    /// # Errors
    ///
    /// Fails if the thread has ended.
    pub fn run<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> io::Result<T> {
        let (sender, receiver) = mpsc::sync_channel(1);
        self.handle.spawn(async move {
            let _ = sender.send(future.await);
        });
        receiver.recv().map_err(|_| io::Error::other("the I/O thread has ended"))
    }
}

impl Drop for IoThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}
