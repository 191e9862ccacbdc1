//! Owns the state file's store and does its file I/O on a blocking thread, one request after the other: a
//! slow disk must not block the thread that serves clients.

use super::StateStore;
use crate::membership::{OperatorOverride, SavedOverrides};
use std::io;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::task::{JoinError, spawn_blocking, spawn_local};

/// Maximum number of queued requests; senders of further ones wait.
const MAX_QUEUED_REQUESTS: usize = 32;

/// A request for file I/O, with the channel for its result.
enum Request {
    /// Read the file, if another process changed it.
    ReadIfChanged { reply: oneshot::Sender<Option<SavedOverrides>> },
    /// Apply a cordon or uncordon to the file alone, at this time (Unix seconds).
    ApplyOverride { action: OperatorOverride, now: f64, reply: oneshot::Sender<io::Result<()>> },
    /// Write the state after the operator call of this number.
    Write { number: u64, saved: SavedOverrides, reply: oneshot::Sender<io::Result<()>> },
}

/// Handle of the task that owns the store.
pub struct StateWorker {
    requests: Sender<Request>,
}

impl StateWorker {
    /// Starts the task, which ends when the handle is dropped.
    pub fn start(store: StateStore) -> Self {
        let (requests, queue) = channel(MAX_QUEUED_REQUESTS);
        spawn_local(run(WorkerState { store, last_number: 0 }, queue));
        StateWorker { requests }
    }

    /// Reads the file; returns its state if it changed since this process last wrote or read it.
    pub async fn read_if_changed(&self) -> Option<SavedOverrides> {
        self.request(|reply| Request::ReadIfChanged { reply }).await.ok().flatten()
    }

    /// Applies a cordon or uncordon to the file alone ([`StateStore::apply_override`]).
    ///
    /// # Errors
    ///
    /// The file cannot be read or written, or the worker has ended.
    pub async fn apply_override(&self, action: OperatorOverride, now: f64) -> io::Result<()> {
        self.request(|reply| Request::ApplyOverride { action, now, reply }).await.unwrap_or_else(Err)
    }

    /// Writes the state after the operator call of this number, unless that of a later call is already
    /// written.
    ///
    /// # Errors
    ///
    /// The file cannot be written, or the worker has ended.
    pub async fn write(&self, number: u64, saved: SavedOverrides) -> io::Result<()> {
        self.request(|reply| Request::Write { number, saved, reply }).await.unwrap_or_else(Err)
    }

    /// Queues a request and waits for its result.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> io::Result<T> {
        let ended = || io::Error::other("the task of the state file has ended");
        let (reply, result) = oneshot::channel();
        self.requests.send(request(reply)).await.map_err(|_| ended())?;
        result.await.map_err(|_| ended())
    }
}

/// State that the blocking thread uses.
struct WorkerState {
    store: StateStore,
    /// Number of the last operator call whose state was written.
    last_number: u64,
}

impl WorkerState {
    /// Carries out a request.
    fn execute(&mut self, request: Request) {
        // The sender may have stopped waiting; the request is carried out anyway.
        match request {
            Request::ReadIfChanged { reply } => drop(reply.send(self.store.read_if_changed())),
            Request::ApplyOverride { action, now, reply } => {
                drop(reply.send(self.store.apply_override(action, now)))
            }
            Request::Write { number, saved, reply } => drop(reply.send(self.write(number, &saved))),
        }
    }

    fn write(&mut self, number: u64, saved: &SavedOverrides) -> io::Result<()> {
        if number <= self.last_number {
            return Ok(());
        }
        self.store.write(saved)?;
        self.last_number = number;
        Ok(())
    }
}

/// Carries out requests in order until all senders are dropped.
async fn run(mut state: WorkerState, mut queue: Receiver<Request>) -> Result<(), JoinError> {
    while let Some(request) = queue.recv().await {
        state = spawn_blocking(move || {
            state.execute(request);
            state
        })
        .await?;
    }
    Ok(())
}
