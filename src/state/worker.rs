//! Owns the store of the saved state and does its file I/O on a blocking thread, one request after the other:
//! a slow disk must not block the thread that serves clients.

use super::StateStore;
use crate::membership::{OperatorOverride, Overrides};
use std::io;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::task::{JoinError, spawn_blocking, spawn_local};

/// Maximum number of queued requests; senders of further ones wait.
const MAX_QUEUED_REQUESTS: usize = 32;

/// A request for file I/O, with the channel for its result.
enum Request {
    /// Read what other processes have written.
    Refresh { reply: oneshot::Sender<Option<Overrides>> },
    /// Apply a cordon or uncordon to the files alone, at this time (Unix seconds).
    ApplyOverride { action: OperatorOverride, now: f64, reply: oneshot::Sender<io::Result<()>> },
    /// Save the overrides of this process.
    Write { overrides: Overrides, reply: oneshot::Sender<io::Result<()>> },
}

/// Handle of the task that owns the store.
pub struct StateWorker {
    requests: Sender<Request>,
}

impl StateWorker {
    /// Starts the task, which ends when the handle is dropped.
    pub fn start(store: StateStore) -> Self {
        let (requests, queue) = channel(MAX_QUEUED_REQUESTS);
        spawn_local(run(store, queue));
        StateWorker { requests }
    }

    /// Reads what other processes have written; returns the overrides if they changed since the last call.
    pub async fn refresh(&self) -> Option<Overrides> {
        self.request(|reply| Request::Refresh { reply }).await.ok().flatten()
    }

    /// Applies a cordon or uncordon to the files alone ([`StateStore::apply_override`]).
    ///
    /// # Errors
    ///
    /// The files cannot be written, or the worker has ended.
    pub async fn apply_override(&self, action: OperatorOverride, now: f64) -> io::Result<()> {
        self.request(|reply| Request::ApplyOverride { action, now, reply }).await.unwrap_or_else(Err)
    }

    /// Saves the overrides of this process.
    ///
    /// # Errors
    ///
    /// The files cannot be written, or the worker has ended.
    pub async fn write(&self, overrides: Overrides) -> io::Result<()> {
        self.request(|reply| Request::Write { overrides, reply }).await.unwrap_or_else(Err)
    }

    /// Queues a request and waits for its result.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> io::Result<T> {
        let ended = || io::Error::other("the task of the saved state has ended");
        let (reply, result) = oneshot::channel();
        self.requests.send(request(reply)).await.map_err(|_| ended())?;
        result.await.map_err(|_| ended())
    }
}

/// Carries out a request.
fn execute(store: &mut StateStore, request: Request) {
    // The sender may have stopped waiting; the request is carried out anyway.
    match request {
        Request::Refresh { reply } => drop(reply.send(store.refresh())),
        Request::ApplyOverride { action, now, reply } => drop(reply.send(store.apply_override(action, now))),
        Request::Write { overrides, reply } => drop(reply.send(store.write(&overrides))),
    }
}

/// Carries out requests in order until all senders are dropped.
async fn run(mut store: StateStore, mut queue: Receiver<Request>) -> Result<(), JoinError> {
    while let Some(request) = queue.recv().await {
        store = spawn_blocking(move || {
            execute(&mut store, request);
            store
        })
        .await?;
    }
    Ok(())
}
