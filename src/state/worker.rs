//! Owns the state file's store and does its file work on a blocking thread, one request after the other: a slow disk must not
//! hold up the thread that serves clients.

use super::StateStore;
use crate::membership::{OperatorOverride, SavedOverrides};
use std::io;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::task::{JoinError, spawn_blocking, spawn_local};

/// Requests that may wait for the file at once; whoever has a further one waits for room.
const MAX_QUEUED_REQUESTS: usize = 32;

/// File work that somebody waits for.
enum Request {
    /// What the file says, if another process changed it.
    Look { reply: oneshot::Sender<Option<SavedOverrides>> },
    /// Carry out a call on the file alone, at this time (Unix seconds).
    Amend { hand: OperatorOverride, now: f64, reply: oneshot::Sender<io::Result<()>> },
    /// Write the state as it was after the call of this number.
    Keep { number: u64, kept: SavedOverrides, reply: oneshot::Sender<io::Result<()>> },
}

/// The way to the task that owns the store.
pub struct StateWorker {
    requests: Sender<Request>,
}

impl StateWorker {
    /// Starts the task, which ends once this is dropped.
    pub fn start(store: StateStore) -> Self {
        let (requests, queue) = channel(MAX_QUEUED_REQUESTS);
        spawn_local(run(WorkerState { store, last_number: 0 }, queue));
        StateWorker { requests }
    }

    /// What the file says, if that changed since this process last wrote or read it.
    pub async fn read_if_changed(&self) -> Option<SavedOverrides> {
        self.ask(|reply| Request::Look { reply }).await.ok().flatten()
    }

    /// Carries out a call on the file alone ([`StateStore::apply_override`]).
    ///
    /// # Errors
    ///
    /// The file cannot be read or written, or the worker has ended.
    pub async fn apply_override(&self, hand: OperatorOverride, now: f64) -> io::Result<()> {
        self.ask(|reply| Request::Amend { hand, now, reply }).await.unwrap_or_else(Err)
    }

    /// Writes the state as it was after the call of this number, unless that of a later one is written already.
    ///
    /// # Errors
    ///
    /// The file cannot be written, or the worker has ended.
    pub async fn write(&self, number: u64, kept: SavedOverrides) -> io::Result<()> {
        self.ask(|reply| Request::Keep { number, kept, reply }).await.unwrap_or_else(Err)
    }

    /// Queues a request and waits for its answer.
    async fn ask<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> io::Result<T> {
        let ended = || io::Error::other("the task of the state file has ended");
        let (reply, answer) = oneshot::channel();
        self.requests.send(request(reply)).await.map_err(|_| ended())?;
        answer.await.map_err(|_| ended())
    }
}

/// What the blocking thread works on.
struct WorkerState {
    store: StateStore,
    /// The number of the last call after which the state was written.
    last_number: u64,
}

impl WorkerState {
    fn carry_out(&mut self, request: Request) {
        // Nobody may wait for an answer any more; the work is done all the same.
        match request {
            Request::Look { reply } => drop(reply.send(self.store.read_if_changed())),
            Request::Amend { hand, now, reply } => drop(reply.send(self.store.apply_override(hand, now))),
            Request::Keep { number, kept, reply } => drop(reply.send(self.write(number, &kept))),
        }
    }

    fn write(&mut self, number: u64, kept: &SavedOverrides) -> io::Result<()> {
        if number <= self.last_number {
            return Ok(());
        }
        self.store.write(kept)?;
        self.last_number = number;
        Ok(())
    }
}

/// Carries out requests in their order until nobody can send any.
async fn run(mut state: WorkerState, mut queue: Receiver<Request>) -> Result<(), JoinError> {
    while let Some(request) = queue.recv().await {
        state = spawn_blocking(move || {
            state.carry_out(request);
            state
        })
        .await?;
    }
    Ok(())
}
