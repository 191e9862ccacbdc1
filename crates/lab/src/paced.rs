//! Paced reading of a client: received data stays in the socket buffer for a while before some of it is read.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Sleep, sleep};

/// The pace at which clients read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pace {
    /// Pause during which received data stays unread (seconds).
    pub pause_s: f64,
    /// Amount that is read as it arrives between two pauses (bytes).
    pub chunk: usize,
    /// Approximate amount of unread data that the system buffers (bytes); without it, the system's default.
    #[serde(default)]
    pub receive_buffer: Option<usize>,
}

/// Reads a connection at a pace, or without delay. An end of stream without unread data before it is seen at
/// once.
pub struct PacedReader {
    inner: OwnedReadHalf,
    pace: Option<Pace>,
    pause: Option<Pin<Box<Sleep>>>,
    /// Bytes that may be read before the next pause.
    allowance: usize,
}

impl PacedReader {
    /// Creates a reader with this pace.
    pub fn new(inner: OwnedReadHalf, pace: Option<Pace>) -> Self {
        PacedReader { inner, pace, pause: None, allowance: 0 }
    }

    /// Waits for data and then for the end of the pause; returns `false` at the end of the stream.
    fn poll_pause(&mut self, pace: Pace, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.pause.is_none() {
            let mut byte = [0];
            let unread = ready!(self.inner.poll_peek(context, &mut ReadBuf::new(&mut byte)))?;
            if unread == 0 {
                return Poll::Ready(Ok(false));
            }
            self.pause = Some(Box::pin(sleep(Duration::from_secs_f64(pace.pause_s))));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
        }
        self.pause = None;
        self.allowance = pace.chunk;
        Poll::Ready(Ok(true))
    }
}

impl AsyncRead for PacedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(pace) = self.pace else { return Pin::new(&mut self.inner).poll_read(context, buffer) };
        if self.allowance == 0 && !ready!(self.poll_pause(pace, context))? {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = vec![0; self.allowance.min(buffer.remaining())];
        let mut chunk = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut chunk))?;
        self.allowance -= chunk.filled().len();
        buffer.put_slice(chunk.filled());
        Poll::Ready(Ok(()))
    }
}
